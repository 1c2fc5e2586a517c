//! AS2 messages: composing and opening them, and the HTTP header fields they use (RFC 4130, sections 2 to 6).

use crate::mime::{canonical_lines, ContentType, Part, LIMITS};
use crate::mime::{from_base64, split_multipart, split_outside_quotes, to_base64, to_base64_lines, unquote};
use crate::secure::{self, Wrapping};
use crate::{As2Error, Certificate, Cipher, Digest, Identity};
use cloverstile_http::Headers;

/// A message integrity check (RFC 4130, section 7.3.1).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mic {
    /// Digest of the bytes that the RFC names for this protection.
    pub value: Vec<u8>,
    /// The digest algorithm.
    pub digest: Digest,
}

impl Mic {
    /// The value of `Received-Content-MIC`.
    pub fn to_header_value(&self) -> String {
        format!("{}, {}", to_base64(&self.value), self.digest.name())
    }

    /// Parses a `Received-Content-MIC` value; none if malformed.
    pub fn parse(text: &str) -> Option<Mic> {
        let (value, digest) = text.rsplit_once(',')?;
        Some(Mic { value: from_base64(value.as_bytes()).ok()?, digest: Digest::parse(digest)? })
    }
}

/// The receipt that a sender requests (RFC 4130, section 7.3).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceiptRequest {
    /// URL for a deferred receipt; none for one in the HTTP response.
    pub deliver_to: Option<String>,
    /// Digests in order of preference; empty for an unsigned receipt.
    pub signed: Vec<Digest>,
}

/// Protection of a message.
#[derive(Clone, Debug)]
pub struct Security {
    /// Digest of the signature; none: not signed.
    pub sign: Option<Digest>,
    /// Content cipher; none: not encrypted.
    pub encrypt: Option<Cipher>,
    /// Compressed before the signature (RFC 5402).
    pub compress: bool,
    /// The requested receipt; none: no receipt.
    pub receipt: Option<ReceiptRequest>,
}

impl Default for Security {
    /// Signed with SHA-256, encrypted with AES-128 in CBC, a signed receipt in the response.
    fn default() -> Self {
        Security {
            sign: Some(Digest::Sha256),
            encrypt: Some(Cipher::Aes128Cbc),
            compress: false,
            receipt: Some(ReceiptRequest { deliver_to: None, signed: vec![Digest::Sha256] }),
        }
    }
}

/// The receiver of a message.
#[derive(Clone, Copy, Debug)]
pub struct Recipient<'a> {
    /// AS2 name, without quotes.
    pub name: &'a str,
    /// Its certificate.
    pub certificate: &'a Certificate,
}

/// A message to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingMessage<'a> {
    /// `Message-ID` without angle brackets. It is the idempotency key and the same in all attempts.
    pub message_id: &'a str,
    /// The payload: header fields (at least `Content-Type`) and bytes without transfer encoding.
    pub payload: &'a Part,
    /// `Subject`, for human readers.
    pub subject: Option<&'a str>,
}

