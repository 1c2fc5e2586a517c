//! Binary encoding of records. A record consists of a header with the length and CRC-32 of its payload, and the
//! payload, which starts with the record kind followed by the fields. All integers are little-endian.
//!
//! New versions add fields only at the end of a payload, so payloads written by earlier versions are shorter. This
//! keeps the logs of every version readable.

use crate::record::{
    AttemptStart, BootId, ClassEntry, ClockReference, FinishedMessage, FinishedOutcome, LiveMessage,
    NameTable, Record, TerminalState, UNKNOWN_INDEX,
};

/// Size of a record header: payload length and payload checksum, four bytes each.
const RECORD_HEADER_BYTES: usize = 8;
/// Offset of the checksum in the record header.
const CHECKSUM_OFFSET: usize = 4;
/// Maximum size of the records of a batch: none larger is written, and a frame header with a larger length is treated as
/// damaged. A single record is bounded by its batch alone.
pub const MAX_BATCH_BYTES: usize = 1 << 30;

/// Record kinds, stored in the first byte of a payload.
mod kind {
    pub const SUBMITTED: u8 = 1;
    pub const ATTEMPT_STARTED: u8 = 2;
    pub const ATTEMPT_COMPLETED: u8 = 3;
    pub const NOTIFICATION_PENDING: u8 = 4;
    pub const COMPLETED: u8 = 5;
    pub const NAME_TABLE: u8 = 6;
    pub const CLOCK_REFERENCE: u8 = 7;
    pub const ATTEMPT_WITHDRAWN: u8 = 8;
    pub const FINISHED: u8 = 9;
    pub const ENDPOINT_LIST: u8 = 10;
    /// Kinds that are about no message. A kind that is not known counts as one about a message, unless its number is 0.
    pub const ABOUT_NO_MESSAGE: [u8; 4] = [NAME_TABLE, CLOCK_REFERENCE, FINISHED, ENDPOINT_LIST];
}

/// Codes for the outcome of a finished message.
mod finished {
    pub const DELIVERED: u8 = 0;
    pub const UNDELIVERABLE: u8 = 1;
}

/// Codes for the pending notification of a message.
mod notification {
    pub const NONE: u8 = 0;
    pub const UNDELIVERABLE: u8 = 1;
    pub const DEFERRED: u8 = 2;
}

/// Reason why a record or a batch can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The input ends before the record or batch does, for example after a torn write.
    #[error("truncated record or batch")]
    Truncated,
    /// The length in the header exceeds the maximum for a batch. The value is that length in bytes.
    #[error("length of {0} bytes exceeds the maximum for a batch: {MAX_BATCH_BYTES}")]
    TooLong(usize),
    /// The sequence number of the batch does not match its position in the segment.
    #[error("the sequence number of the batch does not follow that of the previous batch")]
    OutOfSequence,
    /// The checksum of the data differs from the one in the header.
    #[error("checksum mismatch")]
    ChecksumMismatch,
    /// The checksum matches, but the payload is malformed or holds a record kind that this version does not know.
    #[error("malformed payload or unknown record kind")]
    InvalidPayload,
}

/// A record in an intact batch that can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UndecodableRecord {
    /// Why it can't be decoded.
    pub error: DecodeError,
    /// Its length including its header, in bytes; that of the rest of the batch if the header states more.
    pub length: usize,
    /// Message that the record may be about.
    pub message_number: Option<u32>,
}

impl UndecodableRecord {
    /// Describes the record at the start of `bytes`, the rest of its batch.
    pub(crate) fn new(error: DecodeError, bytes: &[u8]) -> Self {
        let mut header = Decoder { rest: bytes };
        let payload_length = header.u32().map_or(usize::MAX, |length| length as usize);
        let length = RECORD_HEADER_BYTES.saturating_add(payload_length).min(bytes.len());
        let mut payload = Decoder { rest: bytes.get(RECORD_HEADER_BYTES..length).unwrap_or_default() };
        let kind = payload.u8().ok();
        let number = payload.u32().ok();
        let is_about_message = kind.is_some_and(|kind| !kind::ABOUT_NO_MESSAGE.contains(&kind));
        UndecodableRecord {
            error,
            length,
            message_number: number.filter(|number| is_about_message && *number > 0),
        }
    }
}

/// A decoded record and its encoded length.
pub(crate) struct DecodedRecord {
    pub record: Record,
    /// Length of the record including its header, in bytes.
    pub length: usize,
}

