//! Generation of identities: a private key and a self-signed certificate, which AS2 partners exchange.

use crate::As2Error;
use rcgen::{CertificateParams, DnType, KeyPair, RsaKeySize};

/// Key types of generated identities.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewKey {
    /// RSA with 2048 bits.
    Rsa2048,
    /// RSA with 3072 bits.
    Rsa3072,
    /// RSA with 4096 bits.
    Rsa4096,
    /// ECDSA on P-256: signs faster than RSA, but can't receive encrypted content.
    P256,
}

/// Generates a private key (PKCS#8) and a self-signed certificate with the common name `name`, and returns both as PEM
/// in this order. The certificate is valid from `from` to `to`, each given as year, month and day.
///
/// # Errors
///
/// If the cryptographic library can't generate the key or the certificate.
pub fn generate_identity(
    name: &str,
    key: NewKey,
    from: (i32, u8, u8),
    to: (i32, u8, u8),
) -> Result<(String, String), As2Error> {
    let failed = |error: rcgen::Error| As2Error::Key("new station", error.to_string());
    let key_pair = match key {
        NewKey::Rsa2048 => KeyPair::generate_rsa_for(&rcgen::PKCS_RSA_SHA256, RsaKeySize::_2048),
        NewKey::Rsa3072 => KeyPair::generate_rsa_for(&rcgen::PKCS_RSA_SHA256, RsaKeySize::_3072),
        NewKey::Rsa4096 => KeyPair::generate_rsa_for(&rcgen::PKCS_RSA_SHA256, RsaKeySize::_4096),
        NewKey::P256 => KeyPair::generate_for(&rcgen::PKCS_ECDSA_P256_SHA256),
    }
    .map_err(failed)?;
    let mut params = CertificateParams::new(Vec::new()).map_err(failed)?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.not_before = rcgen::date_time_ymd(from.0, from.1, from.2);
    params.not_after = rcgen::date_time_ymd(to.0, to.1, to.2);
    let certificate = params.self_signed(&key_pair).map_err(failed)?;
    Ok((key_pair.serialize_pem(), certificate.pem()))
}
