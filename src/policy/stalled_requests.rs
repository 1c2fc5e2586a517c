//! Stalled requests: those without a response for too long.

use crate::interface::{AttemptOutcome, Time};
use crate::policy_state::{shortest_objective_s, PolicyState, RouteId, WakeTime};
use std::time::Duration;

/// A request is stalled after this multiple of the route's latency, but not before `MIN_STALL_OBJECTIVES` of
/// the shortest latency objective, so that short pauses of a destination don't count.
const STALL_LATENCY_MULTIPLE: f64 = 3.0;
const MIN_STALL_OBJECTIVES: f64 = 0.25;

impl PolicyState {
    /// Marks requests without a response for too long as stalled; `wake` receives the time of the next check.
    pub fn mark_stalled_requests(&mut self, now: Time, wake: &mut WakeTime) {
        for id in self.unstalled_requests() {
            let at = self.requests[&id].sent_at + self.stall_timeout(self.requests[&id].route);
            if at > now {
                wake.no_later_than(Some(at));
            } else if let Some(request) = self.requests.get_mut(&id) {
                request.stalled = true;
                let idle = request.connection_idle;
                self.record_connection_outcome(now, idle, AttemptOutcome::Abandoned);
            }
        }
    }

    /// Time without a response after which a request counts as stalled.
    pub fn stall_timeout(&self, route: RouteId) -> Duration {
        let scaled = self.latency(route).scaled(STALL_LATENCY_MULTIPLE);
        Duration::from_secs_f64(scaled.max(shortest_objective_s(&self.settings) * MIN_STALL_OBJECTIVES))
    }
}
