//! RESP2 framing for servers: decodes commands (arrays of bulk strings) and encodes simple string and error replies.
//!
//! The decoder checks declared counts and lengths against its [`Limits`] before it buffers the declared bytes: a bulk
//! string of 60 MB is an error as soon as its length has been read. The crate does no I/O, reads no clock and does not
//! interpret commands.
#![forbid(unsafe_code)]

mod decode;
mod encode;

pub use decode::{Command, Decoder, Limits, RespError};
pub use encode::{encode_command, encode_error, encode_simple_string};
