//! Completion: what the end of an attempt changes.

use super::health::TRIAL_GAPS_OF_FALL;
use super::idle_connections::CROWDING_GAINS;
use super::retry::{growing_gap, BACKOFF_OF_AIM};
use crate::interface::{AttemptCompleted, AttemptOutcome, EndpointId, Time};
use crate::policy_state::{lean, Call, PolicyState};
use std::time::Duration;

impl PolicyState {
    /// A wait binds from the batch that tells it, whatever became of the message that brings it.
    pub(super) fn heed(&mut self, now: Time, endpoint: EndpointId, wait: Duration) {
        let route = self.addresses.get(&endpoint).map(|a| self.route_of(&a.entry));
        if let Some(route) = route.and_then(|id| self.routes.get_mut(&id)) {
            route.told_wait = route.told_wait.max(now + wait);
        }
    }

    pub(super) fn on_finished(&mut self, now: Time, finished: AttemptCompleted) {
        if let AttemptOutcome::Rejected(Some(wait)) = finished.outcome {
            self.heed(now, finished.endpoint, wait);
        }
        let Some(message) = self.messages.get_mut(&finished.message) else { return };
        let Some(call_id) = message.out.take() else { return };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let class = &self.settings.classes[usize::from(message.taken.class.0)];
        if finished.outcome.may_have_run() && message.maybe_ran.is_none() {
            message.maybe_ran = Some((call.sent, Some(call.zone)));
        }
        if finished.outcome == AttemptOutcome::NotStarted {
            message.attempts -= 1;
        } else {
            let gap = growing_gap(class.latency_objective, BACKOFF_OF_AIM, message.attempts);
            message.not_before = now + gap.mul_f64(self.rng.f64());
        }
        // A call that may still be running lets its key rest before the next message of the key.
        let unsettled = matches!(
            finished.outcome,
            AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Abandoned
        );
        if let (true, true, Some(key)) = (unsettled, class.ordered, message.taken.key) {
            self.rests.retain(|_, until| *until > now);
            self.rests.insert(key, now + self.settings.rules.key_cooldown);
        }
        // Only a call's last outcome counts for the route: its messages share one fate.
        call.unanswered -= 1;
        if call.unanswered == 0 {
            if let Some(call) = self.calls.remove(&call_id) {
                self.end_call(now, call_id, call, &finished);
            }
        }
        if finished.complete {
            self.close(finished.message);
        } else if let Some(message) = self.messages.get(&finished.message) {
            // What can never be sent again is answered at once: it would fill the hold and keep its key.
            let end = self.last_send(message);
            let due = if message.not_before > end { now } else { end.max(now) };
            self.deadlines.insert((due, finished.message));
        }
        self.forget_if_over(finished.message);
    }

    /// Frees the slot of a call and lets address, connections and route learn from its outcome.
    pub(super) fn end_call(&mut self, now: Time, id: u64, call: Call, finished: &AttemptCompleted) {
        if let Some(route) = self.routes.get_mut(&call.route) {
            route.out.remove(&id);
        }
        let lost = matches!(
            finished.outcome,
            AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Abandoned
        );
        let reaped =
            lost && self.reaping.risk > 0.0 && call.idle.is_some_and(|idle| idle >= self.reaping.idle);
        if !(lost && call.stalled) {
            self.learn_of_idle(now, call.idle, lost, finished.outcome == AttemptOutcome::Ok);
        }
        let rules = &self.settings.rules;
        if let Some(address) = self.addresses.get_mut(&call.to) {
            address.calls_out = address.calls_out.saturating_sub(1);
            self.ended.insert(call.to);
            let habits = self.habits.entry(address.entry.kind).or_default();
            match finished.outcome {
                AttemptOutcome::Ok => {
                    lean(&mut habits.crowding, 0.0, CROWDING_GAINS.1);
                    (address.no_room, address.used, address.failures) = (None, Some(now), 0);
                }
                AttemptOutcome::Rejected(_) => address.used = Some(now),
                _ if reaped => {}
                AttemptOutcome::ConnectFailed
                | AttemptOutcome::Timeout
                | AttemptOutcome::Reset
                | AttemptOutcome::Error => {
                    // One that fails may lack room; what goes on failing for a fall window is down.
                    if finished.outcome == AttemptOutcome::ConnectFailed {
                        let since = *address.no_room.get_or_insert(now);
                        if since == now || now - since > rules.overload_window {
                            lean(&mut habits.crowding, f64::from(since == now), CROWDING_GAINS.0);
                        }
                    }
                    address.failures += 1;
                    let longest = rules.warm_up_time.as_secs_f64() / rules.overload_window.as_secs_f64();
                    let gap =
                        growing_gap(rules.overload_window, (TRIAL_GAPS_OF_FALL.0, longest), address.failures);
                    address.avoid_until = now + gap.mul_f64(self.rng.f64());
                }
                AttemptOutcome::Abandoned | AttemptOutcome::Unsent | AttemptOutcome::NotStarted => {}
            }
        }
        if !reaped {
            self.learn(now, finished, &call);
        }
    }
}
