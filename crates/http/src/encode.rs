//! Encoding of requests and responses.

use crate::Headers;

/// Interim response that tells a client to send its body (RFC 9110, section 15.2.1).
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

/// Encodes a request with chunked transfer coding, as clients send it that don't know the body length in advance. Each
/// chunk holds at most `chunk_bytes` bytes; 0 counts as 1.
pub fn encode_chunked_request(
    method: &str,
    target: &str,
    headers: &Headers,
    body: &[u8],
    chunk_bytes: usize,
) -> Vec<u8> {
    let mut chunked_body = Vec::with_capacity(body.len() + 64);
    for data in body.chunks(chunk_bytes.max(1)) {
        chunked_body.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        chunked_body.extend_from_slice(data);
        chunked_body.extend_from_slice(b"\r\n");
    }
    chunked_body.extend_from_slice(b"0\r\n\r\n");
    encode(
        &format!("{method} {target} HTTP/1.1\r\n"),
        headers,
        "Transfer-Encoding: chunked\r\n",
        &chunked_body,
    )
}

/// Encodes a response with `Content-Length`, which is omitted for 204 and 304 (RFC 9110, section 8.6).
pub fn encode_response(status: u16, reason: &str, headers: &Headers, body: &[u8]) -> Vec<u8> {
    let length = match status {
        204 | 304 => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    encode(&format!("HTTP/1.1 {status} {reason}\r\n"), headers, &length, body)
}
