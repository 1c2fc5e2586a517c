//! Fake platform on loopback: endpoints, discovery agents that serve the endpoint list and receive notifications, and
//! the client's side of a submission. It records what passes on its sockets, and [`check_invariants`] relies on these
//! records alone.

mod agent;
mod endpoint;
mod events;
mod invariants;
mod mixed_responses;
mod repeated_responses;
mod server;
mod state;
mod submission;

pub use events::{PlatformEvent, TimedEvent};
pub use invariants::{
    check_invariants, find_violations, InvariantRules, SlowStartRule, Violation, ViolationKind,
};
pub use mixed_responses::{MixedResponses, ResponsePart};
pub use repeated_responses::{RepeatedResponse, Surplus};
pub use state::{AgentBehaviour, EndpointBehaviour, ExternalEndpoint};
pub use submission::{read_line, PutCommand};

use agent::serve_discovery;
use endpoint::serve_endpoint;
use server::listen;
use state::{ExternalInstance, Shared, State};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Most connections that the operating system queues for an endpoint until they are accepted.
const ENDPOINT_BACKLOG: i32 = 16;
/// Most connections that the operating system queues for a discovery agent until they are accepted.
const AGENT_BACKLOG: i32 = 128;

/// Discovery addresses of each gateway, between which a test can move it by a configuration reload.
pub const AGENTS_PER_GATEWAY: usize = 2;

/// A running fake platform on loopback. Dropping it stops its servers.
pub struct Platform {
    shared: Arc<Shared>,
    /// Addresses of the endpoints, by endpoint index.
    pub endpoints: Vec<SocketAddr>,
    /// Discovery addresses, [`AGENTS_PER_GATEWAY`] for each gateway; its configuration names the one that it uses.
    pub discovery: Vec<SocketAddr>,
}

impl Platform {
    /// Starts one endpoint for each of these destinations, and the discovery agents of one gateway.
    ///
    /// # Errors
    ///
    /// If a listener can't be opened.
    pub fn start(destinations: &[u16]) -> io::Result<Platform> {
        Platform::start_with_gateways(destinations, 1)
    }

    /// Starts one endpoint for each of these destinations, and [`AGENTS_PER_GATEWAY`] discovery agents for each of this
    /// many gateways, in the order of the gateways. Until a behaviour is set, endpoints deliver at once and agents
    /// answer at once.
    ///
    /// # Errors
    ///
    /// If a listener can't be opened.
    pub fn start_with_gateways(destinations: &[u16], gateways: usize) -> io::Result<Platform> {
        let agents = gateways * AGENTS_PER_GATEWAY;
        let shared = Arc::new(Shared::new(State::new(destinations, agents)));
        let mut endpoints = Vec::new();
        for endpoint in 0..destinations.len() {
            let is_closed = move |shared: &Shared| shared.state().closed_to_connections.contains(&endpoint);
            let serve = move |shared: &Arc<Shared>, message, stream: &mut _| {
                serve_endpoint(shared, endpoint, message, stream)
            };
            let on_accepted = |shared: &Shared| shared.record(PlatformEvent::ConnectionAccepted);
            endpoints.push(listen(&shared, ENDPOINT_BACKLOG, is_closed, on_accepted, serve)?);
        }
        let addresses = Arc::new(endpoints.clone());
        let listen_discovery = |address: usize| {
            let addresses = addresses.clone();
            let serve = move |shared: &Arc<Shared>, message, stream: &mut _| {
                serve_discovery(shared, address, &addresses, &message, stream)
            };
            listen(&shared, AGENT_BACKLOG, |_| false, |_| {}, serve)
        };
        let discovery = (0..agents).map(listen_discovery).collect::<io::Result<_>>()?;
        Ok(Platform { shared, endpoints, discovery })
    }

