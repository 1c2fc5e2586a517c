//! Loads the settings and the keys and certificates that they name from files.

use cloverstile_as2::{As2Error, Certificate, Identity};
use cloverstile_settings::{parse, Config, Problems};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Why settings, keys or certificates cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file cannot be read.
    #[error("{path}: can't be read: {error}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause reported by the operating system.
        error: std::io::Error,
    },
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] Problems),
    /// A key or certificate cannot be parsed or is not supported.
    #[error("{path}: {error}")]
    Key {
        /// Path of the file.
        path: PathBuf,
        /// Why the key or certificate is not accepted.
        error: As2Error,
    },
    /// Users other than the owner have access to a key file.
    #[error("{path}: others may read this key (mode {mode:o}); run: chmod 600 {path}")]
    Permissions {
        /// Path of the file.
        path: PathBuf,
        /// Permission bits of the file.
        mode: u32,
    },
    /// The settings require encryption for a partner whose certificate does not allow it.
    #[error("{path}: nothing can be encrypted for partner '{partner}', whose key is not RSA; set encrypt = \"none\"")]
    EncryptionNotSupported {
        /// File of the partner's certificate.
        path: PathBuf,
        /// Name of the partner in the settings.
        partner: String,
    },
}

fn read(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|error| LoadError::Read { path: path.to_owned(), error })
}

/// Loads the settings from a file. Relative paths in them are resolved against the directory of the file.
///
/// # Errors
/// Fails if the file cannot be read or the settings are invalid.
pub fn load_config(path: &Path) -> Result<Config, LoadError> {
    let mut config = parse(&path.display().to_string(), &read(path)?)?;
    let base = path.parent().unwrap_or(Path::new(""));
    let resolve = |path: &mut PathBuf| *path = base.join(&*path);
    resolve(&mut config.identity.key);
    resolve(&mut config.identity.certificate);
    config.clients.iter_mut().for_each(|client| resolve(&mut client.certificate));
    config.partners.iter_mut().for_each(|partner| resolve(&mut partner.certificate));
    Ok(config)
}

/// Loads the private key and the certificate of an AS2 party. `name` is its AS2 name.
///
/// # Errors
/// Fails if a file cannot be read or parsed, or if users other than the owner have access to the key file.
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

/// Loads the settings and all keys and certificates that they name.
///
/// # Errors
/// See [`LoadError`].
pub fn load(path: &Path) -> Result<(Config, Directory), LoadError> {
    let config = load_config(path)?;
    let directory = Directory::load(&config)?;
    Ok((config, directory))
}

/// The gateway's own identity and the certificates of its clients and partners.
pub struct Directory {
    /// AS2 name, private key and certificate of the gateway itself.
    pub own_identity: Arc<Identity>,
    /// Certificates of clients, in the order of the settings.
    pub clients: Vec<Arc<Certificate>>,
    /// Certificates of partners, in the order of the settings.
    pub partners: Vec<Arc<Certificate>>,
}

impl Directory {
    /// Loads all keys and certificates that the settings name.
    ///
    /// # Errors
    /// See [`LoadError`].
    pub fn load(config: &Config) -> Result<Directory, LoadError> {
        let identity = &config.identity;
        let own_identity = load_identity(&identity.name, &identity.key, &identity.certificate)?;
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
