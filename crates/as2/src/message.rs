//! AS2 messages: composing, opening, and the HTTP header fields they use (RFC 4130, sections 2 to 6).

use crate::mime::{canonicalize_line_endings, ContentType, Part, LIMITS};
use crate::mime::{
    decode_base64, encode_base64, encode_base64_lines, split_multipart, split_outside_quotes, unquote,
};
use crate::secure::{self, ContentKind};
use crate::{As2Error, Certificate, Cipher, Digest, Identity};
use cloverstile_http::Headers;

/// A message integrity check (RFC 4130, section 7.3.1), which shows the sender which bytes arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mic {
    /// Digest of the bytes that the RFC specifies for the protection of the message.
    pub value: Vec<u8>,
    /// Algorithm of the digest.
    pub digest: Digest,
}

impl Mic {
    /// The value for `Received-Content-MIC`.
    pub fn to_header_value(&self) -> String {
        format!("{}, {}", encode_base64(&self.value), self.digest.name())
    }

    /// Parses a `Received-Content-MIC` value; `None` if it is malformed or its digest algorithm is unknown.
    pub fn parse(text: &str) -> Option<Mic> {
        let (value, digest) = text.rsplit_once(',')?;
        Some(Mic { value: decode_base64(value.as_bytes()).ok()?, digest: Digest::parse(digest)? })
    }
}

/// The receipt that a sender requests (RFC 4130, section 7.3).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceiptRequest {
    /// URL for an asynchronous receipt; `None` requests it in the HTTP response.
    pub deliver_to: Option<String>,
    /// Digests for the signature and the integrity check, in order of preference; empty requests an unsigned receipt.
    pub signed: Vec<Digest>,
}

/// Protection of a message and the receipt that it requests.
#[derive(Clone, Debug)]
pub struct Security {
    /// Digest of the signature; `None` leaves the message unsigned.
    pub sign: Option<Digest>,
    /// Content cipher; `None` leaves the message unencrypted.
    pub encrypt: Option<Cipher>,
    /// Whether to compress, before signing and encrypting (RFC 5402).
    pub compress: bool,
    /// The requested receipt; `None` requests none.
    pub receipt: Option<ReceiptRequest>,
}

impl Default for Security {
    /// Signed with SHA-256 and encrypted with AES-128 in CBC mode; requests a signed receipt in the HTTP response.
    fn default() -> Self {
        Security {
            sign: Some(Digest::Sha256),
            encrypt: Some(Cipher::Aes128Cbc),
            compress: false,
            receipt: Some(ReceiptRequest { deliver_to: None, signed: vec![Digest::Sha256] }),
        }
    }
}

/// The recipient of a message.
#[derive(Clone, Copy, Debug)]
pub struct Recipient<'a> {
    /// AS2 name, without quotes.
    pub name: &'a str,
    /// Certificate to encrypt for.
    pub certificate: &'a Certificate,
}

/// A message to compose.
#[derive(Clone, Debug)]
pub struct OutgoingMessage<'a> {
    /// `Message-ID` without angle brackets. It is the idempotency key, so all attempts must use the same one.
    pub message_id: &'a str,
    /// Payload: header fields, with `Content-Type` at least, and a body without transfer encoding.
    pub payload: &'a Part,
    /// Value of `Subject`, for human readers.
    pub subject: Option<&'a str>,
}

/// A message or receipt that is ready to be sent over HTTP.
#[derive(Clone, Debug)]
pub struct ComposedMessage {
    /// HTTP header fields, except those of the connection, such as `Host` and `Content-Length`.
    pub headers: Headers,
    /// HTTP body.
    pub body: Vec<u8>,
    /// Integrity check that the receipt of this message must return.
    pub mic: Mic,
}

/// Encodes a name for `AS2-From` and `AS2-To`, quoted where necessary (RFC 4130, section 6.2).
pub(crate) fn quote_name(name: &str) -> String {
    match name.chars().any(|c| matches!(c, ' ' | '"' | '\\')) {
        true => format!("\"{}\"", name.replace('\\', "\\\\").replace('"', "\\\"")),
        false => name.to_owned(),
    }
}

/// Decodes a name from `AS2-From` or `AS2-To`.
pub fn unquote_name(field: &str) -> String {
    unquote(field.trim())
}

/// Returns the AS2 name of the sender. It is not authenticated and serves to look up the sender's certificate.
///
/// # Errors
///
/// If `AS2-From` is missing.
pub fn sender(headers: &Headers) -> Result<String, As2Error> {
    headers.get("as2-from").map(unquote_name).ok_or(As2Error::Missing("AS2-From"))
}

