//! Message bodies: their length, and chunked transfer coding.

use crate::message::{HttpError, Limits, StartLine};
use crate::Headers;

/// How the end of a body is determined.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyKind {
    /// Of this length in bytes.
    Length(usize),
    /// In chunks.
    Chunked,
    /// A response without a length, which ends with its connection.
    ToEnd,
}

/// Determines how a body ends (RFC 9112, section 6.3).
pub(crate) fn body_kind(start_line: &StartLine, minor: u8, headers: &Headers) -> Result<BodyKind, HttpError> {
    let codings: Vec<&str> =
        headers.get_all("transfer-encoding").flat_map(|v| v.split(',')).map(str::trim).collect();
    let mut lengths = headers.get_all("content-length").flat_map(|v| v.split(',')).map(str::trim);
    let length = lengths.next();
    // Guards against request smuggling: two programs that trust different lengths split the bytes differently.
    if lengths.any(|other| Some(other) != length) {
        return Err(HttpError::InvalidLength("two Content-Length values that differ"));
    }
    if !codings.is_empty() {
        if length.is_some() {
            return Err(HttpError::InvalidLength("both Content-Length and Transfer-Encoding"));
        }
        if minor == 0 {
            return Err(HttpError::InvalidLength("Transfer-Encoding in HTTP/1.0"));
        }
        return match codings[..] {
            [only] if only.eq_ignore_ascii_case("chunked") => Ok(BodyKind::Chunked),
            _ => Err(HttpError::InvalidLength("a Transfer-Encoding other than chunked")),
        };
    }
    let bodiless = matches!(start_line, StartLine::Response { status: 100..=199 | 204 | 304 });
    match (length, start_line) {
        _ if bodiless => Ok(BodyKind::Length(0)),
        (Some(digits), _) => {
            let is_decimal = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            let value = digits.parse().ok().filter(|_| is_decimal);
            value.map(BodyKind::Length).ok_or(HttpError::InvalidLength("a Content-Length that is no number"))
        }
        (None, StartLine::Request { .. }) => Ok(BodyKind::Length(0)),
        (None, StartLine::Response { .. }) => Ok(BodyKind::ToEnd),
    }
}

/// Most bytes in the size line of a chunk; chunk extensions are ignored.
const MAX_CHUNK_LINE: usize = 256;

/// Moves whole chunks from the buffer to the body; returns whether the last one was among them.
pub(crate) fn read_chunks(
    buffer: &mut Vec<u8>,
    body: &mut Vec<u8>,
    limits: &Limits,
) -> Result<bool, HttpError> {
    let mut at = 0;
    let done = loop {
        let Some(line) = line_at(&buffer[at..], MAX_CHUNK_LINE)? else { break false };
        let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
        let text = std::str::from_utf8(digits).ok().filter(|t| !t.is_empty() && !t.starts_with('+'));
        let size = text
            .and_then(|t| usize::from_str_radix(t, 16).ok())
            .ok_or(HttpError::MalformedChunk("no size"))?;
        if body.len().saturating_add(size) > limits.max_body_bytes {
            return Err(HttpError::LimitExceeded("body", limits.max_body_bytes));
        }
        let data = at + line.len() + 2;
        if size == 0 {
            match trailer_end(&buffer[data..], limits.max_head_bytes)? {
                Some(end) => at = data + end,
                None => break false,
            }
            break true;
        }
        if buffer.len() < data + size + 2 {
            break false;
        }
        if &buffer[data + size..data + size + 2] != b"\r\n" {
            return Err(HttpError::MalformedChunk("data does not end where its size says"));
        }
        body.extend_from_slice(&buffer[data..data + size]);
        at = data + size + 2;
    };
    buffer.drain(..at);
    Ok(done)
}

/// The first line, without its end; none if it is not whole yet.
fn line_at(bytes: &[u8], most: usize) -> Result<Option<&[u8]>, HttpError> {
    match bytes.iter().take(most).position(|b| *b == b'\n') {
        Some(end) if end > 0 && bytes[end - 1] == b'\r' => Ok(Some(&bytes[..end - 1])),
        Some(_) => Err(HttpError::MalformedChunk("a line that ends without CR")),
        None if bytes.len() >= most => Err(HttpError::LimitExceeded("chunk line", most)),
        None => Ok(None),
    }
}

/// Where the trailer fields end; they are ignored.
fn trailer_end(bytes: &[u8], most: usize) -> Result<Option<usize>, HttpError> {
    let mut at = 0;
    loop {
        match line_at(&bytes[at..], most)? {
            None => return Ok(None),
            Some([]) => return Ok(Some(at + 2)),
            Some(line) => at += line.len() + 2,
        }
        if at > most {
            return Err(HttpError::LimitExceeded("trailer", most));
        }
    }
}
