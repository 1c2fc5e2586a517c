//! Detects the outage of a whole zone from requests to the sites of all partners in the zone.
//!
//! An instance with little traffic sends few requests to any single site, often none during an outage. Requests to
//! other partners' sites in the same zone reveal the outage in time.

use cloverstile::{DestinationId, Time};
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum number of partners whose requests fail, without a response from the zone in between, before the zone is
/// down. A single partner may have an outage of its own.
const MIN_FAILING_PARTNERS: usize = 2;
/// Minimum number of failed requests, over all partners, without a response from the zone in between.
const MIN_FAILED_REQUESTS: u32 = 3;

/// The state of a zone, as observed by one instance.
#[derive(Default)]
pub(crate) struct ZoneOutageDetector {
    /// The tiers of all partners in the zone; a change of the zone's status applies to each of them.
    pub tiers: Vec<DestinationId>,
    last_response: Option<Time>,
    /// Failed requests since the last response.
    failed_requests: u32,
    failing_partners: BTreeSet<DestinationId>,
    is_down: bool,
}

impl ZoneOutageDetector {
    /// Records that a request to a site in the zone, sent at `sent_at`, failed; returns whether the zone goes down. A
    /// request sent before the last response is ignored.
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

    /// Records a response from a site in the zone; returns whether the zone was down.
    pub fn on_response(&mut self, now: Time) -> bool {
        self.last_response = Some(now);
        self.failed_requests = 0;
        self.failing_partners.clear();
        std::mem::take(&mut self.is_down)
    }
}
