//! The write-ahead log of a gateway, and whether it can be written at present.
//!
//! A commit that fails is tried again by a timer of its own, at growing gaps, until it succeeds. Meanwhile nothing is
//! accepted and nothing sent; what happens to requests in flight is kept in memory and stored with the next commit.

use cloverstile::{MessageId, Time};
use cloverstile_wal::store::DirectoryStore;
use cloverstile_wal::{LiveMessage, Log, Record, Recovered};
use std::io;
use std::path::Path;
use std::time::Duration;
use tracing::{debug, info, warn};

/// Gap before a failed commit is tried again; doubled after each failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Longest gap between two tries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The log can't be written at present: nothing of this turn is stored.
#[derive(Debug)]
pub struct LogUnwritable;

/// When a failed commit is tried again.
struct CommitRetry {
    at: Time,
    delay: Duration,
}

/// The log of all messages that the gateway holds.
pub struct MessageLog {
    log: Log<DirectoryStore>,
    /// The last commit failed.
    retry: Option<CommitRetry>,
}

impl MessageLog {
    /// Opens the log in a directory, with at most `max_bytes` on disk, and reads what an earlier process left.
    pub fn open(directory: &Path, max_bytes: u64) -> io::Result<(MessageLog, Recovered)> {
        let (log, recovered) = Log::open(DirectoryStore::new(directory), max_bytes)?;
        if let Some(reason) = &recovered.decode_error {
            warn!(bytes = recovered.discarded_bytes, %reason, "torn or damaged end of the log discarded");
        } else if recovered.discarded_bytes > 0 {
            warn!(bytes = recovered.discarded_bytes, "log without a readable head discarded");
        }
        if let Some(error) = &recovered.leftovers {
            warn!(%error, "file of an earlier log can't be removed, it does not count");
        }
        Ok((MessageLog { log, retry: None }, recovered))
    }

    /// Adds a record to this turn's write.
    pub fn record(&mut self, record: Record) {
        self.log.record(record);
    }

    /// Records that a message needs nothing more.
    pub fn record_completed(&mut self, message_number: u32) {
        self.log.record(Record::Completed { message_number });
    }

    /// A message that the gateway holds.
    pub fn message(&self, id: MessageId) -> Option<&LiveMessage> {
        self.log.message(id.0)
    }

    /// The client's id of a message, as log lines name it; empty for one that the gateway does not hold.
    pub fn client_id(&self, id: MessageId) -> String {
        self.message(id).map_or_else(String::new, |message| String::from_utf8_lossy(&message.id).into_owned())
    }

    /// Whether a message with a body of so many bytes may be accepted.
    pub fn can_accept(&self, body_bytes: usize) -> bool {
        let can_accept = self.is_writable() && self.log.has_room(body_bytes);
        if !can_accept {
            debug!(writable = self.is_writable(), body_bytes, "no room in the log");
        }
        can_accept
    }

    /// Whether the last commit succeeded.
    pub fn is_writable(&self) -> bool {
        self.retry.is_none()
    }

    /// Whether all records are stored.
    pub fn is_stored(&self) -> bool {
        self.is_writable() && self.log.is_stored()
    }

    /// When a failed commit is tried again.
    pub fn next_timeout(&self) -> Option<Time> {
        self.retry.as_ref().map(|retry| retry.at)
    }

    /// Writes this turn's records in one write; after a failure only once the next try is due.
    pub fn commit(&mut self, now: Time) -> Result<(), LogUnwritable> {
        if self.retry.as_ref().is_some_and(|retry| retry.at > now) {
            return Err(LogUnwritable);
        }
        match self.log.commit() {
            Ok(()) => {
                if self.retry.take().is_some() {
                    info!("log writable again");
                }
                Ok(())
            }
            Err(error) => {
                self.postpone(now, &error);
                Err(LogUnwritable)
            }
        }
    }

    fn postpone(&mut self, now: Time, error: &io::Error) {
        let delay = match &self.retry {
            Some(retry) => (retry.delay * 2).min(MAX_RETRY_DELAY),
            None => FIRST_RETRY_DELAY,
        };
        if self.retry.is_none() {
            warn!(%error, "log not writable, nothing is accepted or sent until it is");
        } else {
            debug!(%error, ?delay, "log still not writable");
        }
        self.retry = Some(CommitRetry { at: now + delay, delay });
    }
}
