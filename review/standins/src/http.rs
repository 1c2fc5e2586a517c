//! The part of HTTP/1.1 that the stand-ins need, and a server with one thread for each connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request, with the time of its first and of its last byte since the start of the run.
pub struct Request {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub first_byte: Duration,
    pub last_byte: Duration,
}

impl Request {
    /// Value of a header field, whose name is given in lower case.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    now: &dyn Fn() -> Duration,
) -> io::Result<Option<Request>> {
    let mut first_byte = (!buffer.is_empty()).then(now);
    loop {
        if let Some(head_end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
            let mut lines = head.split("\r\n");
            let line = lines.next().unwrap_or_default().to_owned();
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length = headers.iter().find(|(name, _)| name == "content-length");
            let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
            let end = head_end + 4 + length;
            if buffer.len() >= end {
                let body = buffer[head_end + 4..end].to_vec();
                buffer.drain(..end);
                let last_byte = now();
                let first_byte = first_byte.unwrap_or(last_byte);
                return Ok(Some(Request { line, headers, body, first_byte, last_byte }));
            }
        }
        let mut chunk = [0; 16384];
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        first_byte.get_or_insert_with(now);
        buffer.extend_from_slice(&chunk[..count]);
    }
}

/// Writes a response with a body.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length =
        if status.starts_with("204") { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    stream.write_all(format!("HTTP/1.1 {status}\r\n{headers}{length}\r\n{body}").as_bytes())
}

/// Listens on a free port of 127.0.0.1 and serves each connection in a thread of its own.
pub fn serve(
    handler: impl Fn(&mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    serve_on(TcpListener::bind("127.0.0.1:0")?, handler)
}

/// Serves the connections of a listener.
pub fn serve_on(
    listener: TcpListener,
    handler: impl Fn(&mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = handler(&mut stream);
            });
        }
    });
    Ok(address)
}
