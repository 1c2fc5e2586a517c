//! The users' platform on loopback: endpoints, discovery with its watch, notifications, and a client's side of a
//! submission. It records what passed on its sockets, and [`check_invariants`] reads that alone.

mod agent;
mod endpoint;
mod events;
mod invariants;
mod server;
mod state;
mod submission;

pub use events::{PlatformEvent, TimedEvent};
pub use invariants::{
    check_invariants, find_violations, InvariantRules, SlowStartRule, Violation, ViolationKind,
};
pub use state::{AgentBehaviour, EndpointBehaviour};
pub use submission::{read_line, PutCommand};

use agent::serve_discovery;
use endpoint::serve_endpoint;
use server::listen;
use state::{Shared, State};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Connections that the system queues for an endpoint until it accepts them.
const ENDPOINT_BACKLOG: i32 = 16;
/// The same for a discovery agent.
const AGENT_BACKLOG: i32 = 128;

/// Addresses of discovery that a gateway may be moved between.
pub const AGENTS_PER_GATEWAY: usize = 2;

/// A running platform on loopback.
pub struct Platform {
    shared: Arc<Shared>,
    /// Addresses of the endpoints.
    pub endpoints: Vec<SocketAddr>,
    /// Addresses of discovery; a configuration names the one that counts.
    pub discovery: Vec<SocketAddr>,
}

impl Platform {
    /// Starts one endpoint for each of these destinations, and the discovery of one gateway.
    ///
    /// # Errors
    ///
    /// If a port can't be listened on.
    pub fn start(cells: &[u16]) -> io::Result<Platform> {
        Platform::start_with_gateways(cells, 1)
    }

    /// Starts one endpoint for each of these destinations, and for so many gateways [`AGENTS_PER_GATEWAY`] addresses of
    /// discovery each, in the order of the gateways. Each endpoint delivers at once, and each agent answers at once, until
    /// its behaviour is set.
    ///
    /// # Errors
    ///
    /// If a port can't be listened on.
    pub fn start_with_gateways(cells: &[u16], gateways: usize) -> io::Result<Platform> {
        let agents = gateways * AGENTS_PER_GATEWAY;
        let shared = Arc::new(Shared::new(State::new(cells, agents)));
        let mut endpoints = Vec::new();
        for endpoint in 0..cells.len() {
            let is_closed = move |shared: &Shared| shared.state().closed_to_connections.contains(&endpoint);
            let serve = move |shared: &Shared, message, stream: &mut _| {
                serve_endpoint(shared, endpoint, message, stream)
            };
            endpoints.push(listen(&shared, ENDPOINT_BACKLOG, is_closed, serve)?);
        }
        let listed = Arc::new(endpoints.clone());
        let listen_discovery = |address: usize| {
            let listed = listed.clone();
            let serve = move |shared: &Shared, message, stream: &mut _| {
                serve_discovery(shared, address, &listed, &message, stream)
            };
            listen(&shared, AGENT_BACKLOG, |_| false, serve)
        };
        let discovery = (0..agents).map(listen_discovery).collect::<io::Result<_>>()?;
        Ok(Platform { shared, endpoints, discovery })
    }

    /// Sets how an endpoint responds from now on.
    pub fn set_behaviour(&self, endpoint: usize, behaviour: EndpointBehaviour) {
        self.shared.state().behaviour[endpoint] = behaviour;
    }

    /// Sets how an agent answers from now on.
    pub fn set_agent_behaviour(&self, address: usize, behaviour: AgentBehaviour) {
        self.shared.state().agents[address] = behaviour;
    }

    /// Sets how many requests a second the endpoint list states for each endpoint.
    pub fn set_weight(&self, weight: f64) {
        let mut state = self.shared.state();
        state.generation += 1;
        state.weight = weight;
    }

    /// Lets an endpoint accept connections or not. While it does not, a few come up and are reset in the end, and others come
    /// up late or never.
    pub fn set_accepting(&self, endpoint: usize, accepting: bool) {
        let mut state = self.shared.state();
        if accepting {
            state.closed_to_connections.remove(&endpoint);
        } else {
            state.closed_to_connections.insert(endpoint);
        }
    }

    /// Sets an endpoint's state in the endpoint list from now on.
    pub fn set_lifecycle(&self, endpoint: usize, lifecycle: &'static str) {
        self.shared.state().set_lifecycle(endpoint, lifecycle);
        self.shared.notify_changed();
    }

    /// Records an event that the platform does not see itself: what a client or a process met.
    pub fn record(&self, event: PlatformEvent) {
        self.shared.record(event);
    }

    /// All events so far.
    pub fn events(&self) -> Vec<TimedEvent> {
        self.shared.state().events.clone()
    }

    /// Waits until the events are as wanted, at most for `timeout`; returns whether they are.
    pub fn wait_until(&self, timeout: Duration, wanted: impl Fn(&[TimedEvent]) -> bool) -> bool {
        let mut is_as_wanted = false;
        let state = self.shared.wait_for(timeout, |state| {
            is_as_wanted = wanted(&state.events);
            is_as_wanted
        });
        drop(state);
        is_as_wanted
    }

    /// Submits a message on a connection and records it if it is accepted; returns the reply line.
    ///
    /// # Errors
    ///
    /// If the connection fails or ends before the reply does.
    pub fn submit(&self, stream: &mut TcpStream, put: &PutCommand) -> io::Result<String> {
        stream.write_all(&put.encode())?;
        let line = read_line(stream)?;
        if line.starts_with('+') {
            self.shared.record(PlatformEvent::Accepted {
                id: put.id.clone(),
                key: put.key,
                unrepeatable: put.idempotency.is_none(),
            });
        }
        Ok(line)
    }

    /// The endpoint list in discovery's form, as a configuration's `known`.
    pub fn endpoint_list(&self) -> serde_json::Value {
        self.shared.state().list_json(&self.endpoints)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.stop();
        // Each listener is woken once, and sees that the platform has stopped.
        for address in self.endpoints.iter().chain(&self.discovery) {
            let _ = TcpStream::connect(address);
        }
    }
}
