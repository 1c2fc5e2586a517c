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

/// Each instance receives a change of advertised limits within this time. Updates that replace endpoints use the
/// duration of their fault instead.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(2);
/// Time from the crash of an instance to its restart, when its clients resubmit their pending messages.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Extra network delay from the affected instances to the affected endpoints during a `slow-for` fault.
const SLOW_PATH_DELAY: Duration = Duration::from_millis(500);

/// Policy by which all instances of a run select endpoints and limit their rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientPolicy {
    /// The engine and delivery policy of the gateway.
    Delivery,
    /// A baseline client with this endpoint selection and limiter.
    Baseline(EndpointSelection, Limiter),
}

impl ClientPolicy {
    /// Name of the policy in reports.
    pub fn name(self) -> String {
        match self {
            ClientPolicy::Delivery => "module".into(),
            ClientPolicy::Baseline(selection, limiter) => format!("{}+{}", selection.name(), limiter.name()),
        }
    }
}

/// Counts of invariant violations. A correct run of the delivery policy has none; baseline clients may cause some,
/// which are part of their cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadBalanceViolations {
    /// Messages without a final outcome, with a late one or with more than one.
    pub missing_or_late_outcomes: u64,
    /// Repeated effects beyond what the message class allows, and messages rejected although they took effect.
    pub repeated_effects: u64,
    /// Calls to an endpoint after an endpoint list update removed it and the drain grace period ended.
    pub sends_after_drain: u64,
    /// Calls sent before the end of a `Retry-After` that the instance had received.
    pub early_retries: u64,
    /// Endpoints that collapsed under load after they recovered from an outage.
    pub recovery_overloads: u64,
}

impl LoadBalanceViolations {
    /// Sum of all violations.
    pub fn total(&self) -> u64 {
        self.missing_or_late_outcomes
            + self.repeated_effects
            + self.sends_after_drain
            + self.early_retries
            + self.recovery_overloads
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct LoadBalanceRun {
    /// Calls, endpoints and waiting intervals, for the metrics of load balance.
    pub record: LoadRecord,
    /// Value of all submitted messages if each were delivered on time.
    pub offered_value: f64,
    /// Value of the delivered messages, which depends on their age at delivery.
    pub delivered_value: f64,
    /// Numbers of messages delivered, rejected and failed, in this order.
    pub outcome_counts: [u64; 3],
    /// Probes sent by baseline clients.
    pub probes: u64,
    /// Invariant violations found during the run.
    pub violations: LoadBalanceViolations,
    /// Number of calls to `advance`, over all instances.
    pub advance_calls: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Submission,
    /// The call reaches its endpoint.
    RequestArrived {
        call: usize,
    },
    /// The endpoint sends its response.
    ResponseSent {
        call: usize,
    },
    /// The response, or the refusal of the connection, reaches the instance.
    ResponseReceived {
        call: usize,
    },
    /// The result of a probe reaches a baseline client.
    ProbeCompleted {
        instance: u32,
        epoch: u32,
        endpoint: usize,
    },
    /// The next timeout of an instance is due. Ignored if the instance has set another one since.
    Timer {
        instance: u32,
    },
    /// A fault starts or ends; `index` is its position in the scenario.
    Fault {
        index: usize,
        starts: bool,
    },
    /// An instance receives the current endpoint list.
    EndpointListUpdate {
        instance: u32,
    },
    /// A crashed instance restarts.
    InstanceRestarted {
        instance: u32,
    },
}

/// A message from its submission to its final outcome.
struct Message {
    partner: usize,
    class: usize,
    submitted_at: Duration,
    deadline: Duration,
    /// Whether its final outcome is known.
    completed: bool,
    /// When it first took effect at an endpoint.
    effect_at: Option<Duration>,
    /// Start of the current wait in an instance, without an attempt in flight.
    waiting_since: Option<Duration>,
    /// Whether an attempt was sent, so that it may have taken effect.
    may_have_run: bool,
}

/// State of a call that an instance sent.
struct CallState {
    instance: u32,
    /// Epoch of the instance at sending; a response to an earlier epoch is dropped.
    epoch: u32,
    endpoint: usize,
    message: u32,
    /// The attempt that the engine knows; `None` for baseline clients.
    attempt: Option<Attempt>,
    reply: Reply,
    connection_refused: bool,
    advertised_limit: Option<AdvertisedLimit>,
    load_report: LoadReport,
}

/// The client of one instance, as the client policy requires.
enum OutboundClient {
    Engine(Box<Engine>),
    Baseline(Box<BaselineClient>),
}

/// A gateway instance.
struct Gateway {
    client: OutboundClient,
    /// Number of times that the instance has crashed.
    epoch: u32,
    /// When the scheduled timer fires.
    next_timer: Option<Duration>,
    /// End of each received `Retry-After`, by partner, and by endpoint where limits are per endpoint.
    retry_after_until: HashMap<(usize, Option<usize>), Duration>,
    /// Numbers of the messages in the simulation, by their id in the engine.
    message_numbers: HashMap<MessageId, u32>,
    /// Numbers of the accepted messages without a final outcome.
    pending: Vec<u32>,
    /// Idle connections by endpoint: when each became idle.
    idle_connections: HashMap<usize, Vec<Duration>>,
    /// Number of endpoint removals in the list that it received last.
    known_removals: usize,
    /// Whether the instance has crashed and not yet restarted.
    down: bool,
}

struct Simulation<'a> {
    scenario: &'a LoadBalanceScenario,
    policy: ClientPolicy,
    settings: Settings,
    now: Duration,
    events: EventQueue<Event>,
    rng: ChaCha8Rng,
    gateways: Vec<Gateway>,
    traffic: Traffic,
    partner_models: SimulatedPartners,
    /// Endpoints removed from the endpoint list, in the order of their removal.
    removals: Vec<EndpointRemoval>,
    messages: Vec<Message>,
    calls: Vec<CallState>,
    run: LoadBalanceRun,
    /// Endpoints that recovered from an outage and have not collapsed since.
    recovered_endpoints: Vec<usize>,
    /// Number of instances that a `slow-for` fault affects, the first ones; `None` without such a fault.
    slow_instance_count: Option<usize>,
}

/// Removal of a replaced endpoint from the endpoint list.
#[derive(Clone, Copy)]
struct EndpointRemoval {
    endpoint: usize,
    at: Duration,
}

/// Runs a scenario once. The run is deterministic: it depends only on the scenario, the client policy and the seed.
pub fn simulate_load_balance(
    scenario: &LoadBalanceScenario,
    policy: ClientPolicy,
    seed: u64,
) -> LoadBalanceRun {
    let mut simulation = Simulation::new(scenario, policy, seed);
    let longest_deadline = scenario.class.values().map(|class| class.deadline).fold(0.0, f64::max);
    let end = Duration::from_secs_f64(
        scenario.seconds + longest_deadline + 2.0 * scenario.rules.outcome_grace + 1.0,
    );
    while let Some((at, event)) = simulation.events.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.dispatch(event);
    }
    simulation.finish()
}

