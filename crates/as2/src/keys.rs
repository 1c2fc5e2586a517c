//! Parsing of private keys and certificates, and checks that a key type supports its use.

use crate::As2Error;
use aws_lc_rs::rsa::{
    OaepPrivateDecryptingKey, Pkcs1PrivateDecryptingKey, PrivateDecryptingKey, PublicEncryptingKey,
};
use aws_lc_rs::signature::{EcdsaKeyPair, KeyPair, RsaKeyPair, ECDSA_P256_SHA256_ASN1_SIGNING};
use const_oid::db::rfc5912::{ID_EC_PUBLIC_KEY, RSA_ENCRYPTION, SECP_256_R_1};
use const_oid::ObjectIdentifier;
use der::{Decode, DecodePem, Encode};
use x509_cert::Certificate as X509;

/// Supported key types.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// RSA with 2048 bits or more, for signatures and key transport.
    Rsa,
    /// ECDSA on P-256, for signatures only.
    P256,
}

/// A certificate of a peer or of an own identity. It is trusted because the settings name it; neither its issuer nor
/// its validity period is checked here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Certificate {
    pub(crate) x509: X509,
    pub(crate) kind: KeyKind,
    /// The content of `subjectPublicKey`: a DER `RSAPublicKey`, or an elliptic curve point.
    pub(crate) public_key: Vec<u8>,
    /// The `SubjectPublicKeyInfo` in DER.
    spki: Vec<u8>,
}

fn key_error(what: &'static str) -> impl Fn(der::Error) -> As2Error {
    move |error| As2Error::Key(what, error.to_string())
}

impl Certificate {
    /// Parses a PEM certificate with an RSA key of 2048 bits or more, or an ECDSA key on P-256.
    ///
    /// # Errors
    ///
    /// If it is malformed or its key is not supported.
    pub fn from_pem(pem: &str) -> Result<Certificate, As2Error> {
        let x509 = X509::from_pem(pem.trim().as_bytes()).map_err(key_error("certificate"))?;
        Self::from_x509(x509)
    }

    /// Parses a DER certificate under the same conditions as [`Certificate::from_pem`].
    ///
    /// # Errors
    ///
    /// If it is malformed or its key is not supported.
    pub fn from_der(der: &[u8]) -> Result<Certificate, As2Error> {
        Self::from_x509(X509::from_der(der).map_err(key_error("certificate"))?)
    }

    fn from_x509(x509: X509) -> Result<Certificate, As2Error> {
        let info = &x509.tbs_certificate.subject_public_key_info;
        let unsupported = |what: String| As2Error::Key("certificate", what);
        let kind = match info.algorithm.oid {
            RSA_ENCRYPTION => KeyKind::Rsa,
            ID_EC_PUBLIC_KEY => {
                let curve = info
                    .algorithm
                    .parameters
                    .as_ref()
                    .and_then(|any| any.decode_as::<ObjectIdentifier>().ok());
                match curve {
                    Some(SECP_256_R_1) => KeyKind::P256,
                    other => return Err(unsupported(format!("curve {other:?} is not supported; P-256 is"))),
                }
            }
            other => {
                return Err(unsupported(format!("key type {other} is not supported; RSA and P-256 are")))
            }
        };
        let public_key = info.subject_public_key.as_bytes().unwrap_or_default().to_vec();
        let spki = info.to_der().map_err(key_error("certificate"))?;
        if kind == KeyKind::Rsa {
            let key = PublicEncryptingKey::from_der(&spki).map_err(|e| unsupported(e.to_string()))?;
            if key.key_size_bits() < 2048 {
                return Err(unsupported(format!(
                    "RSA key of {} bits; 2048 at least are needed",
                    key.key_size_bits()
                )));
            }
        }
        Ok(Certificate { x509, kind, public_key, spki })
    }

    /// Whether content can be encrypted for this certificate, which needs an RSA key.
    pub fn can_receive_encrypted(&self) -> bool {
        self.kind == KeyKind::Rsa
    }

    /// The subject's distinguished name as text (RFC 4514).
    pub fn subject(&self) -> String {
        self.x509.tbs_certificate.subject.to_string()
    }

