//! The platform's agent on a courier's machine: the endpoint list, its watch, and notices.

use crate::http::{read_request, respond, serve, Request};
use crate::record::Record;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// An endpoint as discovery lists it.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub kind: &'static str,
    pub cell: u16,
    pub lifecycle: &'static str,
    pub weight: f64,
    /// Version of the list in which it changed last.
    pub changed: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"kingston-dc","machineType":"{}","cell":{},"lifecycle":"{}","weight":{:?},"startedAtMs":0}}"#,
            self.id, self.address, self.kind, self.cell, self.lifecycle, self.weight
        )
    }
}

/// What an agent holds.
#[derive(Default)]
struct State {
    generation: u64,
    entries: Vec<Entry>,
    /// Discovery is down: the agent is silent about the list. Notices are still answered.
    silent: bool,
    /// When a list that contains this version was written to the courier last.
    told: HashMap<u64, Duration>,
}

/// An agent on a port of its own.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    name: String,
}

/// The whole list as JSON, as a configuration takes it as `known`.
fn list_json(generation: u64, reset: bool, entries: &[&Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(|entry| entry.json()).collect();
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, entries.join(","))
}

impl Agent {
    /// Starts an agent with an empty list.
    pub fn start(name: &str, record: &Record) -> io::Result<Agent> {
        let shared = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let (state, log, agent) = (shared.clone(), record.clone(), name.to_owned());
        let address = serve(move |stream| serve_connection(&state, &log, &agent, stream))?;
        Ok(Agent { address, shared, record: record.clone(), name: name.to_owned() })
    }

    /// Adds or changes an entry, as a new version of the list.
    pub fn publish(&self, mut entry: Entry) {
        let mut state = self.shared.0.lock().unwrap();
        state.generation += 1;
        entry.changed = state.generation;
        self.record.line(&format!(
            "discovery has version {}: {} at {} cell {} {}",
            state.generation, entry.id, entry.address, entry.cell, entry.lifecycle
        ));
        state.entries.retain(|known| known.id != entry.id);
        state.entries.push(entry);
        self.shared.1.notify_all();
    }

    /// The whole list as a configuration takes it as `known`.
    pub fn known(&self) -> String {
        let state = self.shared.0.lock().unwrap();
        let listed: Vec<&Entry> = state.entries.iter().filter(|entry| entry.lifecycle != "DELETED").collect();
        list_json(state.generation, true, &listed)
    }

    /// Sets whether discovery is down, so that the agent is silent about the list.
    pub fn set_silent(&self, silent: bool) {
        self.shared.0.lock().unwrap().silent = silent;
        self.record.line(&format!(
            "agent {}: discovery is {}",
            self.name,
            if silent { "down" } else { "up" }
        ));
        self.shared.1.notify_all();
    }

    /// The current version of the list.
    pub fn generation(&self) -> u64 {
        self.shared.0.lock().unwrap().generation
    }

    /// When a list with this version or a later one was first written to the courier.
    pub fn told_at(&self, version: u64) -> Option<Duration> {
        let state = self.shared.0.lock().unwrap();
        state.told.iter().filter(|(told, _)| **told >= version).map(|(_, at)| *at).min()
    }
}

fn serve_connection(
    shared: &Arc<(Mutex<State>, Condvar)>,
    record: &Record,
    name: &str,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    let now = || record.now();
    while let Some(request) = read_request(stream, &mut buffer, &now)? {
        if request.line.starts_with("POST /v1/notices") {
            on_notices(record, name, &request);
            respond(stream, "204 No Content", "", "")?;
        } else if request.line.starts_with("GET /registry/instances") {
            let (generation, body) = await_list(shared, &request);
            respond(stream, "200 OK", "", &body)?;
            let at = record.now();
            let mut state = shared.0.lock().unwrap();
            if state.told.insert(generation, at).is_none() {
                record.line_at(at, &format!("agent {name}: version {generation} written to the courier"));
            }
        } else {
            respond(stream, "404 Not Found", "", "")?;
        }
    }
    Ok(())
}

/// Waits as the request asks, and while discovery is down, and returns the version and the body of the response.
fn await_list(shared: &Arc<(Mutex<State>, Condvar)>, request: &Request) -> (u64, String) {
    let number = |name: &str| -> u64 {
        let found = request.line.split(['?', '&', ' ']).find_map(|part| part.strip_prefix(name));
        found.and_then(|value| value.parse().ok()).unwrap_or(0)
    };
    let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=")));
    let end = Instant::now() + wait;
    let mut state = shared.0.lock().unwrap();
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if !state.silent && (state.generation > after || left.is_zero()) {
            break;
        }
        let pause = if left.is_zero() { Duration::from_millis(50) } else { left };
        state = shared.1.wait_timeout(state, pause).unwrap().0;
    }
    let reset = after == 0;
    let is_included =
        |entry: &&Entry| if reset { entry.lifecycle != "DELETED" } else { entry.changed > after };
    let entries: Vec<&Entry> = state.entries.iter().filter(is_included).collect();
    (state.generation, list_json(state.generation, reset, &entries))
}

/// Records the notices of a body of JSON lines.
fn on_notices(record: &Record, name: &str, request: &Request) {
    let text = String::from_utf8_lossy(&request.body).into_owned();
    for line in text.lines() {
        let value = |key: &str| {
            let start = line.find(&format!("\"{key}\":\""))? + key.len() + 4;
            line[start..].split('"').next().map(str::to_owned)
        };
        let (id, status) = (value("id").unwrap_or_default(), value("status").unwrap_or_default());
        record.line_at(request.last_byte, &format!("agent {name}: notice {id} {status}"));
    }
}
