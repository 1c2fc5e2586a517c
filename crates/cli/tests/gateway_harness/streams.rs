//! Reads what the gateway sends on a connection, with time limits.

use std::io::{Error, ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Reads one HTTP request with its body; fails if the connection ends or times out first.
pub fn read_request(stream: &mut TcpStream) -> String {
    next_request(stream).expect("no request arrived in time")
}

/// Reads one HTTP request with its body; `None` if the connection ends or a read times out first.
pub fn next_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = read_within_timeout(stream, &mut buffer).ok().filter(|count| *count > 0)?;
        text.extend_from_slice(&buffer[..count]);
        let Some(end) = text.windows(4).position(|window| window == b"\r\n\r\n") else { continue };
        let read = String::from_utf8_lossy(&text).into_owned();
        let length = read.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        if text.len() - end - 4 >= length.map_or(0, |length| length.trim().parse().unwrap()) {
            return Some(read);
        }
    }
}

/// Reads once, at most for the stream's read timeout. On Linux, a read with a timeout fails with `Interrupted` after the
/// process was stopped and continued, even without a signal handler; it is tried again in the time that remains.
fn read_within_timeout(stream: &mut TcpStream, buffer: &mut [u8]) -> Result<usize, Error> {
    let timeout = stream.read_timeout()?;
    let started = Instant::now();
    let result = loop {
        match stream.read(buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => break result,
        }
        let Some(timeout) = timeout else { continue };
        let remaining = timeout.saturating_sub(started.elapsed());
        if remaining.is_zero() {
            break Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(remaining.max(Duration::from_millis(1))))?;
    };
    stream.set_read_timeout(timeout)?;
    result
}

/// Waits until bytes have arrived or the connection has ended, at most until `end`, and returns the bytes without consuming
/// them, or `closed`. A peek that returns after `end` does not count: its bytes may have arrived too late.
pub fn received_before(stream: &TcpStream, end: Instant) -> String {
    let mut buffer = [0; 4096];
    loop {
        let remaining = end.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return String::new();
        }
        stream.set_read_timeout(Some(remaining.max(Duration::from_millis(1)))).unwrap();
        match stream.peek(&mut buffer) {
            _ if Instant::now() >= end => {}
            Ok(0) => return "closed".into(),
            Ok(count) => return String::from_utf8_lossy(&buffer[..count]).into_owned(),
            Err(_) => {}
        }
    }
}

/// Reads everything that arrives until `end` or until the connection ends.
pub fn read_until(stream: &mut TcpStream, end: Instant) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let remaining = end.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return String::from_utf8_lossy(&text).into_owned();
        }
        stream.set_read_timeout(Some(remaining.max(Duration::from_millis(1)))).unwrap();
        match stream.read(&mut buffer) {
            Ok(0) => return String::from_utf8_lossy(&text).into_owned(),
            Ok(count) => text.extend_from_slice(&buffer[..count]),
            Err(_) => {}
        }
    }
}
