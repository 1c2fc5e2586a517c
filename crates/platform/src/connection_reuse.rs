//! Decides when a connection to an endpoint may carry another request.
//!
//! A response names no request. A second copy of a response that arrives while the next request is in flight would be
//! taken for the response to that request. So a connection is not used again until it has been quiet for a while, and a
//! copy that arrives in this time closes it.

use cloverstile::Time;
use std::time::Duration;

/// Time without a byte after a response before the next request. A process may be held up for 0.15 s between writing a
/// response and its copy.
const MIN_QUIET_PERIOD: Duration = Duration::from_millis(160);
/// Longest time without a byte that a connection is kept waiting for.
const MAX_QUIET_PERIOD: Duration = Duration::from_secs(1);
/// The quiet period as a multiple of the longest known time between a response and unsolicited bytes.
const QUIET_PERIOD_MULTIPLE: u32 = 2;
/// How long the time between a response and unsolicited bytes is remembered.
const MEMORY: Duration = Duration::from_secs(600);

/// Decides when a connection may carry another request.
///
/// What one endpoint does teaches about all of them, since endpoints of one kind and the proxies before them behave alike.
#[derive(Default)]
pub(crate) struct ReusePolicy {
    learned: Option<LearnedQuietPeriod>,
}

/// A quiet period that follows from unsolicited bytes.
struct LearnedQuietPeriod {
    period: Duration,
    until: Time,
}

impl ReusePolicy {
    /// How long a connection must have been quiet after a response before it carries another request.
    pub fn quiet_period(&self, now: Time) -> Duration {
        let learned = self.learned.as_ref().filter(|learned| now < learned.until);
        learned.map_or(MIN_QUIET_PERIOD, |learned| learned.period)
    }

    /// Learns from unsolicited bytes that arrived `since_response` after a response.
    pub fn on_unsolicited(&mut self, now: Time, since_response: Duration) {
        let period = since_response.saturating_mul(QUIET_PERIOD_MULTIPLE);
        let period = period.min(MAX_QUIET_PERIOD).max(self.quiet_period(now));
        self.learned = Some(LearnedQuietPeriod { period, until: now + MEMORY });
    }
}
