//! Conversions between a message as the log stores it and what the engine, the platform and an endpoint need of it.
//! Free of I/O.

use cloverstile::{Class, ClassId, DestinationId, OrderKey, RecoveredAttempts, TenantId, Time, ZoneId};
use cloverstile_engine::SubmitRequest;
use cloverstile_http::Headers;
use cloverstile_platform::notifications::{Notification, NotificationStatus};
use cloverstile_wal::{AttemptStart, LiveMessage, TerminalState, UNKNOWN_INDEX};
use std::time::Duration;

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// What the log stores of a message that a client submits now, with its idempotency key at the partner and its body.
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

/// The order key of a message; none where it has none.
pub fn order_key(message: &LiveMessage) -> Option<OrderKey> {
    (message.order_key != 0).then_some(OrderKey(message.order_key))
}

/// A message of an earlier process, as the engine takes it over.
pub struct RecoveredSubmission {
    /// The message.
    pub request: SubmitRequest,
    /// Its attempts so far.
    pub attempts: RecoveredAttempts,
}

/// Prepares a message of an earlier process for the engine. An attempt without an outcome may have run from the moment
/// when it was started; the stored message says so from here on.
pub fn recover(message: &mut LiveMessage, class: Option<&Class>) -> RecoveredSubmission {
    let open_attempt = message.open_attempt.take();
    message.may_have_run = message.may_have_run.or(open_attempt);
    let attempts = RecoveredAttempts {
        submitted_at: Time(message.submitted_at),
        attempts: u32::from(message.attempts),
        may_have_run: first_possible_run(message, class),
    };
    let request = SubmitRequest {
        client: 0,
        idempotency_key: text(&message.id),
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

/// When the first attempt that may have run was sent, and in which zone; here or at a gateway instance that was lost.
fn first_possible_run(message: &LiveMessage, class: Option<&Class>) -> Option<(Time, Option<ZoneId>)> {
    let zone = |start: AttemptStart| Some(ZoneId(start.zone)).filter(|_| start.zone != UNKNOWN_INDEX);
    let known = message.may_have_run.map(|start| (Time(start.started_at), zone(start)));
    let Some(class) = class.filter(|_| message.from_lost_instance) else { return known };
    // It may have run at the lost instance at any time since it was first submitted, in a zone that nobody knows.
    let first_submitted = (Time(message.deadline) - class.deadline).min(Time(message.submitted_at));
    Some((known.map_or(first_submitted, |(at, _)| at.min(first_submitted)), None))
}

/// The notification that reports a message's terminal state to the platform.
pub fn notification(message: &LiveMessage, state: TerminalState) -> Notification {
    let status = match state {
        TerminalState::Undeliverable => NotificationStatus::Undeliverable,
        TerminalState::Deferred(retry_after_ms) => NotificationStatus::Deferred { retry_after_ms },
    };
    Notification { message_id: text(&message.id), status, order_key: order_key(message) }
}

/// The HTTP request that delivers a message to an endpoint, which may take `time_left` to answer.
pub fn http_request(message: &LiveMessage, time_left: Duration) -> Vec<u8> {
    let mut headers = Headers::new().with("Host", "partner").with("Req-Id", text(&message.id));
    if let Some(key) = &message.idempotency_key {
        headers.add("Idempotency-Key", text(key));
    }
    headers.add("Req-Deadline", format!("{}m", time_left.as_millis().max(1)));
    cloverstile_http::request("POST", "/hook", &headers, &message.body)
}

#[cfg(test)]
mod tests;
