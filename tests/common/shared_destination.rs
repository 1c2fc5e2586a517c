//! Many instances that share a destination which has an outage and recovers slowly: what they send to it.

use super::{endpoint, ms, submission};
use cloverstile::{
    Action, AttemptCompleted, AttemptOutcome, Class, ClassId, DeliveryPolicy, Endpoint, EndpointId,
    EndpointListUpdate, Event, Kind, MessageId, RateLimitStatus, Rules, Settings, Time,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the destination does with requests during its outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Rejects, with the time until it reopens.
    ClosedWithRetryAfter,
    /// Rejects, with no such time.
    Closed,
    /// Accepts no connection.
    Down,
    /// Accepts requests and never responds.
    Hangs,
    /// No outage; its responses advertise its limit, which rejected requests use up too.
    None,
}

/// A run of the simulation.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub outage: Outage,
    pub instances: u32,
    /// Requests a second that the destination serves when it is warmed up.
    pub capacity: f64,
    /// Capacity in the endpoint list, over the true one.
    pub advertised_capacity_ratio: f64,
    /// Messages a second, over the capacity.
    pub load_ratio: f64,
    /// Messages that a request may carry.
    pub max_batch: usize,
    pub seed: u64,
}

/// Results of a run.
pub struct Measurement {
    /// Most requests in an overload window by instances that saw the outage, over what the destination survives.
    pub peak_overload_ratio: f64,
    /// Part of the messages submitted since the recovery that were delivered.
    pub delivered_ratio: f64,
    /// Requests delivered over the whole run, over what the limit allows.
    pub limit_utilization: f64,
}

/// Exponent of the Zipf distribution of messages over instances: at 0 even, at 1 a few have most.
const SKEW: f64 = 0.9;
/// Weight of a further message in a request, against the request itself.
const BATCH_ITEM_WEIGHT: f64 = 0.15;
const BEFORE_OUTAGE: Duration = Duration::from_secs(6);
const OUTAGE_TIME: Duration = Duration::from_secs(14);
const STEP: Duration = Duration::from_millis(5);
const ENDPOINT: EndpointId = EndpointId(7);
/// The remaining limit is advertised as it was at the last multiple of this interval.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

struct Instance {
    policy: DeliveryPolicy,
    timer: Option<(Time, u64)>,
    /// Its part of all messages, from 0 to 1.
    part: f64,
    /// Has events to act on.
    touched: bool,
    /// Saw a failure or a rejection during the outage.
    aware: bool,
}

/// The outcome of an attempt, on its way to the instance.
struct PendingOutcome {
    instance: usize,
    message: MessageId,
    attempt: u16,
    outcome: AttemptOutcome,
    sent: Time,
}

struct Simulation {
    scenario: Scenario,
    settings: Settings,
    chance: fastrand::Rng,
    now: Time,
    outage_start: Time,
    outage_end: Time,
    instances: Vec<Instance>,
    pending: BTreeMap<(Time, usize), PendingOutcome>,
    /// Attempts of each message, and of all.
    attempts: BTreeMap<MessageId, u16>,
    count: usize,
    /// Requests that the destination accepts before it rejects.
    tokens: f64,
    /// The remaining part that is advertised, and since when.
    left: (f64, Time),
    all_delivered: usize,
    /// Requests of instances that saw the outage since its end, by weight.
    weights: Vec<(Time, f64)>,
    since_recovery: BTreeSet<MessageId>,
    delivered: usize,
}

