//! Signed, encrypted and compressed content in the cryptographic message syntax (CMS; RFC 5652, RFC 5083, RFC 3274).

use crate::algorithm::{Cipher, Digest};
use crate::ber::to_der;
use crate::keys::{KeyKind, PrivateKey};
use crate::mime::LIMITS;
use crate::{As2Error, Certificate, Identity};
use aws_lc_rs::aead::{Aad, LessSafeKey, Nonce, UnboundKey, AES_128_GCM, AES_256_GCM};
use aws_lc_rs::cipher::{
    DecryptionContext, PaddedBlockDecryptingKey, PaddedBlockEncryptingKey, UnboundCipherKey, AES_128,
    AES_192, AES_256,
};
use aws_lc_rs::iv::FixedLength;
use aws_lc_rs::rsa::{OaepAlgorithm, Pkcs1PublicEncryptingKey, OAEP_SHA1_MGF1SHA1, OAEP_SHA256_MGF1SHA256};
use aws_lc_rs::signature::{self, UnparsedPublicKey, VerificationAlgorithm};
use cms::compressed_data::CompressedData;
use cms::content_info::{CmsVersion, ContentInfo};
use cms::enveloped_data::{
    EncryptedContentInfo, EnvelopedData, KeyTransRecipientInfo, RecipientIdentifier, RecipientInfo,
    RecipientInfos,
};
use cms::signed_data::{EncapsulatedContentInfo, SignedData, SignerIdentifier, SignerInfo, SignerInfos};
use const_oid::db::{rfc5911, rfc5912, rfc6268};
use const_oid::ObjectIdentifier;
use der::asn1::{Any, Null, OctetString, SetOfVec};
use der::{Decode, Encode};
use spki::AlgorithmIdentifierOwned;
use std::io::{Read, Write};
use x509_cert::attr::Attribute;

const ID_RSAES_OAEP: ObjectIdentifier = ObjectIdentifier::new_unwrap("1.2.840.113549.1.1.7");
const ID_RSASSA_PSS: ObjectIdentifier = ObjectIdentifier::new_unwrap("1.2.840.113549.1.1.10");
const ID_ZLIB_COMPRESS: ObjectIdentifier = ObjectIdentifier::new_unwrap("1.2.840.113549.1.9.16.3.8");
const ID_COMPRESSED_DATA: ObjectIdentifier = ObjectIdentifier::new_unwrap("1.2.840.113549.1.9.16.1.9");
const ID_AUTH_ENVELOPED_DATA: ObjectIdentifier = rfc6268::ID_CT_AUTH_ENVELOPED_DATA;

/// The protection that a CMS structure applies to its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentKind {
    /// `SignedData` that contains the signed content.
    Signed,
    /// `EnvelopedData` or `AuthEnvelopedData`.
    Encrypted,
    /// `CompressedData`.
    Compressed,
}

fn cms_error(what: &'static str) -> impl Fn(der::Error) -> As2Error {
    move |error| As2Error::Cms(what, error.to_string())
}

fn algorithm(oid: ObjectIdentifier, parameters: Option<Any>) -> AlgorithmIdentifierOwned {
    AlgorithmIdentifierOwned { oid, parameters }
}

/// Encodes a `ContentInfo` in DER.
fn encode_content_info(content_type: ObjectIdentifier, content: &impl Encode) -> Result<Vec<u8>, As2Error> {
    let content = content.to_der().and_then(|der| Any::from_der(&der)).map_err(cms_error("structure"))?;
    ContentInfo { content_type, content }.to_der().map_err(cms_error("structure"))
}

/// Decodes a `ContentInfo` in BER or DER; returns its content type and its content in DER.
fn decode_content_info(bytes: &[u8]) -> Result<(ObjectIdentifier, Vec<u8>), As2Error> {
    let der = to_der(bytes)?;
    let info = ContentInfo::from_der(&der).map_err(cms_error("content"))?;
    Ok((info.content_type, info.content.to_der().map_err(cms_error("content"))?))
}

