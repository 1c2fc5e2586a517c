//! State of the log: live messages, records of the current turn, commit, compaction and recovery.

use crate::codec::{encode_submitted, DecodeError};
#[cfg(feature = "planted-defects")]
use crate::frame::FRAME_HEADER_BYTES;
use crate::frame::{append_frame, decode_frame};
use crate::record::{ClockReference, LiveMessage, NameTable, Record};
use crate::store::SegmentStore;
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use std::collections::BTreeMap;
use std::io;

/// Share of the capacity that live messages may take. Compaction writes a new segment beside the old one, so that both
/// shares and one turn's records must fit; whole blocks of the file system take the rest.
const LIVE_MESSAGES_SHARE: f64 = 0.36;
/// Share of the capacity at which a segment is compacted.
const SEGMENT_SHARE: f64 = 0.5;
/// A segment is compacted once it is larger than this many times its live messages and [`MIN_DEAD_BYTES`] more.
const MAX_SIZE_RATIO: u64 = 4;
/// Bytes of completed messages for which compaction pays.
const MIN_DEAD_BYTES: u64 = 64 << 10;
/// Upper bound of what a message takes in a segment beside its id, idempotency key and body, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 96;
/// Upper bound of what a message takes in a segment beside its body, in bytes.
const MAX_BYTES_BESIDE_BODY: u64 = 512;
/// Head of a segment: what the file is, and the version of its form.
const SEGMENT_HEADER: &[u8] = b"cloverstile-log 2\n";
/// Head of a segment of the first version, whose records stand without frames.
const SEGMENT_HEADER_WITHOUT_FRAMES: &[u8] = b"cloverstile-log 1\n";
/// Name of a segment that is being written.
const TEMPORARY_NAME: &str = "log.tmp";

/// What an earlier process left.
#[derive(Debug, Default)]
pub struct RecoveredState {
    /// The live messages, in the order of their numbers.
    pub messages: Vec<LiveMessage>,
    /// Bytes at the segment's end that were discarded, from the first torn or damaged record on.
    pub discarded_bytes: usize,
    /// Why they were discarded; none where there are none, or where the segment has no header.
    pub decode_error: Option<DecodeError>,
    /// What indices in the messages mean; empty where the log's version did not store it.
    pub names: NameTable,
    /// The clock of the messages' times; none where the log's version did not store it.
    pub clock: Option<ClockReference>,
    /// Why files of earlier segments could not be removed. They do not count; the log removes them later.
    pub cleanup_error: Option<io::Error>,
}

/// A write-ahead log in a [`SegmentStore`].
pub struct Log<S> {
    store: S,
    /// Most bytes that the log may take in its store.
    capacity: u64,
    /// Number of the segment that is appended to.
    segment: u64,
    /// Bytes of the segment that were committed.
    segment_length: u64,
    live_messages: BTreeMap<u32, LiveMessage>,
    /// What the live messages take in a segment, at most.
    live_bytes: u64,
    /// Frames in the segment.
    frames: u64,
    /// Encoded records of the current turn.
    batch: Vec<u8>,
    names: NameTable,
    clock: Option<ClockReference>,
    /// Files that count no longer and could not be removed. No new segment is written before they are: the capacity holds
    /// for all files together.
    obsolete_files: Vec<String>,
    /// The segment can't be appended to, after recovery or a failed write: the next commit starts a new one.
    needs_new_segment: bool,
}

/// What a message takes in a segment, at most.
fn stored_size(message: &LiveMessage) -> u64 {
    let key_length = message.idempotency_key.as_ref().map_or(0, Vec::len);
    (message.id.len() + key_length + message.body.len() + MESSAGE_OVERHEAD_BYTES) as u64
}

fn segment_name(segment: u64) -> String {
    format!("log.{segment}")
}

fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix("log.")?.parse().ok()
}

impl<S: SegmentStore> Log<S> {
    /// Recovers what an earlier process left, in a log of at most `capacity` bytes. The caller submits the recovered
    /// messages again, under numbers of its own, with [`Record::Submitted`], and commits. Until then the old segment
    /// stays.
    ///
    /// # Errors
    ///
    /// The files can't be listed or read. One that can't be removed is none: it does not count, and is removed later.
    pub fn open(store: S, capacity: u64) -> io::Result<(Self, RecoveredState)> {
        let mut log = Log {
            store,
            capacity,
            segment: 0,
            segment_length: 0,
            live_messages: BTreeMap::new(),
            live_bytes: 0,
            frames: 0,
            batch: Vec::new(),
            names: NameTable::default(),
            clock: None,
            obsolete_files: Vec::new(),
            needs_new_segment: true,
        };
        let mut segments: Vec<u64> =
            log.store.file_names()?.iter().filter_map(|name| segment_number(name)).collect();
        segments.sort_unstable();
        let mut recovered = RecoveredState::default();
        if let Some(newest) = segments.pop() {
            log.segment = newest;
            let bytes = log.store.read(&segment_name(newest))?;
            recovered = log.recover(&bytes);
        }
        let older = segments.into_iter().map(segment_name);
        log.obsolete_files = older.chain([TEMPORARY_NAME.to_owned()]).collect();
        recovered.cleanup_error = log.remove_obsolete_files().err();
        Ok((log, recovered))
    }

