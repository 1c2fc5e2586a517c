//! Gateway instances of a run: submissions, commands, endpoint list updates, loss and restart.

use super::{
    time, CallAt, Client, ClientPolicy, Event, Gateway, Simulation, RESTARTED_AFTER, SLOW_FOR_DELAY,
    UPDATE_SPREAD,
};
use crate::load_balance::baseline_client::BaselineSettings;
use crate::load_balance::baseline_client::{Action, AttemptResult, BaselineClient, Limiter};
use crate::load_balance::partners::LoadReport;
use crate::load_balance::scenario::LoadBalanceScenario;
use crate::load_balance::selection::EndpointSelection;
use cloverstile::{
    ClassId, DestinationId, Effect, EndpointId, EndpointState, KindId, RateLimitStatus, Settings, TenantId,
    Time, ZoneId,
};
use cloverstile_engine::{
    Admission, Attempt, Command, Engine, FinalOutcome, ResultCacheLimits, SubmitRequest, TransportOutcome,
};
use cloverstile_fakes::model::Reply;
use rand::Rng;
use std::collections::HashMap;
use std::time::Duration;

/// Share of the instances' tries that a deadline leaves: attempts for a message.
const SEND_CAP: u32 = 8;

/// Settings of the gateway instances.
pub(super) fn settings(scenario: &LoadBalanceScenario) -> Settings {
    Settings {
        instance_count: scenario.instances as u32,
        classes: scenario.classes(),
        kinds: [false, true]
            .map(|own_limits| cloverstile::Kind { max_batch: 1, per_endpoint_limits: own_limits })
            .to_vec(),
        concurrency_limit: scenario.concurrency_limit,
        max_queued: scenario.max_queued,
        max_attempts: SEND_CAP,
        connection_idle_timeout: Duration::from_secs_f64(scenario.connection_idle_timeout),
        max_retry_after: Some(Duration::from_secs(5)),
        rules: scenario.rules.rules(),
        ..Settings::default()
    }
}

