//! Test harness for a delivery policy: a manual clock, a count of attempts per message, and builders of settings and
//! events.
#![allow(dead_code)]

pub mod shared_destination;

use cloverstile::{
    Action, AttemptCompleted, AttemptOutcome, Class, ClassId, DeliveryPolicy, DestinationId, Effect,
    Endpoint, EndpointId, EndpointListUpdate, EndpointState, Event, KindId, MessageId, OrderKey,
    RateLimitStatus, Settings, Submission, TenantId, Time, ZoneId,
};
use std::time::Duration;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn keyed_class() -> Class {
    Class::default()
}

pub fn unsafe_class() -> Class {
    Class { effect: Effect::Unsafe, ..Class::default() }
}

pub fn safe_class() -> Class {
    Class { effect: Effect::Safe, ..Class::default() }
}

/// Default settings with these classes, for a single gateway instance.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings { classes, instance_count: 1, ..Settings::default() }
}

/// A ready endpoint in zone 0, of kind 0.
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

/// A message submitted now for the first time, with the deadline of its class.
pub fn submission(
    now: Time,
    id: u32,
    (class_id, class): (ClassId, &Class),
    destination: u16,
    key: Option<u64>,
) -> Submission {
    Submission {
        id: MessageId(id),
        class: class_id,
        destination: DestinationId(destination),
        key: key.map(OrderKey),
        deadline: now + class.deadline,
        from_lost_instance: false,
        resubmitted: false,
        tenant: TenantId(0),
    }
}

/// A send action of the policy.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub message: u32,
    pub endpoint: u32,
    pub timeout: Duration,
}

/// A policy with a clock that only the test advances.
pub struct Harness {
    pub policy: DeliveryPolicy,
    pub now: Time,
    pub settings: Settings,
    /// Attempts sent per message.
    attempts: std::collections::BTreeMap<u32, u16>,
}

impl Harness {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let mut harness = Harness {
            policy: DeliveryPolicy::new(settings.clone(), 1),
            now: Time::ZERO + Duration::from_secs(100),
            settings,
            attempts: std::collections::BTreeMap::default(),
        };
        harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints)));
        harness
    }

    pub fn on_event(&mut self, event: Event) {
        self.policy.on_event(self.now, event);
    }

    pub fn submit(&mut self, id: u32, class: u8, destination: u16, key: Option<u64>) {
        let class = (ClassId(class), &self.settings.classes[usize::from(class)]);
        self.on_event(Event::Submitted(submission(self.now, id, class, destination, key)));
    }

    /// Number of messages with at least one attempt.
    pub fn messages_sent(&self) -> u32 {
        self.attempts.len() as u32
    }

    pub fn next_actions(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.next_actions(self.now, &mut actions);
        for action in &actions {
            if let Action::Send { message, .. } = action {
                *self.attempts.entry(message.0).or_default() += 1;
            }
        }
        actions
    }

    /// Takes the next actions of the policy and returns the sends among them.
    pub fn next_sends(&mut self) -> Vec<Sent> {
        let sent = |action: &Action| match action {
            Action::Send { message, endpoint, timeout } => {
                Some(Sent { message: message.0, endpoint: endpoint.0, timeout: *timeout })
            }
            _ => None,
        };
        self.next_actions().iter().filter_map(sent).collect()
    }

    /// Advances the clock in steps of 5 ms until the policy returns an action other than a timer. Returns the actions
    /// of that step without timers, or none if the limit passes first.
    pub fn run_until_action(&mut self, limit: Duration) -> Vec<Action> {
        let end = self.now + limit;
        while self.now < end {
            self.now = self.now + ms(5);
            let mut actions = self.next_actions();
            actions.retain(|a| !matches!(a, Action::SetTimer { .. }));
            if !actions.is_empty() {
                return actions;
            }
        }
        Vec::new()
    }

    /// Replaces the policy by a new one with these settings, seed and endpoints. Does not report [`Event::Restarted`].
    pub fn replace_policy(&mut self, settings: Settings, seed: u64, endpoints: Vec<Endpoint>) {
        self.policy = DeliveryPolicy::new(settings.clone(), seed);
        self.settings = settings;
        self.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints)));
    }

    pub fn complete_attempt(
        &mut self,
        message: u32,
        endpoint: u32,
        outcome: AttemptOutcome,
        latency: Duration,
    ) {
        self.complete_attempt_with_limit(message, endpoint, outcome, latency, None);
    }

    /// Completes an attempt with a rejection that advertises a rate limit and the part of it that remains.
    pub fn reject_with_limit(&mut self, message: u32, endpoint: u32, remaining: f64, limit: f64) {
        self.complete_attempt_with_limit(
            message,
            endpoint,
            AttemptOutcome::Rejected(None),
            ms(20),
            Some(RateLimitStatus { remaining, limit }),
        );
    }

    fn complete_attempt_with_limit(
        &mut self,
        message: u32,
        endpoint: u32,
        outcome: AttemptOutcome,
        latency: Duration,
        rate_limit: Option<RateLimitStatus>,
    ) {
        let attempt = self.attempts.get(&message).map_or(0, |count| count - 1);
        self.on_event(Event::AttemptCompleted(AttemptCompleted {
            message: MessageId(message),
            endpoint: EndpointId(endpoint),
            attempt,
            outcome,
            latency,
            message_completed: outcome == AttemptOutcome::Ok,
            rate_limit,
        }));
    }
}
