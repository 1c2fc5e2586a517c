//! Checks of order: messages of a key one at a time, in the order accepted, with a rest behind an attempt that may still run.

use super::super::events::PlatformEvent;
use super::facts::Facts;
use super::{Violation, ViolationKind, LIMIT_SLACK};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a key rests.
struct KeyRest<'a> {
    until: Duration,
    /// The message whose attempt may still run.
    behind: &'a str,
}

/// The keys so far.
pub(super) struct KeyOrder<'a> {
    facts: &'a Facts<'a>,
    settle_time: Duration,
    /// Messages that were delivered, released, or whose notification was answered.
    over: BTreeSet<&'a str>,
    /// Messages with a request that has had neither a response nor an end.
    open_requests: BTreeSet<&'a str>,
    rests: BTreeMap<u64, KeyRest<'a>>,
}

impl<'a> KeyOrder<'a> {
    pub fn new(facts: &'a Facts<'a>, settle_time: Duration) -> Self {
        let (over, open_requests, rests) = (BTreeSet::new(), BTreeSet::new(), BTreeMap::new());
        KeyOrder { facts, settle_time, over, open_requests, rests }
    }

    /// Checks one event.
    pub fn on_event(&mut self, at: Duration, event: &'a PlatformEvent) -> Option<Violation> {
        match event {
            PlatformEvent::RequestReceived { id, .. } => return self.on_request(at, id),
            PlatformEvent::Delivered { id } | PlatformEvent::Released { id } => {
                self.over.insert(id);
                self.open_requests.remove(id.as_str());
            }
            PlatformEvent::NotificationAnswered { id } => drop(self.over.insert(id)),
            PlatformEvent::NotExecuted { id }
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
            self.rests.insert(key, KeyRest { until: at + self.settle_time, behind: id });
        }
    }

    fn on_request(&mut self, at: Duration, id: &'a str) -> Option<Violation> {
        let key = self.facts.key_of(id)?;
        let of_key = self.facts.key_order.get(&key).map_or(&[][..], Vec::as_slice);
        let mut earlier = of_key.iter().take_while(|other| **other != id);
        let unfinished = earlier.find(|other| !self.over.contains(**other));
        let running = of_key.iter().find(|other| **other != id && self.open_requests.contains(**other));
        let is_resting = |rest: &&KeyRest| rest.behind != id && at + LIMIT_SLACK < rest.until;
        let resting = self.rests.get(&key).filter(is_resting).map(|rest| rest.behind);
        self.open_requests.insert(id);
        let overtaken = unfinished.or(running).copied().or(resting)?;
        let overtaken = Some(overtaken.to_owned());
        Some(Violation { overtaken, ..Violation::new(ViolationKind::OrderBroken, at, id) })
    }
}
