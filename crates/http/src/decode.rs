//! Bytes to messages.

use crate::Headers;
use std::time::Duration;
use thiserror::Error;

/// What one peer may make us hold, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a start line with its fields.
    pub max_head_bytes: usize,
    /// Fields of a head.
    pub max_fields: usize,
    /// Bytes of a body.
    pub max_body_bytes: usize,
    /// From a message's first byte to the end of its head.
    pub head_time: Duration,
    /// From a message's first byte to its last.
    pub message_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_head_bytes: 32 << 10,
            max_fields: 100,
            max_body_bytes: 16 << 20,
            head_time: Duration::from_secs(10),
            message_time: Duration::from_secs(60),
        }
    }
}

/// Why a peer's bytes were refused. The connection can't be used any further.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// Not HTTP/1.x.
    #[error("malformed head: {0}")]
    MalformedHead(String),
    /// Over a limit; the second figure is what is allowed.
    #[error("{0} is over the limit of {1}")]
    LimitExceeded(&'static str, usize),
    /// Two lengths that disagree, or one that can't be read: a second message may hide in the body.
    #[error("body length: {0}")]
    InvalidLength(&'static str),
    /// A chunk that is not to the letter (RFC 9112, section 7.1).
    #[error("malformed chunk: {0}")]
    MalformedChunk(&'static str),
    /// The connection ended inside a message.
    #[error("the connection ended inside a message")]
    UnexpectedEnd,
    /// A message took longer than is allowed.
    #[error("{0} took longer than {1:?}")]
    TimedOut(&'static str, Duration),
}

/// A start line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Of a request.
    Request {
        /// Such as `POST`.
        method: String,
        /// Such as `/as2`.
        target: String,
    },
    /// Of an answer.
    Response {
        /// Such as 200.
        status: u16,
    },
}

/// A whole message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its start line.
    pub start: Start,
    /// Its fields.
    pub headers: Headers,
    /// Its body, chunks joined.
    pub body: Vec<u8>,
    /// The connection may carry another one afterwards.
    pub keep_alive: bool,
}

/// What has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// The client waits for [`crate::CONTINUE`] before it sends its body.
    ExpectsContinue,
    /// A message is complete.
    Message(Message),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Body {
    Length(usize),
    Chunked,
    /// An answer without a length ends with its connection.
    ToEnd,
}

enum Stage {
    Head,
    Body { message: Message, kind: Body },
}

/// Reads one peer's bytes. Holds at most a head and a body of the permitted size.
pub struct Decoder {
    server: bool,
    limits: Limits,
    buffer: Vec<u8>,
    stage: Stage,
    began: Option<Duration>,
    /// Status and fields of the answer being read, once its head is whole.
    head: Option<(u16, Headers)>,
}

impl Decoder {
    /// Reads requests.
    pub fn server(limits: Limits) -> Self {
        Decoder { server: true, limits, buffer: Vec::new(), stage: Stage::Head, began: None, head: None }
    }

    /// Reads answers to requests other than HEAD.
    pub fn client(limits: Limits) -> Self {
        Decoder { server: false, ..Decoder::server(limits) }
    }

    /// Takes bytes as they came. `now` counts from any fixed start.
    pub fn feed(&mut self, now: Duration, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.began.get_or_insert(now);
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Bytes held.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The status that the answer being read begins with, as soon as its first line is there, whatever the rest of
    /// it is like; interim answers are passed over.
    pub fn status(&self) -> Option<u16> {
        self.head.as_ref().map(|(status, _)| *status).or_else(|| {
            let line = self.buffer.strip_prefix(b"HTTP/1.").filter(|_| !self.server)?;
            let digits = line.get(2..5).filter(|_| line[0].is_ascii_digit() && line[1] == b' ')?;
            let ended =
                matches!(line.get(5), Some(b' ' | b'\r' | b'\n')) && digits.iter().all(u8::is_ascii_digit);
            let status = std::str::from_utf8(digits).ok()?.parse().ok()?;
            (ended && status >= 200).then_some(status)
        })
    }

    /// Status and fields of the answer being read, as soon as its head is whole: they stand, whatever its body is like.
    pub fn head(&self) -> Option<(u16, &Headers)> {
        self.head.as_ref().map(|(status, headers)| (*status, headers))
    }

    /// When the message being read runs out of time, if one is.
    pub fn deadline(&self) -> Option<Duration> {
        let span = match self.stage {
            Stage::Head => self.limits.head_time,
            Stage::Body { .. } => self.limits.message_time,
        };
        self.began.map(|began| began.saturating_add(span))
    }

    /// An error once the message being read has run out of time: a byte every few seconds is no message.
    pub fn check_deadline(&self, now: Duration) -> Result<(), HttpError> {
        match self.deadline() {
            Some(due) if now >= due => Err(match self.stage {
                Stage::Head => HttpError::TimedOut("head", self.limits.head_time),
                Stage::Body { .. } => HttpError::TimedOut("message", self.limits.message_time),
            }),
            _ => Ok(()),
        }
    }

    /// What comes next, if it is all there. Call again until there is nothing.
    pub fn next(&mut self, now: Duration) -> Result<Option<Item>, HttpError> {
        loop {
            match &self.stage {
                Stage::Head => match self.read_head()? {
                    None => return Ok(None),
                    Some(true) => return Ok(Some(Item::ExpectsContinue)),
                    Some(false) => {}
                },
                Stage::Body { .. } => {
                    let Some(message) = self.read_body()? else { return Ok(None) };
                    self.began = (!self.buffer.is_empty()).then_some(now);
                    self.head = None;
                    return Ok(Some(Item::Message(message)));
                }
            }
        }
    }

    /// The peer has closed: the answer that was to last until then, if one was being read.
    pub fn on_connection_end(&mut self) -> Result<Option<Message>, HttpError> {
        match std::mem::replace(&mut self.stage, Stage::Head) {
            Stage::Body { mut message, kind: Body::ToEnd, .. } => {
                message.body = std::mem::take(&mut self.buffer);
                message.keep_alive = false;
                self.began = None;
                Ok(Some(message))
            }
            Stage::Head if self.buffer.is_empty() => Ok(None),
            _ => Err(HttpError::UnexpectedEnd),
        }
    }

    /// Reads a head, if it is whole; tells whether the client waits for leave to go on.
    fn read_head(&mut self) -> Result<Option<bool>, HttpError> {
        // Empty lines before a request are passed over (RFC 9112, section 2.2).
        let blank = self.buffer.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.buffer.drain(..blank);
        if self.buffer.is_empty() {
            self.began = None;
            return Ok(None);
        }
        let window = &self.buffer[..self.buffer.len().min(self.limits.max_head_bytes)];
        let mut fields = vec![httparse::EMPTY_HEADER; self.limits.max_fields];
        let malformed = |error: httparse::Error| match error {
            httparse::Error::TooManyHeaders => {
                HttpError::LimitExceeded("number of header fields", self.limits.max_fields)
            }
            other => HttpError::MalformedHead(other.to_string()),
        };
        let (start, minor, length, headers) = if self.server {
            let mut head = httparse::Request::new(&mut fields);
            let status = head.parse(window).map_err(malformed)?;
            let httparse::Status::Complete(length) = status else { return self.no_head_yet() };
            let start = Start::Request {
                method: head.method.unwrap_or_default().to_owned(),
                target: head.path.unwrap_or_default().to_owned(),
            };
            (start, head.version.unwrap_or(0), length, collect(head.headers))
        } else {
            let mut head = httparse::Response::new(&mut fields);
            let status = head.parse(window).map_err(malformed)?;
            let httparse::Status::Complete(length) = status else { return self.no_head_yet() };
            let start = Start::Response { status: head.code.unwrap_or(0) };
            (start, head.version.unwrap_or(0), length, collect(head.headers))
        };
        self.buffer.drain(..length);
        if let Start::Response { status: status @ 200.. } = start {
            self.head = Some((status, headers.clone()));
        }
        let kind = body_kind(&start, minor, &headers)?;
        if let Body::Length(length) = kind {
            if length > self.limits.max_body_bytes {
                return Err(HttpError::LimitExceeded("body", self.limits.max_body_bytes));
            }
        }
        // Interim answers tell nothing here (RFC 9110, section 15.2).
        if matches!(start, Start::Response { status: 100..=199 }) {
            return Ok(Some(false));
        }
        let keep_alive = kind != Body::ToEnd
            && !headers.lists("connection", "close")
            && (minor == 1 || headers.lists("connection", "keep-alive"));
        let waits = self.server
            && headers.lists("expect", "100-continue")
            && self.buffer.is_empty()
            && kind != Body::Length(0);
        let message = Message { start, headers, body: Vec::new(), keep_alive };
        self.stage = Stage::Body { message, kind };
        Ok(Some(waits))
    }

    fn no_head_yet(&self) -> Result<Option<bool>, HttpError> {
        match self.buffer.len() < self.limits.max_head_bytes {
            true => Ok(None),
            false => Err(HttpError::LimitExceeded("head", self.limits.max_head_bytes)),
        }
    }

    fn read_body(&mut self) -> Result<Option<Message>, HttpError> {
        let Stage::Body { message, kind } = &mut self.stage else { return Ok(None) };
        let body = match *kind {
            Body::Length(length) if self.buffer.len() < length => return Ok(None),
            Body::Length(length) => {
                let rest = self.buffer.split_off(length);
                std::mem::replace(&mut self.buffer, rest)
            }
            Body::ToEnd if self.buffer.len() > self.limits.max_body_bytes => {
                return Err(HttpError::LimitExceeded("body", self.limits.max_body_bytes))
            }
            Body::ToEnd => return Ok(None),
            Body::Chunked => {
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

/// How a body's end is told (RFC 9112, section 6.3).
fn body_kind(start: &Start, minor: u8, headers: &Headers) -> Result<Body, HttpError> {
    let codings: Vec<&str> =
        headers.all("transfer-encoding").flat_map(|v| v.split(',')).map(str::trim).collect();
    let mut lengths = headers.all("content-length").flat_map(|v| v.split(',')).map(str::trim);
    let length = lengths.next();
    // Guards against request smuggling: two programs that each believe another length cut differently.
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
            [only] if only.eq_ignore_ascii_case("chunked") => Ok(Body::Chunked),
            _ => Err(HttpError::InvalidLength("a Transfer-Encoding other than chunked")),
        };
    }
    let bodiless = matches!(start, Start::Response { status: 100..=199 | 204 | 304 });
    match (length, start) {
        _ if bodiless => Ok(Body::Length(0)),
        (Some(digits), _) => {
            let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            let value = digits.parse().ok().filter(|_| plain);
            value.map(Body::Length).ok_or(HttpError::InvalidLength("a Content-Length that is no number"))
        }
        (None, Start::Request { .. }) => Ok(Body::Length(0)),
        (None, Start::Response { .. }) => Ok(Body::ToEnd),
    }
}

/// Longest size line of a chunk; extensions are passed over, not collected.
const CHUNK_LINE: usize = 256;

/// Takes whole chunks out of the buffer; true after the last one.
fn read_chunks(buffer: &mut Vec<u8>, body: &mut Vec<u8>, limits: &Limits) -> Result<bool, HttpError> {
    let mut at = 0;
    let done = loop {
        let Some(line) = line_at(&buffer[at..], CHUNK_LINE)? else { break false };
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

/// The line that the bytes begin with, without its end; none if it is not whole yet.
fn line_at(bytes: &[u8], most: usize) -> Result<Option<&[u8]>, HttpError> {
    match bytes.iter().take(most).position(|b| *b == b'\n') {
        Some(end) if end > 0 && bytes[end - 1] == b'\r' => Ok(Some(&bytes[..end - 1])),
        Some(_) => Err(HttpError::MalformedChunk("a line that ends without CR")),
        None if bytes.len() >= most => Err(HttpError::LimitExceeded("chunk line", most)),
        None => Ok(None),
    }
}

/// Where the trailer fields end; they are passed over.
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
