//! The users' platform: endpoints, discovery with its watch, notices, and a client's side of a hand-in. It writes
//! down what passed on its sockets, and [`judge`] reads that alone.

use cloverstile_http::{response, Decoder, Headers, Item, Limits, Message, Start};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What an endpoint does with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointBehaviour {
    /// Answers 200 after this time.
    Deliver(Duration),
    /// Answers these bytes.
    Respond(Vec<u8>),
    /// Says nothing, and keeps the connection.
    Silent,
    /// Breaks the connection.
    Disconnect,
}

/// Something that passed on a socket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformEvent {
    /// A client was told that its message is taken on.
    Accepted {
        /// Its id.
        id: String,
        /// Its order key, 0 for none.
        key: u64,
        /// It may not be repeated.
        unrepeatable: bool,
    },
    /// A call's last byte came.
    RequestReceived {
        /// Message.
        id: String,
        /// Idempotency key.
        idempotency: Option<String>,
        /// Place of the endpoint.
        endpoint: usize,
        /// Its body.
        body: Vec<u8>,
    },
    /// A first line with 200 was written to the courier.
    Delivered {
        /// Message.
        id: String,
    },
    /// An answer that proves that the call never ran was written.
    NotExecuted {
        /// Message.
        id: String,
    },
    /// A notice was answered, at this address of discovery.
    Notification {
        /// Message.
        id: String,
        /// `undeliverable` or `deferred`.
        status: String,
        /// Which of the two addresses.
        address: usize,
    },
    /// Discovery was asked, at this address.
    DiscoveryRequested {
        /// Which of the two addresses.
        address: usize,
    },
}

struct State {
    seen: Vec<(Duration, PlatformEvent)>,
    manner: Vec<EndpointBehaviour>,
    generation: u64,
    entries: BTreeMap<String, (usize, u16, &'static str)>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    over: AtomicBool,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, seen: PlatformEvent) {
        let at = self.started.elapsed();
        self.state().seen.push((at, seen));
        self.changed.notify_all();
    }
}

/// A running platform on loopback.
pub struct Platform {
    shared: Arc<Shared>,
    /// Addresses of the endpoints.
    pub endpoints: Vec<SocketAddr>,
    /// Two addresses of discovery; a configuration names the one that counts.
    pub discovery: [SocketAddr; 2],
}

impl Platform {
    /// Endpoints of these destinations, each answering at once until told otherwise.
    pub fn start(cells: &[u16]) -> io::Result<Platform> {
        let entries =
            cells.iter().enumerate().map(|(place, cell)| (format!("s-{place}"), (place, *cell, "SERVING")));
        let state = State {
            seen: Vec::new(),
            manner: vec![EndpointBehaviour::Deliver(Duration::ZERO); cells.len()],
            generation: 1,
            entries: entries.collect(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            started: Instant::now(),
            over: AtomicBool::new(false),
        });
        let mut endpoints = Vec::new();
        for place in 0..cells.len() {
            endpoints
                .push(listen(&shared, move |shared, message, stream| call(shared, place, message, stream))?);
        }
        let list = Arc::new(endpoints.clone());
        let mut discovery = Vec::new();
        for address in 0..2 {
            let list = list.clone();
            discovery.push(listen(&shared, move |shared, message, stream| {
                ask(shared, address, &list, message, stream)
            })?);
        }
        Ok(Platform { shared, endpoints, discovery: [discovery[0], discovery[1]] })
    }

    /// How an endpoint answers from now on.
    pub fn set_behaviour(&self, endpoint: usize, manner: EndpointBehaviour) {
        self.shared.state().manner[endpoint] = manner;
    }

    /// An endpoint's state in the list from now on.
    pub fn set_lifecycle(&self, endpoint: usize, lifecycle: &'static str) {
        let mut state = self.shared.state();
        state.generation += 1;
        if let Some(entry) = state.entries.get_mut(&format!("s-{endpoint}")) {
            entry.2 = lifecycle;
        }
        drop(state);
        self.shared.changed.notify_all();
    }

    /// All that passed so far.
    pub fn events(&self) -> Vec<(Duration, PlatformEvent)> {
        self.shared.state().seen.clone()
    }

