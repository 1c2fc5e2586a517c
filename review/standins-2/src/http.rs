//! Just enough of HTTP/1.1 for the stand-ins.

use std::io::{Read, Result};
use std::net::TcpStream;

pub struct Request {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// Reads requests from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Reader { stream, buffer: Vec::new() }
    }

    /// The next request; none if the connection has ended.
    pub fn next(&mut self) -> Result<Option<Request>> {
        let mut chunk = [0; 16384];
        loop {
            if let Some((request, length)) = parse(&self.buffer) {
                self.buffer.drain(..length);
                return Ok(Some(request));
            }
            match self.stream.read(&mut chunk)? {
                0 => return Ok(None),
                count => self.buffer.extend_from_slice(&chunk[..count]),
            }
        }
    }
}

fn parse(bytes: &[u8]) -> Option<(Request, usize)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start_line = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let request = Request { start_line, headers, body: Vec::new() };
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    let total = end + 4 + length;
    let body = bytes.get(end + 4..total)?.to_vec();
    Some((Request { body, ..request }, total))
}

pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
