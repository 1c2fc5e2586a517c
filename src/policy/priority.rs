//! Priority: the value that sending a message now still has.

use crate::interface::Time;
use crate::policy_state::{remaining_value, Message, PolicyState};

/// Weight of the value lost by waiting for one more latency objective, relative to the value itself.
const WAITING_LOSS_WEIGHT: f64 = 2.0;

impl PolicyState {
    /// The remaining value of a message plus the weighted loss from waiting one more latency objective.
    /// Messages that are on time rank before late ones, those about to become late before fresh ones, and
    /// those about to expire before those that can wait.
    pub fn priority(&self, now: Time, message: &Message) -> f64 {
        // The value is zero after the deadline and, for a retry, after its retry window.
        let max_age = (self.last_send_time(message) - message.submitted_at).as_secs_f64();
        let class = self.class(message);
        let decay = self.settings.decay;
        let value = |age: f64| if age > max_age { 0.0 } else { remaining_value(class, decay, age) };
        let age = (now - message.submitted_at).as_secs_f64();
        let later = age + class.latency_objective.as_secs_f64().max(0.001);
        let quota_weight = if message.over_quota { self.settings.over_quota_weight } else { 1.0 };
        let value = (1.0 + WAITING_LOSS_WEIGHT) * value(age) - WAITING_LOSS_WEIGHT * value(later);
        class.priority_weight * quota_weight * value
    }
}
