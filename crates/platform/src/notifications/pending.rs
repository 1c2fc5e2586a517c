//! The notifications that are not settled, and when each may be sent next.
//!
//! A notification is in at most [`MAX_OPEN_REQUESTS`] unanswered requests. The first request goes out as soon as possible, the
//! second one only if the first is unanswered for longer than the agent normally takes. After failed requests the next one
//! waits, for twice as long after each.

use super::Notification;
use cloverstile::{OrderKey, Time};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Maximum number of unanswered requests that carry one notification: the first one and a copy of it.
pub(super) const MAX_OPEN_REQUESTS: u32 = 2;
/// Delay of the next request after the second failure; doubled after each further one. After the first failure there is none.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay of the next request after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A notification that is not settled.
struct PendingNotification {
    notification: Notification,
    /// Its position in the order in which the notifications became due.
    sequence: u64,
    /// Whether it must not be sent until [`PendingNotifications::release_held`].
    is_held: bool,
    /// Whether it was sent before.
    was_sent: bool,
    /// Number of unanswered requests that carry it.
    open_requests: u32,
    /// Number of its requests that failed.
    failures: u32,
    /// When it may be sent; none until one of its requests ends.
    due_at: Option<Time>,
}

/// Order in which due notifications are sent: first those that were never sent, the oldest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SendOrder {
    was_sent: bool,
    due_at: Time,
    sequence: u64,
}

impl PendingNotification {
    /// When it may be sent; none while it is held or waits for an answer.
    fn sendable_at(&self) -> Option<Time> {
        self.due_at.filter(|_| !self.is_held)
    }

    fn send_order(&self, due_at: Time) -> SendOrder {
        SendOrder { was_sent: self.was_sent, due_at, sequence: self.sequence }
    }
}

/// All notifications that are not settled, by the number that the log assigned to the message.
#[derive(Default)]
pub(super) struct PendingNotifications {
    notifications: BTreeMap<u32, PendingNotification>,
    /// Number of them by order key.
    blocked_keys: HashMap<OrderKey, usize>,
    next_sequence: u64,
}

impl PendingNotifications {
    /// Adds a notification, which is due at once.
    pub fn insert(&mut self, message_number: u32, notification: Notification, is_held: bool) {
        if let Some(key) = notification.order_key {
            *self.blocked_keys.entry(key).or_default() += 1;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let pending = PendingNotification {
            notification,
            sequence,
            is_held,
            was_sent: false,
            open_requests: 0,
            failures: 0,
            due_at: Some(Time::ZERO),
        };
        self.notifications.insert(message_number, pending);
    }

    /// Removes a notification and returns whether it was pending.
    pub fn remove(&mut self, message_number: u32) -> bool {
        let Some(pending) = self.notifications.remove(&message_number) else { return false };
        let Some(key) = pending.notification.order_key else { return true };
        if let Some(count) = self.blocked_keys.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.blocked_keys.remove(&key);
            }
        }
        true
    }

    /// Allows all held notifications to be sent.
    pub fn release_held(&mut self) {
        self.notifications.values_mut().for_each(|pending| pending.is_held = false);
    }

    /// Whether a notification with this order key is pending.
    pub fn is_key_blocked(&self, key: OrderKey) -> bool {
        self.blocked_keys.contains_key(&key)
    }

    /// Number of notifications.
    pub fn len(&self) -> usize {
        self.notifications.len()
    }

    /// The earliest time at which a notification may be sent.
    pub fn sendable_at(&self) -> Option<Time> {
        self.notifications.values().filter_map(PendingNotification::sendable_at).min()
    }

    /// The notifications of the next request, at most `limit`, in the order in which they are sent.
    pub fn take_batch(&mut self, now: Time, limit: usize, copy_delay: Duration) -> Vec<(u32, Notification)> {
        let mut due: Vec<(SendOrder, u32)> = self
            .notifications
            .iter()
            .filter_map(|(number, pending)| {
                let due_at = pending.sendable_at().filter(|due_at| *due_at <= now)?;
                Some((pending.send_order(due_at), *number))
            })
            .collect();
        due.sort_unstable();
        due.truncate(limit);
        due.into_iter()
            .filter_map(|(_, number)| Some((number, self.mark_sent(now, number, copy_delay)?)))
            .collect()
    }

    /// Counts a request that carries a notification, and returns the notification.
    fn mark_sent(&mut self, now: Time, message_number: u32, copy_delay: Duration) -> Option<Notification> {
        let pending = self.notifications.get_mut(&message_number)?;
        pending.was_sent = true;
        pending.open_requests += 1;
        pending.due_at = (pending.open_requests < MAX_OPEN_REQUESTS).then_some(now + copy_delay);
        Some(pending.notification.clone())
    }

    /// Handles the failure of a request that carried a notification.
    pub fn on_request_failed(&mut self, now: Time, message_number: u32, copy_delay: Duration) {
        let Some(pending) = self.notifications.get_mut(&message_number) else { return };
        pending.open_requests = pending.open_requests.saturating_sub(1);
        pending.failures += 1;
        let delay = if pending.open_requests == 0 { backoff(pending.failures) } else { copy_delay };
        pending.due_at = Some(now + delay);
    }

    /// Makes all notifications due as if none had been sent.
    pub fn reset(&mut self) {
        for pending in self.notifications.values_mut() {
            pending.was_sent = false;
            pending.open_requests = 0;
            pending.failures = 0;
            pending.due_at = Some(Time::ZERO);
        }
    }
}

/// Delay of the next request after this many failures.
fn backoff(failures: u32) -> Duration {
    match failures.checked_sub(2) {
        None => Duration::ZERO,
        Some(doublings) => FIRST_BACKOFF.saturating_mul(1 << doublings.min(10)).min(MAX_BACKOFF),
    }
}
