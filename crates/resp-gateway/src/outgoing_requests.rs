//! Requests to endpoints, from the engine's decision to the last byte.
//!
//! A request waits until the platform has acknowledged the notifications of its order key, gets a connection, is checked
//! once more, sends all but its last byte, is checked again, and sends the last byte once the log has its start.

use crate::delivery::Delivery;
use crate::message_record;
use crate::sockets::Sockets;
use cloverstile::{EndpointId, Time};
use cloverstile_engine::{Attempt, Engine, TransportOutcome};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_platform::requests::{CompletedAttempt, ConnectionLimits, Requests, RetryAfter};
use cloverstile_wal::{AttemptStart, Record, UNKNOWN_INDEX};
use tracing::debug;

/// An attempt that the engine decided on, without a connection so far.
struct PlannedRequest {
    attempt: Attempt,
    endpoint: EndpointId,
}

/// All requests to endpoints.
pub struct OutgoingRequests {
    /// Requests with a connection, and idle connections.
    pub requests: Requests,
    /// Requests that wait for a notification of their order key.
    awaiting_notification: Vec<PlannedRequest>,
    /// Attempts whose start is among this turn's records; their last bytes leave once these are in the log.
    uncommitted: Vec<Attempt>,
}

impl OutgoingRequests {
    /// No requests yet.
    pub fn new(limits: ConnectionLimits) -> Self {
        let requests = Requests::new(limits);
        OutgoingRequests { requests, awaiting_notification: Vec::new(), uncommitted: Vec::new() }
    }

    /// Takes on attempts that the engine decided on.
    pub fn schedule(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        attempts: Vec<Attempt>,
        delivery: &mut Delivery,
        sockets: &mut Sockets<'_>,
    ) {
        for attempt in attempts {
            delivery.engine.set_attempt_started(attempt, false);
            self.awaiting_notification.push(PlannedRequest { attempt, endpoint });
        }
        self.connect_unblocked(now, delivery, sockets);
    }

    /// Gets connections for requests whose order key has no notification pending: until the platform has acknowledged
    /// it, the key's previous message is not completed.
    pub fn connect_unblocked(&mut self, now: Time, delivery: &mut Delivery, sockets: &mut Sockets<'_>) {
        for planned in std::mem::take(&mut self.awaiting_notification) {
            let PlannedRequest { attempt, endpoint } = planned;
            let Some(message) = delivery.log.message(attempt.message) else { continue };
            let key = message_record::order_key(message);
            #[cfg(feature = "planted-defects")]
            let key = key.filter(|_| !is_planted(PlantedDefect::NotificationNotAwaited));
            if key.is_some_and(|key| delivery.notifications.is_key_blocked(key)) {
                self.awaiting_notification.push(planned);
                continue;
            }
            if let Some(address) = delivery.endpoints.address(endpoint) {
                self.requests.connect(now, attempt, endpoint, address, sockets);
            } else {
                let outcome = TransportOutcome::NotStarted;
                delivery.engine.on_attempt_completed(now, attempt, outcome, None);
            }
        }
    }

    /// Reports to the engine which endpoints asked to wait.
    pub fn report_retry_after(&mut self, now: Time, engine: &mut Engine) {
        for RetryAfter { endpoint, delay } in self.requests.take_retry_after() {
            engine.on_retry_after(now, endpoint, delay);
        }
    }

    /// Records attempts that ended and reports them to the engine.
    pub fn report_completed(&mut self, now: Time, delivery: &mut Delivery) {
        for completed in self.requests.take_completed() {
            trace_completed(now, &completed, delivery);
            let CompletedAttempt { attempt, result } = completed;
            delivery.log.record(Record::AttemptCompleted {
                message_number: attempt.message.0,
                may_have_run: result.outcome.may_have_run(),
            });
            delivery.engine.on_attempt_completed(now, attempt, result.outcome, result.rate_limit);
        }
    }

    /// Sends all but the last byte of requests whose connection is established.
    pub fn send_connected(&mut self, now: Time, delivery: &mut Delivery, sockets: &mut Sockets<'_>) {
        for attempt in self.requests.take_connected() {
            let deadline = delivery.engine.attempt_deadline(attempt);
            if self.abort_if_obsolete(now, attempt, delivery, sockets) {
                continue;
            }
            let (Some(message), Some(deadline)) = (delivery.log.message(attempt.message), deadline) else {
                continue;
            };
            let time_left = deadline - now;
            debug!(
                client_id = %delivery.log.client_id(attempt.message),
                message_id = attempt.message.0,
                destination = message.destination,
                attempt = attempt.number,
                ?time_left,
                "request sent"
            );
            let bytes = message_record::http_request(message, time_left);
            self.requests.send_all_but_last_byte(now, attempt, &bytes, sockets);
        }
    }

