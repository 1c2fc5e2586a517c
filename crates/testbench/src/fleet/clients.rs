//! Pool of the client connections on which messages are submitted to the gateways.

use cloverstile_net::ConnId;
use std::collections::HashMap;

/// The reply of a gateway to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SubmissionReply {
    /// The gateway has accepted the message and is responsible for it.
    Accepted,
    /// The gateway is overloaded and has not accepted the message (`-BUSY`).
    Busy,
    /// Any other error reply.
    Failed,
}

/// A submission whose connection failed or closed before the reply.
pub(super) struct UnansweredSubmission {
    /// Index of the message in the invariant tracker.
    pub message: usize,
    /// Whether the connection had been established. If so, the gateway may have accepted the message.
    pub was_connected: bool,
}

struct ClientConnection {
    gateway: usize,
    connected: bool,
    received: Vec<u8>,
    /// The submitted message that has no reply yet.
    message: Option<usize>,
}

/// All client connections. Each carries at most one submission at a time.
pub(super) struct ClientConnections {
    connections: HashMap<ConnId, ClientConnection>,
    /// Idle connections, by index of the gateway. The one used last is reused first.
    idle: Vec<Vec<ConnId>>,
}

impl ClientConnections {
    /// Creates an empty pool for this number of gateways.
    pub fn new(gateways: usize) -> ClientConnections {
        ClientConnections { connections: HashMap::new(), idle: vec![Vec::new(); gateways] }
    }

    /// Whether the connection belongs to a client rather than to an HTTP server.
    pub fn contains(&self, connection: ConnId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Assigns an idle connection to a message; `None` if the gateway has no idle connection.
    pub fn reuse_idle(&mut self, gateway: usize, message: usize) -> Option<ConnId> {
        let connection = self.idle[gateway].pop()?;
        if let Some(client) = self.connections.get_mut(&connection) {
            client.message = Some(message);
        }
        Some(connection)
    }

    /// Registers a connection that is being established for a message.
    pub fn on_connecting(&mut self, connection: ConnId, gateway: usize, message: usize) {
        let client =
            ClientConnection { gateway, connected: false, received: Vec::new(), message: Some(message) };
        self.connections.insert(connection, client);
    }

    /// Marks a connection as established and returns the message to send on it.
    pub fn on_connected(&mut self, connection: ConnId) -> Option<usize> {
        let client = self.connections.get_mut(&connection)?;
        client.connected = true;
        client.message
    }

    /// Appends received bytes. Once a line is complete, returns the message and its reply and marks the connection
    /// idle.
    pub fn on_bytes(&mut self, connection: ConnId, bytes: &[u8]) -> Option<(usize, SubmissionReply)> {
        let client = self.connections.get_mut(&connection)?;
        client.received.extend_from_slice(bytes);
        let end = client.received.windows(2).position(|pair| pair == b"\r\n")?;
        let line: Vec<u8> = client.received.drain(..end + 2).collect();
        let message = client.message.take();
        self.idle[client.gateway].push(connection);
        let reply = if line.starts_with(b"+") {
            SubmissionReply::Accepted
        } else if line.starts_with(b"-BUSY") {
            SubmissionReply::Busy
        } else {
            SubmissionReply::Failed
        };
        message.map(|message| (message, reply))
    }

    /// Removes a closed connection and returns its unanswered submission, if any.
    pub fn on_closed(&mut self, connection: ConnId) -> Option<UnansweredSubmission> {
        let client = self.connections.remove(&connection)?;
        self.idle[client.gateway].retain(|idle| *idle != connection);
        client.message.map(|message| UnansweredSubmission { message, was_connected: client.connected })
    }
}
