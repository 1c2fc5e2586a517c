//! Baseline clients for comparison with the delivery policy: published algorithms for endpoint selection and rate
//! limiting around a plain queue, with the oldest message first and retries after exponential backoff with full jitter.
//! Not for production.

use super::partners::LoadReport;
use super::selection::{EndpointSelection, EndpointState, InstancePosition, ProbePool, Selection};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Algorithm that keeps a client within a rate limit that all instances share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Limiter {
    /// No limiter: only `Retry-After` delays requests.
    None,
    /// Additive increase, multiplicative decrease: the rate rises by one request per second each second and is halved
    /// by each rejection.
    Aimd,
    /// The advertised rate divided by the number of instances.
    FairShare,
    /// Adaptive throttling: the client holds a request back with probability
    /// `(requested - 2 * accepted) / (requested + 1)`.
    Adaptive,
}

impl Limiter {
    /// All algorithms, in the order of declaration.
    pub const ALL: [Limiter; 4] = [Limiter::None, Limiter::Aimd, Limiter::FairShare, Limiter::Adaptive];

    /// The name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Limiter::None => "none",
            Limiter::Aimd => "aimd",
            Limiter::FairShare => "even",
            Limiter::Adaptive => "adaptive",
        }
    }
}

/// Probes sent with each request.
const PROBES_PER_REQUEST: usize = 2;
/// Time constant, in seconds, with which the counts of adaptive throttling decay.
const THROTTLING_DECAY_S: f64 = 30.0;
/// The backoff before a retry is drawn uniformly between zero and this base, doubled for each attempt so far, but at most
/// the maximum.
const BASE_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// An attempt without a response has an unknown outcome after this time.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of a baseline client.
#[derive(Clone, Copy, Debug)]
pub struct BaselineSettings {
    /// Index of the instance.
    pub instance: usize,
    /// Number of all instances.
    pub instances: usize,
    pub selection: EndpointSelection,
    pub limiter: Limiter,
    /// Most requests in flight.
    pub concurrency_limit: usize,
    /// Most messages held, queued or in flight.
    pub max_held: usize,
}

/// What a baseline client asks its caller to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an endpoint.
    Send { message: u32, endpoint: usize },
    /// Ask an endpoint for its current load.
    Probe { endpoint: usize },
    /// Give up a message that has not been delivered; `may_have_run` tells whether it may have taken effect.
    Expire { message: u32, may_have_run: bool },
}

/// A message that the client holds.
struct PendingMessage {
    partner: usize,
    deadline: Duration,
    repeatable: bool,
    attempts: u32,
    may_have_run: bool,
    /// Endpoint and time of the attempt in flight.
    in_flight: Option<(usize, Duration)>,
}

/// Client-side state of a partner.
#[derive(Default)]
struct Partner {
    endpoints: Vec<usize>,
    advertised_rate: Option<f64>,
    /// Round-robin position.
    position: usize,
    queue: VecDeque<u32>,
    /// Token bucket of the limiter: rate, tokens and time of the last refill.
    rate: f64,
    tokens: f64,
    refilled_at: Duration,
    /// Decaying counts of adaptive throttling, and the time of the last decay.
    requested: f64,
    accepted: f64,
    decayed_at: Duration,
    /// Latest end of the `Retry-After` times received.
    blocked_until: Duration,
}

/// A baseline client: an endpoint selection and a limiter.
pub struct BaselineClient {
    settings: BaselineSettings,
    rng: ChaCha8Rng,
    partners: Vec<Partner>,
    endpoint_states: BTreeMap<usize, EndpointState>,
    probe_pool: ProbePool,
    messages: BTreeMap<u32, PendingMessage>,
    /// Messages that wait for their backoff to end, by that time.
    retries: BTreeSet<(Duration, u32)>,
    deadlines: BTreeSet<(Duration, u32)>,
    /// Requests in flight to all partners.
    in_flight: usize,
    /// Partner that is served first next time; rotates, so that none is always first.
    first_partner: usize,
}

impl BaselineClient {
    pub fn new(settings: BaselineSettings, seed: u64) -> BaselineClient {
        BaselineClient {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            partners: Vec::new(),
            endpoint_states: BTreeMap::new(),
            probe_pool: ProbePool::default(),
            messages: BTreeMap::new(),
            retries: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            in_flight: 0,
            first_partner: 0,
        }
    }

    /// Updates, for each partner, the endpoints that accept requests and the advertised rate limit.
    pub fn update_endpoints(&mut self, lists: Vec<(Vec<usize>, Option<f64>)>) {
        self.partners.resize_with(lists.len(), Partner::default);
        let fair_share = 1.0 / self.settings.instances.max(1) as f64;
        for (partner, (endpoints, rate)) in self.partners.iter_mut().zip(lists) {
            if partner.advertised_rate.is_none() {
                // The rate starts at the fair share, with a token for one immediate request.
                partner.rate = rate.map_or(f64::INFINITY, |rate| rate * fair_share);
                partner.tokens = 1.0;
            }
            partner.advertised_rate = rate;
            partner.endpoints = endpoints;
        }
    }

