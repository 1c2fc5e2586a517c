//! Timers of the load harness.

use cloverstile_net::ConnId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A scheduled action of the load harness.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Draws and submits the next message.
    NextSubmission,
    /// Retries the submission of a message after a failed connection.
    RetrySubmission {
        /// Index of the message in the invariant tracker.
        message: usize,
    },
    /// Sends the response to a request at an endpoint.
    Response {
        /// Index of the request in the harness state.
        request: usize,
    },
    /// Answers a watch of the endpoint list.
    WatchResponse {
        /// Connection of the watch.
        connection: ConnId,
        /// Number of the watch, which tells it from later ones on the connection.
        watch: u64,
    },
    /// Begins or ends a fault.
    Fault {
        /// Index of the fault among the scenario's faults.
        fault_index: usize,
        /// Whether the fault begins or ends.
        begins: bool,
    },
    /// Restarts a gateway that was killed.
    StartGateway {
        /// Index of the gateway.
        gateway: usize,
    },
    /// Checks for gateways that exited unexpectedly.
    CheckProcesses,
}

/// Priority queue of timers by due time. Timers due at the same time run in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<(Duration, u64, Timer)>>,
    /// Number of timers scheduled so far; breaks ties of due times.
    scheduled: u64,
}

impl TimerQueue {
    /// Schedules a timer; `at` is relative to the start of the run.
    pub fn schedule(&mut self, at: Duration, timer: Timer) {
        self.scheduled += 1;
        self.heap.push(Reverse((at, self.scheduled, timer)));
    }

    /// Removes and returns the earliest timer that is due; `None` if none is due.
    pub fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let Reverse((at, ..)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((.., timer))| timer)
    }

    /// Time until the earliest timer, zero if it is overdue; `None` without a timer.
    pub fn until_next(&self, now: Duration) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, ..))| at.saturating_sub(now))
    }
}
