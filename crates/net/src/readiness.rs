//! Readiness of event sources, as one dispatch of the event loop reports it.

use crate::event::{ConnId, ListenerId};
use calloop::signals::Signal;

/// An event source that is ready.
#[derive(Clone, Copy, Debug)]
pub enum Ready {
    /// The listener has connections to accept.
    Listener(ListenerId),
    /// A connection is readable, writable or both.
    Connection { id: ConnId, readable: bool, writable: bool },
    /// The process received a watched signal.
    Signal(Signal),
    /// [`Waker::wake`](crate::Waker::wake) was called.
    Woken,
}

/// The sources that one dispatch of the event loop found ready, in order.
pub type ReadyList = Vec<Ready>;
