//! Baseline clients for comparison with the delivery policy: published rules of endpoint selection and rate limiting,
//! around a plain queue: oldest first, retries after exponential backoff with full jitter. Not for production.

use super::partners::LoadReport;
use super::selection::{EndpointSelection, EndpointState, InstancePosition, ProbePool, Selection};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Rule for keeping to a limit that all instances share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Limiter {
    /// No limiter.
    None,
    /// Additive increase, multiplicative decrease: a call a second more each second, half at a refusal.
    Aimd,
    /// The advertised rate over the number of instances.
    FairShare,
    /// Adaptive throttling: the client rejects with the probability `(asked - 2 accepted) / (asked + 1)`.
    Adaptive,
}

impl Limiter {
    /// All of them.
    pub const ALL: [Limiter; 4] = [Limiter::None, Limiter::Aimd, Limiter::FairShare, Limiter::Adaptive];

    /// The name that command lines use.
    pub fn name(self) -> &'static str {
        match self {
            Limiter::None => "none",
            Limiter::Aimd => "aimd",
            Limiter::FairShare => "even",
            Limiter::Adaptive => "adaptive",
        }
    }
}

/// Probes with each call.
const PROBES: usize = 2;
/// Seconds over which adaptive throttling counts.
const COUNTED_S: f64 = 30.0;
/// Shortest and longest backoff before a retry.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// An attempt without a response fails after so long.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of a baseline client.
#[derive(Clone, Copy, Debug)]
pub struct BaselineSettings {
    pub instance: usize,
    pub instances: usize,
    pub selection: EndpointSelection,
    pub limiter: Limiter,
    pub concurrency_limit: usize,
    pub max_held: usize,
}

/// An action of a baseline client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send a message.
    Send { message: u32, endpoint: usize },
    /// Ask an endpoint for its load.
    Probe { endpoint: usize },
    /// The message expires; `may_have_run` states whether it may have taken effect.
    Expire { message: u32, may_have_run: bool },
}

struct PendingMessage {
    partner: usize,
    deadline: Duration,
    repeatable: bool,
    tries: u32,
    may_have_run: bool,
    out: Option<(usize, Duration)>,
}

#[derive(Default)]
struct Partner {
    endpoints: Vec<usize>,
    advertised_rate: Option<f64>,
    /// Round-robin position.
    position: usize,
    queue: VecDeque<u32>,
    /// Rate of the limiter, and its tokens.
    rate: f64,
    tokens: f64,
    filled: Duration,
    asked: f64,
    accepted: f64,
    counted: Duration,
    wait: Duration,
}

/// A baseline client: an endpoint selection and a limiter.
pub struct BaselineClient {
    settings: BaselineSettings,
    rng: ChaCha8Rng,
    partners: Vec<Partner>,
    known: BTreeMap<usize, EndpointState>,
    probe_pool: ProbePool,
    messages: BTreeMap<u32, PendingMessage>,
    later: BTreeSet<(Duration, u32)>,
    deadlines: BTreeSet<(Duration, u32)>,
    out: usize,
    first: usize,
}

impl BaselineClient {
    pub fn new(settings: BaselineSettings, seed: u64) -> BaselineClient {
        BaselineClient {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            partners: Vec::new(),
            known: BTreeMap::new(),
            probe_pool: ProbePool::default(),
            messages: BTreeMap::new(),
            later: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            out: 0,
            first: 0,
        }
    }

    /// Updates the endpoints of each partner that accept requests, and each partner's advertised limit.
    pub fn update_endpoints(&mut self, lists: Vec<(Vec<usize>, Option<f64>)>) {
        self.partners.resize_with(lists.len(), Partner::default);
        let even = 1.0 / self.settings.instances.max(1) as f64;
        for (partner, (endpoints, rate)) in self.partners.iter_mut().zip(lists) {
            if partner.advertised_rate.is_none() {
                // One request may go at once; the rate begins at the fair share.
                partner.rate = rate.map_or(f64::INFINITY, |rate| rate * even);
                partner.tokens = 1.0;
            }
            partner.advertised_rate = rate;
            partner.endpoints = endpoints;
        }
    }

