//! Reads the configuration file at startup and again on `SIGHUP`.

use crate::error::GatewayError;
use crate::sockets::Sockets;
use cloverstile::Time;
use cloverstile_platform::config::{parse, Config};
use cloverstile_platform::endpoint_watch::EndpointWatch;
use cloverstile_platform::notifications::Notifications;
use std::path::{Path, PathBuf};
use tracing::{info, warn};

/// Reads and validates a configuration file.
pub fn load(path: &Path) -> Result<Config, GatewayError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| GatewayError::Read { path: path.to_owned(), error })?;
    parse(&text).map_err(|error| GatewayError::Config { path: path.to_owned(), error })
}

/// The path of the configuration file, which is read again on each reload.
pub struct ConfigurationFile {
    path: PathBuf,
}

impl ConfigurationFile {
    /// The configuration file at `path`; it is not read yet.
    pub fn new(path: PathBuf) -> Self {
        ConfigurationFile { path }
    }

    /// The listen address in the file, or `None` if the file is unreadable or invalid.
    #[cfg(feature = "planted-defects")]
    pub fn listen_address(&self) -> Option<std::net::SocketAddr> {
        load(&self.path).ok().map(|config| config.listen)
    }

    /// Reads the file again and applies the only setting that may change while the gateway runs: the address of discovery.
    /// An unreadable or invalid file changes nothing.
    pub fn reload(
        &self,
        now: Time,
        watch: &mut EndpointWatch,
        notifications: &mut Notifications,
        sockets: &mut Sockets<'_>,
    ) {
        match load(&self.path) {
            Ok(config) => {
                info!(discovery = %config.discovery, "configuration reloaded");
                watch.set_address(now, config.discovery, sockets);
                notifications.set_address(now, config.discovery, sockets);
            }
            Err(error) => warn!(%error, "configuration rejected, the previous one stays in effect"),
        }
    }
}
