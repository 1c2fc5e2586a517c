//! A queue of items ordered by deadline.

use cloverstile::Time;
use std::collections::BTreeSet;

/// An item and its deadline. The derived order compares `at` before `item`, so the field order matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline<T> {
    at: Time,
    item: T,
}

/// Items ordered by deadline; items with the same deadline are ordered by value.
pub(crate) struct DeadlineQueue<T>(BTreeSet<Deadline<T>>);

impl<T> Default for DeadlineQueue<T> {
    fn default() -> Self {
        DeadlineQueue(BTreeSet::new())
    }
}

impl<T: Copy + Ord> DeadlineQueue<T> {
    /// Adds an item that becomes due at `at`. Adding the same pair again has no effect.
    pub fn insert(&mut self, at: Time, item: T) {
        self.0.insert(Deadline { at, item });
    }

    /// Removes the item that was added with this deadline, if it is still queued.
    pub fn remove(&mut self, at: Time, item: T) {
        self.0.remove(&Deadline { at, item });
    }

    /// The earliest deadline in the queue.
    pub fn next_deadline(&self) -> Option<Time> {
        self.0.first().map(|deadline| deadline.at)
    }

    /// Removes and returns the earliest item whose deadline is at or before `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<T> {
        self.next_deadline().filter(|at| *at <= now)?;
        self.0.pop_first().map(|deadline| deadline.item)
    }
}