/// Returns a multipart boundary that does not occur in `parts`. It is derived from their digest, so equal parts get an
/// equal boundary.
pub(crate) fn choose_boundary(parts: &[&[u8]]) -> String {
    let all = parts.concat();
    let mut counter = 0_u8;
    loop {
        let hash = Digest::Sha256.of(&[&all[..], &[counter]].concat());
        let hex: String = hash.iter().take(15).map(|b| format!("{b:02x}")).collect();
        let text = format!("=_{hex}");
        if !all.windows(text.len()).any(|window| window == text.as_bytes()) {
            return text;
        }
        counter = counter.wrapping_add(1);
    }
}

/// Signs content as `multipart/signed` (RFC 1847).
pub(crate) fn signed_part(content: &[u8], signer: &Identity, digest: Digest) -> Result<Part, As2Error> {
    let signature = encode_base64_lines(&secure::sign(content, signer, digest)?);
    let boundary = choose_boundary(&[content]);
    let mut body = Vec::with_capacity(content.len() + signature.len() + 512);
    body.extend_from_slice(format!("--{boundary}\r\n").as_bytes());
    body.extend_from_slice(content);
    body.extend_from_slice(format!("\r\n--{boundary}\r\n").as_bytes());
    body.extend_from_slice(
        b"Content-Type: application/pkcs7-signature; name=\"smime.p7s\"\r\n\
          Content-Transfer-Encoding: base64\r\n\
          Content-Disposition: attachment; filename=\"smime.p7s\"\r\n\r\n",
    );
    body.extend_from_slice(&signature);
    body.extend_from_slice(format!("--{boundary}--\r\n").as_bytes());
    let headers = Headers::new().with(
        "Content-Type",
        format!(
            "multipart/signed; protocol=\"application/pkcs7-signature\"; micalg={}; boundary=\"{boundary}\"",
            digest.name()
        ),
    );
    Ok(Part { headers, body })
}

/// A part that carries a CMS structure of the given `smime-type`.
fn cms_part(smime_type: &str, body: Vec<u8>) -> Part {
    let headers = Headers::new()
        .with("Content-Type", format!("application/pkcs7-mime; smime-type={smime_type}; name=\"smime.p7m\""))
        .with("Content-Transfer-Encoding", "binary")
        .with("Content-Disposition", "attachment; filename=\"smime.p7m\"");
    Part { headers, body }
}

/// Composes a message: compressed, then signed, then encrypted, each if `security` requests it.
///
/// # Errors
///
/// If a certificate or key does not support the requested protection.
pub fn compose(
    message: &OutgoingMessage,
    from: &Identity,
    to: Recipient,
    security: &Security,
) -> Result<ComposedMessage, As2Error> {
    // The integrity check uses the first digest of the receipt request; `open` applies the same rule.
    let requested = security.receipt.as_ref().and_then(|request| request.signed.first().copied());
    let digest = requested.or(security.sign).unwrap_or(Digest::Sha256);
    let mut part = message.payload.clone();
    if part.headers.get("content-transfer-encoding").is_none() {
        part.headers.add("Content-Transfer-Encoding", "binary");
    }
    // The integrity check covers the header fields of the payload only if the message is signed, encrypted or
    // compressed (RFC 4130, section 7.3.1).
    let unprotected = security.sign.is_none() && security.encrypt.is_none() && !security.compress;
    let mut covered = if unprotected { part.body.clone() } else { part.to_bytes() };
    if security.compress {
        part = cms_part("compressed-data", secure::compress(&part.to_bytes())?);
        // With a signature, the check covers the signed bytes, here the compressed part (RFC 5402, section 4).
        covered = if security.sign.is_some() { part.to_bytes() } else { covered };
    }
    if let Some(digest) = security.sign {
        part = signed_part(&part.to_bytes(), from, digest)?;
    }
    if let Some(cipher) = security.encrypt {
        part = cms_part("enveloped-data", secure::encrypt(&part.to_bytes(), to.certificate, cipher)?);
        if matches!(cipher, Cipher::Aes128Gcm | Cipher::Aes256Gcm) {
            part.headers = cms_part("authEnveloped-data", Vec::new()).headers;
        }
    }
    let mut headers = Headers::new()
        .with("AS2-Version", "1.2")
        .with("AS2-From", quote_name(&from.name))
        .with("AS2-To", quote_name(to.name))
        .with("Message-ID", format!("<{}>", message.message_id))
        .with("MIME-Version", "1.0");
    if let Some(subject) = message.subject {
        headers.add("Subject", subject);
    }
    if let Some(request) = &security.receipt {
        headers.add("Disposition-Notification-To", quote_name(&from.name));
        if !request.signed.is_empty() {
            let names: Vec<&str> = request.signed.iter().map(|d| d.name()).collect();
            let options = format!(
                "signed-receipt-protocol=required,pkcs7-signature;signed-receipt-micalg=required,{}",
                names.join(",")
            );
            headers.add("Disposition-Notification-Options", options);
        }
        if let Some(url) = &request.deliver_to {
            headers.add("Receipt-Delivery-Option", url.as_str());
        }
    }
    headers.extend(&part.headers);
    Ok(ComposedMessage { headers, body: part.body, mic: Mic { value: digest.of(&covered), digest } })
}

