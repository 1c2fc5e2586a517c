//! The invariants of delivery, checked on what passed on the sockets.

use super::events::{PlatformEvent, TimedEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What is known of an accepted message.
struct AcceptedMessage {
    key: u64,
    unrepeatable: bool,
}

struct InvariantChecker<'a> {
    accepted: BTreeMap<&'a str, AcceptedMessage>,
    /// Accepted messages of each order key, in order.
    key_order: BTreeMap<u64, Vec<&'a str>>,
    /// Messages that were delivered or notified of.
    completed: BTreeSet<&'a str>,
    may_have_run: BTreeSet<&'a str>,
    violations: Vec<String>,
}

/// Violations of the delivery rules: each accepted message is delivered or notified of, one without idempotency key is
/// never sent again after it may have run, and messages of a key are sent in the order of their acceptance.
pub fn check_invariants(events: &[TimedEvent]) -> Vec<String> {
    let mut checker = InvariantChecker {
        accepted: BTreeMap::new(),
        key_order: BTreeMap::new(),
        completed: BTreeSet::new(),
        may_have_run: BTreeSet::new(),
        violations: Vec::new(),
    };
    // A request may be seen before its client has read that the message is accepted.
    for (_, event) in events {
        checker.on_accepted(event);
    }
    for (at, event) in events {
        checker.on_event(*at, event);
    }
    checker.into_violations()
}

impl<'a> InvariantChecker<'a> {
    fn on_accepted(&mut self, event: &'a PlatformEvent) {
        if let PlatformEvent::Accepted { id, key, unrepeatable } = event {
            self.accepted.insert(id, AcceptedMessage { key: *key, unrepeatable: *unrepeatable });
            if *key != 0 {
                self.key_order.entry(*key).or_default().push(id);
            }
        }
    }

    fn on_event(&mut self, at: Duration, event: &'a PlatformEvent) {
        match event {
            PlatformEvent::RequestReceived { id, .. } => self.on_request(at, id),
            PlatformEvent::NotExecuted { id } => {
                self.may_have_run.remove(id.as_str());
            }
            PlatformEvent::Delivered { id } | PlatformEvent::Notification { id, .. } => {
                self.completed.insert(id);
            }
            PlatformEvent::Accepted { .. } | PlatformEvent::DiscoveryRequested { .. } => {}
        }
    }

    fn on_request(&mut self, at: Duration, id: &'a str) {
        let Some(message) = self.accepted.get(id) else { return };
        if message.unrepeatable && self.may_have_run.contains(id) {
            self.violations.push(format!("{at:?}: {id} was sent again, which may have run"));
        }
        self.may_have_run.insert(id);
        let order = self.key_order.get(&message.key).map_or(&[][..], Vec::as_slice);
        let mut earlier = order.iter().take_while(|other| **other != id);
        if let Some(before) = earlier.find(|other| !self.completed.contains(**other)) {
            self.violations.push(format!("{at:?}: {id} was sent before {before} of its key was over"));
        }
    }

    fn into_violations(mut self) -> Vec<String> {
        let lost = self.accepted.keys().filter(|id| !self.completed.contains(**id));
        self.violations.extend(lost.map(|id| format!("{id} was taken on and is lost")));
        self.violations
    }
}
