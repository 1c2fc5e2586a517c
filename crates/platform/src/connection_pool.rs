//! The pool of connections to endpoints, with the state of each connection.
//!
//! A connection carries one request at a time. After a complete response it is idle and, once it has been quiet for a
//! while, can be reused for the same endpoint. Of these the most recently used one is reused first: it is the least likely
//! to be closed by the endpoint, and the others reach their idle timeout.

use crate::response::{AttemptResult, ResponseReader};
use crate::transport::{ConnectionId, Transport};
use cloverstile::{EndpointId, MessageId, Time};
use cloverstile_engine::{Attempt, TransportOutcome};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Fraction of the endpoint's idle timeout after which the pool closes an idle connection. A request that crosses the
/// endpoint's own close would end in a reset, which leaves open whether the request was processed.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// Progress of an attempt's request.
pub(crate) enum RequestPhase {
    /// The connection is being established.
    Connecting {
        /// When the attempt to connect fails.
        timeout_at: Time,
    },
    /// The connection is established; no byte of the request has been written.
    Connected,
    /// All but the last byte was written.
    LastByteHeld {
        /// The byte that is held.
        last_byte: u8,
        /// When it may be written.
        timeout_at: Time,
    },
    /// The last byte may be written as soon as the attempt is recorded in the log.
    ReadyToCommit {
        /// The byte that is held.
        last_byte: u8,
    },
    /// The whole request was handed to the transport.
    Committed {
        /// Whether the transport has passed the whole request to the operating system.
        flushed: bool,
        /// When the last byte was written.
        committed_at: Time,
    },
}

/// An attempt that has no outcome yet, and the progress of its request.
pub(crate) struct ActiveRequest {
    pub attempt: Attempt,
    pub phase: RequestPhase,
    /// Number of reused connections that this attempt found closed.
    pub stale_connections: u8,
}

/// What a connection is used for.
pub(crate) enum ConnectionState {
    /// The connection carries an attempt that has no outcome yet.
    Active(ActiveRequest),
    /// The response is complete, but may be a copy of the one before it. It counts if nothing follows it.
    Unconfirmed {
        attempt: Attempt,
        /// The result if it counts.
        result: AttemptResult,
        /// Time from the last byte of the request to the response.
        response_time: Duration,
        /// When it was read.
        held_since: Time,
        /// When it counts.
        timeout_at: Time,
    },
    /// The attempt's outcome is known, but the response is incomplete.
    ReadingRemainder {
        /// When the connection is closed.
        timeout_at: Time,
    },
    /// The attempt was abandoned and the write side is shut down. Of the response only a `Retry-After` still counts, and that
    /// no further attempt may be made.
    Abandoned {
        /// When the connection is closed.
        timeout_at: Time,
    },
    /// The connection can carry another request.
    Idle {
        /// When the connection is closed.
        timeout_at: Time,
    },
}

impl ConnectionState {
    /// When the state times out, if it has a timeout.
    fn timeout_at(&self) -> Option<Time> {
        match self {
            ConnectionState::Active(request) => match request.phase {
                RequestPhase::Connecting { timeout_at } | RequestPhase::LastByteHeld { timeout_at, .. } => {
                    Some(timeout_at)
                }
                RequestPhase::Connected
                | RequestPhase::ReadyToCommit { .. }
                | RequestPhase::Committed { .. } => None,
            },
            ConnectionState::Unconfirmed { timeout_at, .. } => Some(*timeout_at),
            _ => self.eviction_time(),
        }
    }

    /// When the timeout closes a connection that has no active attempt; none for one that has, which is never evicted.
    fn eviction_time(&self) -> Option<Time> {
        match self {
            ConnectionState::Active(_) | ConnectionState::Unconfirmed { .. } => None,
            ConnectionState::ReadingRemainder { timeout_at }
            | ConnectionState::Abandoned { timeout_at }
            | ConnectionState::Idle { timeout_at } => Some(*timeout_at),
        }
    }
}

/// A connection to an endpoint, open or being established.
pub(crate) struct Connection {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub state: ConnectionState,
    /// Parses the response to the current request.
    pub reader: ResponseReader,
    /// Whether the connection has carried an earlier request.
    pub is_reused: bool,
    /// When its last complete response was read.
    pub response_at: Option<Time>,
    /// Digest of the last complete response.
    pub previous_response: Option<u64>,
    /// The attempt that it carries, or that it carried last.
    pub last_attempt: Attempt,
    /// Status of the response before the one that is read now.
    pub previous_status: Option<u16>,
}

impl Connection {
    /// The attempt that the connection carries, while it has no outcome.
    pub fn active(&mut self) -> Option<&mut ActiveRequest> {
        match &mut self.state {
            ConnectionState::Active(request) => Some(request),
            _ => None,
        }
    }

    /// The outcome that a held response states, if there is one.
    pub fn held_outcome(&self) -> Option<TransportOutcome> {
        match &self.state {
            ConnectionState::Unconfirmed { result, .. } => Some(result.outcome),
            _ => None,
        }
    }

    /// Whether what was read is a complete response that equals the one before it on this connection.
    pub fn is_possible_copy(&self) -> bool {
        self.previous_response.is_some() && self.previous_response == self.reader.digest()
    }

    /// Time from the last byte of the request in flight until `now`; none if it was not written.
    pub fn response_time(&self, now: Time) -> Option<Duration> {
        match &self.state {
            ConnectionState::Active(ActiveRequest {
                phase: RequestPhase::Committed { committed_at, .. },
                ..
            }) => Some(now - *committed_at),
            _ => None,
        }
    }

    /// Whether the last response on the connection is at least this long ago.
    fn is_quiet(&self, now: Time, quiet_period: Duration) -> bool {
        self.response_at.is_none_or(|response_at| response_at + quiet_period <= now)
    }
}

