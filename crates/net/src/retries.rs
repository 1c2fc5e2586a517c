//! Operations that failed for a reason of this machine, and are tried again until they succeed or their owner gives up.

use crate::connection::ConnectionState;
use crate::event::{ConnId, ListenerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Gap between two tries.
const RETRY_GAP: Duration = Duration::from_millis(20);

/// A stream that the event loop could not be told of.
pub struct Unregistered {
    pub stream: Rc<TcpStream>,
    pub state: ConnectionState,
    /// The listener that accepted it, unless it is outbound.
    pub listener: Option<ListenerId>,
}

/// What is to be tried again.
#[derive(Default)]
pub struct Retries {
    /// Outbound connections that could not be started.
    pub connects: BTreeMap<ConnId, SocketAddr>,
    /// Streams without an event source.
    pub registrations: BTreeMap<ConnId, Unregistered>,
    /// Connections whose event source does not have their interest.
    pub interests: BTreeSet<ConnId>,
    next: Option<Instant>,
}

impl Retries {
    /// Sets the time of the next try, after something was added.
    pub fn schedule(&mut self) {
        self.next.get_or_insert(Instant::now() + RETRY_GAP);
    }

    /// When the next try is due.
    pub fn next_timeout(&self) -> Option<Instant> {
        self.next
    }

    /// Whether a try is due; what fails again has to be scheduled again.
    pub fn take_due(&mut self, now: Instant) -> bool {
        self.next.take_if(|next| *next <= now).is_some()
    }

    /// Forgets a connection that its owner has closed.
    pub fn remove(&mut self, id: ConnId) {
        self.connects.remove(&id);
        self.registrations.remove(&id);
        self.interests.remove(&id);
    }
}
