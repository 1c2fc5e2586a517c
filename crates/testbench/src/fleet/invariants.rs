//! Online checks of the delivery invariants, driven by the events observed on the sockets, in their order. Does no I/O.

use crate::repeat_rule::RepeatRule;
use cloverstile_load_metrics::WaitingInterval;
use cloverstile_simulator::{ClassSpec, LoadBalanceRun, LoadBalanceViolations};
use std::collections::HashMap;
use std::time::Duration;

/// Tolerance after a message's deadline; a later final outcome violates an invariant.
const OUTCOME_SLACK: Duration = Duration::from_millis(350);
/// A request that arrives within this time after a `Retry-After` was sent may have been sent before the gateway
/// received it, and is no violation.
const RETRY_AFTER_SLACK: Duration = Duration::from_millis(100);
/// A request to a draining endpoint violates an invariant if it arrives later than this after all gateways were
/// notified.
const DRAIN_GRACE: Duration = Duration::from_millis(2050);

/// A submitted message and its observed state.
pub(super) struct TrackedMessage {
    /// Index of its partner.
    pub partner: usize,
    /// Index of its class, in the order of class names.
    pub class: usize,
    /// Index of the gateway that it is submitted to.
    pub gateway: usize,
    /// Time by which it must have its final outcome.
    pub deadline: Duration,
    submitted_at: Duration,
    accepted: bool,
    requests_in_flight: u32,
    completed: bool,
    /// Arrival of the first request that may have taken effect; retries are judged from this time.
    first_possible_effect: Option<Duration>,
    took_effect: bool,
    /// Start of the current interval in which the gateway holds it without a request in flight.
    waiting_since: Option<Duration>,
}

/// The final outcome of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinalOutcome {
    /// The partner processed the message.
    Delivered,
    /// The message was given up and has never taken effect.
    Rejected,
    /// The message was given up and may have taken effect.
    Failed,
}

/// The requests that a `Retry-After` delays: those of one gateway to one partner or, where endpoints have their own
/// limits, to one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct RetryAfterScope {
    gateway: usize,
    partner: usize,
    endpoint: Option<usize>,
}

#[derive(Clone, Copy, Default)]
struct RetryAfter {
    sent_at: Duration,
    until: Duration,
}

struct TrackedClass {
    spec: ClassSpec,
    repeat_rule: RepeatRule,
    deadline: Duration,
}

impl From<ClassSpec> for TrackedClass {
    fn from(spec: ClassSpec) -> TrackedClass {
        let repeat_rule = match spec.effect.as_str() {
            "safe" => RepeatRule::Always,
            "keyed" => RepeatRule::Within(Duration::from_secs_f64(spec.retry_window)),
            _ => RepeatRule::Forbidden,
        };
        let deadline = Duration::from_secs_f64(spec.deadline);
        TrackedClass { spec, repeat_rule, deadline }
    }
}

/// Tracks all messages of a run, checks the invariants and builds the record.
pub(super) struct InvariantTracker {
    classes: Vec<TrackedClass>,
    messages: Vec<TrackedMessage>,
    retry_after: HashMap<RetryAfterScope, RetryAfter>,
    /// Time by which all gateways are notified that an endpoint drains, by index of the endpoint.
    drain_notified_at: HashMap<usize, Duration>,
    /// The record of the run so far, including the violations found.
    pub run: LoadBalanceRun,
}

impl InvariantTracker {
    /// Creates a tracker for messages of these classes, which are referred to by their position.
    pub fn new(classes: impl IntoIterator<Item = ClassSpec>) -> InvariantTracker {
        InvariantTracker {
            classes: classes.into_iter().map(TrackedClass::from).collect(),
            messages: Vec::new(),
            retry_after: HashMap::new(),
            drain_notified_at: HashMap::new(),
            run: LoadBalanceRun::default(),
        }
    }

    /// Registers a message that a client is about to submit to a gateway, and returns its index.
    pub fn on_submission(&mut self, now: Duration, gateway: usize, partner: usize, class: usize) -> usize {
        let tracked_class = &self.classes[class];
        self.run.offered_value += tracked_class.spec.priority_weight;
        self.run.record.messages += 1;
        self.messages.push(TrackedMessage {
            partner,
            class,
            gateway,
            deadline: now + tracked_class.deadline,
            submitted_at: now,
            accepted: false,
            requests_in_flight: 0,
            completed: false,
            first_possible_effect: None,
            took_effect: false,
            waiting_since: None,
        });
        self.messages.len() - 1
    }

    /// The message with this index; `None` if no such message was registered.
    pub fn message(&self, index: usize) -> Option<&TrackedMessage> {
        self.messages.get(index)
    }

    /// The number of messages without a final outcome.
    pub fn incomplete(&self) -> usize {
        self.messages.iter().filter(|message| !message.completed).count()
    }

