//! Failover simulation: gateway instances, sites and the network between them, driven by an event queue.

mod faults;
mod recovery;
mod requests;
mod setup;

use super::record::{FailoverRun, FailoverViolations, MessageHistory, SecondTotals, Submission};
use super::scenario::{FailoverFault, FailoverFaultSpec, FailoverScenario};
use super::spillover_baseline::{HealthChecks, SpilloverPolicy};
use crate::event_queue::EventQueue;
use crate::network::draw_delay;
use crate::scenario::classes;
use cloverstile::{
    ClassId, DestinationId, Effect, EndpointId, MessageId, OrderKey, Settings, TenantId, Time, ZoneId,
};
use cloverstile_engine::{Admission, Attempt, Command, Engine, FinalOutcome, SubmitRequest};
use cloverstile_failover::TierConfig;
use cloverstile_fakes::model::PartnerModel;
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Length of the windows in which the load of a recovering site is counted.
const RECOVERY_WINDOW: Duration = Duration::from_millis(100);
/// A recovery is observed for this multiple of the site's warm-up time.
const OBSERVED_WARM_UPS: f64 = 2.0;
/// Time from the crash of a gateway instance to its restart, when its clients resubmit unfinished messages.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Event on virtual time. `epoch` tells apart the lives of an instance before and after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Submission,
    RequestArrival { instance: u32, epoch: u32, endpoint: EndpointId, attempt: Attempt },
    ResponseArrival { instance: u32, epoch: u32, attempt: Attempt, site: u32, reply: SiteResponse },
    EngineTimeout { instance: u32 },
    Fault { index: usize, begins: bool },
    Restart { instance: u32 },
}

/// Response in transit. Remaining rate limits are in millionths of a request: events must be `Ord`, which `f64` is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SiteResponse {
    /// Contains the remaining rate limit.
    Processed(Option<u32>),
    Error,
    /// Contains the `Retry-After` and the remaining rate limit.
    Rejected(Option<Duration>, Option<u32>),
    Reset,
    NoConnection,
}

struct Site {
    destination: u32,
    tier: usize,
    zone: ZoneId,
    /// Requests per second that the warm site can serve.
    rate: f64,
    model: PartnerModel,
    /// Start of the recovery whose windows are being counted.
    recovered_at: Option<Duration>,
    /// Number of recoveries so far.
    recoveries: u32,
    /// Requests in each window since `recovered_at`.
    received: Vec<u32>,
}

struct SiteEndpoint {
    site: u32,
    /// Whether the endpoint refuses connections.
    down: bool,
    /// Time at which it was listed as draining.
    draining_since: Option<Duration>,
}

struct Gateway {
    engine: Engine,
    epoch: u32,
    /// Time of the next scheduled engine timeout.
    timeout_at: Option<Time>,
    /// End of the last `Retry-After` received from each site.
    retry_after_until: HashMap<u32, Duration>,
    /// Indices of the messages that the instance holds, by the engine's message id.
    held_messages: HashMap<MessageId, u32>,
    /// Whether the instance has crashed and not yet restarted.
    down: bool,
}

struct ScheduledFault {
    spec: FailoverFaultSpec,
    kind: FailoverFault,
    sites: Vec<u32>,
}

struct Simulation<'a> {
    scenario: &'a FailoverScenario,
    policy: SpilloverPolicy,
    settings: Settings,
    now: Duration,
    events: EventQueue<Event>,
    rng: ChaCha8Rng,
    gateways: Vec<Gateway>,
    instance_weights: WeightedIndex<f64>,
    class_weights: WeightedIndex<f64>,
    destination_weights: WeightedIndex<f64>,
    /// Sites of each destination, ordered by tier, and its failover configuration.
    destinations: Vec<(Vec<u32>, TierConfig)>,
    sites: Vec<Site>,
    endpoints: Vec<SiteEndpoint>,
    scheduled_faults: Vec<ScheduledFault>,
    health_checks: HealthChecks,
    /// Current multiple of the scenario's submission rate.
    burst_factor: f64,
    /// Attempts whose response the instance still waits for.
    in_flight: HashSet<(u32, u32, Attempt)>,
    /// Position of the last message submitted under each order key, and the highest position that took effect.
    key_positions: HashMap<u64, (u32, u32)>,
    run: FailoverRun,
}

/// Runs a scenario once; deterministic for a given scenario, policy and seed.
///
/// The run ends one second and two outcome grace periods after the last possible deadline.
pub fn simulate_failover(scenario: &FailoverScenario, policy: SpilloverPolicy, seed: u64) -> FailoverRun {
    let mut simulation = Simulation::new(scenario, policy, seed);
    let seconds = |secs: f64| Duration::from_secs_f64(secs);
    let max_deadline = scenario.classes.values().map(|class| class.deadline).fold(0.0, f64::max);
    let end = seconds(scenario.seconds + max_deadline + 2.0 * scenario.rules.outcome_grace + 1.0);
    while let Some((at, event)) = simulation.events.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.dispatch(event);
    }
    simulation.finish()
}

