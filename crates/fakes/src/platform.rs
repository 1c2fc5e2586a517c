//! The users' platform on loopback: endpoints, discovery with its watch, notifications, and a client's side of a
//! submission. It records what passed on its sockets, and [`check_invariants`] reads that alone.

mod events;
mod invariants;
mod server;
mod state;
mod submission;

pub use events::{PlatformEvent, TimedEvent};
pub use invariants::{check_invariants, find_violations, InvariantRules, Violation, ViolationKind};
pub use state::EndpointBehaviour;
pub use submission::{read_line, PutCommand};

use server::{listen, serve_discovery, serve_endpoint};
use state::{Shared, State};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A running platform on loopback.
pub struct Platform {
    shared: Arc<Shared>,
    /// Addresses of the endpoints.
    pub endpoints: Vec<SocketAddr>,
    /// Two addresses of discovery; a configuration names the one that counts.
    pub discovery: [SocketAddr; 2],
}

impl Platform {
    /// Starts one endpoint for each of these destinations; each delivers at once until its behaviour is set.
    ///
    /// # Errors
    ///
    /// If a port can't be listened on.
    pub fn start(cells: &[u16]) -> io::Result<Platform> {
        let shared = Arc::new(Shared::new(State::new(cells)));
        let mut endpoints = Vec::new();
        for endpoint in 0..cells.len() {
            endpoints.push(listen(&shared, move |shared, message, stream| {
                serve_endpoint(shared, endpoint, message, stream)
            })?);
        }
        let listed = Arc::new(endpoints.clone());
        let listen_discovery = |address: usize| {
            let listed = listed.clone();
            listen(&shared, move |shared, message, stream| {
                serve_discovery(shared, address, &listed, &message, stream)
            })
        };
        let discovery = [listen_discovery(0)?, listen_discovery(1)?];
        Ok(Platform { shared, endpoints, discovery })
    }

    /// Sets how an endpoint responds from now on.
    pub fn set_behaviour(&self, endpoint: usize, behaviour: EndpointBehaviour) {
        self.shared.state().behaviour[endpoint] = behaviour;
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
