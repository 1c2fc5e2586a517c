//! State shared by all parts of the load harness: sockets, fake endpoints, clients, timers and the record.

use super::clients::ClientConnections;
use super::discovery::Watches;
use super::endpoint_list::EndpointList;
use super::endpoints::{EndpointRequest, HttpServers, Service};
use super::error::FleetError;
use super::invariants::InvariantTracker;
use super::supervisor::ProcessSupervisor;
use super::timers::{Timer, TimerQueue};
use cloverstile_load_metrics::Partner;
use cloverstile_net::{ListenerId, Net, SignalKind};
use cloverstile_simulator::{LoadBalanceScenario, SimulatedPartners, Traffic};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Loopback address with a port assigned by the operating system.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The state of a run. All times are relative to `started`.
pub(super) struct HarnessState<'a> {
    pub scenario: &'a LoadBalanceScenario,
    pub net: Net,
    pub started: Instant,
    pub rng: ChaCha8Rng,
    /// The simulator's model of partners and endpoints, which decides how requests are answered.
    pub model: SimulatedPartners,
    pub traffic: Traffic,
    pub endpoint_list: EndpointList,
    pub watches: Watches,
    pub servers: HttpServers,
    /// Listener of each endpoint; `None` once it is closed.
    pub endpoint_listeners: Vec<Option<ListenerId>>,
    pub clients: ClientConnections,
    pub timers: TimerQueue,
    pub requests: Vec<EndpointRequest>,
    pub tracker: InvariantTracker,
    /// The gateway processes; `None` until they are started.
    pub supervisor: Option<ProcessSupervisor>,
    /// Number of gateways, from index 0, to which each partner's first endpoint responds late (`slow-for` fault).
    pub delayed_gateways: usize,
    /// Error that ends the run at the next iteration of the event loop.
    pub failure: Option<FleetError>,
}

impl<'a> HarnessState<'a> {
    /// Creates the state without any listener, and starts to watch for SIGINT and SIGTERM.
    pub fn new(scenario: &'a LoadBalanceScenario, seed: u64) -> Result<Self, FleetError> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let model = SimulatedPartners::new(scenario, &mut rng);
        let mut net = Net::new().map_err(FleetError::io("event loop"))?;
        // A signal must not end the testbench before it has stopped the gateways, or they would outlive it.
        net.watch_signals(&[SignalKind::SIGINT, SignalKind::SIGTERM]).map_err(FleetError::io("signals"))?;
        Ok(HarnessState {
            net,
            started: Instant::now(),
            endpoint_list: EndpointList::new(),
            watches: Watches::default(),
            servers: HttpServers::default(),
            endpoint_listeners: Vec::new(),
            clients: ClientConnections::new(scenario.instances),
            timers: TimerQueue::default(),
            requests: Vec::new(),
            tracker: InvariantTracker::new(scenario.class.values().cloned()),
            supervisor: None,
            traffic: Traffic::new(scenario),
            delayed_gateways: 0,
            failure: None,
            scenario,
            rng,
            model,
        })
    }

    /// Opens the listeners of service discovery and of all endpoints, and records the initial limits. Returns the
    /// address of service discovery.
    pub fn listen(&mut self) -> Result<SocketAddr, FleetError> {
        let (listener, discovery) = self.net.listen(ANY_PORT).map_err(FleetError::io("discovery"))?;
        self.servers.add_listener(listener, Service::Discovery);
        for endpoint in 0..self.model.endpoints.len() {
            self.open_endpoint(endpoint)?;
        }
        let partners = self.model.partners.len();
        self.tracker.run.record.partners = vec![Partner::default(); partners];
        for partner in 0..partners {
            self.record_limit(Duration::ZERO, partner);
        }
        Ok(discovery)
    }

    /// Opens the listener of an endpoint and adds the endpoint to the endpoint list and the record.
    pub fn open_endpoint(&mut self, endpoint: usize) -> Result<(), FleetError> {
        let (listener, address) = self.net.listen(ANY_PORT).map_err(FleetError::io("endpoint"))?;
        self.servers.add_listener(listener, Service::Endpoint(endpoint));
        self.endpoint_listeners.push(Some(listener));
        self.endpoint_list.add(address);
        self.tracker.run.record.endpoints.push(self.model.endpoints[endpoint].record_entry());
        Ok(())
    }

    /// Records the current limit of a partner, if it has one.
    pub fn record_limit(&mut self, now: Duration, partner: usize) {
        if let Some(limit) = self.model.partners[partner].total_limit() {
            self.tracker.run.record.partners[partner].limit_steps.push((now, limit));
        }
    }

    /// Schedules a response to every open watch of the endpoint list, each after a random delay of less than
    /// `max_delay`.
    pub fn notify_watches(&mut self, now: Duration, max_delay: Duration) {
        for (connection, watch) in self.watches.open_watches() {
            let at = now + max_delay.mul_f64(self.rng.random::<f64>());
            self.timers.schedule(at, Timer::WatchResponse { connection, watch });
        }
    }
}
