//! Priority: the value that a message still has.

use crate::interface::{Decay, Time};
use crate::policy_state::{Message, PolicyState};

/// Weight of what waiting for one more aim would lose, against the worth itself.
pub(super) const WAITING_LOSS: f64 = 2.0;

impl PolicyState {
    /// Worth still to be won, and what of it waiting would lose: on time before late, what is about to be
    /// late before what is fresh, and what is about to run out before what may wait.
    pub(super) fn worth(&self, now: Time, message: &Message) -> f64 {
        // Nothing is left after the deadline, nor of a repeat after its window.
        let end = (self.last_send(message) - message.born).as_secs_f64();
        let class = self.class(message);
        let (aim, span) = (class.latency_objective.as_secs_f64().max(0.001), class.deadline.as_secs_f64());
        let value = |age: f64| match self.settings.decay {
            _ if age > end => 0.0,
            _ if age <= aim => 1.0,
            Decay::Linear => 1.0 - (1.0 - class.late_value_ratio) * (age - aim) / (span - aim).max(0.001),
            Decay::Halving => ((aim - age) / aim).exp2().max(class.late_value_ratio),
        };
        let age = (now - message.born).as_secs_f64();
        let share = if message.over_share { self.settings.over_quota_weight } else { 1.0 };
        class.priority_weight * share * ((1.0 + WAITING_LOSS) * value(age) - WAITING_LOSS * value(age + aim))
    }
}
