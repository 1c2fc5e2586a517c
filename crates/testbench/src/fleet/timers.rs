//! What the load harness does at a later time.

use cloverstile_net::ConnId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// An action that is due at a time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Draw and submit the next message.
    NextSubmission,
    /// Submit a message again whose gateway did not accept the connection.
    RetrySubmission {
        /// Number of the message.
        message: usize,
    },
    /// Write the response to a request at an endpoint.
    Response {
        /// Number of the request.
        request: usize,
    },
    /// Answer a watch of the endpoint list.
    WatchResponse {
        /// Its connection.
        connection: ConnId,
        /// Number of the watch.
        watch: u64,
    },
    /// Begin or end a fault.
    Fault {
        /// Position of the fault in the scenario.
        position: usize,
        /// Whether it begins.
        begins: bool,
    },
    /// Start a gateway that was killed.
    StartGateway {
        /// Number of the gateway.
        gateway: usize,
    },
    /// Look for gateways that exited by themselves.
    CheckProcesses,
}

/// Timers in the order of their times; of equal times the one first scheduled comes first.
#[derive(Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    scheduled: u64,
}

impl TimerQueue {
    /// Schedules a timer; times are since the start of the run.
    pub fn schedule(&mut self, at: Duration, timer: Timer) {
        self.scheduled += 1;
        self.heap.push(Reverse((at, self.scheduled, timer)));
    }

    /// Removes and returns the earliest timer that is due.
    pub fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let Reverse((at, ..)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((.., timer))| timer)
    }

    /// Time until the earliest timer; none if there is no timer.
    pub fn until_next(&self, now: Duration) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, ..))| at.saturating_sub(now))
    }
}
