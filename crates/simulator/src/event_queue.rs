//! The event queue of a simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Events ordered by time; events of the same time come in the order in which they were scheduled.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(Duration, u64, E)>>,
    /// Events scheduled so far: the sequence number of the latest.
    scheduled: u64,
}

impl<E: Ord> EventQueue<E> {
    pub(crate) fn new() -> Self {
        EventQueue { heap: BinaryHeap::new(), scheduled: 0 }
    }

    /// Schedules an event at a time since the beginning of the run.
    pub(crate) fn schedule(&mut self, at: Duration, event: E) {
        self.scheduled += 1;
        self.heap.push(Reverse((at, self.scheduled, event)));
    }

    /// The next event and its time.
    pub(crate) fn pop(&mut self) -> Option<(Duration, E)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
