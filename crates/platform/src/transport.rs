//! The interface through which the state machines use network connections.

use std::net::SocketAddr;

/// Identifies a connection by a number that the transport assigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What a connection had received when it was read outside of the event loop.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedNow {
    /// The bytes, in order; they are not reported again.
    pub bytes: Vec<u8>,
    /// Whether the connection has ended after them.
    pub has_ended: bool,
}

/// Operations that a state machine performs on connections. They do not block; except for
/// [`Transport::receive_now`], their results are reported later as events.
pub trait Transport {
    /// Starts to establish a connection.
    fn connect(&mut self, address: SocketAddr) -> ConnectionId;
    /// Queues bytes for sending.
    fn write(&mut self, connection: ConnectionId, bytes: &[u8]);
    /// Reads what has arrived until this moment, without waiting.
    fn receive_now(&mut self, connection: ConnectionId) -> ReceivedNow;
    /// Shuts down the write side. Received bytes and the end of the connection are still reported.
    fn shutdown_write(&mut self, connection: ConnectionId);
    /// Closes a connection at once; no further event is reported for it.
    fn close(&mut self, connection: ConnectionId);
}
