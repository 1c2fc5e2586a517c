//! Priority: the value that sending a message now still has.

use crate::interface::Time;
use crate::policy_state::{remaining_value, Message, PolicyState};

/// Weight of what waiting for one more latency objective would lose, against the value itself.
const WAITING_LOSS: f64 = 2.0;

impl PolicyState {
    /// Value still to be won, and what of it waiting would lose: on time before late, what is about to be
    /// late before what is fresh, and what is about to expire before what may wait.
    pub fn priority(&self, now: Time, message: &Message) -> f64 {
        // Nothing is left after the deadline, nor of a retry after its window.
        let end = (self.last_send_time(message) - message.submitted_at).as_secs_f64();
        let class = self.class(message);
        let decay = self.settings.decay;
        let value = |age: f64| if age > end { 0.0 } else { remaining_value(class, decay, age) };
        let age = (now - message.submitted_at).as_secs_f64();
        let later = age + class.latency_objective.as_secs_f64().max(0.001);
        let quota_weight = if message.over_quota { self.settings.over_quota_weight } else { 1.0 };
        let value = (1.0 + WAITING_LOSS) * value(age) - WAITING_LOSS * value(later);
        class.priority_weight * quota_weight * value
    }
}
