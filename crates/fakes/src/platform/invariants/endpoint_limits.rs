//! Checks of what endpoints may be sent: nothing inside a `Retry-After`, nothing while they drain, little while they recover.

use super::super::events::PlatformEvent;
use super::super::AGENTS_PER_GATEWAY;
use super::facts::Facts;
use super::{InvariantRules, SlowStartRule, Violation, ViolationKind, LIMIT_SLACK};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Requests that come this soon behind a rejection may have been sent ahead of it (protocol page).
const CROSSING_TIME: Duration = Duration::from_millis(100);

/// A gateway and an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Path {
    gateway: usize,
    endpoint: usize,
}

struct Wait {
    told: Duration,
    until: Duration,
}

/// An endpoint that is out of order, or recovers.
#[derive(Default)]
struct Outage {
    /// Gateways that saw a request fail there meanwhile.
    told: BTreeSet<usize>,
    /// Since when it serves again.
    returned: Option<Duration>,
    /// Requests inside the last overload window.
    recent: VecDeque<RecentRequest>,
}

struct RecentRequest {
    at: Duration,
    /// Its gateway had been told of the outage.
    told: bool,
}

/// Whether an endpoint falls, and by whom.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fall {
    /// By gateways of which over two thirds had been told.
    Broken,
    /// By others.
    Excused,
}

/// What endpoints have said so far.
pub(super) struct EndpointLimits<'a> {
    facts: &'a Facts<'a>,
    rules: InvariantRules,
    waits: BTreeMap<Path, Wait>,
    /// Since when a gateway knows that an endpoint drains.
    drains: BTreeMap<Path, Duration>,
    outages: BTreeMap<usize, Outage>,
    /// The endpoint that a message's last request came to.
    endpoint_of: HashMap<&'a str, usize>,
}

impl<'a> EndpointLimits<'a> {
    pub fn new(facts: &'a Facts<'a>, rules: InvariantRules) -> Self {
        let (waits, drains, outages) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        EndpointLimits { facts, rules, waits, drains, outages, endpoint_of: HashMap::new() }
    }

    /// Checks one event.
    pub fn on_event(&mut self, at: Duration, event: &'a PlatformEvent) -> Vec<Violation> {
        match event {
            PlatformEvent::RequestReceived { id, endpoint, .. } => {
                self.endpoint_of.insert(id, *endpoint);
                return self.on_request(at, id, *endpoint);
            }
            PlatformEvent::AttemptEnded { id } | PlatformEvent::NotExecuted { id } => self.on_failure(id),
            PlatformEvent::RetryAfter { id, endpoint, wait } => self.on_retry_after(at, id, *endpoint, *wait),
            PlatformEvent::ListSent { address, draining } => {
                self.on_list(at, *address / AGENTS_PER_GATEWAY, draining);
            }
            // Lists reach a process that ends as long as it runs.
            PlatformEvent::GatewayDown { gateway } | PlatformEvent::GatewayStarted { gateway } => {
                self.on_restart(*gateway);
            }
            PlatformEvent::EndpointFailed { endpoint } => {
                self.outages.insert(*endpoint, Outage::default());
            }
            PlatformEvent::EndpointReturned { endpoint } => {
                self.outages.entry(*endpoint).or_default().returned = Some(at);
            }
            _ => {}
        }
        Vec::new()
    }

    /// A restart ends waits; the list that the next process starts with may be old, and it has seen no request fail.
    fn on_restart(&mut self, gateway: usize) {
        self.waits.retain(|path, _| path.gateway != gateway);
        self.drains.retain(|path, _| path.gateway != gateway);
        for outage in self.outages.values_mut() {
            outage.told.remove(&gateway);
        }
    }

    /// A request failed or was refused: its gateway is told of the outage, if there is one.
    fn on_failure(&mut self, id: &str) {
        let outage = self.endpoint_of.get(id).and_then(|endpoint| self.outages.get_mut(endpoint));
        if let (Some(outage), Some(gateway)) = (outage, self.facts.gateway_of(id)) {
            outage.told.insert(gateway);
        }
    }

    fn on_retry_after(&mut self, at: Duration, id: &str, endpoint: usize, wait: Duration) {
        let Some(gateway) = self.facts.gateway_of(id) else { return };
        let until = at + wait;
        let known = self.waits.entry(Path { gateway, endpoint }).or_insert(Wait { told: at, until });
        if until > known.until {
            *known = Wait { told: at, until };
        }
    }

    fn on_list(&mut self, at: Duration, gateway: usize, draining: &[usize]) {
        let draining: BTreeSet<usize> = draining.iter().copied().collect();
        self.drains.retain(|path, _| path.gateway != gateway || draining.contains(&path.endpoint));
        for endpoint in draining {
            self.drains.entry(Path { gateway, endpoint }).or_insert(at);
        }
    }

    fn on_request(&mut self, at: Duration, id: &str, endpoint: usize) -> Vec<Violation> {
        let mut kinds = Vec::new();
        let gateway = self.facts.gateway_of(id);
        if let Some(gateway) = gateway {
            let path = Path { gateway, endpoint };
            let is_inside = |wait: &Wait| at > wait.told + CROSSING_TIME && at + LIMIT_SLACK < wait.until;
            if self.waits.get(&path).is_some_and(is_inside) {
                kinds.push(ViolationKind::RetryAfterBroken);
            }
            let grace = self.rules.drain_grace.saturating_add(LIMIT_SLACK);
            if self.drains.get(&path).is_some_and(|told| at > told.saturating_add(grace)) {
                kinds.push(ViolationKind::DrainBroken);
            }
        }
        let rule = self.rules.slow_start;
        let fall = match (rule, self.outages.get_mut(&endpoint)) {
            (Some(rule), Some(outage)) => outage.on_request(at, gateway, rule),
            _ => None,
        };
        if fall.is_some() {
            // It falls once.
            self.outages.remove(&endpoint);
        }
        kinds.extend(fall.filter(|fall| *fall == Fall::Broken).map(|_| ViolationKind::SlowStartBroken));
        kinds.into_iter().map(|kind| Violation::new(kind, at, id)).collect()
    }
}

impl Outage {
    /// Counts a request; whether the recovering endpoint falls by it.
    fn on_request(&mut self, at: Duration, gateway: Option<usize>, rule: SlowStartRule) -> Option<Fall> {
        let elapsed = at.saturating_sub(self.returned?);
        if elapsed >= rule.warm_up_time {
            return None;
        }
        let told = gateway.is_some_and(|gateway| self.told.contains(&gateway));
        self.recent.push_back(RecentRequest { at, told });
        while self.recent.front().is_some_and(|first| first.at + rule.overload_window < at) {
            self.recent.pop_front();
        }
        let requests = self.recent.len() as f64;
        if requests <= most_requests(elapsed, rule) {
            return None;
        }
        let told = self.recent.iter().filter(|request| request.told).count() as f64;
        Some(if told > requests * 2.0 / 3.0 { Fall::Broken } else { Fall::Excused })
    }
}

/// How many requests in an overload window an endpoint bears so long after its return, with the standing page's slack.
fn most_requests(elapsed: Duration, rule: SlowStartRule) -> f64 {
    let warm_share = elapsed.as_secs_f64() / rule.warm_up_time.as_secs_f64();
    let share = rule.initial_capacity_share + (1.0 - rule.initial_capacity_share) * warm_share;
    let allowed = rule.overload_multiple * rule.capacity * share * rule.overload_window.as_secs_f64();
    if allowed < 30.0 {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}
