//! Reading what the gateway sends on a connection.

use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Reads a whole HTTP request, to the end of its body.
pub fn read_request(stream: &mut TcpStream) -> String {
    next_request(stream).expect("a request in time")
}

/// Reads a whole HTTP request; none where the connection ends or nothing arrives in time.
pub fn next_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        text.extend_from_slice(&buffer[..count]);
        let Some(end) = text.windows(4).position(|four| four == b"\r\n\r\n") else { continue };
        let read = String::from_utf8_lossy(&text).into_owned();
        let length = read.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        if text.len() - end - 4 >= length.map_or(0, |length| length.trim().parse().unwrap()) {
            return Some(read);
        }
    }
}

/// What has arrived before a moment, which it waits for; it stays to be read. Guards against a read that returns late and
/// counts what arrived after that moment.
pub fn received_before(stream: &TcpStream, end: Instant) -> String {
    let mut buffer = [0; 4096];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return String::new();
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).unwrap();
        match stream.peek(&mut buffer) {
            _ if Instant::now() >= end => {}
            Ok(0) => return "closed".into(),
            Ok(count) => return String::from_utf8_lossy(&buffer[..count]).into_owned(),
            Err(_) => {}
        }
    }
}

/// All that arrives until a moment, or until the connection ends.
pub fn read_until(stream: &mut TcpStream, end: Instant) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return String::from_utf8_lossy(&text).into_owned();
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).unwrap();
        match stream.read(&mut buffer) {
            Ok(0) => return String::from_utf8_lossy(&text).into_owned(),
            Ok(count) => text.extend_from_slice(&buffer[..count]),
            Err(_) => {}
        }
    }
}