/// Determines the kind of a CMS structure by its own content type, since the `smime-type` of the MIME header is often
/// wrong.
pub fn content_kind(bytes: &[u8]) -> Result<ContentKind, As2Error> {
    match decode_content_info(bytes)?.0 {
        rfc5911::ID_SIGNED_DATA => Ok(ContentKind::Signed),
        rfc5911::ID_ENVELOPED_DATA | ID_AUTH_ENVELOPED_DATA => Ok(ContentKind::Encrypted),
        ID_COMPRESSED_DATA => Ok(ContentKind::Compressed),
        other => Err(As2Error::Algorithm("CMS content type", other.to_string())),
    }
}

// ---- Signatures ----

fn digest_from_oid(oid: ObjectIdentifier) -> Result<Digest, As2Error> {
    match oid {
        rfc5912::ID_SHA_1 => Ok(Digest::Sha1),
        rfc5912::ID_SHA_256 => Ok(Digest::Sha256),
        rfc5912::ID_SHA_384 => Ok(Digest::Sha384),
        rfc5912::ID_SHA_512 => Ok(Digest::Sha512),
        other => Err(As2Error::Algorithm("digest", other.to_string())),
    }
}

fn digest_oid(digest: Digest) -> ObjectIdentifier {
    match digest {
        Digest::Sha1 => rfc5912::ID_SHA_1,
        Digest::Sha256 => rfc5912::ID_SHA_256,
        Digest::Sha384 => rfc5912::ID_SHA_384,
        Digest::Sha512 => rfc5912::ID_SHA_512,
    }
}

fn attribute(oid: ObjectIdentifier, value: &impl Encode) -> Result<Attribute, der::Error> {
    let mut values = SetOfVec::new();
    values.insert(Any::from_der(&value.to_der()?)?)?;
    Ok(Attribute { oid, values })
}

/// Returns a detached signature (`SignedData` without content) over `content`, with the certificate of the signer.
pub fn sign(content: &[u8], signer: &Identity, digest: Digest) -> Result<Vec<u8>, As2Error> {
    let der_error = cms_error("signature");
    let digest_alg = algorithm(digest_oid(digest), None);
    let hash = OctetString::new(digest.of(content)).map_err(&der_error)?;
    let mut attributes = SetOfVec::new();
    let content_type = attribute(rfc5911::ID_CONTENT_TYPE, &rfc5911::ID_DATA).map_err(&der_error)?;
    attributes.insert(content_type).map_err(&der_error)?;
    attributes
        .insert(attribute(rfc5911::ID_MESSAGE_DIGEST, &hash).map_err(&der_error)?)
        .map_err(&der_error)?;
    let signed = attributes.to_der().map_err(&der_error)?;
    let (value, signature_algorithm) = raw_signature(&signed, signer, digest)?;
    let mut digest_algorithms = SetOfVec::new();
    digest_algorithms.insert(digest_alg.clone()).map_err(&der_error)?;
    let mut signer_infos = SetOfVec::new();
    let signer_info = SignerInfo {
        version: CmsVersion::V1,
        sid: SignerIdentifier::IssuerAndSerialNumber(signer.certificate.issuer_and_serial()),
        digest_alg,
        signed_attrs: Some(attributes),
        signature_algorithm,
        signature: OctetString::new(value).map_err(&der_error)?,
        unsigned_attrs: None,
    };
    signer_infos.insert(signer_info).map_err(&der_error)?;
    let mut certificates = SetOfVec::new();
    let own = cms::cert::CertificateChoices::Certificate(signer.certificate.x509.clone());
    certificates.insert(own).map_err(&der_error)?;
    let data = SignedData {
        version: CmsVersion::V1,
        digest_algorithms,
        encap_content_info: EncapsulatedContentInfo { econtent_type: rfc5911::ID_DATA, econtent: None },
        certificates: Some(cms::signed_data::CertificateSet(certificates)),
        crls: None,
        signer_infos: SignerInfos(signer_infos),
    };
    encode_content_info(rfc5911::ID_SIGNED_DATA, &data)
}