    /// Start and end of the validity period, in seconds since the Unix epoch.
    pub fn validity(&self) -> (u64, u64) {
        let validity = &self.x509.tbs_certificate.validity;
        (validity.not_before.to_unix_duration().as_secs(), validity.not_after.to_unix_duration().as_secs())
    }

    /// The public key to encrypt content keys with; an error unless it is RSA.
    pub(crate) fn encrypting_key(&self) -> Result<PublicEncryptingKey, As2Error> {
        match self.kind {
            KeyKind::Rsa => PublicEncryptingKey::from_der(&self.spki)
                .map_err(|error| As2Error::Key("certificate", error.to_string())),
            KeyKind::P256 => Err(As2Error::Algorithm("encryption for a certificate of type", "P-256".into())),
        }
    }

    /// Whether a recipient identifier (issuer and serial number) refers to this certificate.
    pub(crate) fn matches(&self, rid: &cms::cert::IssuerAndSerialNumber) -> bool {
        let own = &self.x509.tbs_certificate;
        own.serial_number == rid.serial_number && own.issuer == rid.issuer
    }

    /// The identifier of this certificate in CMS structures.
    pub(crate) fn issuer_and_serial(&self) -> cms::cert::IssuerAndSerialNumber {
        let own = &self.x509.tbs_certificate;
        cms::cert::IssuerAndSerialNumber {
            issuer: own.issuer.clone(),
            serial_number: own.serial_number.clone(),
        }
    }
}

pub(crate) enum PrivateKey {
    Rsa { sign: RsaKeyPair, pkcs1: Pkcs1PrivateDecryptingKey, oaep: OaepPrivateDecryptingKey },
    P256(EcdsaKeyPair),
}

/// An AS2 identity that signs and decrypts: name, certificate and private key.
pub struct Identity {
    /// AS2 name, without quotes.
    pub name: String,
    /// Certificate of the private key; peers hold a copy to verify signatures and to encrypt.
    pub certificate: Certificate,
    pub(crate) key: PrivateKey,
}

impl std::fmt::Debug for Identity {
    /// Omits the private key, so that it does not reach logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Identity").field("name", &self.name).finish_non_exhaustive()
    }
}

impl Identity {
    /// Parses a private key (PKCS#8 in PEM) and the certificate that belongs to it.
    ///
    /// # Errors
    ///
    /// If either is malformed or not supported, or the key does not belong to the certificate.
    pub fn from_pem(name: &str, key_pem: &str, certificate_pem: &str) -> Result<Identity, As2Error> {
        let certificate = Certificate::from_pem(certificate_pem)?;
        let (label, pkcs8) = der::pem::decode_vec(key_pem.trim().as_bytes())
            .map_err(|error| As2Error::Key("private key", error.to_string()))?;
        if label != "PRIVATE KEY" {
            let problem = format!("PEM label '{label}'; 'PRIVATE KEY' (PKCS#8, not encrypted) is needed");
            return Err(As2Error::Key("private key", problem));
        }
        let rejected = |error: aws_lc_rs::error::KeyRejected| As2Error::Key("private key", error.to_string());
        let unusable = |_| As2Error::Key("private key", "can't be used for decryption".into());
        let (key, public) = match certificate.kind {
            KeyKind::Rsa => {
                let sign = RsaKeyPair::from_pkcs8(&pkcs8).map_err(rejected)?;
                let decrypting = || PrivateDecryptingKey::from_pkcs8(&pkcs8).map_err(rejected);
                let public = sign.public_key().as_ref().to_vec();
                let pkcs1 = Pkcs1PrivateDecryptingKey::new(decrypting()?).map_err(unusable)?;
                let oaep = OaepPrivateDecryptingKey::new(decrypting()?).map_err(unusable)?;
                (PrivateKey::Rsa { sign, pkcs1, oaep }, public)
            }
            KeyKind::P256 => {
                let pair =
                    EcdsaKeyPair::from_pkcs8(&ECDSA_P256_SHA256_ASN1_SIGNING, &pkcs8).map_err(rejected)?;
                let public = pair.public_key().as_ref().to_vec();
                (PrivateKey::P256(pair), public)
            }
        };
        if public != certificate.public_key {
            return Err(As2Error::Key("private key", "does not belong to the certificate".into()));
        }
        Ok(Identity { name: name.to_owned(), certificate, key })
    }
}
