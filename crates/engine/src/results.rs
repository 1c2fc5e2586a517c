//! The cache of final outcomes, and the engine's counters.

use crate::message::FinalOutcome;
use cloverstile::{MessageId, Time};
use std::collections::VecDeque;
use std::time::Duration;

/// Limits of the cache of final outcomes. The cached outcomes answer resubmissions of completed messages.
#[derive(Clone, Copy, Debug)]
pub struct ResultCacheLimits {
    /// Maximum number of final outcomes kept.
    pub max_results: usize,
    /// How long a final outcome is kept after the message's deadline, or after its completion if that is later.
    pub retention: Duration,
}

/// Totals since the engine was created, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages admitted, including recovered ones.
    pub submitted: u64,
    /// Messages completed as [`FinalOutcome::Delivered`].
    pub delivered: u64,
    /// Messages completed as [`FinalOutcome::Rejected`].
    pub rejected: u64,
    /// Messages completed as [`FinalOutcome::Failed`].
    pub failed: u64,
    /// Attempts sent, including those that the transport then did not start.
    pub attempts: u64,
    /// Submissions whose idempotency key was already known.
    pub duplicates: u64,
    /// Messages that the engine completed because the policy did not do so in time. A value above zero indicates a
    /// defect in the policy.
    pub forced_completions: u64,
    /// Moves of messages to another tier after their submission.
    pub relocated: u64,
}

impl Counters {
    /// Counts a final outcome. Cancelled messages are not counted.
    pub(crate) fn count_outcome(&mut self, outcome: FinalOutcome) {
        match outcome {
            FinalOutcome::Delivered => self.delivered += 1,
            FinalOutcome::Rejected(_) => self.rejected += 1,
            FinalOutcome::Failed => self.failed += 1,
            FinalOutcome::Cancelled => {}
        }
    }
}

/// A completed message and the time at which its outcome expires.
struct CachedResult {
    expires_at: Time,
    message: MessageId,
}

/// Completed messages whose outcome is still cached, in the order of completion.
pub(crate) struct ResultCache {
    limits: ResultCacheLimits,
    completed: VecDeque<CachedResult>,
}

impl ResultCache {
    /// Creates an empty cache.
    pub fn new(limits: ResultCacheLimits) -> Self {
        ResultCache { limits, completed: VecDeque::new() }
    }

    /// Adds a message with this deadline that was completed at `now`.
    pub fn insert(&mut self, now: Time, message: MessageId, deadline: Time) {
        let expires_at = deadline.max(now) + self.limits.retention;
        self.completed.push_back(CachedResult { expires_at, message });
    }

    /// Removes and returns the message completed first, if its outcome has expired or the cache exceeds its limit.
    pub fn pop_expired(&mut self, now: Time) -> Option<MessageId> {
        let oldest = self.completed.front()?;
        if oldest.expires_at > now && self.completed.len() <= self.limits.max_results {
            return None;
        }
        self.completed.pop_front().map(|result| result.message)
    }
}
