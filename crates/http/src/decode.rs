//! Incremental decoding of messages.

use crate::body::{body_kind, read_chunks, BodyKind};
use crate::message::{DecodedItem, HttpError, Limits, Message, StartLine};
use crate::Headers;
use std::time::Duration;

/// How far the reading of a head has come.
enum HeadProgress {
    /// More bytes are needed.
    Incomplete,
    /// The head is whole.
    Complete,
    /// The head is whole, and the client waits for [`crate::CONTINUE`].
    ExpectsContinue,
}

enum Stage {
    Head,
    Body { message: Message, kind: BodyKind },
}

/// An incremental decoder of one peer's messages. Buffers at most a head and a body of the allowed size.
pub struct Decoder {
    is_server: bool,
    limits: Limits,
    buffer: Vec<u8>,
    stage: Stage,
    /// When the first byte of the present message came.
    message_since: Option<Duration>,
    /// Status and header fields of the response being read, once its head is whole.
    head: Option<(u16, Headers)>,
}

impl Decoder {
    /// A decoder of requests.
    pub fn server(limits: Limits) -> Self {
        Decoder {
            is_server: true,
            limits,
            buffer: Vec::new(),
            stage: Stage::Head,
            message_since: None,
            head: None,
        }
    }

    /// A decoder of responses to requests other than HEAD.
    pub fn client(limits: Limits) -> Self {
        Decoder { is_server: false, ..Decoder::server(limits) }
    }