/// All connections to endpoints, at most `max_connections` at once.
pub(crate) struct ConnectionPool {
    connections: BTreeMap<ConnectionId, Connection>,
    /// Idle connections by endpoint, the most recently used one last.
    idle: HashMap<EndpointId, Vec<ConnectionId>>,
    idle_timeout: Duration,
    max_connections: usize,
}

impl ConnectionPool {
    /// Creates an empty pool for at most `max_connections` connections, to endpoints that close idle connections after
    /// `idle_timeout`.
    pub fn new(idle_timeout: Duration, max_connections: usize) -> Self {
        ConnectionPool { connections: BTreeMap::new(), idle: HashMap::new(), idle_timeout, max_connections }
    }

    /// Number of connections that are open or being established.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// Adds a connection that is being established for an attempt.
    pub fn insert(&mut self, id: ConnectionId, connection: Connection) {
        self.connections.insert(id, connection);
    }

    /// Removes a connection from the pool without closing it.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        self.remove_idle(connection.endpoint, id);
        Some(connection)
    }

    /// Removes a connection from the pool and closes it.
    pub fn close(&mut self, id: ConnectionId, transport: &mut impl Transport) {
        self.remove(id);
        transport.close(id);
    }

    /// Takes an idle connection to an endpoint at this address for another request: of those without a response in the
    /// last `quiet_period` the one used last. Closes those that it finds at another address or past their idle timeout.
    pub fn take_idle(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        address: SocketAddr,
        quiet_period: Duration,
        transport: &mut impl Transport,
    ) -> Option<ConnectionId> {
        for id in self.idle.get(&endpoint).cloned().unwrap_or_default().into_iter().rev() {
            let Some(connection) = self.connections.get(&id) else { continue };
            // The endpoint may be about to close a connection that is past its idle timeout.
            let is_expired =
                matches!(connection.state, ConnectionState::Idle { timeout_at } if timeout_at <= now);
            if is_expired || connection.address != address {
                self.close(id, transport);
            } else if connection.is_quiet(now, quiet_period) {
                self.remove_idle(endpoint, id);
                return Some(id);
            }
        }
        None
    }

    /// Removes a connection from the idle ones.
    fn remove_idle(&mut self, endpoint: EndpointId, id: ConnectionId) {
        let Some(idle) = self.idle.get_mut(&endpoint) else { return };
        idle.retain(|other| *other != id);
        if idle.is_empty() {
            self.idle.remove(&endpoint);
        }
    }

    /// Marks a connection as idle, which makes it available for another request.
    pub fn make_idle(&mut self, now: Time, id: ConnectionId) {
        let timeout_at = now + self.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.state = ConnectionState::Idle { timeout_at };
            connection.reader = ResponseReader::new();
            connection.is_reused = true;
            self.idle.entry(connection.endpoint).or_default().push(id);
        }
    }

    /// Ensures that one more connection fits into the pool. If the pool is full, evicts the connection without an
    /// active attempt that would time out first. Returns whether there is room.
    pub fn ensure_capacity(&mut self, transport: &mut impl Transport) -> bool {
        if self.connections.len() < self.max_connections {
            return true;
        }
        let evictable = self
            .connections
            .iter()
            .filter_map(|(id, connection)| Some((connection.state.eviction_time()?, *id)))
            .min();
        evictable.map(|(_, id)| self.close(id, transport)).is_some()
    }

    /// Closes the idle connection to an endpoint that was used last, if there is one.
    pub fn close_one_idle(&mut self, endpoint: EndpointId, transport: &mut impl Transport) {
        if let Some(id) = self.idle.get(&endpoint).and_then(|idle| idle.last().copied()) {
            self.close(id, transport);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: EndpointId, transport: &mut impl Transport) {
        for id in self.idle.remove(&endpoint).unwrap_or_default() {
            self.connections.remove(&id);
            transport.close(id);
        }
    }

    /// Closes connections without an active attempt to endpoints that are no longer listed at their address.
    /// Connections of abandoned attempts stay open, as their `Retry-After` still counts.
    pub fn retain_listed(
        &mut self,
        address: impl Fn(EndpointId) -> Option<SocketAddr>,
        transport: &mut impl Transport,
    ) {
        let is_unlisted = |connection: &Connection| {
            let is_unused = matches!(
                connection.state,
                ConnectionState::Idle { .. } | ConnectionState::ReadingRemainder { .. }
            );
            is_unused && address(connection.endpoint) != Some(connection.address)
        };
        let unlisted: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_unlisted(connection))
            .map(|(id, _)| *id)
            .collect();
        unlisted.into_iter().for_each(|id| self.close(id, transport));
    }

    /// Connections of abandoned attempts at a message whose response may still come.
    pub fn abandoned_connections(&self, message: MessageId) -> Vec<ConnectionId> {
        let is_of_message = |connection: &Connection| {
            matches!(connection.state, ConnectionState::Abandoned { .. })
                && connection.last_attempt.message == message
        };
        self.connections
            .iter()
            .filter(|(_, connection)| is_of_message(connection))
            .map(|(id, _)| *id)
            .collect()
    }

    /// The earliest time at which the state of a connection times out.
    pub fn next_timeout(&self) -> Option<Time> {
        self.connections.values().filter_map(|connection| connection.state.timeout_at()).min()
    }

    /// Connections whose state has timed out.
    pub fn timed_out(&self, now: Time) -> Vec<ConnectionId> {
        let is_timed_out = |connection: &Connection| {
            connection.state.timeout_at().is_some_and(|timeout_at| timeout_at <= now)
        };
        self.connections
            .iter()
            .filter(|(_, connection)| is_timed_out(connection))
            .map(|(id, _)| *id)
            .collect()
    }
}
