//! Connections to endpoints: their states, and which of them can carry another request.
//!
//! A connection carries one request at a time. After a complete response it is idle and is reused for the same
//! endpoint, the one used last first.

use crate::response::ResponseReader;
use crate::transport::{ConnectionId, Transport};
use cloverstile::{EndpointId, Time};
use cloverstile_engine::Attempt;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the endpoint's idle timeout after which an idle connection is closed from our side. Guards against a request
/// that crosses the endpoint's close: it would end as a reset, which may have run.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;

/// How far an attempt's request has come.
pub(crate) enum RequestPhase {
    /// The connection is being established.
    Connecting {
        /// When it has failed.
        until: Time,
    },
    /// The connection is established and the request's bytes are awaited.
    Connected,
    /// All but the last byte is written.
    LastByteHeld {
        /// The last byte.
        last_byte: u8,
        /// When it may be written.
        until: Time,
    },
    /// The last byte may be written as soon as the log has the attempt.
    ReadyToCommit {
        /// The last byte.
        last_byte: u8,
    },
    /// The whole request was handed to the transport.
    Committed {
        /// Whether the transport has passed all of it to the operating system.
        flushed: bool,
    },
}

/// An attempt without an outcome, on its connection.
pub(crate) struct ActiveRequest {
    pub attempt: Attempt,
    pub phase: RequestPhase,
    /// Reused connections that this attempt found closed.
    pub stale_connections: u8,
}

/// What a connection is used for.
pub(crate) enum ConnectionState {
    /// It carries an attempt without an outcome.
    Active(ActiveRequest),
    /// The attempt's outcome is known, the response incomplete.
    ReadingRest {
        /// When it is closed.
        until: Time,
    },
    /// Nobody waits for the attempt any longer and our side is shut down: only a `Retry-After` still counts.
    Abandoned {
        /// When it is closed.
        until: Time,
    },
    /// It can carry another request.
    Idle {
        /// When it is closed.
        until: Time,
    },
}

impl ConnectionState {
    /// When the state times out, if it does.
    fn until(&self) -> Option<Time> {
        match self {
            ConnectionState::Active(request) => match request.phase {
                RequestPhase::Connecting { until } | RequestPhase::LastByteHeld { until, .. } => Some(until),
                RequestPhase::Connected
                | RequestPhase::ReadyToCommit { .. }
                | RequestPhase::Committed { .. } => None,
            },
            _ => self.evictable_until(),
        }
    }

    /// When a connection without an active attempt would be closed anyway.
    fn evictable_until(&self) -> Option<Time> {
        match self {
            ConnectionState::Active(_) => None,
            ConnectionState::ReadingRest { until }
            | ConnectionState::Abandoned { until }
            | ConnectionState::Idle { until } => Some(*until),
        }
    }
}

/// A connection to an endpoint.
pub(crate) struct Connection {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub state: ConnectionState,
    /// Reader of the response to the current request.
    pub reader: ResponseReader,
    /// Whether it was idle before.
    pub is_reused: bool,
}

impl Connection {
    /// The attempt without an outcome that it carries.
    pub fn active(&mut self) -> Option<&mut ActiveRequest> {
        match &mut self.state {
            ConnectionState::Active(request) => Some(request),
            _ => None,
        }
    }
}

/// All connections to endpoints.
pub(crate) struct ConnectionPool {
    connections: BTreeMap<ConnectionId, Connection>,
    /// Idle connections by endpoint, the one used last at the end.
    idle: HashMap<EndpointId, Vec<ConnectionId>>,
    idle_timeout: Duration,
    max_connections: usize,
}

impl ConnectionPool {
    /// An empty pool of at most `max_connections`, for endpoints that close idle connections after `idle_timeout`.
    pub fn new(idle_timeout: Duration, max_connections: usize) -> Self {
        ConnectionPool { connections: BTreeMap::new(), idle: HashMap::new(), idle_timeout, max_connections }
    }

    /// Connections open or being established.
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

    /// Adds a new connection.
    pub fn insert(&mut self, id: ConnectionId, connection: Connection) {
        self.connections.insert(id, connection);
    }

    /// Takes a connection out without closing it.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        if let Some(idle) = self.idle.get_mut(&connection.endpoint) {
            idle.retain(|other| *other != id);
            if idle.is_empty() {
                self.idle.remove(&connection.endpoint);
            }
        }
        Some(connection)
    }

    /// Takes a connection out and closes it.
    pub fn close(&mut self, id: ConnectionId, transport: &mut impl Transport) {
        self.remove(id);
        transport.close(id);
    }

    /// An idle connection to an endpoint at this address, for another request. Those found to be elsewhere or past their
    /// time are closed.
    pub fn take_idle(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        address: SocketAddr,
        transport: &mut impl Transport,
    ) -> Option<ConnectionId> {
        while let Some(id) = self.idle.get_mut(&endpoint).and_then(Vec::pop) {
            let Some(connection) = self.connections.get(&id) else { continue };
            // Past its time the endpoint may be closing it at this moment.
            let is_expired = matches!(connection.state, ConnectionState::Idle { until } if until <= now);
            if !is_expired && connection.address == address {
                return Some(id);
            }
            self.close(id, transport);
        }
        None
    }

    /// Makes a connection available for another request.
    pub fn make_idle(&mut self, now: Time, id: ConnectionId) {
        let until = now + self.idle_timeout.mul_f64(IDLE_TIMEOUT_SHARE);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.state = ConnectionState::Idle { until };
            connection.reader = ResponseReader::new();
            connection.is_reused = true;
            self.idle.entry(connection.endpoint).or_default().push(id);
        }
    }

    /// Makes room for one more connection, by closing the one without an active attempt that would be closed first;
    /// whether there is room.
    pub fn ensure_room(&mut self, transport: &mut impl Transport) -> bool {
        if self.connections.len() < self.max_connections {
            return true;
        }
        let evictable = self
            .connections
            .iter()
            .filter_map(|(id, connection)| Some((connection.state.evictable_until()?, *id)))
            .min();
        evictable.map(|(_, id)| self.close(id, transport)).is_some()
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: EndpointId, transport: &mut impl Transport) {
        for id in self.idle.remove(&endpoint).unwrap_or_default() {
            self.connections.remove(&id);
            transport.close(id);
        }
    }

    /// Closes connections without an active attempt to endpoints that are not listed at their address any more; not
    /// abandoned ones, whose `Retry-After` still counts.
    pub fn retain_listed(
        &mut self,
        address: impl Fn(EndpointId) -> Option<SocketAddr>,
        transport: &mut impl Transport,
    ) {
        let is_obsolete = |connection: &Connection| {
            let is_unused = matches!(
                connection.state,
                ConnectionState::Idle { .. } | ConnectionState::ReadingRest { .. }
            );
            is_unused && address(connection.endpoint) != Some(connection.address)
        };
        let obsolete: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_obsolete(connection))
            .map(|(id, _)| *id)
            .collect();
        obsolete.into_iter().for_each(|id| self.close(id, transport));
    }

    /// When the next state of a connection times out.
    pub fn next_timeout(&self) -> Option<Time> {
        self.connections.values().filter_map(|connection| connection.state.until()).min()
    }

    /// Connections whose state has timed out.
    pub fn timed_out(&self, now: Time) -> Vec<ConnectionId> {
        let is_late = |connection: &Connection| connection.state.until().is_some_and(|until| until <= now);
        self.connections.iter().filter(|(_, connection)| is_late(connection)).map(|(id, _)| *id).collect()
    }
}
