//! The budget that limits how many messages spill from a tier to the next one.

use cloverstile::Time;

/// Messages of spill that may be saved up: the share holds at every moment, not on the mean of a day.
const MAX_SAVED: f64 = 1.0;

/// Spill that a tier's messages have earned and not used.
pub(crate) struct SpillBudget {
    /// Messages that the share permits.
    credit: f64,
    /// Messages that the rate permits.
    tokens: f64,
    refilled_at: Time,
}

impl SpillBudget {
    /// A budget without credit, at `now`.
    pub fn new(now: Time) -> Self {
        SpillBudget { credit: 0.0, tokens: MAX_SAVED, refilled_at: now }
    }

    /// Sets the messages that the share permits at once.
    pub fn set_credit(&mut self, credit: f64) {
        self.credit = credit;
    }

    /// Whether one more message spills, of which this share may, and this many a second at most.
    ///
    /// Whole messages of the share, in even steps: no window sees more than its share and one message. The fraction over
    /// a whole one is kept: cutting it off would let a third through where 0.43 is stated.
    pub fn take(&mut self, now: Time, share: f64, rate: Option<f64>) -> bool {
        let share = share.clamp(0.0, 1.0);
        self.credit = (self.credit + share).min(MAX_SAVED + share);
        if let Some(rate) = rate {
            self.tokens = (self.tokens + (now - self.refilled_at).as_secs_f64() * rate).min(MAX_SAVED);
            self.refilled_at = now;
        }
        let permitted = self.credit >= 1.0 && (rate.is_none() || self.tokens >= 1.0);
        if permitted {
            self.credit -= 1.0;
            self.tokens -= 1.0;
        }
        permitted
    }
}
