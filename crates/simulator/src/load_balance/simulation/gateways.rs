//! Gateway instances of a run: submissions, commands, endpoint list updates, crash and restart.

use super::{
    virtual_time, CallState, ClientPolicy, Event, Gateway, OutboundClient, Simulation, MAX_UPDATE_DELAY,
    RESTART_DELAY, SLOW_PATH_DELAY,
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

/// Maximum number of attempts for a message within its deadline.
const MAX_ATTEMPTS: u32 = 8;

/// Engine settings of all gateway instances; each endpoint kind states whether limits are per endpoint.
pub(super) fn gateway_settings(scenario: &LoadBalanceScenario) -> Settings {
    Settings {
        instance_count: scenario.instances as u32,
        classes: scenario.classes(),
        kinds: [false, true]
            .map(|own_limits| cloverstile::Kind { max_batch: 1, per_endpoint_limits: own_limits })
            .to_vec(),
        concurrency_limit: scenario.concurrency_limit,
        max_queued: scenario.max_queued,
        max_attempts: MAX_ATTEMPTS,
        connection_idle_timeout: Duration::from_secs_f64(scenario.connection_idle_timeout),
        max_retry_after: Some(Duration::from_secs(5)),
        rules: scenario.rules.rules(),
        ..Settings::default()
    }
}

impl Simulation<'_> {
    /// Creates an instance that has received the current endpoint list.
    pub(super) fn new_gateway(&mut self, instance: usize, seed: u64) -> Gateway {
        let client = match self.policy {
            ClientPolicy::Delivery => {
                let cache_limits = ResultCacheLimits { max_results: 1000, retention: Duration::from_secs(2) };
                OutboundClient::Engine(Box::new(Engine::new(self.settings.clone(), cache_limits, seed)))
            }
            ClientPolicy::Baseline(selection, limiter) => {
                let settings = BaselineSettings {
                    instance,
                    instances: self.scenario.instances,
                    selection,
                    limiter,
                    concurrency_limit: self.scenario.concurrency_limit,
                    max_held: self.scenario.max_queued,
                };
                OutboundClient::Baseline(Box::new(BaselineClient::new(settings, seed)))
            }
        };
        let mut gateway = Gateway::new(client);
        self.update_endpoint_list(&mut gateway);
        gateway
    }

    /// Sends the current endpoint list to an instance.
    fn update_endpoint_list(&mut self, gateway: &mut Gateway) {
        gateway.known_removals = self.removals.len();
        let replaced: Vec<usize> = self.removals.iter().map(|removal| removal.endpoint).collect();
        match &mut gateway.client {
            OutboundClient::Engine(engine) => {
                let entries = (0..self.partner_models.endpoints.len()).map(|index| {
                    let partner = self.partner_models.endpoints[index].partner;
                    let own_limit = self.partner_models.partners[partner].spec.limit_per_endpoint;
                    let weight = self.partner_models.listed_weight(index);
                    cloverstile::Endpoint {
                        id: EndpointId(index as u32),
                        zone: ZoneId(0),
                        kind: KindId(u16::from(own_limit)),
                        destination: DestinationId(partner as u16),
                        state: if replaced.contains(&index) {
                            EndpointState::Draining
                        } else {
                            EndpointState::Ready
                        },
                        weight,
                    }
                });
                let entries: Vec<_> = entries.collect();
                engine.update_endpoints(virtual_time(self.now), entries);
            }
            OutboundClient::Baseline(baseline) => {
                let list = (0..self.partner_models.partners.len()).map(|partner| {
                    let model = &self.partner_models.partners[partner];
                    let in_service =
                        model.endpoints.iter().copied().filter(|e| !replaced.contains(e)).collect();
                    (in_service, model.total_limit())
                });
                baseline.update_endpoints(list.collect());
            }
        }
    }

    pub(super) fn on_endpoint_list_update(&mut self, instance: u32) {
        if self.gateways[instance as usize].down {
            return;
        }
        let mut gateway = std::mem::replace(&mut self.gateways[instance as usize], Gateway::placeholder());
        self.update_endpoint_list(&mut gateway);
        self.gateways[instance as usize] = gateway;
        self.advance(instance);
    }

    /// Submits a message to an instance. A message that the instance does not accept is rejected at once.
    pub(super) fn submit(&mut self, instance: u32, number: u32, resubmitted: bool) {
        let now = self.now;
        let (partner, class, deadline) = {
            let message = &self.messages[number as usize];
            (message.partner, message.class, message.deadline)
        };
        if self.gateways[instance as usize].down {
            return self.complete(number, 1);
        }
        let gateway = &mut self.gateways[instance as usize];
        let accepted = match &mut gateway.client {
            OutboundClient::Engine(engine) => {
                let request = SubmitRequest {
                    client: 0,
                    idempotency_key: number.to_string(),
                    fingerprint: [0; 32],
                    class: ClassId(class as u8),
                    destination: DestinationId(partner as u16),
                    order_key: None,
                    deadline: virtual_time(deadline),
                    tenant: TenantId(0),
                    resubmitted,
                    from_lost_instance: resubmitted,
                };
                match engine.submit(virtual_time(now), request) {
                    Admission::New(id) | Admission::InFlight(id) => {
                        gateway.message_numbers.insert(id, number);
                        true
                    }
                    _ => false,
                }
            }
            OutboundClient::Baseline(baseline) => {
                let repeatable = self.settings.classes[class].effect != Effect::Unsafe;
                baseline.submit(number, partner, deadline, repeatable)
            }
        };
        if !accepted {
            return self.complete(number, 1);
        }
        gateway.pending.push(number);
        self.messages[number as usize].waiting_since = Some(now);
        self.advance(instance);
    }

    /// Executes all commands that an instance has now, and schedules its next timer.
    pub(super) fn advance(&mut self, instance: u32) {
        self.run.advance_calls += 1;
        let now = self.now;
        let next = match &mut self.gateways[instance as usize].client {
            OutboundClient::Engine(engine) => {
                let commands = engine.advance(virtual_time(now));
                for command in commands {
                    self.execute(instance, command);
                }
                match &self.gateways[instance as usize].client {
                    OutboundClient::Engine(engine) => {
                        engine.next_timeout().map(|at| (at - Time::ZERO).max(now))
                    }
                    OutboundClient::Baseline(_) => None,
                }
            }
            OutboundClient::Baseline(baseline) => {
                let (actions, next) = baseline.advance(now);
                for action in actions {
                    match action {
                        Action::Send { message, endpoint } => self.send(instance, endpoint, message, None),
                        Action::Probe { endpoint } => {
                            self.run.probes += 1;
                            let (outbound, inbound) = (self.network_delay(), self.network_delay());
                            let epoch = self.gateways[instance as usize].epoch;
                            self.schedule(
                                now + outbound + inbound,
                                Event::ProbeCompleted { instance, epoch, endpoint },
                            );
                        }
                        Action::Expire { message, may_have_run } => {
                            self.remove_pending(instance, message);
                            self.complete(message, 1 + usize::from(may_have_run));
                        }
                    }
                }
                next.map(|at| at.max(now + Duration::from_micros(1)))
            }
        };
        let gateway = &mut self.gateways[instance as usize];
        if let Some(next) = next.filter(|next| gateway.next_timer.is_none_or(|set| *next < set || set <= now))
        {
            gateway.next_timer = Some(next);
            self.schedule(next, Event::Timer { instance });
        }
    }

    /// Removes a completed message from those that clients resubmit after a restart.
    fn remove_pending(&mut self, instance: u32, number: u32) {
        self.gateways[instance as usize].pending.retain(|other| *other != number);
    }

    fn execute(&mut self, instance: u32, command: Command) {
        match command {
            Command::Send { endpoint, attempts } => {
                for attempt in attempts {
                    let number =
                        self.gateways[instance as usize].message_numbers.get(&attempt.message).copied();
                    if let Some(number) = number {
                        self.send(instance, endpoint.0 as usize, number, Some(attempt));
                    }
                }
            }
            Command::Abandon { attempt, .. } => {
                // The message waits again unless it has completed.
                let number = self.gateways[instance as usize].message_numbers.get(&attempt.message).copied();
                if let Some(number) = number.filter(|number| !self.messages[*number as usize].completed) {
                    self.messages[number as usize].waiting_since.get_or_insert(self.now);
                }
            }
            Command::Complete { message, outcome, .. } => {
                if let Some(number) = self.gateways[instance as usize].message_numbers.get(&message).copied()
                {
                    self.remove_pending(instance, number);
                    let outcome = match outcome {
                        FinalOutcome::Delivered => 0,
                        FinalOutcome::Rejected(_) => 1,
                        _ => 2,
                    };
                    self.complete(number, outcome);
                }
            }
            Command::Evicted { message } => {
                self.gateways[instance as usize].message_numbers.remove(&message);
            }
            Command::CloseIdle { endpoint } => {
                self.gateways[instance as usize].idle_connections.remove(&(endpoint.0 as usize));
            }
            Command::LateReceipt { .. } | Command::Probe { .. } | Command::Log { .. } => {}
        }
    }

    /// Sends a call, over an idle connection if there is one, and checks that the instance may send it now.
    fn send(&mut self, instance: u32, endpoint: usize, number: u32, attempt: Option<Attempt>) {
        let now = self.now;
        self.stop_waiting(number);
        self.messages[number as usize].may_have_run = true;
        let partner = self.partner_models.endpoints[endpoint].partner;
        let own_limit_endpoint =
            self.partner_models.partners[partner].spec.limit_per_endpoint.then_some(endpoint);
        let grace = Duration::from_secs_f64(self.scenario.rules.drain_grace);
        let gateway = &mut self.gateways[instance as usize];
        if gateway.retry_after_until.get(&(partner, own_limit_endpoint)).is_some_and(|until| now < *until) {
            self.run.violations.early_retries += 1;
        }
        let known_removal =
            self.removals[..gateway.known_removals].iter().find(|removal| removal.endpoint == endpoint);
        // The grace period starts at the latest time at which the instance can have received the update.
        if known_removal.is_some_and(|removal| now > removal.at + MAX_UPDATE_DELAY.max(grace) + grace) {
            self.run.violations.sends_after_drain += 1;
        }
        let idle = gateway.idle_connections.entry(endpoint).or_default();
        let idle_timeout = Duration::from_secs_f64(self.scenario.connection_idle_timeout);
        idle.retain(|since| now - *since < idle_timeout);
        let connected = idle.pop().is_some();
        let epoch = gateway.epoch;
        let mut at = now + self.network_delay();
        if !connected {
            self.run.record.connections += 1;
            at += Duration::from_secs_f64(self.scenario.connect_ms / 1e3);
        }
        // A `slow-for` fault delays calls of the first instances to the first endpoint of each partner.
        let first = self.partner_models.partners[partner].endpoints.first() == Some(&endpoint);
        if first && self.slow_instance_count.is_some_and(|count| (instance as usize) < count) {
            at += SLOW_PATH_DELAY;
        }
        let call = self.calls.len();
        self.calls.push(CallState {
            instance,
            epoch,
            endpoint,
            message: number,
            attempt,
            reply: Reply::Reset,
            connection_refused: false,
            advertised_limit: None,
            load_report: LoadReport::default(),
        });
        self.schedule(at, Event::RequestArrived { call });
    }

    /// Passes a response to the instance that sent the call, unless the instance has crashed meanwhile.
    pub(super) fn on_response_received(&mut self, call: usize) {
        let now = self.now;
        let state = &self.calls[call];
        let (instance, endpoint, number) = (state.instance, state.endpoint, state.message);
        let partner = self.partner_models.endpoints[endpoint].partner;
        let own_limit_endpoint =
            self.partner_models.partners[partner].spec.limit_per_endpoint.then_some(endpoint);
        let (reply, load) = (state.reply, state.load_report);
        let gateway = &mut self.gateways[instance as usize];
        if gateway.epoch != state.epoch || gateway.down {
            return;
        }
        if !state.connection_refused {
            gateway.idle_connections.entry(endpoint).or_default().push(now);
        }
        if let Reply::Rejected(Some(wait)) = reply {
            let until = gateway.retry_after_until.entry((partner, own_limit_endpoint)).or_default();
            *until = (*until).max(now + wait);
        }
        let mut completed = false;
        match &mut gateway.client {
            OutboundClient::Engine(engine) => {
                let outcome = match reply {
                    _ if state.connection_refused => TransportOutcome::ConnectFailed,
                    Reply::Processed => TransportOutcome::Processed,
                    Reply::Error => TransportOutcome::Error,
                    Reply::Rejected(wait) => TransportOutcome::Rejected(wait),
                    Reply::Truncated | Reply::Reset => TransportOutcome::Reset,
                };
                let rate_limit = state
                    .advertised_limit
                    .map(|limit| RateLimitStatus { remaining: limit.remaining, limit: limit.limit });
                if let Some(attempt) = state.attempt {
                    engine.on_attempt_completed(virtual_time(now), attempt, outcome, rate_limit);
                }
            }
            OutboundClient::Baseline(baseline) => {
                let result = match reply {
                    _ if state.connection_refused => AttemptResult::Rejected(None),
                    Reply::Processed => AttemptResult::Delivered,
                    Reply::Rejected(wait) => AttemptResult::Rejected(wait),
                    Reply::Error | Reply::Truncated | Reply::Reset => AttemptResult::Unknown,
                };
                completed = baseline.on_attempt_completed(now, number, result, Some(load));
            }
        }
        if completed {
            self.remove_pending(instance, number);
            self.complete(number, 0);
        } else if !self.messages[number as usize].completed && reply != Reply::Processed {
            self.messages[number as usize].waiting_since.get_or_insert(now);
        }
        self.advance(instance);
    }

    // ---- Crash and restart ----

    /// Crashes an instance, which loses all that it holds in memory, and schedules its restart.
    pub(super) fn stop_instance(&mut self, instance: u32) {
        let gateway = &mut self.gateways[instance as usize];
        gateway.down = true;
        gateway.epoch += 1;
        self.schedule(self.now + RESTART_DELAY, Event::InstanceRestarted { instance });
    }

    /// Replaces a crashed instance by a new one, to which the clients resubmit the pending messages.
    pub(super) fn restart_instance(&mut self, instance: u32) {
        let seed = self.rng.random();
        let fresh = self.new_gateway(instance as usize, seed);
        let old = std::mem::replace(&mut self.gateways[instance as usize], fresh);
        self.gateways[instance as usize].epoch = old.epoch;
        for number in old.pending {
            self.stop_waiting(number);
            let message = &self.messages[number as usize];
            let class = &self.settings.classes[message.class];
            // A client does not resubmit an unsafe message that may have taken effect.
            if message.completed || (message.may_have_run && class.effect == Effect::Unsafe) {
                if !message.completed {
                    self.complete(number, 2);
                }
                continue;
            }
            let resubmitted = message.may_have_run;
            self.submit(instance, number, resubmitted);
        }
    }
}

impl Gateway {
    /// A gateway in its initial state: no messages, connections or endpoint list.
    fn new(client: OutboundClient) -> Gateway {
        Gateway {
            client,
            epoch: 0,
            next_timer: None,
            retry_after_until: HashMap::new(),
            message_numbers: HashMap::new(),
            pending: Vec::new(),
            idle_connections: HashMap::new(),
            known_removals: 0,
            down: false,
        }
    }

    /// Stands in for a gateway that is moved out of the simulation while it is updated.
    fn placeholder() -> Gateway {
        let settings = BaselineSettings {
            instance: 0,
            instances: 1,
            selection: EndpointSelection::Random,
            limiter: Limiter::None,
            concurrency_limit: 0,
            max_held: 0,
        };
        Gateway::new(OutboundClient::Baseline(Box::new(BaselineClient::new(settings, 0))))
    }
}
