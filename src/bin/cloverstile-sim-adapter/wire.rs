//! Codec of the simulator's protocol: decodes batches into records and encodes replies. Integers and floats are
//! big-endian, without padding. Errors name a field as the protocol does (`Who`, `Call`, `Dest`).

use thiserror::Error;

/// An error in a frame; `at` is the offset from the start of its body, in bytes.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    #[error("byte {at}: {field} is cut short")]
    Truncated { at: usize, field: &'static str },
    #[error("byte {at}: record {index} has the unknown code {code}")]
    UnknownRecordCode { at: usize, index: u32, code: u8 },
    #[error("byte {at}: {field} has the unknown value {value}")]
    UnknownValue { at: usize, field: &'static str, value: u32 },
    #[error("byte {at}: {left} bytes left over after the last record")]
    TrailingBytes { at: usize, left: usize },
    #[error("byte {at}: the settings are not UTF-8 text")]
    InvalidUtf8 { at: usize },
}

/// An endpoint of a [`Record::EndpointList`], as the protocol encodes it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    pub endpoint: u32,
    pub zone: u8,
    /// Index into the kinds of the settings.
    pub kind: u16,
    pub destination: u16,
    /// 1: draining, 2: removed, 3: ready.
    pub state: u8,
    pub weight: f32,
    /// The time since which the endpoint has been up.
    pub started_at: u64,
}

/// A record of a batch. `instance` is the number of the gateway instance that it is for; times and durations are in
/// nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Creates an instance; one that has this number is replaced.
    NewInstance {
        instance: u16,
        /// Seed of the policy's random numbers.
        seed: u64,
        /// Text for [`cloverstile::parse_settings`].
        settings: String,
    },
    /// Defines a numbered endpoint list for later records.
    EndpointList { list: u16, entries: Vec<EndpointEntry> },
    /// An update of an instance's endpoint list, with the entries of a numbered list.
    EndpointsUpdated {
        instance: u16,
        list: u16,
        generation: u32,
        /// 0: the entries that changed, 1 and 2: the whole list, 3: the list could not be read.
        update_kind: u8,
    },
    /// A client submitted a message.
    Submitted {
        instance: u16,
        message: u32,
        class: u8,
        /// Number of the destination. The protocol sends it as a float.
        destination: f32,
        /// Zero where the message has none.
        order_key: u64,
        deadline: u64,
        weight_hint: u64,
        /// Bits: 2 for a resubmitted message, 16 for one from a lost instance. Others are ignored.
        options: u8,
        tenant: u32,
    },
    /// Removes an instance; later records for it are ignored.
    RemoveInstance { instance: u16 },
    /// The result of a probe that the instance requested with [`Reply::Probe`].
    ProbeCompleted { instance: u16, outcome_code: u16, latency: u64, endpoint: u32, load_report: Vec<f32> },
    /// The client no longer waits for the message's final outcome.
    Cancelled { instance: u16, message: u32 },
    /// The response to a streamed message began.
    FirstByte { instance: u16, message: u32, endpoint: u32, attempt: u16, latency: u64 },
    /// The result of an attempt that the instance started with [`Reply::Send`].
    AttemptCompleted(AttemptCompletedRecord),
    /// The timer that a [`Reply::SetTimer`] set with this token expired.
    TimerFired { instance: u16, token: u64 },
    /// Another instance sent a message to this one.
    PeerMessageReceived { instance: u16, from: u32, payload: Vec<u8> },
}

/// How an attempt ended, and what its response reported.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptCompletedRecord {
    pub instance: u16,
    pub message: u32,
    pub outcome_code: u16,
    pub latency: u64,
    /// The message has its final outcome.
    pub message_completed: bool,
    pub endpoint: u32,
    /// Number of the attempt, from 0.
    pub attempt: u16,
    /// For a rejected attempt its `Retry-After` in milliseconds; zero where there is none.
    pub detail: u32,
    /// Values in the order of the setting `Report.Fields`.
    pub load_report: Vec<f32>,
}

