//! Unexplained loss: a lost request that no success follows. The request alone may be lost, or an outage may
//! have begun of which a low-traffic instance sees nothing else.

use super::retry::RETRY_BACKOFF;
use crate::interface::{Settings, Time};
use crate::policy_state::{
    instance_count, shortest_objective_s, InFlightRequest, RouteState, UnexplainedLoss,
};
use std::time::Duration;

/// A failure shorter than this fraction of the overload window is transient and needs no slow start.
const TRANSIENT_FAILURE_WINDOWS: f64 = 0.6;
/// Share of an instance, in requests, from which on a slow start does not hold back single messages.
const MIN_LARGE_SHARE: f64 = 2.0;

impl RouteState {
    /// Records a lost request, unless the route succeeded after it was sent. The next request gets a new
    /// delay.
    pub fn record_loss(&mut self, now: Time, request: &InFlightRequest) {
        if request.sent_at >= self.last_success {
            let lost_at = self.unexplained_loss.as_ref().map_or(now, |loss| loss.lost_at);
            self.unexplained_loss = Some(UnexplainedLoss { lost_at, next_request: None });
        }
    }

    /// Whether a lost request has to count as an outage, because no success followed for longer than a
    /// transient failure lasts. An instance with low traffic sees no second failure. With a large share the
    /// time counts from the last success, as the destination may have been down since then.
    pub fn may_be_in_outage(&self, now: Time, settings: &Settings) -> bool {
        let Some(loss) = &self.unexplained_loss else { return false };
        let since = if self.has_large_share(settings) { self.last_success } else { loss.lost_at };
        now - since > transient_failure_limit(settings)
    }

    /// Whether the fair share of this instance is large, of the requests that a destination survives as it
    /// returns.
    fn has_large_share(&self, settings: &Settings) -> bool {
        let rules = &settings.rules;
        let survivable =
            rules.overload_multiple * rules.warm_up_capacity * rules.overload_window.as_secs_f64();
        survivable * self.advertised_limit / instance_count(settings) >= MIN_LARGE_SHARE
    }

    /// When the one request may be sent that tells whether the destination works: at once while the failure
    /// may be transient. Later, full jitter, up to one request at the recovery budget, spreads the instances
    /// that wait for the same destination.
    pub fn next_request_after_loss(&mut self, now: Time, settings: &Settings, random: f64) -> Time {
        let limit = transient_failure_limit(settings);
        if self.unexplained_loss.as_ref().is_some_and(|loss| now - loss.lost_at <= limit) {
            return now;
        }
        let max_delay = shortest_objective_s(settings) * RETRY_BACKOFF.max;
        let per_request = self.recovery_budget(now, settings, 0.0).recip();
        let delay = Duration::from_secs_f64(random * per_request.min(max_delay));
        match &mut self.unexplained_loss {
            Some(loss) => *loss.next_request.get_or_insert(now + delay),
            None => now,
        }
    }
}

/// How long a failure lasts at most that needs no slow start.
pub(super) fn transient_failure_limit(settings: &Settings) -> Duration {
    settings.rules.overload_window.mul_f64(TRANSIENT_FAILURE_WINDOWS)
}
