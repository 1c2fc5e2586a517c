//! Connections as the state machines see them.

use std::net::SocketAddr;

/// A connection, by the number that the transport gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What a state machine does to connections. Nothing is returned at once: events follow later.
pub trait Transport {
    /// Starts to establish a connection.
    fn connect(&mut self, to: SocketAddr) -> ConnectionId;
    /// Queues bytes to be sent.
    fn write(&mut self, connection: ConnectionId, bytes: &[u8]);
    /// Ends what is sent. What is received is still reported, and so is the end of the connection.
    fn shutdown_write(&mut self, connection: ConnectionId);
    /// Closes a connection at once; no event follows.
    fn close(&mut self, connection: ConnectionId);
}
