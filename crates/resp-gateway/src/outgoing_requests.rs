//! Requests to endpoints, from the engine's decision to the last byte.
//!
//! A request waits until the platform has acknowledged the notifications of its order key, and then gets a connection. It
//! is checked again before all but its last byte is sent, and once more before its start is recorded. The last byte is
//! sent once the start is in the log, if the request may still be sent then.

use crate::attempt_log::{AttemptEnd, AttemptLog};
use crate::delivery::DeliveryState;
use crate::message_record;
use crate::sockets::Sockets;
use cloverstile::{Effect, EndpointId, Time};
use cloverstile_engine::{Attempt, Engine, TransportOutcome};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_platform::connection_reuse::Repeatability;
use cloverstile_platform::doubted_responses::HeldResponse;
use cloverstile_platform::requests::{
    CompletedAttempt, ConnectionLimits, RequestTarget, Requests, RetryAfter,
};
use cloverstile_wal::{AttemptStart, Record, UNKNOWN_INDEX};
use tracing::debug;

/// An attempt that the engine has decided on and that has no connection yet.
struct PlannedRequest {
    attempt: Attempt,
    endpoint: EndpointId,
}

/// All requests to endpoints, with and without a connection.
pub struct OutgoingRequests {
    /// Requests with a connection, and idle connections.
    pub requests: Requests,
    /// Requests that wait until a notification of their order key is acknowledged.
    awaiting_notification: Vec<PlannedRequest>,
    /// Attempts whose start is among this turn's records. Their last bytes are sent once the records are in the log.
    uncommitted: Vec<Attempt>,
    /// Logs why messages are sent again.
    pub attempt_log: AttemptLog,
}

impl OutgoingRequests {
    /// Creates the state without any request.
    pub fn new(limits: ConnectionLimits) -> Self {
        let requests = Requests::new(limits);
        OutgoingRequests {
            requests,
            awaiting_notification: Vec::new(),
            uncommitted: Vec::new(),
            attempt_log: AttemptLog::default(),
        }
    }

    /// Schedules attempts that the engine has decided on.
    pub fn schedule(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        attempts: Vec<Attempt>,
        delivery: &mut DeliveryState,
        sockets: &mut Sockets<'_>,
    ) {
        for attempt in attempts {
            delivery.engine.set_attempt_started(attempt, false);
            self.awaiting_notification.push(PlannedRequest { attempt, endpoint });
        }
        self.connect_unblocked(now, delivery, sockets);
    }

