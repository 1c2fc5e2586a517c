//! Endpoints of a fake platform: they respond to requests as configured and record what they receive and write.

use super::events::PlatformEvent;
use super::mixed_responses::{MixedAction, MixedResponses, ResponsePart};
use super::repeated_responses::{write_behind, RepeatedResponse};
use super::server::AfterResponse;
use super::state::{EndpointBehaviour, Shared};
use cloverstile_http::{encode_response, Headers, Message};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// `Retry-After` of repeated rejections, in seconds.
const REPEATED_RETRY_AFTER: &str = "0.2";
/// End of the header section, and so of every complete response without a body.
const HEADER_END: &[u8] = b"\r\n\r\n";

/// Serves one request at an endpoint as its behaviour says.
pub(super) fn serve_endpoint(
    shared: &Arc<Shared>,
    endpoint: usize,
    message: Message,
    stream: &mut TcpStream,
) -> io::Result<AfterResponse> {
    let field = |name: &str| message.headers.get(name).map(str::to_owned);
    let id = field("req-id").unwrap_or_default();
    let idempotency = field("idempotency-key");
    let time_left = field("req-deadline").and_then(|text| parse_time(&text)).unwrap_or_default();
    // Read before the request is recorded: a test that waits for that event may set the behaviour for the next one.
    let behaviour = shared.state().behaviour[endpoint].clone();
    shared.record(PlatformEvent::RequestReceived {
        id: id.clone(),
        idempotency,
        endpoint,
        body: message.body,
    });
    match behaviour {
        EndpointBehaviour::Deliver(delay) => {
            std::thread::sleep(delay);
            deliver(shared, id, stream)?;
        }
        EndpointBehaviour::DeliverAndClose => {
            deliver(shared, id, stream)?;
            return Ok(AfterResponse::Close);
        }
        EndpointBehaviour::DeliverLate(delay) => {
            return deliver_late(shared, id, shared.now() + time_left, delay, stream)
        }
        EndpointBehaviour::Repeat(repeat) => {
            return respond_and_repeat(shared, id, endpoint, &repeat, stream)
        }
        EndpointBehaviour::Mixed(mixed) => return serve_mixed(shared, id, &mixed, stream),
        EndpointBehaviour::Respond(bytes) => return respond(shared, id, endpoint, &bytes, stream),
        // The connection stays open until the gateway abandons the request.
        EndpointBehaviour::Silent => return await_abandonment(shared, id, stream),
        EndpointBehaviour::Disconnect => {
            shared.record(PlatformEvent::AttemptEnded { id });
            return Ok(AfterResponse::Close);
        }
        EndpointBehaviour::Reset(delay) => {
            // The wait ends early if the gateway abandons the request.
            closes_within(stream, delay);
            shared.record(PlatformEvent::AttemptEnded { id });
            SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
            return Ok(AfterResponse::Close);
        }
    }
    Ok(AfterResponse::KeepOpen)
}

fn ok_response() -> Vec<u8> {
    encode_response(200, "OK", &Headers::new(), b"")
}

fn deliver(shared: &Shared, id: String, stream: &mut TcpStream) -> io::Result<()> {
    // The time of the write, because the gateway may act on the response before this thread continues.
    let written_at = write_response(shared, &id, &ok_response(), stream)?;
    shared.record_at(written_at, PlatformEvent::Delivered { id });
    Ok(())
}

/// Writes a response; returns the time of the write. If the write fails, the end of the attempt is recorded.
fn write_response(shared: &Shared, id: &str, bytes: &[u8], stream: &mut TcpStream) -> io::Result<Duration> {
    let written_at = shared.now();
    if let Err(error) = stream.write_all(bytes) {
        shared.record(PlatformEvent::AttemptEnded { id: id.to_owned() });
        return Err(error);
    }
    Ok(written_at)
}

/// Responds with status 200 `delay` after both the deadline of the request and that of its message.
fn deliver_late(
    shared: &Shared,
    id: String,
    request_deadline: Duration,
    delay: Duration,
    stream: &mut TcpStream,
) -> io::Result<AfterResponse> {
    let message_deadline = shared.state().message_deadlines.get(&id).copied().unwrap_or_default();
    let at = request_deadline.max(message_deadline) + delay;
    let abandoned = closes_within(stream, at.saturating_sub(shared.now()));
    if abandoned {
        shared.record(PlatformEvent::AttemptEnded { id: id.clone() });
    }
    let written_at = shared.now();
    stream.write_all(&ok_response())?;
    shared.record_at(written_at, PlatformEvent::LateResponse { id });
    Ok(if abandoned { AfterResponse::Close } else { AfterResponse::KeepOpen })
}

