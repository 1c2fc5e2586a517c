//! Simulation of many gateway instances that share one destination: its outage, its recovery with a warm-up, and the
//! requests that the instances send to it.

use super::{endpoint, ms, submission};
use cloverstile::{
    Action, AttemptCompleted, AttemptOutcome, Class, ClassId, DeliveryPolicy, Effect, Endpoint, EndpointId,
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
    /// Responds to each request with an error.
    Errors,
    /// Resets the connection of each request.
    Resets,
    /// No outage. Responses advertise the rate limit, and rejected requests also count against it.
    None,
}

/// When messages are submitted, and to which instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Traffic {
    /// At random all the time, in unequal shares.
    Steady,
    /// One to six to each instance before the outage, by the capacity, one to each instance during it, and after its end
    /// as many at once as the destination serves in `BURST_CAPACITY_S` seconds, in equal shares.
    BurstAfterOutage,
    /// As `BurstAfterOutage`, but the messages during the outage go to random instances: some get none, some several.
    BurstAfterRandomFailures,
    /// As `BurstAfterOutage`, but the messages during the outage come in its last second.
    BurstAfterLateFailures,
}

/// Parameters of a simulation run.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub outage: Outage,
    pub traffic: Traffic,
    /// Effect of all messages.
    pub effect: Effect,
    /// Maximum number of requests that an instance has in flight.
    pub concurrency_limit: usize,
    /// Number of endpoints of the destination, which share its outage and its capacity.
    pub endpoints: u32,
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
    /// As `peak_overload_ratio`, but divided by that number and the slack for chance that the operators allow.
    pub peak_collapse_ratio: f64,
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
/// Bound of an instance's queue, in messages for each request that it may have in flight.
const QUEUED_PER_SLOT: usize = 12;
/// Time that a request takes at the destination.
const SERVICE_TIME: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(5);
/// The endpoints of the destination have consecutive ids from this one on.
const FIRST_ENDPOINT: u32 = 7;
const BURST_CAPACITY_S: f64 = 3.4;
/// The last part of the outage, in which late failures come.
const LATE_FAILURES: Duration = Duration::from_secs(1);
/// Time from the end of the outage to the burst.
const BURST_DELAY: Duration = Duration::from_millis(200);
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
    endpoint: EndpointId,
    attempt: u16,
    outcome: AttemptOutcome,
    sent: Time,
}

/// A request that an instance sends in the current turn.
#[derive(Clone, Copy)]
struct Request {
    outcome: AttemptOutcome,
    /// Time until the instance knows the outcome.
    after: Duration,
    /// Number of messages in it.
    messages: usize,
}

/// A message that is submitted to an instance at a fixed time.
struct ScheduledMessage {
    at: Time,
    instance: usize,
}

struct Simulation {
    scenario: Scenario,
    settings: Settings,
    rng: fastrand::Rng,
    now: Time,
    outage_start: Time,
    outage_end: Time,
    instances: Vec<Instance>,
    /// Messages still to be submitted, the earliest last; empty for steady traffic.
    schedule: Vec<ScheduledMessage>,
    pending: BTreeMap<(Time, usize), PendingOutcome>,
    /// Attempts sent per message.
    attempts: BTreeMap<MessageId, u16>,
    /// Attempts sent in all; makes the keys of `pending` unique.
    attempt_count: usize,
    /// Token bucket of the destination's rate limit: requests that it accepts before it rejects.
    tokens: f64,
    /// When the requests accepted so far are served, where the destination queues what it can't serve at once.
    busy_until: Time,
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
    let (mut peak, mut peak_with_slack) = (0.0_f64, 0.0_f64);
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
            let load = recent.map(|(_, weight)| weight).sum::<f64>();
            peak = peak.max(load / survivable);
            peak_with_slack = peak_with_slack.max(load / with_slack(survivable));
        }
    }
    let delivered =
        simulation.delivered_after_outage as f64 / simulation.submitted_after_outage.len().max(1) as f64;
    let elapsed = (simulation.now - simulation.outage_start + TIME_BEFORE_OUTAGE).as_secs_f64();
    Measurement {
        peak_overload_ratio: peak,
        peak_collapse_ratio: peak_with_slack,
        delivered_ratio: delivered,
        limit_utilization: simulation.total_delivered as f64 / (scenario.capacity * elapsed),
    }
}

