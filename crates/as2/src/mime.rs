//! MIME entities (RFC 2045, RFC 2046). Bodies keep the bytes that were received, because digests cover exactly those.

use crate::As2Error;
use base64::Engine as _;
use cloverstile_http::Headers;

/// Limits on the memory and work that one received entity may cause.
pub struct Limits {
    /// Bytes of the header of a part.
    pub header_bytes: usize,
    /// Nested layers of protection (signature, encryption, compression).
    pub layers: usize,
    /// Parts of one multipart body.
    pub parts: usize,
    /// Bytes that a compressed part may decompress to.
    pub decompressed_bytes: usize,
}

/// The limits that parsing and opening enforce.
pub const LIMITS: Limits =
    Limits { header_bytes: 16 << 10, layers: 8, parts: 16, decompressed_bytes: 64 << 20 };

/// A MIME entity: header fields, and a body with its transfer encoding still applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Header fields, unfolded.
    pub headers: Headers,
    /// Body, byte for byte as received.
    pub body: Vec<u8>,
}

impl Part {
    /// Parses an entity: header fields, an empty line, body. Lines may end in CRLF or LF.
    ///
    /// # Errors
    ///
    /// If the header is malformed or over `LIMITS.header_bytes`.
    pub fn parse(bytes: &[u8]) -> Result<Part, As2Error> {
        let mut headers = Headers::new();
        let mut field: Option<(String, String)> = None;
        let mut at = 0;
        loop {
            let Some(length) = bytes[at..].iter().take(LIMITS.header_bytes).position(|b| *b == b'\n') else {
                return Err(As2Error::Mime("a part's fields do not end"));
            };
            let line = &bytes[at..at + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            at += length + 1;
            if at > LIMITS.header_bytes {
                return Err(As2Error::LimitExceeded("bytes of a part's fields", LIMITS.header_bytes));
            }
            let text = String::from_utf8_lossy(line);
            if line.first().is_some_and(|b| matches!(b, b' ' | b'\t')) {
                let Some((_, value)) = &mut field else {
                    return Err(As2Error::Mime("a folded line without a field"));
                };
                value.push(' ');
                value.push_str(text.trim());
                continue;
            }
            if let Some((name, value)) = field.take() {
                headers.add(&name, value);
            }
            if line.is_empty() {
                return Ok(Part { headers, body: bytes[at..].to_vec() });
            }
            let (name, value) = text.split_once(':').ok_or(As2Error::Mime("a field without a colon"))?;
            field = Some((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Serializes the entity; header lines end in CRLF, the body stays as it is.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.body.len() + 256);
        for (name, value) in self.headers.iter() {
            out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }

    /// Returns the body with its transfer encoding decoded (RFC 2045, section 6).
    ///
    /// # Errors
    ///
    /// If the encoding is unknown or the body is malformed.
    pub fn decoded(&self) -> Result<Vec<u8>, As2Error> {
        decode_transfer_encoding(self.headers.get("content-transfer-encoding"), &self.body)
    }

    /// The parsed `Content-Type`; `text/plain` if it is absent (RFC 2045, section 5.2).
    pub fn content_type(&self) -> ContentType {
        ContentType::parse(self.headers.get("content-type").unwrap_or("text/plain"))
    }
}

fn decode_transfer_encoding(encoding: Option<&str>, body: &[u8]) -> Result<Vec<u8>, As2Error> {
    match encoding.unwrap_or("binary").trim().to_ascii_lowercase().as_str() {
        "7bit" | "8bit" | "binary" => Ok(body.to_vec()),
        "base64" => decode_base64(body),
        "quoted-printable" => decode_quoted_printable(body),
        other => Err(As2Error::Algorithm("transfer encoding", other.to_owned())),
    }
}

/// Decodes base64 and ignores characters outside its alphabet (RFC 2045, section 6.8).
pub fn decode_base64(text: &[u8]) -> Result<Vec<u8>, As2Error> {
    let digits: Vec<u8> =
        text.iter().copied().filter(|b| b.is_ascii_alphanumeric() || matches!(b, b'+' | b'/')).collect();
    base64::engine::general_purpose::STANDARD_NO_PAD.decode(digits).map_err(|_| As2Error::Mime("base64"))
}

/// Encodes as base64 in lines of 76 characters that end in CRLF.
pub fn encode_base64_lines(bytes: &[u8]) -> Vec<u8> {
    let text = base64::engine::general_purpose::STANDARD.encode(bytes);
    let mut out = Vec::with_capacity(text.len() + text.len() / 38 + 2);
    for line in text.as_bytes().chunks(76) {
        out.extend_from_slice(line);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Encodes as base64 without line breaks.
pub fn encode_base64(bytes: &[u8]) -> String {
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn decode_quoted_printable(body: &[u8]) -> Result<Vec<u8>, As2Error> {
    let mut out = Vec::with_capacity(body.len());
    let mut at = 0;
    while let Some(&byte) = body.get(at) {
        match (byte, &body[at + 1..]) {
            (b'=', [b'\r', b'\n', ..]) => at += 3,
            (b'=', [b'\n', ..]) => at += 2,
            (b'=', [high, low, ..]) => {
                let digit = |b: &u8| (*b as char).to_digit(16).ok_or(As2Error::Mime("quoted-printable"));
                out.push((digit(high)? * 16 + digit(low)?) as u8);
                at += 3;
            }
            (b'=', _) => return Err(As2Error::Mime("quoted-printable")),
            _ => {
                out.push(byte);
                at += 1;
            }
        }
    }
    Ok(out)
}

/// The value of `Content-Type`, or of another field with the same syntax.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ContentType {
    /// Media type in lower case, such as `multipart/signed`.
    pub media_type: String,
    parameters: Vec<(String, String)>,
}

impl ContentType {
    /// Parses a value and its parameters and unquotes parameter values. Comments (RFC 2045, section 5.1) are not
    /// supported.
    pub fn parse(value: &str) -> ContentType {
        let mut pieces = split_outside_quotes(value, ';').into_iter();
        let media_type = pieces.next().unwrap_or_default().trim().to_ascii_lowercase();
        let parameters = pieces
            .filter_map(|piece| {
                let (key, value) = piece.split_once('=')?;
                Some((key.trim().to_ascii_lowercase(), unquote(value.trim())))
            })
            .collect();
        ContentType { media_type, parameters }
    }

    /// The first parameter with this name, which must be in lower case.
    pub fn parameter(&self, key: &str) -> Option<&str> {
        self.parameters.iter().find(|(known, _)| known == key).map(|(_, value)| value.as_str())
    }
}

/// Splits `text` at each separator outside quoted strings.
pub fn split_outside_quotes(text: &str, separator: char) -> Vec<String> {
    let (mut pieces, mut quoted, mut escaped) = (vec![String::new()], false, false);
    for character in text.chars() {
        if character == separator && !quoted {
            pieces.push(String::new());
            continue;
        }
        quoted ^= character == '"' && !escaped;
        escaped = quoted && character == '\\' && !escaped;
        if let Some(piece) = pieces.last_mut() {
            piece.push(character);
        }
    }
    pieces
}

/// Decodes a quoted string and its backslash escapes; other text is returned unchanged.
pub fn unquote(text: &str) -> String {
    let Some(inner) = text.strip_prefix('"').and_then(|t| t.strip_suffix('"')).filter(|_| text.len() > 1)
    else {
        return text.to_owned();
    };
    let (mut out, mut escaped) = (String::new(), false);
    for character in inner.chars() {
        if character == '\\' && !escaped {
            escaped = true;
        } else {
            out.push(character);
            escaped = false;
        }
    }
    out
}

/// Splits a multipart body; each part is exactly the bytes between its delimiters (RFC 2046, section 5.1.1).
pub fn split_multipart<'a>(body: &'a [u8], boundary: &str) -> Result<Vec<&'a [u8]>, As2Error> {
    if boundary.is_empty() || boundary.len() > 70 {
        return Err(As2Error::Mime("a boundary of no length, or of more than 70"));
    }
    let delimiter = format!("--{boundary}");
    let (mut parts, mut start) = (Vec::new(), None);
    let mut at = 0;
    while at <= body.len() {
        let end = body[at..].iter().position(|b| *b == b'\n').map_or(body.len(), |length| at + length);
        let line = body[at..end].trim_ascii_end();
        let closing = line.len() == delimiter.len() + 2 && line.ends_with(b"--");
        if line.starts_with(delimiter.as_bytes()) && (closing || line.len() == delimiter.len()) {
            if let Some(start) = start {
                // The line break before a delimiter belongs to it.
                let part: &[u8] = &body[start..at.max(start)];
                let part = part.strip_suffix(b"\n").map_or(part, |p| p.strip_suffix(b"\r").unwrap_or(p));
                parts.push(part);
            }
            if closing {
                return Ok(parts);
            }
            if parts.len() >= LIMITS.parts {
                return Err(As2Error::LimitExceeded("parts of a multipart", LIMITS.parts));
            }
            start = Some((end + 1).min(body.len()));
        }
        at = end + 1;
    }
    Err(As2Error::Mime("a multipart without its closing delimiter"))
}

/// Replaces each LF that has no CR before it by CRLF, the canonical line ending of MIME.
pub fn canonicalize_line_endings(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len() + 64);
    for (index, byte) in bytes.iter().enumerate() {
        if *byte == b'\n' && (index == 0 || bytes[index - 1] != b'\r') {
            out.push(b'\r');
        }
        out.push(*byte);
    }
    out
}