    /// Takes a message; false if as many are held as may be.
    pub fn submit(&mut self, message: u32, partner: usize, deadline: Duration, repeatable: bool) -> bool {
        if self.messages.len() >= self.settings.max_held {
            return false;
        }
        let waiting =
            PendingMessage { partner, deadline, repeatable, tries: 0, may_have_run: false, out: None };
        self.messages.insert(message, waiting);
        self.deadlines.insert((deadline, message));
        if let Some(partner) = self.partners.get_mut(partner) {
            partner.queue.push_back(message);
        }
        true
    }

    fn forget(&mut self, message: u32) {
        let Some(waiting) = self.messages.remove(&message) else { return };
        self.deadlines.remove(&(waiting.deadline, message));
        if let Some(partner) = self.partners.get_mut(waiting.partner) {
            partner.queue.retain(|other| *other != message);
        }
        if let Some((endpoint, _)) = waiting.out {
            self.out -= 1;
            self.known
                .entry(endpoint)
                .and_modify(|known| known.in_flight = known.in_flight.saturating_sub(1));
        }
    }

    /// An attempt completed: delivered, rejected (with its `Retry-After`, if any), or of unknown outcome. True if
    /// this completes the message.
    pub fn on_attempt_completed(
        &mut self,
        now: Duration,
        message: u32,
        how: AttemptResult,
        load: Option<LoadReport>,
    ) -> bool {
        let Some(waiting) = self.messages.get_mut(&message) else { return false };
        let Some((endpoint, sent)) = waiting.out.take() else { return false };
        self.out -= 1;
        let known = self.known.entry(endpoint).or_default();
        known.in_flight = known.in_flight.saturating_sub(1);
        known.load = load.unwrap_or(known.load);
        let partner = &mut self.partners[waiting.partner];
        match how {
            AttemptResult::Delivered => {
                known.latency = 0.8 * known.latency + 0.2 * (now - sent).as_secs_f64();
                partner.accepted += 1.0;
                self.forget(message);
                return true;
            }
            AttemptResult::Rejected(wait) => {
                partner.wait = partner.wait.max(now + wait.unwrap_or_default());
                if self.settings.limiter == Limiter::Aimd {
                    partner.rate = (partner.rate.min(1e6) / 2.0).max(0.05);
                }
            }
            AttemptResult::Unknown => waiting.may_have_run = true,
        }
        let gap = (MIN_BACKOFF * 2u32.saturating_pow(waiting.tries.min(10))).min(MAX_BACKOFF);
        let gap = gap.mul_f64(self.rng.random::<f64>());
        self.later.insert((now + gap, message));
        false
    }

    /// A probe came back.
    pub fn on_probe_completed(&mut self, now: Duration, endpoint: usize, in_flight: f64) {
        let latency = self.known.entry(endpoint).or_default().latency;
        self.probe_pool.add(now, endpoint, in_flight, latency);
    }