/// A message or receipt ready to be sent by HTTP.
#[derive(Clone, Debug)]
pub struct ComposedMessage {
    /// HTTP header fields, without those of the connection.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
    /// Integrity check that the receipt must return.
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

/// The AS2 name of the sender, for looking up its certificate.
///
/// # Errors
///
/// If `AS2-From` is missing.
pub fn sender(headers: &Headers) -> Result<String, As2Error> {
    headers.get("as2-from").map(unquote_name).ok_or(As2Error::Missing("AS2-From"))
}

/// A multipart boundary that does not occur in these parts, derived from their digest.
pub(crate) fn boundary(parts: &[&[u8]]) -> String {
    let all = parts.concat();
    let mut salt = 0_u8;
    loop {
        let hash = Digest::Sha256.of(&[&all[..], &[salt]].concat());
        let hex: String = hash.iter().take(15).map(|b| format!("{b:02x}")).collect();
        let text = format!("=_{hex}");
        if !all.windows(text.len()).any(|window| window == text.as_bytes()) {
            return text;
        }
        salt = salt.wrapping_add(1);
    }
}

/// Signs content as `multipart/signed` (RFC 1847).
pub(crate) fn signed_part(content: &[u8], signer: &Identity, digest: Digest) -> Result<Part, As2Error> {
    let signature = to_base64_lines(&secure::sign(content, signer, digest)?);
    let boundary = boundary(&[content]);
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

fn wrapped(kind: &str, body: Vec<u8>) -> Part {
    let headers = Headers::new()
        .with("Content-Type", format!("application/pkcs7-mime; smime-type={kind}; name=\"smime.p7m\""))
        .with("Content-Transfer-Encoding", "binary")
        .with("Content-Disposition", "attachment; filename=\"smime.p7m\"");
    Part { headers, body }
}

/// Composes a message: compressed, then signed, then encrypted, each where the security asks for it.
///
/// # Errors
/// If a certificate or key does not support the requested protection.
pub fn compose(
    message: &OutgoingMessage,
    from: &Identity,
    to: Recipient,
    security: &Security,
) -> Result<ComposedMessage, As2Error> {
    // The receipt's integrity check is by the digest asked for first, as `open` has it.
    let asked = security.receipt.as_ref().and_then(|request| request.signed.first().copied());
    let digest = asked.or(security.sign).unwrap_or(Digest::Sha256);
    let mut part = message.payload.clone();
    if part.headers.get("content-transfer-encoding").is_none() {
        part.headers.add("Content-Transfer-Encoding", "binary");
    }
    // RFC 4130, section 7.3.1: without a signature or encryption the fields don't count, else they do.
    let bare = security.sign.is_none() && security.encrypt.is_none() && !security.compress;
    let mut covered = if bare { part.body.clone() } else { part.to_bytes() };
    if security.compress {
        part = wrapped("compressed-data", secure::compress(&part.to_bytes())?);
        // What is signed counts; it is the compressed part then (RFC 5402, section 4).
        covered = if security.sign.is_some() { part.to_bytes() } else { covered };
    }
    if let Some(digest) = security.sign {
        part = signed_part(&part.to_bytes(), from, digest)?;
    }
    if let Some(cipher) = security.encrypt {
        part = wrapped("enveloped-data", secure::encrypt(&part.to_bytes(), to.certificate, cipher)?);
        if matches!(cipher, Cipher::Aes128Gcm | Cipher::Aes256Gcm) {
            part.headers = wrapped("authEnveloped-data", Vec::new()).headers;
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

/// A message's HTTP header fields, readable without opening the content, so that a message that can't be opened still
/// gets a receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// AS2 name of the sender, not authenticated.
    pub from: String,
    /// AS2 name of the receiver.
    pub to: String,
    /// `Message-ID` without angle brackets.
    pub message_id: String,
    /// The requested receipt, if any.
    pub receipt: Option<ReceiptRequest>,
}

impl Envelope {
    /// Reads the header fields (RFC 4130, section 6).
    ///
    /// # Errors
    ///
    /// If one is missing, or `Message-ID` is empty or too long.
    pub fn parse(headers: &Headers) -> Result<Envelope, As2Error> {
        let name = |field: &'static str| headers.get(field).map(unquote_name).ok_or(As2Error::Missing(field));
        let (from, to) = (name("AS2-From")?, name("AS2-To")?);
        let message_id = headers.get("message-id").ok_or(As2Error::Missing("Message-ID"))?;
        let message_id = message_id.trim().trim_start_matches('<').trim_end_matches('>').to_owned();
        if message_id.is_empty() || message_id.len() > 255 {
            return Err(As2Error::LimitExceeded("Message-ID length (1 at least)", 255));
        }
        Ok(Envelope { from, to, message_id, receipt: read_request(headers) })
    }
}

fn read_request(headers: &Headers) -> Option<ReceiptRequest> {
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

/// An opened message.
#[derive(Clone, Debug)]
pub struct OpenedMessage {
    /// The payload without transfer encoding.
    pub payload: Part,
    /// Integrity check to return in the receipt.
    pub mic: Mic,
    /// Digest of its signature, if it was signed; the signature is verified.
    pub signed: Option<Digest>,
    /// Whether it was encrypted.
    pub encrypted: bool,
    /// Whether it was compressed.
    pub compressed: bool,
}

/// Opens a message: decrypts, verifies with the certificate of the sender, and decompresses. Whether the protection was
/// sufficient is for the caller to check.
///
/// # Errors
///
/// If it is malformed, can't be decrypted or verified, or goes over a bound.
pub fn open(
    headers: &Headers,
    body: &[u8],
    identity: &Identity,
    from: &Certificate,
    receipt: Option<&ReceiptRequest>,
) -> Result<OpenedMessage, As2Error> {
    let mut part = Part { headers: content_fields(headers), body: body.to_vec() };
    let mut opened = Opening { covered: None, signed: None, encrypted: false, compressed: false };
    for _ in 0..LIMITS.layers {
        match opened.unwrap(&part, identity, from) {
            Ok(Some(inner)) => part = inner,
            Ok(None) => return opened.finish(&part, receipt),
            // Guards against padding oracles: all failures after decryption and before a verified signature must
            // look alike, or responses reveal the plain text to an attacker.
            Err(_) if opened.encrypted && opened.signed.is_none() && !opened.is_signed_part(&part) => {
                return Err(As2Error::Decrypt)
            }
            Err(error) => return Err(error),
        }
    }
    Err(As2Error::LimitExceeded("wrappings in one another", LIMITS.layers))
}

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

struct Opening {
    /// The bytes that the integrity check covers, once a layer has determined them.
    covered: Option<Vec<u8>>,
    signed: Option<Digest>,
    encrypted: bool,
    compressed: bool,
}

impl Opening {
    fn is_signed_part(&self, part: &Part) -> bool {
        part.content_type().name == "multipart/signed"
    }

    /// Removes one layer of protection; none if there is none.
    fn unwrap(
        &mut self,
        part: &Part,
        identity: &Identity,
        from: &Certificate,
    ) -> Result<Option<Part>, As2Error> {
        let kind = part.content_type();
        match kind.name.as_str() {
            "multipart/signed" => self.unwrap_signed(part, &kind, from).map(Some),
            "application/pkcs7-mime" | "application/x-pkcs7-mime" => {
                let bytes = part.decoded()?;
                let inner = match secure::wrapping(&bytes)? {
                    Wrapping::Signed => {
                        let (digest, inner) = secure::verify(&bytes, None, from)?;
                        self.record_signature(digest, &inner);
                        inner
                    }
                    Wrapping::Encrypted => {
                        let inner = secure::decrypt(&bytes, identity)?;
                        self.encrypted = true;
                        self.covered = self.covered.take().or_else(|| Some(inner.clone()));
                        inner
                    }
                    Wrapping::Compressed => {
                        let inner = secure::decompress(&bytes)?;
                        self.compressed = true;
                        // Unsigned: the check covers the uncompressed bytes.
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

    fn record_signature(&mut self, digest: Digest, content: &[u8]) {
        if self.signed.is_none() {
            self.signed = Some(digest);
            self.covered = Some(content.to_vec());
        }
    }

    fn unwrap_signed(
        &mut self,
        part: &Part,
        kind: &ContentType,
        from: &Certificate,
    ) -> Result<Part, As2Error> {
        let boundary =
            kind.parameter("boundary").ok_or(As2Error::Mime("multipart/signed without a boundary"))?;
        let parts = split_multipart(&part.body, boundary)?;
        let [content, signature] = parts[..] else {
            return Err(As2Error::Mime("multipart/signed needs two parts"));
        };
        let signature = Part::parse(signature)?.decoded()?;
        // Some products sign lines with CRLF but send them with LF alone.
        let (digest, content) = match secure::verify(&signature, Some(content), from) {
            Err(As2Error::Digest) => secure::verify(&signature, Some(&canonical_lines(content)), from)?,
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