/// Simulates the outage and the slow recovery.
pub fn simulate(scenario: Scenario) -> Measurement {
    let mut simulation = Simulation::new(scenario);
    let (warm_up, window) =
        (simulation.settings.rules.warm_up_time, simulation.settings.rules.overload_window);
    let mut peak = 0.0_f64;
    while simulation.now < simulation.outage_end + warm_up {
        simulation.now = simulation.now + STEP;
        let most = simulation.capacity() / 2.0 + 1.0;
        simulation.tokens = (simulation.tokens + simulation.capacity() * STEP.as_secs_f64()).min(most);
        if simulation.now - simulation.left.1 >= STATUS_INTERVAL {
            simulation.left = (simulation.tokens.max(0.0) / most, simulation.now);
        }
        simulation.submit();
        simulation.fire_timers();
        simulation.complete_attempts();
        (0..simulation.instances.len()).for_each(|instance| simulation.act(instance));
        if simulation.now >= simulation.outage_end {
            let survives =
                simulation.settings.rules.overload_multiple * simulation.capacity() * window.as_secs_f64();
            let recent = simulation.weights.iter().filter(|(at, _)| simulation.now - *at < window);
            peak = peak.max(recent.map(|(_, weight)| weight).sum::<f64>() / survives);
        }
    }
    let delivered = simulation.delivered as f64 / simulation.since_recovery.len().max(1) as f64;
    let passed = (simulation.now - simulation.outage_start + BEFORE_OUTAGE).as_secs_f64();
    Measurement {
        peak_overload_ratio: peak,
        delivered_ratio: delivered,
        limit_utilization: simulation.all_delivered as f64 / (scenario.capacity * passed),
    }
}