    /// Replays a segment's records; the log holds none of their messages afterwards.
    fn recover(&mut self, segment: &[u8]) -> RecoveredState {
        let mut recovered = RecoveredState::default();
        if let Some(frames) = segment.strip_prefix(SEGMENT_HEADER) {
            self.replay_frames(frames, &mut recovered);
        } else if let Some(records) = segment.strip_prefix(SEGMENT_HEADER_WITHOUT_FRAMES) {
            self.replay_records(records, &mut recovered);
        } else {
            recovered.discarded_bytes = segment.len();
        }
        recovered.clock = self.clock.take();
        recovered.messages = std::mem::take(&mut self.live_messages).into_values().collect();
        recovered.names = std::mem::take(&mut self.names);
        self.live_bytes = 0;
        recovered
    }

    /// Applies batches up to the first one that can't be read.
    fn replay_frames(&mut self, mut frames: &[u8], recovered: &mut RecoveredState) {
        for sequence in 0.. {
            if frames.is_empty() {
                return;
            }
            match decode_frame(sequence, frames) {
                Ok(decoded) => {
                    decoded.records.into_iter().for_each(|record| self.apply(record));
                    frames = &frames[decoded.length..];
                }
                Err(error) => {
                    #[cfg(feature = "planted-defects")]
                    if is_planted(PlantedDefect::HalfBatch) {
                        let records = frames.get(FRAME_HEADER_BYTES..).unwrap_or_default();
                        return self.replay_records(records, recovered);
                    }
                    recovered.discarded_bytes = frames.len();
                    recovered.decode_error = Some(error);
                    return;
                }
            }
        }
    }

