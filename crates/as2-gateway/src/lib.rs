//! The courier on sockets: AS2 messages come in, the module decides, AS2 messages go out, and each hand-in gets
//! one signed receipt back.
//!
//! This package is the shell: sockets, clocks, files, signals and threads are here, decisions are not. What an
//! answer of a partner means is in [`meaning`], free of I/O; what a message needs before it is taken is in
//! [`admission`].
#![forbid(unsafe_code)]

pub mod admission;
mod directory;
mod front;
mod losses;
pub mod meaning;
mod pool;
mod service;
pub mod test_cluster;
mod wire;

pub use directory::{load, load_config, load_identity, Directory, LoadError};
pub use losses::{network, warnings};
pub use service::{serve, RunSummary, Service, ServiceError, ShutdownHandle};
