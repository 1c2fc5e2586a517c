//! The run: an agenda of events, couriers, sites, and the way between them.

mod build;
mod site;

use crate::baseline::{Checks, PolicyKind};
use crate::record::{Audit, Handed, Message, Run, Second};
use crate::scenario::{Act, Scenario, TroubleSpec};
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
/// A client hands in what a lost courier held after so long, and the courier is back then.
const RESTARTED_AFTER: Duration = Duration::from_millis(300);

/// Something due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Submission,
    Reach { courier: u32, epoch: u32, endpoint: EndpointId, attempt: Attempt },
    Response { courier: u32, epoch: u32, attempt: Attempt, site: u32, reply: Told },
    Wake { courier: u32 },
    Trouble { place: usize, begins: bool },
    Restarted { courier: u32 },
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
    bank: u32,
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

struct Seat {
    engine: Engine,
    epoch: u32,
    /// The wake-up that stands in the agenda.
    wake: Option<Time>,
    /// Ends of waits told, by site.
    waits: HashMap<u32, Duration>,
    /// What it holds, by the engine's id.
    held: HashMap<MessageId, u32>,
    /// Down until it is started again.
    down: bool,
}

struct Strike {
    spec: TroubleSpec,
    act: Act,
    sites: Vec<u32>,
}

struct World<'a> {
    scenario: &'a Scenario,
    policy: PolicyKind,
    settings: Settings,
    now: Duration,
    agenda: BinaryHeap<Reverse<(Duration, u64, What)>>,
    entered: u64,
    rng: ChaCha8Rng,
    seats: Vec<Seat>,
    by_load: WeightedIndex<f64>,
    by_class: WeightedIndex<f64>,
    by_bank: WeightedIndex<f64>,
    /// Sites of each bank, by tier, and what the planner is told of it.
    banks: Vec<(Vec<u32>, TierConfig)>,
    sites: Vec<Site>,
    addresses: Vec<Address>,
    strikes: Vec<Strike>,
    checks: Checks,
    burst: f64,
    in_flight: HashSet<(u32, u32, Attempt)>,
    /// Next place under each key, and the last place that took effect.
    keys: HashMap<u64, (u32, u32)>,
    run: Run,
}

/// Plays a scenario once. One scenario, policy and seed give the same run.
pub fn play(scenario: &Scenario, policy: PolicyKind, seed: u64) -> Run {
    let mut world = World::new(scenario, policy, seed);
    let span = |seconds: f64| Duration::from_secs_f64(seconds);
    let longest = scenario.class.values().map(|class| class.deadline).fold(0.0, f64::max);
    let end = span(scenario.seconds + longest + 2.0 * scenario.rules.answer_slack + 1.0);
    while let Some(Reverse((at, _, what))) = world.agenda.pop() {
        if at > end {
            break;
        }
        world.now = at;
        world.happen(what);
    }
    world.finish()
}

