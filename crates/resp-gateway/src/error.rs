//! Errors that stop the gateway at startup or while it runs.

use cloverstile_memory_budget::InsufficientMemory;
use cloverstile_platform::config::ConfigError;
use std::io;
use std::path::PathBuf;

/// Reason why a gateway cannot start or continue.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An environment variable is not set.
    #[error("{name} is not set; it must name {expected}")]
    MissingVariable {
        /// `ROUTER_CONFIG` or `ROUTER_STATE`.
        name: &'static str,
        /// Description of the file or directory that its value must name.
        expected: &'static str,
    },
    /// A file or directory cannot be read.
    #[error("{path}: cannot be read: {error}")]
    Read {
        /// The path of the file or directory.
        path: PathBuf,
        /// The error from the operating system.
        #[source]
        error: io::Error,
    },
    /// The configuration file is invalid.
    #[error("{path}: {error}")]
    Config {
        /// The path of the configuration file, from `ROUTER_CONFIG`.
        path: PathBuf,
        /// The problem, and the values that are allowed.
        #[source]
        error: ConfigError,
    },
    /// The configured memory is too little.
    #[error("{0}")]
    Memory(#[from] InsufficientMemory),
    /// A system operation failed.
    #[error("{operation}: {error}")]
    Io {
        /// The operation that failed, such as `listen on 127.0.0.1:6379`.
        operation: String,
        /// The error from the operating system.
        #[source]
        error: io::Error,
    },
}

impl GatewayError {
    /// Returns a function for `map_err` that adds the name of the failed operation to an I/O error.
    pub(crate) fn io_error(operation: impl Into<String>) -> impl FnOnce(io::Error) -> GatewayError {
        let operation = operation.into();
        move |error| GatewayError::Io { operation, error }
    }
}
