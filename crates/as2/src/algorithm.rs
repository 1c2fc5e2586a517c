//! Digest algorithms and content ciphers that messages, receipts and CMS structures share.

/// Digest algorithms of signatures and integrity checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Digest {
    /// SHA-1: only to verify signatures and for integrity checks, and only where a peer's settings ask for it.
    Sha1,
    /// SHA-256, the default.
    Sha256,
    /// SHA-384.
    Sha384,
    /// SHA-512.
    Sha512,
}

impl Digest {
    /// Computes the digest of these bytes.
    pub fn of(self, bytes: &[u8]) -> Vec<u8> {
        let algorithm = match self {
            Digest::Sha1 => &aws_lc_rs::digest::SHA1_FOR_LEGACY_USE_ONLY,
            Digest::Sha256 => &aws_lc_rs::digest::SHA256,
            Digest::Sha384 => &aws_lc_rs::digest::SHA384,
            Digest::Sha512 => &aws_lc_rs::digest::SHA512,
        };
        aws_lc_rs::digest::digest(algorithm, bytes).as_ref().to_vec()
    }

    /// The name in `micalg` (RFC 5751, section 3.4.3.2).
    pub fn name(self) -> &'static str {
        match self {
            Digest::Sha1 => "sha-1",
            Digest::Sha256 => "sha-256",
            Digest::Sha384 => "sha-384",
            Digest::Sha512 => "sha-512",
        }
    }

    /// Parses a name in any spelling in use, such as `sha1`, `SHA-256` or `sha256`; none if unknown.
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

/// Ciphers of encrypted content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cipher {
    /// AES with 128 bits, CBC.
    Aes128Cbc,
    /// AES with 256 bits, CBC.
    Aes256Cbc,
    /// AES with 128 bits, GCM; for peers that name it.
    Aes128Gcm,
    /// AES with 256 bits, GCM; for peers that name it.
    Aes256Gcm,
}

impl Cipher {
    /// Length of a key in bytes.
    pub(crate) fn key_length(self) -> usize {
        match self {
            Cipher::Aes128Cbc | Cipher::Aes128Gcm => 16,
            Cipher::Aes256Cbc | Cipher::Aes256Gcm => 32,
        }
    }
}
