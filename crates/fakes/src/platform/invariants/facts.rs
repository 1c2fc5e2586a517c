//! What clients and processes met over a whole run: known ahead of the checks, as a request may be seen before its client has
//! read the reply.

use super::super::events::{PlatformEvent, TimedEvent};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// What is known of an accepted message.
pub(super) struct AcceptedMessage {
    /// Order key, 0 for none.
    pub key: u64,
    pub unrepeatable: bool,
}

/// When and where a command was written.
pub(super) struct Submission {
    pub at: Duration,
    pub gateway: usize,
    pub time_left: Duration,
}

/// A time in which a gateway did not run, with what the platform allows behind it.
pub(super) struct Restart {
    pub gateway: usize,
    pub from: Duration,
    /// When its next process was ready.
    pub ready: Duration,
    /// Until when ends that were due meanwhile may still come.
    pub until: Duration,
}

/// Facts of a run.
#[derive(Default)]
pub(super) struct Facts<'a> {
    pub accepted: BTreeMap<&'a str, AcceptedMessage>,
    pub submissions: HashMap<&'a str, Submission>,
    pub refused: BTreeSet<&'a str>,
    pub restarts: Vec<Restart>,
    /// Accepted messages of each order key, in order.
    pub key_order: BTreeMap<u64, Vec<&'a str>>,
}

impl<'a> Facts<'a> {
    /// Collects them from events in the order of their times.
    pub fn collect(events: &[&'a TimedEvent], restart_grace: Duration) -> Self {
        let mut facts = Facts::default();
        for (at, event) in events {
            facts.on_event(*at, event, restart_grace);
        }
        facts
    }

    fn on_event(&mut self, at: Duration, event: &'a PlatformEvent, restart_grace: Duration) {
        match event {
            PlatformEvent::Accepted { id, key, unrepeatable } => {
                self.accepted.insert(id, AcceptedMessage { key: *key, unrepeatable: *unrepeatable });
                if *key != 0 {
                    self.key_order.entry(*key).or_default().push(id);
                }
            }
            PlatformEvent::Submitted { id, gateway, time_left } => {
                let submission = Submission { at, gateway: *gateway, time_left: *time_left };
                // A command that was not read is written again: its time counts from then on.
                self.submissions.insert(id, submission);
            }
            PlatformEvent::Refused { id } => drop(self.refused.insert(id)),
            PlatformEvent::GatewayDown { gateway } => self.on_gateway_down(at, *gateway),
            PlatformEvent::GatewayReady { gateway } => self.on_gateway_ready(at, *gateway, restart_grace),
            _ => {}
        }
    }

    fn on_gateway_down(&mut self, at: Duration, gateway: usize) {
        let is_down = |restart: &Restart| restart.gateway == gateway && restart.ready == Duration::MAX;
        if !self.restarts.iter().any(is_down) {
            let (ready, until) = (Duration::MAX, Duration::MAX);
            self.restarts.push(Restart { gateway, from: at, ready, until });
        }
    }

    fn on_gateway_ready(&mut self, at: Duration, gateway: usize, grace: Duration) {
        for restart in &mut self.restarts {
            if restart.gateway == gateway && restart.ready == Duration::MAX {
                restart.ready = at;
                restart.until = at.saturating_add(grace);
            }
        }
    }

    /// The gateway that a message was submitted to.
    pub fn gateway_of(&self, id: &str) -> Option<usize> {
        self.submissions.get(id).map(|submission| submission.gateway)
    }

    /// The order key of an accepted message that has one.
    pub fn key_of(&self, id: &str) -> Option<u64> {
        self.accepted.get(id).map(|message| message.key).filter(|key| *key != 0)
    }
}
