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

/// Address and path of a plain `http://` URL whose host is a numeric address, such as `http://127.0.0.1:80/as2`.
/// Names are not looked up.
pub fn read_url(url: &str) -> Option<(std::net::SocketAddr, String)> {
    let rest = url.strip_prefix("http://")?;
    let (host, path) = match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    };
    Some((host.parse().ok()?, path.to_owned()))
}
