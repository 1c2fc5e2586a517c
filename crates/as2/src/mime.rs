//! MIME entities (RFC 2045, 2046): bytes kept exactly as they came, as digests are over them.

use crate::As2Error;
use base64::Engine as _;
use cloverstile_http::Headers;

/// What one entity may make us hold.
pub struct Limits {
    /// Bytes of a part's header fields.
    pub header_bytes: usize,
    /// Wrappings (signed, encrypted, compressed) in one another.
    pub layers: usize,
    /// Parts of one multipart.
    pub parts: usize,
    /// Bytes that a compressed part may unpack to.
    pub decompressed_bytes: usize,
}

/// The bounds in force.
pub const LIMITS: Limits =
    Limits { header_bytes: 16 << 10, layers: 8, parts: 16, decompressed_bytes: 64 << 20 };

/// An entity: its fields and its body, transfer encoding still on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its fields, unfolded.
    pub headers: Headers,
    /// Its body as it came.
    pub body: Vec<u8>,
}

impl Part {
    /// Parses an entity: header fields, an empty line, body. Lines may end in CRLF or LF.
    ///
    /// # Errors
    ///
    /// If the header is malformed or goes over a bound.
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

    /// The entity as bytes, lines ending in CRLF.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.body.len() + 256);
        for (name, value) in self.headers.iter() {
            out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }

    /// The body with its transfer encoding decoded (RFC 2045, section 6).
    ///
    /// # Errors
    ///
    /// If the encoding is unknown or the body is malformed.
    pub fn decoded(&self) -> Result<Vec<u8>, As2Error> {
        decode(self.headers.get("content-transfer-encoding"), &self.body)
    }

    /// Its content type; text/plain where none is given (RFC 2045, section 5.2).
    pub fn content_type(&self) -> ContentType {
        ContentType::parse(self.headers.get("content-type").unwrap_or("text/plain"))
    }
}

fn decode(encoding: Option<&str>, body: &[u8]) -> Result<Vec<u8>, As2Error> {
    match encoding.unwrap_or("binary").trim().to_ascii_lowercase().as_str() {
        "7bit" | "8bit" | "binary" => Ok(body.to_vec()),
        "base64" => from_base64(body),
        "quoted-printable" => quoted_printable(body),
        other => Err(As2Error::Algorithm("transfer encoding", other.to_owned())),
    }
}

/// Reads base64; whatever is no letter of its alphabet is passed over (RFC 2045, section 6.8).
pub fn from_base64(text: &[u8]) -> Result<Vec<u8>, As2Error> {
    let letters: Vec<u8> =
        text.iter().copied().filter(|b| b.is_ascii_alphanumeric() || matches!(b, b'+' | b'/')).collect();
    base64::engine::general_purpose::STANDARD_NO_PAD.decode(letters).map_err(|_| As2Error::Mime("base64"))
}

/// Writes base64 in lines of 76.
pub fn to_base64_lines(bytes: &[u8]) -> Vec<u8> {
    let text = base64::engine::general_purpose::STANDARD.encode(bytes);
    let mut out = Vec::with_capacity(text.len() + text.len() / 38 + 2);
    for line in text.as_bytes().chunks(76) {
        out.extend_from_slice(line);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Writes base64 in one piece.
pub fn to_base64(bytes: &[u8]) -> String {
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn quoted_printable(body: &[u8]) -> Result<Vec<u8>, As2Error> {
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

/// A `Content-Type` value, or another field of that shape.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ContentType {
    /// Such as `multipart/signed`, in lower case.
    pub name: String,
    parameters: Vec<(String, String)>,
}

impl ContentType {
    /// Reads a value with its parameters; quotes come off, comments are not expected here.
    pub fn parse(value: &str) -> ContentType {
        let mut pieces = split_outside_quotes(value, ';').into_iter();
        let name = pieces.next().unwrap_or_default().trim().to_ascii_lowercase();
        let parameters = pieces
            .filter_map(|piece| {
                let (key, value) = piece.split_once('=')?;
                Some((key.trim().to_ascii_lowercase(), unquote(value.trim())))
            })
            .collect();
        ContentType { name, parameters }
    }

    /// A parameter.
    pub fn parameter(&self, key: &str) -> Option<&str> {
        self.parameters.iter().find(|(known, _)| known == key).map(|(_, value)| value.as_str())
    }
}

/// Splits at a mark that stands outside quoted strings.
pub fn split_outside_quotes(text: &str, mark: char) -> Vec<String> {
    let (mut pieces, mut quoted, mut escaped) = (vec![String::new()], false, false);
    for letter in text.chars() {
        if letter == mark && !quoted {
            pieces.push(String::new());
            continue;
        }
        quoted ^= letter == '"' && !escaped;
        escaped = quoted && letter == '\\' && !escaped;
        if let Some(piece) = pieces.last_mut() {
            piece.push(letter);
        }
    }
    pieces
}

/// Takes the quotes off a quoted string; other text stays as it is.
pub fn unquote(text: &str) -> String {
    let Some(inner) = text.strip_prefix('"').and_then(|t| t.strip_suffix('"')).filter(|_| text.len() > 1)
    else {
        return text.to_owned();
    };
    let (mut out, mut escaped) = (String::new(), false);
    for letter in inner.chars() {
        if letter == '\\' && !escaped {
            escaped = true;
        } else {
            out.push(letter);
            escaped = false;
        }
    }
    out
}

/// The parts of a multipart, each exactly as it stands between its delimiters (RFC 2046, section 5.1.1).
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

/// Lone LF become CRLF.
pub fn canonical_lines(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len() + 64);
    for (index, byte) in bytes.iter().enumerate() {
        if *byte == b'\n' && (index == 0 || bytes[index - 1] != b'\r') {
            out.push(b'\r');
        }
        out.push(*byte);
    }
    out
}
