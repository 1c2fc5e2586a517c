//! Checks the order of messages: those of an order key are sent one at a time in the order in which they were accepted,
//! and other messages of the key wait for the settle time after an attempt that may still be running.

use super::super::events::PlatformEvent;
use super::facts::Facts;
use super::{Violation, ViolationKind, LIMIT_SLACK};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The period after an attempt that may still be running, in which no other message of its order key may be sent.
struct SettlePeriod<'a> {
    until: Duration,
    /// Id of the message whose attempt may still be running.
    message: &'a str,
}

/// State of the order keys after the events so far.
pub(super) struct KeyOrder<'a> {
    facts: &'a Facts<'a>,
    settle_time: Duration,
    /// Messages that were delivered or released, or whose notification was acknowledged.
    settled: BTreeSet<&'a str>,
    /// Messages with a request that has neither been responded to nor lost its connection.
    open_requests: BTreeSet<&'a str>,
    /// The last settle period of each order key.
    settle_periods: BTreeMap<u64, SettlePeriod<'a>>,
}

impl<'a> KeyOrder<'a> {
    pub fn new(facts: &'a Facts<'a>, settle_time: Duration) -> Self {
        let (settled, open_requests, settle_periods) = (BTreeSet::new(), BTreeSet::new(), BTreeMap::new());
        KeyOrder { facts, settle_time, settled, open_requests, settle_periods }
    }

    /// Applies one event; returns the violation that it shows, if any.
    pub fn on_event(&mut self, at: Duration, event: &'a PlatformEvent) -> Option<Violation> {
        match event {
            PlatformEvent::RequestReceived { id, .. } => return self.on_request(at, id),
            PlatformEvent::Delivered { id } | PlatformEvent::Released { id } => {
                self.settled.insert(id);
                self.open_requests.remove(id.as_str());
            }
            PlatformEvent::NotificationAnswered { id } => drop(self.settled.insert(id)),
            PlatformEvent::NotExecuted { id }
            | PlatformEvent::AttemptsExhausted { id }
            | PlatformEvent::Failed { id }
            | PlatformEvent::LateResponse { id } => drop(self.open_requests.remove(id.as_str())),
            PlatformEvent::AttemptEnded { id } => self.on_attempt_ended(at, id),
            _ => {}
        }
        None
    }

    fn on_attempt_ended(&mut self, at: Duration, id: &'a str) {
        self.open_requests.remove(id);
        if let Some(key) = self.facts.key_of(id) {
            self.settle_periods.insert(key, SettlePeriod { until: at + self.settle_time, message: id });
        }
    }

    fn on_request(&mut self, at: Duration, id: &'a str) -> Option<Violation> {
        let key = self.facts.key_of(id)?;
        let key_messages = self.facts.key_order.get(&key).map_or(&[][..], Vec::as_slice);
        let mut earlier = key_messages.iter().take_while(|other| **other != id);
        let unfinished = earlier.find(|other| !self.settled.contains(**other));
        let running = key_messages.iter().find(|other| **other != id && self.open_requests.contains(**other));
        let is_settling = |period: &&SettlePeriod| period.message != id && at + LIMIT_SLACK < period.until;
        let settling = self.settle_periods.get(&key).filter(is_settling).map(|period| period.message);
        self.open_requests.insert(id);
        let overtaken = unfinished.or(running).copied().or(settling)?;
        let overtaken = Some(overtaken.to_owned());
        Some(Violation { overtaken, ..Violation::new(ViolationKind::OrderBroken, at, id) })
    }
}
