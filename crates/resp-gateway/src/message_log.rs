//! The write-ahead log of a gateway, and whether it is currently writable.
//!
//! A failed commit is retried on its own timer with exponential backoff until it succeeds. Until then no message is
//! accepted and no request sent; records about requests in flight are kept in memory and stored with the next commit.

use cloverstile::{MessageId, Time};
use cloverstile_wal::store::DirectoryStore;
use cloverstile_wal::{LiveMessage, Log, LogUsage, Record, RecoveredState};
use std::io;
use std::path::Path;
use std::time::Duration;
use tracing::{debug, info, warn};

/// Delay before a failed commit is first retried; doubled after each further failure.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Longest delay between two retries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The log is currently not writable: no record of this turn is stored.
#[derive(Debug)]
pub struct LogUnwritable;

/// Schedule for the retry of a failed commit.
struct CommitRetry {
    due_at: Time,
    delay: Duration,
}

/// The log of all messages that the gateway holds, with the retry of a failed commit.
pub struct MessageLog {
    log: Log<DirectoryStore>,
    /// Set while the last commit has failed.
    retry: Option<CommitRetry>,
}

impl MessageLog {
    /// Opens the log in `directory`, limited to `max_bytes` on disk, and reads the records of an earlier process.
    pub fn open(directory: &Path, max_bytes: u64) -> io::Result<(MessageLog, RecoveredState)> {
        let (log, recovered) = Log::open(DirectoryStore::new(directory), max_bytes)?;
        log_damage(&recovered);
        if let Some(error) = &recovered.cleanup_error {
            warn!(%error, "file of an earlier log can't be removed, it does not count");
        }
        Ok((MessageLog { log, retry: None }, recovered))
    }

    /// Adds a record to this turn's commit.
    pub fn record(&mut self, record: Record) {
        self.log.record(record);
    }

    /// Records that a message is completed and its client or the platform needs no further report.
    pub fn record_completed(&mut self, message_number: u32) {
        self.log.record(Record::Completed { message_number });
    }

    /// Records what the process was told of the endpoint list, for the next process, in at most
    /// [`MessageLog::max_endpoint_list_bytes`].
    pub fn record_endpoint_list(&mut self, list: Vec<u8>) {
        self.log.record(Record::EndpointList(list));
    }

    /// Maximum size of what is recorded of the endpoint list.
    pub fn max_endpoint_list_bytes(&self) -> usize {
        self.log.max_endpoint_list_bytes()
    }

    /// The message with this id, if the gateway holds it.
    pub fn message(&self, id: MessageId) -> Option<&LiveMessage> {
        self.log.message(id.0)
    }

    /// The id that the client gave a message, for log lines; empty if the gateway does not hold the message.
    pub fn client_id(&self, id: MessageId) -> String {
        self.message(id).map_or_else(String::new, |message| String::from_utf8_lossy(&message.id).into_owned())
    }

    /// Whether a message with a body of `body_bytes` bytes may be accepted.
    pub fn can_accept(&self, body_bytes: usize) -> bool {
        let can_accept = self.is_writable() && self.log.has_room(body_bytes);
        if !can_accept {
            debug!(
                writable = self.is_writable(),
                body_bytes, "message does not fit into the log, or the log is not writable"
            );
        }
        can_accept
    }

    /// What the log holds.
    pub fn usage(&self) -> LogUsage {
        self.log.usage()
    }

    /// Whether the last commit succeeded.
    pub fn is_writable(&self) -> bool {
        self.retry.is_none()
    }

    /// Whether all records are stored.
    pub fn is_stored(&self) -> bool {
        self.is_writable() && self.log.is_stored()
    }

    /// The time at which a failed commit is retried.
    pub fn next_timeout(&self) -> Option<Time> {
        self.retry.as_ref().map(|retry| retry.due_at)
    }

    /// Writes this turn's records in a single write. After a failure it writes only once the retry is due.
    pub fn commit(&mut self, now: Time) -> Result<(), LogUnwritable> {
        if self.retry.as_ref().is_some_and(|retry| retry.due_at > now) {
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
                self.schedule_retry(now, &error);
                Err(LogUnwritable)
            }
        }
    }

    fn schedule_retry(&mut self, now: Time, error: &io::Error) {
        let delay = match &self.retry {
            Some(retry) => (retry.delay * 2).min(MAX_RETRY_DELAY),
            None => FIRST_RETRY_DELAY,
        };
        if self.retry.is_none() {
            warn!(%error, "log not writable, nothing is accepted or sent until it is");
        } else {
            debug!(%error, ?delay, "log still not writable");
        }
        self.retry = Some(CommitRetry { due_at: now + delay, delay });
    }
}

/// Logs what could not be read.
fn log_damage(recovered: &RecoveredState) {
    if let Some(reason) = &recovered.decode_error {
        warn!(bytes = recovered.discarded_bytes, %reason, "torn or damaged end of the log discarded");
    } else if recovered.discarded_bytes > 0 {
        warn!(bytes = recovered.discarded_bytes, "log without a readable header discarded");
    }
    if let Some(first) = recovered.skipped_records.first() {
        let (records, reason) = (recovered.skipped_records.len(), first.error);
        warn!(records, %reason, "records of the log can't be decoded, skipped");
    }
}
