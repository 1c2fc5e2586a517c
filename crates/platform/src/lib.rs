//! The users' platform as the node sees it: what its messages mean, and what must be decided around the module.
//!
//! Nothing here opens a socket, reads a clock or draws chance. State machines take bytes and the time and act on
//! [`Transport`], which the shell puts on sockets and tests on a list.
//!
//! | module | holds |
//! | --- | --- |
//! | [`config`] | the JSON configuration, its settings for the module's one parser |
//! | [`settings_validation`] | what the settings must tell |
//! | [`client_request`] | what a client's command asks for, and what is wrong with it |
//! | [`endpoint_list`] | the endpoint list: snapshots, changes, ids for the policy |
//! | [`endpoint_list_response`] | what service discovery responds, as JSON |
//! | `agent` | the connection to the agent on this machine, which [`endpoint_watch`] and [`notifications`] ask on |
//! | [`endpoint_watch`] | the watch of that list: when to ask, when discovery counts as silent |
//! | [`notifications`] | what the platform must be told, until it has answered |
//! | [`response`] | an endpoint's answer: outcome, whether it may have run, whether its connection is of use |
//! | [`requests`] | calls out and their connections |
//! | [`client_sessions`] | clients' connections: who is closed, and when |
//! | [`shutdown`] | what a courier that was told to stop still does |
#![forbid(unsafe_code)]

pub mod client_request;
pub mod client_sessions;
pub mod config;
mod discovery_connection;
pub mod endpoint_list;
pub mod endpoint_list_response;
pub mod endpoint_watch;
pub mod notifications;
pub mod requests;
pub mod response;
pub mod settings_validation;
pub mod shutdown;

use std::net::SocketAddr;

/// Bytes of the longest body that the platform carries.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// A connection, as the shell numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What a state machine does to connections. Nothing comes back at once: events follow later.
pub trait Transport {
    /// Begins a connection.
    fn connect(&mut self, to: SocketAddr) -> ConnectionId;
    /// Queues bytes.
    fn write(&mut self, wire: ConnectionId, bytes: &[u8]);
    /// Ends what we send; what comes is still told, and so is the end.
    fn shutdown_write(&mut self, wire: ConnectionId);
    /// Closes at once; no event follows.
    fn close(&mut self, wire: ConnectionId);
}
