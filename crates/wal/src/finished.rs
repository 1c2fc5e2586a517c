//! Messages that were attempted and are complete, kept for a while: their ids may come again, also behind a restart.

use crate::record::{FinishedMessage, FinishedOutcome, LiveMessage, TerminalState};
use std::collections::VecDeque;

/// How long a finished message is kept after its deadline, in nanoseconds.
const RETENTION: u64 = 2_000_000_000;
/// Upper bound of the encoded size of a finished message without its id, in bytes.
const MAX_FIXED_FIELD_BYTES: u64 = 32;

impl FinishedMessage {
    /// What is kept of a completed message; `None` if it may be submitted again.
    pub(crate) fn of(message: LiveMessage) -> Option<Self> {
        let outcome = match message.pending_notification {
            _ if message.attempts == 0 => return None,
            Some(TerminalState::Deferred(_)) => return None,
            Some(TerminalState::Undeliverable) => FinishedOutcome::Undeliverable,
            None => FinishedOutcome::Delivered,
        };
        Some(FinishedMessage { id: message.id, outcome, deadline: message.deadline })
    }

    fn max_encoded_size(&self) -> u64 {
        self.id.len() as u64 + MAX_FIXED_FIELD_BYTES
    }
}

/// The finished messages, in the order in which they were completed.
#[derive(Default)]
pub(crate) struct FinishedMessages {
    messages: VecDeque<FinishedMessage>,
    /// Upper bound of their encoded size, in bytes.
    bytes: u64,
}

impl FinishedMessages {
    pub fn push(&mut self, message: FinishedMessage) {
        self.bytes += message.max_encoded_size();
        self.messages.push_back(message);
    }

    /// Drops the oldest messages while they have expired at `now`, or while all of them exceed `max_bytes`.
    pub fn prune(&mut self, now: u64, max_bytes: u64) {
        let is_obsolete = |oldest: &FinishedMessage, bytes| {
            oldest.deadline.saturating_add(RETENTION) < now || bytes > max_bytes
        };
        while self.messages.front().is_some_and(|oldest| is_obsolete(oldest, self.bytes)) {
            self.bytes -= self.messages.pop_front().map_or(0, |message| message.max_encoded_size());
        }
    }

    /// Upper bound of their encoded size, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn iter(&self) -> impl Iterator<Item = &FinishedMessage> {
        self.messages.iter()
    }

    /// Removes and returns all messages.
    pub fn take(&mut self) -> Vec<FinishedMessage> {
        self.bytes = 0;
        std::mem::take(&mut self.messages).into()
    }
}
