//! Ids of connections and listeners, and the events that a poll returns.

use calloop::signals::Signal;
use std::io::ErrorKind;

/// A connection's id, unique for the life of a [`Net`](crate::Net).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// A listener's id, unique for the life of a [`Net`](crate::Net).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub u64);

/// Something that happened to a connection, a listener or the process.
#[derive(Debug)]
pub enum NetEvent {
    /// A peer connected.
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
    /// Bytes arrived.
    Bytes(ConnId, Vec<u8>),
    /// All queued bytes have been handed to the system.
    Flushed(ConnId),
    /// The peer has ended its sending and may still read; only on connections of a listener that is half-open. Its owner
    /// closes the connection once it has replied.
    PeerHalfClosed(ConnId),
    /// The peer closed, or the connection broke; its id is no longer valid.
    Closed {
        /// The connection.
        conn: ConnId,
        /// It ended by an orderly close, not by a reset.
        clean: bool,
    },
    /// The process received a signal.
    Signal(Signal),
    /// A [`Waker`](crate::Waker) was used.
    Woken,
}
