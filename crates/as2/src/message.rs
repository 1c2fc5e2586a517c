//! Messages: what travels from one station to another (RFC 4130, sections 2 to 6).

use crate::mime::{canonical_lines, ContentType, Part, BOUNDS};
use crate::mime::{from_base64, split_multipart, split_outside_quotes, to_base64, to_base64_lines, unquote};
use crate::secure::{self, Wrapping};
use crate::{As2Error, Certificate, Identity};
use cloverstile_http::Headers;

/// Digests for signatures and integrity checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Digest {
    /// Integrity checks and checking of signatures only, and only where a peer's settings ask for it.
    Sha1,
    /// The usual one.
    Sha256,
    /// Longer.
    Sha384,
    /// Longest.
    Sha512,
}

impl Digest {
    /// The digest of some bytes.
    pub fn of(self, bytes: &[u8]) -> Vec<u8> {
        let algorithm = match self {
            Digest::Sha1 => &aws_lc_rs::digest::SHA1_FOR_LEGACY_USE_ONLY,
            Digest::Sha256 => &aws_lc_rs::digest::SHA256,
            Digest::Sha384 => &aws_lc_rs::digest::SHA384,
            Digest::Sha512 => &aws_lc_rs::digest::SHA512,
        };
        aws_lc_rs::digest::digest(algorithm, bytes).as_ref().to_vec()
    }

    /// Its name in `micalg` (RFC 5751, section 3.4.3.2).
    pub fn name(self) -> &'static str {
        match self {
            Digest::Sha1 => "sha-1",
            Digest::Sha256 => "sha-256",
            Digest::Sha384 => "sha-384",
            Digest::Sha512 => "sha-512",
        }
    }

    /// Reads a name in any spelling that products use: `sha1`, `SHA-256`, `sha256`.
    pub fn read(name: &str) -> Option<Digest> {
        match name.trim().to_ascii_lowercase().replace(['-', '_'], "").as_str() {
            "sha1" | "rsasha1" => Some(Digest::Sha1),
            "sha256" | "rsasha256" => Some(Digest::Sha256),
            "sha384" => Some(Digest::Sha384),
            "sha512" => Some(Digest::Sha512),
            _ => None,
        }
    }
}

/// Ciphers for content.
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
    pub(crate) fn key_length(self) -> usize {
        match self {
            Cipher::Aes128Cbc | Cipher::Aes128Gcm => 16,
            Cipher::Aes256Cbc | Cipher::Aes256Gcm => 32,
        }
    }
}

/// A message integrity check (RFC 4130, section 7.3.1).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mic {
    /// Digest of the bytes that the RFC names.
    pub value: Vec<u8>,
    /// By which algorithm.
    pub digest: Digest,
}

impl Mic {
    /// As in `Received-Content-MIC`.
    pub fn write(&self) -> String {
        format!("{}, {}", to_base64(&self.value), self.digest.name())
    }

    /// Reads a `Received-Content-MIC` value.
    pub fn read(text: &str) -> Option<Mic> {
        let (value, digest) = text.rsplit_once(',')?;
        Some(Mic { value: from_base64(value.as_bytes()).ok()?, digest: Digest::read(digest)? })
    }
}

/// What receipt a sender wants (RFC 4130, section 7.3).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceiptRequest {
    /// Where to send it; none for one in the answer itself.
    pub deliver_to: Option<String>,
    /// Digests in the order wanted; empty for an unsigned receipt.
    pub signed: Vec<Digest>,
}

/// How a message is protected.
#[derive(Clone, Debug)]
pub struct Security {
    /// Signed, with this digest.
    pub sign: Option<Digest>,
    /// Encrypted, with this cipher.
    pub encrypt: Option<Cipher>,
    /// Compressed before the signature (RFC 5402).
    pub compress: bool,
    /// The receipt wanted.
    pub receipt: Option<ReceiptRequest>,
}

impl Default for Security {
    /// Signed with SHA-256, encrypted with AES-128 in CBC, a signed receipt in the answer.
    fn default() -> Self {
        Security {
            sign: Some(Digest::Sha256),
            encrypt: Some(Cipher::Aes128Cbc),
            compress: false,
            receipt: Some(ReceiptRequest { deliver_to: None, signed: vec![Digest::Sha256] }),
        }
    }
}

/// Whom a message is for.
#[derive(Clone, Copy, Debug)]
pub struct Addressee<'a> {
    /// AS2 name, without quotes.
    pub name: &'a str,
    /// Certificate held for it.
    pub certificate: &'a Certificate,
}

