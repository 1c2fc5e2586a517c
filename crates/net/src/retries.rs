//! Operations that failed with a local error and are retried until they succeed or their owner closes the connection.

use crate::connection::ConnectionState;
use crate::event::{ConnId, ListenerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between two retries.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A stream that could not be registered with the event loop.
pub struct UnregisteredStream {
    pub stream: Rc<TcpStream>,
    pub state: ConnectionState,
    /// The listener that accepted it; `None` if it is outbound.
    pub listener: Option<ListenerId>,
}

/// Operations to retry, by connection.
#[derive(Default)]
pub struct Retries {
    /// Outbound connections that could not be started.
    pub connects: BTreeMap<ConnId, SocketAddr>,
    /// Streams that are not registered with the event loop yet.
    pub registrations: BTreeMap<ConnId, UnregisteredStream>,
    /// Connections whose interest could not be updated in the event loop.
    pub interest_updates: BTreeSet<ConnId>,
    next_retry: Option<Instant>,
}

impl Retries {
    /// Schedules the next retry after something was added, unless one is scheduled already.
    pub fn schedule(&mut self) {
        self.next_retry.get_or_insert(Instant::now() + RETRY_INTERVAL);
    }

    /// When the next retry is due; `None` if nothing is scheduled.
    pub fn next_retry_at(&self) -> Option<Instant> {
        self.next_retry
    }

    /// Whether a retry is due. Clears the schedule, so operations that fail again have to be scheduled again.
    pub fn take_due(&mut self, now: Instant) -> bool {
        self.next_retry.take_if(|next_retry| *next_retry <= now).is_some()
    }

    /// Drops all retries of a connection that was closed.
    pub fn remove(&mut self, id: ConnId) {
        self.connects.remove(&id);
        self.registrations.remove(&id);
        self.interest_updates.remove(&id);
    }
}
