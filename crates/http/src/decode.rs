//! Incremental decoding of requests and responses.

use crate::body::{body_framing, read_chunks, BodyFraming, SkippedChunks};
use crate::message::{DecodedItem, HttpError, Limits, Message, StartLine};
use crate::Headers;
use std::time::Duration;

/// Result of an attempt to decode a head.
enum HeadProgress {
    /// More bytes are needed.
    Incomplete,
    /// The head was decoded.
    Complete,
    /// The head was decoded, and the client waits for [`crate::CONTINUE`].
    ExpectsContinue,
}

enum Stage {
    Head,
    Body { message: Message, framing: BodyFraming, skipped: SkippedBody },
}

/// How much of a body was read that is not kept.
#[derive(Clone, Copy, Default)]
struct SkippedBody {
    /// Bytes of a body with a length, or until the end of the connection.
    bytes: usize,
    chunks: SkippedChunks,
}

/// Incremental decoder of the messages that a peer sends on one connection. Buffers at most a head and a body within
/// [`Limits`] if each [`Decoder::feed`] is followed by calls of [`Decoder::next`].
pub struct Decoder {
    is_server: bool,
    /// Whether messages are returned with their bodies.
    keeps_bodies: bool,
    limits: Limits,
    buffer: Vec<u8>,
    stage: Stage,
    /// Time at which the first byte of the current message arrived.
    message_started_at: Option<Duration>,
    /// Status and header fields of the current response, once its head is complete.
    head: Option<(u16, Headers)>,
}

impl Decoder {
    /// Creates a decoder of requests.
    pub fn server(limits: Limits) -> Self {
        Decoder {
            is_server: true,
            keeps_bodies: true,
            limits,
            buffer: Vec::new(),
            stage: Stage::Head,
            message_started_at: None,
            head: None,
        }
    }

    /// Creates a decoder of responses. Responses to HEAD requests are not supported: their `Content-Length` would be
    /// taken for the length of a body.
    pub fn client(limits: Limits) -> Self {
        Decoder { is_server: false, ..Decoder::server(limits) }
    }

    /// Creates a decoder of responses whose bodies are checked against the limits and dropped as they arrive.
    pub fn client_without_bodies(limits: Limits) -> Self {
        Decoder { keeps_bodies: false, ..Decoder::client(limits) }
    }

