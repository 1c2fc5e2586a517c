//! Messages to bytes.

use crate::Headers;

/// Interim answer that lets a client send its body (RFC 9110, section 15.2.1).
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

fn finish(start: String, headers: &Headers, extra: &str, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(start.len() + body.len() + 512);
    out.extend_from_slice(start.as_bytes());
    for (name, value) in headers.iter() {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(extra.as_bytes());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// A request with its length told.
pub fn request(method: &str, target: &str, headers: &Headers, body: &[u8]) -> Vec<u8> {
    let length = format!("Content-Length: {}\r\n", body.len());
    finish(format!("{method} {target} HTTP/1.1\r\n"), headers, &length, body)
}

/// A request in chunks of at most `chunk` bytes, as clients send it that don't know the length ahead.
pub fn chunked_request(method: &str, target: &str, headers: &Headers, body: &[u8], chunk: usize) -> Vec<u8> {
    let mut coded = Vec::with_capacity(body.len() + 64);
    for part in body.chunks(chunk.max(1)) {
        coded.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        coded.extend_from_slice(part);
        coded.extend_from_slice(b"\r\n");
    }
    coded.extend_from_slice(b"0\r\n\r\n");
    finish(format!("{method} {target} HTTP/1.1\r\n"), headers, "Transfer-Encoding: chunked\r\n", &coded)
}

/// An answer with its length told; 204 and 304 carry none (RFC 9110, section 8.6).
pub fn response(status: u16, reason: &str, headers: &Headers, body: &[u8]) -> Vec<u8> {
    let length = match status {
        204 | 304 => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    finish(format!("HTTP/1.1 {status} {reason}\r\n"), headers, &length, body)
}
