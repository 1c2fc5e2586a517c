//! Messages and the requests in flight that carry them.

use super::ids::{RequestId, RouteId};
use crate::interface::{Class, Decay, EndpointId, MessageId, RecoveredAttempts, Submission, Time, ZoneId};
use std::time::Duration;

/// The first attempt of a message that may have run. Its time and zone determine the retry window and the
/// group of retries.
#[derive(Clone, Copy)]
pub struct FirstSend {
    pub sent_at: Time,
    /// The zone it was sent to, if known.
    pub zone: Option<ZoneId>,
}

/// A message from its submission until it is completed and its last attempt has ended.
pub struct Message {
    pub submission: Submission,
    pub submitted_at: Time,
    /// Number of attempts started.
    pub attempts: u32,
    /// The request that currently carries the message.
    pub in_flight: Option<RequestId>,
    pub first_may_have_run: Option<FirstSend>,
    /// End of the backoff after its last attempt.
    pub not_before: Time,
    /// The message has its final outcome, or was cancelled.
    pub completed: bool,
    /// The message exceeds its tenant's quota.
    pub over_quota: bool,
    /// Accepted by an earlier process, which made no attempt.
    pub recovered_untried: bool,
}

impl Message {
    /// Creates a message that was submitted at `submitted_at`, is accepted now and has no attempts yet.
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

    /// Restores what an earlier process recorded of the message.
    pub fn restore(&mut self, recovered: RecoveredAttempts) {
        self.submitted_at = recovered.submitted_at;
        self.attempts = recovered.attempts;
        self.first_may_have_run = recovered.may_have_run.map(|(sent_at, zone)| FirstSend { sent_at, zone });
        self.recovered_untried = recovered.attempts == 0;
    }

    /// Whether the message was accepted by an earlier process and no process has attempted it yet.
    pub fn is_recovered_untried(&self) -> bool {
        self.recovered_untried && self.attempts == 0
    }
}

/// Fraction of its full value that a message of this age (in seconds) still has under this decay.
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

/// A request in flight. It takes one slot and one connection, however many messages it carries.
pub struct InFlightRequest {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    pub sent_at: Time,
    pub messages: Vec<MessageId>,
    /// Number of its messages whose attempt has not completed yet.
    pub pending_outcomes: usize,
    /// How long the connection had been idle when the request was sent; `None` for a new or busy connection.
    pub connection_idle: Option<Duration>,
    /// No response for longer than the stall time-out.
    pub stalled: bool,
    /// Abandoned to free its slot; its outcome is still to come.
    pub abandoned: bool,
    /// Sent to find out whether an outage is over.
    pub is_probe: bool,
}

impl InFlightRequest {
    /// Creates a request that is sent now on a new connection and is not a probe.
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
