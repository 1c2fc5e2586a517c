//! The protocols between the gateway and the platform that hosts it: client commands, service discovery, requests to
//! endpoints and notifications, with the decisions that the delivery policy does not take.
//!
//! Nothing here opens a socket, reads a clock or draws random numbers. State machines take received bytes and the
//! current time, and act on a [`Transport`]. The gateway implements it on sockets; tests implement it as a list of
//! calls.
//!
//! | module | contents |
//! | --- | --- |
//! | [`config`] | the JSON configuration, and its settings as input for the policy's parser |
//! | [`settings_validation`] | which settings are required, and which values they may have |
//! | [`client_request`] | parsing and validation of a client's command |
//! | [`client_sessions`] | client connections: decoding of commands, timeouts and eviction |
//! | [`endpoint_list_codec`] | the binary form in which the list outlives the process |
//! | [`endpoint_list_response`] | JSON responses of service discovery |
//! | [`endpoint_list`] | the endpoint list: snapshots, changes and the policy's endpoint ids |
//! | [`told_endpoint_list`] | the list as last told, and the list that a process starts with |
//! | `discovery_connection` | the connection to the discovery agent, which the next two modules use |
//! | [`endpoint_watch`] | the watch of the endpoint list by long polls, and reconnection after failures |
//! | [`notifications`] | messages that the platform must be notified of, until it acknowledges them |
//! | [`response`] | an endpoint's response: outcome, whether it may have run, reuse of the connection |
//! | `response_doubt` | what a response that may be a copy gives its attempt |
//! | `connection_pool` | connections to endpoints and their states |
//! | [`connection_reuse`] | when a connection may carry another request, and which responses count at once |
//! | [`doubted_responses`] | responses that were held as possible copies, as events for the log |
//! | [`requests`] | requests to endpoints, from an attempt to its result |
//! | [`unsolicited`] | bytes of an endpoint that answer no request, as events for the log |
//! | [`shutdown`] | phases of a graceful shutdown |
//! | `transport` | [`Transport`], [`ConnectionId`] and [`ReceivedNow`] |
//! | `limits` | [`MAX_BODY_BYTES`] |
#![forbid(unsafe_code)]

pub mod client_request;
pub mod client_sessions;
pub mod config;
mod connection_pool;
pub mod connection_reuse;
mod discovery_connection;
pub mod doubted_responses;
pub mod endpoint_list;
pub mod endpoint_list_codec;
pub mod endpoint_list_response;
pub mod endpoint_watch;
mod limits;
pub mod notifications;
pub mod requests;
pub mod response;
mod response_doubt;
pub mod settings_validation;
pub mod shutdown;
pub mod told_endpoint_list;
mod transport;
pub mod unsolicited;

pub use limits::MAX_BODY_BYTES;
pub use transport::{ConnectionId, ReceivedNow, Transport};
