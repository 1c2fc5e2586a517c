//! The run: an events of events, instances, partners, and the way between them.

mod gateways;

use super::baseline_client::{BaselineClient, Do, Ended, EndpointSelection, Limiter};
use super::partners::{EndpointFault, LoadReport, SimulatedPartners};
use super::scenario::{LoadBalanceFault, LoadBalanceScenario};
use super::traffic::{Arrival, Traffic};
use cloverstile::{Effect, EndpointId, MessageId, RateLimitStatus, Settings, Time};
use cloverstile_engine::{Attempt, Engine, TransportOutcome};
use cloverstile_fakes::limit::AdvertisedLimit;
use cloverstile_fakes::model::Reply;
use cloverstile_load_metrics::{Call, LoadRecord, Partner, WaitingInterval};
use rand::distr::Distribution;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// News of the list reach each instance within so long.
const NEWS: Duration = Duration::from_secs(2);
/// A lost instance is back after so long, and its clients come again.
const RESTARTED_AFTER: Duration = Duration::from_millis(300);
/// By so much later the affected_partners instances reach the endpoint of a `slow-for`.
const FAR: Duration = Duration::from_millis(500);

/// ClientPolicy decides at all instances of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientPolicy {
    /// The engine and module of the running instance.
    Delivery,
    /// A baseline instance.
    Baseline(EndpointSelection, Limiter),
}

impl ClientPolicy {
    /// The name that reports use.
    pub fn name(self) -> String {
        match self {
            ClientPolicy::Delivery => "module".into(),
            ClientPolicy::Baseline(choice, limiter) => format!("{}+{}", choice.name(), limiter.name()),
        }
    }
}

/// Event broke. All zero on a good run; for baseline instances it tells what they cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadBalanceViolations {
    /// Messages without exactly one answer in time.
    pub unanswered: u64,
    /// ... that took effect twice, or were refused although they took effect.
    pub twice: u64,
    /// Calls to endpoints told as gone, after the grace.
    pub after_drain: u64,
    /// Calls before the end of a wait that this instance was told.
    pub waits_broken: u64,
    /// Endpoints pushed over after an outage.
    pub pushed_over: u64,
}

impl LoadBalanceViolations {
    /// Of all kinds together.
    pub fn total(&self) -> u64 {
        self.unanswered + self.twice + self.after_drain + self.waits_broken + self.pushed_over
    }
}

/// A whole run.
#[derive(Clone, Debug, Default)]
pub struct LoadBalanceRun {
    /// For the yardstick.
    pub record: LoadRecord,
    /// Worth of all messages on time, and of those delivered by their age.
    pub offered: f64,
    /// ...
    pub earned: f64,
    /// Messages delivered, refused and failed.
    pub answers: [u64; 3],
    /// Probes sent.
    pub probes: u64,
    /// Event broke.
    pub violations: LoadBalanceViolations,
    /// Turns of instances.
    pub turns: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Submission,
    Reach { call: usize },
    Leave { call: usize },
    Response { call: usize },
    Probed { instance: u32, epoch: u32, endpoint: usize },
    Wake { instance: u32 },
    Fault { place: usize, begins: bool },
    Hear { instance: u32 },
    Restarted { instance: u32 },
}

/// A message between submission and end.
struct Message {
    partner: usize,
    class: usize,
    submitted_at: Duration,
    deadline: Duration,
    answered: bool,
    effect_at: Option<Duration>,
    /// Waits in a instance since then.
    waits: Option<Duration>,
    may_have_run: bool,
}

/// A call on its way.
struct CallAt {
    instance: u32,
    epoch: u32,
    endpoint: usize,
    message: u32,
    attempt: Option<Attempt>,
    reply: Reply,
    refused_connection: bool,
    told: Option<AdvertisedLimit>,
    load: LoadReport,
}

enum Client {
    Module(Box<Engine>),
    BaselineClient(Box<BaselineClient>),
}

struct Gateway {
    client: Client,
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

struct Simulation<'a> {
    scene: &'a LoadBalanceScenario,
    who: ClientPolicy,
    settings: Settings,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
    rng: ChaCha8Rng,
    gateways: Vec<Gateway>,
    traffic: Traffic,
    sites: SimulatedPartners,
    /// Changes of the list, the earliest first.
    news: Vec<News>,
    messages: Vec<Message>,
    calls: Vec<CallAt>,
    run: LoadBalanceRun,
    /// Endpoints that came back from an outage.
    returned: Vec<usize>,
    /// Gateways affected_partners by `slow-for` while it lasts.
    far: Option<usize>,
}

/// A change of the list: an endpoint is replaced.
#[derive(Clone, Copy)]
struct News {
    gone: usize,
    at: Duration,
}

