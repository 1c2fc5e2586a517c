//! Bytes that belong to no request: second copies of responses, and responses that nobody asked for.

use super::events::PlatformEvent;
use super::state::Shared;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Time between the two halves of a copy that is written in two parts.
const HALF_COPY_DELAY: Duration = Duration::from_millis(2);

/// A peer that writes something behind each response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepeatedResponse {
    /// Time from the last byte of a request to its response.
    pub service_time: Duration,
    /// Status of the responses: 200, or one that rejects the request.
    pub status: u16,
    /// Time from the response to what is written behind it.
    pub delay: Duration,
    /// What is written behind it.
    pub surplus: Surplus,
    /// Every `every`-th response of the endpoint is followed by it.
    pub every: u64,
}

/// What is written behind a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Surplus {
    /// The response once more.
    Copy,
    /// The response twice more.
    TwoCopies,
    /// The response once more, in two parts.
    HalvedCopy,
    /// A 408 with which servers announce the end of an idle connection, and that end.
    RequestTimeout,
    /// Bytes that are no response.
    Noise,
}

impl Surplus {
    fn bytes(self, response: &[u8]) -> Vec<u8> {
        match self {
            Surplus::Copy | Surplus::HalvedCopy => response.to_vec(),
            Surplus::TwoCopies => response.repeat(2),
            Surplus::RequestTimeout => {
                b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".to_vec()
            }
            Surplus::Noise => b"noise\r\n".to_vec(),
        }
    }
}

/// Writes a surplus behind a response, in a thread of its own, and records it.
pub(super) fn write_behind(
    shared: &Arc<Shared>,
    stream: &TcpStream,
    response: &[u8],
    delay: Duration,
    surplus: Surplus,
) -> io::Result<()> {
    let (mut stream, shared) = (stream.try_clone()?, shared.clone());
    let bytes = surplus.bytes(response);
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        // The gateway may have closed the connection, to which nothing is written then.
        let _ = write_surplus(&shared, &mut stream, &bytes, delay, surplus);
    });
    Ok(())
}

fn write_surplus(
    shared: &Shared,
    stream: &mut TcpStream,
    bytes: &[u8],
    delay: Duration,
    surplus: Surplus,
) -> io::Result<()> {
    let peer = stream.peer_addr()?;
    let crossed = shared.state().open_requests.get(&peer).cloned();
    if surplus == Surplus::HalvedCopy {
        let (first, second) = bytes.split_at(bytes.len() / 2);
        stream.write_all(first)?;
        std::thread::sleep(HALF_COPY_DELAY);
        stream.write_all(second)?;
    } else {
        stream.write_all(bytes)?;
    }
    if surplus == Surplus::RequestTimeout {
        stream.shutdown(std::net::Shutdown::Write)?;
    }
    shared.record(PlatformEvent::SurplusWritten { delay, crossed });
    Ok(())
}
