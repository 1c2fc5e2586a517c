//! Online checks of the delivery invariants, fed with what passed on sockets in its order. Free of I/O.

use crate::repeat_rule::RepeatRule;
use cloverstile_load_metrics::WaitingInterval;
use cloverstile_simulator::{ClassSpec, LoadBalanceRun, LoadBalanceViolations};
use std::collections::HashMap;
use std::time::Duration;

/// A final outcome this long after a message's deadline is late.
const OUTCOME_SLACK: Duration = Duration::from_millis(350);
/// Requests that come this soon after a `Retry-After` was written may have crossed it.
const RETRY_AFTER_SLACK: Duration = Duration::from_millis(100);
/// A gateway that was told that an endpoint drains stops sending to it within this time.
const DRAIN_GRACE: Duration = Duration::from_millis(2050);

/// A message, and what was seen of it.
pub(super) struct TrackedMessage {
    /// Position of its partner.
    pub partner: usize,
    /// Position of its class.
    pub class: usize,
    /// Number of the gateway that it is submitted to.
    pub gateway: usize,
    /// When it must have its final outcome.
    pub deadline: Duration,
    submitted_at: Duration,
    accepted: bool,
    requests_in_flight: u32,
    completed: bool,
    /// When the first request came that may have run.
    first_possible_run: Option<Duration>,
    took_effect: bool,
    /// Since when it waits in the gateway for a request.
    waiting_since: Option<Duration>,
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FinalOutcome {
    /// Delivered.
    Delivered,
    /// Rejected: it never took effect.
    Rejected,
    /// Failed: it may have taken effect.
    Failed,
}

/// What a `Retry-After` binds: requests of one gateway to one partner, or to one of its endpoints that has a limit of
/// its own.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct RetryAfterScope {
    gateway: usize,
    partner: usize,
    endpoint: Option<usize>,
}

#[derive(Clone, Copy, Default)]
struct RetryAfter {
    written_at: Duration,
    until: Duration,
}

struct ClassContract {
    spec: ClassSpec,
    repeats: RepeatRule,
    deadline: Duration,
}

impl From<ClassSpec> for ClassContract {
    fn from(spec: ClassSpec) -> ClassContract {
        let repeats = match spec.effect.as_str() {
            "safe" => RepeatRule::Always,
            "keyed" => RepeatRule::Within(Duration::from_secs_f64(spec.retry_window)),
            _ => RepeatRule::Forbidden,
        };
        let deadline = Duration::from_secs_f64(spec.deadline);
        ClassContract { spec, repeats, deadline }
    }
}

/// All messages of a run, and the violations found.
pub(super) struct InvariantTracker {
    classes: Vec<ClassContract>,
    messages: Vec<TrackedMessage>,
    retry_after: HashMap<RetryAfterScope, RetryAfter>,
    /// When all gateways had been told that an endpoint drains.
    draining_since: HashMap<usize, Duration>,
    /// The record of the run so far.
    pub run: LoadBalanceRun,
}

impl InvariantTracker {
    /// A tracker of messages of these classes.
    pub fn new(classes: impl IntoIterator<Item = ClassSpec>) -> InvariantTracker {
        InvariantTracker {
            classes: classes.into_iter().map(ClassContract::from).collect(),
            messages: Vec::new(),
            retry_after: HashMap::new(),
            draining_since: HashMap::new(),
            run: LoadBalanceRun::default(),
        }
    }

    /// A client has a message for a gateway; returns the message's number.
    pub fn on_submission(&mut self, now: Duration, gateway: usize, partner: usize, class: usize) -> usize {
        let contract = &self.classes[class];
        self.run.offered_value += contract.spec.priority_weight;
        self.run.record.messages += 1;
        self.messages.push(TrackedMessage {
            partner,
            class,
            gateway,
            deadline: now + contract.deadline,
            submitted_at: now,
            accepted: false,
            requests_in_flight: 0,
            completed: false,
            first_possible_run: None,
            took_effect: false,
            waiting_since: None,
        });
        self.messages.len() - 1
    }

