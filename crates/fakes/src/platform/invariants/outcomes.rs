//! Checks of outcomes: one end for each accepted message, in time; nothing sent against its class or behind its end.

use super::super::events::PlatformEvent;
use super::facts::{Facts, Restart, Submission};
use super::{InvariantRules, Violation, ViolationKind, LIMIT_SLACK};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Outcomes so far.
pub(super) struct Outcomes<'a> {
    facts: &'a Facts<'a>,
    rules: InvariantRules,
    /// Messages that were delivered or notified of.
    ended: BTreeSet<&'a str>,
    /// When the first notification of a message came.
    notified: HashMap<&'a str, Duration>,
    /// When the first request that may have run came.
    may_have_run: HashMap<&'a str, Duration>,
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
            may_have_run: HashMap::new(),
            sent: BTreeSet::new(),
            violations: Vec::new(),
        }
    }

    /// Checks one event.
    pub fn on_event(&mut self, at: Duration, event: &'a PlatformEvent) -> Vec<Violation> {
        match event {
            PlatformEvent::RequestReceived { id, .. } => self.on_request(at, id),
            PlatformEvent::NotExecuted { id } => drop(self.may_have_run.remove(id.as_str())),
            PlatformEvent::Delivered { id } | PlatformEvent::Released { id } => self.on_end(at, id),
            PlatformEvent::Notification { id, status, .. } => self.on_notification(at, id, status),
            PlatformEvent::Unanswered { id } => self.violate(ViolationKind::Lost, at, id),
            PlatformEvent::ConnectionDropped { id } => self.violate(ViolationKind::Dropped, at, id),
            _ => {}
        }
        std::mem::take(&mut self.violations)
    }

    fn violate(&mut self, kind: ViolationKind, at: Duration, id: &str) {
        self.violations.push(Violation::new(kind, at, id));
    }

    fn on_request(&mut self, at: Duration, id: &'a str) {
        self.sent.insert(id);
        if self.facts.refused.contains(id) {
            self.violate(ViolationKind::RefusedAndForwarded, at, id);
        }
        // One that comes this soon behind the notification may have been sent ahead of it: they go over connections of their
        // own, and are read by threads of their own.
        if self.notified.get(id).is_some_and(|notified| at > *notified + LIMIT_SLACK) {
            self.violate(ViolationKind::ForwardedAfterEnd, at, id);
        }
        let Some(message) = self.facts.accepted.get(id) else { return };
        let window = if message.unrepeatable { Duration::ZERO } else { self.rules.repeat_window };
        let first = *self.may_have_run.entry(id).or_insert(at);
        if at > first.saturating_add(window) {
            self.violate(ViolationKind::Duplicate, at, id);
        }
    }

    fn on_notification(&mut self, at: Duration, id: &'a str, status: &str) {
        self.notified.entry(id).or_insert(at);
        let submission = self.facts.submissions.get(id).filter(|_| self.facts.accepted.contains_key(id));
        let is_early = submission.is_some_and(|submission| {
            at < submission.at + submission.time_left.mul_f64(self.rules.min_give_up_share)
        });
        if is_early && status == "deferred" && !self.sent.contains(id) {
            self.violate(ViolationKind::EarlyGivenUp, at, id);
        }
        self.on_end(at, id);
    }

    fn on_end(&mut self, at: Duration, id: &'a str) {
        let is_first = self.ended.insert(id);
        if is_first && self.facts.accepted.contains_key(id) && self.is_overdue(at, id) {
            self.violate(ViolationKind::Lost, at, id);
        }
    }

    /// Whether a message's end is due by now, and no restart of its gateway excuses it.
    fn is_overdue(&self, now: Duration, id: &str) -> bool {
        let Some(Submission { at, gateway, time_left }) = self.facts.submissions.get(id) else {
            return false;
        };
        let due = (*at + *time_left).saturating_add(self.rules.outcome_slack);
        let is_excused =
            |restart: &Restart| restart.gateway == *gateway && restart.from <= due && now <= restart.until;
        now > due && !self.facts.restarts.iter().any(is_excused)
    }

    /// The accepted messages that never had an end.
    pub fn without_end(&self) -> Vec<Violation> {
        let lost = self.facts.accepted.keys().filter(|id| !self.ended.contains(**id));
        let violation = |id: &&str| Violation {
            kind: ViolationKind::NoEnd,
            at: None,
            id: (*id).to_owned(),
            overtaken: None,
        };
        lost.map(violation).collect()
    }
}
