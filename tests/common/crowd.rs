//! Many couriers and one partner that has an outage and comes back cold: how much is sent to it, and by whom.

use super::{accepted, endpoint, ms};
use cloverstile::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the partner does with calls while it is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Refuses, and tells how long it stays shut.
    ShutAndTells,
    /// Refuses without a word on when it opens.
    Shut,
    /// Takes no connection.
    Down,
    /// Takes calls and never answers.
    Hung,
    /// None: well all the time, and its answers tell what is left of its limit, which refused calls use up too.
    Never,
}

/// What a crowd is put through.
#[derive(Clone, Copy)]
pub struct Plan {
    pub outage: Outage,
    pub couriers: u32,
    /// Calls a second that the warm partner takes.
    pub capacity: f64,
    /// What the list tells of that, over the truth.
    pub told: f64,
    /// Messages a second, over the capacity.
    pub load: f64,
    /// Messages that a call may carry.
    pub batch: usize,
    pub seed: u64,
}

/// What was seen of one run.
pub struct Seen {
    /// The most that couriers which saw the outage sent in a fall window, over what the partner survives.
    pub worst: f64,
    /// Share of the messages handed in since the return that were delivered.
    pub delivered: f64,
    /// Calls delivered over the whole run, over what the limit allows.
    pub used: f64,
}

/// How unevenly messages fall on couriers: at 0 alike, at 1 a few carry most.
const SKEW: f64 = 0.9;
/// Weight of a further message in a call, against the call itself.
const ITEM: f64 = 0.15;
const QUIET_FOR: Duration = Duration::from_secs(6);
const OUT_FOR: Duration = Duration::from_secs(14);
const STEP: Duration = Duration::from_millis(5);
const TO: EndpointId = EndpointId(7);
/// What is left of a limit is told as it stood at the last of these moments.
const TOLD_EVERY: Duration = Duration::from_millis(500);

struct Member {
    courier: DeliveryPolicy,
    wake: Option<(Time, u64)>,
    /// Its part of all messages.
    part: f64,
    /// Has news to act on.
    touched: bool,
    /// Saw a failure or a refusal while the partner was out.
    aware: bool,
}

/// The outcome of an attempt, on its way to the courier.
struct Coming {
    member: usize,
    message: MessageId,
    attempt: u16,
    outcome: AttemptOutcome,
    sent: Time,
}

struct Crowd {
    plan: Plan,
    settings: Settings,
    chance: fastrand::Rng,
    now: Time,
    out_from: Time,
    back: Time,
    members: Vec<Member>,
    coming: BTreeMap<(Time, usize), Coming>,
    /// Attempts made of each message, and over all.
    attempts: BTreeMap<MessageId, u16>,
    count: usize,
    /// Calls that the partner takes before it refuses.
    room: f64,
    /// Its share that is told, and since when.
    left: (f64, Time),
    all_delivered: usize,
    /// What couriers that saw the outage sent since the return, by weight.
    weights: Vec<(Time, f64)>,
    since_return: BTreeSet<MessageId>,
    delivered: usize,
}

/// Lets a crowd live through the outage and the cold return.
pub fn live_through(plan: Plan) -> Seen {
    let mut crowd = Crowd::new(plan);
    let (cold, fall) = (crowd.settings.rules.warm_up_time, crowd.settings.rules.overload_window);
    let mut worst = 0.0_f64;
    while crowd.now < crowd.back + cold {
        crowd.now = crowd.now + STEP;
        let most = crowd.capacity() / 2.0 + 1.0;
        crowd.room = (crowd.room + crowd.capacity() * STEP.as_secs_f64()).min(most);
        if crowd.now - crowd.left.1 >= TOLD_EVERY {
            crowd.left = (crowd.room.max(0.0) / most, crowd.now);
        }
        crowd.hand_in();
        crowd.wake();
        crowd.tell_outcomes();
        (0..crowd.members.len()).for_each(|member| crowd.act(member));
        if crowd.now >= crowd.back {
            let survives = crowd.settings.rules.overload_multiple * crowd.capacity() * fall.as_secs_f64();
            let recent = crowd.weights.iter().filter(|(at, _)| crowd.now - *at < fall);
            worst = worst.max(recent.map(|(_, weight)| weight).sum::<f64>() / survives);
        }
    }
    let delivered = crowd.delivered as f64 / crowd.since_return.len().max(1) as f64;
    let passed = (crowd.now - crowd.out_from + QUIET_FOR).as_secs_f64();
    Seen { worst, delivered, used: crowd.all_delivered as f64 / (plan.capacity * passed) }
}

fn settings_of(plan: &Plan) -> Settings {
    let (aim, span) = (Duration::from_secs(4), Duration::from_secs(20));
    let rules = Rules {
        warm_up_capacity: 0.18,
        warm_up_time: Duration::from_secs(12),
        overload_multiple: 2.0,
        overload_window: Duration::from_secs(3),
        ..Settings::default().rules
    };
    Settings {
        classes: vec![Class {
            latency_objective: aim,
            deadline: span,
            retry_window: span,
            ..Class::default()
        }],
        instance_count: plan.couriers,
        kinds: vec![Kind { max_batch: plan.batch, per_endpoint_limits: false }],
        concurrency_limit: 4,
        max_queued: 48,
        rules,
        ..Settings::default()
    }
}