    /// Capacity of the buffer in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Appends received bytes. `now` is the time since any fixed point, the same one in all calls.
    pub fn feed(&mut self, now: Duration, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.message_started_at.get_or_insert(now);
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Number of received bytes that are not decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the status of the current response as soon as its status line is complete, even if the rest of the
    /// response is missing or malformed. Interim responses (1xx) are ignored.
    pub fn status(&self) -> Option<u16> {
        self.head.as_ref().map(|(status, _)| *status).or_else(|| {
            let line_end = self.buffer.iter().position(|byte| *byte == b'\n')?;
            let line = self.buffer[..=line_end].strip_prefix(b"HTTP/1.").filter(|_| !self.is_server)?;
            let digits = line.get(2..5).filter(|_| line[0].is_ascii_digit() && line[1] == b' ')?;
            let ended =
                matches!(line.get(5), Some(b' ' | b'\r' | b'\n')) && digits.iter().all(u8::is_ascii_digit);
            let status = std::str::from_utf8(digits).ok()?.parse().ok()?;
            (ended && status >= 200).then_some(status)
        })
    }

    /// Returns the status and header fields of the current response as soon as its head is complete, even if its body
    /// is missing or malformed.
    pub fn head(&self) -> Option<(u16, &Headers)> {
        self.head.as_ref().map(|(status, headers)| (*status, headers))
    }

    /// Returns the time at which the current message times out, if one has begun.
    pub fn deadline(&self) -> Option<Duration> {
        let timeout = match self.stage {
            Stage::Head => self.limits.head_timeout,
            Stage::Body { .. } => self.limits.message_timeout,
        };
        self.message_started_at.map(|started_at| started_at.saturating_add(timeout))
    }

    /// Checks the deadline of the current message. Without it, a peer that sends a byte every few seconds could hold
    /// its connection indefinitely.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::TimedOut`] if `now` is at or past the deadline.
    pub fn check_deadline(&self, now: Duration) -> Result<(), HttpError> {
        match self.deadline() {
            Some(deadline) if now >= deadline => Err(match self.stage {
                Stage::Head => HttpError::TimedOut("head", self.limits.head_timeout),
                Stage::Body { .. } => HttpError::TimedOut("message", self.limits.message_timeout),
            }),
            _ => Ok(()),
        }
    }

    /// Decodes the next item, or returns `None` if more bytes are needed. Call it after each [`Decoder::feed`] until it
    /// returns `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not valid HTTP/1.x or exceed a limit; decoding cannot continue after it.
    pub fn next(&mut self, now: Duration) -> Result<Option<DecodedItem>, HttpError> {
        loop {
            match &self.stage {
                Stage::Head => match self.read_head()? {
                    HeadProgress::Incomplete => return Ok(None),
                    HeadProgress::ExpectsContinue => return Ok(Some(DecodedItem::ExpectsContinue)),
                    HeadProgress::Complete => {}
                },
                Stage::Body { .. } => {
                    let Some(message) = self.read_body()? else { return Ok(None) };
                    self.message_started_at = (!self.buffer.is_empty()).then_some(now);
                    self.head = None;
                    return Ok(Some(DecodedItem::Message(message)));
                }
            }
        }
    }

    /// Ends decoding after the peer closed the connection. Returns the current response if the end of the connection
    /// delimits its body.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::UnexpectedEnd`] if any other message is incomplete.
    pub fn on_connection_end(&mut self) -> Result<Option<Message>, HttpError> {
        match std::mem::replace(&mut self.stage, Stage::Head) {
            Stage::Body { mut message, framing: BodyFraming::UntilClose, .. } => {
                message.body = std::mem::take(&mut self.buffer);
                message.keep_alive = false;
                self.message_started_at = None;
                Ok(Some(message))
            }
            Stage::Head if self.buffer.is_empty() => Ok(None),
            _ => Err(HttpError::UnexpectedEnd),
        }
    }

    /// Decodes the next head from the buffer and selects the framing of its body.
    fn read_head(&mut self) -> Result<HeadProgress, HttpError> {
        // Empty lines before a request are ignored (RFC 9112, section 2.2), and likewise before a response.
        let blank_bytes = self.buffer.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.buffer.drain(..blank_bytes);
        if self.buffer.is_empty() {
            self.message_started_at = None;
            return Ok(HeadProgress::Incomplete);
        }
        let head_bytes = &self.buffer[..self.buffer.len().min(self.limits.max_head_bytes)];
        let mut fields = vec![httparse::EMPTY_HEADER; self.limits.max_header_fields];
        let to_http_error = |error: httparse::Error| match error {
            httparse::Error::TooManyHeaders => {
                HttpError::LimitExceeded("number of header fields", self.limits.max_header_fields)
            }
            other => HttpError::MalformedHead(other.to_string()),
        };
        let (start_line, minor_version, length, headers) = if self.is_server {
            let mut head = httparse::Request::new(&mut fields);
            let status = head.parse(head_bytes).map_err(to_http_error)?;
            let httparse::Status::Complete(length) = status else { return self.incomplete_head() };
            let start_line = StartLine::Request {
                method: head.method.unwrap_or_default().to_owned(),
                target: head.path.unwrap_or_default().to_owned(),
            };
            (start_line, head.version.unwrap_or(0), length, to_headers(head.headers))
        } else {
            let mut head = httparse::Response::new(&mut fields);
            let status = head.parse(head_bytes).map_err(to_http_error)?;
            let httparse::Status::Complete(length) = status else { return self.incomplete_head() };
            let start_line = StartLine::Response { status: head.code.unwrap_or(0) };
            (start_line, head.version.unwrap_or(0), length, to_headers(head.headers))
        };
        self.buffer.drain(..length);
        if let StartLine::Response { status: status @ 200.. } = start_line {
            self.head = Some((status, headers.clone()));
        }
        let framing = body_framing(&start_line, minor_version, &headers)?;
        if let BodyFraming::Length(length) = framing {
            if length > self.limits.max_body_bytes {
                return Err(HttpError::LimitExceeded("body", self.limits.max_body_bytes));
            }
        }
        // Interim responses are skipped; the final response follows (RFC 9110, section 15.2).
        if matches!(start_line, StartLine::Response { status: 100..=199 }) {
            return Ok(HeadProgress::Complete);
        }
        let keep_alive = framing != BodyFraming::UntilClose
            && !headers.has_token("connection", "close")
            && (minor_version == 1 || headers.has_token("connection", "keep-alive"));
        let expects_continue = self.is_server
            && headers.has_token("expect", "100-continue")
            && self.buffer.is_empty()
            && framing != BodyFraming::Length(0);
        let message = Message { start_line, headers, body: Vec::new(), keep_alive };
        self.stage = Stage::Body { message, framing, skipped: SkippedBody::default() };
        Ok(if expects_continue { HeadProgress::ExpectsContinue } else { HeadProgress::Complete })
    }

    fn incomplete_head(&self) -> Result<HeadProgress, HttpError> {
        if self.buffer.len() < self.limits.max_head_bytes {
            Ok(HeadProgress::Incomplete)
        } else {
            Err(HttpError::LimitExceeded("head", self.limits.max_head_bytes))
        }
    }

    /// Drops what has arrived of a body. Returns the message, without a body, once it is complete.
    fn skip_body(&mut self) -> Result<Option<Message>, HttpError> {
        let Stage::Body { framing, skipped, .. } = &mut self.stage else { return Ok(None) };
        let is_complete = match *framing {
            BodyFraming::Length(length) => {
                let arrived = (length - skipped.bytes).min(self.buffer.len());
                self.buffer.drain(..arrived);
                skipped.bytes += arrived;
                skipped.bytes == length
            }
            BodyFraming::UntilClose => {
                skipped.bytes += std::mem::take(&mut self.buffer).len();
                if skipped.bytes > self.limits.max_body_bytes {
                    return Err(HttpError::LimitExceeded("body", self.limits.max_body_bytes));
                }
                false
            }
            BodyFraming::Chunked => skipped.chunks.skip(&mut self.buffer, &self.limits)?,
        };
        self.buffer.shrink_to_fit();
        if !is_complete {
            return Ok(None);
        }
        match std::mem::replace(&mut self.stage, Stage::Head) {
            Stage::Body { message, .. } => Ok(Some(message)),
            Stage::Head => Ok(None),
        }
    }

    fn read_body(&mut self) -> Result<Option<Message>, HttpError> {
        if !self.keeps_bodies {
            return self.skip_body();
        }
        let Stage::Body { message, framing, .. } = &mut self.stage else { return Ok(None) };
        let body = match *framing {
            BodyFraming::Length(length) if self.buffer.len() < length => return Ok(None),
            BodyFraming::Length(length) => {
                let rest = self.buffer.split_off(length);
                std::mem::replace(&mut self.buffer, rest)
            }
            BodyFraming::UntilClose if self.buffer.len() > self.limits.max_body_bytes => {
                return Err(HttpError::LimitExceeded("body", self.limits.max_body_bytes))
            }
            BodyFraming::UntilClose => return Ok(None),
            BodyFraming::Chunked => {
                let is_complete = read_chunks(&mut self.buffer, &mut message.body, &self.limits)?;
                if !is_complete {
                    return Ok(None);
                }
                std::mem::take(&mut message.body)
            }
        };
        let Stage::Body { mut message, .. } = std::mem::replace(&mut self.stage, Stage::Head) else {
            return Ok(None);
        };
        message.body = body;
        Ok(Some(message))
    }
}

fn to_headers(fields: &[httparse::Header]) -> Headers {
    let mut headers = Headers::new();
    for field in fields {
        headers.add(field.name, String::from_utf8_lossy(field.value));
    }
    headers
}
