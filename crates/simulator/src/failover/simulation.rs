//! The run: an events of events, instances, sites, and the way between them.

mod recovery;
mod setup;

use super::record::{FailoverRun, FailoverViolations, MessageHistory, SecondTotals, Submission};
use super::scenario::{FailoverFault, FailoverFaultSpec, FailoverScenario};
use super::spillover_baseline::{HealthChecks, SpilloverPolicy};
use cloverstile::{
    ClassId, DestinationId, Effect, EndpointId, Group, MessageId, OrderKey, RateLimitStatus, Settings,
    TenantId, Time, ZoneId,
};
use cloverstile_engine::{
    Admission, Attempt, Command, Engine, FinalOutcome, SubmitRequest, TransportOutcome,
};
use cloverstile_failover::TierConfig;
use cloverstile_fakes::model::{PartnerModel, Reply};
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;

/// Length of a window in which a returning site's load is measured.
const WINDOW: Duration = Duration::from_millis(100);
/// A return is watched for so many times the cold time.
const WATCHED: f64 = 2.0;
/// A client submits what a lost instance held after so long, and the instance is back then.
const RESTARTED_AFTER: Duration = Duration::from_millis(300);

/// Something due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Submission,
    Reach { instance: u32, epoch: u32, endpoint: EndpointId, attempt: Attempt },
    Response { instance: u32, epoch: u32, attempt: Attempt, site: u32, reply: Told },
    Wake { instance: u32 },
    Fault { place: usize, begins: bool },
    Restarted { instance: u32 },
}

/// An answer on its way; a share left of a limit in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Processed(Option<u32>),
    Error,
    Full(Option<Duration>, Option<u32>),
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
    /// Told as draining since.
    draining: Option<Duration>,
}