    /// Appends received bytes. `now` counts from any fixed start.
    pub fn feed(&mut self, now: Duration, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.message_since.get_or_insert(now);
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Received bytes that are not decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Status of the response being read, as soon as its start line is there to its end, whatever the rest is like;
    /// interim responses are ignored.
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

    /// Status and header fields of the response being read, as soon as its head is whole, whatever its body is like.
    pub fn head(&self) -> Option<(u16, &Headers)> {
        self.head.as_ref().map(|(status, headers)| (*status, headers))
    }

    /// When the message being read times out, if there is one.
    pub fn deadline(&self) -> Option<Duration> {
        let span = match self.stage {
            Stage::Head => self.limits.head_timeout,
            Stage::Body { .. } => self.limits.message_timeout,
        };
        self.message_since.map(|began| began.saturating_add(span))
    }

    /// Checks the time of the message being read; guards against peers that send a byte every few seconds.
    ///
    /// # Errors
    ///
    /// [`HttpError::TimedOut`] from its deadline on.
    pub fn check_deadline(&self, now: Duration) -> Result<(), HttpError> {
        match self.deadline() {
            Some(deadline) if now >= deadline => Err(match self.stage {
                Stage::Head => HttpError::TimedOut("head", self.limits.head_timeout),
                Stage::Body { .. } => HttpError::TimedOut("message", self.limits.message_timeout),
            }),
            _ => Ok(()),
        }
    }

    /// Decodes the next item, if it is whole. Call again until there is none.
    ///
    /// # Errors
    ///
    /// If the bytes are not HTTP/1.x or go over a limit.
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
                    self.message_since = (!self.buffer.is_empty()).then_some(now);
                    self.head = None;
                    return Ok(Some(DecodedItem::Message(message)));
                }
            }
        }
    }

    /// Ends decoding as the peer has closed: returns the response that lasts until then, if one was being read.
    ///
    /// # Errors
    ///
    /// [`HttpError::UnexpectedEnd`] inside any other message.
    pub fn on_connection_end(&mut self) -> Result<Option<Message>, HttpError> {
        match std::mem::replace(&mut self.stage, Stage::Head) {
            Stage::Body { mut message, kind: BodyKind::ToEnd, .. } => {
                message.body = std::mem::take(&mut self.buffer);
                message.keep_alive = false;
                self.message_since = None;
                Ok(Some(message))
            }
            Stage::Head if self.buffer.is_empty() => Ok(None),
            _ => Err(HttpError::UnexpectedEnd),
        }
    }

    /// Reads a head.
    fn read_head(&mut self) -> Result<HeadProgress, HttpError> {
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        let blank = self.buffer.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.buffer.drain(..blank);
        if self.buffer.is_empty() {
            self.message_since = None;
            return Ok(HeadProgress::Incomplete);
        }
        let window = &self.buffer[..self.buffer.len().min(self.limits.max_head_bytes)];
        let mut fields = vec![httparse::EMPTY_HEADER; self.limits.max_header_fields];
        let malformed = |error: httparse::Error| match error {
            httparse::Error::TooManyHeaders => {
                HttpError::LimitExceeded("number of header fields", self.limits.max_header_fields)
            }
            other => HttpError::MalformedHead(other.to_string()),
        };
        let (start_line, minor, length, headers) = if self.is_server {
            let mut head = httparse::Request::new(&mut fields);
            let status = head.parse(window).map_err(malformed)?;
            let httparse::Status::Complete(length) = status else { return self.incomplete_head() };
            let start_line = StartLine::Request {
                method: head.method.unwrap_or_default().to_owned(),
                target: head.path.unwrap_or_default().to_owned(),
            };
            (start_line, head.version.unwrap_or(0), length, collect(head.headers))
        } else {
            let mut head = httparse::Response::new(&mut fields);
            let status = head.parse(window).map_err(malformed)?;
            let httparse::Status::Complete(length) = status else { return self.incomplete_head() };
            let start_line = StartLine::Response { status: head.code.unwrap_or(0) };
            (start_line, head.version.unwrap_or(0), length, collect(head.headers))
        };
        self.buffer.drain(..length);
        if let StartLine::Response { status: status @ 200.. } = start_line {
            self.head = Some((status, headers.clone()));
        }
        let kind = body_kind(&start_line, minor, &headers)?;
        if let BodyKind::Length(length) = kind {
            if length > self.limits.max_body_bytes {
                return Err(HttpError::LimitExceeded("body", self.limits.max_body_bytes));
            }
        }
        // Interim responses carry nothing of use here (RFC 9110, section 15.2).
        if matches!(start_line, StartLine::Response { status: 100..=199 }) {
            return Ok(HeadProgress::Complete);
        }
        let keep_alive = kind != BodyKind::ToEnd
            && !headers.has_token("connection", "close")
            && (minor == 1 || headers.has_token("connection", "keep-alive"));
        let expects_continue = self.is_server
            && headers.has_token("expect", "100-continue")
            && self.buffer.is_empty()
            && kind != BodyKind::Length(0);
        let message = Message { start_line, headers, body: Vec::new(), keep_alive };
        self.stage = Stage::Body { message, kind };
        Ok(if expects_continue { HeadProgress::ExpectsContinue } else { HeadProgress::Complete })
    }

    fn incomplete_head(&self) -> Result<HeadProgress, HttpError> {
        if self.buffer.len() < self.limits.max_head_bytes {
            Ok(HeadProgress::Incomplete)
        } else {
            Err(HttpError::LimitExceeded("head", self.limits.max_head_bytes))
        }
    }

    fn read_body(&mut self) -> Result<Option<Message>, HttpError> {
        let Stage::Body { message, kind } = &mut self.stage else { return Ok(None) };
        let body = match *kind {
            BodyKind::Length(length) if self.buffer.len() < length => return Ok(None),
            BodyKind::Length(length) => {
                let rest = self.buffer.split_off(length);
                std::mem::replace(&mut self.buffer, rest)
            }
            BodyKind::ToEnd if self.buffer.len() > self.limits.max_body_bytes => {
                return Err(HttpError::LimitExceeded("body", self.limits.max_body_bytes))
            }
            BodyKind::ToEnd => return Ok(None),
            BodyKind::Chunked => {
                let whole = read_chunks(&mut self.buffer, &mut message.body, &self.limits)?;
                if !whole {
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

fn collect(fields: &[httparse::Header]) -> Headers {
    let mut headers = Headers::new();
    for field in fields {
        headers.add(field.name, String::from_utf8_lossy(field.value));
    }
    headers
}
