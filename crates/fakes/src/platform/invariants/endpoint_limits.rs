//! Checks the limits of endpoints: no request before the end of a `Retry-After`, none to a draining endpoint, and no
//! overload of an endpoint that recovers from an outage.

use super::super::events::PlatformEvent;
use super::super::AGENTS_PER_GATEWAY;
use super::facts::Facts;
use super::{InvariantRules, SlowStartRule, Violation, ViolationKind, LIMIT_SLACK};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// A request that arrives this soon after a response with `Retry-After` may have been sent before the gateway received
/// it, so the protocol allows it.
const CROSSING_TIME: Duration = Duration::from_millis(100);

/// A gateway and an endpoint that it sends to.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GatewayEndpoint {
    gateway: usize,
    endpoint: usize,
}

/// A `Retry-After` that a gateway has received from an endpoint.
struct RetryAfterWait {
    /// When the response was written.
    received: Duration,
    until: Duration,
}

/// An outage of an endpoint, and its recovery.
#[derive(Default)]
struct Outage {
    /// Gateways that know of the outage, because a request of theirs failed at the endpoint.
    informed: BTreeSet<usize>,
    /// When the outage ended.
    ended: Option<Duration>,
    /// Requests within the last overload window.
    recent: VecDeque<RecentRequest>,
}

struct RecentRequest {
    at: Duration,
    /// Whether its gateway knew of the outage.
    informed: bool,
}

/// Overload of a recovering endpoint, by the gateways that caused it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Overload {
    /// More than two thirds of the requests came from gateways that knew of the outage.
    Violation,
    /// At most two thirds did, so the gateways are excused.
    Excused,
}

/// What the gateways know of the endpoints after the events so far.
pub(super) struct EndpointLimits<'a> {
    facts: &'a Facts<'a>,
    rules: InvariantRules,
    /// `Retry-After` waits that gateways have received.
    waits: BTreeMap<GatewayEndpoint, RetryAfterWait>,
    /// When a gateway received the first list in which an endpoint drains.
    drains: BTreeMap<GatewayEndpoint, Duration>,
    /// Outages by endpoint index, until the endpoint is overloaded in its recovery.
    outages: BTreeMap<usize, Outage>,
    /// Endpoint that received the last request of each message.
    endpoint_of: HashMap<&'a str, usize>,
}

impl<'a> EndpointLimits<'a> {
    pub fn new(facts: &'a Facts<'a>, rules: InvariantRules) -> Self {
        let (waits, drains, outages) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        EndpointLimits { facts, rules, waits, drains, outages, endpoint_of: HashMap::new() }
    }

    /// Applies one event; returns the violations that it shows.
    pub fn on_event(&mut self, at: Duration, event: &'a PlatformEvent) -> Vec<Violation> {
        match event {
            PlatformEvent::RequestReceived { id, endpoint, .. } => {
                self.endpoint_of.insert(id, *endpoint);
                return self.on_request(at, id, *endpoint);
            }
            PlatformEvent::AttemptEnded { id }
            | PlatformEvent::NotExecuted { id }
            | PlatformEvent::AttemptsExhausted { id } => self.on_failure(id),
            PlatformEvent::RetryAfter { id, endpoint, wait } => self.on_retry_after(at, id, *endpoint, *wait),
            PlatformEvent::ListSent { address, draining } => {
                self.on_list(at, *address / AGENTS_PER_GATEWAY, draining);
            }
            // Both, because a process that was told to end still receives lists as long as it runs.
            PlatformEvent::GatewayDown { gateway } | PlatformEvent::GatewayStarted { gateway } => {
                self.on_restart(*gateway);
            }
            PlatformEvent::EndpointFailed { endpoint } => {
                self.outages.insert(*endpoint, Outage::default());
            }
            PlatformEvent::EndpointReturned { endpoint } => {
                self.outages.entry(*endpoint).or_default().ended = Some(at);
            }
            _ => {}
        }
        Vec::new()
    }

    /// Forgets what a gateway process knew of waits, which a restart ends, and of failed requests. The drains that it was told
    /// are not forgotten: the endpoint list has to outlive the process, and "whatever the agent has counts as told".
    fn on_restart(&mut self, gateway: usize) {
        self.waits.retain(|pair, _| pair.gateway != gateway);
        for outage in self.outages.values_mut() {
            outage.informed.remove(&gateway);
        }
    }

