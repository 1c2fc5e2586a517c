//! Connections that their owner has closed and that are still held for a moment, unread.
//!
//! First what is queued is written, then our side is shut down, and the socket is held until the peer has closed too.
//! Nothing is read meanwhile: a request that crossed our close must not be taken by a process that will not answer it.
//! Its sender sees an end without a reply, then a reset, and sends it again elsewhere. The reset comes with the close
//! of the socket. Guards against one that overtakes the reply: the socket is not closed before the peer has read that.

use crate::event::ConnId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long the peer may take to read what is queued for it.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the peer may take to close its side behind ours.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most lingering connections, unless the owner of the connections sets another number.
pub const DEFAULT_MAX_LINGERING: usize = 32;

/// Connections that are closed in time whatever their peers do.
pub struct LingerQueue {
    /// When each is closed.
    until: BTreeMap<ConnId, Instant>,
    max_entries: usize,
}

impl LingerQueue {
    /// An empty queue of the default size.
    pub fn new() -> Self {
        LingerQueue { until: BTreeMap::new(), max_entries: DEFAULT_MAX_LINGERING }
    }

    /// Sets the most connections that may be held.
    pub fn set_max_entries(&mut self, max_entries: usize) {
        self.max_entries = max_entries;
    }

    /// Adds a connection that has bytes to write before its side is shut down.
    pub fn start_flush(&mut self, connection: ConnId) {
        self.until.insert(connection, Instant::now() + FLUSH_TIMEOUT);
    }

    /// Adds a connection whose side was shut down, or moves it on from its flush.
    pub fn start_linger(&mut self, connection: ConnId) {
        self.until.insert(connection, Instant::now() + LINGER_TIMEOUT);
    }

    /// Removes a connection that has closed.
    pub fn remove(&mut self, connection: ConnId) {
        self.until.remove(&connection);
    }

    /// Number of connections held.
    pub fn len(&self) -> usize {
        self.until.len()
    }

    /// When the next connection's time is over.
    pub fn next_timeout(&self) -> Option<Instant> {
        self.until.values().min().copied()
    }

    /// Removes and returns a connection whose time is over at `now`, or where there are too many the one whose time ends
    /// first. Without `now` no time is over.
    pub fn pop_expired(&mut self, now: Option<Instant>) -> Option<ConnId> {
        let (&connection, &until) = self.until.iter().min_by_key(|(_, until)| **until)?;
        let is_expired = now.is_some_and(|now| until <= now) || self.until.len() > self.max_entries;
        is_expired.then(|| {
            self.until.remove(&connection);
            connection
        })
    }
}
