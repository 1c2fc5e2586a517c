//! The run: an agenda of events, couriers, partners, and the way between them.

mod couriers;

use super::plain::{Choice, Do, Ended, Limiter, Plain};
use super::scenario::{Scene, StrikeKind};
use super::site::{Load, Sites, Wrong};
use super::traffic::{Drawn, Traffic};
use cloverstile::{Effect, EndpointId, MessageId, RateLimitStatus, Settings, Time};
use cloverstile_engine::{Attempt, Engine, TransportOutcome};
use cloverstile_fakes::limit::AdvertisedLimit;
use cloverstile_fakes::model::Reply;
use cloverstile_load_metrics::{Call, Partner, Record, Stay};
use rand::distr::Distribution;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// News of the list reach each courier within so long.
const NEWS: Duration = Duration::from_secs(2);
/// A lost courier is back after so long, and its clients come again.
const RESTARTED_AFTER: Duration = Duration::from_millis(300);
/// By so much later the struck couriers reach the endpoint of a `slow-for`.
const FAR: Duration = Duration::from_millis(500);

/// Who decides at all couriers of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    /// The engine and module of the running courier.
    Module,
    /// A plain courier.
    Plain(Choice, Limiter),
}

impl Who {
    /// The name that reports use.
    pub fn name(self) -> String {
        match self {
            Who::Module => "module".into(),
            Who::Plain(choice, limiter) => format!("{}+{}", choice.name(), limiter.name()),
        }
    }
}

/// What broke. All zero on a good run; for plain couriers it tells what they cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpreadAudit {
    /// Messages without exactly one answer in time.
    pub unanswered: u64,
    /// ... that took effect twice, or were refused although they took effect.
    pub twice: u64,
    /// Calls to endpoints told as gone, after the grace.
    pub after_drain: u64,
    /// Calls before the end of a wait that this courier was told.
    pub waits_broken: u64,
    /// Endpoints pushed over after an outage.
    pub pushed_over: u64,
}

impl SpreadAudit {
    /// Of all kinds together.
    pub fn broken(&self) -> u64 {
        self.unanswered + self.twice + self.after_drain + self.waits_broken + self.pushed_over
    }
}

/// A whole run.
#[derive(Clone, Debug, Default)]
pub struct SpreadRun {
    /// For the yardstick.
    pub record: Record,
    /// Worth of all messages on time, and of those delivered by their age.
    pub offered: f64,
    /// ...
    pub earned: f64,
    /// Messages delivered, refused and failed.
    pub answers: [u64; 3],
    /// Probes sent.
    pub probes: u64,
    /// What broke.
    pub audit: SpreadAudit,
    /// Turns of couriers.
    pub turns: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Submission,
    Reach { call: usize },
    Leave { call: usize },
    Response { call: usize },
    Probed { courier: u32, epoch: u32, endpoint: usize },
    Wake { courier: u32 },
    Strike { place: usize, begins: bool },
    Hear { courier: u32 },
    Restarted { courier: u32 },
}

/// A message between hand-in and end.
struct Message {
    partner: usize,
    class: usize,
    handed: Duration,
    deadline: Duration,
    answered: bool,
    effect_at: Option<Duration>,
    /// Waits in a courier since then.
    waits: Option<Duration>,
    may_have_run: bool,
}

/// A call on its way.
struct CallAt {
    courier: u32,
    epoch: u32,
    endpoint: usize,
    message: u32,
    attempt: Option<Attempt>,
    reply: Reply,
    refused_connection: bool,
    told: Option<AdvertisedLimit>,
    load: Load,
}

enum Mind {
    Module(Box<Engine>),
    Plain(Box<Plain>),
}

struct Seat {
    mind: Mind,
    epoch: u32,
    wake: Option<Duration>,
    /// Ends of waits that it was told, by partner, or by endpoint where those are apart.
    waits: HashMap<(usize, Option<usize>), Duration>,
    held: HashMap<MessageId, u32>,
    holds: Vec<u32>,
    /// Idle connections by endpoint, since when.
    idle: HashMap<usize, Vec<Duration>>,
    /// The list as it knows it: how many endpoints, and when it heard that one is gone.
    hears: usize,
    down: bool,
}