    /// Queues a message. Returns false and drops it if the client already holds the maximum.
    pub fn submit(&mut self, message: u32, partner: usize, deadline: Duration, repeatable: bool) -> bool {
        if self.messages.len() >= self.settings.max_held {
            return false;
        }
        let pending = PendingMessage {
            partner,
            deadline,
            repeatable,
            attempts: 0,
            may_have_run: false,
            in_flight: None,
        };
        self.messages.insert(message, pending);
        self.deadlines.insert((deadline, message));
        if let Some(partner) = self.partners.get_mut(partner) {
            partner.queue.push_back(message);
        }
        true
    }

    fn remove_message(&mut self, message: u32) {
        let Some(pending) = self.messages.remove(&message) else { return };
        self.deadlines.remove(&(pending.deadline, message));
        if let Some(partner) = self.partners.get_mut(pending.partner) {
            partner.queue.retain(|other| *other != message);
        }
        if let Some((endpoint, _)) = pending.in_flight {
            self.in_flight -= 1;
            self.endpoint_states
                .entry(endpoint)
                .and_modify(|state| state.in_flight = state.in_flight.saturating_sub(1));
        }
    }

    /// Records the result of an attempt and schedules a retry if it was not delivered. Returns true if the message is
    /// completed. A result of an attempt that is no longer in flight is ignored.
    pub fn on_attempt_completed(
        &mut self,
        now: Duration,
        message: u32,
        result: AttemptResult,
        load: Option<LoadReport>,
    ) -> bool {
        let Some(pending) = self.messages.get_mut(&message) else { return false };
        let Some((endpoint, sent)) = pending.in_flight.take() else { return false };
        self.in_flight -= 1;
        let state = self.endpoint_states.entry(endpoint).or_default();
        state.in_flight = state.in_flight.saturating_sub(1);
        state.load = load.unwrap_or(state.load);
        let partner = &mut self.partners[pending.partner];
        match result {
            AttemptResult::Delivered => {
                state.latency = 0.8 * state.latency + 0.2 * (now - sent).as_secs_f64();
                partner.accepted += 1.0;
                self.remove_message(message);
                return true;
            }
            AttemptResult::Rejected(wait) => {
                partner.blocked_until = partner.blocked_until.max(now + wait.unwrap_or_default());
                if self.settings.limiter == Limiter::Aimd {
                    partner.rate = (partner.rate.min(1e6) / 2.0).max(0.05);
                }
            }
            AttemptResult::Unknown => pending.may_have_run = true,
        }
        let backoff = (BASE_BACKOFF * 2u32.saturating_pow(pending.attempts.min(10))).min(MAX_BACKOFF);
        let backoff = backoff.mul_f64(self.rng.random::<f64>());
        self.retries.insert((now + backoff, message));
        false
    }

    /// Records the response to a probe: the requests in flight at the endpoint.
    pub fn on_probe_completed(&mut self, now: Duration, endpoint: usize, in_flight: f64) {
        let latency = self.endpoint_states.entry(endpoint).or_default().latency;
        self.probe_pool.add(now, endpoint, in_flight, latency);
    }

