//! Lingering close: connections that their owner has closed stay open for a moment, unread.
//!
//! Queued bytes are written, the write side is shut down, and the socket stays open until the peer closes its side or a
//! timeout expires. Nothing is read in the meantime: a request that was sent while we were closing must not be taken by
//! a process that will not answer it. Its sender sees the end of the stream without a reply, then a reset, and sends it
//! again elsewhere. Closing a socket with unread bytes sends that reset, and a reset can overtake the reply. The socket
//! therefore stays open until the peer has had time to read the reply.

use crate::event::ConnId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long the peer may take to receive the queued bytes.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the peer may take to close its side after our shutdown.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on lingering connections unless [`Net::set_max_lingering`](crate::Net::set_max_lingering) sets another.
pub const DEFAULT_MAX_LINGERING: usize = 32;

/// Connections in lingering close, each with the time at which it is closed whatever its peer does.
pub struct LingerQueue {
    /// When each connection is closed.
    expiries: BTreeMap<ConnId, Instant>,
    max_entries: usize,
}

impl LingerQueue {
    /// Creates an empty queue with the default limit.
    pub fn new() -> Self {
        LingerQueue { expiries: BTreeMap::new(), max_entries: DEFAULT_MAX_LINGERING }
    }

    /// Sets the maximum number of connections in the queue.
    pub fn set_max_entries(&mut self, max_entries: usize) {
        self.max_entries = max_entries;
    }

    /// Adds a connection that still has queued bytes to write, with the flush timeout.
    pub fn start_flush(&mut self, connection: ConnId) {
        self.expiries.insert(connection, Instant::now() + FLUSH_TIMEOUT);
    }

    /// Adds a connection that is shut down for writing, or replaces its flush timeout by the linger timeout.
    pub fn start_linger(&mut self, connection: ConnId) {
        self.expiries.insert(connection, Instant::now() + LINGER_TIMEOUT);
    }

    /// Removes a connection that was closed; does nothing if it is not in the queue.
    pub fn remove(&mut self, connection: ConnId) {
        self.expiries.remove(&connection);
    }

    /// Number of connections in the queue, both flushing and lingering.
    pub fn len(&self) -> usize {
        self.expiries.len()
    }

    /// When the next connection expires; `None` if the queue is empty.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.values().min().copied()
    }

    /// Removes and returns a connection that has expired at `now`. If the queue exceeds its limit, returns the one that
    /// expires first even if its time has not come. Without `now`, only the limit counts.
    pub fn pop_expired(&mut self, now: Option<Instant>) -> Option<ConnId> {
        let (&connection, &expiry) = self.expiries.iter().min_by_key(|(_, expiry)| **expiry)?;
        let is_expired = now.is_some_and(|now| expiry <= now) || self.expiries.len() > self.max_entries;
        is_expired.then(|| {
            self.expiries.remove(&connection);
            connection
        })
    }
}
