//! Body framing: body length and chunked transfer coding.

use crate::message::{HttpError, Limits, StartLine};
use crate::Headers;

/// How the end of a body is determined.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// The body has this length in bytes.
    Length(usize),
    /// The last chunk ends the body.
    Chunked,
    /// The end of the connection ends the body: a response without a length.
    UntilClose,
}

/// Determines how a body ends (RFC 9112, section 6.3).
pub(crate) fn body_framing(
    start_line: &StartLine,
    minor_version: u8,
    headers: &Headers,
) -> Result<BodyFraming, HttpError> {
    let codings: Vec<&str> =
        headers.get_all("transfer-encoding").flat_map(|v| v.split(',')).map(str::trim).collect();
    let mut lengths = headers.get_all("content-length").flat_map(|v| v.split(',')).map(str::trim);
    let length = lengths.next();
    // Prevents request smuggling: a proxy and a server that pick different lengths disagree on message boundaries.
    if lengths.any(|other| Some(other) != length) {
        return Err(HttpError::InvalidLength("two Content-Length values that differ"));
    }
    if !codings.is_empty() {
        if length.is_some() {
            return Err(HttpError::InvalidLength("both Content-Length and Transfer-Encoding"));
        }
        if minor_version == 0 {
            return Err(HttpError::InvalidLength("Transfer-Encoding in HTTP/1.0"));
        }
        return match codings[..] {
            [only] if only.eq_ignore_ascii_case("chunked") => Ok(BodyFraming::Chunked),
            _ => Err(HttpError::InvalidLength("a Transfer-Encoding other than chunked")),
        };
    }
    let has_no_body = matches!(start_line, StartLine::Response { status: 100..=199 | 204 | 304 });
    match (length, start_line) {
        _ if has_no_body => Ok(BodyFraming::Length(0)),
        (Some(digits), _) => {
            let is_decimal = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            let value = digits.parse().ok().filter(|_| is_decimal);
            value
                .map(BodyFraming::Length)
                .ok_or(HttpError::InvalidLength("a Content-Length that is no number"))
        }
        (None, StartLine::Request { .. }) => Ok(BodyFraming::Length(0)),
        (None, StartLine::Response { .. }) => Ok(BodyFraming::UntilClose),
    }
}

/// End of a line, and of a chunk's data.
const CRLF: &[u8] = b"\r\n";
/// Maximum bytes of a chunk-size line, with its CRLF and its chunk extensions, which are ignored.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// How far a chunked body has been read whose data are not kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SkippedChunks {
    /// Bytes of chunk data so far.
    total: usize,
    /// Bytes that are left of the current chunk, with its CRLF.
    remaining: usize,
}

impl SkippedChunks {
    /// Removes the chunks from the buffer, as far as they have arrived. Returns whether the body is complete.
    pub(crate) fn skip(&mut self, buffer: &mut Vec<u8>, limits: &Limits) -> Result<bool, HttpError> {
        loop {
            if !self.skip_data(buffer)? {
                return Ok(false);
            }
            let Some(line) = first_line(buffer, MAX_CHUNK_LINE_BYTES)? else { return Ok(false) };
            let (size, data_start) = (chunk_size(line, self.total, limits)?, line.len() + CRLF.len());
            if size == 0 {
                let Some(end) = trailer_end(&buffer[data_start..], limits.max_head_bytes)? else {
                    return Ok(false);
                };
                buffer.drain(..data_start + end);
                return Ok(true);
            }
            buffer.drain(..data_start);
            self.total += size;
            self.remaining = size + CRLF.len();
        }
    }

    /// Removes data of the current chunk; returns whether the chunk is complete.
    fn skip_data(&mut self, buffer: &mut Vec<u8>) -> Result<bool, HttpError> {
        let data = self.remaining.saturating_sub(CRLF.len()).min(buffer.len());
        buffer.drain(..data);
        self.remaining -= data;
        if self.remaining == 0 {
            return Ok(true);
        }
        if self.remaining > CRLF.len() || buffer.len() < CRLF.len() {
            return Ok(false);
        }
        if !buffer.starts_with(CRLF) {
            return Err(HttpError::MalformedChunk("data does not end where its size says"));
        }
        buffer.drain(..CRLF.len());
        self.remaining = 0;
        Ok(true)
    }
}

/// The size in a chunk-size line; `total` bytes of the body come before the chunk.
fn chunk_size(line: &[u8], total: usize, limits: &Limits) -> Result<usize, HttpError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
    let text = std::str::from_utf8(digits).ok().filter(|t| !t.is_empty() && !t.starts_with('+'));
    let size =
        text.and_then(|t| usize::from_str_radix(t, 16).ok()).ok_or(HttpError::MalformedChunk("no size"))?;
    if total.saturating_add(size) > limits.max_body_bytes {
        return Err(HttpError::LimitExceeded("body", limits.max_body_bytes));
    }
    Ok(size)
}

/// Moves the data of complete chunks from the buffer to the body. Returns whether the body is complete: its last chunk
/// and its trailer section have been read.
pub(crate) fn read_chunks(
    buffer: &mut Vec<u8>,
    body: &mut Vec<u8>,
    limits: &Limits,
) -> Result<bool, HttpError> {
    let mut offset = 0;
    let is_complete = loop {
        let Some(line) = first_line(&buffer[offset..], MAX_CHUNK_LINE_BYTES)? else { break false };
        let size = chunk_size(line, body.len(), limits)?;
        let data_start = offset + line.len() + 2;
        if size == 0 {
            match trailer_end(&buffer[data_start..], limits.max_head_bytes)? {
                Some(end) => offset = data_start + end,
                None => break false,
            }
            break true;
        }
        if buffer.len() < data_start + size + 2 {
            break false;
        }
        if &buffer[data_start + size..data_start + size + 2] != b"\r\n" {
            return Err(HttpError::MalformedChunk("data does not end where its size says"));
        }
        body.extend_from_slice(&buffer[data_start..data_start + size]);
        offset = data_start + size + 2;
    };
    buffer.drain(..offset);
    Ok(is_complete)
}

/// Returns the first line without its CRLF, or `None` if it is incomplete. It is an error if the first `max_bytes`
/// bytes contain no line end.
fn first_line(bytes: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, HttpError> {
    match bytes.iter().take(max_bytes).position(|b| *b == b'\n') {
        Some(end) if end > 0 && bytes[end - 1] == b'\r' => Ok(Some(&bytes[..end - 1])),
        Some(_) => Err(HttpError::MalformedChunk("a line that ends without CR")),
        None if bytes.len() >= max_bytes => Err(HttpError::LimitExceeded("chunk line", max_bytes)),
        None => Ok(None),
    }
}

/// Returns the offset of the end of the trailer section, or `None` if it is incomplete. Trailer fields are ignored.
fn trailer_end(bytes: &[u8], max_bytes: usize) -> Result<Option<usize>, HttpError> {
    let mut offset = 0;
    loop {
        match first_line(&bytes[offset..], max_bytes)? {
            None => return Ok(None),
            Some([]) => return Ok(Some(offset + 2)),
            Some(line) => offset += line.len() + 2,
        }
        if offset > max_bytes {
            return Err(HttpError::LimitExceeded("trailer", max_bytes));
        }
    }
}
