//! Settings, keys and certificates, loaded from files.

use cloverstile_as2::{As2Error, Certificate, Identity};
use cloverstile_settings::{parse, Config, Problems};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Why settings or keys can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file that can't be read.
    #[error("{path}: can't be read: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// Invalid settings.
    #[error(transparent)]
    Settings(#[from] Problems),
    /// A key or certificate that can't be used.
    #[error("{path}: {error}")]
    Key {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: As2Error,
    },
    /// A key file that others may read.
    #[error("{path}: others may read this key (mode {mode:o}); run: chmod 600 {path}")]
    Permissions {
        /// The file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The partner's certificate has no key that content can be encrypted for.
    #[error("{path}: nothing can be encrypted for partner '{partner}', whose key is not RSA; set encrypt = \"none\"")]
    EncryptionNotSupported {
        /// The certificate.
        path: PathBuf,
        /// Name of the partner.
        partner: String,
    },
}

fn read(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|error| LoadError::Read { path: path.to_owned(), error })
}

/// Reads settings; paths in them are relative to the folder of the file.
///
/// # Errors
/// A file that can't be read, or invalid settings.
pub fn load_config(path: &Path) -> Result<Config, LoadError> {
    let mut config = parse(&path.display().to_string(), &read(path)?)?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let resolve = |path: &mut PathBuf| *path = folder.join(&*path);
    resolve(&mut config.identity.key);
    resolve(&mut config.identity.certificate);
    config.clients.iter_mut().for_each(|client| resolve(&mut client.certificate));
    config.partners.iter_mut().for_each(|partner| resolve(&mut partner.certificate));
    Ok(config)
}

/// Reads a station's key and certificate.
///
/// # Errors
/// Files that can't be read or used, and a key that other users may read.
pub fn load_identity(name: &str, key: &Path, certificate: &Path) -> Result<Identity, LoadError> {
    let metadata = std::fs::metadata(key).map_err(|error| LoadError::Read { path: key.to_owned(), error })?;
    let mode = metadata.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(LoadError::Permissions { path: key.to_owned(), mode });
    }
    let certificate_pem = read(certificate)?;
    Certificate::from_pem(&certificate_pem)
        .map_err(|error| LoadError::Key { path: certificate.to_owned(), error })?;
    Identity::from_pem(name, &read(key)?, &certificate_pem)
        .map_err(|error| LoadError::Key { path: key.to_owned(), error })
}

/// Reads settings with all keys and certificates that they name.
///
/// # Errors
/// See [`LoadError`].
pub fn load(path: &Path) -> Result<(Config, Directory), LoadError> {
    let config = load_config(path)?;
    let directory = Directory::load(&config)?;
    Ok((config, directory))
}

/// Keys and certificates of all AS2 stations that a gateway communicates with.
pub struct Directory {
    /// Key and certificate of the gateway itself.
    pub own_identity: Arc<Identity>,
    /// Certificates of clients, in the order of the settings.
    pub clients: Vec<Arc<Certificate>>,
    /// Certificates of partners, in the order of the settings.
    pub partners: Vec<Arc<Certificate>>,
}

impl Directory {
    /// Reads all keys and certificates that settings name.
    ///
    /// # Errors
    /// See [`LoadError`].
    pub fn load(config: &Config) -> Result<Directory, LoadError> {
        let station = &config.identity;
        let own_identity = load_identity(&station.name, &station.key, &station.certificate)?;
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
        for (partner, certificate) in config.partners.iter().zip(&partners) {
            if partner.content_cipher.is_some() && !certificate.can_receive_encrypted() {
                let (path, partner) = (partner.certificate.clone(), partner.name.clone());
                return Err(LoadError::EncryptionNotSupported { path, partner });
            }
        }
        Ok(Directory { own_identity: Arc::new(own_identity), clients, partners })
    }
}
