//! The environment variables through which the platform configures a gateway.

use crate::error::GatewayError;
use std::io;
use std::path::PathBuf;

/// The values of the gateway's environment variables.
#[derive(Clone, Debug)]
pub struct Environment {
    /// `ROUTER_CONFIG`: path of the configuration file (JSON).
    pub config_path: PathBuf,
    /// `ROUTER_STATE`: path of the state directory, whose files persist across restarts.
    pub state_directory: PathBuf,
}

impl Environment {
    /// Reads the variables from the environment of this process.
    ///
    /// # Errors
    /// A variable is not set, or `ROUTER_STATE` does not name an existing directory.
    pub fn from_env() -> Result<Self, GatewayError> {
        let path = |name, expected| {
            let value = std::env::var_os(name).map(PathBuf::from);
            value.ok_or(GatewayError::MissingVariable { name, expected })
        };
        let state_directory = path("ROUTER_STATE", "the state directory, which persists across restarts")?;
        if !state_directory.is_dir() {
            let problem = "ROUTER_STATE must name an existing directory";
            let error = io::Error::new(io::ErrorKind::NotADirectory, problem);
            return Err(GatewayError::Read { path: state_directory, error });
        }
        Ok(Environment {
            config_path: path("ROUTER_CONFIG", "the configuration file (JSON)")?,
            state_directory,
        })
    }
}
