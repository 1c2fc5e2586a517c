//! The failover simulation: gateway instances, sites and the network between them, driven by an event queue.

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

/// Length of a window in which a returning site's load is measured.
const WINDOW: Duration = Duration::from_millis(100);
/// A return is watched for so many times the cold time.
const WATCHED: f64 = 2.0;
/// Time from the loss of a gateway instance to its restart, when its clients submit unfinished messages again.
const RESTARTED_AFTER: Duration = Duration::from_millis(300);

/// Something due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Submission,
    Reach { instance: u32, epoch: u32, endpoint: EndpointId, attempt: Attempt },
    Response { instance: u32, epoch: u32, attempt: Attempt, site: u32, reply: SiteResponse },
    Wake { instance: u32 },
    Fault { place: usize, begins: bool },
    Restarted { instance: u32 },
}

/// A response on the network; the remaining rate limit is in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SiteResponse {
    Processed(Option<u32>),
    Error,
    Rejected(Option<Duration>, Option<u32>),
    Reset,
    NoConnection,
}

struct Site {
    destination: u32,
    tier: usize,
    zone: ZoneId,
    rate: f64,
    model: PartnerModel,
    /// The present or last return, and how many there were.
    returned: Option<Duration>,
    returns: u32,
    /// Requests in each window since.
    received: Vec<u32>,
}

struct Address {
    site: u32,
    down: bool,
    /// Listed as draining since then.
    draining: Option<Duration>,
}

struct Gateway {
    engine: Engine,
    epoch: u32,
    /// The wake-up that is scheduled.
    wake: Option<Time>,
    /// End of the `Retry-After` of each site.
    waits: HashMap<u32, Duration>,
    /// Messages that it holds, by the engine's id.
    held: HashMap<MessageId, u32>,
    /// Down until it is started again.
    down: bool,
}

struct ScheduledFault {
    spec: FailoverFaultSpec,
    act: FailoverFault,
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
    by_load: WeightedIndex<f64>,
    by_class: WeightedIndex<f64>,
    by_destination: WeightedIndex<f64>,
    /// Sites of each destination, by tier, and its failover configuration.
    destinations: Vec<(Vec<u32>, TierConfig)>,
    sites: Vec<Site>,
    addresses: Vec<Address>,
    scheduled_faults: Vec<ScheduledFault>,
    checks: HealthChecks,
    burst: f64,
    in_flight: HashSet<(u32, u32, Attempt)>,
    /// Next place under each key, and the last place that took effect.
    keys: HashMap<u64, (u32, u32)>,
    run: FailoverRun,
}

/// Runs a scenario once. The same scenario, policy and seed always give the same run.
pub fn simulate_failover(scenario: &FailoverScenario, policy: SpilloverPolicy, seed: u64) -> FailoverRun {
    let mut simulation = Simulation::new(scenario, policy, seed);
    let span = |seconds: f64| Duration::from_secs_f64(seconds);
    let longest = scenario.classes.values().map(|class| class.deadline).fold(0.0, f64::max);
    let end = span(scenario.seconds + longest + 2.0 * scenario.rules.outcome_grace + 1.0);
    while let Some((at, event)) = simulation.events.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.dispatch(event);
    }
    simulation.finish()
}

