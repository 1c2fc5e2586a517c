//! Connections of the clients that submit messages to the gateways.

use cloverstile_net::ConnId;
use std::collections::HashMap;

/// What a gateway replied to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SubmissionReply {
    /// It holds the message.
    Accepted,
    /// It is overloaded and did not take the message.
    Busy,
    /// Any other error.
    Failed,
}

/// A submission whose connection closed before a reply.
pub(super) struct UnansweredSubmission {
    /// Number of the message.
    pub message: usize,
    /// Whether the connection had been established, so that the gateway may have the message.
    pub was_connected: bool,
}

struct ClientConnection {
    gateway: usize,
    connected: bool,
    received: Vec<u8>,
    /// The message whose reply is awaited.
    message: Option<usize>,
}

/// All client connections; each carries one submission at a time.
pub(super) struct ClientConnections {
    connections: HashMap<ConnId, ClientConnection>,
    /// Idle connections by gateway.
    idle: Vec<Vec<ConnId>>,
}

impl ClientConnections {
    /// No connections yet to so many gateways.
    pub fn new(gateways: usize) -> ClientConnections {
        ClientConnections { connections: HashMap::new(), idle: vec![Vec::new(); gateways] }
    }

    /// Whether a connection is a client's.
    pub fn contains(&self, connection: ConnId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Takes an idle connection to a gateway for a message.
    pub fn reuse_idle(&mut self, gateway: usize, message: usize) -> Option<ConnId> {
        let connection = self.idle[gateway].pop()?;
        if let Some(client) = self.connections.get_mut(&connection) {
            client.message = Some(message);
        }
        Some(connection)
    }

    /// Notes a connection that is being established for a message.
    pub fn on_connecting(&mut self, connection: ConnId, gateway: usize, message: usize) {
        let client =
            ClientConnection { gateway, connected: false, received: Vec::new(), message: Some(message) };
        self.connections.insert(connection, client);
    }

    /// The connection is established; returns the message to send on it.
    pub fn on_connected(&mut self, connection: ConnId) -> Option<usize> {
        let client = self.connections.get_mut(&connection)?;
        client.connected = true;
        client.message
    }

    /// Takes received bytes; returns the message and its reply once a whole line is there.
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

    /// Removes a closed connection; returns the submission that had no reply on it.
    pub fn on_closed(&mut self, connection: ConnId) -> Option<UnansweredSubmission> {
        let client = self.connections.remove(&connection)?;
        self.idle[client.gateway].retain(|idle| *idle != connection);
        client.message.map(|message| UnansweredSubmission { message, was_connected: client.connected })
    }
}
