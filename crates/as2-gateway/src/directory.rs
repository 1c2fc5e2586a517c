//! Settings and keys from files.

use cloverstile_as2::{As2Error, Certificate, Identity};
use cloverstile_settings::{parse, Config, Problems};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file that can't be read.
    #[error("{path}: can't be read: {error}")]
    Read {
        /// Which.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// What the settings say is wrong.
    #[error(transparent)]
    Settings(#[from] Problems),
    /// A key or certificate that can't be used.
    #[error("{path}: {error}")]
    Key {
        /// Which.
        path: PathBuf,
        /// Why.
        error: As2Error,
    },
    /// A key file that others may read.
    #[error("{path}: others may read this key (mode {mode:o}); run: chmod 600 {path}")]
    Permissions {
        /// Which.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// Content can't be encrypted for this certificate.
    #[error("{path}: nothing can be encrypted for partner '{partner}', whose key is not RSA; set encrypt = \"none\"")]
    CantEncrypt {
        /// Which file.
        path: PathBuf,
        /// Whose.
        partner: String,
    },
}

fn read(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|error| LoadError::Read { path: path.to_owned(), error })
}

/// Reads settings; paths in them count from the file's own folder.
pub fn load_config(path: &Path) -> Result<Config, LoadError> {
    let mut config = parse(&path.display().to_string(), &read(path)?)?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let resolve = |path: &mut PathBuf| *path = folder.join(&*path);
    resolve(&mut config.station.key);
    resolve(&mut config.station.certificate);
    config.clients.iter_mut().for_each(|client| resolve(&mut client.certificate));
    config.partners.iter_mut().for_each(|partner| resolve(&mut partner.certificate));
    Ok(config)
}

/// Reads a station's key and certificate. A key that others may read is refused.
pub fn load_identity(name: &str, key: &Path, certificate: &Path) -> Result<Identity, LoadError> {
    let told = std::fs::metadata(key).map_err(|error| LoadError::Read { path: key.to_owned(), error })?;
    let mode = told.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(LoadError::Permissions { path: key.to_owned(), mode });
    }
    let certificate_pem = read(certificate)?;
    Certificate::from_pem(&certificate_pem)
        .map_err(|error| LoadError::Key { path: certificate.to_owned(), error })?;
    Identity::from_pem(name, &read(key)?, &certificate_pem)
        .map_err(|error| LoadError::Key { path: key.to_owned(), error })
}

/// Settings with all keys and certificates that they name.
pub fn load(path: &Path) -> Result<(Config, Directory), LoadError> {
    let config = load_config(path)?;
    let directory = Directory::load(&config)?;
    Ok((config, directory))
}

/// All stations that a courier deals with.
pub struct Directory {
    /// Its own.
    pub me: Arc<Identity>,
    /// Certificates of clients, in the order of the settings.
    pub clients: Vec<Arc<Certificate>>,
    /// Certificates of partners, in the order of the settings.
    pub partners: Vec<Arc<Certificate>>,
}

impl Directory {
    /// Reads all keys and certificates that settings name.
    pub fn load(config: &Config) -> Result<Directory, LoadError> {
        let station = &config.station;
        let me = load_identity(&station.name, &station.key, &station.certificate)?;
        let certificate = |path: &Path| {
            Certificate::from_pem(&read(path)?)
                .map(Arc::new)
                .map_err(|error| LoadError::Key { path: path.to_owned(), error })
        };
        let clients =
            config.clients.iter().map(|client| certificate(&client.certificate)).collect::<Result<_, _>>()?;
        let partners: Vec<Arc<Certificate>> = config
            .partners
            .iter()
            .map(|partner| certificate(&partner.certificate))
            .collect::<Result<_, _>>()?;
        for (partner, held) in config.partners.iter().zip(&partners) {
            if partner.encrypt.is_some() && !held.can_receive_encrypted() {
                let (path, partner) = (partner.certificate.clone(), partner.name.clone());
                return Err(LoadError::CantEncrypt { path, partner });
            }
        }
        Ok(Directory { me: Arc::new(me), clients, partners })
    }
}
