//! The write-ahead log of a gateway, and whether it can be written at present.

use cloverstile::MessageId;
use cloverstile_wal::store::DirectoryStore;
use cloverstile_wal::{LiveMessage, Log, Record, Recovered};
use std::io;
use std::path::Path;
use tracing::{info, trace, warn};

/// The log of all messages that the gateway holds.
pub struct MessageLog {
    log: Log<DirectoryStore>,
    /// The last commit succeeded.
    writable: bool,
}

impl MessageLog {
    /// Opens the log in a directory, with at most `max_bytes` on disk, and reads what an earlier process left.
    pub fn open(directory: &Path, max_bytes: u64) -> io::Result<(MessageLog, Recovered)> {
        let (log, recovered) = Log::open(DirectoryStore::new(directory), max_bytes)?;
        if recovered.discarded_bytes > 0 {
            warn!(bytes = recovered.discarded_bytes, "torn or damaged end of the log discarded");
        }
        Ok((MessageLog { log, writable: true }, recovered))
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

    /// Whether a message with a body of so many bytes may be accepted.
    pub fn can_accept(&self, body_bytes: usize) -> bool {
        let can_accept = self.writable && self.log.has_room(body_bytes);
        if !can_accept {
            trace!(writable = self.writable, body_bytes, "no room in the log");
        }
        can_accept
    }

    /// Writes this turn's records in one write.
    pub fn commit(&mut self) -> io::Result<()> {
        let committed = self.log.commit();
        let was_writable = std::mem::replace(&mut self.writable, committed.is_ok());
        match &committed {
            Ok(()) if !was_writable => info!("log writable again"),
            Err(error) if was_writable => {
                warn!(%error, "log not writable, nothing is accepted or sent until it is");
            }
            Ok(()) | Err(_) => {}
        }
        committed
    }
}
