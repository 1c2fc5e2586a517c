//! Records, batches and stores that the tests of the log share.
#![allow(dead_code, reason = "each test file uses a part of the module")]

use cloverstile_wal::store::{MemoryStore, SegmentStore};
use cloverstile_wal::{AttemptStart, ClassEntry, LiveMessage};

pub const CAPACITY_BYTES: u64 = 1 << 20;

pub fn message(number: u32, body_length: usize) -> LiveMessage {
    LiveMessage {
        id: format!("m{number}").into_bytes(),
        idempotency_key: number.is_multiple_of(2).then(|| b"key".to_vec()),
        class: 1,
        destination: 7,
        order_key: u64::from(number % 3),
        submitted_at: 10,
        deadline: 20,
        body: vec![number as u8; body_length],
        ..LiveMessage::default()
    }
}

pub fn attempt_start(at: u64) -> AttemptStart {
    AttemptStart { started_at: at, zone: at as u8 % 3 }
}

pub fn class_entry(name: &str, effect: u8) -> ClassEntry {
    ClassEntry { name: name.to_owned(), effect }
}

/// Encodes a frame independently of the implementation: length, checksum of sequence number and records, sequence
/// number, records.
pub fn frame(sequence: u64, records: &[u8]) -> Vec<u8> {
    let checked = [&sequence.to_le_bytes()[..], records].concat();
    let length = (records.len() as u32).to_le_bytes();
    [&length[..], &crc32fast::hash(&checked).to_le_bytes(), &checked].concat()
}

/// A store with injected faults.
#[derive(Default)]
pub struct FailingStore {
    pub store: MemoryStore,
    /// The next append writes only this many bytes and fails.
    pub tear_append_after: Option<usize>,
    /// Every truncation fails.
    pub truncate_fails: bool,
    /// Every removal fails.
    pub remove_fails: bool,
    /// Every renaming and every removal takes effect and reports an error.
    pub fails_behind_effect: bool,
}

impl SegmentStore for FailingStore {
    fn file_names(&self) -> std::io::Result<Vec<String>> {
        self.store.file_names()
    }
    fn read(&self, name: &str) -> std::io::Result<Vec<u8>> {
        self.store.read(name)
    }
    fn length(&self, name: &str) -> std::io::Result<u64> {
        self.store.length(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        let Some(written) = self.tear_append_after.take() else { return self.store.append(name, bytes) };
        self.store.append(name, &bytes[..written.min(bytes.len())])?;
        Err(std::io::Error::other("torn"))
    }
    fn truncate(&mut self, name: &str, length: u64) -> std::io::Result<()> {
        if self.truncate_fails {
            return Err(std::io::Error::other("can't be truncated"));
        }
        self.store.truncate(name, length)
    }
    fn rename(&mut self, from: &str, to: &str) -> std::io::Result<()> {
        self.store.rename(from, to)?;
        self.result_behind_effect()
    }
    fn remove(&mut self, name: &str) -> std::io::Result<()> {
        if self.remove_fails {
            return Err(std::io::Error::other("can't be removed"));
        }
        self.store.remove(name)?;
        self.result_behind_effect()
    }
}

impl FailingStore {
    fn result_behind_effect(&self) -> std::io::Result<()> {
        if self.fails_behind_effect {
            return Err(std::io::Error::other("fails behind its effect"));
        }
        Ok(())
    }
}
