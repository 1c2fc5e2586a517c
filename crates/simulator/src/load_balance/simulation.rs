//! The load balance simulation: gateway instances, partners and the network between them, driven by an event queue.

mod faults;
mod gateways;

use super::baseline_client::{BaselineClient, Limiter};
use super::partners::{LoadReport, SimulatedPartners};
use super::scenario::LoadBalanceScenario;
use super::selection::EndpointSelection;
use super::traffic::{Arrival, Traffic};
use crate::event_queue::EventQueue;
use crate::network::draw_delay;
use cloverstile::{Effect, MessageId, Settings, Time};
use cloverstile_engine::{Attempt, Engine};
use cloverstile_fakes::limit::AdvertisedLimit;
use cloverstile_fakes::model::Reply;
use cloverstile_load_metrics::{Call, LoadRecord, Partner, WaitingInterval};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;

/// Endpoint list updates reach each instance within so long.
const UPDATE_SPREAD: Duration = Duration::from_secs(2);
/// Time from the loss of an instance to its restart, when its clients submit unfinished messages again.
const RESTARTED_AFTER: Duration = Duration::from_millis(300);
/// Extra delay of the affected instances to the endpoint of a `slow-for` fault.
const SLOW_FOR_DELAY: Duration = Duration::from_millis(500);

/// The client policy that decides at all instances of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientPolicy {
    /// The engine and delivery policy of the gateway.
    Delivery,
    /// A baseline client: an endpoint selection and a limiter.
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

/// Violations of the invariants. All zero on a correct run of the gateway's policy; for baseline clients, part
/// of their cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadBalanceViolations {
    /// Messages without exactly one answer in time.
    pub missing_or_late_outcomes: u64,
    /// ... that took effect twice, or were refused although they took effect.
    pub repeated_effects: u64,
    /// Calls to endpoints that an update removed, after the grace period.
    pub sends_after_drain: u64,
    /// Calls before the end of a `Retry-After` that this instance had received.
    pub early_retries: u64,
    /// Endpoints pushed over after an outage.
    pub recovery_overloads: u64,
}

impl LoadBalanceViolations {
    /// Violations of all kinds together.
    pub fn total(&self) -> u64 {
        self.missing_or_late_outcomes
            + self.repeated_effects
            + self.sends_after_drain
            + self.early_retries
            + self.recovery_overloads
    }
}

/// A whole run.
#[derive(Clone, Debug, Default)]
pub struct LoadBalanceRun {
    /// Calls, endpoints and waiting intervals, for the metrics of load balance.
    pub record: LoadRecord,
    /// Worth of all messages if each were delivered on time.
    pub offered_value: f64,
    /// Worth of the delivered messages by their age at delivery.
    pub delivered_value: f64,
    /// Messages delivered, rejected and failed, in this order.
    pub outcome_counts: [u64; 3],
    /// Probes sent.
    pub probes: u64,
    /// Violations of the invariants.
    pub violations: LoadBalanceViolations,
    /// How often an instance was asked for its next commands.
    pub advance_calls: u64,
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
    ListUpdate { instance: u32 },
    Restarted { instance: u32 },
}

/// A message from its submission to its final outcome.
struct Message {
    partner: usize,
    class: usize,
    submitted_at: Duration,
    deadline: Duration,
    answered: bool,
    effect_at: Option<Duration>,
    /// Waiting in an instance since then.
    waits: Option<Duration>,
    may_have_run: bool,
}

/// A call on the network or at an endpoint.
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
    /// End of each `Retry-After`, by partner, or by endpoint where limits are per endpoint.
    waits: HashMap<(usize, Option<usize>), Duration>,
    held: HashMap<MessageId, u32>,
    holds: Vec<u32>,
    /// Idle connections by endpoint, since when.
    idle: HashMap<usize, Vec<Duration>>,
    /// Number of endpoint list updates that it has received.
    received_updates: usize,
    down: bool,
}

struct Simulation<'a> {
    scenario: &'a LoadBalanceScenario,
    who: ClientPolicy,
    settings: Settings,
    now: Duration,
    events: EventQueue<Event>,
    rng: ChaCha8Rng,
    gateways: Vec<Gateway>,
    traffic: Traffic,
    sites: SimulatedPartners,
    /// Endpoint list updates, the earliest first.
    removals: Vec<EndpointRemoval>,
    messages: Vec<Message>,
    calls: Vec<CallAt>,
    run: LoadBalanceRun,
    /// Endpoints that recovered from an outage.
    returned: Vec<usize>,
    /// Gateways affected by `slow-for` while it lasts.
    slow_for_instances: Option<usize>,
}

/// An endpoint list update: an endpoint is replaced.
#[derive(Clone, Copy)]
struct EndpointRemoval {
    gone: usize,
    at: Duration,
}