fn time(since_start: Duration) -> Time {
    Time::ZERO + since_start
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a FailoverScenario, policy: SpilloverPolicy, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let settings = Settings {
            instance_count: scenario.instances as u32,
            classes: classes(&scenario.classes),
            concurrency_limit: scenario.concurrency_limit,
            max_queued: scenario.max_queued,
            rules: scenario.rules.rules(),
            ..Settings::default()
        };
        let load_shares = (0..scenario.instances).map(|n| ((n + 1) as f64).powf(-scenario.skew));
        let destination_shares = scenario.destinations.values().flat_map(|destination| {
            std::iter::repeat_n(destination.share / destination.copies.max(1) as f64, destination.copies)
        });
        // Validation does not check the sum of the shares: invalid weights, such as all zero, become equal ones.
        let weighted = |shares: Vec<f64>| {
            let equal = vec![1.0; shares.len().max(1)];
            WeightedIndex::new(shares).or_else(|_| WeightedIndex::new(equal)).ok()
        };
        let fallback = || WeightedIndex::new([1.0]).expect("one weight above zero");
        let mut simulation = Simulation {
            instance_weights: weighted(load_shares.collect()).unwrap_or_else(fallback),
            class_weights: weighted(scenario.classes.values().map(|c| c.share).collect())
                .unwrap_or_else(fallback),
            destination_weights: weighted(destination_shares.collect()).unwrap_or_else(fallback),
            scenario,
            policy,
            settings,
            now: Duration::ZERO,
            events: EventQueue::new(),
            gateways: Vec::new(),
            destinations: Vec::new(),
            sites: Vec::new(),
            endpoints: Vec::new(),
            scheduled_faults: Vec::new(),
            health_checks: HealthChecks::default(),
            burst_factor: 1.0,
            in_flight: HashSet::new(),
            key_positions: HashMap::new(),
            run: FailoverRun::default(),
            rng: ChaCha8Rng::seed_from_u64(0),
        };
        simulation.build_destinations(&mut rng);
        simulation.schedule_faults(&mut rng);
        for instance in 0..scenario.instances {
            let engine = simulation.new_engine(instance, rng.random());
            let (retry_after_until, held_messages) = (HashMap::new(), HashMap::new());
            simulation.gateways.push(Gateway {
                engine,
                epoch: 0,
                timeout_at: None,
                retry_after_until,
                held_messages,
                down: false,
            });
        }
        simulation.rng = rng;
        simulation.schedule(Duration::ZERO, Event::Submission);
        simulation
    }

    // ---- Events and totals ----

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.schedule(at, event);
    }

    fn network_delay(&mut self) -> Duration {
        draw_delay(self.scenario.network_delay_ms, &mut self.rng)
    }

    fn current_second(&mut self) -> &mut SecondTotals {
        let index = self.now.as_secs() as usize;
        if self.run.seconds.len() <= index {
            self.run.seconds.resize(index + 1, SecondTotals::default());
        }
        &mut self.run.seconds[index]
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Submission => self.submit_next(),
            Event::RequestArrival { instance, epoch, endpoint, attempt } => {
                self.on_request_arrival(instance, epoch, endpoint, attempt);
            }
            Event::ResponseArrival { instance, epoch, attempt, site, reply } => {
                self.on_response_arrival(instance, epoch, attempt, site, reply);
            }
            Event::EngineTimeout { instance } => {
                let gateway = &mut self.gateways[instance as usize];
                if !gateway.down && gateway.timeout_at == Some(time(self.now)) {
                    gateway.timeout_at = None;
                    self.advance(instance);
                }
            }
            Event::Fault { index, begins } => self.apply_fault(index, begins),
            Event::Restart { instance } => self.restart(instance),
        }
    }

    // ---- Clients ----

    fn submit_next(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.rng);
        let next =
            self.now + Duration::from_secs_f64(gap / (self.scenario.rate * self.burst_factor).max(1e-6));
        if next.as_secs_f64() < self.scenario.seconds {
            self.schedule(next, Event::Submission);
        }
        let class = self.class_weights.sample(&mut self.rng);
        let destination = self.destination_weights.sample(&mut self.rng) as u32;
        let mut instance = self.instance_weights.sample(&mut self.rng) as u32;
        let Some(spec) = self.scenario.classes.values().nth(class) else { return };
        let key = spec.ordered.then(|| {
            let key =
                u64::from(destination) << 32 | u64::from(self.rng.random_range(0..spec.order_keys.max(1)));
            // Messages of an order key must all go to one instance, which keeps their order.
            instance = (key % self.gateways.len() as u64) as u32;
            let (position, _) = self.key_positions.entry(key).or_insert((0, 0));
            *position += 1;
            (key, *position)
        });
        let (deadline, value) = (self.now + Duration::from_secs_f64(spec.deadline), spec.priority_weight);
        let multi_tier = self.destinations[destination as usize].0.len() > 1;
        let second = self.current_second();
        second.submitted += 1;
        second.offered_value += value;
        second.multi_tier += u32::from(multi_tier);
        let number = self.run.messages.len() as u32;
        self.run.messages.push(MessageHistory {
            class: class as u8,
            destination,
            instance,
            key,
            submitted_at: self.now,
            deadline,
            first_tier: None,
            spilled_at: None,
            effects: 0,
            last_effect_at: None,
            outcome: None,
            extra_outcomes: 0,
        });
        self.submit(instance, number, false);
    }

    fn submit(&mut self, instance: u32, number: u32, after_loss: bool) {
        let message = &self.run.messages[number as usize];
        let request = SubmitRequest {
            client: 0,
            idempotency_key: number.to_string(),
            fingerprint: [0; 32],
            class: ClassId(message.class),
            destination: DestinationId(message.destination as u16),
            order_key: message.key.map(|(key, _)| OrderKey(key)),
            deadline: time(message.deadline),
            tenant: TenantId(0),
            resubmitted: after_loss,
            from_lost_instance: after_loss,
        };
        self.run.submissions.push(Submission { instance, destination: message.destination, message: number });
        let gateway = &mut self.gateways[instance as usize];
        if gateway.down {
            return self.complete(number, FinalOutcome::Rejected(Duration::ZERO));
        }
        match gateway.engine.submit(time(self.now), request) {
            Admission::New(id) | Admission::InFlight(id) => {
                gateway.held_messages.insert(id, number);
                self.advance(instance);
            }
            Admission::Completed(_, outcome) => self.complete(number, outcome),
            Admission::Conflict | Admission::Overloaded | Admission::ShuttingDown => {
                self.complete(number, FinalOutcome::Rejected(Duration::ZERO));
            }
        }
    }

    fn complete(&mut self, number: u32, outcome: FinalOutcome) {
        let message = &mut self.run.messages[number as usize];
        if message.outcome.is_some() {
            message.extra_outcomes += 1;
            return;
        }
        message.outcome = Some((outcome, self.now));
        let Some(class) = self.scenario.classes.values().nth(usize::from(message.class)) else { return };
        let value = class.value_at((self.now - message.submitted_at).as_secs_f64());
        let second = self.current_second();
        match outcome {
            FinalOutcome::Delivered => {
                second.delivered += 1;
                second.delivered_value += value;
            }
            _ => second.undelivered += 1,
        }
    }

    // ---- Gateways ----

    fn advance(&mut self, instance: u32) {
        let now = time(self.now);
        self.run.advance_calls += 1;
        let commands = self.gateways[instance as usize].engine.advance(now);
        for command in commands {
            self.execute(instance, command);
        }
        let gateway = &mut self.gateways[instance as usize];
        let Some(next) = gateway.engine.next_timeout() else { return };
        let next = next.max(now);
        if gateway.timeout_at.is_none_or(|scheduled| next < scheduled) {
            gateway.timeout_at = Some(next);
            self.schedule(next - Time::ZERO, Event::EngineTimeout { instance });
        }
    }

    fn execute(&mut self, instance: u32, command: Command) {
        let gateway = &mut self.gateways[instance as usize];
        let epoch = gateway.epoch;
        match command {
            Command::Send { endpoint, attempts } => {
                let site = self.endpoints[endpoint.0 as usize].site;
                if gateway.retry_after_until.get(&site).is_some_and(|until| self.now < *until) {
                    self.run.violations.early_retries += 1;
                }
                for attempt in attempts {
                    self.in_flight.insert((instance, epoch, attempt));
                    let at = self.now + self.network_delay();
                    self.schedule(at, Event::RequestArrival { instance, epoch, endpoint, attempt });
                }
            }
            Command::Abandon { attempt, .. } => {
                self.in_flight.remove(&(instance, epoch, attempt));
            }
            Command::Complete { message, outcome, .. } => {
                if let Some(number) = gateway.held_messages.get(&message).copied() {
                    self.complete(number, outcome);
                }
            }
            Command::Evicted { message } => {
                gateway.held_messages.remove(&message);
            }
            Command::LateReceipt { .. }
            | Command::CloseIdle { .. }
            | Command::Probe { .. }
            | Command::Log { .. } => {}
        }
    }

    // ---- Final checks ----

    fn finish(mut self) -> FailoverRun {
        for site in &mut self.sites {
            site.close_windows(self.now, &mut self.run.windows);
            self.run.violations.collapsed_sites += u64::from(site.model.has_collapsed());
        }
        let grace = Duration::from_secs_f64(self.scenario.rules.outcome_grace);
        let violations: &mut FailoverViolations = &mut self.run.violations;
        for message in &self.run.messages {
            match message.outcome {
                None => violations.missing_or_extra_outcomes += 1,
                Some((outcome, at)) => {
                    let wrong = match outcome {
                        FinalOutcome::Delivered => message.effects == 0,
                        FinalOutcome::Rejected(_) => {
                            let class = &self.settings.classes[usize::from(message.class)];
                            message.effects > 0 && class.effect != Effect::Safe
                        }
                        FinalOutcome::Failed | FinalOutcome::Cancelled => false,
                    };
                    violations.late_or_wrong_outcomes += u64::from(wrong || at > message.deadline + grace);
                    violations.missing_or_extra_outcomes += u64::from(message.extra_outcomes > 0);
                }
            }
        }
        self.run
    }
}
