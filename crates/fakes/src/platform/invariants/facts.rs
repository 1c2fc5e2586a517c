//! Facts about a whole run that the checks need in advance: submissions, replies and restarts. A request can be
//! received before its client has read the reply to the submission.

use super::super::events::{PlatformEvent, TimedEvent};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// An accepted message.
pub(super) struct AcceptedMessage {
    /// Order key, 0 for none.
    pub key: u64,
    /// Whether it must not be sent again once it may have been processed.
    pub unrepeatable: bool,
}

/// The last command that submitted a message.
pub(super) struct Submission {
    /// When the client had written the command.
    pub at: Duration,
    pub gateway: usize,
    /// Time from then until the deadline of the message.
    pub time_left: Duration,
}

/// A period in which a gateway did not run, and the grace period after it.
pub(super) struct Restart {
    pub gateway: usize,
    /// When the process ended or was told to end.
    pub from: Duration,
    /// When the next process was ready; `Duration::MAX` while none is.
    pub ready: Duration,
    /// Until when final outcomes that were due meanwhile may still arrive.
    pub grace_end: Duration,
}

/// What clients and gateway processes did in a run.
#[derive(Default)]
pub(super) struct Facts<'a> {
    /// Accepted messages by id.
    pub accepted: BTreeMap<&'a str, AcceptedMessage>,
    /// Last submission of each message, by id.
    pub submissions: HashMap<&'a str, Submission>,
    /// Ids of the messages whose clients read that they are not accepted.
    pub refused: BTreeSet<&'a str>,
    pub restarts: Vec<Restart>,
    /// Ids of the accepted messages of each order key, in the order in which the clients read the replies.
    pub key_order: BTreeMap<u64, Vec<&'a str>>,
}

impl<'a> Facts<'a> {
    /// Collects the facts from events, which must be in the order of their times.
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
                // A client resubmits if its command was not read. The deadline then counts from the last submission.
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
            let (ready, grace_end) = (Duration::MAX, Duration::MAX);
            self.restarts.push(Restart { gateway, from: at, ready, grace_end });
        }
    }

    fn on_gateway_ready(&mut self, at: Duration, gateway: usize, grace: Duration) {
        for restart in &mut self.restarts {
            if restart.gateway == gateway && restart.ready == Duration::MAX {
                restart.ready = at;
                restart.grace_end = at.saturating_add(grace);
            }
        }
    }

    /// Number of the gateway that a message was last submitted to.
    pub fn gateway_of(&self, id: &str) -> Option<usize> {
        self.submissions.get(id).map(|submission| submission.gateway)
    }

    /// The order key of an accepted message that has one.
    pub fn key_of(&self, id: &str) -> Option<u64> {
        self.accepted.get(id).map(|message| message.key).filter(|key| *key != 0)
    }
}