/// Runs a scenario once. The same scenario, client policy and seed always give the same run.
pub fn simulate_load_balance(scenario: &LoadBalanceScenario, who: ClientPolicy, seed: u64) -> LoadBalanceRun {
    let mut simulation = Simulation::new(scenario, who, seed);
    let longest = scenario.class.values().map(|class| class.deadline).fold(0.0, f64::max);
    let end = Duration::from_secs_f64(scenario.seconds + longest + 2.0 * scenario.rules.outcome_grace + 1.0);
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
    fn new(scenario: &'a LoadBalanceScenario, who: ClientPolicy, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sites = SimulatedPartners::new(scenario, &mut rng);
        let mut simulation = Simulation {
            settings: gateways::settings(scenario),
            traffic: Traffic::new(scenario),
            scenario,
            who,
            now: Duration::ZERO,
            events: EventQueue::new(),
            gateways: Vec::new(),
            sites,
            removals: Vec::new(),
            messages: Vec::new(),
            calls: Vec::new(),
            run: LoadBalanceRun::default(),
            returned: Vec::new(),
            slow_for_instances: None,
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
        };
        simulation.run.record.partners = vec![Partner::default(); simulation.sites.partners.len()];
        for partner in 0..simulation.sites.partners.len() {
            simulation.note_limit(partner);
        }
        for endpoint in 0..simulation.sites.endpoints.len() {
            simulation.note_endpoint(endpoint);
        }
        for instance in 0..scenario.instances {
            let seed = simulation.rng.random();
            let gateway = simulation.gateway(instance, seed);
            simulation.gateways.push(gateway);
        }
        for (place, fault) in scenario.faults.values().enumerate() {
            simulation.schedule(Duration::from_secs_f64(fault.at), Event::Fault { place, begins: true });
            let end = Duration::from_secs_f64(fault.at + fault.duration);
            simulation.schedule(end, Event::Fault { place, begins: false });
        }
        simulation.schedule(Duration::ZERO, Event::Submission);
        simulation
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.schedule(at, event);
    }

    fn network_delay(&mut self) -> Duration {
        draw_delay(self.scenario.network_delay_ms, &mut self.rng)
    }

    fn note_limit(&mut self, partner: usize) {
        if let Some(limit) = self.sites.partners[partner].total_limit() {
            self.run.record.partners[partner].limit_steps.push((self.now, limit));
        }
    }

    fn note_endpoint(&mut self, endpoint: usize) {
        self.run.record.endpoints.push(self.sites.endpoints[endpoint].record_entry());
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Submission => self.submit_next(),
            Event::Reach { call } => self.reach(call),
            Event::Leave { call } => self.leave(call),
            Event::Response { call } => self.answer(call),
            Event::Probed { instance, epoch, endpoint } => {
                let in_hand = f64::from(self.sites.endpoints[endpoint].in_flight);
                let gateway = &mut self.gateways[instance as usize];
                if let (Client::BaselineClient(baseline), true) =
                    (&mut gateway.client, gateway.epoch == epoch)
                {
                    baseline.on_probe_completed(self.now, endpoint, in_hand);
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
            Event::ListUpdate { instance } => self.receive_list(instance),
            Event::Restarted { instance } => self.restarted(instance),
        }
    }

    // ---- Clients ----

    fn submit_next(&mut self) {
        let next = self.now + self.traffic.draw_interarrival_time(&mut self.rng);
        if next.as_secs_f64() < self.scenario.seconds {
            self.schedule(next, Event::Submission);
        }
        let Arrival { class, partner, instance } = self.traffic.draw_arrival(&mut self.rng);
        let Some(spec) = self.scenario.class.values().nth(class) else { return };
        let deadline = self.now + Duration::from_secs_f64(spec.deadline);
        self.run.offered_value += spec.priority_weight;
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

    /// Records the final outcome: 0 delivered, 1 rejected, 2 failed.
    fn complete(&mut self, number: u32, answer: usize) {
        self.stop_waiting(number);
        let slack = Duration::from_secs_f64(self.scenario.rules.outcome_grace);
        let now = self.now;
        let message = &mut self.messages[number as usize];
        if message.answered || now > message.deadline + slack {
            self.run.violations.missing_or_late_outcomes += 1;
        }
        if message.answered {
            return;
        }
        message.answered = true;
        self.run.outcome_counts[answer] += 1;
        // A rejection states that the message never took effect.
        self.run.violations.repeated_effects += u64::from(answer == 1 && message.effect_at.is_some());
        if let (0, Some(class)) = (answer, self.scenario.class.values().nth(message.class)) {
            self.run.delivered_value += class.value_at((now - message.submitted_at).as_secs_f64());
        }
    }

    // ---- Partners ----

    fn reach(&mut self, call: usize) {
        let now = self.now;
        let (endpoint, message) = (self.calls[call].endpoint, self.calls[call].message);
        if self.sites.endpoints[endpoint].removed {
            self.calls[call].refused_connection = true;
            return self.schedule(now, Event::Response { call });
        }
        let reached = self.sites.handle_request(now, endpoint, &message.to_string());
        if self.returned.contains(&endpoint) && self.sites.endpoints[endpoint].model.has_collapsed() {
            self.returned.retain(|other| *other != endpoint);
            self.run.violations.recovery_overloads += 1;
        }
        let outcome = reached.outcome();
        let response_time = reached.decision.respond_at.map_or(Duration::ZERO, |at| at - now);
        let instance = self.calls[call].instance;
        self.run.record.calls.push(Call { at: now, endpoint, instance, outcome, response_time });
        if reached.decision.takes_effect {
            self.record_effect(message);
        }
        let at = &mut self.calls[call];
        (at.reply, at.told, at.load) = (reached.decision.reply, reached.advertised_limit, reached.load);
        match reached.decision.respond_at {
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
        self.run.violations.repeated_effects += u64::from(again);
        message.effect_at.get_or_insert(self.now);
    }

    fn leave(&mut self, call: usize) {
        let endpoint = self.calls[call].endpoint;
        self.sites.on_response_sent(endpoint);
        // The load report is of the moment in which the response leaves.
        let load = self.sites.load_report(self.now, endpoint);
        self.calls[call].load = load;
        let at = self.now + self.network_delay();
        self.schedule(at, Event::Response { call });
    }

    fn finish(mut self) -> LoadBalanceRun {
        for number in 0..self.messages.len() as u32 {
            self.stop_waiting(number);
        }
        self.run.violations.missing_or_late_outcomes +=
            self.messages.iter().filter(|message| !message.answered).count() as u64;
        self.run
    }
}
