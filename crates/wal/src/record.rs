//! Records and their bytes: length, checksum, kind, fields. Little-endian.

/// What is owed to a message that ended undelivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TerminalState {
    /// It may have taken effect.
    Undeliverable,
    /// It never took effect; come again after so many milliseconds, where that is told.
    Deferred(Option<u64>),
}

/// What the log knows of a message that is not over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveMessage {
    /// The client's id of it.
    pub id: Vec<u8>,
    /// Its idempotency key, if its class has one.
    pub idempotency_key: Option<Vec<u8>>,
    /// Its class, by place.
    pub class: u8,
    /// Its destination.
    pub destination: u16,
    /// Its order key; 0 for none.
    pub order_key: u64,
    /// When it was taken and when it is given up, in Unix nanoseconds.
    pub submitted_at: u64,
    /// See `taken_at`.
    pub deadline: u64,
    /// A courier that died held it before.
    pub from_lost_instance: bool,
    /// Attempts begun.
    pub attempts: u16,
    /// The first attempt that was begun and may have run.
    pub may_have_run: Option<AttemptStart>,
    /// The attempt that was begun and has no outcome yet.
    pub open_attempt: Option<AttemptStart>,
    /// It has ended, and the platform was not told yet.
    pub pending_notification: Option<TerminalState>,
    /// What is delivered; empty once it has ended.
    pub body: Vec<u8>,
}

/// A place that a log of before places were kept doesn't tell, or that the settings had no name for.
pub const UNKNOWN_INDEX: u8 = u8::MAX;

/// An attempt that was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// When, in Unix nanoseconds.
    pub started_at: u64,
    /// In which zone, by place.
    pub zone: u8,
}

/// A class of messages as it was when the log was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassName {
    /// Its name in the settings; empty for the class that no setting names.
    pub name: String,
    /// The writer's code for the effect of a repeated delivery; [`UNKNOWN_INDEX`] where the log does not hold it.
    pub effect: u8,
}

/// The names behind the indices in the messages of a segment. Settings may have changed since they were written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NameTable {
    /// Classes, by index.
    pub classes: Vec<ClassName>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
}

/// One entry of the log.
///
/// `message_number` is the gateway's own number of a message, unique while the message is live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A message was accepted; in a new segment, a live message as it stands.
    Submitted {
        /// The message's number.
        message_number: u32,
        /// Its state.
        message: Box<LiveMessage>,
    },
    /// An attempt to deliver the message was started.
    AttemptStarted {
        /// The message's number.
        message_number: u32,
        /// Time and zone of the attempt.
        start: AttemptStart,
    },
    /// The attempt in flight has its outcome.
    AttemptCompleted {
        /// The message's number.
        message_number: u32,
        /// Whether the endpoint may have processed the request.
        may_have_run: bool,
    },
    /// The message ended undelivered and the platform must be notified.
    NotificationPending {
        /// The message's number.
        message_number: u32,
        /// How it ended.
        state: TerminalState,
    },
    /// The message is complete: delivered, cancelled, or its notification acknowledged.
    Completed {
        /// The message's number.
        message_number: u32,
    },
    /// What the indices in the messages of this segment mean.
    NameTable(NameTable),
}

/// Bytes before a record's payload: its length and its checksum.
pub const HEAD: usize = 8;
/// No record is longer: what says so is damaged.
pub const LONGEST: usize = 256 << 10;

struct Out<'a>(&'a mut Vec<u8>);

impl Out<'_> {
    fn u8(&mut self, value: u8) {
        self.0.push(value);
    }
    fn u16(&mut self, value: u16) {
        self.0.extend(value.to_le_bytes());
    }
    fn u32(&mut self, value: u32) {
        self.0.extend(value.to_le_bytes());
    }
    fn u64(&mut self, value: u64) {
        self.0.extend(value.to_le_bytes());
    }
    fn option(&mut self, value: Option<u64>) {
        self.u8(u8::from(value.is_some()));
        self.u64(value.unwrap_or(0));
    }
    fn bytes(&mut self, value: &[u8]) {
        self.u32(u32::try_from(value.len()).unwrap_or(u32::MAX));
        self.0.extend_from_slice(value);
    }
    fn ending(&mut self, ending: TerminalState) {
        match ending {
            TerminalState::Undeliverable => self.u8(1),
            TerminalState::Deferred(again) => {
                self.u8(2);
                self.option(again);
            }
        }
    }
}

/// Appends a record's length and checksum, and behind them what `fields` writes.
fn framed(out: &mut Vec<u8>, fields: impl FnOnce(&mut Out)) {
    let start = out.len();
    out.extend([0; HEAD]);
    fields(&mut Out(out));
    let length = u32::try_from(out.len() - start - HEAD).unwrap_or(u32::MAX);
    let checksum = crc32fast::hash(&out[start + HEAD..]);
    out[start..start + 4].copy_from_slice(&length.to_le_bytes());
    out[start + 4..start + HEAD].copy_from_slice(&checksum.to_le_bytes());
}

/// Appends [`Record::Submitted`] of a message as it stands, without a copy of its body.
pub fn write_submitted(seq: u32, living: &LiveMessage, out: &mut Vec<u8>) {
    framed(out, |to| {
        to.u8(1);
        to.u32(seq);
        to.bytes(&living.id);
        to.u8(u8::from(living.idempotency_key.is_some()));
        to.bytes(living.idempotency_key.as_deref().unwrap_or_default());
        to.u8(living.class);
        to.u16(living.destination);
        to.u64(living.order_key);
        to.u64(living.submitted_at);
        to.u64(living.deadline);
        to.u8(u8::from(living.from_lost_instance));
        to.u16(living.attempts);
        to.option(living.may_have_run.map(|began| began.started_at));
        to.option(living.open_attempt.map(|began| began.started_at));
        match living.pending_notification {
            None => to.u8(0),
            Some(ending) => to.ending(ending),
        }
        to.bytes(&living.body);
        for began in [living.may_have_run, living.open_attempt] {
            to.u8(began.map_or(UNKNOWN_INDEX, |began| began.zone));
        }
    });
}