    /// Applies records up to the first one that can't be read.
    fn replay_records(&mut self, mut records: &[u8], recovered: &mut RecoveredState) {
        while !records.is_empty() {
            match Record::decode(records) {
                Ok(decoded) => {
                    self.apply(decoded.record);
                    records = &records[decoded.length..];
                }
                Err(error) => {
                    recovered.discarded_bytes = records.len();
                    recovered.decode_error = Some(error);
                    return;
                }
            }
        }
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Submitted { message_number, message } => {
                self.live_bytes += stored_size(&message);
                self.live_messages.insert(message_number, *message);
            }
            Record::AttemptStarted { message_number, start } => {
                if let Some(message) = self.live_messages.get_mut(&message_number) {
                    message.attempts = message.attempts.saturating_add(1);
                    message.open_attempt = Some(start);
                }
            }
            Record::AttemptCompleted { message_number, may_have_run } => {
                if let Some(message) = self.live_messages.get_mut(&message_number) {
                    let attempt = message.open_attempt.take();
                    if may_have_run && message.first_possible_run.is_none() {
                        message.first_possible_run = attempt;
                    }
                }
            }
            Record::NotificationPending { message_number, state } => {
                if let Some(message) = self.live_messages.get_mut(&message_number) {
                    self.live_bytes -= message.body.len() as u64;
                    message.body = Vec::new();
                    message.pending_notification = Some(state);
                }
            }
            Record::Completed { message_number } => {
                if let Some(message) = self.live_messages.remove(&message_number) {
                    self.live_bytes -= stored_size(&message);
                }
            }
            Record::NameTable(names) => self.names = names,
            Record::ClockReference(reference) => self.clock = Some(reference),
            Record::AttemptWithdrawn { message_number } => {
                if let Some(message) = self.live_messages.get_mut(&message_number) {
                    message.attempts = message.attempts.saturating_sub(1);
                    message.open_attempt = None;
                }
            }
        }
    }

    /// Adds a record to the current turn. A record of a message that is not live is dropped.
    pub fn record(&mut self, record: Record) {
        let applies = match &record {
            Record::Submitted { .. } | Record::NameTable(_) | Record::ClockReference(_) => true,
            Record::AttemptWithdrawn { message_number }
            | Record::AttemptStarted { message_number, .. }
            | Record::AttemptCompleted { message_number, .. }
            | Record::NotificationPending { message_number, .. }
            | Record::Completed { message_number } => self.live_messages.contains_key(message_number),
        };
        if applies {
            record.encode(&mut self.batch);
            self.apply(record);
        }
    }

    /// A live message, with the records of the current turn applied.
    pub fn message(&self, message_number: u32) -> Option<&LiveMessage> {
        self.live_messages.get(&message_number)
    }

    /// The store that holds the segments.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// The store that holds the segments, to be changed.
    pub fn store_mut(&mut self) -> &mut S {
        &mut self.store
    }

    /// Whether a message with a body of so many bytes may be submitted: it must fit beside all live messages.
    pub fn has_room(&self, body_length: usize) -> bool {
        let needed = self.live_bytes + body_length as u64 + MAX_BYTES_BESIDE_BODY;
        needed <= (self.capacity as f64 * LIVE_MESSAGES_SHARE) as u64
    }

    /// Whether all records are stored; not after a commit that failed, whose successor stores them.
    pub fn is_stored(&self) -> bool {
        self.batch.is_empty() && !self.needs_new_segment
    }

    /// Writes the turn's records in one write, or compacts into a new segment where that is due.
    ///
    /// # Errors
    ///
    /// Any of the store's. No recovery finds any of the turn's records then, and the caller must take back what must not
    /// happen unlogged; the next commit starts a new segment with all that the log holds. A write that failed though all
    /// of it is in the file, and can't be cut off again, is no error: recovery finds it.
    pub fn commit(&mut self) -> io::Result<()> {
        if self.batch.is_empty() && !self.needs_new_segment {
            return Ok(());
        }
        let records = std::mem::take(&mut self.batch);
        if self.needs_new_segment || self.is_compaction_due(records.len()) {
            return self.compact();
        }
        let mut frame = Vec::with_capacity(records.len());
        append_frame(self.frames, &mut frame, |out| out.extend_from_slice(&records));
        self.append(&frame)
    }

    /// Appends a frame to the segment.
    fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        let name = segment_name(self.segment);
        let end = self.segment_length + frame.len() as u64;
        if let Err(error) = self.store.append(&name, frame) {
            // Guards against a torn write with later frames behind it, which no recovery would read.
            self.needs_new_segment = true;
            let is_cut = self.store.truncate(&name, self.segment_length).is_ok();
            let is_whole = !is_cut && self.store.length(&name).is_ok_and(|length| length >= end);
            return if is_whole { Ok(()) } else { Err(error) };
        }
        self.segment_length = end;
        self.frames += 1;
        Ok(())
    }

    fn is_compaction_due(&self, batch_length: usize) -> bool {
        let is_full =
            self.segment_length + batch_length as u64 > (self.capacity as f64 * SEGMENT_SHARE) as u64;
        is_full || self.segment_length > self.live_bytes * MAX_SIZE_RATIO + MIN_DEAD_BYTES
    }

    /// Writes the live messages to a new segment, which then replaces the old one.
    fn compact(&mut self) -> io::Result<()> {
        self.needs_new_segment = true;
        self.remove_obsolete_files()?;
        let bytes = self.encode_segment();
        let next = self.segment + 1;
        let written = self.store.append(TEMPORARY_NAME, &bytes);
        if let Err(error) = written.and_then(|()| self.store.rename(TEMPORARY_NAME, &segment_name(next))) {
            // A rename that failed may have happened all the same: then recovery finds the new segment.
            let is_renamed = self.store.length(&segment_name(next)).is_ok();
            if !is_renamed || self.store.remove(&segment_name(next)).is_ok() {
                self.obsolete_files.push(TEMPORARY_NAME.to_owned());
                return Err(error);
            }
        }
        // From here on the new segment counts, whether the old one could be removed or not.
        let old = std::mem::replace(&mut self.segment, next);
        self.segment_length = bytes.len() as u64;
        self.frames = 1;
        self.needs_new_segment = false;
        // Recovery reads the newest segment. One that can't be removed now is removed ahead of the next segment.
        self.obsolete_files.push(segment_name(old));
        let _ = self.remove_obsolete_files();
        Ok(())
    }

    /// Removes files that count no longer; those that can't be removed stay for the next call.
    fn remove_obsolete_files(&mut self) -> io::Result<()> {
        while let Some(name) = self.obsolete_files.last() {
            self.store.remove(name)?;
            self.obsolete_files.pop();
        }
        Ok(())
    }

    /// Bytes of a segment with the state of the log and nothing more.
    fn encode_segment(&self) -> Vec<u8> {
        let mut bytes = SEGMENT_HEADER.to_vec();
        append_frame(0, &mut bytes, |out| {
            if let Some(reference) = self.clock {
                Record::ClockReference(reference).encode(out);
            }
            if self.names != NameTable::default() {
                Record::NameTable(self.names.clone()).encode(out);
            }
            for (message_number, message) in &self.live_messages {
                encode_submitted(*message_number, message, out);
            }
        });
        bytes
    }
}