struct World<'a> {
    scene: &'a Scene,
    who: Who,
    settings: Settings,
    now: Duration,
    agenda: BinaryHeap<Reverse<(Duration, u64, What)>>,
    entered: u64,
    rng: ChaCha8Rng,
    seats: Vec<Seat>,
    traffic: Traffic,
    sites: Sites,
    /// Changes of the list, the earliest first.
    news: Vec<News>,
    messages: Vec<Message>,
    calls: Vec<CallAt>,
    run: SpreadRun,
    /// Endpoints that came back from an outage.
    returned: Vec<usize>,
    /// Gateways struck by `slow-for` while it lasts.
    far: Option<usize>,
}

/// A change of the list: an endpoint is replaced.
#[derive(Clone, Copy)]
struct News {
    gone: usize,
    at: Duration,
}

/// Plays a scene once. One scene, courier and seed give the same run.
pub fn play_spread(scene: &Scene, who: Who, seed: u64) -> SpreadRun {
    let mut world = World::new(scene, who, seed);
    let longest = scene.class.values().map(|class| class.deadline).fold(0.0, f64::max);
    let end = Duration::from_secs_f64(scene.seconds + longest + 2.0 * scene.rules.answer_slack + 1.0);
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
    fn new(scene: &'a Scene, who: Who, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sites = Sites::new(scene, &mut rng);
        let mut world = World {
            settings: couriers::settings(scene),
            traffic: Traffic::new(scene),
            scene,
            who,
            now: Duration::ZERO,
            agenda: BinaryHeap::new(),
            entered: 0,
            seats: Vec::new(),
            sites,
            news: Vec::new(),
            messages: Vec::new(),
            calls: Vec::new(),
            run: SpreadRun::default(),
            returned: Vec::new(),
            far: None,
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
        };
        world.run.record.partners = vec![Partner::default(); world.sites.partners.len()];
        for partner in 0..world.sites.partners.len() {
            world.note_limit(partner);
        }
        for endpoint in 0..world.sites.endpoints.len() {
            world.note_endpoint(endpoint);
        }
        for courier in 0..scene.couriers {
            let seed = world.rng.random();
            let seat = world.seat(courier, seed);
            world.seats.push(seat);
        }
        for (place, strike) in scene.trouble.values().enumerate() {
            world.enter(Duration::from_secs_f64(strike.at), What::Strike { place, begins: true });
            let end = Duration::from_secs_f64(strike.at + strike.lasts);
            world.enter(end, What::Strike { place, begins: false });
        }
        world.enter(Duration::ZERO, What::Submission);
        world
    }

    fn enter(&mut self, at: Duration, what: What) {
        self.entered += 1;
        self.agenda.push(Reverse((at, self.entered, what)));
    }

    fn way(&mut self) -> Duration {
        let [least, more] = self.scene.way_ms;
        let drawn: f64 = Exp1.sample(&mut self.rng);
        Duration::from_secs_f64((least + more * drawn) / 1e3)
    }

    fn note_limit(&mut self, partner: usize) {
        if let Some(limit) = self.sites.partners[partner].limit() {
            self.run.record.partners[partner].limit.push((self.now, limit));
        }
    }

    fn note_endpoint(&mut self, endpoint: usize) {
        self.run.record.endpoints.push(self.sites.endpoints[endpoint].entry());
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Submission => self.hand_in_next(),
            What::Reach { call } => self.reach(call),
            What::Leave { call } => self.leave(call),
            What::Response { call } => self.answer(call),
            What::Probed { courier, epoch, endpoint } => {
                let in_hand = f64::from(self.sites.endpoints[endpoint].in_hand);
                let seat = &mut self.seats[courier as usize];
                if let (Mind::Plain(plain), true) = (&mut seat.mind, seat.epoch == epoch) {
                    plain.probed(self.now, endpoint, in_hand);
                }
            }
            What::Wake { courier } => {
                let seat = &mut self.seats[courier as usize];
                if !seat.down && seat.wake == Some(self.now) {
                    seat.wake = None;
                    self.turn(courier);
                }
            }
            What::Strike { place, begins } => self.strike(place, begins),
            What::Hear { courier } => self.hear(courier),
            What::Restarted { courier } => self.restarted(courier),
        }
    }

    // ---- Clients ----

    fn hand_in_next(&mut self) {
        let next = self.now + self.traffic.gap(&mut self.rng);
        if next.as_secs_f64() < self.scene.seconds {
            self.enter(next, What::Submission);
        }
        let Drawn { class, partner, courier } = self.traffic.draw(&mut self.rng);
        let Some(spec) = self.scene.class.values().nth(class) else { return };
        let deadline = self.now + Duration::from_secs_f64(spec.deadline);
        self.run.offered += spec.worth;
        self.run.record.messages += 1;
        let number = self.messages.len() as u32;
        self.messages.push(Message {
            partner,
            class,
            handed: self.now,
            deadline,
            answered: false,
            effect_at: None,
            waits: None,
            may_have_run: false,
        });
        self.hand_in(courier as u32, number, false);
    }

    fn stop_waiting(&mut self, number: u32) {
        let message = &mut self.messages[number as usize];
        if let Some(from) = message.waits.take() {
            let stay = Stay { partner: message.partner, from, until: self.now };
            self.run.record.stays.push(stay);
        }
    }

    /// The final answer: 0 delivered, 1 refused, 2 failed.
    fn give_answer(&mut self, number: u32, answer: usize) {
        self.stop_waiting(number);
        let slack = Duration::from_secs_f64(self.scene.rules.answer_slack);
        let now = self.now;
        let message = &mut self.messages[number as usize];
        if message.answered || now > message.deadline + slack {
            self.run.audit.unanswered += 1;
        }
        if message.answered {
            return;
        }
        message.answered = true;
        self.run.answers[answer] += 1;
        // Refused tells that it never ran.
        self.run.audit.twice += u64::from(answer == 1 && message.effect_at.is_some());
        if let (0, Some(class)) = (answer, self.scene.class.values().nth(message.class)) {
            self.run.earned += class.worth_at((now - message.handed).as_secs_f64());
        }
    }

    // ---- Partners ----

    fn reach(&mut self, call: usize) {
        let now = self.now;
        let (endpoint, message) = (self.calls[call].endpoint, self.calls[call].message);
        if self.sites.endpoints[endpoint].gone {
            self.calls[call].refused_connection = true;
            return self.enter(now, What::Response { call });
        }
        let reached = self.sites.reach(now, endpoint, &message.to_string());
        if self.returned.contains(&endpoint) && self.sites.endpoints[endpoint].model.has_collapsed() {
            self.returned.retain(|other| *other != endpoint);
            self.run.audit.pushed_over += 1;
        }
        let outcome = reached.outcome();
        let took = reached.verdict.respond_at.map_or(Duration::ZERO, |at| at - now);
        let courier = self.calls[call].courier;
        self.run.record.calls.push(Call { at: now, endpoint, courier, outcome, took });
        if reached.verdict.takes_effect {
            self.take_effect(message);
        }
        let at = &mut self.calls[call];
        (at.reply, at.told, at.load) = (reached.verdict.reply, reached.told, reached.load);
        match reached.verdict.respond_at {
            Some(at) if at > now => self.enter(at, What::Leave { call }),
            Some(_) => {
                let at = now + self.way();
                self.enter(at, What::Response { call });
            }
            None => {}
        }
    }

    fn take_effect(&mut self, number: u32) {
        let message = &mut self.messages[number as usize];
        let class = &self.settings.classes[message.class];
        let again = message.effect_at.is_some_and(|at| match class.effect {
            Effect::Safe => false,
            // Inside the window a repeat is dropped, at whichever endpoint.
            Effect::Keyed => self.now - at >= class.retry_window,
            Effect::Unsafe => true,
        });
        self.run.audit.twice += u64::from(again);
        message.effect_at.get_or_insert(self.now);
    }

    fn leave(&mut self, call: usize) {
        let endpoint = self.calls[call].endpoint;
        self.sites.answered(endpoint);
        // What a report tells is from the moment in which the answer leaves.
        let load = self.sites.load(self.now, endpoint);
        self.calls[call].load = load;
        let at = self.now + self.way();
        self.enter(at, What::Response { call });
    }

    // ---- Troubles ----

    fn strike(&mut self, place: usize, begins: bool) {
        let Some(spec) = self.scene.trouble.values().nth(place) else { return };
        let Some(kind) = spec.act() else { return };
        let struck = self.scene.struck(spec);
        let part = |world: &Self, partner: &usize| world.sites.part(*partner, spec.size);
        let wrong = match kind {
            StrikeKind::Errors => Some(Wrong::Errors),
            StrikeKind::Silent => Some(Wrong::Silent),
            StrikeKind::Slow => Some(Wrong::Slow),
            _ => None,
        };
        if let Some(wrong) = wrong {
            let endpoints: Vec<usize> = struck.iter().flat_map(|partner| part(self, partner)).collect();
            for endpoint in endpoints {
                self.sites.wrong(self.now, endpoint, wrong, begins);
                if wrong == Wrong::Silent && !begins {
                    self.returned.push(endpoint);
                }
            }
            return;
        }
        match kind {
            StrikeKind::Burst => self.traffic.multiply(&struck, if begins { spec.size } else { 1.0 }),
            StrikeKind::Limit => {
                for partner in struck {
                    let factor = if begins { spec.size } else { 1.0 };
                    self.sites.partners[partner].multiply_limits(self.now, factor);
                    self.note_limit(partner);
                }
                self.spread_news(NEWS);
            }
            StrikeKind::Still => self.sites.freeze_reports(begins),
            StrikeKind::SlowFor => {
                let count = (self.seats.len() as f64 * spec.size) as usize;
                self.far = begins.then_some(count);
            }
            StrikeKind::Replace if begins => {
                let old: Vec<usize> = struck.iter().flat_map(|partner| part(self, partner)).collect();
                for gone in old {
                    let (partner, pace) =
                        (self.sites.endpoints[gone].partner, self.sites.endpoints[gone].pace);
                    let mut rng = ChaCha8Rng::seed_from_u64(self.rng.random());
                    let added = self.sites.add(self.scene, partner, pace, self.now, &mut rng);
                    self.note_endpoint(added);
                    self.news.push(News { gone, at: self.now });
                }
                self.spread_news(Duration::from_secs_f64(spec.lasts));
            }
            StrikeKind::Replace => {
                // All have heard of it: what was replaced goes.
                for News { gone, at } in self.news.clone() {
                    if at + Duration::from_secs_f64(spec.lasts) <= self.now {
                        let until = self.now;
                        self.sites.endpoints[gone].gone = true;
                        self.sites.endpoints[gone].until = until;
                        self.run.record.endpoints[gone].until = until;
                    }
                }
            }
            StrikeKind::Restart if begins => {
                let count = (self.seats.len() as f64 * spec.size) as u32;
                (0..count).for_each(|courier| self.lose(courier));
            }
            _ => {}
        }
    }

    /// Each courier hears of the list as it is now within so long.
    fn spread_news(&mut self, within: Duration) {
        for courier in 0..self.seats.len() as u32 {
            let at = self.now + within.mul_f64(self.rng.random::<f64>());
            self.enter(at, What::Hear { courier });
        }
    }

    fn finish(mut self) -> SpreadRun {
        for number in 0..self.messages.len() as u32 {
            self.stop_waiting(number);
        }
        self.run.audit.unanswered += self.messages.iter().filter(|message| !message.answered).count() as u64;
        self.run
    }
}