/// An action of an instance's policy, or a panic in it, as a record of a reply frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Send { instance: u16, message: u32, endpoint: u32, timeout: u64 },
    Reject { instance: u16, message: u32, retry_after: u64 },
    Fail { instance: u16, message: u32 },
    AbandonAttempt { instance: u16, message: u32, attempt: u16 },
    SetTimer { instance: u16, after: u64, token: u64 },
    Probe { instance: u16, endpoint: u32 },
    CloseIdle { instance: u16, endpoint: u32 },
    SendPeerMessage { instance: u16, to: u16, payload: Vec<u8> },
    Log { instance: u16, text: String },
    Panic { instance: u16, text: String },
    SubscribeEndpoints { instance: u16, active: bool },
    RefreshEndpoints { instance: u16 },
}

/// Reads the values of a batch's body one after the other.
struct Reader<'a> {
    body: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], WireError> {
        let truncated = WireError::Truncated { at: self.position, field };
        let end = self.position.checked_add(count).filter(|end| *end <= self.body.len()).ok_or(truncated)?;
        let bytes = &self.body[self.position..end];
        self.position = end;
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

    fn load_report(&mut self) -> Result<Vec<f32>, WireError> {
        let count = self.u8("Report count")?;
        (0..count).map(|_| self.f32("Report")).collect()
    }

    fn entry(&mut self) -> Result<EndpointEntry, WireError> {
        Ok(EndpointEntry {
            endpoint: self.u32("entry Endpoint")?,
            zone: self.u8("entry Zone")?,
            kind: self.u16("entry ClassOfHost")?,
            destination: self.u16("entry Cell")?,
            state: self.u8("entry Mode")?,
            weight: self.f32("entry Weight")?,
            started_at: self.u64("entry UpSince")?,
        })
    }

    fn record(&mut self, index: u32) -> Result<Record, WireError> {
        let at = self.position;
        let code = self.u8("record code")?;
        if code == 110 {
            let list = self.u16("Slot")?;
            let count = self.u32("NodesList count")?;
            // Grows entry by entry: a count that exceeds the frame causes an error, not a huge allocation.
            let entries = (0..count).map(|_| self.entry()).collect::<Result<_, _>>()?;
            return Ok(Record::EndpointList { list, entries });
        }
        if !matches!(code, 10 | 20 | 30 | 40 | 50 | 60 | 70 | 80 | 90 | 100) {
            return Err(WireError::UnknownRecordCode { at, index, code });
        }
        let instance = self.u16("Who")?;
        self.instance_record(code, instance)
    }

    fn new_instance(&mut self, instance: u16) -> Result<Record, WireError> {
        let seed = self.u64("Nonce64")?;
        let count = self.u32("Config count")? as usize;
        let at = self.position;
        let text = self.take(count, "Config")?;
        let settings = std::str::from_utf8(text).map_err(|_| WireError::InvalidUtf8 { at })?.to_owned();
        Ok(Record::NewInstance { instance, seed, settings })
    }

    /// Decodes a record after its code and instance. The caller has checked that the code is known.
    fn instance_record(&mut self, code: u8, instance: u16) -> Result<Record, WireError> {
        Ok(match code {
            10 => self.new_instance(instance)?,
            20 => Record::EndpointsUpdated {
                instance,
                list: self.u16("Slot")?,
                generation: self.u32("Generation")?,
                update_kind: self.u8("Kind")?,
            },
            30 => Record::Submitted {
                instance,
                message: self.u32("Call")?,
                class: self.u8("Profile")?,
                destination: self.f32("Dest")?,
                order_key: self.u64("Key")?,
                deadline: self.u64("ClientDeadline")?,
                weight_hint: self.u64("WeightHint")?,
                options: self.u8("Opts")?,
                tenant: self.u32("Owner")?,
            },
            40 => Record::FirstByte {
                instance,
                message: self.u32("Call")?,
                endpoint: self.u32("Endpoint")?,
                attempt: self.u16("Trial")?,
                latency: self.u64("DelaySeen")?,
            },
            50 => Record::AttemptCompleted(AttemptCompletedRecord {
                instance,
                message: self.u32("Call")?,
                outcome_code: self.u16("Code")?,
                latency: self.u64("DelaySeen")?,
                message_completed: self.u8("Complete")? != 0,
                endpoint: self.u32("Endpoint")?,
                attempt: self.u16("Trial")?,
                detail: self.u32("Detail")?,
                load_report: self.load_report()?,
            }),
            60 => Record::Cancelled { instance, message: self.u32("Call")? },
            70 => Record::TimerFired { instance, token: self.u64("Cookie")? },
            80 => Record::ProbeCompleted {
                instance,
                outcome_code: self.u16("Code")?,
                latency: self.u64("DelaySeen")?,
                endpoint: self.u32("Endpoint")?,
                load_report: self.load_report()?,
            },
            90 => {
                let from = self.u32("From")?;
                let count = usize::from(self.u16("Msg count")?);
                Record::PeerMessageReceived { instance, from, payload: self.take(count, "Msg")?.to_vec() }
            }
            _ => Record::RemoveInstance { instance },
        })
    }
}

