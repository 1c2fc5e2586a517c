//! HTTP/1.1 framing both ways (RFC 9112), free of I/O: bytes and the time go in, whole messages come out.
//!
//! It never opens a socket, reads a clock or guesses a length: conflicting body lengths are an error, as a message that
//! two programs split differently can smuggle a second one (RFC 9112, section 11.2).
#![forbid(unsafe_code)]

mod body;
mod decode;
mod encode;
mod headers;
mod message;

pub use decode::Decoder;
pub use encode::{encode_chunked_request, encode_request, encode_response, CONTINUE};
pub use headers::Headers;
pub use message::{DecodedItem, HttpError, Limits, Message, StartLine};

/// Address and path of a plain `http://` URL whose host is a numeric address, such as `http://127.0.0.1:80/as2`.
/// Host names are not resolved: none for any other URL.
pub fn parse_http_url(url: &str) -> Option<(std::net::SocketAddr, String)> {
    let rest = url.strip_prefix("http://")?;
    let (host, path) = match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    };
    Some((host.parse().ok()?, path.to_owned()))
}