/// A message to be sent.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// Without angle brackets. It is the idempotency key and stays the same through all tries.
    pub message_id: &'a str,
    /// What is carried: its fields (`Content-Type` above all) and its bytes, no transfer encoding on.
    pub payload: &'a Part,
    /// `Subject`, for people.
    pub subject: Option<&'a str>,
}

/// A message or receipt ready to be sent by HTTP.
#[derive(Clone, Debug)]
pub struct Composed {
    /// Fields of the HTTP message, but for those of the connection.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
    /// What a receipt must return.
    pub mic: Mic,
}

/// A name as it stands in `AS2-From` and `AS2-To`: quoted where it must be (RFC 4130, section 6.2).
pub(crate) fn quote_name(name: &str) -> String {
    match name.chars().any(|c| matches!(c, ' ' | '"' | '\\')) {
        true => format!("\"{}\"", name.replace('\\', "\\\\").replace('"', "\\\"")),
        false => name.to_owned(),
    }
}

/// A name from `AS2-From` or `AS2-To`, quotes taken off.
pub fn unquote_name(field: &str) -> String {
    unquote(field.trim())
}

/// The name of who sends, to look up its certificate.
pub fn sender(headers: &Headers) -> Result<String, As2Error> {
    headers.get("as2-from").map(unquote_name).ok_or(As2Error::Missing("AS2-From"))
}

/// A delimiter that does not occur in what it delimits, drawn from a digest of it.
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

/// Content with a signature beside it (RFC 1847): the part's fields and body.
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

/// Composes a message. Signed first, then encrypted, as receivers expect.
///
/// # Errors
/// Where a certificate or key does not serve the protection that is asked for.
pub fn compose(
    message: &Outgoing,
    from: &Identity,
    to: Addressee,
    security: &Security,
) -> Result<Composed, As2Error> {
    // The receipt's integrity check is by the digest asked for first, as `open` has it.
    let asked = security.receipt.as_ref().and_then(|request| request.signed.first().copied());
    let digest = asked.or(security.sign).unwrap_or(Digest::Sha256);
    let mut part = message.payload.clone();
    if part.headers.get("content-transfer-encoding").is_none() {
        part.headers.add("Content-Transfer-Encoding", "binary");
    }
    // RFC 4130, section 7.3.1: without a signature or encryption the fields don't count, else they do.
    let bare = security.sign.is_none() && security.encrypt.is_none() && !security.compress;
    let mut covered = if bare { part.body.clone() } else { part.write() };
    if security.compress {
        part = wrapped("compressed-data", secure::compress(&part.write())?);
        // What is signed counts; it is the compressed part then (RFC 5402, section 4).
        covered = if security.sign.is_some() { part.write() } else { covered };
    }
    if let Some(digest) = security.sign {
        part = signed_part(&part.write(), from, digest)?;
    }
    if let Some(cipher) = security.encrypt {
        part = wrapped("enveloped-data", secure::encrypt(&part.write(), to.certificate, cipher)?);
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
    Ok(Composed { headers, body: part.body, mic: Mic { value: digest.of(&covered), digest } })
}

/// What stands in a message's HTTP fields; no content has been opened for it, so that even a message that
/// can't be opened is answered by a receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Who sends, as it says itself.
    pub from: String,
    /// Whom it is for.
    pub to: String,
    /// Without angle brackets.
    pub message_id: String,
    /// The receipt wanted.
    pub receipt: Option<ReceiptRequest>,
}

impl Envelope {
    /// Reads the fields (RFC 4130, section 6).
    pub fn read(headers: &Headers) -> Result<Envelope, As2Error> {
        let name = |field: &'static str| headers.get(field).map(unquote_name).ok_or(As2Error::Missing(field));
        let (from, to) = (name("AS2-From")?, name("AS2-To")?);
        let message_id = headers.get("message-id").ok_or(As2Error::Missing("Message-ID"))?;
        let message_id = message_id.trim().trim_start_matches('<').trim_end_matches('>').to_owned();
        if message_id.is_empty() || message_id.len() > 255 {
            return Err(As2Error::Bound("Message-ID length (1 at least)", 255));
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
            || value.split(',').skip(1).filter_map(|name| Digest::read(&unquote(name.trim()))).collect();
        key.trim().eq_ignore_ascii_case("signed-receipt-micalg").then(digests)
    });
    let deliver_to = headers.get("receipt-delivery-option").map(str::to_owned).filter(|url| !url.is_empty());
    Some(ReceiptRequest { deliver_to, signed: signed.unwrap_or_default() })
}

