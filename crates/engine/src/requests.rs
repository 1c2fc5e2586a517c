//! Requests in flight: which attempts share one, and when each attempt times out.

use crate::deadlines::DeadlineQueue;
use crate::message::Attempt;
use cloverstile::{EndpointId, MessageId, Time};
use std::collections::BTreeMap;

/// Identifies one request: one or more attempts that share a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestId(u64);

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightAttempt {
    /// The request that carries it.
    pub request: RequestId,
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// When it was sent.
    pub sent_at: Time,
    /// When it times out.
    pub deadline: Time,
    /// False while its bytes are known to wait: it can't have run.
    pub started: bool,
}

/// A request that is being filled with attempts before it is sent. Never empty.
pub(crate) struct RequestBatch {
    pub request: RequestId,
    pub endpoint: EndpointId,
    pub attempts: Vec<Attempt>,
}

/// All requests that have an attempt in flight.
#[derive(Default)]
pub(crate) struct RequestsInFlight {
    last_id: u64,
    /// Attempts that have not ended, by request. No entry is zero.
    open_attempts: BTreeMap<RequestId, usize>,
    timeouts: DeadlineQueue<MessageId>,
}

impl RequestsInFlight {
    /// Requests that have an attempt in flight.
    pub fn len(&self) -> usize {
        self.open_attempts.len()
    }

    /// A new request's id.
    pub fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// An attempt of a message was sent.
    pub fn start(&mut self, message: MessageId, attempt: &InFlightAttempt) {
        *self.open_attempts.entry(attempt.request).or_default() += 1;
        self.timeouts.insert(attempt.deadline, message);
    }

    /// An attempt of a message ended.
    pub fn finish(&mut self, message: MessageId, attempt: &InFlightAttempt) {
        self.timeouts.remove(attempt.deadline, message);
        if let Some(open) = self.open_attempts.get_mut(&attempt.request) {
            *open -= 1;
            if *open == 0 {
                self.open_attempts.remove(&attempt.request);
            }
        }
    }

    /// Takes out the next message whose attempt has timed out.
    pub fn pop_timed_out(&mut self, now: Time) -> Option<MessageId> {
        self.timeouts.pop_due(now)
    }

    /// When the next attempt times out.
    pub fn next_timeout(&self) -> Option<Time> {
        self.timeouts.next_at()
    }
}
