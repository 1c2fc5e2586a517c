//! What the event loop reports of one source.

use crate::event::{ConnId, ListenerId};
use calloop::signals::Signal;

/// One source that has something to do.
#[derive(Clone, Copy, Debug)]
pub enum Ready {
    /// Connections wait to be accepted.
    Listener(ListenerId),
    /// A connection can be read or written, or both.
    Connection { id: ConnId, readable: bool, writable: bool },
    /// A signal arrived.
    Signal(Signal),
    /// A [`Waker`](crate::Waker) was used.
    Woken,
}

/// The sources that one dispatch of the event loop found ready, in order.
pub type ReadyList = Vec<Ready>;
