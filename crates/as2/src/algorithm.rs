//! Digest algorithms and content ciphers of messages, receipts and CMS structures.

/// Digest algorithms of signatures and message integrity checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Digest {
    /// SHA-1: only for verifying signatures and for integrity checks, and only if the settings of the peer request it;
    /// signing with it is an error.
    Sha1,
    /// SHA-256, the default where a message names no digest.
    Sha256,
    /// SHA-384; signatures with RSA keys only.
    Sha384,
    /// SHA-512; signatures with RSA keys only.
    Sha512,
}

impl Digest {
    /// Returns the digest of `bytes`.
    pub fn of(self, bytes: &[u8]) -> Vec<u8> {
        let algorithm = match self {
            Digest::Sha1 => &aws_lc_rs::digest::SHA1_FOR_LEGACY_USE_ONLY,
            Digest::Sha256 => &aws_lc_rs::digest::SHA256,
            Digest::Sha384 => &aws_lc_rs::digest::SHA384,
            Digest::Sha512 => &aws_lc_rs::digest::SHA512,
        };
        aws_lc_rs::digest::digest(algorithm, bytes).as_ref().to_vec()
    }

    /// The name in the `micalg` parameter (RFC 5751, section 3.4.3.2).
    pub fn name(self) -> &'static str {
        match self {
            Digest::Sha1 => "sha-1",
            Digest::Sha256 => "sha-256",
            Digest::Sha384 => "sha-384",
            Digest::Sha512 => "sha-512",
        }
    }

    /// Parses a name regardless of case, hyphens and underscores, such as `sha1`, `SHA-256` or `sha256`; `None` if
    /// it is unknown.
    pub fn parse(name: &str) -> Option<Digest> {
        match name.trim().to_ascii_lowercase().replace(['-', '_'], "").as_str() {
            "sha1" | "rsasha1" => Some(Digest::Sha1),
            "sha256" | "rsasha256" => Some(Digest::Sha256),
            "sha384" => Some(Digest::Sha384),
            "sha512" => Some(Digest::Sha512),
            _ => None,
        }
    }
}

/// Ciphers for content encryption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cipher {
    /// AES-128 in CBC mode.
    Aes128Cbc,
    /// AES-256 in CBC mode.
    Aes256Cbc,
    /// AES-128 in GCM mode; only for peers that support `AuthEnvelopedData` (RFC 5083).
    Aes128Gcm,
    /// AES-256 in GCM mode; only for peers that support `AuthEnvelopedData` (RFC 5083).
    Aes256Gcm,
}

impl Cipher {
    /// Length of the content key in bytes.
    pub(crate) fn key_length(self) -> usize {
        match self {
            Cipher::Aes128Cbc | Cipher::Aes128Gcm => 16,
            Cipher::Aes256Cbc | Cipher::Aes256Gcm => 32,
        }
    }
}
