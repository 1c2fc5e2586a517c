//! Ids of connections and listeners, and the events that a poll returns.

use calloop::signals::Signal;
use std::io::ErrorKind;

/// Identifies a connection; ids are never reused during the life of a [`Net`](crate::Net).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Identifies a listener; ids are never reused during the life of a [`Net`](crate::Net).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub u64);

/// Something that happened to a connection, a listener or the process.
#[derive(Debug)]
pub enum NetEvent {
    /// A listener accepted a connection.
    Accepted {
        /// The listener that accepted it.
        listener: ListenerId,
        /// The new connection.
        conn: ConnId,
    },
    /// An outbound connection is established.
    Connected(ConnId),
    /// An outbound connection could not be established; its id is no longer valid.
    ConnectFailed(ConnId, ErrorKind),
    /// Bytes received from the peer, in order; never empty.
    Bytes(ConnId, Vec<u8>),
    /// All queued bytes have been written to the socket; the peer may not have received them yet.
    Flushed(ConnId),
    /// The peer has shut down its write side and may still read. Reported only for connections of a listener set by
    /// [`Net::allow_half_open`](crate::Net::allow_half_open); the owner closes the connection once it has replied.
    PeerHalfClosed(ConnId),
    /// The peer closed the connection, or it broke; its id is no longer valid.
    Closed {
        /// The connection that ended.
        conn: ConnId,
        /// Whether it ended with an orderly close rather than a reset or another error.
        clean: bool,
    },
    /// The process received a signal watched by [`Net::watch_signals`](crate::Net::watch_signals).
    Signal(Signal),
    /// [`Waker::wake`](crate::Waker::wake) was called.
    Woken,
}