/// The AS2 header fields of a message. They are parsed without opening the content, so that a message that can't be
/// opened still gets a receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// AS2 name of the sender, without quotes; not authenticated.
    pub from: String,
    /// AS2 name of the recipient, without quotes.
    pub to: String,
    /// `Message-ID` without angle brackets.
    pub message_id: String,
    /// The requested receipt, if any.
    pub receipt: Option<ReceiptRequest>,
}

impl Envelope {
    /// Parses the header fields (RFC 4130, section 6).
    ///
    /// # Errors
    ///
    /// If one is missing, or `Message-ID` is empty or longer than 255 bytes.
    pub fn parse(headers: &Headers) -> Result<Envelope, As2Error> {
        let name = |field: &'static str| headers.get(field).map(unquote_name).ok_or(As2Error::Missing(field));
        let (from, to) = (name("AS2-From")?, name("AS2-To")?);
        let message_id = headers.get("message-id").ok_or(As2Error::Missing("Message-ID"))?;
        let message_id = message_id.trim().trim_start_matches('<').trim_end_matches('>').to_owned();
        if message_id.is_empty() || message_id.len() > 255 {
            return Err(As2Error::LimitExceeded("Message-ID length (1 at least)", 255));
        }
        Ok(Envelope { from, to, message_id, receipt: parse_receipt_request(headers) })
    }
}

fn parse_receipt_request(headers: &Headers) -> Option<ReceiptRequest> {
    headers.get("disposition-notification-to")?;
    let options = headers.get("disposition-notification-options").unwrap_or_default();
    let signed = split_outside_quotes(options, ';').iter().find_map(|option| {
        let (key, value) = option.split_once('=')?;
        let digests =
            || value.split(',').skip(1).filter_map(|name| Digest::parse(&unquote(name.trim()))).collect();
        key.trim().eq_ignore_ascii_case("signed-receipt-micalg").then(digests)
    });
    let deliver_to = headers.get("receipt-delivery-option").map(str::to_owned).filter(|url| !url.is_empty());
    Some(ReceiptRequest { deliver_to, signed: signed.unwrap_or_default() })
}

/// A decrypted, verified and decompressed message.
#[derive(Clone, Debug)]
pub struct OpenedMessage {
    /// Payload, with its transfer encoding decoded.
    pub payload: Part,
    /// Integrity check to return in the receipt.
    pub mic: Mic,
    /// Digest of the verified signature; `None` if the message was not signed.
    pub signed: Option<Digest>,
    /// Whether the message was encrypted.
    pub encrypted: bool,
    /// Whether the message was compressed.
    pub compressed: bool,
}

/// Opens a message: decrypts it with the key of `identity`, verifies it with the sender's certificate `from`, and
/// decompresses it. The caller must check that the protection was sufficient: an unprotected message is opened too.
///
/// # Errors
///
/// If it is malformed, can't be decrypted or verified, or is over one of the [`LIMITS`].
pub fn open(
    headers: &Headers,
    body: &[u8],
    identity: &Identity,
    from: &Certificate,
    receipt: Option<&ReceiptRequest>,
) -> Result<OpenedMessage, As2Error> {
    let mut part = Part { headers: content_fields(headers), body: body.to_vec() };
    let mut state = OpeningState { covered: None, signed: None, encrypted: false, compressed: false };
    for _ in 0..LIMITS.layers {
        match state.remove_layer(&part, identity, from) {
            Ok(Some(inner)) => part = inner,
            Ok(None) => return state.finish(&part, receipt),
            // Until a signature is verified, all failures after decryption must be indistinguishable. Otherwise
            // responses form a padding oracle that reveals the plain text to an attacker.
            Err(_) if state.encrypted && state.signed.is_none() && !state.is_signed_part(&part) => {
                return Err(As2Error::Decrypt)
            }
            Err(error) => return Err(error),
        }
    }
    Err(As2Error::LimitExceeded("wrappings in one another", LIMITS.layers))
}

