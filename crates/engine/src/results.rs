//! Final outcomes: how long they are cached, how many there were, and the time at which one is forced.

use crate::message::FinalOutcome;
use cloverstile::{MessageId, Time};
use std::collections::VecDeque;
use std::time::Duration;

/// Limits of the cache of final outcomes, which answers resubmissions of completed messages.
#[derive(Clone, Copy, Debug)]
pub struct ResultCacheLimits {
    /// Final outcomes kept, at most.
    pub max_results: usize,
    /// How long a final outcome is kept after the message's deadline.
    pub retention: Duration,
}

/// Running totals since the engine was created, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages admitted, recovered ones included.
    pub submitted: u64,
    /// Messages completed as [`FinalOutcome::Delivered`].
    pub delivered: u64,
    /// Messages completed as [`FinalOutcome::Rejected`].
    pub rejected: u64,
    /// Messages completed as [`FinalOutcome::Failed`].
    pub failed: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Submissions of a message that was known already.
    pub duplicates: u64,
    /// Messages that the engine completed because the policy had not done so in time. Not zero: a defect.
    pub forced_completions: u64,
    /// Messages moved to another tier after they were submitted.
    pub relocated: u64,
}

impl Counters {
    /// Counts a final outcome; a cancelled message is in no total.
    pub(crate) fn record(&mut self, outcome: FinalOutcome) {
        match outcome {
            FinalOutcome::Delivered => self.delivered += 1,
            FinalOutcome::Rejected(_) => self.rejected += 1,
            FinalOutcome::Failed => self.failed += 1,
            FinalOutcome::Cancelled => {}
        }
    }
}

/// A completed message and when its outcome may be dropped.
struct CachedResult {
    expires_at: Time,
    message: MessageId,
}

/// Completed messages whose outcome is still kept, the oldest first.
pub(crate) struct ResultCache {
    limits: ResultCacheLimits,
    completed: VecDeque<CachedResult>,
}

impl ResultCache {
    /// An empty cache.
    pub fn new(limits: ResultCacheLimits) -> Self {
        ResultCache { limits, completed: VecDeque::new() }
    }

    /// A message with this deadline was completed at `now`.
    pub fn insert(&mut self, now: Time, message: MessageId, deadline: Time) {
        let expires_at = deadline.max(now) + self.limits.retention;
        self.completed.push_back(CachedResult { expires_at, message });
    }

    /// Takes out the oldest message if it has expired or the cache holds too many.
    pub fn pop_expired(&mut self, now: Time) -> Option<MessageId> {
        let oldest = self.completed.front()?;
        if oldest.expires_at > now && self.completed.len() <= self.limits.max_results {
            return None;
        }
        self.completed.pop_front().map(|result| result.message)
    }
}