struct Gateway {
    engine: Engine,
    epoch: u32,
    /// The wake-up that stands in the events.
    wake: Option<Time>,
    /// Ends of waits told, by site.
    waits: HashMap<u32, Duration>,
    /// Event it holds, by the engine's id.
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
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
    rng: ChaCha8Rng,
    gateways: Vec<Gateway>,
    by_load: WeightedIndex<f64>,
    by_class: WeightedIndex<f64>,
    by_destination: WeightedIndex<f64>,
    /// SimulatedPartners of each destination, by tier, and what the planner is told of it.
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

/// Plays a scenario once. One scenario, policy and seed give the same run.
pub fn simulate_failover(scenario: &FailoverScenario, policy: SpilloverPolicy, seed: u64) -> FailoverRun {
    let mut simulation = Simulation::new(scenario, policy, seed);
    let span = |seconds: f64| Duration::from_secs_f64(seconds);
    let longest = scenario.class.values().map(|class| class.deadline).fold(0.0, f64::max);
    let end = span(scenario.seconds + longest + 2.0 * scenario.rules.answer_slack + 1.0);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
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
            classes: scenario.classes(),
            concurrency_limit: scenario.call_slots,
            max_queued: scenario.most_held,
            rules: scenario.rules(),
            ..Settings::default()
        };
        let loads = (0..scenario.instances).map(|n| ((n + 1) as f64).powf(-scenario.skew));
        let destination_shares = scenario.destinations.values().flat_map(|destination| {
            std::iter::repeat_n(destination.share / destination.copies.max(1) as f64, destination.copies)
        });
        // Scenarios are checked: shares that add up to nothing fall back to even ones.
        let weighted = |shares: Vec<f64>| {
            let even = vec![1.0; shares.len().max(1)];
            WeightedIndex::new(shares).or_else(|_| WeightedIndex::new(even)).ok()
        };
        let fallback = || WeightedIndex::new([1.0]).expect("one weight above zero");
        let mut simulation = Simulation {
            by_load: weighted(loads.collect()).unwrap_or_else(fallback),
            by_class: weighted(scenario.class.values().map(|c| c.share).collect()).unwrap_or_else(fallback),
            by_destination: weighted(destination_shares.collect()).unwrap_or_else(fallback),
            scenario,
            policy,
            settings,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
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
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn network_delay(&mut self) -> Duration {
        let [least, more] = self.scenario.network_delay_ms;
        let drawn: f64 = Exp1.sample(&mut self.rng);
        Duration::from_secs_f64((least + more * drawn) / 1e3)
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
        let Some(spec) = self.scenario.class.values().nth(class) else { return };
        let key = spec.in_order.then(|| {
            let key = u64::from(destination) << 32 | u64::from(self.rng.random_range(0..spec.keys.max(1)));
            // Event is about one employee lives on one instance.
            instance = (key % self.gateways.len() as u64) as u32;
            let (place, _) = self.keys.entry(key).or_insert((0, 0));
            *place += 1;
            (key, *place)
        });
        let (deadline, worth) = (self.now + Duration::from_secs_f64(spec.deadline), spec.worth);
        let tiered = self.destinations[destination as usize].0.len() > 1;
        let second = self.second();
        second.submitted += 1;
        second.offered += worth;
        second.tiered += u32::from(tiered);
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
            effect_at: None,
            answer: None,
            more_answers: 0,
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
        if message.answer.is_some() {
            message.more_answers += 1;
            return;
        }
        message.answer = Some((answer, self.now));
        let Some(class) = self.scenario.class.values().nth(usize::from(message.class)) else { return };
        let worth = class.worth_at((self.now - message.submitted_at).as_secs_f64());
        let second = self.second();
        match answer {
            FinalOutcome::Delivered => {
                second.delivered += 1;
                second.worth += worth;
            }
            _ => second.lost += 1,
        }
    }

    // ---- Gateways ----

    fn advance(&mut self, instance: u32) {
        let now = time(self.now);
        self.run.turns += 1;
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
                    self.run.violations.waits_broken += 1;
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

    // ---- SimulatedPartners ----

    fn reach(&mut self, instance: u32, epoch: u32, endpoint: EndpointId, attempt: Attempt) {
        let (now, address) = (self.now, &self.addresses[endpoint.0 as usize]);
        let (id, down) = (address.site, address.down);
        let grace = Duration::from_secs_f64(self.scenario.rules.drain_grace);
        if address.draining.is_some_and(|since| now > since + grace) {
            self.run.violations.after_drain += 1;
        }
        let gateway = &self.gateways[instance as usize];
        let number = gateway.held.get(&attempt.message).copied().filter(|_| gateway.epoch == epoch);
        self.run.requests += 1;
        self.second().requests += 1;
        let site = &mut self.sites[id as usize];
        site.count(now);
        if down || matches!(site.model.fault(), Some(cloverstile_fakes::model::Fault::RefuseConnections)) {
            let reply = Told::NoConnection;
            return self.reply(now, Event::Response { instance, epoch, attempt, site: id, reply });
        }
        // A message that its instance has forgotten, or a lost instance's: the site sees it all the same.
        let Some(number) = number else { return };
        let verdict = site.model.handle_request(now, &number.to_string());
        let left = site.model.allowance().map(|(left, _)| (left * 1e6) as u32);
        let tier = site.tier;
        self.reached(number, tier);
        if verdict.takes_effect {
            self.record_effect(number, id);
        }
        let reply = match verdict.reply {
            Reply::Processed => Told::Processed(left),
            Reply::Error => Told::Error,
            Reply::Rejected(wait) => Told::Full(wait, left),
            Reply::Truncated | Reply::Reset => Told::Reset,
        };
        if let Some(at) = verdict.respond_at {
            self.reply(at, Event::Response { instance, epoch, attempt, site: id, reply });
        }
    }

    fn reply(&mut self, at: Duration, event: Event) {
        let at = at + self.network_delay();
        self.schedule(at, event);
    }

    fn reached(&mut self, number: u32, tier: usize) {
        let message = &mut self.run.messages[number as usize];
        message.first_tier.get_or_insert(tier);
        if tier > 0 && message.spilled_at.is_none() {
            message.spilled_at = Some(self.now);
            self.second().spilled += 1;
        }
    }

    fn record_effect(&mut self, number: u32, site: u32) {
        let message = &mut self.run.messages[number as usize];
        let class = &self.settings.classes[usize::from(message.class)];
        // SimulatedPartners of one group know each other's keys: the repeat is dropped, whichever it reaches.
        let window = self.sites[site as usize].model.profile().repeat_window;
        let known = message.effect_at.is_some_and(|at| self.now < at + window);
        if class.effect == Effect::Keyed && class.group == Group::All && known {
            return;
        }
        message.effects += 1;
        message.effect_at = Some(self.now);
        if message.effects > 1 && class.effect != Effect::Safe {
            self.run.violations.twice += 1;
        }
        if let (Some((key, place)), 1) = (message.key, message.effects) {
            let (_, last) = self.keys.entry(key).or_default();
            if place < *last {
                self.run.violations.out_of_order += 1;
            }
            *last = place.max(*last);
        }
    }

    fn answered(&mut self, instance: u32, epoch: u32, attempt: Attempt, site: u32, reply: Told) {
        if !self.in_flight.remove(&(instance, epoch, attempt)) {
            return;
        }
        let limit = self.sites[site as usize].model.profile().limit.unwrap_or(0.0);
        let told = |left: u32| RateLimitStatus { remaining: f64::from(left) / 1e6, limit };
        let (reported, allowance) = match reply {
            Told::Processed(left) => (TransportOutcome::Processed, left.map(told)),
            Told::Error => (TransportOutcome::Error, None),
            Told::Full(wait, left) => (TransportOutcome::Rejected(wait), left.map(told)),
            Told::Reset => (TransportOutcome::Reset, None),
            Told::NoConnection => (TransportOutcome::ConnectFailed, None),
        };
        let gateway = &mut self.gateways[instance as usize];
        if gateway.down || gateway.epoch != epoch {
            return;
        }
        if let TransportOutcome::Rejected(Some(wait)) = reported {
            let until = gateway.waits.entry(site).or_default();
            *until = (*until).max(self.now + wait);
        }
        gateway.engine.on_attempt_completed(time(self.now), attempt, reported, allowance);
        self.advance(instance);
    }

    // ---- Troubles ----

    fn apply_fault(&mut self, place: usize, begins: bool) {
        let ScheduledFault { spec, act, sites } = &self.scheduled_faults[place];
        let (spec, act, sites) = (spec.clone(), *act, sites.clone());
        match act {
            FailoverFault::Fault(fault) => {
                for site in sites {
                    self.check(site, !begins || !fault.is_outage());
                    let site = &mut self.sites[site as usize];
                    if begins {
                        let until = self.now + Duration::from_secs_f64(spec.lasts);
                        site.model.begin_fault(fault, until);
                    } else {
                        site.model.end_fault(self.now);
                        if fault.is_outage() {
                            site.close_windows(self.now, &mut self.run.windows);
                            site.returned = Some(self.now);
                            site.returns += 1;
                        }
                    }
                }
            }
            FailoverFault::Part | FailoverFault::Drain => {
                for site in sites {
                    let of_site =
                        self.addresses.iter_mut().enumerate().filter(|(_, address)| address.site == site);
                    for (id, address) in of_site.take(spec.endpoints) {
                        match act {
                            FailoverFault::Part => {
                                address.down = begins;
                                self.checks.tell(time(self.now), EndpointId(id as u32), !begins);
                            }
                            _ => address.draining = begins.then_some(self.now),
                        }
                    }
                }
                if act == FailoverFault::Drain {
                    let list = self.list();
                    for instance in 0..self.gateways.len() {
                        self.gateways[instance].engine.update_endpoints(time(self.now), list.clone());
                        self.advance(instance as u32);
                    }
                }
            }
            FailoverFault::Restart if begins => {
                for instance in 0..spec.instances.min(self.gateways.len()) {
                    let gateway = &mut self.gateways[instance];
                    (gateway.down, gateway.wake) = (true, None);
                    gateway.epoch += 1;
                    gateway.waits.clear();
                    let at = self.now + RESTARTED_AFTER;
                    self.schedule(at, Event::Restarted { instance: instance as u32 });
                }
            }
            FailoverFault::Restart => {}
            FailoverFault::Burst => self.burst = if begins { spec.size } else { 1.0 },
        }
    }

    /// Event health checks of a site's addresses would find from now on.
    fn check(&self, site: u32, up: bool) {
        for (id, _) in self.addresses.iter().enumerate().filter(|(_, address)| address.site == site) {
            self.checks.tell(time(self.now), EndpointId(id as u32), up);
        }
    }

    /// A lost instance is back and knows nothing; its clients hand in again what it had not answered.
    fn restarted(&mut self, instance: u32) {
        let seed = self.rng.random();
        let engine = self.engine(instance as usize, seed);
        let gateway = &mut self.gateways[instance as usize];
        (gateway.engine, gateway.down) = (engine, false);
        let mut held: Vec<u32> = std::mem::take(&mut gateway.held).into_values().collect();
        held.retain(|number| self.run.messages[*number as usize].answer.is_none());
        held.sort_unstable();
        for number in held {
            self.submit(instance, number, true);
        }
        self.advance(instance);
    }

    // ---- The end ----

    fn finish(mut self) -> FailoverRun {
        for site in &mut self.sites {
            site.close_windows(self.now, &mut self.run.windows);
            self.run.violations.pushed_over += u64::from(site.model.has_collapsed());
        }
        let slack = Duration::from_secs_f64(self.scenario.rules.answer_slack);
        let violations: &mut FailoverViolations = &mut self.run.violations;
        for message in &self.run.messages {
            match message.answer {
                None => violations.unanswered += 1,
                Some((answer, at)) => {
                    let untrue = match answer {
                        FinalOutcome::Delivered => message.effects == 0,
                        FinalOutcome::Rejected(_) => {
                            let class = &self.settings.classes[usize::from(message.class)];
                            message.effects > 0 && class.effect != Effect::Safe
                        }
                        FinalOutcome::Failed | FinalOutcome::Cancelled => false,
                    };
                    violations.late_or_untrue += u64::from(untrue || at > message.deadline + slack);
                    violations.unanswered += u64::from(message.more_answers > 0);
                }
            }
        }
        self.run
    }
}
