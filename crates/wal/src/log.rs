//! The log itself: live messages, the batch of the current turn, commit, compaction and recovery.

use crate::capacity::CapacityShares;
use crate::codec::{encode_submitted, DecodeError, UndecodableRecord, MAX_BATCH_BYTES};
use crate::finished::FinishedMessages;
#[cfg(feature = "planted-defects")]
use crate::frame::FRAME_HEADER_BYTES;
use crate::frame::{append_frame, decode_frame, BatchTooLong};
use crate::record::{
    AttemptStart, ClockReference, FinishedMessage, LiveMessage, NameTable, Record, UNKNOWN_INDEX,
};
use crate::store::SegmentStore;
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use std::collections::BTreeMap;
use std::io;

/// A segment is compacted once its size exceeds the size of the live and the kept finished messages times this ratio, plus
/// [`MIN_DEAD_BYTES`].
const COMPACTION_SIZE_RATIO: u64 = 4;
/// Minimum size of completed messages in a segment that makes compaction worthwhile, in bytes.
const MIN_DEAD_BYTES: u64 = 64 << 10;
/// Upper bound of the encoded size of a message without its id, idempotency key and body, in bytes.
const MAX_FIXED_FIELD_BYTES: usize = 96;
/// Upper bound of the encoded size of a message without its body, in bytes.
const MAX_METADATA_BYTES: u64 = 512;
/// Header of a segment: file type and format version.
const SEGMENT_HEADER: &[u8] = b"cloverstile-log 2\n";
/// Header of a segment of format version 1, whose records have no frames.
const UNFRAMED_SEGMENT_HEADER: &[u8] = b"cloverstile-log 1\n";
/// Name of a segment that compaction is writing, until it is complete.
const TEMPORARY_NAME: &str = "log.tmp";

/// State recovered from the log of an earlier process.
#[derive(Debug, Default)]
pub struct RecoveredState {
    /// The live messages, ordered by message number.
    pub messages: Vec<LiveMessage>,
    /// Messages that were attempted and completed, in the order in which they were.
    pub finished: Vec<FinishedMessage>,
    /// The endpoint list that the earlier process was told; empty if none was kept.
    pub endpoint_list: Vec<u8>,
    /// Number of bytes discarded at the end of the segment, starting with the first torn or damaged batch or record.
    pub discarded_bytes: usize,
    /// Why bytes were discarded. `None` if none were, or if the whole segment was because it has no valid header.
    pub decode_error: Option<DecodeError>,
    /// Records in intact batches that can't be decoded. All others were applied.
    pub skipped_records: Vec<UndecodableRecord>,
    /// Names behind the class and zone indices in the messages; empty if the version that wrote the log did not store
    /// them.
    pub names: NameTable,
    /// Reference for the times in the messages; `None` if the version that wrote the log did not store one.
    pub clock: Option<ClockReference>,
    /// Why obsolete files could not be removed. They are ignored, and the log tries again later to remove them.
    pub cleanup_error: Option<io::Error>,
}

/// What the log holds, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogUsage {
    /// Upper bound of the encoded size of the live messages.
    pub live: u64,
    /// Size of the current segment, without records that are not committed yet.
    pub segment: u64,
}

/// A write-ahead log in a [`SegmentStore`].
pub struct Log<S> {
    store: S,
    /// Limits of what the files may hold.
    shares: CapacityShares,
    /// Number of the current segment, to which batches are appended.
    segment: u64,
    /// Committed length of the current segment, in bytes.
    segment_length: u64,
    live_messages: BTreeMap<u32, LiveMessage>,
    /// Upper bound of the encoded size of all live messages, in bytes.
    live_bytes: u64,
    finished: FinishedMessages,
    endpoint_list: Vec<u8>,
    /// Latest time in the records so far, in Unix nanoseconds.
    latest_time: u64,
    /// Number of frames in the current segment, which is the sequence number of the next one.
    frame_count: u64,
    /// Encoded records of the current turn.
    batch: Vec<u8>,
    names: NameTable,
    /// Encoded size of the names, in bytes.
    names_bytes: u64,
    clock: Option<ClockReference>,
    /// Obsolete files that are not removed yet. No new segment is written while one is left, because the capacity
    /// applies to all files together.
    obsolete_files: Vec<String>,
    /// Whether the next commit must start a new segment: after recovery or a failed write, the current segment must not
    /// be appended to.
    needs_new_segment: bool,
}

