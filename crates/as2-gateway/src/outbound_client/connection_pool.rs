//! Pool of outbound connections: those in use, idle ones kept for reuse, and probes.

use crate::context::{Context, Timer};
use crate::identifiers::BatchId;
use cloverstile::{EndpointId, Time};
use cloverstile_http::{Decoder, Limits};
use cloverstile_net::ConnId;
use std::collections::HashMap;
use std::time::Duration;

use super::batch::BatchConnection;

/// What an outbound connection is used for.
pub(crate) enum ConnectionUse {
    /// Sends the requests of a batch; the decoder reads their responses.
    Batch(BatchId, Box<Decoder>),
    /// Idle, kept for reuse.
    Idle(EndpointId),
    /// Checks whether the endpoint accepts connections; opened at `started`.
    Probe { endpoint: EndpointId, started: Time },
}

/// All outbound connections to partners.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    connections: HashMap<ConnId, ConnectionUse>,
    /// Idle connections of each endpoint, the most recently used last.
    idle: HashMap<EndpointId, Vec<ConnId>>,
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

    /// Takes the most recently used idle connection to an endpoint or opens a new one; `None` if the endpoint is
    /// unknown.
    pub fn acquire(
        &mut self,
        context: &mut Context,
        endpoint: EndpointId,
        batch: BatchId,
    ) -> Option<BatchConnection> {
        let connection = match self.idle.get_mut(&endpoint).and_then(Vec::pop) {
            Some(id) => {
                self.idle_count -= 1;
                BatchConnection::Established(id)
            }
            None => BatchConnection::Connecting(connect(context, endpoint)?),
        };
        let limits =
            Limits { message_timeout: Duration::MAX, head_timeout: Duration::MAX, ..Limits::default() };
        let decoder = Box::new(Decoder::client(limits));
        self.connections.insert(connection.id()?, ConnectionUse::Batch(batch, decoder));
        Some(connection)
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
        self.idle.entry(endpoint).or_default().push(id);
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
        for connection in self.idle.remove(&endpoint).unwrap_or_default() {
            self.connections.remove(&connection);
            self.idle_count -= 1;
            context.net.close(connection);
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
            idle.retain(|other| *other != connection);
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
