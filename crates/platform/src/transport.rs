//! The interface through which the state machines use network connections.

use std::net::SocketAddr;

/// Identifies a connection by a number that the transport assigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Operations that a state machine performs on connections. They do not block; their results are reported later as
/// events.
pub trait Transport {
    /// Starts to establish a connection.
    fn connect(&mut self, address: SocketAddr) -> ConnectionId;
    /// Queues bytes for sending.
    fn write(&mut self, connection: ConnectionId, bytes: &[u8]);
    /// Shuts down the write side. Received bytes and the end of the connection are still reported.
    fn shutdown_write(&mut self, connection: ConnectionId);
    /// Closes a connection at once; no further event is reported for it.
    fn close(&mut self, connection: ConnectionId);
}
