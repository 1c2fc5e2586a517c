//! Completion: what the end of an attempt changes for its message, endpoint, connection and route.

use super::idle_connections::{PRESSURE_DECAY_GAIN, PRESSURE_GAIN};
use super::retry::{LONGEST_HOLD_UP, RETRY_BACKOFF};
use crate::interface::{AttemptCompleted, AttemptOutcome, EndpointId, OrderKey, Time};
use crate::policy_state::{update_ewma, FirstSend, InFlightRequest, PolicyState};
use std::time::Duration;

impl PolicyState {
    pub fn on_attempt_completed(&mut self, now: Time, done: &AttemptCompleted) {
        if let AttemptOutcome::Rejected(Some(wait)) = done.outcome {
            self.on_retry_after(now, done.endpoint, wait);
        }
        let Some(message) = self.messages.get_mut(&done.message) else { return };
        let Some(request_id) = message.in_flight.take() else { return };
        let Some(request) = self.requests.get(&request_id) else { return };
        let class = &self.settings.classes[usize::from(message.submission.class.0)];
        if done.outcome.may_have_run() && message.first_may_have_run.is_none() {
            message.first_may_have_run =
                Some(FirstSend { sent_at: request.sent_at, zone: Some(request.zone) });
        }
        if done.outcome == AttemptOutcome::NotStarted {
            message.attempts -= 1;
        } else {
            let gap = RETRY_BACKOFF.gap(class.latency_objective, message.attempts);
            message.not_before = now + gap.mul_f64(self.rng.f64());
        }
        // After an attempt that may still be running, its key cools down before the next message of the key.
        if let (true, true, Some(key)) = (done.outcome.is_lost(), class.ordered, message.submission.key) {
            self.start_key_cooldown(now, key, done.outcome);
        }
        // Only a request's last outcome counts for the route: its messages share its outcome.
        if let Some(request) = self.take_completed_request(request_id) {
            self.on_request_completed(now, &request, done);
        }
        if done.complete {
            self.complete(done.message);
        } else if let Some(message) = self.messages.get(&done.message) {
            // What can never be sent again is answered at once: it would take up the queue and block its key.
            let end = self.last_send_time(message);
            let due = if message.not_before > end { now } else { end.max(now) };
            self.set_deadline(due, done.message);
        }
        self.forget_if_done(done.message);
    }

    /// The cooldown begins with the end of the attempt's connection: a broken one has ended, any other ends
    /// behind this decision.
    fn start_key_cooldown(&mut self, now: Time, key: OrderKey, outcome: AttemptOutcome) {
        let has_ended = outcome == AttemptOutcome::Reset;
        let until_ended = if has_ended { Duration::ZERO } else { LONGEST_HOLD_UP };
        self.key_cooldowns.retain(|_, until| *until > now);
        self.key_cooldowns.insert(key, now + until_ended + self.settings.rules.key_cooldown);
    }

    /// Records the outcome of a request for its endpoint, connection and route.
    fn on_request_completed(&mut self, now: Time, request: &InFlightRequest, done: &AttemptCompleted) {
        let lost = done.outcome.is_lost();
        let idle_as_long = |idle| idle >= self.idle_risk.shortest_stale_idle;
        let stale =
            lost && self.idle_risk.stale_risk > 0.0 && request.connection_idle.is_some_and(idle_as_long);
        if !(lost && request.stalled) {
            self.record_connection_outcome(now, request.connection_idle, done.outcome);
        }
        self.update_endpoint(now, request.endpoint, done.outcome, stale);
        if !stale {
            self.update_route(now, done, request);
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
                // A first failure may lack room; what goes on failing for an overload window is down.
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
