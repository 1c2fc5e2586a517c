//! Codec of frames: bytes to records, and replies to bytes. Big-endian, no padding. Names of records, replies and
//! fields are those of the simulator's wire.

use thiserror::Error;

/// An error in a frame; `at` is the position, in bytes from the start of its body.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    #[error("byte {at}: {field} is cut short")]
    Short { at: usize, field: &'static str },
    #[error("byte {at}: record {index} has the unknown code {code}")]
    Code { at: usize, index: u32, code: u8 },
    #[error("byte {at}: {field} has the unknown value {value}")]
    Value { at: usize, field: &'static str, value: u32 },
    #[error("byte {at}: {left} bytes left over after the last record")]
    Left { at: usize, left: usize },
    #[error("byte {at}: the settings are not UTF-8 text")]
    Text { at: usize },
}

/// An entry of a numbered endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub endpoint: u32,
    pub zone: u8,
    pub kind: u16,
    pub cell: u16,
    pub mode: u8,
    pub weight: f32,
    pub up_since: u64,
}

/// A record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    NewInstance {
        who: u16,
        nonce: u64,
        config: String,
    },
    Sheet {
        slot: u16,
        entries: Vec<Entry>,
    },
    Members {
        who: u16,
        slot: u16,
        generation: u32,
        kind: u8,
    },
    Accept {
        who: u16,
        call: u32,
        profile: u8,
        dest: f32,
        key: u64,
        deadline: u64,
        hint: u64,
        opts: u8,
        owner: u32,
    },
    Teardown {
        who: u16,
    },
    ProbeDone {
        who: u16,
        code: u16,
        delay: u64,
        endpoint: u32,
        report: Vec<f32>,
    },
    ClientGone {
        who: u16,
        call: u32,
    },
    FirstByte {
        who: u16,
        call: u32,
        endpoint: u32,
        trial: u16,
        delay: u64,
    },
    Finished(FinishedRecord),
    TickDue {
        who: u16,
        cookie: u64,
    },
    NoteFrom {
        who: u16,
        from: u32,
        msg: Vec<u8>,
    },
}

/// The completion of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRecord {
    pub who: u16,
    pub call: u32,
    pub code: u16,
    pub delay: u64,
    pub complete: bool,
    pub endpoint: u32,
    pub trial: u16,
    pub detail: u32,
    pub report: Vec<f32>,
}

/// A record of a reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Route { who: u16, call: u32, endpoint: u32, try_for: u64 },
    Busy { who: u16, call: u32, stay_away: u64 },
    ReportFailure { who: u16, call: u32 },
    StopAttempt { who: u16, call: u32, trial: u16 },
    After { who: u16, after: u64, cookie: u64 },
    SoundOut { who: u16, endpoint: u32 },
    CloseIdle { who: u16, endpoint: u32 },
    Tell { who: u16, peer: u16, msg: Vec<u8> },
    Log { who: u16, words: String },
    Panic { who: u16, words: String },
    KeepInformed { who: u16, active: bool },
    Refresh { who: u16 },
}