fn settings_for(scenario: &Scenario) -> Settings {
    let (objective, deadline) = (Duration::from_secs(4), Duration::from_secs(20));
    let rules = Rules {
        warm_up_capacity: 0.18,
        warm_up_time: Duration::from_secs(12),
        overload_multiple: 2.0,
        overload_window: Duration::from_secs(3),
        ..Settings::default().rules
    };
    Settings {
        classes: vec![Class {
            latency_objective: objective,
            deadline,
            retry_window: deadline,
            ..Class::default()
        }],
        instance_count: scenario.instances,
        kinds: vec![Kind { max_batch: scenario.max_batch, per_endpoint_limits: false }],
        concurrency_limit: 4,
        max_queued: 48,
        rules,
        ..Settings::default()
    }
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let settings = settings_for(&scenario);
        let start = Time::ZERO + Duration::from_secs(100);
        let listed = Endpoint {
            weight: scenario.capacity * scenario.advertised_capacity_ratio,
            ..endpoint(ENDPOINT.0, 1)
        };
        let shares: Vec<f64> = (0..scenario.instances).map(|n| f64::from(n + 1).powf(-SKEW)).collect();
        let all: f64 = shares.iter().sum();
        let instance = |(number, share): (usize, &f64)| {
            let mut policy = DeliveryPolicy::new(settings.clone(), scenario.seed * 1000 + number as u64);
            policy
                .on_event(start, Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![listed.clone()])));
            Instance { policy, timer: None, part: share / all, touched: true, aware: false }
        };
        let instances = shares.iter().enumerate().map(instance).collect();
        Simulation {
            scenario,
            instances,
            settings,
            chance: fastrand::Rng::with_seed(scenario.seed),
            now: start,
            outage_start: start + BEFORE_OUTAGE,
            outage_end: start + BEFORE_OUTAGE + OUTAGE_TIME,
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            count: 0,
            tokens: 1.0,
            left: (1.0, start),
            all_delivered: 0,
            weights: Vec::new(),
            since_recovery: BTreeSet::new(),
            delivered: 0,
        }
    }

    fn has_no_outage(&self) -> bool {
        self.scenario.outage == Outage::None
    }

    fn in_outage(&self) -> bool {
        !self.has_no_outage() && self.now >= self.outage_start && self.now < self.outage_end
    }

    /// Requests a second that the destination can serve at this moment.
    fn capacity(&self) -> f64 {
        let rules = &self.settings.rules;
        let warmth = ((self.now - self.outage_end).as_secs_f64() / rules.warm_up_time.as_secs_f64()).min(1.0);
        let warming_up = !self.has_no_outage() && self.now >= self.outage_end;
        self.scenario.capacity
            * if warming_up { rules.warm_up_capacity + (1.0 - rules.warm_up_capacity) * warmth } else { 1.0 }
    }

    fn submit(&mut self) {
        let recovered = self.now >= self.outage_end;
        let all = self.scenario.capacity * self.scenario.load_ratio * STEP.as_secs_f64();
        for instance in &mut self.instances {
            if self.chance.f64() >= all * instance.part {
                continue;
            }
            let id = MessageId(self.attempts.len() as u32);
            self.attempts.insert(id, 0);
            if recovered {
                self.since_recovery.insert(id);
            }
            let class = (ClassId(0), &self.settings.classes[0]);
            let submission = submission(self.now, id.0, class, 1, None);
            instance.policy.on_event(self.now, Event::Submitted(submission));
            instance.touched = true;
        }
    }

    fn fire_timers(&mut self) {
        for instance in &mut self.instances {
            if let Some((_, token)) = instance.timer.take_if(|(at, _)| *at <= self.now) {
                instance.policy.on_event(self.now, Event::TimerFired(token));
                instance.touched = true;
            }
        }
    }

    fn complete_attempts(&mut self) {
        let out = self.in_outage();
        while let Some(entry) = self.pending.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let PendingOutcome { instance, message, attempt, outcome, sent } = entry.remove();
            let complete = outcome == AttemptOutcome::Ok;
            self.delivered += usize::from(complete && self.since_recovery.contains(&message));
            self.all_delivered += usize::from(complete);
            let advertised = RateLimitStatus { remaining: self.left.0, limit: self.scenario.capacity };
            let rate_limit = self.has_no_outage().then_some(advertised);
            let latency = self.now - sent;
            let completed = AttemptCompleted {
                message,
                endpoint: ENDPOINT,
                attempt,
                outcome,
                latency,
                complete,
                rate_limit,
            };
            let instance = &mut self.instances[instance];
            instance.policy.on_event(self.now, Event::AttemptCompleted(completed));
            instance.aware |= out && !complete;
            instance.touched = true;
        }
    }

    fn act(&mut self, instance: usize) {
        if !std::mem::take(&mut self.instances[instance].touched) {
            return;
        }
        let mut actions = Vec::new();
        self.instances[instance].policy.next_actions(self.now, &mut actions);
        // What is sent in one turn is one request: one outcome, a little weight for each further message.
        let mut request = None;
        for action in actions {
            match action {
                Action::Wake { after, token } => {
                    self.instances[instance].timer = Some((self.now + after, token));
                }
                Action::Send { message, timeout, .. } => {
                    if self.instances[instance].aware && self.now >= self.outage_end {
                        self.weights
                            .push((self.now, if request.is_none() { 1.0 } else { BATCH_ITEM_WEIGHT }));
                    }
                    let (outcome, after) = *request.get_or_insert_with(|| self.serve(timeout));
                    let attempts = self.attempts.entry(message).or_default();
                    let pending =
                        PendingOutcome { instance, message, attempt: *attempts, outcome, sent: self.now };
                    *attempts += 1;
                    self.count += 1;
                    self.pending.insert((self.now + after, self.count), pending);
                }
                _ => {}
            }
        }
    }

    /// The outcome of a request sent now, and after which time it is known.
    fn serve(&mut self, timeout: Duration) -> (AttemptOutcome, Duration) {
        let soon = ms(50);
        if !self.in_outage() {
            if self.tokens < 1.0 {
                self.tokens -= f64::from(self.has_no_outage());
                return (AttemptOutcome::Rejected(None), soon);
            }
            self.tokens -= 1.0;
            return (AttemptOutcome::Ok, ms(200));
        }
        match self.scenario.outage {
            // The time counts from the response.
            Outage::ClosedWithRetryAfter => {
                (AttemptOutcome::Rejected(Some((self.outage_end - self.now).saturating_sub(soon))), soon)
            }
            Outage::Closed => (AttemptOutcome::Rejected(None), soon),
            Outage::Down => (AttemptOutcome::ConnectFailed, soon),
            Outage::Hangs | Outage::None => (AttemptOutcome::Timeout, timeout),
        }
    }
}