    /// Sets how an endpoint handles requests that arrive from now on.
    pub fn set_behaviour(&self, endpoint: usize, behaviour: EndpointBehaviour) {
        self.shared.state().behaviour[endpoint] = behaviour;
    }

    /// Sets how the agent with this discovery address handles requests from now on.
    pub fn set_agent_behaviour(&self, address: usize, behaviour: AgentBehaviour) {
        self.shared.state().agents[address] = behaviour;
    }

    /// Sets the rate limit, in requests per second, that the endpoint list states for each endpoint.
    pub fn set_weight(&self, weight: f64) {
        let mut state = self.shared.state();
        state.generation += 1;
        state.weight = weight;
    }

    /// Sets whether an endpoint accepts connections. While it does not, the operating system establishes as many as fit
    /// into the backlog, which are reset when the endpoint accepts again; others are established late or never.
    pub fn set_accepting(&self, endpoint: usize, accepting: bool) {
        let mut state = self.shared.state();
        if accepting {
            state.closed_to_connections.remove(&endpoint);
        } else {
            state.closed_to_connections.insert(endpoint);
        }
    }

    /// Sets the lifecycle that the endpoint list states for an endpoint (`SERVING` or `DRAINING`), and publishes the
    /// list.
    pub fn set_lifecycle(&self, endpoint: usize, lifecycle: &'static str) {
        self.shared.state().set_lifecycle(endpoint, lifecycle);
        self.shared.notify_changed();
    }

    /// Lists an endpoint that the test serves by itself, in place of an earlier entry with this id, and publishes the list.
    pub fn list_external_endpoint(&self, id: &str, address: SocketAddr, destination: u16) {
        let mut state = self.shared.state();
        state.generation += 1;
        state.external.insert(id.to_owned(), ExternalInstance { address, destination });
        drop(state);
        self.shared.notify_changed();
    }

    /// Replaces all endpoints that the test serves by itself, each with its id, address and destination, and publishes the list.
    pub fn replace_external_endpoints(&self, endpoints: impl IntoIterator<Item = ExternalEndpoint>) {
        let mut state = self.shared.state();
        state.generation += 1;
        let instance = |endpoint: ExternalEndpoint| {
            (endpoint.id, ExternalInstance { address: endpoint.address, destination: endpoint.destination })
        };
        state.external = endpoints.into_iter().map(instance).collect();
        drop(state);
        self.shared.notify_changed();
    }

    /// Removes an endpoint that the test serves by itself from the list, and publishes the list.
    pub fn unlist_external_endpoint(&self, id: &str) {
        let mut state = self.shared.state();
        state.generation += 1;
        state.external.remove(id);
        drop(state);
        self.shared.notify_changed();
    }

    /// Records an event that the platform does not observe itself, such as a client's reply or the end of a process.
    pub fn record(&self, event: PlatformEvent) {
        self.shared.record(event);
    }

    /// All events so far, in the order in which they were recorded, which can differ from that of their times.
    pub fn events(&self) -> Vec<TimedEvent> {
        self.shared.state().events.clone()
    }

    /// Waits until the events satisfy `condition`, at most for `timeout`; returns whether they do.
    pub fn wait_until(&self, timeout: Duration, condition: impl Fn(&[TimedEvent]) -> bool) -> bool {
        let mut is_satisfied = false;
        let state = self.shared.wait_for(timeout, |state| {
            is_satisfied = condition(&state.events);
            is_satisfied
        });
        drop(state);
        is_satisfied
    }

    /// Submits a message on a connection and returns the reply line. Records the message if it is accepted.
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

    /// The endpoint list in the JSON form of discovery, which a configuration takes as `known`.
    pub fn endpoint_list(&self) -> serde_json::Value {
        self.shared.state().list_json(&self.endpoints)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.stop();
        // One connection to each listener wakes its thread, which then sees that the platform has stopped.
        for address in self.endpoints.iter().chain(&self.discovery) {
            let _ = TcpStream::connect(address);
        }
    }
}
