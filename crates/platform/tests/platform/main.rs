//! Tests of the platform crate's state machines and parsers, one file per module.

mod client_request;
mod client_sessions;
mod config;
mod connection_reuse;
mod endpoint_list;
mod endpoint_list_codec;
mod endpoint_watch;
mod notifications;
mod requests;
mod response;
mod shutdown;
mod support;
mod told_endpoint_list;
