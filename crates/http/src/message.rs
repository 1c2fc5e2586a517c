//! Decoded messages, limits and errors.

use crate::Headers;
use std::time::Duration;
use thiserror::Error;

/// Limits on the size and duration of one message of a peer.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a start line with its header fields.
    pub max_head_bytes: usize,
    /// Number of header fields.
    pub max_header_fields: usize,
    /// Bytes of a body.
    pub max_body_bytes: usize,
    /// Time from a message's first byte to the end of its head.
    pub head_timeout: Duration,
    /// Time from a message's first byte to its last.
    pub message_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_head_bytes: 32 << 10,
            max_header_fields: 100,
            max_body_bytes: 16 << 20,
            head_timeout: Duration::from_secs(10),
            message_timeout: Duration::from_secs(60),
        }
    }
}

/// An error in a peer's bytes. The connection can't be used any further.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// Not HTTP/1.x.
    #[error("malformed head: {0}")]
    MalformedHead(String),
    /// Over a limit; holds what is limited and the greatest allowed value.
    #[error("{0} is over the limit of {1}")]
    LimitExceeded(&'static str, usize),
    /// Body lengths that conflict or can't be read: guards against request smuggling.
    #[error("body length: {0}")]
    InvalidLength(&'static str),
    /// A chunk that violates RFC 9112, section 7.1.
    #[error("malformed chunk: {0}")]
    MalformedChunk(&'static str),
    /// The connection ended inside a message.
    #[error("the connection ended inside a message")]
    UnexpectedEnd,
    /// A head or message took longer than allowed.
    #[error("{0} took longer than {1:?}")]
    TimedOut(&'static str, Duration),
}

/// A start line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// Of a request.
    Request {
        /// Such as `POST`.
        method: String,
        /// Such as `/as2`.
        target: String,
    },
    /// Of a response.
    Response {
        /// Such as 200.
        status: u16,
    },
}

/// A whole HTTP message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its start line.
    pub start_line: StartLine,
    /// Its header fields.
    pub headers: Headers,
    /// Its body, chunks joined.
    pub body: Vec<u8>,
    /// Whether the connection may carry another message.
    pub keep_alive: bool,
}

/// A result of decoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodedItem {
    /// The client waits for [`crate::CONTINUE`] before it sends its body.
    ExpectsContinue,
    /// A message is complete.
    Message(Message),
}