    /// Records the start of requests whose last byte is due.
    pub fn record_starts(&mut self, now: Time, delivery: &mut Delivery, sockets: &mut Sockets<'_>) {
        for attempt in self.requests.take_ready_to_commit() {
            if self.abort_if_obsolete(now, attempt, delivery, sockets) {
                continue;
            }
            let endpoint = self.requests.endpoint(attempt);
            let zone = endpoint.and_then(|endpoint| delivery.endpoints.zone(endpoint));
            let zone = zone.map_or(UNKNOWN_INDEX, |zone| zone.0);
            delivery.log.record(Record::AttemptStarted {
                message_number: attempt.message.0,
                start: AttemptStart { started_at: now.0, zone },
            });
            self.uncommitted.push(attempt);
        }
    }

    /// Checks once more whether an attempt may be sent, and aborts it if not. Guards against what happened since it was
    /// decided on, while its connection was being established or a notification of its key was pending: a `Retry-After`,
    /// a drain, another address, an outage, the end of its repeat window or its deadline, a shutdown (fleet day join,
    /// seed 2: 0.74 s for a connection, and inside them a wait of 0.67 s).
    fn abort_if_obsolete(
        &mut self,
        now: Time,
        attempt: Attempt,
        delivery: &mut Delivery,
        sockets: &mut Sockets<'_>,
    ) -> bool {
        let endpoints = &delivery.endpoints;
        let listed = self.requests.targets_listed_endpoint(attempt, |id| endpoints.address(id));
        if listed && delivery.engine.may_send_now(now, attempt) {
            return false;
        }
        debug!(
            client_id = %delivery.log.client_id(attempt.message),
            message_id = attempt.message.0,
            attempt = attempt.number,
            listed,
            "request aborted before it was sent"
        );
        self.requests.abort_before_send(now, attempt, listed, sockets);
        true
    }

    /// Sends the last bytes of the requests whose start is in the log now. `now` is the time behind the write, which may
    /// have taken long: what may not be sent any more is withdrawn.
    pub fn commit(&mut self, now: Time, delivery: &mut Delivery, sockets: &mut Sockets<'_>) {
        for attempt in std::mem::take(&mut self.uncommitted) {
            if delivery.engine.may_send_now(now, attempt) {
                delivery.engine.set_attempt_started(attempt, true);
                self.requests.commit(attempt, sockets);
            } else {
                self.withdraw(now, attempt, delivery, sockets);
            }
        }
    }

    /// Takes back the requests whose start could not be logged.
    pub fn withdraw_uncommitted(&mut self, now: Time, delivery: &mut Delivery, sockets: &mut Sockets<'_>) {
        for attempt in std::mem::take(&mut self.uncommitted) {
            self.withdraw(now, attempt, delivery, sockets);
        }
    }

    /// Takes back a request whose last byte has not left: it uses no attempt.
    fn withdraw(&mut self, now: Time, attempt: Attempt, delivery: &mut Delivery, sockets: &mut Sockets<'_>) {
        let message_number = attempt.message.0;
        debug!(
            client_id = %delivery.log.client_id(attempt.message),
            message_id = message_number,
            attempt = attempt.number,
            "request withdrawn before its last byte"
        );
        delivery.log.record(Record::AttemptWithdrawn { message_number });
        self.requests.abort_before_send(now, attempt, false, sockets);
    }

    /// Abandons an attempt that nobody waits for any longer; `started` tells whether it may have run.
    pub fn abandon(
        &mut self,
        now: Time,
        attempt: Attempt,
        started: bool,
        delivery: &mut Delivery,
        sockets: &mut Sockets<'_>,
    ) {
        debug!(
            client_id = %delivery.log.client_id(attempt.message),
            message_id = attempt.message.0,
            attempt = attempt.number,
            started,
            "attempt abandoned"
        );
        self.awaiting_notification.retain(|planned| planned.attempt != attempt);
        self.uncommitted.retain(|uncommitted| *uncommitted != attempt);
        let message_number = attempt.message.0;
        delivery.log.record(Record::AttemptCompleted { message_number, may_have_run: started });
        self.requests.abandon(now, attempt, sockets);
    }
}

fn trace_completed(now: Time, completed: &CompletedAttempt, delivery: &Delivery) {
    let CompletedAttempt { attempt, result } = completed;
    let Some(message) = delivery.log.message(attempt.message) else { return };
    let elapsed_ms =
        message.open_attempt.map_or(0, |start| now.0.saturating_sub(start.started_at) / 1_000_000);
    debug!(
        client_id = %String::from_utf8_lossy(&message.id),
        message_id = attempt.message.0,
        class = message.class,
        destination = message.destination,
        attempt = attempt.number,
        outcome = ?result.outcome,
        rate_limit = ?result.rate_limit,
        elapsed_ms,
        "attempt completed"
    );
}
