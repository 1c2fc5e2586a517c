//! HTTP/1.1 framing for clients and servers (RFC 9112) without I/O: the caller passes received bytes and the time and
//! gets complete messages.
//!
//! The crate opens no sockets and reads no clock. Conflicting body lengths are an error, because a message whose end
//! two programs determine differently can smuggle a second one (RFC 9112, section 11.2).
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

/// Time without a byte after a response before the next request on its connection. A response names no request, so a second
/// copy of it would be taken for the response to the next one. A process may be held up for 0.15 s between the two.
pub const RESPONSE_QUIET_PERIOD: std::time::Duration = std::time::Duration::from_millis(160);

/// Returns the socket address and the path of an `http://` URL with an IP address and a port, such as
/// `http://127.0.0.1:80/as2`; without a path it is `/`. Returns `None` for any other URL: host names are not resolved.
pub fn parse_http_url(url: &str) -> Option<(std::net::SocketAddr, String)> {
    let rest = url.strip_prefix("http://")?;
    let (host, path) = match rest.find('/') {
        Some(slash) => rest.split_at(slash),
        None => (rest, "/"),
    };
    Some((host.parse().ok()?, path.to_owned()))
}
