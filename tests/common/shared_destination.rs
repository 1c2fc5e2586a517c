//! Simulation of many gateway instances that share one destination: its outage, its recovery with a warm-up, and the
//! requests that the instances send to it.

use super::{endpoint, ms, submission};
use cloverstile::{
    Action, AttemptCompleted, AttemptOutcome, Class, ClassId, DeliveryPolicy, Endpoint, EndpointId,
    EndpointListUpdate, Event, Kind, MessageId, RateLimitStatus, Rules, Settings, Time,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Behaviour of the destination during its outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Rejects requests with a `Retry-After` that ends with the outage.
    ClosedWithRetryAfter,
    /// Rejects requests without a `Retry-After`.
    Closed,
    /// Accepts no connections.
    Down,
    /// Accepts requests and never responds.
    Hangs,
    /// No outage. Responses advertise the rate limit, and rejected requests also count against it.
    None,
}

/// Parameters of a simulation run.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub outage: Outage,
    pub instances: u32,
    /// Requests a second that the destination serves once it is warmed up.
    pub capacity: f64,
    /// Capacity stated in the endpoint list, divided by the actual capacity.
    pub advertised_capacity_ratio: f64,
    /// Messages submitted a second over all instances, divided by the capacity.
    pub load_ratio: f64,
    /// Maximum number of messages in a request.
    pub max_batch: usize,
    pub seed: u64,
}

/// Results of a simulation run.
pub struct Measurement {
    /// Weighted requests in the busiest overload window, divided by the number at which the destination collapses. Only
    /// instances that saw the outage count.
    pub peak_overload_ratio: f64,
    /// Delivered part of the messages submitted after the outage.
    pub delivered_ratio: f64,
    /// Messages delivered over the whole run, divided by the number of requests that the rate limit allows.
    pub limit_utilization: f64,
}

/// Exponent of the Zipf distribution of messages over instances: 0 is uniform, at 1 a few instances have most messages.
const ZIPF_EXPONENT: f64 = 0.9;
/// Load of each further message in a request, relative to the request itself.
const BATCH_ITEM_WEIGHT: f64 = 0.15;
const TIME_BEFORE_OUTAGE: Duration = Duration::from_secs(6);
const OUTAGE_DURATION: Duration = Duration::from_secs(14);
const STEP: Duration = Duration::from_millis(5);
const ENDPOINT: EndpointId = EndpointId(7);
/// Interval at which the advertised remaining part of the limit is updated.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

struct Instance {
    policy: DeliveryPolicy,
    timer: Option<(Time, u64)>,
    /// Share of all messages that are submitted to this instance, from 0 to 1.
    traffic_share: f64,
    /// The policy received events since its actions were last taken.
    has_new_events: bool,
    /// An attempt of this instance failed or was rejected during the outage.
    saw_outage: bool,
}

/// The outcome of an attempt that the instance does not know yet.
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
    rng: fastrand::Rng,
    now: Time,
    outage_start: Time,
    outage_end: Time,
    instances: Vec<Instance>,
    pending: BTreeMap<(Time, usize), PendingOutcome>,
    /// Attempts sent per message.
    attempts: BTreeMap<MessageId, u16>,
    /// Attempts sent in all; makes the keys of `pending` unique.
    attempt_count: usize,
    /// Token bucket of the destination's rate limit: requests that it accepts before it rejects.
    tokens: f64,
    /// Remaining part of the limit as advertised, and when it was last updated.
    advertised_remaining: (f64, Time),
    total_delivered: usize,
    /// Time and weight of each message sent after the outage by an instance that saw it.
    sends_after_outage: Vec<(Time, f64)>,
    submitted_after_outage: BTreeSet<MessageId>,
    delivered_after_outage: usize,
}

