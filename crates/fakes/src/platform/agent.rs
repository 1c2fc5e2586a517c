//! Discovery agents of a fake platform: they serve the endpoint list, whose changes a request can wait for, and receive
//! notifications.

use super::endpoint::closes_within;
use super::events::PlatformEvent;
use super::repeated_responses::{write_behind, Surplus};
use super::server::AfterResponse;
use super::state::{AgentBehaviour, Shared};
use cloverstile_http::{encode_response, Headers, Message, StartLine};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Serves one request at a discovery address: a batch of notifications, or a request for the endpoint list, which is
/// answered once the list is newer than the version that the request names, or after the wait that it names.
pub(super) fn serve_discovery(
    shared: &Arc<Shared>,
    address: usize,
    endpoints: &[SocketAddr],
    message: &Message,
    stream: &mut TcpStream,
) -> io::Result<AfterResponse> {
    let StartLine::Request { target, .. } = &message.start_line else { return Ok(AfterResponse::Close) };
    if target.starts_with("/v1/notices") {
        return serve_notifications(shared, address, &message.body, stream);
    }
    shared.record(PlatformEvent::DiscoveryRequested { address });
    let (timeout, known_generation) = (query_number(target, "wait_ms="), query_number(target, "after="));
    let state = shared.wait_for(Duration::from_millis(timeout), |state| {
        state.generation > known_generation || shared.is_stopped()
    });
    let list = state.list_json(endpoints).to_string();
    let (draining, behaviour) = (state.draining(), state.agents[address]);
    drop(state);
    let bytes = encode_response(200, "OK", &Headers::new(), list.as_bytes());
    match behaviour {
        AgentBehaviour::WithholdsLists => return stream.read(&mut [0]).map(|_| AfterResponse::Close),
        AgentBehaviour::TearsLists => {
            stream.write_all(&bytes[..bytes.len() / 2])?;
            return Ok(AfterResponse::Close);
        }
        _ => {}
    }
    // A list written to a connection that the gateway has closed reaches nobody, so it is not recorded as sent.
    if closes_within(stream, Duration::ZERO) {
        return Ok(AfterResponse::Close);
    }
    stream.write_all(&bytes)?;
    shared.record(PlatformEvent::ListSent { address, draining });
    if let AgentBehaviour::RepeatsLists(delay) = behaviour {
        write_behind(shared, stream, &bytes, delay, Surplus::Copy)?;
    }
    Ok(AfterResponse::KeepOpen)
}

/// Records a batch of notifications, and answers it as the agent's behaviour says.
fn serve_notifications(
    shared: &Arc<Shared>,
    address: usize,
    body: &[u8],
    stream: &mut TcpStream,
) -> io::Result<AfterResponse> {
    let behaviour = shared.state().agents[address];
    let peer = stream.peer_addr()?;
    if let AgentBehaviour::RepeatsAcknowledgements(delay) = behaviour {
        if shared.state().acknowledged_connections.contains(&peer) {
            // Until the copy of the response before has been written.
            std::thread::sleep(delay);
            return Ok(AfterResponse::Close);
        }
    }
    let ids = record_notifications(shared, address, body);
    match behaviour {
        AgentBehaviour::LeavesNotifications => return stream.read(&mut [0]).map(|_| AfterResponse::Close),
        AgentBehaviour::BreaksNotifications => return Ok(AfterResponse::Close),
        AgentBehaviour::AnswersNotificationsLate(time) => std::thread::sleep(time),
        AgentBehaviour::Prompt
        | AgentBehaviour::WithholdsLists
        | AgentBehaviour::TearsLists
        | AgentBehaviour::RepeatsAcknowledgements(_)
        | AgentBehaviour::RepeatsLists(_) => {}
    }
    let answered_at = shared.now();
    let response = encode_response(204, "No Content", &Headers::new(), b"");
    stream.write_all(&response)?;
    for id in ids {
        shared.record_at(answered_at, PlatformEvent::NotificationAnswered { id });
    }
    if let AgentBehaviour::RepeatsAcknowledgements(delay) = behaviour {
        shared.state().acknowledged_connections.insert(peer);
        write_behind(shared, stream, &response, delay, Surplus::Copy)?;
    }
    Ok(AfterResponse::KeepOpen)
}

/// Records each notification of a body of JSON lines; returns the ids of their messages.
fn record_notifications(shared: &Shared, address: usize, body: &[u8]) -> Vec<String> {
    let record = |line: &str| {
        let notification: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
        let text = |name: &str| notification[name].as_str().unwrap_or_default().to_owned();
        shared.record(PlatformEvent::Notification { id: text("id"), status: text("status"), address });
        text("id")
    };
    String::from_utf8_lossy(body).lines().map(record).collect()
}

/// The number behind `name` (with its `=`) in the query of a request target; 0 if it is missing or malformed.
fn query_number(target: &str, name: &str) -> u64 {
    let found = target.split(['?', '&']).find_map(|part| part.strip_prefix(name));
    found.and_then(|value| value.parse().ok()).unwrap_or(0)
}
