//! Converts between a message as stored in the log and its forms for the engine, the platform and an endpoint. Performs no
//! I/O.

use cloverstile::{Class, ClassId, DestinationId, OrderKey, RecoveredAttempts, TenantId, Time, ZoneId};
use cloverstile_engine::SubmitRequest;
use cloverstile_http::Headers;
use cloverstile_platform::notifications::{Notification, NotificationStatus};
use cloverstile_wal::{AttemptStart, LiveMessage, TerminalState, UNKNOWN_INDEX};
use std::time::Duration;

fn utf8_lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The log's form of a message that a client submits at `now`. `idempotency_key` is the key for the partner, which is not
/// the id under which the client submits the message.
pub fn from_submission(
    now: Time,
    submission: &SubmitRequest,
    idempotency_key: Option<Vec<u8>>,
    body: Vec<u8>,
) -> LiveMessage {
    LiveMessage {
        id: submission.idempotency_key.clone().into_bytes(),
        idempotency_key,
        class: submission.class.0,
        destination: submission.destination.0,
        order_key: submission.order_key.map_or(0, |key| key.0),
        submitted_at: now.0,
        deadline: submission.deadline.0,
        from_lost_instance: submission.from_lost_instance,
        body,
        ..LiveMessage::default()
    }
}

/// The order key of a message, if it has one; the log stores 0 for none.
pub fn order_key(message: &LiveMessage) -> Option<OrderKey> {
    (message.order_key != 0).then_some(OrderKey(message.order_key))
}

/// The submission under which the engine knows a message that ended in an earlier process.
pub fn completed_submission(id: &[u8], deadline: Time) -> SubmitRequest {
    SubmitRequest {
        client: 0,
        idempotency_key: utf8_lossy(id),
        fingerprint: [0; 32],
        class: ClassId(0),
        destination: DestinationId(0),
        order_key: None,
        deadline,
        tenant: TenantId::default(),
        resubmitted: false,
        from_lost_instance: false,
    }
}

/// A message of an earlier process in the form in which the engine recovers it.
pub struct RecoveredSubmission {
    /// The message as a submission.
    pub request: SubmitRequest,
    /// The attempts made so far.
    pub attempts: RecoveredAttempts,
}

/// Prepares a message of an earlier process for the engine. An attempt without a recorded outcome may have run at the
/// endpoint since its start; `message` is updated to say so.
pub fn recover(message: &mut LiveMessage, class: Option<&Class>) -> RecoveredSubmission {
    let open_attempt = message.open_attempt.take();
    message.first_possible_run = message.first_possible_run.or(open_attempt);
    let attempts = RecoveredAttempts {
        submitted_at: Time(message.submitted_at),
        attempts: u32::from(message.attempts),
        may_have_run: first_possible_run(message, class),
    };
    let request = SubmitRequest {
        client: 0,
        idempotency_key: utf8_lossy(&message.id),
        fingerprint: [0; 32],
        class: ClassId(message.class),
        destination: DestinationId(message.destination),
        order_key: order_key(message),
        deadline: Time(message.deadline),
        tenant: TenantId::default(),
        resubmitted: false,
        from_lost_instance: message.from_lost_instance,
    };
    RecoveredSubmission { request, attempts }
}

/// The start time and zone of the first attempt that may have run, sent by this gateway instance or by a lost one.
fn first_possible_run(message: &LiveMessage, class: Option<&Class>) -> Option<(Time, Option<ZoneId>)> {
    let zone = |start: AttemptStart| Some(ZoneId(start.zone)).filter(|_| start.zone != UNKNOWN_INDEX);
    let known = message.first_possible_run.map(|start| (Time(start.started_at), zone(start)));
    let Some(class) = class.filter(|_| message.from_lost_instance) else { return known };
    // The lost instance may have sent it at any time since the first submission, to an unknown zone.
    let first_submitted = (Time(message.deadline) - class.deadline).min(Time(message.submitted_at));
    Some((known.map_or(first_submitted, |(at, _)| at.min(first_submitted)), None))
}

/// The notification that reports a message's terminal state to the platform.
pub fn notification(message: &LiveMessage, state: TerminalState) -> Notification {
    let status = match state {
        TerminalState::Undeliverable => NotificationStatus::Undeliverable,
        TerminalState::Deferred(retry_after_ms) => NotificationStatus::Deferred { retry_after_ms },
    };
    Notification { message_id: utf8_lossy(&message.id), status, order_key: order_key(message) }
}

/// The HTTP request that delivers a message to an endpoint; the endpoint has `time_left` to respond.
pub fn http_request(message: &LiveMessage, time_left: Duration) -> Vec<u8> {
    let mut headers = Headers::new().with("Host", "partner").with("Req-Id", utf8_lossy(&message.id));
    if let Some(key) = &message.idempotency_key {
        headers.add("Idempotency-Key", utf8_lossy(key));
    }
    headers.add("Req-Deadline", format!("{}m", time_left.as_millis().max(1)));
    cloverstile_http::encode_request("POST", "/hook", &headers, &message.body)
}

#[cfg(test)]
mod tests;