/// The header fields that describe the content (`Content-*`), except `Content-Length`, which belongs to HTTP.
fn content_fields(headers: &Headers) -> Headers {
    let mut fields = Headers::new();
    for (name, value) in headers.iter().filter(|(name, _)| name.to_ascii_lowercase().starts_with("content-"))
    {
        if !name.eq_ignore_ascii_case("content-length") {
            fields.add(name, value);
        }
    }
    fields
}

/// Progress in removing the layers of a message, from the outermost inwards.
struct OpeningState {
    /// The bytes that the integrity check covers; `None` until a layer determines them.
    covered: Option<Vec<u8>>,
    signed: Option<Digest>,
    encrypted: bool,
    compressed: bool,
}

impl OpeningState {
    fn is_signed_part(&self, part: &Part) -> bool {
        part.content_type().media_type == "multipart/signed"
    }

    /// Removes the outermost layer of protection; `None` if the part has none.
    fn remove_layer(
        &mut self,
        part: &Part,
        identity: &Identity,
        from: &Certificate,
    ) -> Result<Option<Part>, As2Error> {
        let content_type = part.content_type();
        match content_type.media_type.as_str() {
            "multipart/signed" => self.remove_signature(part, &content_type, from).map(Some),
            "application/pkcs7-mime" | "application/x-pkcs7-mime" => {
                let bytes = part.decoded()?;
                let inner = match secure::content_kind(&bytes)? {
                    ContentKind::Signed => {
                        let (digest, inner) = secure::verify(&bytes, None, from)?;
                        self.record_signature(digest, &inner);
                        inner
                    }
                    ContentKind::Encrypted => {
                        let inner = secure::decrypt(&bytes, identity)?;
                        self.encrypted = true;
                        self.covered = self.covered.take().or_else(|| Some(inner.clone()));
                        inner
                    }
                    ContentKind::Compressed => {
                        let inner = secure::decompress(&bytes)?;
                        self.compressed = true;
                        // Without a signature, the integrity check covers the uncompressed bytes.
                        if self.signed.is_none() {
                            self.covered = Some(inner.clone());
                        }
                        inner
                    }
                };
                Part::parse(&inner).map(Some)
            }
            _ => Ok(None),
        }
    }

    /// Records the outermost signature, which determines the integrity check; signatures inside it are ignored.
    fn record_signature(&mut self, digest: Digest, content: &[u8]) {
        if self.signed.is_none() {
            self.signed = Some(digest);
            self.covered = Some(content.to_vec());
        }
    }

    fn remove_signature(
        &mut self,
        part: &Part,
        content_type: &ContentType,
        from: &Certificate,
    ) -> Result<Part, As2Error> {
        let boundary = content_type
            .parameter("boundary")
            .ok_or(As2Error::Mime("multipart/signed without a boundary"))?;
        let parts = split_multipart(&part.body, boundary)?;
        let [content, signature] = parts[..] else {
            return Err(As2Error::Mime("multipart/signed needs two parts"));
        };
        let signature = Part::parse(signature)?.decoded()?;
        // Some products sign CRLF line endings but send LF.
        let (digest, content) = match secure::verify(&signature, Some(content), from) {
            Err(As2Error::Digest) => {
                secure::verify(&signature, Some(&canonicalize_line_endings(content)), from)?
            }
            other => other?,
        };
        self.record_signature(digest, &content);
        Part::parse(&content)
    }

    fn finish(self, part: &Part, receipt: Option<&ReceiptRequest>) -> Result<OpenedMessage, As2Error> {
        let body = part.decoded()?;
        let requested = receipt.and_then(|request| request.signed.first().copied());
        let digest = requested.or(self.signed).unwrap_or(Digest::Sha256);
        let mic = Mic { value: digest.of(self.covered.as_deref().unwrap_or(&body)), digest };
        let mut headers = Headers::new();
        for (name, value) in part.headers.iter() {
            if !name.eq_ignore_ascii_case("content-transfer-encoding") {
                headers.add(name, value);
            }
        }
        Ok(OpenedMessage {
            payload: Part { headers, body },
            mic,
            signed: self.signed,
            encrypted: self.encrypted,
            compressed: self.compressed,
        })
    }
}