struct Reader<'a> {
    body: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], WireError> {
        let short = WireError::Short { at: self.at, field };
        let end = self.at.checked_add(count).filter(|end| *end <= self.body.len()).ok_or(short)?;
        let bytes = &self.body[self.at..end];
        self.at = end;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.take(N, field)?);
        Ok(bytes)
    }

    fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        Ok(self.array::<1>(field)?[0])
    }

    fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        self.array(field).map(u16::from_be_bytes)
    }

    fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        self.array(field).map(u32::from_be_bytes)
    }

    fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        self.array(field).map(u64::from_be_bytes)
    }

    fn f32(&mut self, field: &'static str) -> Result<f32, WireError> {
        self.array(field).map(f32::from_be_bytes)
    }

    fn report(&mut self) -> Result<Vec<f32>, WireError> {
        let count = self.u8("Report count")?;
        (0..count).map(|_| self.f32("Report")).collect()
    }

    fn entry(&mut self) -> Result<Entry, WireError> {
        Ok(Entry {
            endpoint: self.u32("entry Endpoint")?,
            zone: self.u8("entry Zone")?,
            kind: self.u16("entry ClassOfHost")?,
            cell: self.u16("entry Cell")?,
            mode: self.u8("entry Mode")?,
            weight: self.f32("entry Weight")?,
            up_since: self.u64("entry UpSince")?,
        })
    }

    fn record(&mut self, index: u32) -> Result<Record, WireError> {
        let at = self.at;
        let code = self.u8("record code")?;
        if code == 110 {
            let slot = self.u16("Slot")?;
            let count = self.u32("NodesList count")?;
            // Allocated entry by entry: a count that is too high ends in an error, not in an allocation.
            let entries = (0..count).map(|_| self.entry()).collect::<Result<_, _>>()?;
            return Ok(Record::Sheet { slot, entries });
        }
        if !matches!(code, 10 | 20 | 30 | 40 | 50 | 60 | 70 | 80 | 90 | 100) {
            return Err(WireError::Code { at, index, code });
        }
        let who = self.u16("Who")?;
        self.instance_record(code, who)
    }

    fn new_instance(&mut self, who: u16) -> Result<Record, WireError> {
        let nonce = self.u64("Nonce64")?;
        let count = self.u32("Config count")? as usize;
        let at = self.at;
        let text = self.take(count, "Config")?;
        let config = std::str::from_utf8(text).map_err(|_| WireError::Text { at })?.to_owned();
        Ok(Record::NewInstance { who, nonce, config })
    }

    /// Reads the rest of a record for an instance; its code is a known one.
    fn instance_record(&mut self, code: u8, who: u16) -> Result<Record, WireError> {
        Ok(match code {
            10 => self.new_instance(who)?,
            20 => Record::Members {
                who,
                slot: self.u16("Slot")?,
                generation: self.u32("Generation")?,
                kind: self.u8("Kind")?,
            },
            30 => Record::Accept {
                who,
                call: self.u32("Call")?,
                profile: self.u8("Profile")?,
                dest: self.f32("Dest")?,
                key: self.u64("Key")?,
                deadline: self.u64("ClientDeadline")?,
                hint: self.u64("WeightHint")?,
                opts: self.u8("Opts")?,
                owner: self.u32("Owner")?,
            },
            40 => Record::FirstByte {
                who,
                call: self.u32("Call")?,
                endpoint: self.u32("Endpoint")?,
                trial: self.u16("Trial")?,
                delay: self.u64("DelaySeen")?,
            },
            50 => Record::Finished(FinishedRecord {
                who,
                call: self.u32("Call")?,
                code: self.u16("Code")?,
                delay: self.u64("DelaySeen")?,
                complete: self.u8("Complete")? != 0,
                endpoint: self.u32("Endpoint")?,
                trial: self.u16("Trial")?,
                detail: self.u32("Detail")?,
                report: self.report()?,
            }),
            60 => Record::ClientGone { who, call: self.u32("Call")? },
            70 => Record::TickDue { who, cookie: self.u64("Cookie")? },
            80 => Record::ProbeDone {
                who,
                code: self.u16("Code")?,
                delay: self.u64("DelaySeen")?,
                endpoint: self.u32("Endpoint")?,
                report: self.report()?,
            },
            90 => {
                let from = self.u32("From")?;
                let count = usize::from(self.u16("Msg count")?);
                Record::NoteFrom { who, from, msg: self.take(count, "Msg")?.to_vec() }
            }
            _ => Record::Teardown { who },
        })
    }
}

/// Reads the body of a batch (what comes after its length): the clock and the records.
pub fn read_batch(body: &[u8]) -> Result<(u64, Vec<Record>), WireError> {
    let mut reader = Reader { body, at: 0 };
    let clock = reader.u64("clock")?;
    let count = reader.u32("record count")?;
    let mut records = Vec::new();
    for index in 0..count {
        records.push(reader.record(index)?);
    }
    match body.len() - reader.at {
        0 => Ok((clock, records)),
        left => Err(WireError::Left { at: reader.at, left }),
    }
}

fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    let count = text.len().min(usize::from(u16::MAX));
    out.extend((count as u16).to_be_bytes());
    out.extend(&text[..count]);
}

/// Appends one record of a reply frame.
pub fn write_reply(out: &mut Vec<u8>, reply: &Reply) {
    let mut head = |code: u8, who: &u16| {
        out.push(code);
        out.extend(who.to_be_bytes());
    };
    match reply {
        Reply::Route { who, call, endpoint, try_for } => {
            head(10, who);
            out.extend(call.to_be_bytes());
            out.extend(endpoint.to_be_bytes());
            out.extend(try_for.to_be_bytes());
        }
        Reply::Busy { who, call, stay_away } => {
            head(20, who);
            out.extend(call.to_be_bytes());
            out.extend(stay_away.to_be_bytes());
        }
        Reply::ReportFailure { who, call } => {
            head(30, who);
            out.extend(call.to_be_bytes());
        }
        Reply::StopAttempt { who, call, trial } => {
            head(40, who);
            out.extend(call.to_be_bytes());
            out.extend(trial.to_be_bytes());
        }
        Reply::After { who, after, cookie } => {
            head(50, who);
            out.extend(after.to_be_bytes());
            out.extend(cookie.to_be_bytes());
        }
        Reply::SoundOut { who, endpoint } => {
            head(60, who);
            out.extend(endpoint.to_be_bytes());
        }
        Reply::CloseIdle { who, endpoint } => {
            head(70, who);
            out.extend(endpoint.to_be_bytes());
        }
        Reply::Tell { who, peer, msg } => {
            head(80, who);
            out.extend(peer.to_be_bytes());
            put_text(out, msg);
        }
        Reply::Log { who, words } => {
            head(90, who);
            put_text(out, words.as_bytes());
        }
        Reply::Panic { who, words } => {
            head(100, who);
            put_text(out, words.as_bytes());
        }
        Reply::KeepInformed { who, active } => {
            head(110, who);
            out.push(u8::from(*active));
        }
        Reply::Refresh { who } => head(120, who),
    }
}

/// Encodes a whole reply frame: its length and its records.
pub fn write_frame(replies: &[Reply]) -> Vec<u8> {
    let mut out = vec![0; 4];
    for reply in replies {
        write_reply(&mut out, reply);
    }
    let length = u32::try_from(out.len() - 4).unwrap_or(u32::MAX);
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}