/// Writes the configured bytes and records what they mean for the message. Waits for the gateway to close the
/// connection if they are not a complete response.
fn respond(
    shared: &Shared,
    id: String,
    endpoint: usize,
    bytes: &[u8],
    stream: &mut TcpStream,
) -> io::Result<AfterResponse> {
    let written_at = write_response(shared, &id, bytes, stream)?;
    let text = String::from_utf8_lossy(bytes);
    if let Some(seconds) = header_value(&text, "Retry-After").and_then(|value| value.parse().ok()) {
        let (id, wait) = (id.clone(), Duration::from_secs_f64(seconds));
        shared.record_at(written_at, PlatformEvent::RetryAfter { id, endpoint, wait });
    }
    let delivered = text.find("HTTP/1.1 200").is_some_and(|start| text[start..].contains('\n'));
    let is_complete = bytes.ends_with(HEADER_END);
    if delivered {
        shared.record_at(written_at, PlatformEvent::Delivered { id });
    } else if text.starts_with("HTTP/1.1 410") {
        shared.record_at(written_at, PlatformEvent::Released { id });
    } else if text.starts_with("HTTP/1.1 504") {
        shared.record_at(written_at, PlatformEvent::AttemptsExhausted { id });
    } else if ["429", "503"].iter().any(|status| text.starts_with(&format!("HTTP/1.1 {status}"))) {
        shared.record_at(written_at, PlatformEvent::NotExecuted { id });
    } else if is_complete {
        shared.record_at(written_at, PlatformEvent::Failed { id });
    } else {
        return await_abandonment(shared, id, stream);
    }
    Ok(AfterResponse::KeepOpen)
}

/// Answers at once or delivers, as it is the request's turn. A gateway that has given up the request meanwhile gets nothing.
fn serve_mixed(
    shared: &Shared,
    id: String,
    mixed: &MixedResponses,
    stream: &mut TcpStream,
) -> io::Result<AfterResponse> {
    let number = {
        let mut state = shared.state();
        state.mixed_requests += 1;
        state.mixed_requests
    };
    let pieces = match mixed.action(number) {
        MixedAction::Deliver(time) => {
            if closes_within(stream, time) {
                shared.record(PlatformEvent::AttemptEnded { id });
                return Ok(AfterResponse::Close);
            }
            deliver(shared, id, stream)?;
            return Ok(AfterResponse::KeepOpen);
        }
        MixedAction::Answer(pieces) => pieces,
    };
    let mut written_at = shared.now();
    for (delay, bytes) in pieces {
        std::thread::sleep(delay);
        written_at = write_response(shared, &id, &bytes, stream)?;
    }
    mixed.record(shared, written_at, id.clone());
    match mixed.part {
        ResponsePart::Whole | ResponsePart::TwoParts(_) => Ok(AfterResponse::KeepOpen),
        ResponsePart::StatusLine | ResponsePart::Head => {
            // The connection stays open until the gateway closes it.
            stream.read(&mut [0]).map(|_| AfterResponse::Close)
        }
    }
}

/// Responds after the service time, and writes the surplus behind the response where it is its turn.
fn respond_and_repeat(
    shared: &Arc<Shared>,
    id: String,
    endpoint: usize,
    repeat: &RepeatedResponse,
    stream: &mut TcpStream,
) -> io::Result<AfterResponse> {
    let peer = stream.peer_addr()?;
    shared.state().open_requests.insert(peer, id.clone());
    std::thread::sleep(repeat.service_time);
    let response = match repeat.status {
        200 => ok_response(),
        429 => encode_response(429, "Wait", &Headers::new().with("Retry-After", REPEATED_RETRY_AFTER), b""),
        status => encode_response(status, "Rejected", &Headers::new(), b""),
    };
    shared.state().open_requests.remove(&peer);
    let after = respond(shared, id, endpoint, &response, stream)?;
    let mut state = shared.state();
    state.repeatable_responses += 1;
    let is_followed = state.repeatable_responses.is_multiple_of(repeat.every);
    drop(state);
    if is_followed {
        write_behind(shared, stream, &response, repeat.delay, repeat.surplus)?;
    }
    Ok(after)
}

/// Value of a header field in the text of a response.
fn header_value<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Waits until the gateway abandons a request by closing the connection.
fn await_abandonment(shared: &Shared, id: String, stream: &mut TcpStream) -> io::Result<AfterResponse> {
    let read = stream.read(&mut [0]);
    shared.record(PlatformEvent::AttemptEnded { id });
    read.map(|_| AfterResponse::Close)
}

/// Waits for `time`; returns true, possibly earlier, if the gateway closes its side of the connection or the connection
/// fails meanwhile.
pub(super) fn closes_within(stream: &mut TcpStream, time: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(time.max(Duration::from_millis(1))));
    let closed = match stream.read(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    };
    let _ = stream.set_read_timeout(None);
    closed
}

/// Parses the value of `Req-Deadline`: a number followed by `m` for milliseconds or `u` for microseconds.
fn parse_time(text: &str) -> Option<Duration> {
    match text.strip_suffix('m') {
        Some(number) => number.parse().ok().map(Duration::from_millis),
        None => text.strip_suffix('u')?.parse().ok().map(Duration::from_micros),
    }
}
