//! The users' platform as the gateway sees it: what its messages mean, and what is decided around the delivery policy.
//!
//! Nothing here opens a socket, reads a clock or draws random numbers. State machines take bytes and the time, and act
//! on a [`Transport`], which the gateway implements on sockets and tests as a list.
//!
//! | module | holds |
//! | --- | --- |
//! | [`config`] | the JSON configuration, with its settings for the policy's one parser |
//! | [`settings_validation`] | which settings are required, and their allowed values |
//! | [`client_request`] | a client's command, and what is wrong with it |
//! | [`client_sessions`] | clients' connections: their commands, and which are closed when |
//! | [`endpoint_list_response`] | responses of service discovery, as JSON |
//! | [`endpoint_list`] | the endpoint list: snapshots, changes, ids for the policy |
//! | `discovery_connection` | the connection to the discovery agent, which the next two use |
//! | [`endpoint_watch`] | the watch of the endpoint list: when to ask, when discovery is unavailable |
//! | [`notifications`] | messages that the platform must be notified of, until it acknowledges them |
//! | [`response`] | an endpoint's response: outcome, whether it may have run, reuse of the connection |
//! | `connection_pool` | connections to endpoints and their states |
//! | [`requests`] | requests to endpoints, from an attempt to its result |
//! | [`shutdown`] | phases of a graceful shutdown |
//! | `transport` | [`Transport`] and [`ConnectionId`] |
//! | `limits` | [`MAX_BODY_BYTES`] |
#![forbid(unsafe_code)]

pub mod client_request;
pub mod client_sessions;
pub mod config;
mod connection_pool;
mod discovery_connection;
pub mod endpoint_list;
pub mod endpoint_list_response;
pub mod endpoint_watch;
mod limits;
pub mod notifications;
pub mod requests;
pub mod response;
pub mod settings_validation;
pub mod shutdown;
mod transport;

pub use limits::MAX_BODY_BYTES;
pub use transport::{ConnectionId, Transport};
