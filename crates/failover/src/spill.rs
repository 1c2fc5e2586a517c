//! The budget that limits how many messages spill from a tier to the next.

use cloverstile::Time;

/// Most messages of spill that the budget saves up. Kept small so that the share holds in every short interval, not
/// only on average over a day.
const MAX_SAVED_MESSAGES: f64 = 1.0;

/// Spillover that is permitted for the messages of a tier and not used yet.
pub(crate) struct SpillBudget {
    /// Messages that the spill share permits to spill.
    share_credit: f64,
    /// Messages that the spill rate permits to spill.
    rate_tokens: f64,
    refilled_at: Time,
}

impl SpillBudget {
    /// Creates a budget at `now` without credit from the spill share.
    pub fn new(now: Time) -> Self {
        SpillBudget { share_credit: 0.0, rate_tokens: MAX_SAVED_MESSAGES, refilled_at: now }
    }

    /// Sets the number of messages, a fraction included, that the spill share permits at once.
    pub fn set_credit(&mut self, share_credit: f64) {
        self.share_credit = share_credit;
    }

    /// Counts one more message for the tier and returns whether it spills. `share` is the share of messages that may
    /// spill, `rate` the most messages per second.
    ///
    /// The share accumulates until it permits a whole message, so no window spills more than its share and one message.
    /// The fraction above a whole message is kept; without it, a share of 0.43 would spill only one third.
    pub fn try_spill(&mut self, now: Time, share: f64, rate: Option<f64>) -> bool {
        let share = share.clamp(0.0, 1.0);
        self.share_credit = (self.share_credit + share).min(MAX_SAVED_MESSAGES + share);
        if let Some(rate) = rate {
            self.rate_tokens =
                (self.rate_tokens + (now - self.refilled_at).as_secs_f64() * rate).min(MAX_SAVED_MESSAGES);
            self.refilled_at = now;
        }
        let permitted = self.share_credit >= 1.0 && (rate.is_none() || self.rate_tokens >= 1.0);
        if permitted {
            self.share_credit -= 1.0;
            self.rate_tokens -= 1.0;
        }
        permitted
    }
}