/// Upper bound of the encoded size of a message, in bytes.
fn max_encoded_size(message: &LiveMessage) -> u64 {
    let key_length = message.idempotency_key.as_ref().map_or(0, Vec::len);
    (message.id.len() + key_length + message.body.len() + MAX_FIXED_FIELD_BYTES) as u64
}

fn encoded_size(record: &Record) -> u64 {
    let mut bytes = Vec::new();
    record.encode(&mut bytes);
    bytes.len() as u64
}

fn segment_name(segment: u64) -> String {
    format!("log.{segment}")
}

fn parse_segment_number(name: &str) -> Option<u64> {
    name.strip_prefix("log.")?.parse().ok()
}

impl<S: SegmentStore> Log<S> {
    /// Opens a log of at most `capacity` bytes, or 1 GiB if that is less, and recovers the state that an earlier process
    /// left. The caller must log the recovered messages again with [`Record::Submitted`], under message numbers of its own
    /// choice, and commit. The old segment is kept until then.
    ///
    /// # Errors
    ///
    /// The files can't be listed or read. An obsolete file that can't be removed is not an error: see
    /// [`RecoveredState::cleanup_error`].
    pub fn open(store: S, capacity: u64) -> io::Result<(Self, RecoveredState)> {
        let mut log = Log {
            store,
            shares: CapacityShares::new(capacity.min(MAX_BATCH_BYTES as u64)),
            segment: 0,
            segment_length: 0,
            live_messages: BTreeMap::new(),
            live_bytes: 0,
            finished: FinishedMessages::default(),
            endpoint_list: Vec::new(),
            latest_time: 0,
            frame_count: 0,
            batch: Vec::new(),
            names: NameTable::default(),
            names_bytes: 0,
            clock: None,
            obsolete_files: Vec::new(),
            needs_new_segment: true,
        };
        let mut segments: Vec<u64> =
            log.store.file_names()?.iter().filter_map(|name| parse_segment_number(name)).collect();
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

    /// Replays the records of a segment and moves the resulting state out of the log.
    fn recover(&mut self, segment: &[u8]) -> RecoveredState {
        let mut recovered = RecoveredState::default();
        if let Some(frames) = segment.strip_prefix(SEGMENT_HEADER) {
            self.replay_frames(frames, &mut recovered);
        } else if let Some(records) = segment.strip_prefix(UNFRAMED_SEGMENT_HEADER) {
            self.replay_records(records, &mut recovered);
        } else {
            recovered.discarded_bytes = segment.len();
        }
        recovered.clock = self.clock.take();
        recovered.messages = std::mem::take(&mut self.live_messages).into_values().collect();
        recovered.finished = self.finished.take();
        recovered.endpoint_list = std::mem::take(&mut self.endpoint_list);
        recovered.names = std::mem::take(&mut self.names);
        self.names_bytes = 0;
        self.live_bytes = 0;
        recovered
    }

    /// Applies batches up to the first one that can't be decoded.
    fn replay_frames(&mut self, mut frames: &[u8], recovered: &mut RecoveredState) {
        for sequence in 0.. {
            if frames.is_empty() {
                return;
            }
            match decode_frame(sequence, frames) {
                Ok(decoded) => {
                    for record in decoded.records {
                        match record {
                            Ok(record) => self.apply(record),
                            Err(undecodable) => self.skip(undecodable, recovered),
                        }
                    }
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

    /// Skips a record that can't be decoded. It may have said that an attempt was started, so that its message counts as one
    /// that may have run since its submission.
    fn skip(&mut self, undecodable: UndecodableRecord, recovered: &mut RecoveredState) {
        recovered.skipped_records.push(undecodable);
        let message = undecodable.message_number.and_then(|number| self.live_messages.get_mut(&number));
        if let Some(message) = message {
            let start = AttemptStart { started_at: message.submitted_at, zone: UNKNOWN_INDEX };
            message.attempts = message.attempts.max(1);
            message.first_possible_run = Some(start);
        }
    }

    /// Applies records without frames up to the first one that can't be decoded.
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

    /// Updates the state of the live messages. Records of unknown messages are ignored.
    fn apply(&mut self, record: Record) {
        match record {
            Record::Submitted { message_number, message } => {
                self.live_bytes += max_encoded_size(&message);
                self.latest_time = self.latest_time.max(message.submitted_at);
                self.live_messages.insert(message_number, *message);
            }
            Record::AttemptStarted { message_number, start } => {
                if let Some(message) = self.live_messages.get_mut(&message_number) {
                    message.attempts = message.attempts.saturating_add(1);
                    self.latest_time = self.latest_time.max(start.started_at);
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
                    self.live_bytes -= max_encoded_size(&message);
                    FinishedMessage::of(message).into_iter().for_each(|message| self.keep_finished(message));
                }
            }
            Record::Finished(message) => self.keep_finished(message),
            Record::EndpointList(list) => self.endpoint_list = list,
            Record::NameTable(names) => {
                self.names_bytes = encoded_size(&Record::NameTable(names.clone()));
                self.names = names;
            }
            Record::ClockReference(reference) => self.clock = Some(reference),
            Record::AttemptWithdrawn { message_number } => {
                if let Some(message) = self.live_messages.get_mut(&message_number) {
                    message.attempts = message.attempts.saturating_sub(1);
                    message.open_attempt = None;
                }
            }
        }
    }

    /// Keeps a finished message, and forgets those that have expired or no longer fit.
    fn keep_finished(&mut self, message: FinishedMessage) {
        self.finished.push(message);
        self.finished.prune(self.latest_time, self.shares.finished);
    }

    /// Adds a record to the batch of the current turn. A record of a message that is not live is dropped.
    pub fn record(&mut self, record: Record) {
        let applies = match &record {
            Record::EndpointList(list) => list.len() <= self.max_endpoint_list_bytes(),
            Record::Submitted { .. }
            | Record::Finished(_)
            | Record::NameTable(_)
            | Record::ClockReference(_) => true,
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

    /// Maximum size of the endpoint list, in bytes. A record of a larger one is dropped.
    pub fn max_endpoint_list_bytes(&self) -> usize {
        usize::try_from(self.shares.endpoint_list).unwrap_or(usize::MAX)
    }

    /// Returns a live message, including the effect of records that are not committed yet.
    pub fn message(&self, message_number: u32) -> Option<&LiveMessage> {
        self.live_messages.get(&message_number)
    }

    /// Returns the store that holds the segments.
    pub fn store(&self) -> &S {
        &self.store
    }

    /// Returns the store that holds the segments, for modification. Tests use it to inject faults.
    pub fn store_mut(&mut self) -> &mut S {
        &mut self.store
    }

    /// Whether a message with a body of `body_length` bytes may be submitted: it must fit into the capacity together
    /// with all live messages and the names that they refer to.
    pub fn has_room(&self, body_length: usize) -> bool {
        let needed = self.live_bytes + self.names_bytes + body_length as u64 + MAX_METADATA_BYTES;
        needed <= self.shares.live
    }

    /// Returns what the log holds.
    pub fn usage(&self) -> LogUsage {
        LogUsage { live: self.live_bytes, segment: self.segment_length }
    }

    /// Whether all records are stored and no new segment is due. After a failed write this is false until a commit has
    /// written a new segment.
    pub fn is_stored(&self) -> bool {
        self.batch.is_empty() && !self.needs_new_segment
    }

    /// Appends the records of the turn in one write, or compacts the log into a new segment if that is due.
    ///
    /// # Errors
    ///
    /// The store can't be written. Recovery then finds none of the records of the turn, and the caller must undo
    /// actions that require a stored record. The next commit starts a new segment with the complete state of the log.
    /// If the store reports an error although the file holds the whole batch, and the batch can't be truncated again,
    /// the commit counts as successful, because recovery finds the batch.
    pub fn commit(&mut self) -> io::Result<()> {
        if self.batch.is_empty() && !self.needs_new_segment {
            return Ok(());
        }
        let records = std::mem::take(&mut self.batch);
        if self.needs_new_segment || self.is_compaction_due(records.len()) {
            return self.compact();
        }
        let mut frame = Vec::with_capacity(records.len());
        if let Err(error) = append_frame(self.frame_count, &mut frame, |out| out.extend_from_slice(&records))
        {
            self.needs_new_segment = true;
            return Err(io::Error::other(error));
        }
        self.append(&frame)
    }

    /// Appends a frame to the current segment.
    fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        let name = segment_name(self.segment);
        let end = self.segment_length + frame.len() as u64;
        if let Err(error) = self.store.append(&name, frame) {
            // Recovery would not read frames appended behind a torn one.
            self.needs_new_segment = true;
            let is_truncated = self.store.truncate(&name, self.segment_length).is_ok();
            let is_complete = !is_truncated && self.store.length(&name).is_ok_and(|length| length >= end);
            return if is_complete { Ok(()) } else { Err(error) };
        }
        self.segment_length = end;
        self.frame_count += 1;
        Ok(())
    }

    /// Whether the current segment would become too large with the batch, or consists mostly of completed messages.
    fn is_compaction_due(&self, batch_length: usize) -> bool {
        let is_full = self.segment_length + batch_length as u64 > self.shares.segment;
        let kept_bytes =
            self.live_bytes + self.names_bytes + self.finished.bytes() + self.endpoint_list.len() as u64;
        is_full || self.segment_length > kept_bytes * COMPACTION_SIZE_RATIO + MIN_DEAD_BYTES
    }

    /// Writes the state of the log to a new segment, which then replaces the current one.
    fn compact(&mut self) -> io::Result<()> {
        self.needs_new_segment = true;
        self.remove_obsolete_files()?;
        let bytes = self.encode_segment().map_err(io::Error::other)?;
        let next = self.segment + 1;
        let written = self.store.append(TEMPORARY_NAME, &bytes);
        if let Err(error) = written.and_then(|()| self.store.rename(TEMPORARY_NAME, &segment_name(next))) {
            // The rename may have taken effect although it reported an error. Recovery would then find the new segment, so
            // that it is removed, or is the current one if it can't be. A removal may report an error behind its effect, too.
            let new_name = segment_name(next);
            let is_renamed = self.store.length(&new_name).is_ok();
            let is_left =
                is_renamed && self.store.remove(&new_name).is_err() && self.store.length(&new_name).is_ok();
            if !is_left {
                self.obsolete_files.push(TEMPORARY_NAME.to_owned());
                return Err(error);
            }
        }
        // From here on the new segment is the current one, even if the old one can't be removed.
        let old = std::mem::replace(&mut self.segment, next);
        self.segment_length = bytes.len() as u64;
        self.frame_count = 1;
        self.needs_new_segment = false;
        // Recovery ignores the old segment. If it can't be removed now, it is removed before the next segment is
        // written.
        self.obsolete_files.push(segment_name(old));
        let _ = self.remove_obsolete_files();
        Ok(())
    }

    /// Removes obsolete files, up to the first one that can't be removed. The rest is left for the next call.
    fn remove_obsolete_files(&mut self) -> io::Result<()> {
        while let Some(name) = self.obsolete_files.last() {
            self.store.remove(name)?;
            self.obsolete_files.pop();
        }
        Ok(())
    }

    /// Encodes a segment with one batch that holds the complete state of the log.
    fn encode_segment(&self) -> Result<Vec<u8>, BatchTooLong> {
        let mut bytes = SEGMENT_HEADER.to_vec();
        append_frame(0, &mut bytes, |out| {
            if let Some(reference) = self.clock {
                Record::ClockReference(reference).encode(out);
            }
            if self.names != NameTable::default() {
                Record::NameTable(self.names.clone()).encode(out);
            }
            if !self.endpoint_list.is_empty() {
                Record::EndpointList(self.endpoint_list.clone()).encode(out);
            }
            for message in self.finished.iter() {
                Record::Finished(message.clone()).encode(out);
            }
            for (message_number, message) in &self.live_messages {
                encode_submitted(*message_number, message, out);
            }
        })?;
        Ok(bytes)
    }
}