impl Simulation<'_> {
    pub(super) fn gateway(&mut self, instance: usize, seed: u64) -> Gateway {
        let client = match self.who {
            ClientPolicy::Delivery => {
                let bounds = ResultCacheLimits { max_results: 1000, retention: Duration::from_secs(2) };
                Client::Module(Box::new(Engine::new(self.settings.clone(), bounds, seed)))
            }
            ClientPolicy::Baseline(choice, limiter) => {
                let settings = BaselineSettings {
                    instance,
                    instances: self.scenario.instances,
                    selection: choice,
                    limiter,
                    concurrency_limit: self.scenario.concurrency_limit,
                    max_held: self.scenario.max_queued,
                };
                Client::BaselineClient(Box::new(BaselineClient::new(settings, seed)))
            }
        };
        let mut gateway = Gateway::new(client);
        self.update_list(&mut gateway);
        gateway
    }

    /// Passes the current endpoint list to an instance.
    fn update_list(&mut self, gateway: &mut Gateway) {
        gateway.received_updates = self.removals.len();
        let replaced: Vec<usize> = self.removals.iter().map(|removals| removals.gone).collect();
        match &mut gateway.client {
            Client::Module(engine) => {
                let entries = (0..self.sites.endpoints.len()).map(|place| {
                    let partner = self.sites.endpoints[place].partner;
                    let apart = self.sites.partners[partner].spec.limit_per_endpoint;
                    let weight = self.sites.listed_weight(place);
                    cloverstile::Endpoint {
                        id: EndpointId(place as u32),
                        zone: ZoneId(0),
                        kind: KindId(u16::from(apart)),
                        destination: DestinationId(partner as u16),
                        state: if replaced.contains(&place) {
                            EndpointState::Draining
                        } else {
                            EndpointState::Ready
                        },
                        weight,
                    }
                });
                let entries: Vec<_> = entries.collect();
                engine.update_endpoints(time(self.now), entries);
            }
            Client::BaselineClient(baseline) => {
                let list = (0..self.sites.partners.len()).map(|partner| {
                    let of = &self.sites.partners[partner];
                    let there = of.endpoints.iter().copied().filter(|e| !replaced.contains(e)).collect();
                    (there, of.total_limit())
                });
                baseline.update_endpoints(list.collect());
            }
        }
    }

    pub(super) fn receive_list(&mut self, instance: u32) {
        if self.gateways[instance as usize].down {
            return;
        }
        let mut gateway = std::mem::replace(&mut self.gateways[instance as usize], Gateway::placeholder());
        self.update_list(&mut gateway);
        self.gateways[instance as usize] = gateway;
        self.advance(instance);
    }

    pub(super) fn submit(&mut self, instance: u32, number: u32, after_loss: bool) {
        let now = self.now;
        let (partner, class, deadline) = {
            let message = &self.messages[number as usize];
            (message.partner, message.class, message.deadline)
        };
        if self.gateways[instance as usize].down {
            return self.complete(number, 1);
        }
        let gateway = &mut self.gateways[instance as usize];
        let taken = match &mut gateway.client {
            Client::Module(engine) => {
                let taken = SubmitRequest {
                    client: 0,
                    idempotency_key: number.to_string(),
                    fingerprint: [0; 32],
                    class: ClassId(class as u8),
                    destination: DestinationId(partner as u16),
                    order_key: None,
                    deadline: time(deadline),
                    tenant: TenantId(0),
                    resubmitted: after_loss,
                    from_lost_instance: after_loss,
                };
                match engine.submit(time(now), taken) {
                    Admission::New(id) | Admission::InFlight(id) => {
                        gateway.held.insert(id, number);
                        true
                    }
                    _ => false,
                }
            }
            Client::BaselineClient(baseline) => {
                let repeatable = self.settings.classes[class].effect != Effect::Unsafe;
                baseline.submit(number, partner, deadline, repeatable)
            }
        };
        if !taken {
            return self.complete(number, 1);
        }
        gateway.holds.push(number);
        self.messages[number as usize].waits = Some(now);
        self.advance(instance);
    }

    pub(super) fn advance(&mut self, instance: u32) {
        self.run.advance_calls += 1;
        let now = self.now;
        let next = match &mut self.gateways[instance as usize].client {
            Client::Module(engine) => {
                let commands = engine.advance(time(now));
                for command in commands {
                    self.execute(instance, command);
                }
                match &self.gateways[instance as usize].client {
                    Client::Module(engine) => engine.next_timeout().map(|at| (at - Time::ZERO).max(now)),
                    Client::BaselineClient(_) => None,
                }
            }
            Client::BaselineClient(baseline) => {
                let (done, next) = baseline.advance(now);
                for one in done {
                    match one {
                        Action::Send { message, endpoint } => self.send(instance, endpoint, message, None),
                        Action::Probe { endpoint } => {
                            self.run.probes += 1;
                            let (there, back) = (self.network_delay(), self.network_delay());
                            let epoch = self.gateways[instance as usize].epoch;
                            self.schedule(now + there + back, Event::Probed { instance, epoch, endpoint });
                        }
                        Action::Expire { message, may_have_run } => {
                            self.let_go(instance, message);
                            self.complete(message, 1 + usize::from(may_have_run));
                        }
                    }
                }
                next.map(|at| at.max(now + Duration::from_micros(1)))
            }
        };
        let gateway = &mut self.gateways[instance as usize];
        if let Some(next) = next.filter(|next| gateway.wake.is_none_or(|set| *next < set || set <= now)) {
            gateway.wake = Some(next);
            self.schedule(next, Event::Wake { instance });
        }
    }

    fn let_go(&mut self, instance: u32, number: u32) {
        self.gateways[instance as usize].holds.retain(|other| *other != number);
    }

    fn execute(&mut self, instance: u32, command: Command) {
        match command {
            Command::Send { endpoint, attempts } => {
                for attempt in attempts {
                    let held = self.gateways[instance as usize].held.get(&attempt.message).copied();
                    if let Some(number) = held {
                        self.send(instance, endpoint.0 as usize, number, Some(attempt));
                    }
                }
            }
            Command::Abandon { attempt, .. } => {
                // Its message waits again, if it is not over.
                let held = self.gateways[instance as usize].held.get(&attempt.message).copied();
                if let Some(number) = held.filter(|number| !self.messages[*number as usize].answered) {
                    self.messages[number as usize].waits.get_or_insert(self.now);
                }
            }
            Command::Complete { message, outcome: answer, .. } => {
                if let Some(number) = self.gateways[instance as usize].held.get(&message).copied() {
                    self.let_go(instance, number);
                    let place = match answer {
                        FinalOutcome::Delivered => 0,
                        FinalOutcome::Rejected(_) => 1,
                        _ => 2,
                    };
                    self.complete(number, place);
                }
            }
            Command::Evicted { message } => {
                self.gateways[instance as usize].held.remove(&message);
            }
            Command::CloseIdle { endpoint } => {
                self.gateways[instance as usize].idle.remove(&(endpoint.0 as usize));
            }
            Command::LateReceipt { .. } | Command::Probe { .. } | Command::Log { .. } => {}
        }
    }

    fn send(&mut self, instance: u32, endpoint: usize, number: u32, attempt: Option<Attempt>) {
        let now = self.now;
        self.stop_waiting(number);
        self.messages[number as usize].may_have_run = true;
        let partner = self.sites.endpoints[endpoint].partner;
        let apart = self.sites.partners[partner].spec.limit_per_endpoint.then_some(endpoint);
        let grace = Duration::from_secs_f64(self.scenario.rules.drain_grace);
        let gateway = &mut self.gateways[instance as usize];
        if gateway.waits.get(&(partner, apart)).is_some_and(|until| now < *until) {
            self.run.violations.early_retries += 1;
        }
        let known_gone =
            self.removals[..gateway.received_updates].iter().find(|removals| removals.gone == endpoint);
        // Counted from the latest moment at which it can have heard of it.
        if known_gone.is_some_and(|removals| now > removals.at + UPDATE_SPREAD.max(grace) + grace) {
            self.run.violations.sends_after_drain += 1;
        }
        let idle = gateway.idle.entry(endpoint).or_default();
        let fresh = Duration::from_secs_f64(self.scenario.connection_idle_timeout);
        idle.retain(|since| now - *since < fresh);
        let connected = idle.pop().is_some();
        let epoch = gateway.epoch;
        let mut at = now + self.network_delay();
        if !connected {
            self.run.record.connections += 1;
            at += Duration::from_secs_f64(self.scenario.connect_ms / 1e3);
        }
        // `slow-for`: the first endpoint of each partner, for the first instances.
        let first = self.sites.partners[partner].endpoints.first() == Some(&endpoint);
        if first && self.slow_for_instances.is_some_and(|count| (instance as usize) < count) {
            at += SLOW_FOR_DELAY;
        }
        let call = self.calls.len();
        self.calls.push(CallAt {
            instance,
            epoch,
            endpoint,
            message: number,
            attempt,
            reply: Reply::Reset,
            refused_connection: false,
            told: None,
            load: LoadReport::default(),
        });
        self.schedule(at, Event::Reach { call });
    }

    pub(super) fn answer(&mut self, call: usize) {
        let now = self.now;
        let at = &self.calls[call];
        let (instance, endpoint, number) = (at.instance, at.endpoint, at.message);
        let partner = self.sites.endpoints[endpoint].partner;
        let apart = self.sites.partners[partner].spec.limit_per_endpoint.then_some(endpoint);
        let (reply, load) = (at.reply, at.load);
        let gateway = &mut self.gateways[instance as usize];
        if gateway.epoch != at.epoch || gateway.down {
            return;
        }
        if !at.refused_connection {
            gateway.idle.entry(endpoint).or_default().push(now);
        }
        if let Reply::Rejected(Some(wait)) = reply {
            let until = gateway.waits.entry((partner, apart)).or_default();
            *until = (*until).max(now + wait);
        }
        let mut over = false;
        match &mut gateway.client {
            Client::Module(engine) => {
                let reported = match reply {
                    _ if at.refused_connection => TransportOutcome::ConnectFailed,
                    Reply::Processed => TransportOutcome::Processed,
                    Reply::Error => TransportOutcome::Error,
                    Reply::Rejected(wait) => TransportOutcome::Rejected(wait),
                    Reply::Truncated | Reply::Reset => TransportOutcome::Reset,
                };
                let allowance =
                    at.told.map(|told| RateLimitStatus { remaining: told.remaining, limit: told.limit });
                if let Some(attempt) = at.attempt {
                    engine.on_attempt_completed(time(now), attempt, reported, allowance);
                }
            }
            Client::BaselineClient(baseline) => {
                let how = match reply {
                    _ if at.refused_connection => AttemptResult::Rejected(None),
                    Reply::Processed => AttemptResult::Delivered,
                    Reply::Rejected(wait) => AttemptResult::Rejected(wait),
                    Reply::Error | Reply::Truncated | Reply::Reset => AttemptResult::Unknown,
                };
                over = baseline.on_attempt_completed(now, number, how, Some(load));
            }
        }
        if over {
            self.let_go(instance, number);
            self.complete(number, 0);
        } else if !self.messages[number as usize].answered && reply != Reply::Processed {
            self.messages[number as usize].waits.get_or_insert(now);
        }
        self.advance(instance);
    }

    // ---- Loss ----

    pub(super) fn lose(&mut self, instance: u32) {
        let gateway = &mut self.gateways[instance as usize];
        gateway.down = true;
        gateway.epoch += 1;
        self.schedule(self.now + RESTARTED_AFTER, Event::Restarted { instance });
    }

    pub(super) fn restarted(&mut self, instance: u32) {
        let seed = self.rng.random();
        let fresh = self.gateway(instance as usize, seed);
        let old = std::mem::replace(&mut self.gateways[instance as usize], fresh);
        self.gateways[instance as usize].epoch = old.epoch;
        for number in old.holds {
            self.stop_waiting(number);
            let message = &self.messages[number as usize];
            let class = &self.settings.classes[message.class];
            // A client does not resubmit a message that may have run and may not be repeated.
            if message.answered || (message.may_have_run && class.effect == Effect::Unsafe) {
                if !message.answered {
                    self.complete(number, 2);
                }
                continue;
            }
            let after_loss = message.may_have_run;
            self.submit(instance, number, after_loss);
        }
    }
}

impl Gateway {
    /// A gateway that has just started: nothing queued, nothing learned.
    fn new(client: Client) -> Gateway {
        Gateway {
            client,
            epoch: 0,
            wake: None,
            waits: HashMap::new(),
            held: HashMap::new(),
            holds: Vec::new(),
            idle: HashMap::new(),
            received_updates: 0,
            down: false,
        }
    }

    /// Placeholder while a gateway is being changed.
    fn placeholder() -> Gateway {
        let settings = BaselineSettings {
            instance: 0,
            instances: 1,
            selection: EndpointSelection::Random,
            limiter: Limiter::None,
            concurrency_limit: 0,
            max_held: 0,
        };
        Gateway::new(Client::BaselineClient(Box::new(BaselineClient::new(settings, 0))))
    }
}