    /// Waits until what passed is as wanted, at most for so long.
    pub fn wait_until(&self, most: Duration, wanted: impl Fn(&[(Duration, PlatformEvent)]) -> bool) -> bool {
        let end = Instant::now() + most;
        let mut state = self.shared.state();
        while !wanted(&state.seen) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            state = match self.shared.changed.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(error) => error.into_inner().0,
            };
        }
        true
    }

    /// Hands a message in on a connection and notes it if it is taken on; the line answered.
    pub fn submit(&self, stream: &mut TcpStream, put: &PutCommand) -> io::Result<String> {
        stream.write_all(&put.encode())?;
        let line = read_line(stream)?;
        if line.starts_with('+') {
            self.shared.note(PlatformEvent::Accepted {
                id: put.id.clone(),
                key: put.key,
                unrepeatable: put.idempotency.is_none(),
            });
        }
        Ok(line)
    }

    /// The list in discovery's form, as a configuration's `known`.
    pub fn endpoint_list(&self) -> serde_json::Value {
        list_json(&self.shared.state(), &self.endpoints)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        self.shared.changed.notify_all();
        // Each listener is woken once, and sees that it is over.
        for address in self.endpoints.iter().chain(&self.discovery) {
            let _ = TcpStream::connect(address);
        }
    }
}

/// A message to hand in.
#[derive(Clone, Debug)]
pub struct PutCommand {
    /// Its id.
    pub id: String,
    /// Order key, 0 for none.
    pub key: u64,
    /// Class by name.
    pub class: String,
    /// Milliseconds left.
    pub time_left_ms: u64,
    /// Destination.
    pub destination: u16,
    /// Idempotency key, in a keyed class.
    pub idempotency: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl PutCommand {
    /// The command as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let keyed = self.idempotency.as_ref().map_or(String::new(), |key| format!(",k={key}"));
        let fields = format!("c={},d={}{keyed},dest={}", self.class, self.time_left_ms, self.destination);
        let key = format!("{:016x}", self.key);
        let words: [&[u8]; 5] =
            [b"MSG.PUT", key.as_bytes(), self.id.as_bytes(), fields.as_bytes(), &self.body];
        cloverstile_resp::command(&words)
    }
}

/// One line of a reply, without its end.
pub fn read_line(stream: &mut TcpStream) -> io::Result<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        line.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&line[..line.len() - 2]).into_owned())
}

/// Serves HTTP on a port of its own: a thread for each connection, an answer or an end for each request.
fn listen(
    shared: &Arc<Shared>,
    serve: impl Fn(&Shared, Message, &mut TcpStream) -> io::Result<bool> + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let shared = shared.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            if shared.over.load(Ordering::Relaxed) {
                return;
            }
            let Ok(mut stream) = stream else { continue };
            let (shared, serve) = (shared.clone(), serve.clone());
            std::thread::spawn(move || {
                // What breaks here is the courier's to notice.
                let _ = converse(&shared, &mut stream, serve);
            });
        }
    });
    Ok(address)
}

