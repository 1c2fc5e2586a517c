//! Gateway with AS2 clients and AS2 partners: submissions come in, the policy decides, messages go out, and each
//! submission gets one signed receipt.
//!
//! This package is the shell: sockets, clocks, files, signals and threads are here, decisions are not. [`admission`]
//! (what a message needs to be admitted) and [`response_mapping`] (what a partner's response means) are free of I/O.
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
