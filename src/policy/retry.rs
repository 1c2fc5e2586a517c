//! Retry: when a message may be sent, the retry backoff, and the time-out of an attempt.

use crate::interface::{Class, Effect, MessageId, Time};
use crate::policy_state::{Backoff, LatencyEstimate, Message, PolicyState, RouteId};
use std::time::Duration;

/// Backoff before a retry, in latency objectives of the class; with full jitter.
pub(super) const RETRY_BACKOFF: Backoff = Backoff { initial: 0.05, max: 0.7 };
/// A keyed message is not resent in this last fraction of its retry window, as it must arrive inside it.
const RETRY_WINDOW_MARGIN: f64 = 0.1;
/// Minimum of that margin: a process may be paused for this long between reading its clock and writing.
pub(super) const MAX_PROCESS_PAUSE: Duration = Duration::from_millis(150);
/// Time-out of a repeatable attempt, as a multiple of the latency (mean plus deviation) of its route.
pub(super) const TIMEOUT_LATENCY_MULTIPLE: f64 = 4.0;
/// Bounds of that time-out, in latency objectives.
const MIN_TIMEOUT_OBJECTIVES: f64 = 0.5;
const MAX_TIMEOUT_OBJECTIVES: f64 = 3.0;

impl PolicyState {
    /// Whether a message may be sent again after an attempt that may have run.
    pub fn is_repeatable(&self, message: &Message) -> bool {
        self.class(message).effect != Effect::Unsafe
    }

    /// Latency of a route. Before its first response, the latency over all routes, as a low-traffic instance
    /// has few responses from any one route.
    pub fn latency(&self, route: RouteId) -> LatencyEstimate {
        let own = self.routes.get(&route).map(|route| route.latency);
        own.filter(|own| own.samples > 0).unwrap_or(self.overall_latency)
    }

    /// The latest time at which a message may be sent; zero if it may not be sent again.
    pub fn last_send_time(&self, message: &Message) -> Time {
        let (class, deadline) = (self.class(message), message.submission.deadline);
        let finished_attempts = message.attempts - u32::from(message.in_flight.is_some());
        if finished_attempts >= self.settings.max_attempts {
            return Time::ZERO;
        }
        match (message.first_may_have_run, class.effect) {
            (Some(_), Effect::Unsafe) => Time::ZERO,
            (Some(first), Effect::Keyed) => retry_window_end(class, first.sent_at).min(deadline),
            _ => deadline,
        }
    }

    /// When a message may be sent; `None` if only after some event, or never. Every send is checked here.
    pub fn sendable_at(&self, now: Time, message: &Message) -> Option<Time> {
        if message.completed || message.in_flight.is_some() || now > self.last_send_time(message) {
            return None;
        }
        let key = message.submission.key.filter(|_| self.class(message).ordered);
        let Some(key) = key else { return Some(message.not_before) };
        if !self.is_first_of_key(key, message.submission.id) {
            return None;
        }
        // A cooldown after an attempt that may still run delays later messages of the key, not its retries.
        let cooldown = if message.attempts == 0 { self.cooldown_end(key) } else { Time::ZERO };
        Some(message.not_before.max(cooldown))
    }

    /// Follows the latency of the route; the last possible attempt gets all the time that remains.
    pub fn attempt_timeout(&self, now: Time, route: RouteId, message: MessageId) -> Duration {
        let Some(message) = self.messages.get(&message) else { return Duration::ZERO };
        let class = self.class(message);
        let objective = class.latency_objective.as_secs_f64();
        let scaled = self.latency(route).scaled(TIMEOUT_LATENCY_MULTIPLE);
        let bounded = scaled.clamp(objective * MIN_TIMEOUT_OBJECTIVES, objective * MAX_TIMEOUT_OBJECTIVES);
        let timeout = Duration::from_secs_f64(bounded);
        let first_sent = message.first_may_have_run.map_or(now, |first| first.sent_at);
        let is_last = message.attempts + 1 >= self.settings.max_attempts
            || class.effect == Effect::Unsafe
            || (class.effect == Effect::Keyed && now + timeout > retry_window_end(class, first_sent));
        let remaining = message.submission.deadline - now;
        if is_last {
            remaining
        } else {
            timeout.min(remaining)
        }
    }
}

/// Until when a keyed message may be resent after `first_sent`, when the first attempt that may have run was
/// sent. Ends before the retry window by a margin, so that the request still arrives inside it.
pub fn retry_window_end(class: &Class, first_sent: Time) -> Time {
    let margin = class.retry_window.mul_f64(RETRY_WINDOW_MARGIN).max(MAX_PROCESS_PAUSE);
    first_sent + class.retry_window.saturating_sub(margin)
}