    /// Returns the actions that are due, and when to call again; `None` if there is nothing to wait for.
    pub fn advance(&mut self, now: Duration) -> (Vec<Action>, Option<Duration>) {
        let mut actions = Vec::new();
        while let Some(&(at, message)) = self.retries.first().filter(|(at, _)| *at <= now) {
            self.retries.remove(&(at, message));
            let Some(pending) = self.messages.get(&message) else { continue };
            if pending.may_have_run && !pending.repeatable {
                actions.push(Action::Expire { message, may_have_run: true });
                self.remove_message(message);
            } else if pending.in_flight.is_none() {
                // Retries go to the front of the queue because they are the oldest.
                self.partners[pending.partner].queue.push_front(message);
            }
        }
        let timed_out: Vec<u32> = self
            .messages
            .iter()
            .filter(|(_, pending)| pending.in_flight.is_some_and(|(_, sent)| now >= sent + ATTEMPT_TIMEOUT))
            .map(|(message, _)| *message)
            .collect();
        for message in timed_out {
            self.on_attempt_completed(now, message, AttemptResult::Unknown, None);
        }
        while let Some(&(at, message)) = self.deadlines.first().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, message));
            let may_have_run =
                self.messages.get(&message).is_some_and(|m| m.may_have_run || m.in_flight.is_some());
            actions.push(Action::Expire { message, may_have_run });
            self.remove_message(message);
        }
        let mut next: Option<Duration> = None;
        let mut wake_at = |at: Duration| next = Some(next.map_or(at, |next| next.min(at)));
        let count = self.partners.len();
        for index in (0..count).map(|index| (index + self.first_partner) % count.max(1)).collect::<Vec<_>>() {
            while self.in_flight < self.settings.concurrency_limit && !self.partners[index].queue.is_empty() {
                if let Err(at) = self.acquire_permit(now, index) {
                    if let Some(at) = at {
                        wake_at(at);
                    }
                    break;
                }
                let Some(endpoint) = self.select_endpoint(now, index, &mut actions) else { break };
                let Some(message) = self.partners[index].queue.pop_front() else { break };
                let Some(pending) = self.messages.get_mut(&message) else { continue };
                pending.attempts += 1;
                pending.in_flight = Some((endpoint, now));
                self.in_flight += 1;
                self.endpoint_states.entry(endpoint).or_default().in_flight += 1;
                wake_at(now + ATTEMPT_TIMEOUT);
                actions.push(Action::Send { message, endpoint });
            }
        }
        self.first_partner = self.first_partner.wrapping_add(1);
        if let Some((at, _)) = self.retries.first() {
            wake_at(*at);
        }
        if let Some((at, _)) = self.deadlines.first() {
            wake_at(*at);
        }
        (actions, next)
    }

    /// Takes a permit for a request to a partner; an error holds the time to try again, if known.
    fn acquire_permit(&mut self, now: Duration, index: usize) -> Result<(), Option<Duration>> {
        let limiter = self.settings.limiter;
        let partner = &mut self.partners[index];
        if partner.blocked_until > now {
            return Err(Some(partner.blocked_until));
        }
        let elapsed = now.saturating_sub(partner.refilled_at).as_secs_f64();
        partner.refilled_at = now;
        match limiter {
            Limiter::None => Ok(()),
            _ if partner.advertised_rate.is_none() && limiter != Limiter::Adaptive => Ok(()),
            Limiter::Aimd | Limiter::FairShare => {
                if limiter == Limiter::Aimd {
                    partner.rate = (partner.rate + elapsed).min(partner.advertised_rate.unwrap_or(1e6));
                }
                partner.tokens = (partner.tokens + elapsed * partner.rate).min((partner.rate * 0.4).max(1.0));
                if partner.tokens < 1.0 {
                    let wait = ((1.0 - partner.tokens) / partner.rate.max(1e-3)).clamp(0.001, 60.0);
                    return Err(Some(now + Duration::from_secs_f64(wait)));
                }
                partner.tokens -= 1.0;
                Ok(())
            }
            Limiter::Adaptive => {
                let decay =
                    (-now.saturating_sub(partner.decayed_at).as_secs_f64() / THROTTLING_DECAY_S).exp();
                (partner.requested, partner.accepted) =
                    (partner.requested * decay + 1.0, partner.accepted * decay);
                partner.decayed_at = now;
                let hold_back_probability =
                    (partner.requested - 2.0 * partner.accepted) / (partner.requested + 1.0);
                if self.rng.random::<f64>() < hold_back_probability {
                    // Throttled by the client itself: try again after a random delay.
                    return Err(Some(now + BASE_BACKOFF.mul_f64(0.5 + self.rng.random::<f64>())));
                }
                Ok(())
            }
        }
    }

    fn select_endpoint(&mut self, now: Duration, index: usize, actions: &mut Vec<Action>) -> Option<usize> {
        let BaselineClient { settings, rng, partners, endpoint_states, probe_pool, .. } = self;
        let Partner { endpoints, position, .. } = &mut partners[index];
        if endpoints.is_empty() {
            return None;
        }
        let instance = InstancePosition { index: settings.instance, count: settings.instances };
        let mut selection = Selection { rng, endpoints, states: endpoint_states, position, instance };
        match settings.selection {
            EndpointSelection::Random => Some(selection.random()),
            EndpointSelection::RoundRobin => Some(selection.round_robin(selection.endpoints)),
            EndpointSelection::LeastInFlight => selection.least_in_flight(),
            EndpointSelection::TwoChoices => Some(selection.two_choices(selection.endpoints)),
            EndpointSelection::LeastReported => Some(selection.least_reported()),
            EndpointSelection::Subsets => {
                let subset = selection.subset();
                Some(selection.round_robin(&subset))
            }
            EndpointSelection::Ring => {
                let slice = selection.ring_slice();
                Some(selection.two_choices(&slice))
            }
            EndpointSelection::WeightedByReports => Some(selection.weighted_by_reports()),
            EndpointSelection::Probed => {
                actions
                    .extend((0..PROBES_PER_REQUEST).map(|_| Action::Probe { endpoint: selection.random() }));
                Some(probe_pool.choose(now, selection.endpoints).unwrap_or_else(|| selection.random()))
            }
        }
    }
}

/// Result of an attempt as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResult {
    /// The partner processed the message.
    Delivered,
    /// The message has not taken effect: rejected, with a `Retry-After` if any, or the connection was refused.
    Rejected(Option<Duration>),
    /// The message may have taken effect: an error, a broken connection or no response in time.
    Unknown,
}
