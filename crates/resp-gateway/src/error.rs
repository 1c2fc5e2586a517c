//! Errors of the gateway's start and run.

use cloverstile_platform::config::ConfigError;
use std::io;
use std::path::PathBuf;

/// Why a gateway could not start or continue.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An environment variable is not set.
    #[error("{name} is not set; it must name {expected}")]
    MissingVariable {
        /// The variable.
        name: &'static str,
        /// What its value must name.
        expected: &'static str,
    },
    /// A file or directory that cannot be read.
    #[error("{path}: cannot be read: {error}")]
    Read {
        /// Its path.
        path: PathBuf,
        /// The system's error.
        #[source]
        error: io::Error,
    },
    /// A configuration file whose content is not valid.
    #[error("{path}: {error}")]
    Config {
        /// Its path.
        path: PathBuf,
        /// What is wrong, and what is allowed.
        #[source]
        error: ConfigError,
    },
    /// An operation of the system that failed.
    #[error("{operation}: {error}")]
    Io {
        /// What was tried.
        operation: String,
        /// The system's error.
        #[source]
        error: io::Error,
    },
}

impl GatewayError {
    /// Adds the operation that failed to an error of the system, as `map_err` takes it.
    pub(crate) fn failed_to(operation: impl Into<String>) -> impl FnOnce(io::Error) -> GatewayError {
        let operation = operation.into();
        move |error| GatewayError::Io { operation, error }
    }
}
