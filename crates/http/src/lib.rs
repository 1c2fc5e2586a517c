//! HTTP/1.1 framing both ways (RFC 9112), free of I/O: bytes and the time go in, whole messages come out.
//!
//! It never opens a socket, reads a clock or guesses at a length: two lengths that disagree are refused, as
//! a message that two programs cut differently can carry a second one unseen (RFC 9112, section 11.2).
#![forbid(unsafe_code)]

mod decode;
mod encode;
mod headers;

pub use decode::{Decoder, HttpError, Item, Limits, Message, Start};
pub use encode::{chunked_request, request, response, CONTINUE};
pub use headers::Headers;
