//! Encoding of messages.

use crate::Headers;

/// The interim response that lets a client send its body (RFC 9110, section 15.2.1).
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

fn encode(start_line: &str, headers: &Headers, framing_fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(start_line.len() + body.len() + 512);
    out.extend_from_slice(start_line.as_bytes());
    for (name, value) in headers.iter() {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(framing_fields.as_bytes());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// Encodes a request with `Content-Length`.
pub fn encode_request(method: &str, target: &str, headers: &Headers, body: &[u8]) -> Vec<u8> {
    let length = format!("Content-Length: {}\r\n", body.len());
    encode(&format!("{method} {target} HTTP/1.1\r\n"), headers, &length, body)
}

/// Encodes a request in chunks of at most `chunk` bytes, as sent by clients that don't know the length ahead.
pub fn encode_chunked_request(
    method: &str,
    target: &str,
    headers: &Headers,
    body: &[u8],
    chunk: usize,
) -> Vec<u8> {
    let mut coded = Vec::with_capacity(body.len() + 64);
    for part in body.chunks(chunk.max(1)) {
        coded.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        coded.extend_from_slice(part);
        coded.extend_from_slice(b"\r\n");
    }
    coded.extend_from_slice(b"0\r\n\r\n");
    encode(&format!("{method} {target} HTTP/1.1\r\n"), headers, "Transfer-Encoding: chunked\r\n", &coded)
}

/// Encodes a response with `Content-Length`; 204 and 304 carry none (RFC 9110, section 8.6).
pub fn encode_response(status: u16, reason: &str, headers: &Headers, body: &[u8]) -> Vec<u8> {
    let length = match status {
        204 | 304 => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    encode(&format!("HTTP/1.1 {status} {reason}\r\n"), headers, &length, body)
}
