//! From the environment to a running courier.

use crate::gateway::Gateway;
use cloverstile_platform::config::{parse, Config, ConfigError};
use std::io;
use std::path::{Path, PathBuf};

/// Why a courier could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// A variable is missing.
    #[error("{name}: not set; it names {wanted}")]
    Variable {
        /// Which.
        name: &'static str,
        /// What it holds.
        wanted: &'static str,
    },
    /// A file that can't be read.
    #[error("{path}: can't be read: {error}")]
    Read {
        /// Which.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// A configuration that can't be used.
    #[error("{path}: {error}")]
    Config {
        /// Its file.
        path: PathBuf,
        /// What is wrong.
        error: ConfigError,
    },
    /// The system refused.
    #[error("{what}: {error}")]
    Io {
        /// What was tried.
        what: String,
        /// Why not.
        error: io::Error,
    },
}

/// What the platform tells a courier in its environment.
#[derive(Clone, Debug)]
pub struct Environment {
    /// `ROUTER_CONFIG`: the configuration.
    pub config: PathBuf,
    /// `ROUTER_STATE`: the folder that lasts.
    pub state: PathBuf,
}

impl Environment {
    /// Reads them.
    pub fn from_env() -> Result<Self, GatewayError> {
        let path = |name, wanted| {
            std::env::var_os(name).map(PathBuf::from).ok_or(GatewayError::Variable { name, wanted })
        };
        let state = path("ROUTER_STATE", "the folder that outlasts the process")?;
        if !state.is_dir() {
            let error =
                io::Error::new(io::ErrorKind::NotADirectory, "ROUTER_STATE must name a folder that is there");
            return Err(GatewayError::Read { path: state, error });
        }
        Ok(Environment { config: path("ROUTER_CONFIG", "the configuration, a file of JSON")?, state })
    }
}

/// Reads a configuration.
pub(crate) fn load(path: &Path) -> Result<Config, GatewayError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| GatewayError::Read { path: path.to_owned(), error })?;
    parse(&text).map_err(|error| GatewayError::Config { path: path.to_owned(), error })
}

/// Runs a courier until it was told to stop and is done.
pub fn run(variables: &Environment) -> Result<(), GatewayError> {
    let config = load(&variables.config)?;
    Gateway::start(config, variables)?.run()
}
