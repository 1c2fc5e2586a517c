//! Checks the final outcomes: each accepted message gets one in time, and no message is sent after it or more often
//! than its class allows.

use super::super::events::PlatformEvent;
use super::facts::{Facts, Restart, Submission};
use super::{InvariantRules, Violation, ViolationKind, LIMIT_SLACK};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Time within which a running gateway reads a response: the longest pause of a process, and the slack of the protocol.
const READING_TIME: Duration = Duration::from_millis(200);
/// Time within which it has also stored what follows from the response, on a disk that fails for a while.
const STORING_TIME: Duration = Duration::from_millis(1700);
/// How long a gateway whose agent answers late may hold a notification back.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_millis(250);

/// State of the messages after the events so far.
pub(super) struct Outcomes<'a> {
    facts: &'a Facts<'a>,
    rules: InvariantRules,
    /// Messages that were delivered or notified of.
    ended: BTreeSet<&'a str>,
    /// When the first notification of each message arrived.
    notified: HashMap<&'a str, Duration>,
    /// When the first response was written that ends each message or its attempts (status 410 or 504).
    ended_by_response: HashMap<&'a str, Duration>,
    /// When the first response with status 200 was written for each message.
    delivered: HashMap<&'a str, Duration>,
    /// When the first request of each message that may have been executed arrived.
    first_possible_execution: HashMap<&'a str, Duration>,
    /// Messages of which a request arrived.
    sent: BTreeSet<&'a str>,
    violations: Vec<Violation>,
}

impl<'a> Outcomes<'a> {
    pub fn new(facts: &'a Facts<'a>, rules: InvariantRules) -> Self {
        Outcomes {
            facts,
            rules,
            ended: BTreeSet::new(),
            notified: HashMap::new(),
            ended_by_response: HashMap::new(),
            delivered: HashMap::new(),
            first_possible_execution: HashMap::new(),
            sent: BTreeSet::new(),
            violations: Vec::new(),
        }
    }

    /// Applies one event; returns the violations that it shows.
    pub fn on_event(&mut self, at: Duration, event: &'a PlatformEvent) -> Vec<Violation> {
        match event {
            PlatformEvent::RequestReceived { id, .. } => self.on_request(at, id),
            PlatformEvent::NotExecuted { id } => drop(self.first_possible_execution.remove(id.as_str())),
            PlatformEvent::Delivered { id } => {
                self.delivered.entry(id).or_insert(at);
                self.on_outcome(at, id);
            }
            PlatformEvent::Released { id } => {
                self.ended_by_response.entry(id).or_insert(at);
                self.on_outcome(at, id);
            }
            PlatformEvent::AttemptsExhausted { id } => {
                self.first_possible_execution.remove(id.as_str());
                self.ended_by_response.entry(id).or_insert(at);
            }
            PlatformEvent::Notification { id, status, .. } => self.on_notification(at, id, status),
            PlatformEvent::Unanswered { id } => self.add_violation(ViolationKind::Lost, at, id),
            PlatformEvent::ConnectionDropped { id } => self.add_violation(ViolationKind::Dropped, at, id),
            _ => {}
        }
        std::mem::take(&mut self.violations)
    }

    fn add_violation(&mut self, kind: ViolationKind, at: Duration, id: &str) {
        self.violations.push(Violation::new(kind, at, id));
    }

    fn on_request(&mut self, at: Duration, id: &'a str) {
        self.sent.insert(id);
        if self.facts.refused.contains(id) {
            self.add_violation(ViolationKind::RefusedAndForwarded, at, id);
        }
        // A request that arrives this soon after the notification may have been sent before it: the two use separate
        // connections, which separate threads read.
        if self.notified.get(id).is_some_and(|notified| at > *notified + LIMIT_SLACK) {
            self.add_violation(ViolationKind::ForwardedAfterEnd, at, id);
        }
        let ended = self.ended_by_response.get(id).copied();
        if ended.is_some_and(|ended| at > ended + LIMIT_SLACK && !self.is_forgotten(id, ended)) {
            self.add_violation(ViolationKind::ForwardedAfterEnd, at, id);
        }
        let Some(message) = self.facts.accepted.get(id) else { return };
        let window = if message.unrepeatable { Duration::ZERO } else { self.rules.repeat_window };
        let first = *self.first_possible_execution.entry(id).or_insert(at);
        if at > first.saturating_add(window) {
            self.add_violation(ViolationKind::Duplicate, at, id);
        }
    }

    fn on_notification(&mut self, at: Duration, id: &'a str, status: &str) {
        let is_repeated = self.notified.contains_key(id);
        self.notified.entry(id).or_insert(at);
        let submission = self.facts.submissions.get(id).filter(|_| self.facts.accepted.contains_key(id));
        let is_early = submission.is_some_and(|submission| {
            at < submission.at + submission.time_left.mul_f64(self.rules.min_give_up_share)
        });
        let delivered = self.delivered.get(id).copied().filter(|_| status == "undeliverable");
        let is_unrepeatable = self.facts.accepted.get(id).is_some_and(|message| message.unrepeatable);
        let was_read = |delivered: Duration| {
            at > delivered + READING_TIME + MAX_NOTIFICATION_DELAY && !self.is_forgotten(id, delivered)
        };
        // A repeated notification tells nothing new.
        if is_unrepeatable && !is_repeated && delivered.is_some_and(was_read) {
            self.add_violation(ViolationKind::DeliveredAndFailed, at, id);
        }
        if is_early && status == "deferred" && !self.sent.contains(id) {
            self.add_violation(ViolationKind::EarlyGivenUp, at, id);
        }
        self.on_outcome(at, id);
    }

    fn on_outcome(&mut self, at: Duration, id: &'a str) {
        let is_first = self.ended.insert(id);
        if is_first && self.facts.accepted.contains_key(id) && self.is_overdue(at, id) {
            self.add_violation(ViolationKind::Lost, at, id);
        }
    }

    /// Whether the gateway of a message may have ended before it had stored a response written at `written`.
    fn is_forgotten(&self, id: &str, written: Duration) -> bool {
        let Some(gateway) = self.facts.gateway_of(id) else { return true };
        let is_close = |restart: &Restart| {
            restart.gateway == gateway && restart.ready > written && restart.from <= written + STORING_TIME
        };
        self.facts.restarts.iter().any(is_close)
    }

    /// Whether the final outcome of a message is late and no restart of its gateway excuses that.
    fn is_overdue(&self, now: Duration, id: &str) -> bool {
        let Some(Submission { at, gateway, time_left }) = self.facts.submissions.get(id) else {
            return false;
        };
        let due = (*at + *time_left).saturating_add(self.rules.outcome_slack);
        let is_excused = |restart: &Restart| {
            restart.gateway == *gateway && restart.from <= due && now <= restart.grace_end
        };
        now > due && !self.facts.restarts.iter().any(is_excused)
    }

    /// Violations for the accepted messages that never got a final outcome.
    pub fn without_outcome(&self) -> Vec<Violation> {
        let missing = self.facts.accepted.keys().filter(|id| !self.ended.contains(**id));
        let violation = |id: &&str| Violation {
            kind: ViolationKind::NoEnd,
            at: None,
            id: (*id).to_owned(),
            overtaken: None,
        };
        missing.map(violation).collect()
    }
}
