//! `cloverstile as2-gateway` and `cloverstile resp-gateway`: run a gateway until it is shut down by a signal.

use crate::exit_status::ExitStatus;
use cloverstile_as2_gateway::ServiceError;
use cloverstile_resp_gateway::{Environment, GatewayError};
use std::path::Path;
use tracing::error;

/// Runs a gateway for AS2 clients with the settings in `file`. `announce` prints the address that it listens on.
pub fn run_as2(file: &Path, announce: bool) -> ExitStatus {
    match cloverstile_as2_gateway::serve(file, announce, rand::random()) {
        Ok(summary) if summary.unanswered == 0 => ExitStatus::Success,
        Ok(_) => ExitStatus::Unanswered,
        Err(ServiceError::Load(error)) => {
            eprintln!("{error}");
            ExitStatus::Settings
        }
        Err(error) => {
            error!(%error, "gateway failed");
            ExitStatus::Failure
        }
    }
}

/// Runs a gateway for RESP2 clients, configured by environment variables.
pub fn run_resp() -> ExitStatus {
    match Environment::from_env().and_then(|environment| cloverstile_resp_gateway::run(&environment)) {
        Ok(()) => ExitStatus::Success,
        Err(error @ GatewayError::Io { .. }) => {
            error!(%error, "gateway failed");
            ExitStatus::Failure
        }
        Err(error) => {
            eprintln!("cloverstile resp-gateway: {error}");
            ExitStatus::Settings
        }
    }
}
