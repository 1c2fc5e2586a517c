//! Requests in flight: the number of attempts in each request, and the time-out of each attempt.

use crate::deadlines::DeadlineQueue;
use crate::message::{Attempt, TransportOutcome};
use cloverstile::{EndpointId, MessageId, Time};
use std::collections::BTreeMap;

/// Identifies a request, which carries one or more attempts on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestId(u64);

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightAttempt {
    /// The request that carries the attempt.
    pub request: RequestId,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// When the policy's send was carried out; the attempt's latency counts from here.
    pub sent_at: Time,
    /// When the attempt times out.
    pub deadline: Time,
    /// False while the attempt is known not to have been written to a connection, so that it can't have run.
    pub started: bool,
    /// The outcome that a response states which was read and is still in doubt. If nothing contradicts it, the attempt ends
    /// with it, whatever ends the attempt.
    pub held_response: Option<TransportOutcome>,
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
    /// Number of attempts in flight by request; entries are removed when they reach zero.
    attempts_in_flight: BTreeMap<RequestId, usize>,
    timeouts: DeadlineQueue<MessageId>,
}

impl RequestsInFlight {
    /// Number of requests that have an attempt in flight.
    pub fn len(&self) -> usize {
        self.attempts_in_flight.len()
    }

    /// Assigns the id of a new request.
    pub fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// Adds an attempt of a message that was sent.
    pub fn add_attempt(&mut self, message: MessageId, attempt: &InFlightAttempt) {
        *self.attempts_in_flight.entry(attempt.request).or_default() += 1;
        self.timeouts.insert(attempt.deadline, message);
    }

    /// Removes an attempt of a message that ended, and its request if that was the last attempt in flight.
    pub fn remove_attempt(&mut self, message: MessageId, attempt: &InFlightAttempt) {
        self.timeouts.remove(attempt.deadline, message);
        if let Some(in_flight) = self.attempts_in_flight.get_mut(&attempt.request) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.attempts_in_flight.remove(&attempt.request);
            }
        }
    }

    /// Returns the next message whose attempt has timed out, and removes that time-out.
    pub fn pop_timed_out(&mut self, now: Time) -> Option<MessageId> {
        self.timeouts.pop_due(now)
    }

    /// The earliest time at which an attempt times out.
    pub fn next_timeout(&self) -> Option<Time> {
        self.timeouts.next_deadline()
    }
}
