//! RESP2 framing for servers: commands (arrays of bulk strings) in, simple replies out. No I/O.
//!
//! The decoder checks declared counts and lengths against its [`Limits`] before it buffers the declared bytes: a value
//! of 60 MB is an error as soon as its length has been read. It never opens a socket, reads a clock or interprets a
//! command.
#![forbid(unsafe_code)]

mod decode;
mod encode;

pub use decode::{Command, Decoder, Limits, RespError};
pub use encode::{encode_command, encode_error, encode_simple_string};
