//! Endpoints of a fake platform.

use super::events::PlatformEvent;
use super::server::Next;
use super::state::{EndpointBehaviour, Shared};
use cloverstile_http::{encode_response, Headers, Message};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Bytes that every whole response without a body ends with.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Serves one request at an endpoint as its behaviour says.
pub(super) fn serve_endpoint(
    shared: &Shared,
    endpoint: usize,
    message: Message,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let field = |name: &str| message.headers.get(name).map(str::to_owned);
    let id = field("req-id").unwrap_or_default();
    let idempotency = field("idempotency-key");
    let stated_time = field("req-deadline").and_then(|text| parse_time(&text)).unwrap_or_default();
    // Before the request is recorded: who sees it may change the behaviour, for the next one.
    let behaviour = shared.state().behaviour[endpoint].clone();
    shared.record(PlatformEvent::RequestReceived {
        id: id.clone(),
        idempotency,
        endpoint,
        body: message.body,
    });
    match behaviour {
        EndpointBehaviour::Deliver(after) => {
            std::thread::sleep(after);
            deliver(shared, id, stream)?;
        }
        EndpointBehaviour::DeliverAndClose => {
            deliver(shared, id, stream)?;
            return Ok(Next::Close);
        }
        EndpointBehaviour::DeliverLate(behind) => {
            return deliver_late(shared, id, shared.now() + stated_time, behind, stream)
        }
        EndpointBehaviour::Respond(bytes) => return respond(shared, id, endpoint, &bytes, stream),
        // Until the gateway abandons the request.
        EndpointBehaviour::Silent => return await_end(shared, id, stream),
        EndpointBehaviour::Disconnect => {
            shared.record(PlatformEvent::AttemptEnded { id });
            return Ok(Next::Close);
        }
        EndpointBehaviour::Reset(after) => {
            // Unless the gateway abandons the request meanwhile.
            ends_within(stream, after);
            shared.record(PlatformEvent::AttemptEnded { id });
            SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
            return Ok(Next::Close);
        }
    }
    Ok(Next::KeepOpen)
}

fn ok_response() -> Vec<u8> {
    encode_response(200, "OK", &Headers::new(), b"")
}

fn deliver(shared: &Shared, id: String, stream: &mut TcpStream) -> io::Result<()> {
    // The gateway may act on the response before this thread goes on.
    let written_at = write_response(shared, &id, &ok_response(), stream)?;
    shared.record_at(written_at, PlatformEvent::Delivered { id });
    Ok(())
}

/// Writes a response; returns when. Where the gateway has gone the attempt has ended.
fn write_response(shared: &Shared, id: &str, bytes: &[u8], stream: &mut TcpStream) -> io::Result<Duration> {
    let written_at = shared.now();
    if let Err(error) = stream.write_all(bytes) {
        shared.record(PlatformEvent::AttemptEnded { id: id.to_owned() });
        return Err(error);
    }
    Ok(written_at)
}

/// Responds behind the time that the request states and the time of its message.
fn deliver_late(
    shared: &Shared,
    id: String,
    stated_end: Duration,
    behind: Duration,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let message_end = shared.state().message_ends.get(&id).copied().unwrap_or_default();
    let at = stated_end.max(message_end) + behind;
    let abandoned = ends_within(stream, at.saturating_sub(shared.now()));
    if abandoned {
        shared.record(PlatformEvent::AttemptEnded { id: id.clone() });
    }
    let written_at = shared.now();
    stream.write_all(&ok_response())?;
    shared.record_at(written_at, PlatformEvent::LateResponse { id });
    Ok(if abandoned { Next::Close } else { Next::KeepOpen })
}

fn respond(
    shared: &Shared,
    id: String,
    endpoint: usize,
    bytes: &[u8],
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let written_at = write_response(shared, &id, bytes, stream)?;
    let text = String::from_utf8_lossy(bytes);
    if let Some(seconds) = field_of(&text, "Retry-After").and_then(|value| value.parse().ok()) {
        let (id, wait) = (id.clone(), Duration::from_secs_f64(seconds));
        shared.record_at(written_at, PlatformEvent::RetryAfter { id, endpoint, wait });
    }
    let delivered = text.find("HTTP/1.1 200").is_some_and(|start| text[start..].contains('\n'));
    let is_whole = bytes.ends_with(HEAD_END);
    if delivered {
        shared.record_at(written_at, PlatformEvent::Delivered { id });
    } else if text.starts_with("HTTP/1.1 410") {
        shared.record_at(written_at, PlatformEvent::Released { id });
    } else if ["429", "503", "504"].iter().any(|status| text.starts_with(&format!("HTTP/1.1 {status}"))) {
        shared.record_at(written_at, PlatformEvent::NotExecuted { id });
    } else if is_whole {
        shared.record_at(written_at, PlatformEvent::Failed { id });
    } else {
        return await_end(shared, id, stream);
    }
    Ok(Next::KeepOpen)
}

/// The value of a header field in a response's text.
fn field_of<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Waits until the gateway abandons a request.
fn await_end(shared: &Shared, id: String, stream: &mut TcpStream) -> io::Result<Next> {
    let read = stream.read(&mut [0]);
    shared.record(PlatformEvent::AttemptEnded { id });
    read.map(|_| Next::Close)
}

/// Waits for a time; true, and earlier, where the gateway ends its sending meanwhile.
pub(super) fn ends_within(stream: &mut TcpStream, time: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(time.max(Duration::from_millis(1))));
    let ended = match stream.read(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    };
    let _ = stream.set_read_timeout(None);
    ended
}

/// A time as `Req-Deadline` states it: a number with `m` for milliseconds or `u` for microseconds.
fn parse_time(text: &str) -> Option<Duration> {
    match text.strip_suffix('m') {
        Some(number) => number.parse().ok().map(Duration::from_millis),
        None => text.strip_suffix('u')?.parse().ok().map(Duration::from_micros),
    }
}