/// Signs the signed attributes `signed`; returns the signature value and its algorithm.
fn raw_signature(
    signed: &[u8],
    signer: &Identity,
    digest: Digest,
) -> Result<(Vec<u8>, AlgorithmIdentifierOwned), As2Error> {
    let failed = |_| As2Error::Key("private key", "signing failed".into());
    let random = aws_lc_rs::rand::SystemRandom::new();
    match &signer.key {
        PrivateKey::Rsa { sign, .. } => {
            let padding: &dyn signature::RsaEncoding = match digest {
                Digest::Sha1 => return Err(As2Error::Algorithm("signing with", "sha-1".into())),
                Digest::Sha256 => &signature::RSA_PKCS1_SHA256,
                Digest::Sha384 => &signature::RSA_PKCS1_SHA384,
                Digest::Sha512 => &signature::RSA_PKCS1_SHA512,
            };
            let mut value = vec![0; sign.public_modulus_len()];
            sign.sign(padding, &random, signed, &mut value).map_err(failed)?;
            Ok((value, algorithm(rfc5912::RSA_ENCRYPTION, Some(Null.into()))))
        }
        PrivateKey::P256(pair) if digest == Digest::Sha256 => {
            let value = pair.sign(&random, signed).map_err(failed)?;
            Ok((value.as_ref().to_vec(), algorithm(rfc5912::ECDSA_WITH_SHA_256, None)))
        }
        PrivateKey::P256(_) => Err(As2Error::Algorithm("signing on P-256 with", digest.name().into())),
    }
}

/// Verifies a signature over the detached `content`, or over the content inside the structure if it is `None`. Returns
/// the digest algorithm and the signed content. Only `certificate` is trusted; certificates in the structure are
/// ignored.
pub fn verify(
    bytes: &[u8],
    content: Option<&[u8]>,
    certificate: &Certificate,
) -> Result<(Digest, Vec<u8>), As2Error> {
    let (content_type, der) = decode_content_info(bytes)?;
    if content_type != rfc5911::ID_SIGNED_DATA {
        return Err(As2Error::Cms("signature", format!("content type {content_type}")));
    }
    let data = SignedData::from_der(&der).map_err(cms_error("signature"))?;
    let signed_content = match (content, &data.encap_content_info.econtent) {
        (Some(detached), _) => detached.to_vec(),
        (None, Some(any)) => {
            any.decode_as::<OctetString>().map_err(cms_error("signed content"))?.into_bytes()
        }
        (None, None) => return Err(As2Error::Cms("signature", "no content inside".into())),
    };
    // With several signers, one signature that verifies with the sender's certificate is enough.
    let mut found = Err(As2Error::Signature);
    for signer in data.signer_infos.0.iter() {
        found = verify_signer(signer, &signed_content, certificate);
        if found.is_ok() {
            break;
        }
    }
    found.map(|digest| (digest, signed_content))
}

/// Verifies the signature of one signer; returns its digest algorithm.
fn verify_signer(signer: &SignerInfo, content: &[u8], certificate: &Certificate) -> Result<Digest, As2Error> {
    let digest = digest_from_oid(signer.digest_alg.oid)?;
    let signed = match &signer.signed_attrs {
        None => content.to_vec(),
        Some(attributes) => {
            let signed_digest = attributes.iter().find(|a| a.oid == rfc5911::ID_MESSAGE_DIGEST);
            let signed_digest = signed_digest.and_then(|a| a.values.iter().next()).ok_or(As2Error::Digest)?;
            let signed_digest =
                signed_digest.decode_as::<OctetString>().map_err(cms_error("signed digest"))?;
            if signed_digest.as_bytes() != digest.of(content) {
                return Err(As2Error::Digest);
            }
            attributes.to_der().map_err(cms_error("signed attributes"))?
        }
    };
    let scheme: &'static dyn VerificationAlgorithm =
        match (certificate.kind, digest, signer.signature_algorithm.oid) {
            (KeyKind::Rsa, Digest::Sha256, ID_RSASSA_PSS) => &signature::RSA_PSS_2048_8192_SHA256,
            (KeyKind::Rsa, Digest::Sha384, ID_RSASSA_PSS) => &signature::RSA_PSS_2048_8192_SHA384,
            (KeyKind::Rsa, Digest::Sha512, ID_RSASSA_PSS) => &signature::RSA_PSS_2048_8192_SHA512,
            (KeyKind::Rsa, Digest::Sha1, _) => &signature::RSA_PKCS1_2048_8192_SHA1_FOR_LEGACY_USE_ONLY,
            (KeyKind::Rsa, Digest::Sha256, _) => &signature::RSA_PKCS1_2048_8192_SHA256,
            (KeyKind::Rsa, Digest::Sha384, _) => &signature::RSA_PKCS1_2048_8192_SHA384,
            (KeyKind::Rsa, Digest::Sha512, _) => &signature::RSA_PKCS1_2048_8192_SHA512,
            (KeyKind::P256, Digest::Sha256, _) => &signature::ECDSA_P256_SHA256_ASN1,
            (KeyKind::P256, other, _) => return Err(As2Error::Algorithm("P-256 with", other.name().into())),
        };
    UnparsedPublicKey::new(scheme, &certificate.public_key)
        .verify(&signed, signer.signature.as_bytes())
        .map_err(|_| As2Error::Signature)?;
    Ok(digest)
}