fn time(span: Duration) -> Time {
    Time::ZERO + span
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, policy: PolicyKind, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let settings = Settings {
            instance_count: scenario.couriers as u32,
            classes: scenario.classes(),
            concurrency_limit: scenario.call_slots,
            max_queued: scenario.most_held,
            rules: scenario.rules(),
            ..Settings::default()
        };
        let loads = (0..scenario.couriers).map(|n| ((n + 1) as f64).powf(-scenario.skew));
        let bank_shares = scenario
            .bank
            .values()
            .flat_map(|bank| std::iter::repeat_n(bank.share / bank.copies.max(1) as f64, bank.copies));
        // Scenarios are checked: shares that add up to nothing fall back to even ones.
        let weighted = |shares: Vec<f64>| {
            let even = vec![1.0; shares.len().max(1)];
            WeightedIndex::new(shares).or_else(|_| WeightedIndex::new(even)).ok()
        };
        let fallback = || WeightedIndex::new([1.0]).expect("one weight above zero");
        let mut world = World {
            by_load: weighted(loads.collect()).unwrap_or_else(fallback),
            by_class: weighted(scenario.class.values().map(|c| c.share).collect()).unwrap_or_else(fallback),
            by_bank: weighted(bank_shares.collect()).unwrap_or_else(fallback),
            scenario,
            policy,
            settings,
            now: Duration::ZERO,
            agenda: BinaryHeap::new(),
            entered: 0,
            seats: Vec::new(),
            banks: Vec::new(),
            sites: Vec::new(),
            addresses: Vec::new(),
            strikes: Vec::new(),
            checks: Checks::default(),
            burst: 1.0,
            in_flight: HashSet::new(),
            keys: HashMap::new(),
            run: Run::default(),
            rng: ChaCha8Rng::seed_from_u64(0),
        };
        world.build_banks(&mut rng);
        world.plan_troubles(&mut rng);
        for courier in 0..scenario.couriers {
            let engine = world.engine(courier, rng.random());
            let (waits, held) = (HashMap::new(), HashMap::new());
            world.seats.push(Seat { engine, epoch: 0, wake: None, waits, held, down: false });
        }
        world.rng = rng;
        world.enter(Duration::ZERO, What::Submission);
        world
    }

    // ---- Agenda ----

    fn enter(&mut self, at: Duration, what: What) {
        self.entered += 1;
        self.agenda.push(Reverse((at, self.entered, what)));
    }

    fn way(&mut self) -> Duration {
        let [least, more] = self.scenario.way_ms;
        let drawn: f64 = Exp1.sample(&mut self.rng);
        Duration::from_secs_f64((least + more * drawn) / 1e3)
    }

    fn second(&mut self) -> &mut Second {
        let place = self.now.as_secs() as usize;
        if self.run.seconds.len() <= place {
            self.run.seconds.resize(place + 1, Second::default());
        }
        &mut self.run.seconds[place]
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Submission => self.hand_in_next(),
            What::Reach { courier, epoch, endpoint, attempt } => {
                self.reach(courier, epoch, endpoint, attempt);
            }
            What::Response { courier, epoch, attempt, site, reply } => {
                self.answered(courier, epoch, attempt, site, reply);
            }
            What::Wake { courier } => {
                let seat = &mut self.seats[courier as usize];
                if !seat.down && seat.wake == Some(time(self.now)) {
                    seat.wake = None;
                    self.turn(courier);
                }
            }
            What::Trouble { place, begins } => self.trouble(place, begins),
            What::Restarted { courier } => self.restarted(courier),
        }
    }

    // ---- Clients ----

    fn hand_in_next(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.rng);
        let next = self.now + Duration::from_secs_f64(gap / (self.scenario.rate * self.burst).max(1e-6));
        if next.as_secs_f64() < self.scenario.seconds {
            self.enter(next, What::Submission);
        }
        let class = self.by_class.sample(&mut self.rng);
        let bank = self.by_bank.sample(&mut self.rng) as u32;
        let mut courier = self.by_load.sample(&mut self.rng) as u32;
        let Some(spec) = self.scenario.class.values().nth(class) else { return };
        let key = spec.in_order.then(|| {
            let key = u64::from(bank) << 32 | u64::from(self.rng.random_range(0..spec.keys.max(1)));
            // What is about one employee lives on one courier.
            courier = (key % self.seats.len() as u64) as u32;
            let (place, _) = self.keys.entry(key).or_insert((0, 0));
            *place += 1;
            (key, *place)
        });
        let (deadline, worth) = (self.now + Duration::from_secs_f64(spec.deadline), spec.worth);
        let tiered = self.banks[bank as usize].0.len() > 1;
        let second = self.second();
        second.handed += 1;
        second.offered += worth;
        second.tiered += u32::from(tiered);
        let number = self.run.messages.len() as u32;
        self.run.messages.push(Message {
            class: class as u8,
            bank,
            courier,
            key,
            handed: self.now,
            deadline,
            first_tier: None,
            spilt: None,
            effects: 0,
            effect_at: None,
            answer: None,
            more_answers: 0,
        });
        self.hand_in(courier, number, false);
    }

    fn hand_in(&mut self, courier: u32, number: u32, after_loss: bool) {
        let message = &self.run.messages[number as usize];
        let taken = SubmitRequest {
            client: 0,
            idempotency_key: number.to_string(),
            fingerprint: [0; 32],
            class: ClassId(message.class),
            destination: DestinationId(message.bank as u16),
            order_key: message.key.map(|(key, _)| OrderKey(key)),
            deadline: time(message.deadline),
            tenant: TenantId(0),
            resubmitted: after_loss,
            from_lost_instance: after_loss,
        };
        self.run.hand_ins.push(Handed { courier, bank: message.bank, message: number });
        let seat = &mut self.seats[courier as usize];
        if seat.down {
            return self.give_answer(number, FinalOutcome::Rejected(Duration::ZERO));
        }
        match seat.engine.submit(time(self.now), taken) {
            Admission::New(id) | Admission::InFlight(id) => {
                seat.held.insert(id, number);
                self.turn(courier);
            }
            Admission::Completed(_, answer) => self.give_answer(number, answer),
            Admission::Conflict | Admission::Overloaded | Admission::ShuttingDown => {
                self.give_answer(number, FinalOutcome::Rejected(Duration::ZERO));
            }
        }
    }

    fn give_answer(&mut self, number: u32, answer: FinalOutcome) {
        let message = &mut self.run.messages[number as usize];
        if message.answer.is_some() {
            message.more_answers += 1;
            return;
        }
        message.answer = Some((answer, self.now));
        let Some(class) = self.scenario.class.values().nth(usize::from(message.class)) else { return };
        let worth = class.worth_at((self.now - message.handed).as_secs_f64());
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

    fn turn(&mut self, courier: u32) {
        let now = time(self.now);
        self.run.turns += 1;
        let commands = self.seats[courier as usize].engine.advance(now);
        for command in commands {
            self.carry_out(courier, command);
        }
        let seat = &mut self.seats[courier as usize];
        let Some(next) = seat.engine.next_timeout() else { return };
        let next = next.max(now);
        if seat.wake.is_none_or(|set| next < set) {
            seat.wake = Some(next);
            self.enter(next - Time::ZERO, What::Wake { courier });
        }
    }

    fn carry_out(&mut self, courier: u32, command: Command) {
        let seat = &mut self.seats[courier as usize];
        let epoch = seat.epoch;
        match command {
            Command::Send { endpoint, attempts } => {
                let site = self.addresses[endpoint.0 as usize].site;
                if seat.waits.get(&site).is_some_and(|until| self.now < *until) {
                    self.run.audit.waits_broken += 1;
                }
                for attempt in attempts {
                    self.in_flight.insert((courier, epoch, attempt));
                    let at = self.now + self.way();
                    self.enter(at, What::Reach { courier, epoch, endpoint, attempt });
                }
            }
            Command::Abandon { attempt, .. } => {
                self.in_flight.remove(&(courier, epoch, attempt));
            }
            Command::Complete { message, outcome: answer, .. } => {
                if let Some(number) = seat.held.get(&message).copied() {
                    self.give_answer(number, answer);
                }
            }
            Command::Evicted { message } => {
                seat.held.remove(&message);
            }
            Command::LateReceipt { .. }
            | Command::CloseIdle { .. }
            | Command::Probe { .. }
            | Command::Log { .. } => {}
        }
    }

    // ---- Sites ----

    fn reach(&mut self, courier: u32, epoch: u32, endpoint: EndpointId, attempt: Attempt) {
        let (now, address) = (self.now, &self.addresses[endpoint.0 as usize]);
        let (id, down) = (address.site, address.down);
        let grace = Duration::from_secs_f64(self.scenario.rules.drain_grace);
        if address.draining.is_some_and(|since| now > since + grace) {
            self.run.audit.after_drain += 1;
        }
        let seat = &self.seats[courier as usize];
        let number = seat.held.get(&attempt.message).copied().filter(|_| seat.epoch == epoch);
        self.run.requests += 1;
        self.second().requests += 1;
        let site = &mut self.sites[id as usize];
        site.count(now);
        if down || matches!(site.model.fault(), Some(cloverstile_fakes::model::Fault::RefuseConnections)) {
            let reply = Told::NoConnection;
            return self.reply(now, What::Response { courier, epoch, attempt, site: id, reply });
        }
        // A message that its courier has forgotten, or a lost courier's: the site sees it all the same.
        let Some(number) = number else { return };
        let verdict = site.model.handle_request(now, &number.to_string());
        let left = site.model.allowance().map(|(left, _)| (left * 1e6) as u32);
        let tier = site.tier;
        self.reached(number, tier);
        if verdict.takes_effect {
            self.took_effect(number, id);
        }
        let reply = match verdict.reply {
            Reply::Processed => Told::Processed(left),
            Reply::Error => Told::Error,
            Reply::Rejected(wait) => Told::Full(wait, left),
            Reply::Truncated | Reply::Reset => Told::Reset,
        };
        if let Some(at) = verdict.respond_at {
            self.reply(at, What::Response { courier, epoch, attempt, site: id, reply });
        }
    }

    fn reply(&mut self, at: Duration, what: What) {
        let at = at + self.way();
        self.enter(at, what);
    }

    fn reached(&mut self, number: u32, tier: usize) {
        let message = &mut self.run.messages[number as usize];
        message.first_tier.get_or_insert(tier);
        if tier > 0 && message.spilt.is_none() {
            message.spilt = Some(self.now);
            self.second().spilt += 1;
        }
    }

    fn took_effect(&mut self, number: u32, site: u32) {
        let message = &mut self.run.messages[number as usize];
        let class = &self.settings.classes[usize::from(message.class)];
        // Sites of one group know each other's keys: the repeat is dropped, whichever it reaches.
        let window = self.sites[site as usize].model.profile().repeat_window;
        let known = message.effect_at.is_some_and(|at| self.now < at + window);
        if class.effect == Effect::Keyed && class.group == Group::All && known {
            return;
        }
        message.effects += 1;
        message.effect_at = Some(self.now);
        if message.effects > 1 && class.effect != Effect::Safe {
            self.run.audit.twice += 1;
        }
        if let (Some((key, place)), 1) = (message.key, message.effects) {
            let (_, last) = self.keys.entry(key).or_default();
            if place < *last {
                self.run.audit.out_of_order += 1;
            }
            *last = place.max(*last);
        }
    }

    fn answered(&mut self, courier: u32, epoch: u32, attempt: Attempt, site: u32, reply: Told) {
        if !self.in_flight.remove(&(courier, epoch, attempt)) {
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
        let seat = &mut self.seats[courier as usize];
        if seat.down || seat.epoch != epoch {
            return;
        }
        if let TransportOutcome::Rejected(Some(wait)) = reported {
            let until = seat.waits.entry(site).or_default();
            *until = (*until).max(self.now + wait);
        }
        seat.engine.on_attempt_completed(time(self.now), attempt, reported, allowance);
        self.turn(courier);
    }

    // ---- Troubles ----

    fn trouble(&mut self, place: usize, begins: bool) {
        let Strike { spec, act, sites } = &self.strikes[place];
        let (spec, act, sites) = (spec.clone(), *act, sites.clone());
        match act {
            Act::Fault(fault) => {
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
            Act::Part | Act::Drain => {
                for site in sites {
                    let of_site =
                        self.addresses.iter_mut().enumerate().filter(|(_, address)| address.site == site);
                    for (id, address) in of_site.take(spec.endpoints) {
                        match act {
                            Act::Part => {
                                address.down = begins;
                                self.checks.tell(time(self.now), EndpointId(id as u32), !begins);
                            }
                            _ => address.draining = begins.then_some(self.now),
                        }
                    }
                }
                if act == Act::Drain {
                    let list = self.list();
                    for courier in 0..self.seats.len() {
                        self.seats[courier].engine.update_endpoints(time(self.now), list.clone());
                        self.turn(courier as u32);
                    }
                }
            }
            Act::Restart if begins => {
                for courier in 0..spec.couriers.min(self.seats.len()) {
                    let seat = &mut self.seats[courier];
                    (seat.down, seat.wake) = (true, None);
                    seat.epoch += 1;
                    seat.waits.clear();
                    let at = self.now + RESTARTED_AFTER;
                    self.enter(at, What::Restarted { courier: courier as u32 });
                }
            }
            Act::Restart => {}
            Act::Burst => self.burst = if begins { spec.size } else { 1.0 },
        }
    }

    /// What health checks of a site's addresses would find from now on.
    fn check(&self, site: u32, up: bool) {
        for (id, _) in self.addresses.iter().enumerate().filter(|(_, address)| address.site == site) {
            self.checks.tell(time(self.now), EndpointId(id as u32), up);
        }
    }

    /// A lost courier is back and knows nothing; its clients hand in again what it had not answered.
    fn restarted(&mut self, courier: u32) {
        let seed = self.rng.random();
        let engine = self.engine(courier as usize, seed);
        let seat = &mut self.seats[courier as usize];
        (seat.engine, seat.down) = (engine, false);
        let mut held: Vec<u32> = std::mem::take(&mut seat.held).into_values().collect();
        held.retain(|number| self.run.messages[*number as usize].answer.is_none());
        held.sort_unstable();
        for number in held {
            self.hand_in(courier, number, true);
        }
        self.turn(courier);
    }

    // ---- The end ----

    fn finish(mut self) -> Run {
        for site in &mut self.sites {
            site.close_windows(self.now, &mut self.run.windows);
            self.run.audit.pushed_over += u64::from(site.model.has_collapsed());
        }
        let slack = Duration::from_secs_f64(self.scenario.rules.answer_slack);
        let audit: &mut Audit = &mut self.run.audit;
        for message in &self.run.messages {
            match message.answer {
                None => audit.unanswered += 1,
                Some((answer, at)) => {
                    let untrue = match answer {
                        FinalOutcome::Delivered => message.effects == 0,
                        FinalOutcome::Rejected(_) => {
                            let class = &self.settings.classes[usize::from(message.class)];
                            message.effects > 0 && class.effect != Effect::Safe
                        }
                        FinalOutcome::Failed | FinalOutcome::Cancelled => false,
                    };
                    audit.late_or_untrue += u64::from(untrue || at > message.deadline + slack);
                    audit.unanswered += u64::from(message.more_answers > 0);
                }
            }
        }
        self.run
    }
}