/// A message that was opened.
#[derive(Clone, Debug)]
pub struct Opened {
    /// What is carried, transfer encoding taken off.
    pub payload: Part,
    /// To be returned in the receipt.
    pub mic: Mic,
    /// The digest of its signature, if it was signed; it was verified then.
    pub signed: Option<Digest>,
    /// It was encrypted.
    pub encrypted: bool,
    /// It was compressed.
    pub compressed: bool,
}

/// Opens a message for one of our stations from a sender whose certificate is held. All protection is taken
/// off and checked; whether it was enough is for the caller to say.
pub fn open(
    headers: &Headers,
    body: &[u8],
    me: &Identity,
    from: &Certificate,
    receipt: Option<&ReceiptRequest>,
) -> Result<Opened, As2Error> {
    let mut part = Part { headers: content_fields(headers), body: body.to_vec() };
    let mut opened = Opening { covered: None, signed: None, encrypted: false, compressed: false };
    for _ in 0..BOUNDS.depth {
        match opened.unwrap(&part, me, from) {
            Ok(Some(inner)) => part = inner,
            Ok(None) => return opened.finish(part, receipt),
            // What fails behind a decryption and before a signature must look alike, whatever it is: else
            // answers tell an attacker about the plain text (padding oracles).
            Err(_) if opened.encrypted && opened.signed.is_none() && !opened.signature_seen(&part) => {
                return Err(As2Error::Decrypt)
            }
            Err(error) => return Err(error),
        }
    }
    Err(As2Error::Bound("wrappings in one another", BOUNDS.depth))
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
    /// The bytes that the integrity check is over, once a wrapping has settled them.
    covered: Option<Vec<u8>>,
    signed: Option<Digest>,
    encrypted: bool,
    compressed: bool,
}

impl Opening {
    fn signature_seen(&self, part: &Part) -> bool {
        part.content_type().name == "multipart/signed"
    }

    /// Takes one wrapping off; none if there is none.
    fn unwrap(&mut self, part: &Part, me: &Identity, from: &Certificate) -> Result<Option<Part>, As2Error> {
        let kind = part.content_type();
        match kind.name.as_str() {
            "multipart/signed" => self.unwrap_signed(part, &kind, from).map(Some),
            "application/pkcs7-mime" | "application/x-pkcs7-mime" => {
                let bytes = part.decoded()?;
                let inner = match secure::wrapping(&bytes)? {
                    Wrapping::Signed => {
                        let (digest, inner) = secure::verify(&bytes, None, from)?;
                        self.note_signed(digest, &inner);
                        inner
                    }
                    Wrapping::Encrypted => {
                        let inner = secure::decrypt(&bytes, me)?;
                        self.encrypted = true;
                        self.covered = self.covered.take().or_else(|| Some(inner.clone()));
                        inner
                    }
                    Wrapping::Compressed => {
                        let inner = secure::decompress(&bytes)?;
                        self.compressed = true;
                        // Unsigned: the check is over what was there before the compression.
                        if self.signed.is_none() {
                            self.covered = Some(inner.clone());
                        }
                        inner
                    }
                };
                Part::read(&inner).map(Some)
            }
            _ => Ok(None),
        }
    }

    fn note_signed(&mut self, digest: Digest, content: &[u8]) {
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
        let signature = Part::read(signature)?.decoded()?;
        // Some products sign with CRLF and let lines leave with LF alone.
        let (digest, content) = match secure::verify(&signature, Some(content), from) {
            Err(As2Error::Digest) => secure::verify(&signature, Some(&canonical_lines(content)), from)?,
            other => other?,
        };
        self.note_signed(digest, &content);
        Part::read(&content)
    }

    fn finish(self, part: Part, receipt: Option<&ReceiptRequest>) -> Result<Opened, As2Error> {
        let body = part.decoded()?;
        let wanted = receipt.and_then(|request| request.signed.first().copied());
        let digest = wanted.or(self.signed).unwrap_or(Digest::Sha256);
        let mic = Mic { value: digest.of(self.covered.as_deref().unwrap_or(&body)), digest };
        let mut headers = Headers::new();
        for (name, value) in part.headers.iter() {
            if !name.eq_ignore_ascii_case("content-transfer-encoding") {
                headers.add(name, value);
            }
        }
        Ok(Opened {
            payload: Part { headers, body },
            mic,
            signed: self.signed,
            encrypted: self.encrypted,
            compressed: self.compressed,
        })
    }
}