    /// Gets connections for requests whose order key has no notification pending. Until the platform has acknowledged the
    /// notification, the previous message of the key is not completed.
    pub fn connect_unblocked(&mut self, now: Time, delivery: &mut DeliveryState, sockets: &mut Sockets<'_>) {
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
                let repeatability = match delivery.engine.effect(attempt.message) {
                    Some(Effect::Safe | Effect::Keyed) => Repeatability::Repeatable,
                    Some(Effect::Unsafe) | None => Repeatability::Unrepeatable,
                };
                let target = RequestTarget { endpoint, address, repeatability };
                self.requests.connect(now, attempt, target, sockets);
            } else {
                let outcome = TransportOutcome::NotStarted;
                delivery.engine.on_attempt_completed(now, attempt, outcome, None);
            }
        }
    }

    /// Reports to the engine which endpoints have sent `Retry-After`.
    pub fn report_retry_after(&mut self, now: Time, engine: &mut Engine) {
        for RetryAfter { endpoint, delay } in self.requests.take_retry_after() {
            engine.on_retry_after(now, endpoint, delay);
        }
    }

    /// Records completed attempts and reports them to the engine.
    pub fn report_completed(&mut self, now: Time, delivery: &mut DeliveryState) {
        for HeldResponse { attempt, stated } in self.requests.take_held() {
            #[cfg(feature = "planted-defects")]
            if is_planted(PlantedDefect::HeldResponseDropped) {
                continue;
            }
            delivery.engine.on_response_held(attempt, stated);
        }
        for doubted in self.requests.take_doubted() {
            self.attempt_log.on_doubted_response(now, &doubted, delivery);
        }
        for completed in self.requests.take_completed() {
            trace_completed(now, &completed, delivery);
            let CompletedAttempt { attempt, result, .. } = completed;
            self.attempt_log.on_attempt_ended(now, attempt, AttemptEnd::Completed(result.outcome), delivery);
            // The end of an abandoned attempt is in the log; a later one of its message may be in flight.
            if delivery.engine.is_in_flight(attempt) {
                delivery.log.record(Record::AttemptCompleted {
                    message_number: attempt.message.0,
                    may_have_run: result.outcome.may_have_run(),
                });
            }
            delivery.engine.on_attempt_completed(now, attempt, result.outcome, result.rate_limit);
        }
    }

    /// Sends all but the last byte of requests whose connection is established.
    pub fn send_connected(&mut self, now: Time, delivery: &mut DeliveryState, sockets: &mut Sockets<'_>) {
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
                connection = ?self.requests.connection(attempt).map(|connection| connection.0),
                reused = self.requests.is_connection_reused(attempt),
                ?time_left,
                "request sent"
            );
            let bytes = message_record::http_request(message, time_left);
            self.requests.send_all_but_last_byte(now, attempt, &bytes, sockets);
        }
    }

    /// Records the start of requests that only have their last byte left to send.
    pub fn record_starts(&mut self, now: Time, delivery: &mut DeliveryState, sockets: &mut Sockets<'_>) {
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

    /// Checks again whether an attempt may be sent, aborts it if not, and returns whether it was aborted.
    ///
    /// Conditions may have changed since the engine decided, while the connection was being established or a notification
    /// of the order key was pending: a `Retry-After`, a drain, a new address, an outage, the end of the retry window, the
    /// deadline, or a shutdown. Seen in the fleet run "day join" with seed 2: a connection took 0.74 s to establish, and a
    /// `Retry-After` of 0.67 s fell within that time.
    fn abort_if_obsolete(
        &mut self,
        now: Time,
        attempt: Attempt,
        delivery: &mut DeliveryState,
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

    /// Sends the last bytes of the requests whose start is now in the log. `now` is the time after the log write, which may
    /// have taken long: requests that may no longer be sent are withdrawn, and those whose connection can't be used any more
    /// go out on another one.
    pub fn commit(&mut self, now: Time, delivery: &mut DeliveryState, sockets: &mut Sockets<'_>) {
        for attempt in std::mem::take(&mut self.uncommitted) {
            self.read_late_responses(now, attempt, delivery, sockets);
            if !delivery.engine.may_send_now(now, attempt) {
                self.withdraw(now, attempt, delivery, sockets);
            } else if self.requests.check_connection(now, attempt, sockets) {
                delivery.engine.set_attempt_started(attempt, true);
                self.requests.commit(now, attempt, sockets);
                self.attempt_log.on_attempt_sent(now, attempt, delivery);
            } else {
                let message_number = attempt.message.0;
                delivery.log.record(Record::AttemptWithdrawn { message_number });
            }
        }
    }

    /// Reads responses to earlier attempts at the message of an attempt that is about to be sent: one of them may end it.
    fn read_late_responses(
        &mut self,
        now: Time,
        attempt: Attempt,
        delivery: &mut DeliveryState,
        sockets: &mut Sockets<'_>,
    ) {
        if attempt.number > 0 {
            self.requests.receive_late_responses(now, attempt.message, sockets);
            self.report_completed(now, delivery);
        }
    }

    /// Withdraws the requests whose start could not be logged.
    pub fn withdraw_uncommitted(
        &mut self,
        now: Time,
        delivery: &mut DeliveryState,
        sockets: &mut Sockets<'_>,
    ) {
        for attempt in std::mem::take(&mut self.uncommitted) {
            self.withdraw(now, attempt, delivery, sockets);
        }
    }

    /// Withdraws a request whose last byte has not been sent; it does not count as an attempt.
    fn withdraw(
        &mut self,
        now: Time,
        attempt: Attempt,
        delivery: &mut DeliveryState,
        sockets: &mut Sockets<'_>,
    ) {
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

    /// Abandons an attempt whose response is no longer awaited; `started` is whether it may have run.
    pub fn abandon(
        &mut self,
        now: Time,
        attempt: Attempt,
        started: bool,
        delivery: &mut DeliveryState,
        sockets: &mut Sockets<'_>,
    ) {
        debug!(
            client_id = %delivery.log.client_id(attempt.message),
            message_id = attempt.message.0,
            attempt = attempt.number,
            started,
            "attempt abandoned"
        );
        self.attempt_log.on_attempt_ended(now, attempt, AttemptEnd::Abandoned { started }, delivery);
        self.awaiting_notification.retain(|planned| planned.attempt != attempt);
        self.uncommitted.retain(|uncommitted| *uncommitted != attempt);
        let message_number = attempt.message.0;
        delivery.log.record(Record::AttemptCompleted { message_number, may_have_run: started });
        self.requests.abandon(now, attempt, sockets);
    }
}

fn trace_completed(now: Time, completed: &CompletedAttempt, delivery: &DeliveryState) {
    let CompletedAttempt { attempt, connection, result } = completed;
    let Some(message) = delivery.log.message(attempt.message) else { return };
    let elapsed_ms =
        message.open_attempt.map_or(0, |start| now.0.saturating_sub(start.started_at) / 1_000_000);
    debug!(
        client_id = %String::from_utf8_lossy(&message.id),
        message_id = attempt.message.0,
        class = message.class,
        destination = message.destination,
        attempt = attempt.number,
        connection = ?connection.map(|connection| connection.0),
        outcome = ?result.outcome,
        rate_limit = ?result.rate_limit,
        elapsed_ms,
        "attempt completed"
    );
}