// ---- Encryption ----

/// Parameters of AES-GCM (`GCMParameters`, RFC 5084, section 3.2).
#[derive(der::Sequence)]
struct GcmParameters {
    nonce: OctetString,
    #[asn1(default = "default_tag_length")]
    tag_length: u8,
}

/// Bytes of the authentication tag if the parameters omit its length (RFC 5084, section 3.2).
fn default_tag_length() -> u8 {
    12
}

/// `AuthEnvelopedData` (RFC 5083, section 2.1).
#[derive(der::Sequence)]
struct AuthEnvelopedData {
    version: CmsVersion,
    #[asn1(context_specific = "0", tag_mode = "IMPLICIT", optional = "true", constructed = "true")]
    originator: Option<cms::enveloped_data::OriginatorInfo>,
    recipients: RecipientInfos,
    content: EncryptedContentInfo,
    #[asn1(context_specific = "1", tag_mode = "IMPLICIT", optional = "true", constructed = "true")]
    attributes: Option<x509_cert::attr::Attributes>,
    mac: OctetString,
    #[asn1(context_specific = "2", tag_mode = "IMPLICIT", optional = "true", constructed = "true")]
    other_attributes: Option<x509_cert::attr::Attributes>,
}

/// Bytes of a GCM authentication tag; the cryptographic library supports no other length.
const GCM_TAG_BYTES: usize = 16;
/// Bytes of a GCM nonce.
const GCM_NONCE_BYTES: usize = 12;

/// Converts the error of the cryptographic library, which carries no detail, when encrypting as well as decrypting.
fn decrypt_error(_: aws_lc_rs::error::Unspecified) -> As2Error {
    As2Error::Decrypt
}

/// Encrypts content with a new random key for the holder of the certificate `to`, which must have an RSA key.
pub fn encrypt(content: &[u8], to: &Certificate, cipher: Cipher) -> Result<Vec<u8>, As2Error> {
    let mut key = [0; 32];
    let key = &mut key[..cipher.key_length()];
    aws_lc_rs::rand::fill(key).map_err(decrypt_error)?;
    let recipients = recipient_infos(key, to)?;
    match cipher {
        Cipher::Aes128Cbc => encrypt_cbc(content, key, recipients, &AES_128, rfc5911::ID_AES_128_CBC),
        Cipher::Aes256Cbc => encrypt_cbc(content, key, recipients, &AES_256, rfc5911::ID_AES_256_CBC),
        Cipher::Aes128Gcm => encrypt_gcm(content, key, recipients, &AES_128_GCM, rfc5911::ID_AES_128_GCM),
        Cipher::Aes256Gcm => encrypt_gcm(content, key, recipients, &AES_256_GCM, rfc5911::ID_AES_256_GCM),
    }
}