/// Decodes the body of a batch (the bytes after its length) into the time and the records.
pub fn read_batch(body: &[u8]) -> Result<(u64, Vec<Record>), WireError> {
    let mut reader = Reader { body, position: 0 };
    let clock = reader.u64("clock")?;
    let count = reader.u32("record count")?;
    let mut records = Vec::new();
    for index in 0..count {
        records.push(reader.record(index)?);
    }
    match body.len() - reader.position {
        0 => Ok((clock, records)),
        left => Err(WireError::TrailingBytes { at: reader.position, left }),
    }
}

/// Appends the bytes after their count, truncated to the most that the two-byte count can hold.
fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    let count = bytes.len().min(usize::from(u16::MAX));
    out.extend((count as u16).to_be_bytes());
    out.extend(&bytes[..count]);
}

/// Encodes a reply as a record and appends it to `out`.
pub fn write_reply(out: &mut Vec<u8>, reply: &Reply) {
    let mut write_header = |code: u8, instance: &u16| {
        out.push(code);
        out.extend(instance.to_be_bytes());
    };
    match reply {
        Reply::Send { instance, message, endpoint, timeout } => {
            write_header(10, instance);
            out.extend(message.to_be_bytes());
            out.extend(endpoint.to_be_bytes());
            out.extend(timeout.to_be_bytes());
        }
        Reply::Reject { instance, message, retry_after } => {
            write_header(20, instance);
            out.extend(message.to_be_bytes());
            out.extend(retry_after.to_be_bytes());
        }
        Reply::Fail { instance, message } => {
            write_header(30, instance);
            out.extend(message.to_be_bytes());
        }
        Reply::AbandonAttempt { instance, message, attempt } => {
            write_header(40, instance);
            out.extend(message.to_be_bytes());
            out.extend(attempt.to_be_bytes());
        }
        Reply::SetTimer { instance, after, token } => {
            write_header(50, instance);
            out.extend(after.to_be_bytes());
            out.extend(token.to_be_bytes());
        }
        Reply::Probe { instance, endpoint } => {
            write_header(60, instance);
            out.extend(endpoint.to_be_bytes());
        }
        Reply::CloseIdle { instance, endpoint } => {
            write_header(70, instance);
            out.extend(endpoint.to_be_bytes());
        }
        Reply::SendPeerMessage { instance, to, payload } => {
            write_header(80, instance);
            out.extend(to.to_be_bytes());
            put_bytes(out, payload);
        }
        Reply::Log { instance, text } => {
            write_header(90, instance);
            put_bytes(out, text.as_bytes());
        }
        Reply::Panic { instance, text } => {
            write_header(100, instance);
            put_bytes(out, text.as_bytes());
        }
        Reply::SubscribeEndpoints { instance, active } => {
            write_header(110, instance);
            out.push(u8::from(*active));
        }
        Reply::RefreshEndpoints { instance } => write_header(120, instance),
    }
}

/// Encodes a reply frame: its length and its records.
pub fn write_frame(replies: &[Reply]) -> Vec<u8> {
    let mut out = vec![0; 4];
    for reply in replies {
        write_reply(&mut out, reply);
    }
    let length = u32::try_from(out.len() - 4).unwrap_or(u32::MAX);
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}
