//! Evidence that a whole zone is gone, pooled over the partners that have a site there.
//!
//! A light courier has few calls for any one site, often none in a whole outage. What it sees of other partners'
//! sites in the same place tells it in time.

use cloverstile::{DestinationId, Time};
use std::collections::BTreeSet;
use std::time::Duration;

/// Partners whose calls must be lost, with no answer from the zone between them: one alone may have its own trouble.
const LOST_PARTNERS: usize = 2;
/// ... and lost calls in all.
const LOST_CALLS: u32 = 3;

/// A zone as one courier sees it.
#[derive(Default)]
pub(crate) struct Zone {
    /// The tiers that stand there.
    pub tiers: Vec<DestinationId>,
    last_answer: Option<Time>,
    lost_calls: u32,
    lost_partners: BTreeSet<DestinationId>,
    lost: bool,
}

impl Zone {
    /// A call to a site there was lost; true if the zone counts as lost from now on.
    pub fn lost_call(&mut self, now: Time, partner: DestinationId, sent: Time, lost_after: Duration) -> bool {
        if self.last_answer.is_some_and(|at| sent < at) {
            return false;
        }
        self.lost_calls += 1;
        self.lost_partners.insert(partner);
        let silent = self.last_answer.is_none_or(|at| now - at >= lost_after);
        let begins = !self.lost
            && silent
            && self.lost_calls >= LOST_CALLS
            && self.lost_partners.len() >= LOST_PARTNERS;
        self.lost |= begins;
        begins
    }

    /// A site there answered; true if the zone was lost.
    pub fn answered(&mut self, now: Time) -> bool {
        self.last_answer = Some(now);
        self.lost_calls = 0;
        self.lost_partners.clear();
        std::mem::take(&mut self.lost)
    }
}