    /// All that can be done now, and when to ask again.
    pub fn advance(&mut self, now: Duration) -> (Vec<Action>, Option<Duration>) {
        let mut done = Vec::new();
        while let Some(&(at, message)) = self.later.first().filter(|(at, _)| *at <= now) {
            self.later.remove(&(at, message));
            let Some(waiting) = self.messages.get(&message) else { continue };
            if waiting.may_have_run && !waiting.repeatable {
                done.push(Action::Expire { message, may_have_run: true });
                self.forget(message);
            } else if waiting.out.is_none() {
                // Repeats go first: they are the oldest.
                self.partners[waiting.partner].queue.push_front(message);
            }
        }
        let slow: Vec<u32> = self
            .messages
            .iter()
            .filter(|(_, waiting)| waiting.out.is_some_and(|(_, sent)| now >= sent + ATTEMPT_TIMEOUT))
            .map(|(message, _)| *message)
            .collect();
        for message in slow {
            self.on_attempt_completed(now, message, AttemptResult::Unknown, None);
        }
        while let Some(&(at, message)) = self.deadlines.first().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, message));
            let ran = self.messages.get(&message).is_some_and(|w| w.may_have_run || w.out.is_some());
            done.push(Action::Expire { message, may_have_run: ran });
            self.forget(message);
        }
        let mut next: Option<Duration> = None;
        let mut earlier = |at: Duration| next = Some(next.map_or(at, |next| next.min(at)));
        let count = self.partners.len();
        for place in (0..count).map(|place| (place + self.first) % count.max(1)).collect::<Vec<_>>() {
            while self.out < self.settings.concurrency_limit && !self.partners[place].queue.is_empty() {
                if let Err(at) = self.permitted(now, place) {
                    if let Some(at) = at {
                        earlier(at);
                    }
                    break;
                }
                let Some(endpoint) = self.choose(now, place, &mut done) else { break };
                let Some(message) = self.partners[place].queue.pop_front() else { break };
                let Some(waiting) = self.messages.get_mut(&message) else { continue };
                waiting.tries += 1;
                waiting.out = Some((endpoint, now));
                self.out += 1;
                self.known.entry(endpoint).or_default().in_flight += 1;
                earlier(now + ATTEMPT_TIMEOUT);
                done.push(Action::Send { message, endpoint });
            }
        }
        self.first = self.first.wrapping_add(1);
        if let Some((at, _)) = self.later.first() {
            earlier(*at);
        }
        if let Some((at, _)) = self.deadlines.first() {
            earlier(*at);
        }
        (done, next)
    }

    /// Whether a call to a partner may go now; if not, when to ask again.
    fn permitted(&mut self, now: Duration, place: usize) -> Result<(), Option<Duration>> {
        let limiter = self.settings.limiter;
        let partner = &mut self.partners[place];
        if partner.wait > now {
            return Err(Some(partner.wait));
        }
        let passed = now.saturating_sub(partner.filled).as_secs_f64();
        partner.filled = now;
        match limiter {
            Limiter::None => Ok(()),
            _ if partner.advertised_rate.is_none() && limiter != Limiter::Adaptive => Ok(()),
            Limiter::Aimd | Limiter::FairShare => {
                if limiter == Limiter::Aimd {
                    partner.rate = (partner.rate + passed).min(partner.advertised_rate.unwrap_or(1e6));
                }
                partner.tokens = (partner.tokens + passed * partner.rate).min((partner.rate * 0.4).max(1.0));
                if partner.tokens < 1.0 {
                    let wait = ((1.0 - partner.tokens) / partner.rate.max(1e-3)).clamp(0.001, 60.0);
                    return Err(Some(now + Duration::from_secs_f64(wait)));
                }
                partner.tokens -= 1.0;
                Ok(())
            }
            Limiter::Adaptive => {
                let fade = (-now.saturating_sub(partner.counted).as_secs_f64() / COUNTED_S).exp();
                (partner.asked, partner.accepted) = (partner.asked * fade + 1.0, partner.accepted * fade);
                partner.counted = now;
                let refuse = (partner.asked - 2.0 * partner.accepted) / (partner.asked + 1.0);
                if self.rng.random::<f64>() < refuse {
                    // Refused by itself: asked again after a gap.
                    return Err(Some(now + MIN_BACKOFF.mul_f64(0.5 + self.rng.random::<f64>())));
                }
                Ok(())
            }
        }
    }

    fn choose(&mut self, now: Duration, place: usize, done: &mut Vec<Action>) -> Option<usize> {
        let BaselineClient { settings, rng, partners, known, probe_pool, .. } = self;
        let Partner { endpoints, position, .. } = &mut partners[place];
        if endpoints.is_empty() {
            return None;
        }
        let instance = InstancePosition { index: settings.instance, count: settings.instances };
        let mut selection = Selection { rng, endpoints, states: known, position, instance };
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
                done.extend((0..PROBES).map(|_| Action::Probe { endpoint: selection.random() }));
                Some(probe_pool.choose(now, selection.endpoints).unwrap_or_else(|| selection.random()))
            }
        }
    }
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResult {
    /// Delivered.
    Delivered,
    /// It has not run; the `Retry-After`, if any.
    Rejected(Option<Duration>),
    /// It may have run.
    Unknown,
}
