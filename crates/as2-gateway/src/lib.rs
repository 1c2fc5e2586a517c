//! Gateway between AS2 clients and AS2 partners: it accepts submissions, sends their messages to the partners as the
//! delivery policy decides, and answers each submission with one signed receipt.
//!
//! This crate does the I/O: sockets, clocks, files, signals and threads. The engine and its policy make the delivery
//! decisions. [`admission`] (what a message needs to be admitted) and [`response_mapping`] (what a partner's response
//! means) do no I/O.
#![forbid(unsafe_code)]

pub mod admission;
mod as2_server;
mod context;
mod crypto_pool;
mod directory;
mod failover_setup;
mod identifiers;
mod in_flight_message;
mod outbound_client;
pub mod response_mapping;
mod service;
pub mod test_cluster;
mod worker_result;
mod zone_loss;

pub use directory::{load, load_config, load_identity, Directory, LoadError};
pub use service::{serve, RunSummary, Service, ServiceError, ShutdownHandle};
pub use zone_loss::{capacity_network, capacity_warnings};
