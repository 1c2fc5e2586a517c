//! The log as state: what lives, what a turn adds, when a new segment is due, and what a start finds.

use crate::record::{write_submitted, LiveMessage, NameTable, Record};
use crate::store::SegmentStore;
use std::collections::BTreeMap;
use std::io;

/// Parts of the bound: what the living may take, and from what size on a segment is replaced. A new segment is
/// written beside the old one, so that both parts and one turn's records must fit; whole blocks take the rest.
const LIVING_PART: f64 = 0.36;
const SEGMENT_PART: f64 = 0.5;
/// Replacing a segment is worth it when so much of it is dead.
const LEAST_DEAD: u64 = 64 << 10;
/// Written at the head of a segment: what it is, and the version of its records.
const MAGIC: &[u8] = b"cloverstile-log 1\n";
const TEMPORARY: &str = "log.tmp";

/// What a start found.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The living, in the order in which they were taken.
    pub messages: Vec<LiveMessage>,
    /// Bytes of a torn or damaged tail that were given up.
    pub discarded_bytes: usize,
    /// What places meant at that time; nothing in a log of before that was kept.
    pub names: NameTable,
}

/// A log in a folder.
pub struct Log<F> {
    folder: F,
    bound: u64,
    segment: u64,
    /// Bytes of the segment that count.
    length: u64,
    living: BTreeMap<u32, LiveMessage>,
    living_bytes: u64,
    batch: Vec<u8>,
    names: NameTable,
    /// Records were dropped: nothing is appended before a new segment says how all stands.
    torn: bool,
}

/// What a message takes in a segment, at most.
fn size(living: &LiveMessage) -> u64 {
    (living.id.len() + living.idempotency_key.as_ref().map_or(0, Vec::len) + living.body.len() + 96) as u64
}

fn name(segment: u64) -> String {
    format!("log.{segment}")
}

fn segment_of(name: &str) -> Option<u64> {
    name.strip_prefix("log.")?.parse().ok()
}

impl<F: SegmentStore> Log<F> {
    /// Reads what an earlier process left, and begins an empty segment. The caller takes the living on again,
    /// under numbers of its own, with [`Record::Submitted`], and commits. Until then the old segment stays.
    pub fn open(folder: F, bound: u64) -> io::Result<(Self, Recovered)> {
        let mut log = Log {
            folder,
            bound,
            segment: 0,
            length: 0,
            living: BTreeMap::new(),
            living_bytes: 0,
            batch: Vec::new(),
            names: NameTable::default(),
            torn: true,
        };
        log.folder.remove(TEMPORARY)?;
        let mut segments: Vec<u64> = log.folder.names()?.iter().filter_map(|name| segment_of(name)).collect();
        segments.sort_unstable();
        let mut recovered = Recovered::default();
        if let Some(newest) = segments.pop() {
            log.segment = newest;
            let bytes = log.folder.read(&name(newest))?;
            recovered.discarded_bytes = log.replay(&bytes);
            recovered.messages = std::mem::take(&mut log.living).into_values().collect();
            log.living_bytes = 0;
            recovered.names = std::mem::take(&mut log.names);
        }
        for old in segments {
            log.folder.remove(&name(old))?;
        }
        Ok((log, recovered))
    }