    /// A message by its number.
    pub fn message(&self, number: usize) -> Option<&TrackedMessage> {
        self.messages.get(number)
    }

    /// Number of messages without a final outcome.
    pub fn incomplete(&self) -> usize {
        self.messages.iter().filter(|message| !message.completed).count()
    }

    fn update_waiting(&mut self, now: Duration, number: usize) {
        let message = &mut self.messages[number];
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

    /// The client was told that the gateway holds the message.
    pub fn on_accepted(&mut self, now: Duration, number: usize) {
        self.messages[number].accepted = true;
        self.update_waiting(now, number);
    }

    /// A whole request has reached an endpoint; `own_limit` says that the endpoint has a limit of its own.
    pub fn on_request(&mut self, now: Duration, number: usize, endpoint: usize, own_limit: bool) {
        let message = &self.messages[number];
        let repeats = self.classes[message.class].repeats;
        let forbidden =
            message.first_possible_run.is_some_and(|first| !repeats.permits(now.saturating_sub(first)));
        let retry_after = self.retry_after.get(&scope(message, endpoint, own_limit));
        let early =
            retry_after.is_some_and(|wait| now > wait.written_at + RETRY_AFTER_SLACK && now < wait.until);
        let drained = self.draining_since.get(&endpoint).is_some_and(|since| now > *since + DRAIN_GRACE);
        self.run.violations.repeated_effects += u64::from(forbidden);
        self.run.violations.early_retries += u64::from(early);
        self.run.violations.sends_after_drain += u64::from(drained);
        self.messages[number].requests_in_flight += 1;
        self.update_waiting(now, number);
    }

    /// What a request came to: whether it may have run, and whether it took effect.
    pub fn on_processed(&mut self, now: Duration, number: usize, may_have_run: bool, took_effect: bool) {
        let message = &mut self.messages[number];
        if may_have_run {
            message.first_possible_run.get_or_insert(now);
        }
        message.took_effect |= took_effect;
    }

    /// A request's response was written, or its connection closed.
    pub fn on_request_completed(&mut self, now: Duration, number: usize) {
        let message = &mut self.messages[number];
        message.requests_in_flight = message.requests_in_flight.saturating_sub(1);
        self.update_waiting(now, number);
    }

    /// A `Retry-After` was written to the gateway that holds a message.
    pub fn on_retry_after(
        &mut self,
        now: Duration,
        number: usize,
        endpoint: usize,
        own_limit: bool,
        wait: Duration,
    ) {
        let scope = scope(&self.messages[number], endpoint, own_limit);
        let longest = self.retry_after.entry(scope).or_default();
        if now + wait > longest.until {
            *longest = RetryAfter { written_at: now, until: now + wait };
        }
    }

    /// By then every gateway has been told that an endpoint drains.
    pub fn on_drain(&mut self, told_by: Duration, endpoint: usize) {
        self.draining_since.insert(endpoint, told_by);
    }

    /// A gateway was killed: its successor need not know of any `Retry-After`.
    pub fn on_gateway_killed(&mut self, gateway: usize) {
        self.retry_after.retain(|scope, _| scope.gateway != gateway);
    }

    /// The final outcome, as the client or the platform was told. The first one counts.
    pub fn on_final_outcome(&mut self, now: Duration, number: usize, outcome: FinalOutcome) {
        let message = &mut self.messages[number];
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
                // A rejection promises that the message never ran.
                self.run.violations.repeated_effects += u64::from(message.took_effect);
                self.run.outcome_counts[1] += 1;
            }
            FinalOutcome::Failed => self.run.outcome_counts[2] += 1,
        }
        self.update_waiting(now, number);
    }

    /// Ends the run: messages without a final outcome are lost.
    pub fn finish(mut self, now: Duration) -> LoadBalanceRun {
        for number in 0..self.messages.len() {
            if !self.messages[number].completed {
                self.run.violations.missing_or_late_outcomes += 1;
                self.messages[number].completed = true;
                self.update_waiting(now, number);
            }
        }
        self.run
    }

    /// The violations found so far.
    pub fn audit(&mut self) -> &mut LoadBalanceViolations {
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