/// Appends a record header and the payload that `write_payload` encodes.
fn append_record(out: &mut Vec<u8>, write_payload: impl FnOnce(&mut Encoder)) {
    let start = out.len();
    out.extend([0; RECORD_HEADER_BYTES]);
    write_payload(&mut Encoder { out });
    let payload_start = start + RECORD_HEADER_BYTES;
    let length = u32::try_from(out.len() - payload_start).unwrap_or(u32::MAX);
    let checksum = crc32fast::hash(&out[payload_start..]);
    let checksum_start = start + CHECKSUM_OFFSET;
    out[start..checksum_start].copy_from_slice(&length.to_le_bytes());
    out[checksum_start..payload_start].copy_from_slice(&checksum.to_le_bytes());
}

/// Appends a [`Record::Submitted`] with the current state of a message, without cloning the message.
pub(crate) fn encode_submitted(message_number: u32, message: &LiveMessage, out: &mut Vec<u8>) {
    append_record(out, |payload| {
        payload.u8(kind::SUBMITTED);
        payload.u32(message_number);
        payload.bytes(&message.id);
        payload.u8(u8::from(message.idempotency_key.is_some()));
        payload.bytes(message.idempotency_key.as_deref().unwrap_or_default());
        payload.u8(message.class);
        payload.u16(message.destination);
        payload.u64(message.order_key);
        payload.u64(message.submitted_at);
        payload.u64(message.deadline);
        payload.u8(u8::from(message.from_lost_instance));
        payload.u16(message.attempts);
        payload.optional_u64(message.first_possible_run.map(|start| start.started_at));
        payload.optional_u64(message.open_attempt.map(|start| start.started_at));
        payload.pending_notification(message.pending_notification);
        payload.bytes(&message.body);
        payload.u8(message.first_possible_run.map_or(UNKNOWN_INDEX, |start| start.zone));
        payload.u8(message.open_attempt.map_or(UNKNOWN_INDEX, |start| start.zone));
    });
}

impl Record {
    /// Appends the encoded record, including its header.
    pub fn encode(&self, out: &mut Vec<u8>) {
        match self {
            Record::Submitted { message_number, message } => encode_submitted(*message_number, message, out),
            Record::AttemptStarted { message_number, start } => append_record(out, |payload| {
                payload.u8(kind::ATTEMPT_STARTED);
                payload.u32(*message_number);
                payload.u64(start.started_at);
                payload.u8(start.zone);
            }),
            Record::AttemptCompleted { message_number, may_have_run } => append_record(out, |payload| {
                payload.u8(kind::ATTEMPT_COMPLETED);
                payload.u32(*message_number);
                payload.u8(u8::from(*may_have_run));
            }),
            Record::NotificationPending { message_number, state } => append_record(out, |payload| {
                payload.u8(kind::NOTIFICATION_PENDING);
                payload.u32(*message_number);
                payload.pending_notification(Some(*state));
            }),
            Record::Completed { message_number } => append_record(out, |payload| {
                payload.u8(kind::COMPLETED);
                payload.u32(*message_number);
            }),
            Record::Finished(message) => append_record(out, |payload| payload.finished_message(message)),
            Record::EndpointList(list) => append_record(out, |payload| {
                payload.u8(kind::ENDPOINT_LIST);
                payload.u32(0);
                payload.bytes(list);
            }),
            Record::NameTable(names) => append_record(out, |payload| payload.name_table(names)),
            Record::ClockReference(reference) => append_record(out, |payload| {
                payload.u8(kind::CLOCK_REFERENCE);
                payload.u32(0);
                payload.u64(reference.unix_time);
                payload.u64(reference.monotonic);
                payload.out.extend_from_slice(&reference.boot.0);
            }),
            Record::AttemptWithdrawn { message_number } => append_record(out, |payload| {
                payload.u8(kind::ATTEMPT_WITHDRAWN);
                payload.u32(*message_number);
            }),
        }
    }

