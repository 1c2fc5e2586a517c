//! Non-blocking TCP connections on calloop: the one place that touches sockets.
//!
//! [`Net`] turns readiness into [`NetEvent`]s and knows nothing of what the bytes mean. Each connection holds at most
//! what its owner has queued for writing; reading can be paused, which the peer sees as a full receive window.
//!
//! | module | holds |
//! | --- | --- |
//! | `event` | ids of connections and listeners, and the events of a poll |
//! | `connection` | one connection: its state, its queued bytes, reading and writing |
//! | `connecting` | outbound connections, and the event loop's knowledge of streams |
//! | `listening` | listeners, and accepting |
//! | `failures` | which errors are this machine's, for a moment |
//! | `retries` | operations that failed for such a reason |
//! | `listener` | one listening socket, paused while the process is out of descriptors |
//! | `lingering` | closed connections that are held, unread, until their peers have closed too |
//! | `readiness` | what the event loop reports of one source |
//! | `net` | all connections of one thread, and the poll of their event loop |
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
pub use event::{ConnId, ListenerId, NetEvent};
pub use net::{Net, Waker};

#[cfg(test)]
mod tests;