fn time(span: Duration) -> Time {
    Time::ZERO + span
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
        let loads = (0..scenario.instances).map(|n| ((n + 1) as f64).powf(-scenario.skew));
        let destination_shares = scenario.destinations.values().flat_map(|destination| {
            std::iter::repeat_n(destination.share / destination.copies.max(1) as f64, destination.copies)
        });
        // Scenarios are checked: shares that add up to zero fall back to equal ones.
        let weighted = |shares: Vec<f64>| {
            let even = vec![1.0; shares.len().max(1)];
            WeightedIndex::new(shares).or_else(|_| WeightedIndex::new(even)).ok()
        };
        let fallback = || WeightedIndex::new([1.0]).expect("one weight above zero");
        let mut simulation = Simulation {
            by_load: weighted(loads.collect()).unwrap_or_else(fallback),
            by_class: weighted(scenario.classes.values().map(|c| c.share).collect()).unwrap_or_else(fallback),
            by_destination: weighted(destination_shares.collect()).unwrap_or_else(fallback),
            scenario,
            policy,
            settings,
            now: Duration::ZERO,
            events: EventQueue::new(),
            gateways: Vec::new(),
            destinations: Vec::new(),
            sites: Vec::new(),
            addresses: Vec::new(),
            scheduled_faults: Vec::new(),
            checks: HealthChecks::default(),
            burst: 1.0,
            in_flight: HashSet::new(),
            keys: HashMap::new(),
            run: FailoverRun::default(),
            rng: ChaCha8Rng::seed_from_u64(0),
        };
        simulation.build_destinations(&mut rng);
        simulation.schedule_faults(&mut rng);
        for instance in 0..scenario.instances {
            let engine = simulation.engine(instance, rng.random());
            let (waits, held) = (HashMap::new(), HashMap::new());
            simulation.gateways.push(Gateway { engine, epoch: 0, wake: None, waits, held, down: false });
        }
        simulation.rng = rng;
        simulation.schedule(Duration::ZERO, Event::Submission);
        simulation
    }

    // ---- Agenda ----

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.schedule(at, event);
    }

    fn network_delay(&mut self) -> Duration {
        draw_delay(self.scenario.network_delay_ms, &mut self.rng)
    }

    fn second(&mut self) -> &mut SecondTotals {
        let place = self.now.as_secs() as usize;
        if self.run.seconds.len() <= place {
            self.run.seconds.resize(place + 1, SecondTotals::default());
        }
        &mut self.run.seconds[place]
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Submission => self.submit_next(),
            Event::Reach { instance, epoch, endpoint, attempt } => {
                self.reach(instance, epoch, endpoint, attempt);
            }
            Event::Response { instance, epoch, attempt, site, reply } => {
                self.answered(instance, epoch, attempt, site, reply);
            }
            Event::Wake { instance } => {
                let gateway = &mut self.gateways[instance as usize];
                if !gateway.down && gateway.wake == Some(time(self.now)) {
                    gateway.wake = None;
                    self.advance(instance);
                }
            }
            Event::Fault { place, begins } => self.apply_fault(place, begins),
            Event::Restarted { instance } => self.restarted(instance),
        }
    }

    // ---- Clients ----

    fn submit_next(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.rng);
        let next = self.now + Duration::from_secs_f64(gap / (self.scenario.rate * self.burst).max(1e-6));
        if next.as_secs_f64() < self.scenario.seconds {
            self.schedule(next, Event::Submission);
        }
        let class = self.by_class.sample(&mut self.rng);
        let destination = self.by_destination.sample(&mut self.rng) as u32;
        let mut instance = self.by_load.sample(&mut self.rng) as u32;
        let Some(spec) = self.scenario.classes.values().nth(class) else { return };
        let key = spec.ordered.then(|| {
            let key =
                u64::from(destination) << 32 | u64::from(self.rng.random_range(0..spec.order_keys.max(1)));
            // All messages of an order key go to one instance.
            instance = (key % self.gateways.len() as u64) as u32;
            let (place, _) = self.keys.entry(key).or_insert((0, 0));
            *place += 1;
            (key, *place)
        });
        let (deadline, worth) = (self.now + Duration::from_secs_f64(spec.deadline), spec.priority_weight);
        let tiered = self.destinations[destination as usize].0.len() > 1;
        let second = self.second();
        second.submitted += 1;
        second.offered_value += worth;
        second.multi_tier += u32::from(tiered);
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
        let taken = SubmitRequest {
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
        match gateway.engine.submit(time(self.now), taken) {
            Admission::New(id) | Admission::InFlight(id) => {
                gateway.held.insert(id, number);
                self.advance(instance);
            }
            Admission::Completed(_, answer) => self.complete(number, answer),
            Admission::Conflict | Admission::Overloaded | Admission::ShuttingDown => {
                self.complete(number, FinalOutcome::Rejected(Duration::ZERO));
            }
        }
    }

    fn complete(&mut self, number: u32, answer: FinalOutcome) {
        let message = &mut self.run.messages[number as usize];
        if message.outcome.is_some() {
            message.extra_outcomes += 1;
            return;
        }
        message.outcome = Some((answer, self.now));
        let Some(class) = self.scenario.classes.values().nth(usize::from(message.class)) else { return };
        let worth = class.value_at((self.now - message.submitted_at).as_secs_f64());
        let second = self.second();
        match answer {
            FinalOutcome::Delivered => {
                second.delivered += 1;
                second.delivered_value += worth;
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
        if gateway.wake.is_none_or(|set| next < set) {
            gateway.wake = Some(next);
            self.schedule(next - Time::ZERO, Event::Wake { instance });
        }
    }

    fn execute(&mut self, instance: u32, command: Command) {
        let gateway = &mut self.gateways[instance as usize];
        let epoch = gateway.epoch;
        match command {
            Command::Send { endpoint, attempts } => {
                let site = self.addresses[endpoint.0 as usize].site;
                if gateway.waits.get(&site).is_some_and(|until| self.now < *until) {
                    self.run.violations.early_retries += 1;
                }
                for attempt in attempts {
                    self.in_flight.insert((instance, epoch, attempt));
                    let at = self.now + self.network_delay();
                    self.schedule(at, Event::Reach { instance, epoch, endpoint, attempt });
                }
            }
            Command::Abandon { attempt, .. } => {
                self.in_flight.remove(&(instance, epoch, attempt));
            }
            Command::Complete { message, outcome: answer, .. } => {
                if let Some(number) = gateway.held.get(&message).copied() {
                    self.complete(number, answer);
                }
            }
            Command::Evicted { message } => {
                gateway.held.remove(&message);
            }
            Command::LateReceipt { .. }
            | Command::CloseIdle { .. }
            | Command::Probe { .. }
            | Command::Log { .. } => {}
        }
    }

    // ---- The end ----

    fn finish(mut self) -> FailoverRun {
        for site in &mut self.sites {
            site.close_windows(self.now, &mut self.run.windows);
            self.run.violations.collapsed_sites += u64::from(site.model.has_collapsed());
        }
        let slack = Duration::from_secs_f64(self.scenario.rules.outcome_grace);
        let violations: &mut FailoverViolations = &mut self.run.violations;
        for message in &self.run.messages {
            match message.outcome {
                None => violations.missing_or_extra_outcomes += 1,
                Some((answer, at)) => {
                    let untrue = match answer {
                        FinalOutcome::Delivered => message.effects == 0,
                        FinalOutcome::Rejected(_) => {
                            let class = &self.settings.classes[usize::from(message.class)];
                            message.effects > 0 && class.effect != Effect::Safe
                        }
                        FinalOutcome::Failed | FinalOutcome::Cancelled => false,
                    };
                    violations.late_or_wrong_outcomes += u64::from(untrue || at > message.deadline + slack);
                    violations.missing_or_extra_outcomes += u64::from(message.extra_outcomes > 0);
                }
            }
        }
        self.run
    }
}