    /// Decodes the record at the start of `bytes`.
    pub(crate) fn decode(bytes: &[u8]) -> Result<DecodedRecord, DecodeError> {
        let mut header = Decoder { rest: bytes.get(..RECORD_HEADER_BYTES).ok_or(DecodeError::Truncated)? };
        let payload_length = header.u32()? as usize;
        let checksum = header.u32()?;
        let length = RECORD_HEADER_BYTES + payload_length;
        let payload = bytes.get(RECORD_HEADER_BYTES..length).ok_or(DecodeError::Truncated)?;
        if crc32fast::hash(payload) != checksum {
            return Err(DecodeError::ChecksumMismatch);
        }
        let mut decoder = Decoder { rest: payload };
        let record = decoder.record()?;
        if !decoder.rest.is_empty() {
            return Err(DecodeError::InvalidPayload);
        }
        Ok(DecodedRecord { record, length })
    }
}

/// Appends encoded fields to a payload.
struct Encoder<'a> {
    out: &'a mut Vec<u8>,
}

impl Encoder<'_> {
    fn u8(&mut self, value: u8) {
        self.out.push(value);
    }

    fn u16(&mut self, value: u16) {
        self.out.extend(value.to_le_bytes());
    }

    fn u32(&mut self, value: u32) {
        self.out.extend(value.to_le_bytes());
    }

    fn u64(&mut self, value: u64) {
        self.out.extend(value.to_le_bytes());
    }

    /// Writes a presence byte and the value, or 0 if there is none.
    fn optional_u64(&mut self, value: Option<u64>) {
        self.u8(u8::from(value.is_some()));
        self.u64(value.unwrap_or(0));
    }

    /// Writes a four-byte length followed by the bytes.
    fn bytes(&mut self, value: &[u8]) {
        self.u32(u32::try_from(value.len()).unwrap_or(u32::MAX));
        self.out.extend_from_slice(value);
    }

    fn pending_notification(&mut self, state: Option<TerminalState>) {
        match state {
            None => self.u8(notification::NONE),
            Some(TerminalState::Undeliverable) => self.u8(notification::UNDELIVERABLE),
            Some(TerminalState::Deferred(retry_after_ms)) => {
                self.u8(notification::DEFERRED);
                self.optional_u64(retry_after_ms);
            }
        }
    }

    /// Writes an unused message number, the id, the outcome and the deadline.
    fn finished_message(&mut self, message: &FinishedMessage) {
        self.u8(kind::FINISHED);
        self.u32(0);
        self.bytes(&message.id);
        self.u8(match message.outcome {
            FinishedOutcome::Delivered => finished::DELIVERED,
            FinishedOutcome::Undeliverable => finished::UNDELIVERABLE,
        });
        self.u64(message.deadline);
    }

    /// Writes the number of classes, all class names, all class effects, and the zone names up to the end of the
    /// payload.
    fn name_table(&mut self, names: &NameTable) {
        self.u8(kind::NAME_TABLE);
        self.u32(u32::try_from(names.classes.len()).unwrap_or(u32::MAX));
        names.classes.iter().for_each(|class| self.bytes(class.name.as_bytes()));
        names.classes.iter().for_each(|class| self.u8(class.effect));
        names.zones.iter().for_each(|zone| self.bytes(zone.as_bytes()));
    }
}

/// Reads fields from the front of a payload.
struct Decoder<'a> {
    rest: &'a [u8],
}