    /// Applies a segment's records; tells how many bytes at its end mean nothing.
    fn replay(&mut self, bytes: &[u8]) -> usize {
        let Some(mut rest) = bytes.strip_prefix(MAGIC) else { return bytes.len() };
        while let Some((record, used)) = Record::read(rest) {
            self.apply(record);
            rest = &rest[used..];
        }
        rest.len()
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Submitted { message_number: seq, message: living } => {
                self.living_bytes += size(&living);
                self.living.insert(seq, *living);
            }
            Record::AttemptStarted { message_number: seq, start: began } => {
                if let Some(living) = self.living.get_mut(&seq) {
                    living.attempts = living.attempts.saturating_add(1);
                    living.open_attempt = Some(began);
                }
            }
            Record::AttemptCompleted { message_number: seq, may_have_run } => {
                if let Some(living) = self.living.get_mut(&seq) {
                    let begun = living.open_attempt.take();
                    if may_have_run && living.may_have_run.is_none() {
                        living.may_have_run = begun;
                    }
                }
            }
            Record::NotificationPending { message_number: seq, state: ending } => {
                if let Some(living) = self.living.get_mut(&seq) {
                    self.living_bytes -= living.body.len() as u64;
                    living.body = Vec::new();
                    living.pending_notification = Some(ending);
                }
            }
            Record::Completed { message_number: seq } => {
                if let Some(living) = self.living.remove(&seq) {
                    self.living_bytes -= size(&living);
                }
            }
            Record::NameTable(names) => self.names = names,
        }
    }

    /// Adds a record to the turn. A record of a message that is not living is dropped.
    pub fn record(&mut self, record: Record) {
        let known = match &record {
            Record::Submitted { .. } | Record::NameTable(_) => true,
            Record::AttemptStarted { message_number: seq, .. }
            | Record::AttemptCompleted { message_number: seq, .. }
            | Record::NotificationPending { message_number: seq, .. }
            | Record::Completed { message_number: seq } => self.living.contains_key(seq),
        };
        if known {
            record.write(&mut self.batch);
            self.apply(record);
        }
    }

    /// What is known of a message that lives.
    pub fn message(&self, seq: u32) -> Option<&LiveMessage> {
        self.living.get(&seq)
    }

    /// Its folder.
    pub fn store(&self) -> &F {
        &self.folder
    }

    /// The same, to be changed.
    pub fn store_mut(&mut self) -> &mut F {
        &mut self.folder
    }

    /// Whether a message with such a body may be taken on: it must fit with all that lives.
    pub fn has_room(&self, body: usize) -> bool {
        self.living_bytes + body as u64 + 512 <= (self.bound as f64 * LIVING_PART) as u64
    }

    /// Writes the turn's records in one write; a new segment where one is due. After an error nothing of the turn is
    /// on disk, and the caller takes back what must not happen unlogged; the next commit writes all anew.
    pub fn commit(&mut self) -> io::Result<()> {
        if self.batch.is_empty() && !self.torn {
            return Ok(());
        }
        let batch = std::mem::take(&mut self.batch);
        let full = self.length + batch.len() as u64 > (self.bound as f64 * SEGMENT_PART) as u64
            || self.length > self.living_bytes * 4 + LEAST_DEAD;
        if self.torn || full {
            return self.replace();
        }
        if let Err(error) = self.folder.append(&name(self.segment), &batch) {
            // Guards against a half-written turn with later ones behind it, which no start would read.
            self.torn = true;
            let _ = self.folder.truncate(&name(self.segment), self.length);
            return Err(error);
        }
        self.length += batch.len() as u64;
        Ok(())
    }

    /// Writes the living to a new segment, which then takes the place of the old one.
    fn replace(&mut self) -> io::Result<()> {
        self.torn = true;
        let mut bytes = MAGIC.to_vec();
        if self.names != NameTable::default() {
            Record::NameTable(self.names.clone()).write(&mut bytes);
        }
        for (seq, living) in &self.living {
            write_submitted(*seq, living, &mut bytes);
        }
        self.folder.remove(TEMPORARY)?;
        let next = self.segment + 1;
        let written = self.folder.append(TEMPORARY, &bytes);
        if let Err(error) = written.and_then(|()| self.folder.rename(TEMPORARY, &name(next))) {
            let _ = self.folder.remove(TEMPORARY);
            return Err(error);
        }
        // From here on the new segment counts, whether the old one could be removed or not.
        let old = std::mem::replace(&mut self.segment, next);
        self.length = bytes.len() as u64;
        self.torn = false;
        let _ = self.folder.remove(&name(old));
        Ok(())
    }
}
