//! Messages, and the requests in flight that carry them.

use super::ids::{RequestId, RouteId};
use crate::interface::{Class, Decay, EndpointId, MessageId, RecoveredAttempts, Submission, Time, ZoneId};
use std::time::Duration;

/// The first attempt of a message that may have run: it fixes retry window and group.
#[derive(Clone, Copy)]
pub struct FirstSend {
    pub sent_at: Time,
    /// Where it was sent, if that is known.
    pub zone: Option<ZoneId>,
}

/// A message between its submission and its end (and the end of its last attempt).
pub struct Message {
    pub submission: Submission,
    pub submitted_at: Time,
    /// Attempts begun.
    pub attempts: u32,
    /// The request that carries it now.
    pub in_flight: Option<RequestId>,
    pub first_may_have_run: Option<FirstSend>,
    /// End of the backoff after its last attempt.
    pub not_before: Time,
    /// Its final answer was given, or nobody wants it any more.
    pub completed: bool,
    /// Beyond its tenant's quota.
    pub over_quota: bool,
    /// Accepted by an earlier process, which never tried it.
    pub recovered_untried: bool,
}

impl Message {
    /// A message submitted at `submitted_at` and accepted now, not tried yet.
    pub fn new(submission: Submission, submitted_at: Time, now: Time) -> Self {
        Message {
            submission,
            submitted_at,
            attempts: 0,
            in_flight: None,
            first_may_have_run: None,
            not_before: now,
            completed: false,
            over_quota: false,
            recovered_untried: false,
        }
    }

    /// Takes over what an earlier process recorded of it.
    pub fn restore(&mut self, past: RecoveredAttempts) {
        self.submitted_at = past.submitted_at;
        self.attempts = past.attempts;
        self.first_may_have_run = past.may_have_run.map(|(sent_at, zone)| FirstSend { sent_at, zone });
        self.recovered_untried = past.attempts == 0;
    }

    /// Whether an earlier process accepted it and never tried it, nor did this one.
    pub fn is_recovered_untried(&self) -> bool {
        self.recovered_untried && self.attempts == 0
    }
}

/// Share of its full value that a message of this age (seconds) still has, by the decay of the settings.
pub fn remaining_value(class: &Class, decay: Decay, age: f64) -> f64 {
    let objective = class.latency_objective.as_secs_f64().max(0.001);
    let deadline = class.deadline.as_secs_f64();
    match decay {
        _ if age <= objective => 1.0,
        Decay::Linear => {
            1.0 - (1.0 - class.late_value_ratio) * (age - objective) / (deadline - objective).max(0.001)
        }
        Decay::Halving => ((objective - age) / objective).exp2().max(class.late_value_ratio),
    }
}

/// A message selected to be sent next.
pub struct SelectedMessage {
    pub id: MessageId,
    pub priority: f64,
}

/// A request in flight: one slot and one connection, however many messages it carries.
pub struct InFlightRequest {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    pub sent_at: Time,
    pub messages: Vec<MessageId>,
    /// Messages whose attempt has not completed.
    pub pending_outcomes: usize,
    /// How long the connection that it was sent on had been idle; none on a new or busy one.
    pub connection_idle: Option<Duration>,
    /// Silent for longer than the stall time-out.
    pub stalled: bool,
    /// Abandoned to free its slot; its outcome is still to come.
    pub abandoned: bool,
    /// Sent to learn whether an outage is over.
    pub is_probe: bool,
}

impl InFlightRequest {
    /// A request sent now on a new connection, not a probe.
    pub fn new(
        route: RouteId,
        endpoint: EndpointId,
        zone: ZoneId,
        sent_at: Time,
        messages: Vec<MessageId>,
    ) -> Self {
        InFlightRequest {
            route,
            endpoint,
            zone,
            sent_at,
            pending_outcomes: messages.len(),
            messages,
            connection_idle: None,
            stalled: false,
            abandoned: false,
            is_probe: false,
        }
    }
}
