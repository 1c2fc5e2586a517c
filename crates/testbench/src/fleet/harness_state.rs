//! The state that all parts of the load harness share: sockets, fake endpoints, clients, timers and the record.

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

/// Any free port of loopback.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The state of a run. Times are since its start.
pub(super) struct HarnessState<'a> {
    pub scenario: &'a LoadBalanceScenario,
    pub net: Net,
    pub started: Instant,
    pub rng: ChaCha8Rng,
    /// The model of partners and endpoints.
    pub sites: SimulatedPartners,
    pub traffic: Traffic,
    pub endpoint_list: EndpointList,
    pub watches: Watches,
    pub servers: HttpServers,
    /// The listener of each endpoint; none where it was shut.
    pub endpoint_listeners: Vec<Option<ListenerId>>,
    pub clients: ClientConnections,
    pub timers: TimerQueue,
    pub requests: Vec<EndpointRequest>,
    pub tracker: InvariantTracker,
    /// The gateway processes, once they are started.
    pub supervisor: Option<ProcessSupervisor>,
    /// Gateways with lower numbers than this get delayed responses of one endpoint.
    pub delayed_gateways: usize,
    /// Why the run must end.
    pub failure: Option<FleetError>,
}

impl<'a> HarnessState<'a> {
    /// The state before anything listens.
    pub fn new(scenario: &'a LoadBalanceScenario, seed: u64) -> Result<Self, FleetError> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sites = SimulatedPartners::new(scenario, &mut rng);
        let mut net = Net::new().map_err(FleetError::io("event loop"))?;
        // Guards against gateways that outlive the testbench: interrupted, it ends them first.
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
            sites,
        })
    }

    /// Opens all endpoints and service discovery; returns where discovery listens.
    pub fn listen(&mut self) -> Result<SocketAddr, FleetError> {
        let (listener, discovery) = self.net.listen(ANY_PORT).map_err(FleetError::io("discovery"))?;
        self.servers.add_listener(listener, Service::Discovery);
        for endpoint in 0..self.sites.endpoints.len() {
            self.open_endpoint(endpoint)?;
        }
        let partners = self.sites.partners.len();
        self.tracker.run.record.partners = vec![Partner::default(); partners];
        for partner in 0..partners {
            self.record_limit(Duration::ZERO, partner);
        }
        Ok(discovery)
    }

    /// Lets an endpoint listen, and lists and records it.
    pub fn open_endpoint(&mut self, endpoint: usize) -> Result<(), FleetError> {
        let (listener, address) = self.net.listen(ANY_PORT).map_err(FleetError::io("endpoint"))?;
        self.servers.add_listener(listener, Service::Endpoint(endpoint));
        self.endpoint_listeners.push(Some(listener));
        self.endpoint_list.add(address);
        self.tracker.run.record.endpoints.push(self.sites.endpoints[endpoint].record_entry());
        Ok(())
    }

    /// Records a partner's shared limit as it is now.
    pub fn record_limit(&mut self, now: Duration, partner: usize) {
        if let Some(limit) = self.sites.partners[partner].total_limit() {
            self.tracker.run.record.partners[partner].limit_steps.push((now, limit));
        }
    }

    /// Schedules a response to every open watch of the endpoint list, each at a random time within `within`.
    pub fn notify_watches(&mut self, now: Duration, within: Duration) {
        for (connection, watch) in self.watches.waiting() {
            let at = now + within.mul_f64(self.rng.random::<f64>());
            self.timers.schedule(at, Timer::WatchResponse { connection, watch });
        }
    }
}
