//! HTTP servers of a fake platform, one thread for each connection: endpoints, discovery and notifications.

use super::events::PlatformEvent;
use super::state::{EndpointBehaviour, Shared};
use cloverstile_http::{response, Decoder, Headers, Item, Limits, Message, Start};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Bytes read from a connection at once.
const READ_BUFFER: usize = 4096;

/// Whether a connection goes on after a response.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    KeepOpen,
    Close,
}

/// Serves HTTP on a loopback port of its own; returns its address.
pub(super) fn listen(
    shared: &Arc<Shared>,
    serve: impl Fn(&Shared, Message, &mut TcpStream) -> io::Result<Next> + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let shared = shared.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            if shared.is_stopped() {
                return;
            }
            let Ok(mut stream) = stream else { continue };
            let (shared, serve) = (shared.clone(), serve.clone());
            std::thread::spawn(move || {
                // A failure of the connection is the gateway's to notice.
                let _ = serve_connection(&shared, &mut stream, serve);
            });
        }
    });
    Ok(address)
}

fn serve_connection(
    shared: &Shared,
    stream: &mut TcpStream,
    serve: impl Fn(&Shared, Message, &mut TcpStream) -> io::Result<Next>,
) -> io::Result<()> {
    let mut decoder = Decoder::server(Limits::default());
    let mut buffer = [0; READ_BUFFER];
    loop {
        while let Ok(Some(item)) = decoder.next(shared.now()) {
            if let Item::Message(message) = item {
                if serve(shared, message, stream)? == Next::Close {
                    return Ok(());
                }
            }
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 || shared.is_stopped() {
            return Ok(());
        }
        decoder.feed(shared.now(), &buffer[..count]);
    }
}

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
            // The gateway may act on the response before this thread goes on.
            let written_at = shared.now();
            stream.write_all(&response(200, "OK", &Headers::new(), b""))?;
            shared.record_at(written_at, PlatformEvent::Delivered { id });
        }
        EndpointBehaviour::Respond(bytes) => {
            let written_at = shared.now();
            stream.write_all(&bytes)?;
            if String::from_utf8_lossy(&bytes).contains("HTTP/1.1 200") {
                shared.record_at(written_at, PlatformEvent::Delivered { id });
            } else if bytes.starts_with(b"HTTP/1.1 429") || bytes.starts_with(b"HTTP/1.1 503") {
                shared.record_at(written_at, PlatformEvent::NotExecuted { id });
            }
        }
        // Until the gateway abandons the request.
        EndpointBehaviour::Silent => return stream.read(&mut [0]).map(|_| Next::Close),
        EndpointBehaviour::Disconnect => return Ok(Next::Close),
    }
    Ok(Next::KeepOpen)
}

/// Serves one request at a discovery address: notifications, or the endpoint list once it is newer than known.
pub(super) fn serve_discovery(
    shared: &Shared,
    address: usize,
    endpoints: &[SocketAddr],
    message: &Message,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let Start::Request { target, .. } = &message.start else { return Ok(Next::Close) };
    if target.starts_with("/v1/notices") {
        record_notifications(shared, address, &message.body);
        stream.write_all(&response(204, "No Content", &Headers::new(), b""))?;
        return Ok(Next::KeepOpen);
    }
    shared.record(PlatformEvent::DiscoveryRequested { address });
    let (timeout, known) = (query_number(target, "wait_ms="), query_number(target, "after="));
    let state = shared
        .wait_for(Duration::from_millis(timeout), |state| state.generation > known || shared.is_stopped());
    let list = state.list_json(endpoints).to_string();
    drop(state);
    stream.write_all(&response(200, "OK", &Headers::new(), list.as_bytes()))?;
    Ok(Next::KeepOpen)
}

/// Records each notification of a body of JSON lines.
fn record_notifications(shared: &Shared, address: usize, body: &[u8]) {
    for line in String::from_utf8_lossy(body).lines() {
        let notification: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
        let text = |name: &str| notification[name].as_str().unwrap_or_default().to_owned();
        shared.record(PlatformEvent::Notification { id: text("id"), status: text("status"), address });
    }
}

/// A number in the query of a request target; 0 if it is missing.
fn query_number(target: &str, name: &str) -> u64 {
    let found = target.split(['?', '&']).find_map(|part| part.strip_prefix(name));
    found.and_then(|value| value.parse().ok()).unwrap_or(0)
}