impl Record {
    /// Appends the record's bytes.
    pub fn write(&self, out: &mut Vec<u8>) {
        match self {
            Record::Submitted { message_number: seq, message: living } => write_submitted(*seq, living, out),
            Record::AttemptStarted { message_number: seq, start: began } => framed(out, |to| {
                to.u8(2);
                to.u32(*seq);
                to.u64(began.started_at);
                to.u8(began.zone);
            }),
            Record::AttemptCompleted { message_number: seq, may_have_run } => framed(out, |to| {
                to.u8(3);
                to.u32(*seq);
                to.u8(u8::from(*may_have_run));
            }),
            Record::NotificationPending { message_number: seq, state: ending } => framed(out, |to| {
                to.u8(4);
                to.u32(*seq);
                to.ending(*ending);
            }),
            Record::Completed { message_number: seq } => framed(out, |to| {
                to.u8(5);
                to.u32(*seq);
            }),
            Record::NameTable(names) => framed(out, |to| {
                to.u8(6);
                to.u32(u32::try_from(names.classes.len()).unwrap_or(u32::MAX));
                names.classes.iter().for_each(|class| to.bytes(class.name.as_bytes()));
                names.classes.iter().for_each(|class| to.u8(class.effect));
                names.zones.iter().for_each(|name| to.bytes(name.as_bytes()));
            }),
        }
    }

    /// The record that the bytes begin with, and how many they are; none where they are torn or damaged.
    pub fn read(bytes: &[u8]) -> Option<(Record, usize)> {
        let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
        let checksum = u32::from_le_bytes(bytes.get(4..HEAD)?.try_into().ok()?);
        if length > LONGEST {
            return None;
        }
        let payload = bytes.get(HEAD..HEAD + length)?;
        if crc32fast::hash(payload) != checksum {
            return None;
        }
        let mut from = In(payload);
        let record = from.record()?;
        from.0.is_empty().then_some((record, HEAD + length))
    }
}

fn began(at: Option<u64>, zone: u8) -> Option<AttemptStart> {
    at.map(|at| AttemptStart { started_at: at, zone })
}

struct In<'a>(&'a [u8]);

impl<'a> In<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(head)
    }
    fn u8(&mut self) -> Option<u8> {
        Some(self.take(1)?[0])
    }
    fn flag(&mut self) -> Option<bool> {
        match self.u8()? {
            0 => Some(false),
            1 => Some(true),
            _ => None,
        }
    }
    fn u16(&mut self) -> Option<u16> {
        Some(u16::from_le_bytes(self.take(2)?.try_into().ok()?))
    }
    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_le_bytes(self.take(4)?.try_into().ok()?))
    }
    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }
    fn option(&mut self) -> Option<Option<u64>> {
        let there = self.flag()?;
        let value = self.u64()?;
        Some(there.then_some(value))
    }
    fn bytes(&mut self) -> Option<Vec<u8>> {
        let count = self.u32()? as usize;
        self.take(count).map(<[u8]>::to_vec)
    }
    /// A place that records of before it was kept end without.
    fn place(&mut self) -> u8 {
        self.u8().unwrap_or(UNKNOWN_INDEX)
    }
    fn text(&mut self) -> Option<String> {
        self.bytes().and_then(|text| String::from_utf8(text).ok())
    }
    fn ending(&mut self) -> Option<Option<TerminalState>> {
        Some(match self.u8()? {
            0 => None,
            1 => Some(TerminalState::Undeliverable),
            2 => Some(TerminalState::Deferred(self.option()?)),
            _ => return None,
        })
    }
    fn record(&mut self) -> Option<Record> {
        let kind = self.u8()?;
        let seq = self.u32()?;
        Some(match kind {
            1 => {
                let id = self.bytes()?;
                let keyed = self.flag()?;
                let key = self.bytes()?;
                let mut living = LiveMessage {
                    id,
                    idempotency_key: keyed.then_some(key),
                    class: self.u8()?,
                    destination: self.u16()?,
                    order_key: self.u64()?,
                    submitted_at: self.u64()?,
                    deadline: self.u64()?,
                    from_lost_instance: self.flag()?,
                    attempts: self.u16()?,
                    ..LiveMessage::default()
                };
                let (may_have_run, open) = (self.option()?, self.option()?);
                (living.pending_notification, living.body) = (self.ending()?, self.bytes()?);
                living.may_have_run = began(may_have_run, self.place());
                living.open_attempt = began(open, self.place());
                Record::Submitted { message_number: seq, message: Box::new(living) }
            }
            2 => Record::AttemptStarted {
                message_number: seq,
                start: AttemptStart { started_at: self.u64()?, zone: self.place() },
            },
            3 => Record::AttemptCompleted { message_number: seq, may_have_run: self.flag()? },
            4 => Record::NotificationPending { message_number: seq, state: self.ending()?? },
            5 => Record::Completed { message_number: seq },
            6 => {
                let names: Vec<String> = (0..seq).map(|_| self.text()).collect::<Option<_>>()?;
                let classes = names.into_iter().map(|name| ClassName { name, effect: 0 }).collect();
                let mut names = NameTable { classes, zones: Vec::new() };
                names.classes.iter_mut().for_each(|class| class.effect = self.place());
                while !self.0.is_empty() {
                    names.zones.push(self.text()?);
                }
                Record::NameTable(names)
            }
            _ => return None,
        })
    }
}
