//! A queue of items ordered by the time at which each comes due.

use cloverstile::Time;
use std::collections::BTreeSet;

/// An item and the time at which it comes due; ordered by time first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline<T> {
    at: Time,
    item: T,
}

/// Items by due time; of those due at the same time the smallest comes first.
pub(crate) struct DeadlineQueue<T>(BTreeSet<Deadline<T>>);

impl<T> Default for DeadlineQueue<T> {
    fn default() -> Self {
        DeadlineQueue(BTreeSet::new())
    }
}

impl<T: Copy + Ord> DeadlineQueue<T> {
    /// Adds an item that comes due at `at`.
    pub fn insert(&mut self, at: Time, item: T) {
        self.0.insert(Deadline { at, item });
    }

    /// Removes an item that was added with the same time, if it is still queued.
    pub fn remove(&mut self, at: Time, item: T) {
        self.0.remove(&Deadline { at, item });
    }

    /// When the first item comes due.
    pub fn next_at(&self) -> Option<Time> {
        self.0.first().map(|deadline| deadline.at)
    }

    /// Takes out the first item that is due at `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<T> {
        self.next_at().filter(|at| *at <= now)?;
        self.0.pop_first().map(|deadline| deadline.item)
    }
}