/// Plays a scene once. One scene, instance and seed give the same run.
pub fn simulate_load_balance(scene: &LoadBalanceScenario, who: ClientPolicy, seed: u64) -> LoadBalanceRun {
    let mut simulation = Simulation::new(scene, who, seed);
    let longest = scene.class.values().map(|class| class.deadline).fold(0.0, f64::max);
    let end = Duration::from_secs_f64(scene.seconds + longest + 2.0 * scene.rules.answer_slack + 1.0);
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
    fn new(scene: &'a LoadBalanceScenario, who: ClientPolicy, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sites = SimulatedPartners::new(scene, &mut rng);
        let mut simulation = Simulation {
            settings: gateways::settings(scene),
            traffic: Traffic::new(scene),
            scene,
            who,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            gateways: Vec::new(),
            sites,
            news: Vec::new(),
            messages: Vec::new(),
            calls: Vec::new(),
            run: LoadBalanceRun::default(),
            returned: Vec::new(),
            far: None,
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
        };
        simulation.run.record.partners = vec![Partner::default(); simulation.sites.partners.len()];
        for partner in 0..simulation.sites.partners.len() {
            simulation.note_limit(partner);
        }
        for endpoint in 0..simulation.sites.endpoints.len() {
            simulation.note_endpoint(endpoint);
        }
        for instance in 0..scene.instances {
            let seed = simulation.rng.random();
            let gateway = simulation.gateway(instance, seed);
            simulation.gateways.push(gateway);
        }
        for (place, fault) in scene.faults.values().enumerate() {
            simulation.schedule(Duration::from_secs_f64(fault.at), Event::Fault { place, begins: true });
            let end = Duration::from_secs_f64(fault.at + fault.lasts);
            simulation.schedule(end, Event::Fault { place, begins: false });
        }
        simulation.schedule(Duration::ZERO, Event::Submission);
        simulation
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn network_delay(&mut self) -> Duration {
        let [least, more] = self.scene.network_delay_ms;
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

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Submission => self.submit_next(),
            Event::Reach { call } => self.reach(call),
            Event::Leave { call } => self.leave(call),
            Event::Response { call } => self.answer(call),
            Event::Probed { instance, epoch, endpoint } => {
                let in_hand = f64::from(self.sites.endpoints[endpoint].in_hand);
                let gateway = &mut self.gateways[instance as usize];
                if let (Client::BaselineClient(baseline), true) =
                    (&mut gateway.client, gateway.epoch == epoch)
                {
                    baseline.probed(self.now, endpoint, in_hand);
                }
            }
            Event::Wake { instance } => {
                let gateway = &mut self.gateways[instance as usize];
                if !gateway.down && gateway.wake == Some(self.now) {
                    gateway.wake = None;
                    self.advance(instance);
                }
            }
            Event::Fault { place, begins } => self.apply_fault(place, begins),
            Event::Hear { instance } => self.hear(instance),
            Event::Restarted { instance } => self.restarted(instance),
        }
    }

    // ---- Clients ----

    fn submit_next(&mut self) {
        let next = self.now + self.traffic.gap(&mut self.rng);
        if next.as_secs_f64() < self.scene.seconds {
            self.schedule(next, Event::Submission);
        }
        let Arrival { class, partner, instance } = self.traffic.draw(&mut self.rng);
        let Some(spec) = self.scene.class.values().nth(class) else { return };
        let deadline = self.now + Duration::from_secs_f64(spec.deadline);
        self.run.offered += spec.worth;
        self.run.record.messages += 1;
        let number = self.messages.len() as u32;
        self.messages.push(Message {
            partner,
            class,
            submitted_at: self.now,
            deadline,
            answered: false,
            effect_at: None,
            waits: None,
            may_have_run: false,
        });
        self.submit(instance as u32, number, false);
    }

    fn stop_waiting(&mut self, number: u32) {
        let message = &mut self.messages[number as usize];
        if let Some(from) = message.waits.take() {
            let interval = WaitingInterval { partner: message.partner, from, until: self.now };
            self.run.record.waiting_intervals.push(interval);
        }
    }

    /// The final answer: 0 delivered, 1 refused, 2 failed.
    fn complete(&mut self, number: u32, answer: usize) {
        self.stop_waiting(number);
        let slack = Duration::from_secs_f64(self.scene.rules.answer_slack);
        let now = self.now;
        let message = &mut self.messages[number as usize];
        if message.answered || now > message.deadline + slack {
            self.run.violations.unanswered += 1;
        }
        if message.answered {
            return;
        }
        message.answered = true;
        self.run.answers[answer] += 1;
        // Refused tells that it never ran.
        self.run.violations.twice += u64::from(answer == 1 && message.effect_at.is_some());
        if let (0, Some(class)) = (answer, self.scene.class.values().nth(message.class)) {
            self.run.earned += class.worth_at((now - message.submitted_at).as_secs_f64());
        }
    }

    // ---- Partners ----

    fn reach(&mut self, call: usize) {
        let now = self.now;
        let (endpoint, message) = (self.calls[call].endpoint, self.calls[call].message);
        if self.sites.endpoints[endpoint].gone {
            self.calls[call].refused_connection = true;
            return self.schedule(now, Event::Response { call });
        }
        let reached = self.sites.reach(now, endpoint, &message.to_string());
        if self.returned.contains(&endpoint) && self.sites.endpoints[endpoint].model.has_collapsed() {
            self.returned.retain(|other| *other != endpoint);
            self.run.violations.pushed_over += 1;
        }
        let outcome = reached.outcome();
        let took = reached.verdict.respond_at.map_or(Duration::ZERO, |at| at - now);
        let instance = self.calls[call].instance;
        self.run.record.calls.push(Call { at: now, endpoint, instance: instance, outcome, took });
        if reached.verdict.takes_effect {
            self.record_effect(message);
        }
        let at = &mut self.calls[call];
        (at.reply, at.told, at.load) = (reached.verdict.reply, reached.told, reached.load);
        match reached.verdict.respond_at {
            Some(at) if at > now => self.schedule(at, Event::Leave { call }),
            Some(_) => {
                let at = now + self.network_delay();
                self.schedule(at, Event::Response { call });
            }
            None => {}
        }
    }

    fn record_effect(&mut self, number: u32) {
        let message = &mut self.messages[number as usize];
        let class = &self.settings.classes[message.class];
        let again = message.effect_at.is_some_and(|at| match class.effect {
            Effect::Safe => false,
            // Inside the window a repeat is dropped, at whichever endpoint.
            Effect::Keyed => self.now - at >= class.retry_window,
            Effect::Unsafe => true,
        });
        self.run.violations.twice += u64::from(again);
        message.effect_at.get_or_insert(self.now);
    }

    fn leave(&mut self, call: usize) {
        let endpoint = self.calls[call].endpoint;
        self.sites.answered(endpoint);
        // Event a report tells is from the moment in which the answer leaves.
        let load = self.sites.load(self.now, endpoint);
        self.calls[call].load = load;
        let at = self.now + self.network_delay();
        self.schedule(at, Event::Response { call });
    }

    // ---- Troubles ----

    fn apply_fault(&mut self, place: usize, begins: bool) {
        let Some(spec) = self.scene.faults.values().nth(place) else { return };
        let Some(kind) = spec.fault_kind() else { return };
        let affected_partners = self.scene.affected_partners(spec);
        let part = |simulation: &Self, partner: &usize| simulation.sites.part(*partner, spec.size);
        let wrong = match kind {
            LoadBalanceFault::Errors => Some(EndpointFault::Errors),
            LoadBalanceFault::Silent => Some(EndpointFault::Silent),
            LoadBalanceFault::Slow => Some(EndpointFault::Slow),
            _ => None,
        };
        if let Some(wrong) = wrong {
            let endpoints: Vec<usize> =
                affected_partners.iter().flat_map(|partner| part(self, partner)).collect();
            for endpoint in endpoints {
                self.sites.wrong(self.now, endpoint, wrong, begins);
                if wrong == EndpointFault::Silent && !begins {
                    self.returned.push(endpoint);
                }
            }
            return;
        }
        match kind {
            LoadBalanceFault::Burst => {
                self.traffic.multiply(&affected_partners, if begins { spec.size } else { 1.0 })
            }
            LoadBalanceFault::Limit => {
                for partner in affected_partners {
                    let factor = if begins { spec.size } else { 1.0 };
                    self.sites.partners[partner].multiply_limits(self.now, factor);
                    self.note_limit(partner);
                }
                self.spread_news(NEWS);
            }
            LoadBalanceFault::Still => self.sites.freeze_reports(begins),
            LoadBalanceFault::SlowFor => {
                let count = (self.gateways.len() as f64 * spec.size) as usize;
                self.far = begins.then_some(count);
            }
            LoadBalanceFault::Replace if begins => {
                let old: Vec<usize> =
                    affected_partners.iter().flat_map(|partner| part(self, partner)).collect();
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
            LoadBalanceFault::Replace => {
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
            LoadBalanceFault::Restart if begins => {
                let count = (self.gateways.len() as f64 * spec.size) as u32;
                (0..count).for_each(|instance| self.lose(instance));
            }
            _ => {}
        }
    }

    /// Each instance hears of the list as it is now within so long.
    fn spread_news(&mut self, within: Duration) {
        for instance in 0..self.gateways.len() as u32 {
            let at = self.now + within.mul_f64(self.rng.random::<f64>());
            self.schedule(at, Event::Hear { instance });
        }
    }

    fn finish(mut self) -> LoadBalanceRun {
        for number in 0..self.messages.len() as u32 {
            self.stop_waiting(number);
        }
        self.run.violations.unanswered +=
            self.messages.iter().filter(|message| !message.answered).count() as u64;
        self.run
    }
}