impl Crowd {
    fn new(plan: Plan) -> Self {
        let settings = settings_of(&plan);
        let start = Time::ZERO + Duration::from_secs(100);
        let listed = Endpoint { weight: plan.capacity * plan.told, ..endpoint(TO.0, 1) };
        let shares: Vec<f64> = (0..plan.couriers).map(|n| f64::from(n + 1).powf(-SKEW)).collect();
        let all: f64 = shares.iter().sum();
        let member = |(number, share): (usize, &f64)| {
            let mut courier = DeliveryPolicy::new(settings.clone(), plan.seed * 1000 + number as u64);
            courier
                .on_event(start, Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![listed.clone()])));
            Member { courier, wake: None, part: share / all, touched: true, aware: false }
        };
        let members = shares.iter().enumerate().map(member).collect();
        Crowd {
            plan,
            members,
            settings,
            chance: fastrand::Rng::with_seed(plan.seed),
            now: start,
            out_from: start + QUIET_FOR,
            back: start + QUIET_FOR + OUT_FOR,
            coming: BTreeMap::new(),
            attempts: BTreeMap::new(),
            count: 0,
            room: 1.0,
            left: (1.0, start),
            all_delivered: 0,
            weights: Vec::new(),
            since_return: BTreeSet::new(),
            delivered: 0,
        }
    }

    fn stays_well(&self) -> bool {
        self.plan.outage == Outage::Never
    }

    fn out(&self) -> bool {
        !self.stays_well() && self.now >= self.out_from && self.now < self.back
    }

    /// Calls a second that the partner can do at this moment.
    fn capacity(&self) -> f64 {
        let rules = &self.settings.rules;
        let warmth = ((self.now - self.back).as_secs_f64() / rules.warm_up_time.as_secs_f64()).min(1.0);
        let cold = !self.stays_well() && self.now >= self.back;
        self.plan.capacity
            * if cold { rules.warm_up_capacity + (1.0 - rules.warm_up_capacity) * warmth } else { 1.0 }
    }

    fn hand_in(&mut self) {
        let back = self.now >= self.back;
        let all = self.plan.capacity * self.plan.load * STEP.as_secs_f64();
        for member in &mut self.members {
            if self.chance.f64() >= all * member.part {
                continue;
            }
            let id = MessageId(self.attempts.len() as u32);
            self.attempts.insert(id, 0);
            if back {
                self.since_return.insert(id);
            }
            let class = (ClassId(0), &self.settings.classes[0]);
            let accepted = accepted(self.now, id.0, class, 1, None);
            member.courier.on_event(self.now, Event::Submitted(accepted));
            member.touched = true;
        }
    }

    fn wake(&mut self) {
        for member in &mut self.members {
            if let Some((_, token)) = member.wake.take_if(|(at, _)| *at <= self.now) {
                member.courier.on_event(self.now, Event::TimerFired(token));
                member.touched = true;
            }
        }
    }

    fn tell_outcomes(&mut self) {
        let out = self.out();
        while let Some(entry) = self.coming.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let Coming { member, message, attempt, outcome, sent } = entry.remove();
            let complete = outcome == AttemptOutcome::Ok;
            self.delivered += usize::from(complete && self.since_return.contains(&message));
            self.all_delivered += usize::from(complete);
            let told = RateLimitStatus { remaining: self.left.0, limit: self.plan.capacity };
            let allowance = self.stays_well().then_some(told);
            let latency = self.now - sent;
            let finished = AttemptCompleted {
                message,
                endpoint: TO,
                attempt,
                outcome,
                latency,
                complete,
                rate_limit: allowance,
            };
            let member = &mut self.members[member];
            member.courier.on_event(self.now, Event::AttemptCompleted(finished));
            member.aware |= out && !complete;
            member.touched = true;
        }
    }

    fn act(&mut self, member: usize) {
        if !std::mem::take(&mut self.members[member].touched) {
            return;
        }
        let mut actions = Vec::new();
        self.members[member].courier.next_actions(self.now, &mut actions);
        // What goes in one turn is one call: one fate, a little weight for each further message.
        let mut fate = None;
        for action in actions {
            match action {
                Action::Wake { after, token } => {
                    self.members[member].wake = Some((self.now + after, token));
                }
                Action::Send { message, timeout: try_for, .. } => {
                    if self.members[member].aware && self.now >= self.back {
                        self.weights.push((self.now, if fate.is_none() { 1.0 } else { ITEM }));
                    }
                    let (outcome, after) = *fate.get_or_insert_with(|| self.call(try_for));
                    let attempts = self.attempts.entry(message).or_default();
                    let coming = Coming { member, message, attempt: *attempts, outcome, sent: self.now };
                    *attempts += 1;
                    self.count += 1;
                    self.coming.insert((self.now + after, self.count), coming);
                }
                _ => {}
            }
        }
    }

    /// What becomes of a call sent now, and when that is known.
    fn call(&mut self, try_for: Duration) -> (AttemptOutcome, Duration) {
        let soon = ms(50);
        if !self.out() {
            if self.room < 1.0 {
                self.room -= f64::from(self.stays_well());
                return (AttemptOutcome::Rejected(None), soon);
            }
            self.room -= 1.0;
            return (AttemptOutcome::Ok, ms(200));
        }
        match self.plan.outage {
            // A wait counts from its answer.
            Outage::ShutAndTells => {
                (AttemptOutcome::Rejected(Some((self.back - self.now).saturating_sub(soon))), soon)
            }
            Outage::Shut => (AttemptOutcome::Rejected(None), soon),
            Outage::Down => (AttemptOutcome::ConnectFailed, soon),
            Outage::Hung | Outage::Never => (AttemptOutcome::Timeout, try_for),
        }
    }
}
