//! Closed connections that are still read from.
//!
//! Our side of such a connection is closed, and what the peer still sends is discarded for a moment, until it closes
//! too. Guards against a reset: closing with bytes unread sends one, and it overtakes the response that the peer has not
//! read yet.

use crate::event::ConnId;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long a closed connection is still read from.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes that are read from a closed connection and discarded.
pub const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Most lingering connections, unless the owner of the connections sets another number.
pub const DEFAULT_MAX_LINGERING: usize = 32;

struct Entry {
    connection: ConnId,
    until: Instant,
}

/// Lingering connections, the oldest first.
pub struct LingerQueue {
    entries: VecDeque<Entry>,
    max_entries: usize,
}

impl LingerQueue {
    /// An empty queue of the default size.
    pub fn new() -> Self {
        LingerQueue { entries: VecDeque::new(), max_entries: DEFAULT_MAX_LINGERING }
    }

    /// Sets the most connections that may linger.
    pub fn set_max_entries(&mut self, max_entries: usize) {
        self.max_entries = max_entries;
    }

    /// Adds a connection that lingers from now on.
    pub fn push(&mut self, connection: ConnId) {
        self.entries.push_back(Entry { connection, until: Instant::now() + LINGER_TIMEOUT });
    }

    /// When the oldest connection's time is over.
    pub fn next_timeout(&self) -> Option<Instant> {
        self.entries.front().map(|entry| entry.until)
    }

    /// Removes and returns the oldest connection where its time is over at `now`, where there are too many, or where
    /// `is_known` denies it: it has closed meanwhile. Without `now` no time is over.
    pub fn pop_expired(&mut self, now: Option<Instant>, is_known: impl Fn(ConnId) -> bool) -> Option<ConnId> {
        let oldest = self.entries.front()?;
        let expired = now.is_some_and(|now| oldest.until <= now) || self.entries.len() > self.max_entries;
        if !expired && is_known(oldest.connection) {
            return None;
        }
        self.entries.pop_front().map(|entry| entry.connection)
    }
}
