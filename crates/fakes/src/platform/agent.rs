//! Discovery agents of a fake platform: the endpoint list with its watch, and notifications.

use super::endpoint::ends_within;
use super::events::PlatformEvent;
use super::server::Next;
use super::state::{AgentBehaviour, Shared};
use cloverstile_http::{encode_response, Headers, Message, StartLine};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Serves one request at a discovery address: notifications, or the endpoint list once it is newer than known.
pub(super) fn serve_discovery(
    shared: &Shared,
    address: usize,
    endpoints: &[SocketAddr],
    message: &Message,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let StartLine::Request { target, .. } = &message.start_line else { return Ok(Next::Close) };
    if target.starts_with("/v1/notices") {
        return serve_notifications(shared, address, &message.body, stream);
    }
    shared.record(PlatformEvent::DiscoveryRequested { address });
    let (timeout, known) = (query_number(target, "wait_ms="), query_number(target, "after="));
    let state = shared
        .wait_for(Duration::from_millis(timeout), |state| state.generation > known || shared.is_stopped());
    let list = state.list_json(endpoints).to_string();
    let (draining, behaviour) = (state.draining(), state.agents[address]);
    drop(state);
    let bytes = encode_response(200, "OK", &Headers::new(), list.as_bytes());
    match behaviour {
        AgentBehaviour::WithholdsLists => return stream.read(&mut [0]).map(|_| Next::Close),
        AgentBehaviour::TearsLists => {
            stream.write_all(&bytes[..bytes.len() / 2])?;
            return Ok(Next::Close);
        }
        _ => {}
    }
    // A list that is written to a connection that the gateway has left is told to nobody.
    if ends_within(stream, Duration::ZERO) {
        return Ok(Next::Close);
    }
    stream.write_all(&bytes)?;
    shared.record(PlatformEvent::ListSent { address, draining });
    Ok(Next::KeepOpen)
}

/// Serves a batch of notifications as the agent's behaviour says.
fn serve_notifications(
    shared: &Shared,
    address: usize,
    body: &[u8],
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let behaviour = shared.state().agents[address];
    let ids = record_notifications(shared, address, body);
    match behaviour {
        AgentBehaviour::LeavesNotifications => return stream.read(&mut [0]).map(|_| Next::Close),
        AgentBehaviour::BreaksNotifications => return Ok(Next::Close),
        AgentBehaviour::AnswersNotificationsLate(time) => std::thread::sleep(time),
        AgentBehaviour::Prompt | AgentBehaviour::WithholdsLists | AgentBehaviour::TearsLists => {}
    }
    let answered_at = shared.now();
    stream.write_all(&encode_response(204, "No Content", &Headers::new(), b""))?;
    for id in ids {
        shared.record_at(answered_at, PlatformEvent::NotificationAnswered { id });
    }
    Ok(Next::KeepOpen)
}

/// Records each notification of a body of JSON lines; returns the messages.
fn record_notifications(shared: &Shared, address: usize, body: &[u8]) -> Vec<String> {
    let record = |line: &str| {
        let notification: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
        let text = |name: &str| notification[name].as_str().unwrap_or_default().to_owned();
        shared.record(PlatformEvent::Notification { id: text("id"), status: text("status"), address });
        text("id")
    };
    String::from_utf8_lossy(body).lines().map(record).collect()
}

/// A number in the query of a request target; 0 if it is missing.
fn query_number(target: &str, name: &str) -> u64 {
    let found = target.split(['?', '&']).find_map(|part| part.strip_prefix(name));
    found.and_then(|value| value.parse().ok()).unwrap_or(0)
}