fn converse(
    shared: &Shared,
    stream: &mut TcpStream,
    serve: impl Fn(&Shared, Message, &mut TcpStream) -> io::Result<bool>,
) -> io::Result<()> {
    let mut decoder = Decoder::server(Limits::default());
    let mut buffer = [0; 4096];
    loop {
        while let Ok(Some(item)) = decoder.next(shared.started.elapsed()) {
            if let Item::Message(message) = item {
                if !serve(shared, message, stream)? {
                    return Ok(());
                }
            }
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 || shared.over.load(Ordering::Relaxed) {
            return Ok(());
        }
        decoder.feed(shared.started.elapsed(), &buffer[..count]);
    }
}

fn call(shared: &Shared, endpoint: usize, message: Message, stream: &mut TcpStream) -> io::Result<bool> {
    let field = |name: &str| message.headers.get(name).map(str::to_owned);
    let id = field("req-id").unwrap_or_default();
    let idempotency = field("idempotency-key");
    // Before the call is seen: who sees it may change the manner, for the next one.
    let manner = shared.state().manner[endpoint].clone();
    shared.note(PlatformEvent::RequestReceived { id: id.clone(), idempotency, endpoint, body: message.body });
    match manner {
        EndpointBehaviour::Deliver(after) => {
            std::thread::sleep(after);
            stream.write_all(&response(200, "OK", &Headers::new(), b""))?;
            shared.note(PlatformEvent::Delivered { id });
        }
        EndpointBehaviour::Respond(bytes) => {
            stream.write_all(&bytes)?;
            if String::from_utf8_lossy(&bytes).contains("HTTP/1.1 200") {
                shared.note(PlatformEvent::Delivered { id });
            } else if bytes.starts_with(b"HTTP/1.1 429") || bytes.starts_with(b"HTTP/1.1 503") {
                shared.note(PlatformEvent::NotExecuted { id });
            }
        }
        // Until the courier gives it up.
        EndpointBehaviour::Silent => return stream.read(&mut [0]).map(|_| false),
        EndpointBehaviour::Disconnect => return Ok(false),
    }
    Ok(true)
}

fn list_json(state: &State, addresses: &[SocketAddr]) -> serde_json::Value {
    let instances: Vec<serde_json::Value> = state
        .entries
        .iter()
        .map(|(id, (place, cell, lifecycle))| {
            serde_json::json!({
                "instanceId": id, "hostPort": addresses[*place].to_string(), "zone": "here", "machineType": "any",
                "cell": cell, "lifecycle": lifecycle, "weight": 100.0, "startedAtMs": 0,
            })
        })
        .collect();
    serde_json::json!({ "generation": state.generation, "reset": true, "instances": instances })
}

fn ask(
    shared: &Shared,
    address: usize,
    addresses: &[SocketAddr],
    message: Message,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let Start::Request { target, .. } = &message.start else { return Ok(false) };
    if target.starts_with("/v1/notices") {
        for line in String::from_utf8_lossy(&message.body).lines() {
            let told: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
            let text = |name: &str| told[name].as_str().unwrap_or_default().to_owned();
            shared.note(PlatformEvent::Notification { id: text("id"), status: text("status"), address });
        }
        stream.write_all(&response(204, "No Content", &Headers::new(), b""))?;
        return Ok(true);
    }
    shared.note(PlatformEvent::DiscoveryRequested { address });
    let query = |name: &str| -> u64 {
        let found = target.split(['?', '&']).find_map(|part| part.strip_prefix(name));
        found.and_then(|value| value.parse().ok()).unwrap_or(0)
    };
    let end = Instant::now() + Duration::from_millis(query("wait_ms="));
    let mut state = shared.state();
    while state.generation <= query("after=") && !shared.over.load(Ordering::Relaxed) {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        state = match shared.changed.wait_timeout(state, left) {
            Ok((state, _)) => state,
            Err(error) => error.into_inner().0,
        };
    }
    let list = list_json(&state, addresses).to_string();
    drop(state);
    stream.write_all(&response(200, "OK", &Headers::new(), list.as_bytes()))?;
    Ok(true)
}

/// What broke a rule, read from what passed: each message taken on is delivered or told of, one that may not be
/// repeated is never sent again after it may have run, and a key's messages begin in the order taken.
pub fn check_invariants(seen: &[(Duration, PlatformEvent)]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut over: BTreeSet<&str> = BTreeSet::new();
    let mut may_have_run: BTreeMap<&str, bool> = BTreeMap::new();
    let mut taken: BTreeMap<&str, (u64, bool)> = BTreeMap::new();
    let mut turns: BTreeMap<u64, Vec<&str>> = BTreeMap::new();
    // A call may be seen before its client has read that the message is taken on.
    for (_, event) in seen {
        if let PlatformEvent::Accepted { id, key, unrepeatable: once } = event {
            taken.insert(id, (*key, *once));
            if *key != 0 {
                turns.entry(*key).or_default().push(id);
            }
        }
    }
    for (at, event) in seen {
        match event {
            PlatformEvent::RequestReceived { id, .. } => {
                let Some((key, once)) = taken.get(id.as_str()) else { continue };
                if *once && may_have_run.get(id.as_str()) == Some(&true) {
                    broken.push(format!("{at:?}: {id} was sent again, which may have run"));
                }
                may_have_run.insert(id, true);
                let turn = turns.get(key).map_or(&[][..], Vec::as_slice);
                if let Some(before) =
                    turn.iter().take_while(|other| *other != id).find(|other| !over.contains(**other))
                {
                    broken.push(format!("{at:?}: {id} was sent before {before} of its key was over"));
                }
            }
            PlatformEvent::NotExecuted { id } => {
                may_have_run.insert(id, false);
            }
            PlatformEvent::Delivered { id } | PlatformEvent::Notification { id, .. } => {
                over.insert(id);
            }
            PlatformEvent::Accepted { .. } | PlatformEvent::DiscoveryRequested { .. } => {}
        }
    }
    broken.extend(
        taken.keys().filter(|id| !over.contains(**id)).map(|id| format!("{id} was taken on and is lost")),
    );
    broken
}
