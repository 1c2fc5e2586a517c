//! A courier under test, with a clock of its own and a record of what it did.
#![allow(dead_code)]

pub mod crowd;

use cloverstile::*;
use std::time::Duration;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn keyed() -> Class {
    Class::default()
}

pub fn unsafe_class() -> Class {
    Class { effect: Effect::Unsafe, ..Class::default() }
}

pub fn safe() -> Class {
    Class { effect: Effect::Safe, ..Class::default() }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings { classes, instance_count: 1, ..Settings::default() }
}

pub fn endpoint(id: u32, destination: u16) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        zone: ZoneId(0),
        kind: KindId(0),
        destination: DestinationId(destination),
        state: EndpointState::Ready,
        weight: 100.0,
    }
}

/// A message of a live client, handed in now.
pub fn accepted(
    now: Time,
    id: u32,
    (class, rules): (ClassId, &Class),
    destination: u16,
    key: Option<u64>,
) -> Submission {
    Submission {
        id: MessageId(id),
        class,
        destination: DestinationId(destination),
        key: key.map(OrderKey),
        deadline: now + rules.deadline,
        from_lost_instance: false,
        resubmitted: false,
        tenant: TenantId(0),
    }
}

/// A route that the courier asked for: message, endpoint, time-out.
pub type Sent = (u32, u32, Duration);

pub struct Bench {
    pub courier: DeliveryPolicy,
    pub now: Time,
    pub settings: Settings,
    attempts: std::collections::BTreeMap<u32, u16>,
}

impl Bench {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let mut bench = Bench {
            courier: DeliveryPolicy::new(settings.clone(), 1),
            now: Time::ZERO + Duration::from_secs(100),
            settings,
            attempts: Default::default(),
        };
        bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints)));
        bench
    }

    pub fn tell(&mut self, event: Event) {
        self.courier.on_event(self.now, event);
    }

    pub fn accept(&mut self, id: u32, class: u8, destination: u16, key: Option<u64>) {
        let class = (ClassId(class), &self.settings.classes[usize::from(class)]);
        self.tell(Event::Submitted(accepted(self.now, id, class, destination, key)));
    }

    /// Messages that were sent so far.
    pub fn attempts_made(&self) -> u32 {
        self.attempts.len() as u32
    }

    pub fn decide(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.courier.next_actions(self.now, &mut actions);
        for action in &actions {
            if let Action::Send { message, .. } = action {
                *self.attempts.entry(message.0).or_default() += 1;
            }
        }
        actions
    }

    pub fn routes(&mut self) -> Vec<Sent> {
        let routed = |action: &Action| match action {
            Action::Send { message, endpoint, timeout: try_for } => Some((message.0, endpoint.0, *try_for)),
            _ => None,
        };
        self.decide().iter().filter_map(routed).collect()
    }

    /// Lets time pass in small steps, deciding at each; stops at the first step with a route or a final answer.
    pub fn until_action(&mut self, limit: Duration) -> Vec<Action> {
        let end = self.now + limit;
        while self.now < end {
            self.now = self.now + ms(5);
            let mut actions = self.decide();
            actions.retain(|a| !matches!(a, Action::Wake { .. }));
            if !actions.is_empty() {
                return actions;
            }
        }
        Vec::new()
    }

    /// The same world with a courier of other settings and another seed.
    pub fn restart(&mut self, settings: Settings, seed: u64, endpoints: Vec<Endpoint>) {
        self.courier = DeliveryPolicy::new(settings.clone(), seed);
        self.settings = settings;
        self.tell(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints)));
    }

    pub fn finish(&mut self, message: u32, endpoint: u32, outcome: AttemptOutcome, latency: Duration) {
        self.finish_telling(message, endpoint, outcome, latency, None);
    }

    /// A refusal that tells which share of which limit is left.
    pub fn refuse(&mut self, message: u32, endpoint: u32, left: f64, limit: f64) {
        self.finish_telling(
            message,
            endpoint,
            AttemptOutcome::Rejected(None),
            ms(20),
            Some(RateLimitStatus { remaining: left, limit }),
        );
    }

    fn finish_telling(
        &mut self,
        message: u32,
        endpoint: u32,
        outcome: AttemptOutcome,
        latency: Duration,
        allowance: Option<RateLimitStatus>,
    ) {
        let attempt = self.attempts.get(&message).map_or(0, |count| count - 1);
        self.tell(Event::AttemptCompleted(AttemptCompleted {
            message: MessageId(message),
            endpoint: EndpointId(endpoint),
            attempt,
            outcome,
            latency,
            complete: outcome == AttemptOutcome::Ok,
            rate_limit: allowance,
        }));
    }
}
