//! Retries: until when and when a message may be sent again, after what gap, and the time-out of an attempt.

use crate::interface::{Class, Effect, MessageId, Settings, Time};
use crate::policy_state::{Latency, Message, PolicyState, RouteId};
use std::time::Duration;

/// First and longest gap before a repeat, as parts of the class's aim.
pub(super) const BACKOFF_OF_AIM: (f64, f64) = (0.05, 0.7);
/// A keyed message is not resent in the last part of its window: the call must still arrive inside it.
pub(super) const WINDOW_MARGIN: f64 = 0.1;
/// Time-out of a repeatable attempt, in latencies (mean and deviation) of its destination, bounded in aims.
pub(super) const TIMEOUT_LATENCIES: f64 = 4.0;
pub(super) const TIMEOUT_AIMS: (f64, f64) = (0.5, 3.0);

impl PolicyState {
    pub(super) fn repeatable(&self, message: &Message) -> bool {
        self.class(message).effect != Effect::Unsafe
    }

    /// Latency of a route; before its first answer that over all, as light couriers have few of any one.
    pub(super) fn latency(&self, id: RouteId) -> Latency {
        self.routes.get(&id).map(|route| route.latency).filter(|own| own.samples > 0).unwrap_or(self.usual)
    }

    /// Until when a message may be sent again.
    pub(super) fn last_send(&self, message: &Message) -> Time {
        let class = self.class(message);
        match (message.maybe_ran, class.effect) {
            _ if message.attempts - u32::from(message.out.is_some()) >= self.settings.max_attempts => {
                Time::ZERO
            }
            (Some(_), Effect::Unsafe) => Time::ZERO,
            (Some((first, _)), Effect::Keyed) => retry_window_end(class, first).min(message.taken.deadline),
            _ => message.taken.deadline,
        }
    }

    /// The one gate for every send: when this message may be sent; none if not before some event, or never.
    pub(super) fn sendable_at(&self, now: Time, message: &Message) -> Option<Time> {
        if message.closed || message.out.is_some() || now > self.last_send(message) {
            return None;
        }
        let class = self.class(message);
        let mut at = message.not_before;
        if let (true, Some(key)) = (class.ordered, message.taken.key) {
            if self.keys.get(&key).and_then(|turn| turn.first()) != Some(&message.taken.id) {
                return None;
            }
            // The rest after an unsettled attempt binds the next messages of the key, not the same one.
            if message.attempts == 0 {
                at = at.max(self.rests.get(&key).copied().unwrap_or(Time::ZERO));
            }
        }
        Some(at)
    }

    /// Follows the destination's own latency; the last possible attempt gets all the time that is left.
    pub(super) fn time_out(&self, now: Time, id: RouteId, message: MessageId) -> Duration {
        let Some(m) = self.messages.get(&message) else { return Duration::ZERO };
        let class = self.class(m);
        let left = m.taken.deadline - now;
        let usual = self.latency(id).times(TIMEOUT_LATENCIES);
        let aim = class.latency_objective.as_secs_f64();
        let span = Duration::from_secs_f64(usual.clamp(aim * TIMEOUT_AIMS.0, aim * TIMEOUT_AIMS.1));
        let first = m.maybe_ran.map_or(now, |(first, _)| first);
        let last = m.attempts + 1 >= self.settings.max_attempts
            || class.effect == Effect::Unsafe
            || (class.effect == Effect::Keyed && now + span > retry_window_end(class, first));
        let span = if last { left } else { span };
        span.min(left)
    }
}

/// Until when a keyed message may be resent that may first have run in an attempt sent then.
pub fn retry_window_end(class: &Class, first: Time) -> Time {
    first + class.retry_window.mul_f64(1.0 - WINDOW_MARGIN)
}

/// A gap that doubles from try to try, up to the longest one.
pub(super) fn growing_gap(unit: Duration, (first, longest): (f64, f64), tries: u32) -> Duration {
    unit.mul_f64((first * f64::from(tries.min(16)).exp2()).min(longest))
}

/// Shortest aim of a class, in seconds.
pub(super) fn shortest_aim(settings: &Settings) -> f64 {
    let aim = settings.classes.iter().map(|c| c.latency_objective).min();
    aim.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(0.001)
}
