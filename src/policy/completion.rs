//! Completion: how the end of an attempt changes the state of its message, endpoint, connection and route.

use super::idle_connections::{PRESSURE_DECAY_GAIN, PRESSURE_GAIN};
use super::retry::{MAX_PROCESS_PAUSE, RETRY_BACKOFF};
use crate::interface::{AttemptCompleted, AttemptOutcome, EndpointId, OrderKey, Time};
use crate::policy_state::{update_ewma, FirstSend, InFlightRequest, PolicyState};
use std::time::Duration;

impl PolicyState {
    /// Records the end of an attempt, and completes its message or prepares its retry.
    pub fn on_attempt_completed(&mut self, now: Time, attempt: &AttemptCompleted) {
        if let AttemptOutcome::Rejected(Some(wait)) = attempt.outcome {
            self.on_retry_after(now, attempt.endpoint, wait);
        }
        let Some(message) = self.messages.get_mut(&attempt.message) else { return };
        let Some(request_id) = message.in_flight.take() else { return };
        let Some(request) = self.requests.get(&request_id) else { return };
        let class = &self.settings.classes[usize::from(message.submission.class.0)];
        if attempt.outcome.may_have_run() && message.first_may_have_run.is_none() {
            message.first_may_have_run =
                Some(FirstSend { sent_at: request.sent_at, zone: Some(request.zone) });
        }
        if attempt.outcome == AttemptOutcome::NotStarted {
            message.attempts -= 1;
        } else {
            let delay = RETRY_BACKOFF.delay(class.latency_objective, message.attempts);
            message.not_before = now + delay.mul_f64(self.rng.f64());
        }
        // An attempt that may still be running starts the cooldown of its key before the key's next message.
        if let (true, true, Some(key)) =
            (attempt.outcome.may_still_be_running(), class.ordered, message.submission.key)
        {
            self.start_key_cooldown(now, key, attempt.outcome);
        }
        // The messages of a batch share one outcome, so the route records it once, with the last of them.
        if let Some(request) = self.take_completed_request(request_id) {
            self.on_request_completed(now, &request, attempt);
        }
        if attempt.message_completed {
            self.complete(attempt.message);
        } else if let Some(message) = self.messages.get(&attempt.message) {
            // What can't be sent again gets its final outcome now: it would fill the queue and block its key.
            let end = self.last_send_time(message);
            let due = if message.not_before > end { now } else { end.max(now) };
            self.schedule_expiry_check(due, attempt.message);
        }
        self.remove_if_finished(attempt.message);
    }

    /// The cooldown starts when the connection of the attempt has ended. A reset connection already has; any
    /// other is closed only after this decision, which a pause of the process may delay.
    fn start_key_cooldown(&mut self, now: Time, key: OrderKey, outcome: AttemptOutcome) {
        let has_ended = outcome == AttemptOutcome::Reset;
        let max_time_to_end = if has_ended { Duration::ZERO } else { MAX_PROCESS_PAUSE };
        self.key_cooldowns.retain(|_, until| *until > now);
        self.key_cooldowns.insert(key, now + max_time_to_end + self.settings.rules.key_cooldown);
    }

    /// Records the outcome of a request for its endpoint, connection and route.
    fn on_request_completed(&mut self, now: Time, request: &InFlightRequest, attempt: &AttemptCompleted) {
        let lost = attempt.outcome.may_still_be_running();
        let idle_as_long = |idle| idle >= self.idle_risk.shortest_stale_idle;
        let stale =
            lost && self.idle_risk.stale_risk > 0.0 && request.connection_idle.is_some_and(idle_as_long);
        if !(lost && request.stalled) {
            self.record_connection_outcome(now, request.connection_idle, attempt.outcome);
        }
        self.update_endpoint(now, request.endpoint, attempt.outcome, stale);
        if !stale {
            self.update_route(now, attempt, request);
        } else if let Some(route) = self.routes.get_mut(&request.route) {
            route.record_loss(now, request);
        }
    }

    fn update_endpoint(&mut self, now: Time, id: EndpointId, outcome: AttemptOutcome, stale: bool) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.requests_in_flight = endpoint.requests_in_flight.saturating_sub(1);
        self.recently_completed.insert(id);
        let kind = self.kind_stats.entry(endpoint.entry.kind).or_default();
        match outcome {
            AttemptOutcome::Ok => {
                update_ewma(&mut kind.connection_limit_pressure, 0.0, PRESSURE_DECAY_GAIN);
                endpoint.on_success(now);
            }
            AttemptOutcome::Rejected(_) => endpoint.last_used = Some(now),
            _ if stale => {}
            AttemptOutcome::ConnectFailed => {
                let since = *endpoint.connect_failing_since.get_or_insert(now);
                // A first failure may be a connection limit; failing for an overload window is an outage.
                if since == now || now - since > self.settings.rules.overload_window {
                    update_ewma(&mut kind.connection_limit_pressure, f64::from(since == now), PRESSURE_GAIN);
                }
                self.deprioritize(now, id);
            }
            AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Error => {
                self.deprioritize(now, id);
            }
            AttemptOutcome::Abandoned | AttemptOutcome::Unsent | AttemptOutcome::NotStarted => {}
        }
    }
}
