//! Non-blocking TCP connections on calloop: the only crate through which the gateways use sockets.
//!
//! [`Net`] turns readiness into [`NetEvent`]s and does not interpret the bytes. A connection buffers only the bytes that
//! its owner has queued for writing. Reading can be paused, which the peer sees as a full receive window.
//!
//! | module | holds |
//! | --- | --- |
//! | `event` | ids of connections and listeners, and the events that a poll returns |
//! | `connection` | one connection: state, output buffer, reading and writing |
//! | `connecting` | starting outbound connections and registering streams with the event loop |
//! | `listening` | opening and closing listeners, and accepting connections |
//! | `failures` | classification of I/O errors: transient local errors and errors caused by the peer |
//! | `retries` | operations to retry after a transient local error |
//! | `listener` | one listening socket, paused while the process has no free file descriptor |
//! | `lingering` | lingering close: closed connections kept open, unread, until the peer closes or a timeout expires |
//! | `readiness` | readiness of one event source |
//! | `net` | all connections and listeners of one thread, and polling their event loop |
#![forbid(unsafe_code)]

mod connecting;
mod connection;
mod event;
mod failures;
mod lingering;
mod listener;
mod listening;
mod net;
mod readiness;
mod retries;

pub use calloop::signals::Signal as SignalKind;
pub use connection::{ReadResult, StreamEnd};
pub use event::{ConnId, ListenerId, NetEvent};
pub use net::{Net, Waker};

#[cfg(test)]
mod tests;