    /// Starts or ends a message's waiting interval: accepted, no request in flight and no final outcome.
    fn update_waiting(&mut self, now: Duration, index: usize) {
        let message = &mut self.messages[index];
        let waiting = message.accepted && message.requests_in_flight == 0 && !message.completed;
        match (waiting, message.waiting_since) {
            (true, None) => message.waiting_since = Some(now),
            (false, Some(from)) => {
                message.waiting_since = None;
                self.run.record.waiting_intervals.push(WaitingInterval {
                    partner: message.partner,
                    from,
                    until: now,
                });
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Records that the gateway has told the client that it accepted the message.
    pub fn on_accepted(&mut self, now: Duration, index: usize) {
        self.messages[index].accepted = true;
        self.update_waiting(now, index);
    }

    /// Checks a complete request that has reached an endpoint; `own_limit` tells whether the endpoint has its own
    /// limit.
    pub fn on_request(&mut self, now: Duration, index: usize, endpoint: usize, own_limit: bool) {
        let message = &self.messages[index];
        let repeat_rule = self.classes[message.class].repeat_rule;
        let forbidden_repeat = message
            .first_possible_effect
            .is_some_and(|first| !repeat_rule.permits(now.saturating_sub(first)));
        let retry_after = self.retry_after.get(&scope(message, endpoint, own_limit));
        let early_retry =
            retry_after.is_some_and(|wait| now > wait.sent_at + RETRY_AFTER_SLACK && now < wait.until);
        let sent_after_drain =
            self.drain_notified_at.get(&endpoint).is_some_and(|notified| now > *notified + DRAIN_GRACE);
        self.run.violations.repeated_effects += u64::from(forbidden_repeat);
        self.run.violations.early_retries += u64::from(early_retry);
        self.run.violations.sends_after_drain += u64::from(sent_after_drain);
        self.messages[index].requests_in_flight += 1;
        self.update_waiting(now, index);
    }

    /// Records the result of a request at the endpoint: whether the gateway must assume that it took effect, and
    /// whether it did.
    pub fn on_processed(&mut self, now: Duration, index: usize, may_have_effect: bool, took_effect: bool) {
        let message = &mut self.messages[index];
        if may_have_effect {
            message.first_possible_effect.get_or_insert(now);
        }
        message.took_effect |= took_effect;
    }

    /// Records that a request is no longer in flight: its response was sent, or its connection closed.
    pub fn on_request_completed(&mut self, now: Duration, index: usize) {
        let message = &mut self.messages[index];
        message.requests_in_flight = message.requests_in_flight.saturating_sub(1);
        self.update_waiting(now, index);
    }

    /// Records a `Retry-After` sent to the gateway of a message. It replaces an earlier one only if it ends later.
    pub fn on_retry_after(
        &mut self,
        now: Duration,
        index: usize,
        endpoint: usize,
        own_limit: bool,
        wait: Duration,
    ) {
        let scope = scope(&self.messages[index], endpoint, own_limit);
        let latest = self.retry_after.entry(scope).or_default();
        if now + wait > latest.until {
            *latest = RetryAfter { sent_at: now, until: now + wait };
        }
    }

    /// Records the time by which every gateway is notified that an endpoint drains.
    pub fn on_drain(&mut self, notified_by: Duration, endpoint: usize) {
        self.drain_notified_at.insert(endpoint, notified_by);
    }

    /// Discards the `Retry-After` times of a killed gateway, since the process that replaces it need not know them.
    pub fn on_gateway_killed(&mut self, gateway: usize) {
        self.retry_after.retain(|scope, _| scope.gateway != gateway);
    }

    /// Records a final outcome reported to the client or the platform. Only the first one counts.
    pub fn on_final_outcome(&mut self, now: Duration, index: usize, outcome: FinalOutcome) {
        let message = &mut self.messages[index];
        if message.completed {
            return;
        }
        message.completed = true;
        if now > message.deadline + OUTCOME_SLACK {
            self.run.violations.missing_or_late_outcomes += 1;
        }
        match outcome {
            FinalOutcome::Delivered => {
                let age = (now - message.submitted_at).as_secs_f64();
                self.run.delivered_value += self.classes[message.class].spec.value_at(age);
                self.run.outcome_counts[0] += 1;
            }
            FinalOutcome::Rejected => {
                // A rejection guarantees that the message has not taken effect.
                self.run.violations.repeated_effects += u64::from(message.took_effect);
                self.run.outcome_counts[1] += 1;
            }
            FinalOutcome::Failed => self.run.outcome_counts[2] += 1,
        }
        self.update_waiting(now, index);
    }

    /// Ends the run and returns its record. Each message without a final outcome is a violation.
    pub fn finish(mut self, now: Duration) -> LoadBalanceRun {
        for index in 0..self.messages.len() {
            if !self.messages[index].completed {
                self.run.violations.missing_or_late_outcomes += 1;
                self.messages[index].completed = true;
                self.update_waiting(now, index);
            }
        }
        self.run
    }

    /// The violations found so far, to add those that the caller detects.
    pub fn violations_mut(&mut self) -> &mut LoadBalanceViolations {
        &mut self.run.violations
    }
}

fn scope(message: &TrackedMessage, endpoint: usize, own_limit: bool) -> RetryAfterScope {
    RetryAfterScope {
        gateway: message.gateway,
        partner: message.partner,
        endpoint: own_limit.then_some(endpoint),
    }
}

#[cfg(test)]
mod tests;