impl<'a> Decoder<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let (taken, rest) = self.rest.split_at_checked(count).ok_or(DecodeError::InvalidPayload)?;
        self.rest = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let (taken, rest) = self.rest.split_first_chunk().ok_or(DecodeError::InvalidPayload)?;
        self.rest = rest;
        Ok(*taken)
    }

    fn u8(&mut self) -> Result<u8, DecodeError> {
        self.array().map(u8::from_le_bytes)
    }

    fn u16(&mut self) -> Result<u16, DecodeError> {
        self.array().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Result<u32, DecodeError> {
        self.array().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Result<u64, DecodeError> {
        self.array().map(u64::from_le_bytes)
    }

    fn flag(&mut self) -> Result<bool, DecodeError> {
        match self.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(DecodeError::InvalidPayload),
        }
    }

    fn optional_u64(&mut self) -> Result<Option<u64>, DecodeError> {
        let is_present = self.flag()?;
        let value = self.u64()?;
        Ok(is_present.then_some(value))
    }

    fn bytes(&mut self) -> Result<Vec<u8>, DecodeError> {
        let length = self.u32()? as usize;
        self.take(length).map(<[u8]>::to_vec)
    }

    fn text(&mut self) -> Result<String, DecodeError> {
        String::from_utf8(self.bytes()?).map_err(|_| DecodeError::InvalidPayload)
    }

    /// Reads an index at the end of a payload; [`UNKNOWN_INDEX`] if an earlier version wrote the payload without it.
    fn trailing_index(&mut self) -> u8 {
        self.u8().unwrap_or(UNKNOWN_INDEX)
    }

    fn pending_notification(&mut self) -> Result<Option<TerminalState>, DecodeError> {
        match self.u8()? {
            notification::NONE => Ok(None),
            notification::UNDELIVERABLE => Ok(Some(TerminalState::Undeliverable)),
            notification::DEFERRED => Ok(Some(TerminalState::Deferred(self.optional_u64()?))),
            _ => Err(DecodeError::InvalidPayload),
        }
    }

    fn record(&mut self) -> Result<Record, DecodeError> {
        let kind = self.u8()?;
        // The message number, or the number of classes in a name table. A clock reference stores an unused 0 here.
        let number = self.u32()?;
        Ok(match kind {
            kind::SUBMITTED => {
                Record::Submitted { message_number: number, message: Box::new(self.live_message()?) }
            }
            kind::ATTEMPT_STARTED => {
                let start = AttemptStart { started_at: self.u64()?, zone: self.trailing_index() };
                Record::AttemptStarted { message_number: number, start }
            }
            kind::ATTEMPT_COMPLETED => {
                Record::AttemptCompleted { message_number: number, may_have_run: self.flag()? }
            }
            kind::NOTIFICATION_PENDING => {
                let state = self.pending_notification()?.ok_or(DecodeError::InvalidPayload)?;
                Record::NotificationPending { message_number: number, state }
            }
            kind::COMPLETED => Record::Completed { message_number: number },
            kind::NAME_TABLE => Record::NameTable(self.name_table(number)?),
            kind::CLOCK_REFERENCE => Record::ClockReference(ClockReference {
                unix_time: self.u64()?,
                monotonic: self.u64()?,
                boot: BootId(self.array()?),
            }),
            kind::ATTEMPT_WITHDRAWN => Record::AttemptWithdrawn { message_number: number },
            kind::ENDPOINT_LIST => Record::EndpointList(self.bytes()?),
            kind::FINISHED => Record::Finished(self.finished_message()?),
            _ => return Err(DecodeError::InvalidPayload),
        })
    }

    fn finished_message(&mut self) -> Result<FinishedMessage, DecodeError> {
        let id = self.bytes()?;
        let outcome = match self.u8()? {
            finished::DELIVERED => FinishedOutcome::Delivered,
            finished::UNDELIVERABLE => FinishedOutcome::Undeliverable,
            _ => return Err(DecodeError::InvalidPayload),
        };
        Ok(FinishedMessage { id, outcome, deadline: self.u64()? })
    }

    fn live_message(&mut self) -> Result<LiveMessage, DecodeError> {
        let id = self.bytes()?;
        let has_idempotency_key = self.flag()?;
        let idempotency_key = self.bytes()?;
        let mut message = LiveMessage {
            id,
            idempotency_key: has_idempotency_key.then_some(idempotency_key),
            class: self.u8()?,
            destination: self.u16()?,
            order_key: self.u64()?,
            submitted_at: self.u64()?,
            deadline: self.u64()?,
            from_lost_instance: self.flag()?,
            attempts: self.u16()?,
            ..LiveMessage::default()
        };
        let first_possible_run_at = self.optional_u64()?;
        let open_attempt_at = self.optional_u64()?;
        message.pending_notification = self.pending_notification()?;
        message.body = self.bytes()?;
        message.first_possible_run = self.attempt_start(first_possible_run_at);
        message.open_attempt = self.attempt_start(open_attempt_at);
        Ok(message)
    }

    /// Combines the start time of an attempt with its zone. The payload holds a zone even if there is no attempt.
    fn attempt_start(&mut self, started_at: Option<u64>) -> Option<AttemptStart> {
        let zone = self.trailing_index();
        started_at.map(|started_at| AttemptStart { started_at, zone })
    }

    fn name_table(&mut self, class_count: u32) -> Result<NameTable, DecodeError> {
        let names: Vec<String> = (0..class_count).map(|_| self.text()).collect::<Result<_, _>>()?;
        let classes =
            names.into_iter().map(|name| ClassEntry { name, effect: self.trailing_index() }).collect();
        let mut zones = Vec::new();
        while !self.rest.is_empty() {
            zones.push(self.text()?);
        }
        Ok(NameTable { classes, zones })
    }
}
