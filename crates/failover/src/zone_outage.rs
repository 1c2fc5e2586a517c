//! Detects the outage of a whole zone, from the requests to all partners that have a site there.
//!
//! A low-traffic instance has few requests for any one site, often none in a whole outage. What it sees of other
//! partners' sites in the same zone reveals the outage in time.

use cloverstile::{DestinationId, Time};
use std::collections::BTreeSet;
use std::time::Duration;

/// Partners whose requests must fail, with no response from the zone between them: one alone may have an outage of its
/// own.
const MIN_FAILING_PARTNERS: usize = 2;
/// ... and failed requests in all.
const MIN_FAILED_REQUESTS: u32 = 3;

/// A zone as one instance sees it.
#[derive(Default)]
pub(crate) struct ZoneOutageDetector {
    /// The tiers in the zone.
    pub tiers: Vec<DestinationId>,
    last_response: Option<Time>,
    /// Failed requests since the last response.
    failed_requests: u32,
    failing_partners: BTreeSet<DestinationId>,
    is_down: bool,
}

impl ZoneOutageDetector {
    /// A request to a site in the zone, sent at `sent_at`, failed; true if the zone is down from now on.
    pub fn on_failure(
        &mut self,
        now: Time,
        partner: DestinationId,
        sent_at: Time,
        down_after: Duration,
    ) -> bool {
        if self.last_response.is_some_and(|at| sent_at < at) {
            return false;
        }
        self.failed_requests += 1;
        self.failing_partners.insert(partner);
        let is_silent = self.last_response.is_none_or(|at| now - at >= down_after);
        let goes_down = !self.is_down
            && is_silent
            && self.failed_requests >= MIN_FAILED_REQUESTS
            && self.failing_partners.len() >= MIN_FAILING_PARTNERS;
        self.is_down |= goes_down;
        goes_down
    }

    /// A site in the zone responded; true if the zone was down.
    pub fn on_response(&mut self, now: Time) -> bool {
        self.last_response = Some(now);
        self.failed_requests = 0;
        self.failing_partners.clear();
        std::mem::take(&mut self.is_down)
    }
}
