//! State that the threads of a fake platform share: recorded events, configured behaviour and the endpoint list.

use super::events::{PlatformEvent, TimedEvent};
use super::mixed_responses::MixedResponses;
use super::repeated_responses::RepeatedResponse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How an endpoint handles a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointBehaviour {
    /// Responds with status 200 after this time.
    Deliver(Duration),
    /// Responds with these bytes. If they are not a complete response, the connection stays open until the gateway
    /// closes it.
    Respond(Vec<u8>),
    /// Never responds, and keeps the connection open until the gateway closes it.
    Silent,
    /// Closes the connection without a response.
    Disconnect,
    /// Resets the connection after this time, or earlier if the gateway closes it.
    Reset(Duration),
    /// Responds with status 200 and closes the connection, on which the next request may already be on its way.
    DeliverAndClose,
    /// Answers some requests at once, all alike, and delivers the others.
    Mixed(MixedResponses),
    /// Responds, and writes something behind the response.
    Repeat(RepeatedResponse),
    /// Responds with status 200 this long after both the deadline of the request and that of its message, so that the
    /// response does not count as delivery.
    DeliverLate(Duration),
}

/// How a discovery agent handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentBehaviour {
    /// Answers notifications at once, and requests for the endpoint list once it has changed.
    Prompt,
    /// Reads notifications and never answers; the connection stays open until the gateway closes it.
    LeavesNotifications,
    /// Answers notifications after this time.
    AnswersNotificationsLate(Duration),
    /// Reads notifications and closes the connection without an answer.
    BreaksNotifications,
    /// Never answers requests for the endpoint list, as in an outage of discovery.
    WithholdsLists,
    /// Closes the connection after half of the response with the endpoint list.
    TearsLists,
    /// Acknowledges notifications twice, the second time after this delay, and closes a connection on which another request
    /// arrives, unread.
    RepeatsAcknowledgements(Duration),
    /// Writes each endpoint list twice, the second time after this delay.
    RepeatsLists(Duration),
}

/// Rate limit in requests per second that the endpoint list states for an endpoint until another one is set.
const DEFAULT_WEIGHT: f64 = 100.0;

/// Entry of the endpoint list.
pub(super) struct ListedInstance {
    /// Index of its endpoint.
    pub(super) endpoint: usize,
    /// Destination that the endpoint serves.
    pub(super) destination: u16,
    /// `SERVING` or `DRAINING`.
    pub(super) lifecycle: &'static str,
}

/// An endpoint that a test serves by itself.
#[derive(Clone, Debug)]
pub struct ExternalEndpoint {
    /// Id in the endpoint list.
    pub id: String,
    /// Address that the list states.
    pub address: SocketAddr,
    /// Destination that the endpoint serves.
    pub destination: u16,
}

/// Entry of the endpoint list for an endpoint that does not belong to the platform.
pub(super) struct ExternalInstance {
    /// Address that the list states.
    pub(super) address: SocketAddr,
    /// Destination that the endpoint serves.
    pub(super) destination: u16,
}

/// State of a fake platform that changes while it runs.
pub(super) struct State {
    pub(super) events: Vec<TimedEvent>,
    /// Behaviour of each endpoint, by index.
    pub(super) behaviour: Vec<EndpointBehaviour>,
    /// Endpoints that do not accept connections at present.
    pub(super) closed_to_connections: BTreeSet<usize>,
    /// Behaviour of each discovery agent, by the index of its address.
    pub(super) agents: Vec<AgentBehaviour>,
    /// Deadline of each message by its id, counted from the moment at which the client submitted it.
    pub(super) message_deadlines: HashMap<String, Duration>,
    /// Version of the endpoint list, raised by each change.
    pub(super) generation: u64,
    /// Entries of the endpoint list by instance id.
    pub(super) instances: BTreeMap<String, ListedInstance>,
    /// Entries of the endpoint list by instance id, for endpoints that the test serves by itself.
    pub(super) external: BTreeMap<String, ExternalInstance>,
    /// Rate limit in requests per second that the list states for each endpoint.
    pub(super) weight: f64,
    /// Id of the message of the request in progress on a connection to an endpoint, by the gateway's address.
    pub(super) open_requests: HashMap<SocketAddr, String>,
    /// Number of requests so far to endpoints that answer some of them at once.
    pub(super) mixed_requests: u64,
    /// Number of responses so far that may have been repeated.
    pub(super) repeatable_responses: u64,
    /// Connections for notifications on which a request was acknowledged, by the gateway's address.
    pub(super) acknowledged_connections: BTreeSet<SocketAddr>,
}

