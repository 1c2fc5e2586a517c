//! Reading the configuration file, at the start and again after `SIGHUP`.

use crate::error::GatewayError;
use crate::sockets::Sockets;
use cloverstile::Time;
use cloverstile_platform::config::{parse, Config};
use cloverstile_platform::endpoint_watch::EndpointWatch;
use cloverstile_platform::notifications::Notifications;
use std::path::{Path, PathBuf};
use tracing::{info, warn};

/// Reads and checks a configuration file.
pub fn load(path: &Path) -> Result<Config, GatewayError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| GatewayError::Read { path: path.to_owned(), error })?;
    parse(&text).map_err(|error| GatewayError::Config { path: path.to_owned(), error })
}

/// The configuration file of a running gateway.
pub struct ConfigurationFile {
    path: PathBuf,
}

impl ConfigurationFile {
    /// The file at this path.
    pub fn new(path: PathBuf) -> Self {
        ConfigurationFile { path }
    }

    /// Where the file says that clients connect.
    #[cfg(feature = "planted-defects")]
    pub fn listen_address(&self) -> Option<std::net::SocketAddr> {
        load(&self.path).ok().map(|config| config.listen)
    }

    /// Reads the file again and applies what may change while the gateway runs: the address of discovery. A file that is
    /// not valid changes nothing.
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
