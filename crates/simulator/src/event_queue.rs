//! Priority queue of pending events on virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Events ordered by time; events with equal times are returned in the order in which they were scheduled.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(Duration, u64, E)>>,
    /// Sequence number of the last scheduled event; breaks ties between equal times.
    scheduled: u64,
}

impl<E: Ord> EventQueue<E> {
    pub(crate) fn new() -> Self {
        EventQueue { heap: BinaryHeap::new(), scheduled: 0 }
    }

    /// Schedules an event; `at` counts from the start of the run.
    pub(crate) fn schedule(&mut self, at: Duration, event: E) {
        self.scheduled += 1;
        self.heap.push(Reverse((at, self.scheduled, event)));
    }

    /// Removes the earliest event and returns it with its time.
    pub(crate) fn pop(&mut self) -> Option<(Duration, E)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