/// Runs the scenario until the destination is warmed up after its outage.
pub fn simulate(scenario: Scenario) -> Measurement {
    let mut simulation = Simulation::new(scenario);
    let (warm_up, window) =
        (simulation.settings.rules.warm_up_time, simulation.settings.rules.overload_window);
    let mut peak = 0.0_f64;
    while simulation.now < simulation.outage_end + warm_up {
        simulation.now = simulation.now + STEP;
        let burst_limit = simulation.capacity() / 2.0 + 1.0;
        simulation.tokens = (simulation.tokens + simulation.capacity() * STEP.as_secs_f64()).min(burst_limit);
        if simulation.now - simulation.advertised_remaining.1 >= STATUS_INTERVAL {
            simulation.advertised_remaining = (simulation.tokens.max(0.0) / burst_limit, simulation.now);
        }
        simulation.submit();
        simulation.fire_timers();
        simulation.complete_attempts();
        (0..simulation.instances.len()).for_each(|instance| simulation.take_actions(instance));
        if simulation.now >= simulation.outage_end {
            let survivable =
                simulation.settings.rules.overload_multiple * simulation.capacity() * window.as_secs_f64();
            let recent = simulation.sends_after_outage.iter().filter(|(at, _)| simulation.now - *at < window);
            peak = peak.max(recent.map(|(_, weight)| weight).sum::<f64>() / survivable);
        }
    }
    let delivered =
        simulation.delivered_after_outage as f64 / simulation.submitted_after_outage.len().max(1) as f64;
    let elapsed = (simulation.now - simulation.outage_start + TIME_BEFORE_OUTAGE).as_secs_f64();
    Measurement {
        peak_overload_ratio: peak,
        delivered_ratio: delivered,
        limit_utilization: simulation.total_delivered as f64 / (scenario.capacity * elapsed),
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
        let shares: Vec<f64> =
            (0..scenario.instances).map(|index| f64::from(index + 1).powf(-ZIPF_EXPONENT)).collect();
        let total: f64 = shares.iter().sum();
        let instance = |(number, share): (usize, &f64)| {
            let mut policy = DeliveryPolicy::new(settings.clone(), scenario.seed * 1000 + number as u64);
            policy
                .on_event(start, Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![listed.clone()])));
            Instance {
                policy,
                timer: None,
                traffic_share: share / total,
                has_new_events: true,
                saw_outage: false,
            }
        };
        let instances = shares.iter().enumerate().map(instance).collect();
        Simulation {
            scenario,
            instances,
            settings,
            rng: fastrand::Rng::with_seed(scenario.seed),
            now: start,
            outage_start: start + TIME_BEFORE_OUTAGE,
            outage_end: start + TIME_BEFORE_OUTAGE + OUTAGE_DURATION,
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            attempt_count: 0,
            tokens: 1.0,
            advertised_remaining: (1.0, start),
            total_delivered: 0,
            sends_after_outage: Vec::new(),
            submitted_after_outage: BTreeSet::new(),
            delivered_after_outage: 0,
        }
    }

    fn has_no_outage(&self) -> bool {
        self.scenario.outage == Outage::None
    }

    fn in_outage(&self) -> bool {
        !self.has_no_outage() && self.now >= self.outage_start && self.now < self.outage_end
    }

    /// Requests a second that the destination can serve now.
    fn capacity(&self) -> f64 {
        let rules = &self.settings.rules;
        let warm_up_progress =
            ((self.now - self.outage_end).as_secs_f64() / rules.warm_up_time.as_secs_f64()).min(1.0);
        let warming_up = !self.has_no_outage() && self.now >= self.outage_end;
        self.scenario.capacity
            * if warming_up {
                rules.warm_up_capacity + (1.0 - rules.warm_up_capacity) * warm_up_progress
            } else {
                1.0
            }
    }

    fn submit(&mut self) {
        let recovered = self.now >= self.outage_end;
        let expected_messages = self.scenario.capacity * self.scenario.load_ratio * STEP.as_secs_f64();
        for instance in &mut self.instances {
            if self.rng.f64() >= expected_messages * instance.traffic_share {
                continue;
            }
            let id = MessageId(self.attempts.len() as u32);
            self.attempts.insert(id, 0);
            if recovered {
                self.submitted_after_outage.insert(id);
            }
            let class = (ClassId(0), &self.settings.classes[0]);
            let submission = submission(self.now, id.0, class, 1, None);
            instance.policy.on_event(self.now, Event::Submitted(submission));
            instance.has_new_events = true;
        }
    }

    fn fire_timers(&mut self) {
        for instance in &mut self.instances {
            if let Some((_, token)) = instance.timer.take_if(|(at, _)| *at <= self.now) {
                instance.policy.on_event(self.now, Event::TimerFired(token));
                instance.has_new_events = true;
            }
        }
    }

    fn complete_attempts(&mut self) {
        let in_outage = self.in_outage();
        while let Some(entry) = self.pending.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let PendingOutcome { instance, message, attempt, outcome, sent } = entry.remove();
            let delivered = outcome == AttemptOutcome::Ok;
            self.delivered_after_outage +=
                usize::from(delivered && self.submitted_after_outage.contains(&message));
            self.total_delivered += usize::from(delivered);
            let advertised =
                RateLimitStatus { remaining: self.advertised_remaining.0, limit: self.scenario.capacity };
            let rate_limit = self.has_no_outage().then_some(advertised);
            let latency = self.now - sent;
            let completed = AttemptCompleted {
                message,
                endpoint: ENDPOINT,
                attempt,
                outcome,
                latency,
                message_completed: delivered,
                rate_limit,
            };
            let instance = &mut self.instances[instance];
            instance.policy.on_event(self.now, Event::AttemptCompleted(completed));
            instance.saw_outage |= in_outage && !delivered;
            instance.has_new_events = true;
        }
    }

    fn take_actions(&mut self, instance: usize) {
        if !std::mem::take(&mut self.instances[instance].has_new_events) {
            return;
        }
        let mut actions = Vec::new();
        self.instances[instance].policy.next_actions(self.now, &mut actions);
        // Messages sent in one turn share a request and its outcome; each further message adds BATCH_ITEM_WEIGHT.
        let mut request = None;
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.instances[instance].timer = Some((self.now + after, token));
                }
                Action::Send { message, timeout, .. } => {
                    if self.instances[instance].saw_outage && self.now >= self.outage_end {
                        self.sends_after_outage
                            .push((self.now, if request.is_none() { 1.0 } else { BATCH_ITEM_WEIGHT }));
                    }
                    let (outcome, after) = *request.get_or_insert_with(|| self.serve(timeout));
                    let attempts = self.attempts.entry(message).or_default();
                    let pending =
                        PendingOutcome { instance, message, attempt: *attempts, outcome, sent: self.now };
                    *attempts += 1;
                    self.attempt_count += 1;
                    self.pending.insert((self.now + after, self.attempt_count), pending);
                }
                _ => {}
            }
        }
    }

    /// The outcome of a request sent now, and the time until the instance knows it.
    fn serve(&mut self, timeout: Duration) -> (AttemptOutcome, Duration) {
        let response_latency = ms(50);
        if !self.in_outage() {
            if self.tokens < 1.0 {
                self.tokens -= f64::from(self.has_no_outage());
                return (AttemptOutcome::Rejected(None), response_latency);
            }
            self.tokens -= 1.0;
            return (AttemptOutcome::Ok, ms(200));
        }
        match self.scenario.outage {
            // `Retry-After` counts from the arrival of the response.
            Outage::ClosedWithRetryAfter => (
                AttemptOutcome::Rejected(Some((self.outage_end - self.now).saturating_sub(response_latency))),
                response_latency,
            ),
            Outage::Closed => (AttemptOutcome::Rejected(None), response_latency),
            Outage::Down => (AttemptOutcome::ConnectFailed, response_latency),
            Outage::Hangs | Outage::None => (AttemptOutcome::Timeout, timeout),
        }
    }
}
