//! Decoded messages, decoder limits and errors.

use crate::Headers;
use std::time::Duration;
use thiserror::Error;

/// Limits on the size and receive time of each message from a peer.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum bytes of the head: the start line and the header fields. Also limits the trailer section of a chunked
    /// body.
    pub max_head_bytes: usize,
    /// Maximum number of header fields in a head.
    pub max_header_fields: usize,
    /// Maximum bytes of a body, without chunk framing.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a message to the end of its head.
    pub head_timeout: Duration,
    /// Maximum time from the first byte of a message to its last byte.
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

/// Reason why received bytes cannot be decoded. The connection must not be used any further.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// The start line or a header field is not valid HTTP/1.x; holds the reason.
    #[error("malformed head: {0}")]
    MalformedHead(String),
    /// A limit is exceeded; holds the limited quantity and its maximum.
    #[error("{0} is over the limit of {1}")]
    LimitExceeded(&'static str, usize),
    /// The body length is ambiguous or invalid. Rejecting it prevents request smuggling.
    #[error("body length: {0}")]
    InvalidLength(&'static str),
    /// A chunk violates RFC 9112, section 7.1.
    #[error("malformed chunk: {0}")]
    MalformedChunk(&'static str),
    /// The peer closed the connection before the message was complete.
    #[error("the connection ended inside a message")]
    UnexpectedEnd,
    /// A head or message was not complete in time; holds which one and its limit.
    #[error("{0} took longer than {1:?}")]
    TimedOut(&'static str, Duration),
}

/// Start line of a message, without the HTTP version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// Request line.
    Request {
        /// Method, such as `POST`.
        method: String,
        /// Request target as received, such as `/as2`.
        target: String,
    },
    /// Status line; the reason phrase is dropped.
    Response {
        /// Status code, such as 200.
        status: u16,
    },
}

/// A complete HTTP message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Request line or status line.
    pub start_line: StartLine,
    /// Header fields in order of appearance, without trailer fields.
    pub headers: Headers,
    /// Body without transfer coding.
    pub body: Vec<u8>,
    /// Whether the peer allows another message on the connection (RFC 9112, section 9.3).
    pub keep_alive: bool,
}

/// Result of [`crate::Decoder::next`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodedItem {
    /// The client waits for [`crate::CONTINUE`] before it sends its body. Reported at most once per request.
    ExpectsContinue,
    /// A complete message.
    Message(Message),
}