impl State {
    /// One endpoint for each of these destinations, all serving.
    pub(super) fn new(destinations: &[u16], agents: usize) -> Self {
        let instance = |(endpoint, destination): (usize, &u16)| {
            (
                instance_id(endpoint),
                ListedInstance { endpoint, destination: *destination, lifecycle: "SERVING" },
            )
        };
        State {
            events: Vec::new(),
            behaviour: vec![EndpointBehaviour::Deliver(Duration::ZERO); destinations.len()],
            closed_to_connections: BTreeSet::new(),
            agents: vec![AgentBehaviour::Prompt; agents],
            message_deadlines: HashMap::new(),
            generation: 1,
            instances: destinations.iter().enumerate().map(instance).collect(),
            external: BTreeMap::new(),
            weight: DEFAULT_WEIGHT,
            open_requests: HashMap::new(),
            mixed_requests: 0,
            repeatable_responses: 0,
            acknowledged_connections: BTreeSet::new(),
        }
    }

    pub(super) fn set_lifecycle(&mut self, endpoint: usize, lifecycle: &'static str) {
        self.generation += 1;
        if let Some(instance) = self.instances.get_mut(&instance_id(endpoint)) {
            instance.lifecycle = lifecycle;
        }
    }

    /// Indices of the draining endpoints.
    pub(super) fn draining(&self) -> Vec<usize> {
        let is_draining = |instance: &&ListedInstance| instance.lifecycle == "DRAINING";
        self.instances.values().filter(is_draining).map(|instance| instance.endpoint).collect()
    }

    /// The endpoint list in the JSON form of discovery's responses.
    pub(super) fn list_json(&self, addresses: &[SocketAddr]) -> serde_json::Value {
        let entry = |id: &String, address: SocketAddr, destination: u16, lifecycle: &str| {
            serde_json::json!({
                "instanceId": id, "hostPort": address.to_string(), "zone": "here", "machineType": "any",
                "cell": destination, "lifecycle": lifecycle, "weight": self.weight, "startedAtMs": 0,
            })
        };
        let own = self.instances.iter().map(|(id, instance)| {
            entry(id, addresses[instance.endpoint], instance.destination, instance.lifecycle)
        });
        let external = self
            .external
            .iter()
            .map(|(id, instance)| entry(id, instance.address, instance.destination, "SERVING"));
        let instances: Vec<serde_json::Value> = own.chain(external).collect();
        serde_json::json!({ "generation": self.generation, "reset": true, "instances": instances })
    }
}

fn instance_id(endpoint: usize) -> String {
    format!("s-{endpoint}")
}

/// The state, with notice of its changes, and the clock that event times are taken from.
pub(super) struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    stopped: AtomicBool,
}

impl Shared {
    pub(super) fn new(state: State) -> Self {
        Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            started: Instant::now(),
            stopped: AtomicBool::new(false),
        }
    }

    /// Time since the start of the platform, the time of an event recorded now.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record(&self, event: PlatformEvent) {
        self.record_at(self.now(), event);
    }

    /// Records an event that happened at an earlier time.
    pub(super) fn record_at(&self, at: Duration, event: PlatformEvent) {
        let mut state = self.state();
        if let PlatformEvent::Submitted { id, time_left, .. } = &event {
            state.message_deadlines.insert(id.clone(), at + *time_left);
        }
        state.events.push((at, event));
        drop(state);
        self.changed.notify_all();
    }

    /// Wakes the threads that wait for a change of the state.
    pub(super) fn notify_changed(&self) {
        self.changed.notify_all();
    }

    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.changed.notify_all();
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Waits until the state satisfies `condition`, at most for `timeout`; returns the locked state.
    pub(super) fn wait_for(
        &self,
        timeout: Duration,
        mut condition: impl FnMut(&State) -> bool,
    ) -> MutexGuard<'_, State> {
        let end = Instant::now() + timeout;
        let mut state = self.state();
        while !condition(&state) {
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            state = match self.changed.wait_timeout(state, remaining) {
                Ok((state, _)) => state,
                Err(error) => error.into_inner().0,
            };
        }
        state
    }
}