/// Converts the time since the beginning of the run to the engine's clock.
fn virtual_time(elapsed: Duration) -> Time {
    Time::ZERO + elapsed
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a LoadBalanceScenario, policy: ClientPolicy, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let partner_models = SimulatedPartners::new(scenario, &mut rng);
        let mut simulation = Simulation {
            settings: gateways::gateway_settings(scenario),
            traffic: Traffic::new(scenario),
            scenario,
            policy,
            now: Duration::ZERO,
            events: EventQueue::new(),
            gateways: Vec::new(),
            partner_models,
            removals: Vec::new(),
            messages: Vec::new(),
            calls: Vec::new(),
            run: LoadBalanceRun::default(),
            recovered_endpoints: Vec::new(),
            slow_instance_count: None,
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
        };
        simulation.run.record.partners = vec![Partner::default(); simulation.partner_models.partners.len()];
        for partner in 0..simulation.partner_models.partners.len() {
            simulation.record_limit(partner);
        }
        for endpoint in 0..simulation.partner_models.endpoints.len() {
            simulation.record_endpoint(endpoint);
        }
        for instance in 0..scenario.instances {
            let seed = simulation.rng.random();
            let gateway = simulation.new_gateway(instance, seed);
            simulation.gateways.push(gateway);
        }
        for (index, fault) in scenario.faults.values().enumerate() {
            simulation.schedule(Duration::from_secs_f64(fault.at), Event::Fault { index, starts: true });
            let end = Duration::from_secs_f64(fault.at + fault.duration);
            simulation.schedule(end, Event::Fault { index, starts: false });
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

    /// Adds the partner's current limit to the load record; partners without a limit have no steps.
    fn record_limit(&mut self, partner: usize) {
        if let Some(limit) = self.partner_models.partners[partner].total_limit() {
            self.run.record.partners[partner].limit_steps.push((self.now, limit));
        }
    }

    fn record_endpoint(&mut self, endpoint: usize) {
        self.run.record.endpoints.push(self.partner_models.endpoints[endpoint].record_entry());
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Submission => self.submit_next(),
            Event::RequestArrived { call } => self.on_request_arrived(call),
            Event::ResponseSent { call } => self.on_response_sent(call),
            Event::ResponseReceived { call } => self.on_response_received(call),
            Event::ProbeCompleted { instance, epoch, endpoint } => {
                let in_flight = f64::from(self.partner_models.endpoints[endpoint].in_flight);
                let gateway = &mut self.gateways[instance as usize];
                if let (OutboundClient::Baseline(baseline), true) =
                    (&mut gateway.client, gateway.epoch == epoch)
                {
                    baseline.on_probe_completed(self.now, endpoint, in_flight);
                }
            }
            Event::Timer { instance } => {
                let gateway = &mut self.gateways[instance as usize];
                if !gateway.down && gateway.next_timer == Some(self.now) {
                    gateway.next_timer = None;
                    self.advance(instance);
                }
            }
            Event::Fault { index, starts } => self.apply_fault(index, starts),
            Event::EndpointListUpdate { instance } => self.on_endpoint_list_update(instance),
            Event::InstanceRestarted { instance } => self.restart_instance(instance),
        }
    }

    // ---- Submissions and final outcomes ----

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
            completed: false,
            effect_at: None,
            waiting_since: None,
            may_have_run: false,
        });
        self.submit(instance as u32, number, false);
    }

    /// Records the end of a waiting interval; no effect if the message does not wait.
    fn stop_waiting(&mut self, number: u32) {
        let message = &mut self.messages[number as usize];
        if let Some(from) = message.waiting_since.take() {
            let interval = WaitingInterval { partner: message.partner, from, until: self.now };
            self.run.record.waiting_intervals.push(interval);
        }
    }

    /// Records the final outcome, an index into [`LoadBalanceRun::outcome_counts`]: 0 delivered, 1 rejected, 2 failed.
    fn complete(&mut self, number: u32, outcome: usize) {
        self.stop_waiting(number);
        let grace = Duration::from_secs_f64(self.scenario.rules.outcome_grace);
        let now = self.now;
        let message = &mut self.messages[number as usize];
        if message.completed || now > message.deadline + grace {
            self.run.violations.missing_or_late_outcomes += 1;
        }
        if message.completed {
            return;
        }
        message.completed = true;
        self.run.outcome_counts[outcome] += 1;
        // A rejection guarantees that the message never took effect.
        self.run.violations.repeated_effects += u64::from(outcome == 1 && message.effect_at.is_some());
        if let (0, Some(class)) = (outcome, self.scenario.class.values().nth(message.class)) {
            self.run.delivered_value += class.value_at((now - message.submitted_at).as_secs_f64());
        }
    }

    // ---- Calls at endpoints ----

    fn on_request_arrived(&mut self, call: usize) {
        let now = self.now;
        let (endpoint, message) = (self.calls[call].endpoint, self.calls[call].message);
        if self.partner_models.endpoints[endpoint].removed {
            self.calls[call].connection_refused = true;
            return self.schedule(now, Event::ResponseReceived { call });
        }
        let response = self.partner_models.handle_request(now, endpoint, &message.to_string());
        if self.recovered_endpoints.contains(&endpoint)
            && self.partner_models.endpoints[endpoint].model.has_collapsed()
        {
            self.recovered_endpoints.retain(|other| *other != endpoint);
            self.run.violations.recovery_overloads += 1;
        }
        let outcome = response.outcome();
        let response_time = response.decision.respond_at.map_or(Duration::ZERO, |at| at - now);
        let instance = self.calls[call].instance;
        self.run.record.calls.push(Call { at: now, endpoint, instance, outcome, response_time });
        if response.decision.takes_effect {
            self.record_effect(message);
        }
        let state = &mut self.calls[call];
        (state.reply, state.advertised_limit, state.load_report) =
            (response.decision.reply, response.advertised_limit, response.load);
        match response.decision.respond_at {
            Some(at) if at > now => self.schedule(at, Event::ResponseSent { call }),
            Some(_) => {
                let at = now + self.network_delay();
                self.schedule(at, Event::ResponseReceived { call });
            }
            None => {}
        }
    }

    /// Records that a message took effect, and a violation if its class does not allow the repeat.
    fn record_effect(&mut self, number: u32) {
        let message = &mut self.messages[number as usize];
        let class = &self.settings.classes[message.class];
        let repeated = message.effect_at.is_some_and(|at| match class.effect {
            Effect::Safe => false,
            // Within the retry window the partner drops repeats at every endpoint.
            Effect::Keyed => self.now - at >= class.retry_window,
            Effect::Unsafe => true,
        });
        self.run.violations.repeated_effects += u64::from(repeated);
        message.effect_at.get_or_insert(self.now);
    }

    fn on_response_sent(&mut self, call: usize) {
        let endpoint = self.calls[call].endpoint;
        self.partner_models.on_response_sent(endpoint);
        // The response carries the load report of the time at which it is sent.
        let load_report = self.partner_models.load_report(self.now, endpoint);
        self.calls[call].load_report = load_report;
        let at = self.now + self.network_delay();
        self.schedule(at, Event::ResponseReceived { call });
    }

    /// Ends the run: messages without a final outcome are violations.
    fn finish(mut self) -> LoadBalanceRun {
        for number in 0..self.messages.len() as u32 {
            self.stop_waiting(number);
        }
        self.run.violations.missing_or_late_outcomes +=
            self.messages.iter().filter(|message| !message.completed).count() as u64;
        self.run
    }
}
