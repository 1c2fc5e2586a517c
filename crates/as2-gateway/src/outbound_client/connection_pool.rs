//! Pool of outbound connections: those in use, idle ones kept for reuse, and probes.
//!
//! A status line names no message, so a connection is used again only once it has been quiet for a while: a second copy of
//! a response would be taken for the response to the next request.

use crate::context::{Context, Timer};
use crate::identifiers::BatchId;
use cloverstile::{EndpointId, Time};
use cloverstile_http::{Decoder, Limits, RESPONSE_QUIET_PERIOD};
use cloverstile_net::ConnId;
use std::collections::HashMap;
use std::time::Duration;

use super::batch::BatchConnection;

/// What an outbound connection is used for.
pub(crate) enum ConnectionUse {
    /// Sends a request of a batch; the decoder reads its response.
    Batch {
        batch: BatchId,
        decoder: Box<Decoder>,
        /// Whether the connection has carried an earlier request.
        is_reused: bool,
    },
    /// Idle, kept for reuse.
    Idle(EndpointId),
    /// Checks whether the endpoint accepts connections; opened at `started`.
    Probe { endpoint: EndpointId, started: Time },
}

/// An idle connection.
struct IdleConnection {
    id: ConnId,
    /// When it became idle, after a response.
    since: Time,
}

/// All outbound connections to partners.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    connections: HashMap<ConnId, ConnectionUse>,
    /// Idle connections of each endpoint, the most recently used last.
    idle: HashMap<EndpointId, Vec<IdleConnection>>,
    /// Idle connections of all endpoints together.
    idle_count: usize,
}

impl ConnectionPool {
    pub fn use_of(&self, connection: ConnId) -> Option<&ConnectionUse> {
        self.connections.get(&connection)
    }

    pub fn use_of_mut(&mut self, connection: ConnId) -> Option<&mut ConnectionUse> {
        self.connections.get_mut(&connection)
    }

    /// Removes a connection from the pool without closing it, and returns what it was used for.
    pub fn remove(&mut self, connection: ConnId) -> Option<ConnectionUse> {
        let removed = self.connections.remove(&connection)?;
        if let ConnectionUse::Idle(endpoint) = removed {
            self.remove_idle(endpoint, connection);
        }
        Some(removed)
    }

    /// Removes a connection from the pool and closes it.
    pub fn close(&mut self, context: &mut Context, connection: ConnId) {
        self.remove(connection);
        context.net.close(connection);
    }

    /// Takes the most recently used idle connection to an endpoint that has been quiet for [`RESPONSE_QUIET_PERIOD`], or
    /// opens a new one; `None` if the endpoint is unknown.
    pub fn acquire(
        &mut self,
        context: &mut Context,
        endpoint: EndpointId,
        batch: BatchId,
    ) -> Option<BatchConnection> {
        let quiet = self.take_quiet(context.now(), endpoint);
        let is_reused = quiet.is_some();
        let connection = match quiet {
            Some(id) => BatchConnection::Established(id),
            None => BatchConnection::Connecting(connect(context, endpoint)?),
        };
        let limits =
            Limits { message_timeout: Duration::MAX, head_timeout: Duration::MAX, ..Limits::default() };
        let decoder = Box::new(Decoder::client(limits));
        self.connections.insert(connection.id()?, ConnectionUse::Batch { batch, decoder, is_reused });
        Some(connection)
    }

    /// Takes the most recently used idle connection that has been quiet for long enough.
    fn take_quiet(&mut self, now: Time, endpoint: EndpointId) -> Option<ConnId> {
        let idle = self.idle.get_mut(&endpoint)?;
        let is_quiet = |connection: &IdleConnection| connection.since + RESPONSE_QUIET_PERIOD <= now;
        let index = idle.iter().rposition(is_quiet)?;
        self.idle_count -= 1;
        Some(idle.remove(index).id)
    }

    /// Keeps an established connection for reuse. Any other is closed, as is one above the limit of idle connections.
    pub fn release(&mut self, context: &mut Context, endpoint: EndpointId, connection: BatchConnection) {
        let Some(id) = connection.id() else { return };
        let keep = connection.established().is_some()
            && self.idle_count < context.config.limits.max_idle_connections;
        if !keep || !context.net.is_open(id) {
            return self.close(context, id);
        }
        self.connections.insert(id, ConnectionUse::Idle(endpoint));
        let since = context.now();
        self.idle.entry(endpoint).or_default().push(IdleConnection { id, since });
        self.idle_count += 1;
        let timeout = context.config.policy.connection_idle_timeout;
        context.set_timer(context.now() + timeout, Timer::IdleTimeout(id));
    }

    /// Closes a connection whose idle timer fired, unless it is in use.
    ///
    /// A connection that was used and released after the timer was set has a later timer as well. The earlier one may
    /// close it before its idle timeout is over, but never while it is in use.
    pub fn on_idle_timeout(&mut self, context: &mut Context, connection: ConnId) {
        if let Some(ConnectionUse::Idle(_)) = self.connections.get(&connection) {
            self.close(context, connection);
        }
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle(&mut self, context: &mut Context, endpoint: EndpointId) {
        for IdleConnection { id, .. } in self.idle.remove(&endpoint).unwrap_or_default() {
            self.connections.remove(&id);
            self.idle_count -= 1;
            context.net.close(id);
        }
    }

    /// Opens a connection to learn whether the endpoint accepts it. Does nothing if the endpoint is unknown.
    pub fn probe(&mut self, context: &mut Context, endpoint: EndpointId) {
        let started = context.now();
        let Some(connection) = connect(context, endpoint) else { return };
        self.connections.insert(connection, ConnectionUse::Probe { endpoint, started });
    }

    fn remove_idle(&mut self, endpoint: EndpointId, connection: ConnId) {
        if let Some(idle) = self.idle.get_mut(&endpoint) {
            let before = idle.len();
            idle.retain(|other| other.id != connection);
            self.idle_count -= before - idle.len();
        }
    }
}

fn connect(context: &mut Context, endpoint: EndpointId) -> Option<ConnId> {
    let address = context.endpoints.get(&endpoint)?.address;
    let connection = context.net.connect(address);
    let timeout = context.config.policy.connect_timeout;
    context.set_timer(context.now() + timeout, Timer::ConnectTimeout(connection));
    Some(connection)
}
