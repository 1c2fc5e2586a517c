//! Why a fleet could not be played.

use std::net::SocketAddr;
use std::time::Duration;

/// Why a fleet could not be played.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A socket, file or process operation failed.
    #[error("fleet: {what}: {error}")]
    Io {
        /// What was tried.
        what: String,
        /// The system's error.
        #[source]
        error: std::io::Error,
    },
    /// A gateway did not become ready in time.
    #[error("fleet: gateway {gateway} does not answer a PING at {address} within {timeout:?}")]
    NotReady {
        /// Number of the gateway.
        gateway: usize,
        /// Where it should listen.
        address: SocketAddr,
        /// How long was waited.
        timeout: Duration,
    },
    /// More gateways than there are addresses for.
    #[error("fleet: {gateways} gateways; at most {max} are played as processes, more with --emulate")]
    TooMany {
        /// Gateways of the scenario.
        gateways: usize,
        /// Gateways that can be played.
        max: usize,
    },
    /// The run was interrupted by SIGINT or SIGTERM.
    #[error("fleet: interrupted; the gateways were ended, and nothing is reported of this run")]
    Interrupted,
    /// A gateway exited without having been told to.
    #[error("fleet: gateway {0} exited by itself")]
    Exited(usize),
}

impl FleetError {
    /// Adds to an I/O error what was tried.
    pub(super) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> FleetError {
        |error| FleetError::Io { what: what.into(), error }
    }
}