/// The number of requests at which a destination collapses that survives `survivable` on average (STANDING page).
fn with_slack(survivable: f64) -> f64 {
    let deviations = if survivable < 30.0 { 3.0 } else { 2.0 };
    survivable + deviations * survivable.sqrt() + deviations
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
            effect: scenario.effect,
            ..Class::default()
        }],
        instance_count: scenario.instances,
        kinds: vec![Kind { max_batch: scenario.max_batch, per_endpoint_limits: false }],
        concurrency_limit: scenario.concurrency_limit,
        max_queued: scenario.concurrency_limit * QUEUED_PER_SLOT,
        rules,
        ..Settings::default()
    }
}

/// The messages of [`Traffic::BurstAfterOutage`], the earliest last.
fn schedule_for(scenario: &Scenario, start: Time, rng: &mut fastrand::Rng) -> Vec<ScheduledMessage> {
    if scenario.traffic == Traffic::Steady {
        return Vec::new();
    }
    let instances = scenario.instances as usize;
    let outage_start = start + TIME_BEFORE_OUTAGE;
    let half_capacity = scenario.capacity * TIME_BEFORE_OUTAGE.as_secs_f64() / 2.0;
    let messages_before = (half_capacity as usize / instances).clamp(1, 6);
    let mut schedule = Vec::new();
    for instance in 0..instances {
        let mut times: Vec<Time> =
            (0..messages_before).map(|_| start + TIME_BEFORE_OUTAGE.mul_f64(rng.f64())).collect();
        schedule.extend(times.drain(..).map(|at| ScheduledMessage { at, instance }));
        let random = scenario.traffic == Traffic::BurstAfterRandomFailures;
        let instance = if random { rng.usize(..instances) } else { instance };
        let late = scenario.traffic == Traffic::BurstAfterLateFailures;
        let failures_for = if late { LATE_FAILURES } else { OUTAGE_DURATION };
        let at = outage_start + OUTAGE_DURATION - failures_for.mul_f64(rng.f64());
        schedule.push(ScheduledMessage { at, instance });
    }
    let burst_at = outage_start + OUTAGE_DURATION + BURST_DELAY;
    let burst = (scenario.capacity * BURST_CAPACITY_S) as usize;
    schedule.extend((0..burst).map(|number| ScheduledMessage { at: burst_at, instance: number % instances }));
    schedule.sort_by_key(|message| std::cmp::Reverse(message.at));
    schedule
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let settings = settings_for(&scenario);
        let start = Time::ZERO + Duration::from_secs(100);
        let weight = scenario.capacity * scenario.advertised_capacity_ratio;
        let listed: Vec<Endpoint> = (0..scenario.endpoints)
            .map(|index| Endpoint { weight, ..endpoint(FIRST_ENDPOINT + index, 1) })
            .collect();
        let shares: Vec<f64> =
            (0..scenario.instances).map(|index| f64::from(index + 1).powf(-ZIPF_EXPONENT)).collect();
        let total: f64 = shares.iter().sum();
        let instance = |(number, share): (usize, &f64)| {
            let mut policy = DeliveryPolicy::new(settings.clone(), scenario.seed * 1000 + number as u64);
            policy.on_event(start, Event::EndpointsUpdated(EndpointListUpdate::Snapshot(listed.clone())));
            Instance {
                policy,
                timer: None,
                traffic_share: share / total,
                has_new_events: true,
                saw_outage: false,
            }
        };
        let instances = shares.iter().enumerate().map(instance).collect();
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        Simulation {
            scenario,
            instances,
            settings,
            schedule: schedule_for(&scenario, start, &mut rng),
            rng,
            now: start,
            outage_start: start + TIME_BEFORE_OUTAGE,
            outage_end: start + TIME_BEFORE_OUTAGE + OUTAGE_DURATION,
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            attempt_count: 0,
            tokens: 1.0,
            busy_until: start,
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
        while let Some(due) = self.schedule.pop_if(|message| message.at <= self.now) {
            self.submit_to(due.instance);
        }
        if self.scenario.traffic != Traffic::Steady {
            return;
        }
        let expected_messages = self.scenario.capacity * self.scenario.load_ratio * STEP.as_secs_f64();
        for instance in 0..self.instances.len() {
            if self.rng.f64() < expected_messages * self.instances[instance].traffic_share {
                self.submit_to(instance);
            }
        }
    }

    fn submit_to(&mut self, instance: usize) {
        let id = MessageId(self.attempts.len() as u32);
        self.attempts.insert(id, 0);
        if self.now >= self.outage_end {
            self.submitted_after_outage.insert(id);
        }
        let class = (ClassId(0), &self.settings.classes[0]);
        let submission = submission(self.now, id.0, class, 1, None);
        let instance = &mut self.instances[instance];
        instance.policy.on_event(self.now, Event::Submitted(submission));
        instance.has_new_events = true;
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
            let PendingOutcome { instance, message, endpoint, attempt, outcome, sent } = entry.remove();
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
                endpoint,
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
        // Messages sent in one turn share requests and their outcomes; each further one of a request adds
        // BATCH_ITEM_WEIGHT.
        let mut request: Option<Request> = None;
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.instances[instance].timer = Some((self.now + after, token));
                }
                Action::Send { message, endpoint, timeout } => {
                    let joined = request.filter(|request| request.messages < self.scenario.max_batch);
                    if self.instances[instance].saw_outage && self.now >= self.outage_end {
                        let weight = if joined.is_none() { 1.0 } else { BATCH_ITEM_WEIGHT };
                        self.sends_after_outage.push((self.now, weight));
                    }
                    let mut joined = joined.unwrap_or_else(|| self.serve(timeout));
                    joined.messages += 1;
                    request = Some(joined);
                    let Request { outcome, after, .. } = joined;
                    let attempts = self.attempts.entry(message).or_default();
                    let (attempt, sent) = (*attempts, self.now);
                    let pending = PendingOutcome { instance, message, endpoint, attempt, outcome, sent };
                    *attempts += 1;
                    self.attempt_count += 1;
                    self.pending.insert((self.now + after, self.attempt_count), pending);
                }
                _ => {}
            }
        }
    }

    /// Sends a request that has no messages yet.
    fn serve(&mut self, timeout: Duration) -> Request {
        let (outcome, after) = self.outcome_of_request(timeout);
        Request { outcome, after, messages: 0 }
    }

    /// The outcome of a request sent now, and the time until the instance knows it.
    fn outcome_of_request(&mut self, timeout: Duration) -> (AttemptOutcome, Duration) {
        let response_latency = ms(50);
        if !self.in_outage() && self.scenario.traffic != Traffic::Steady {
            self.busy_until = self.busy_until.max(self.now) + Duration::from_secs_f64(1.0 / self.capacity());
            return (AttemptOutcome::Ok, SERVICE_TIME.max(self.busy_until - self.now));
        }
        if !self.in_outage() {
            if self.tokens < 1.0 {
                self.tokens -= f64::from(self.has_no_outage());
                return (AttemptOutcome::Rejected(None), response_latency);
            }
            self.tokens -= 1.0;
            return (AttemptOutcome::Ok, SERVICE_TIME);
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
            Outage::Errors => (AttemptOutcome::Error, response_latency),
            Outage::Resets => (AttemptOutcome::Reset, response_latency),
        }
    }
}