/// Encrypts the content key with RSA (PKCS #1 v1.5) for the holder of the certificate `to`.
fn recipient_infos(key: &[u8], to: &Certificate) -> Result<RecipientInfos, As2Error> {
    let transport = Pkcs1PublicEncryptingKey::new(to.encrypting_key()?).map_err(decrypt_error)?;
    let mut wrapped = vec![0; transport.ciphertext_size()];
    let wrapped = transport.encrypt(key, &mut wrapped).map_err(decrypt_error)?;
    let recipient = KeyTransRecipientInfo {
        version: CmsVersion::V0,
        rid: RecipientIdentifier::IssuerAndSerialNumber(to.issuer_and_serial()),
        key_enc_alg: algorithm(rfc5912::RSA_ENCRYPTION, Some(Null.into())),
        enc_key: OctetString::new(&*wrapped).map_err(cms_error("encryption"))?,
    };
    let mut recipients = SetOfVec::new();
    recipients.insert(RecipientInfo::Ktri(recipient)).map_err(cms_error("encryption"))?;
    Ok(RecipientInfos(recipients))
}

fn encrypted_content(
    oid: ObjectIdentifier,
    parameters: Any,
    ciphertext: &[u8],
) -> Result<EncryptedContentInfo, As2Error> {
    Ok(EncryptedContentInfo {
        content_type: rfc5911::ID_DATA,
        content_enc_alg: algorithm(oid, Some(parameters)),
        encrypted_content: Some(OctetString::new(ciphertext).map_err(cms_error("encryption"))?),
    })
}

/// Encrypts content as `EnvelopedData` with AES in CBC mode (RFC 5652, section 6).
fn encrypt_cbc(
    content: &[u8],
    key: &[u8],
    recip_infos: RecipientInfos,
    suite: &'static aws_lc_rs::cipher::Algorithm,
    oid: ObjectIdentifier,
) -> Result<Vec<u8>, As2Error> {
    let mut body = content.to_vec();
    let key = UnboundCipherKey::new(suite, key).map_err(decrypt_error)?;
    let key = PaddedBlockEncryptingKey::cbc_pkcs7(key).map_err(decrypt_error)?;
    let context = key.encrypt(&mut body).map_err(decrypt_error)?;
    let iv: &[u8] = (&context).try_into().map_err(decrypt_error)?;
    let iv = OctetString::new(iv).and_then(|iv| Any::encode_from(&iv)).map_err(cms_error("encryption"))?;
    let data = EnvelopedData {
        version: CmsVersion::V0,
        originator_info: None,
        recip_infos,
        encrypted_content: encrypted_content(oid, iv, &body)?,
        unprotected_attrs: None,
    };
    encode_content_info(rfc5911::ID_ENVELOPED_DATA, &data)
}

/// Encrypts content as `AuthEnvelopedData` with AES in GCM mode (RFC 5083, RFC 5084).
fn encrypt_gcm(
    content: &[u8],
    key: &[u8],
    recipients: RecipientInfos,
    suite: &'static aws_lc_rs::aead::Algorithm,
    oid: ObjectIdentifier,
) -> Result<Vec<u8>, As2Error> {
    let der_error = cms_error("encryption");
    let mut body = content.to_vec();
    let mut nonce = [0; GCM_NONCE_BYTES];
    aws_lc_rs::rand::fill(&mut nonce).map_err(decrypt_error)?;
    let key = LessSafeKey::new(UnboundKey::new(suite, key).map_err(decrypt_error)?);
    let tag = key
        .seal_in_place_separate_tag(Nonce::assume_unique_for_key(nonce), Aad::empty(), &mut body)
        .map_err(decrypt_error)?;
    let nonce = OctetString::new(nonce).map_err(&der_error)?;
    let parameters =
        Any::encode_from(&GcmParameters { nonce, tag_length: GCM_TAG_BYTES as u8 }).map_err(&der_error)?;
    let data = AuthEnvelopedData {
        version: CmsVersion::V0,
        originator: None,
        recipients,
        content: encrypted_content(oid, parameters, &body)?,
        attributes: None,
        mac: OctetString::new(tag.as_ref()).map_err(&der_error)?,
        other_attributes: None,
    };
    encode_content_info(ID_AUTH_ENVELOPED_DATA, &data)
}