    /// A request failed or was refused, so its gateway knows of the outage of the endpoint, if there is one.
    fn on_failure(&mut self, id: &str) {
        let outage = self.endpoint_of.get(id).and_then(|endpoint| self.outages.get_mut(endpoint));
        if let (Some(outage), Some(gateway)) = (outage, self.facts.gateway_of(id)) {
            outage.informed.insert(gateway);
        }
    }

    fn on_retry_after(&mut self, at: Duration, id: &str, endpoint: usize, wait: Duration) {
        let Some(gateway) = self.facts.gateway_of(id) else { return };
        let until = at + wait;
        let known = self
            .waits
            .entry(GatewayEndpoint { gateway, endpoint })
            .or_insert(RetryAfterWait { received: at, until });
        if until > known.until {
            *known = RetryAfterWait { received: at, until };
        }
    }

    fn on_list(&mut self, at: Duration, gateway: usize, draining: &[usize]) {
        let draining: BTreeSet<usize> = draining.iter().copied().collect();
        self.drains.retain(|pair, _| pair.gateway != gateway || draining.contains(&pair.endpoint));
        for endpoint in draining {
            self.drains.entry(GatewayEndpoint { gateway, endpoint }).or_insert(at);
        }
    }

    fn on_request(&mut self, at: Duration, id: &str, endpoint: usize) -> Vec<Violation> {
        let mut kinds = Vec::new();
        let gateway = self.facts.gateway_of(id);
        if let Some(gateway) = gateway {
            let pair = GatewayEndpoint { gateway, endpoint };
            let is_inside =
                |wait: &RetryAfterWait| at > wait.received + CROSSING_TIME && at + LIMIT_SLACK < wait.until;
            if self.waits.get(&pair).is_some_and(is_inside) {
                kinds.push(ViolationKind::RetryAfterBroken);
            }
            let grace = self.rules.drain_grace.saturating_add(LIMIT_SLACK);
            if self.drains.get(&pair).is_some_and(|received| at > received.saturating_add(grace)) {
                kinds.push(ViolationKind::DrainBroken);
            }
        }
        let rule = self.rules.slow_start;
        let overload = match (rule, self.outages.get_mut(&endpoint)) {
            (Some(rule), Some(outage)) => outage.on_request(at, gateway, rule),
            _ => None,
        };
        if overload.is_some() {
            // An overload is reported once for each outage.
            self.outages.remove(&endpoint);
        }
        kinds.extend(
            overload
                .filter(|overload| *overload == Overload::Violation)
                .map(|_| ViolationKind::SlowStartBroken),
        );
        kinds.into_iter().map(|kind| Violation::new(kind, at, id)).collect()
    }
}

impl Outage {
    /// Counts a request; returns the overload of the recovering endpoint that it causes, if any.
    fn on_request(&mut self, at: Duration, gateway: Option<usize>, rule: SlowStartRule) -> Option<Overload> {
        let elapsed = at.saturating_sub(self.ended?);
        if elapsed >= rule.warm_up_time {
            return None;
        }
        let informed = gateway.is_some_and(|gateway| self.informed.contains(&gateway));
        self.recent.push_back(RecentRequest { at, informed });
        while self.recent.front().is_some_and(|first| first.at + rule.overload_window < at) {
            self.recent.pop_front();
        }
        let requests = self.recent.len() as f64;
        if requests <= max_requests(elapsed, rule) {
            return None;
        }
        let informed = self.recent.iter().filter(|request| request.informed).count() as f64;
        Some(if informed > requests * 2.0 / 3.0 { Overload::Violation } else { Overload::Excused })
    }
}

/// Most requests in an overload window that an endpoint can take `elapsed` after the end of its outage. The tolerance
/// for random arrivals is three standard deviations of the allowed number plus three requests below 30, and two of each
/// from 30 on.
fn max_requests(elapsed: Duration, rule: SlowStartRule) -> f64 {
    let warm_share = elapsed.as_secs_f64() / rule.warm_up_time.as_secs_f64();
    let share = rule.initial_capacity_share + (1.0 - rule.initial_capacity_share) * warm_share;
    let allowed = rule.overload_multiple * rule.capacity * share * rule.overload_window.as_secs_f64();
    if allowed < 30.0 {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}
