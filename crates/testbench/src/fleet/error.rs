//! Errors of a fleet run.

use std::net::SocketAddr;
use std::time::Duration;

/// The reason why a fleet run has no result.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A socket, file or process operation failed.
    #[error("fleet: {operation}: {error}")]
    Io {
        /// The failed operation, or the path of the file or program.
        operation: String,
        /// The error of the operating system.
        #[source]
        error: std::io::Error,
    },
    /// A gateway did not answer a PING in time after its start.
    #[error("fleet: gateway {gateway} at {address} did not answer a PING within {timeout:?}")]
    NotReady {
        /// Index of the gateway.
        gateway: usize,
        /// The address on which it is configured to listen.
        address: SocketAddr,
        /// The time limit for all gateways together.
        timeout: Duration,
    },
    /// The scenario has more gateways than a fleet has loopback addresses.
    #[error(
        "fleet: {gateways} gateways exceed the maximum of {max} gateway processes; use --emulate for more"
    )]
    TooManyGateways {
        /// Number of gateways in the scenario.
        gateways: usize,
        /// Maximum number of gateway processes.
        max: usize,
    },
    /// The run was interrupted by SIGINT or SIGTERM.
    #[error("fleet: interrupted; the gateways were stopped and this run has no report")]
    Interrupted,
    /// A gateway exited although the harness had neither killed it nor told it to shut down.
    #[error("fleet: gateway {0} exited unexpectedly")]
    UnexpectedExit(usize),
}

impl FleetError {
    /// Returns a conversion from an I/O error that adds the failed operation.
    pub(super) fn io(operation: impl Into<String>) -> impl FnOnce(std::io::Error) -> FleetError {
        |error| FleetError::Io { operation: operation.into(), error }
    }
}