/// Decrypts content that was encrypted for `identity`, in CBC or GCM mode.
pub fn decrypt(bytes: &[u8], identity: &Identity) -> Result<Vec<u8>, As2Error> {
    let (content_type, der) = decode_content_info(bytes)?;
    if content_type == ID_AUTH_ENVELOPED_DATA {
        let data = AuthEnvelopedData::from_der(&der).map_err(cms_error("encryption"))?;
        return decrypt_gcm(&data, identity);
    }
    let data = EnvelopedData::from_der(&der).map_err(cms_error("encryption"))?;
    let content = data.encrypted_content;
    let (suite, length) = match content.content_enc_alg.oid {
        rfc5911::ID_AES_128_CBC => (&AES_128, 16),
        rfc5911::ID_AES_192_CBC => (&AES_192, 24),
        rfc5911::ID_AES_256_CBC => (&AES_256, 32),
        other => return Err(As2Error::Algorithm("content encryption", other.to_string())),
    };
    let key = content_key(&data.recip_infos, identity, length)?;
    let iv = content.content_enc_alg.parameters.and_then(|any| any.decode_as::<OctetString>().ok());
    let iv: [u8; 16] = iv.and_then(|iv| iv.as_bytes().try_into().ok()).ok_or(As2Error::Decrypt)?;
    let mut body = content.encrypted_content.ok_or(As2Error::Decrypt)?.into_bytes();
    let key = UnboundCipherKey::new(suite, &key).map_err(decrypt_error)?;
    let key = PaddedBlockDecryptingKey::cbc_pkcs7(key).map_err(decrypt_error)?;
    let context = DecryptionContext::Iv128(FixedLength::from(iv));
    let length = key.decrypt(&mut body, context).map_err(decrypt_error)?.len();
    body.truncate(length);
    Ok(body)
}

fn decrypt_gcm(data: &AuthEnvelopedData, identity: &Identity) -> Result<Vec<u8>, As2Error> {
    let (suite, length) = match data.content.content_enc_alg.oid {
        rfc5911::ID_AES_128_GCM => (&AES_128_GCM, 16),
        rfc5911::ID_AES_256_GCM => (&AES_256_GCM, 32),
        other => return Err(As2Error::Algorithm("content encryption", other.to_string())),
    };
    let key = content_key(&data.recipients, identity, length)?;
    let parameters = data.content.content_enc_alg.parameters.as_ref();
    let parameters =
        parameters.and_then(|any| any.decode_as::<GcmParameters>().ok()).ok_or(As2Error::Decrypt)?;
    if usize::from(parameters.tag_length) != GCM_TAG_BYTES {
        return Err(As2Error::Algorithm("tag length", parameters.tag_length.to_string()));
    }
    let nonce = Nonce::try_assume_unique_for_key(parameters.nonce.as_bytes()).map_err(decrypt_error)?;
    let attributes = match &data.attributes {
        Some(attributes) => attributes.to_der().map_err(cms_error("attributes"))?,
        None => Vec::new(),
    };
    let mut body = data.content.encrypted_content.as_ref().ok_or(As2Error::Decrypt)?.as_bytes().to_vec();
    body.extend_from_slice(data.mac.as_bytes());
    let key = LessSafeKey::new(UnboundKey::new(suite, &key).map_err(decrypt_error)?);
    let length = key.open_in_place(nonce, Aad::from(attributes), &mut body).map_err(decrypt_error)?.len();
    body.truncate(length);
    Ok(body)
}

