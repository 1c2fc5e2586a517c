//! The environment variables that the platform sets for a gateway.

use crate::error::GatewayError;
use std::io;
use std::path::PathBuf;

/// What the platform tells a gateway by its environment.
#[derive(Clone, Debug)]
pub struct Environment {
    /// `ROUTER_CONFIG`: path of the configuration, a JSON file.
    pub config_path: PathBuf,
    /// `ROUTER_STATE`: path of the directory that outlasts the process.
    pub state_directory: PathBuf,
}

impl Environment {
    /// Reads the variables of this process.
    ///
    /// # Errors
    /// A variable that is not set, or `ROUTER_STATE` without an existing directory.
    pub fn from_env() -> Result<Self, GatewayError> {
        let path = |name, expected| {
            let value = std::env::var_os(name).map(PathBuf::from);
            value.ok_or(GatewayError::MissingVariable { name, expected })
        };
        let state_directory = path("ROUTER_STATE", "the directory that outlasts the process")?;
        if !state_directory.is_dir() {
            let problem = "ROUTER_STATE must name an existing directory";
            let error = io::Error::new(io::ErrorKind::NotADirectory, problem);
            return Err(GatewayError::Read { path: state_directory, error });
        }
        Ok(Environment {
            config_path: path("ROUTER_CONFIG", "the configuration, a JSON file")?,
            state_directory,
        })
    }
}