/// Decrypts the content key in the recipient entry of `identity`. If RSA decryption fails or yields a key of the wrong
/// length, it returns a random key instead (RFC 3218, section 2.3.2): the content then fails to decrypt with the same
/// error as for any wrong key, so responses can't serve as a decryption oracle.
fn content_key(recipients: &RecipientInfos, identity: &Identity, length: usize) -> Result<Vec<u8>, As2Error> {
    let PrivateKey::Rsa { pkcs1, oaep, .. } = &identity.key else { return Err(As2Error::Decrypt) };
    let own_entry = recipients.0.iter().find_map(|recipient| match recipient {
        RecipientInfo::Ktri(entry) => match &entry.rid {
            RecipientIdentifier::IssuerAndSerialNumber(rid) if identity.certificate.matches(rid) => {
                Some(entry)
            }
            RecipientIdentifier::SubjectKeyIdentifier(_) => Some(entry),
            RecipientIdentifier::IssuerAndSerialNumber(_) => None,
        },
        _ => None,
    });
    let entry = own_entry.ok_or(As2Error::Decrypt)?;
    let mut key = vec![0; length];
    aws_lc_rs::rand::fill(&mut key).map_err(decrypt_error)?;
    let mut plain = vec![0; pkcs1.key_size_bytes()];
    let decrypted = match entry.key_enc_alg.oid {
        rfc5912::RSA_ENCRYPTION => pkcs1.decrypt(entry.enc_key.as_bytes(), &mut plain),
        ID_RSAES_OAEP => {
            oaep.decrypt(oaep_scheme(&entry.key_enc_alg)?, entry.enc_key.as_bytes(), &mut plain, None)
        }
        other => return Err(As2Error::Algorithm("key transport", other.to_string())),
    };
    if let Ok(decrypted) = decrypted {
        if decrypted.len() == length {
            key.copy_from_slice(decrypted);
        }
    }
    Ok(key)
}

/// Selects the digests of RSAES-OAEP (RFC 4055, section 4.1): SHA-1 if the parameters name none. All other parameters
/// are taken to mean SHA-256.
fn oaep_scheme(algorithm: &AlgorithmIdentifierOwned) -> Result<&'static OaepAlgorithm, As2Error> {
    let parameters = algorithm.parameters.as_ref().and_then(|any| any.to_der().ok()).unwrap_or_default();
    match parameters.as_slice() {
        [] | [0x30, 0x00] => Ok(&OAEP_SHA1_MGF1SHA1),
        _ => Ok(&OAEP_SHA256_MGF1SHA256),
    }
}

// ---- Compression ----

/// Compresses content with zlib into `CompressedData` (RFC 3274).
pub fn compress(content: &[u8]) -> Result<Vec<u8>, As2Error> {
    let failed = |error: std::io::Error| As2Error::Cms("compression", error.to_string());
    let mut encoder = flate2::write::ZlibEncoder::new(Vec::new(), flate2::Compression::default());
    encoder.write_all(content).map_err(failed)?;
    let compressed = OctetString::new(encoder.finish().map_err(failed)?).map_err(cms_error("compression"))?;
    let data = CompressedData {
        version: CmsVersion::V0,
        compression_alg: algorithm(ID_ZLIB_COMPRESS, None),
        encap_content_info: EncapsulatedContentInfo {
            econtent_type: rfc5911::ID_DATA,
            econtent: Some(Any::encode_from(&compressed).map_err(cms_error("compression"))?),
        },
    };
    encode_content_info(ID_COMPRESSED_DATA, &data)
}

/// Decompresses `CompressedData` up to `LIMITS.decompressed_bytes`, because a few kilobytes can decompress to
/// gigabytes.
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, As2Error> {
    let (_, der) = decode_content_info(bytes)?;
    let data = CompressedData::from_der(&der).map_err(cms_error("compression"))?;
    let compressed = data.encap_content_info.econtent.ok_or(As2Error::Mime("compressed without content"))?;
    let compressed = compressed.decode_as::<OctetString>().map_err(cms_error("compression"))?;
    let mut content = Vec::new();
    flate2::read::ZlibDecoder::new(compressed.as_bytes())
        .take(LIMITS.decompressed_bytes as u64 + 1)
        .read_to_end(&mut content)
        .map_err(|error| As2Error::Cms("compression", error.to_string()))?;
    match content.len() > LIMITS.decompressed_bytes {
        true => Err(As2Error::LimitExceeded("unpacked bytes", LIMITS.decompressed_bytes)),
        false => Ok(content),
    }
}
