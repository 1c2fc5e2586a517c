//! Tier migration: assigns messages to the tiers of a partner, and selects the waiting messages that leave a tier that
//! is down.
//!
//! When a message moves, the policy receives a cancellation for the old tier and a submission for the new one.

use crate::message_record::MessageRecord;
use crate::message_table::MessageTable;
use cloverstile::{DestinationId, Event, MessageId, OrderKey, Settings, Submission, Time};
use cloverstile_failover::{FailoverPolicy, TierStatus};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The pending messages of partners with several tiers, by tier and by order key.
#[derive(Default)]
pub(crate) struct TierQueues {
    by_tier: BTreeMap<DestinationId, BTreeSet<MessageId>>,
    /// The messages with each order key, in the order of submission.
    by_order_key: HashMap<OrderKey, VecDeque<MessageId>>,
}

impl TierQueues {
    /// Adds a message to those that wait for a tier.
    fn add_waiting(&mut self, tier: DestinationId, id: MessageId) {
        self.by_tier.entry(tier).or_default().insert(id);
    }

    fn remove_waiting(&mut self, tier: DestinationId, id: MessageId) {
        if let Some(waiting) = self.by_tier.get_mut(&tier) {
            waiting.remove(&id);
            if waiting.is_empty() {
                self.by_tier.remove(&tier);
            }
        }
    }

    /// Removes a completed message from its tier and from the queue of its order key.
    pub fn remove(&mut self, id: MessageId, record: &MessageRecord) {
        self.remove_waiting(record.tier, id);
        let Some(key) = record.order_key else { return };
        if let Some(queue) = self.by_order_key.get_mut(&key) {
            queue.retain(|other| *other != id);
            if queue.is_empty() {
                self.by_order_key.remove(&key);
            }
        }
    }

    /// The pending message that was submitted last under an order key.
    fn last_with_key(&self, key: OrderKey) -> Option<MessageId> {
        self.by_order_key.get(&key)?.back().copied()
    }

    /// Whether no pending message precedes this one under its order key.
    fn is_first_with_key(&self, id: MessageId, key: Option<OrderKey>) -> bool {
        let queue = key.and_then(|key| self.by_order_key.get(&key));
        queue.is_none_or(|queue| queue.front() == Some(&id))
    }

    /// All pending messages with this message's order key, in order; only the message itself if it has no order key.
    fn messages_with_key_of(&self, id: MessageId, key: Option<OrderKey>) -> Vec<MessageId> {
        let queue = key.and_then(|key| self.by_order_key.get(&key));
        queue.map_or_else(|| vec![id], |queue| queue.iter().copied().collect())
    }
}

/// A message that may move to another tier.
#[derive(Clone, Copy)]
struct Candidate {
    priority_weight: f64,
    message: MessageId,
}

/// One round of migration, with references to the state that it changes.
pub(crate) struct Migration<'a> {
    now: Time,
    settings: &'a Settings,
    failover: &'a mut dyn FailoverPolicy,
    messages: &'a mut MessageTable,
    queues: &'a mut TierQueues,
    result: MigrationResult,
}

/// The result of a round of migration.
#[derive(Default)]
pub(crate) struct MigrationResult {
    /// Events to pass to the policy, in this order.
    pub policy_events: Vec<Event>,
    /// Number of messages that moved to another tier.
    pub relocated: u64,
}

impl<'a> Migration<'a> {
    /// Starts a round of migration at `now`.
    pub fn new(
        now: Time,
        settings: &'a Settings,
        failover: &'a mut dyn FailoverPolicy,
        messages: &'a mut MessageTable,
        queues: &'a mut TierQueues,
    ) -> Self {
        Migration { now, settings, failover, messages, queues, result: MigrationResult::default() }
    }

    /// Selects the tier of a new message, before the message is passed to the policy.
    pub fn assign(mut self, id: MessageId) -> MigrationResult {
        let Some(record) = self.messages.get(id) else { return self.result };
        let partner = record.partner;
        if !self.failover.has_tiers(partner) {
            return self.result;
        }
        let key = record.ordering_key(self.settings);
        let priority_weight = record.priority_weight(self.settings);
        // A message behind one that waits for a tier that is down has to wait for it whichever tier is selected, so
        // counting it as spilled would waste part of the spill share.
        let predecessor =
            key.and_then(|key| self.queues.last_with_key(key)).and_then(|id| self.messages.get(id));
        let predecessor_tier = predecessor.map(|record| record.tier);
        let blocked_tier = predecessor_tier.filter(|tier| self.is_down(partner, *tier));
        let mut tier = blocked_tier.unwrap_or_else(|| self.failover.select_tier(self.now, partner));
        let spill_uncounted = blocked_tier.is_some() || !self.is_down(partner, tier);
        // The spill share limits how many messages may leave the tier, not which ones; those with the greatest priority
        // weight leave first.
        if tier != partner && self.is_down(partner, partner) {
            if let Some(higher_priority) = self.next_with_higher_priority(partner, priority_weight) {
                self.relocate(higher_priority, tier);
                tier = partner;
            }
        }
        self.queues.add_waiting(tier, id);
        if let Some(key) = key {
            self.queues.by_order_key.entry(key).or_default().push_back(id);
        }
        if let Some(record) = self.messages.get_mut(id) {
            record.tier = tier;
            record.spill_uncounted = spill_uncounted;
        }
        self.result
    }

    /// Selects a tier again for messages that wait for a tier that is down, for as many as the failover policy
    /// requests.
    pub fn reassign_waiting(mut self) -> MigrationResult {
        while let Some(reassignment) = self.failover.next_reassignment(self.now) {
            let from = reassignment.tier;
            // Each message is counted once towards the spill share, even if another one moves in its place.
            let Some(counted) = self.next_candidate(from, |record| record.spill_uncounted) else { continue };
            if let Some(record) = self.messages.get_mut(counted.message) {
                record.spill_uncounted = false;
            }
            let to = self.failover.select_tier(self.now, reassignment.partner);
            if to != from && !self.is_down(reassignment.partner, to) {
                let higher_priority = self.next_with_higher_priority(from, counted.priority_weight);
                self.relocate(higher_priority.unwrap_or(counted.message), to);
            }
        }
        self.result
    }

    fn is_down(&self, partner: DestinationId, tier: DestinationId) -> bool {
        matches!(self.failover.tier_status(partner, tier), Some(TierStatus::Down(_)))
    }

    /// The message that leaves a tier first, if its priority weight exceeds `priority_weight`.
    fn next_with_higher_priority(&self, tier: DestinationId, priority_weight: f64) -> Option<MessageId> {
        let higher_priority =
            |record: &MessageRecord| record.priority_weight(self.settings) > priority_weight;
        self.next_candidate(tier, higher_priority).map(|candidate| candidate.message)
    }

    /// Among the messages that may leave a tier and for which `accepts` returns true, the one with the greatest
    /// priority weight; among equals the newest, because it has waited least.
    fn next_candidate(
        &self,
        tier: DestinationId,
        accepts: impl Fn(&MessageRecord) -> bool,
    ) -> Option<Candidate> {
        let candidate = |message: MessageId| {
            let record = self.messages.get(message)?;
            let may_leave = self.queues.is_first_with_key(message, record.order_key)
                && accepts(record)
                && record.may_migrate(self.settings);
            may_leave.then(|| Candidate { priority_weight: record.priority_weight(self.settings), message })
        };
        let waiting = self.queues.by_tier.get(&tier)?;
        waiting
            .iter()
            .copied()
            .filter_map(candidate)
            .max_by(|a, b| a.priority_weight.total_cmp(&b.priority_weight).then(a.message.cmp(&b.message)))
    }

    /// Moves a message to another tier. All messages behind it under its order key are submitted to the policy again
    /// after it, so that their order is kept.
    fn relocate(&mut self, id: MessageId, to: DestinationId) {
        let key = self.messages.get(id).and_then(|record| record.order_key);
        let ordered = self.queues.messages_with_key_of(id, key);
        for member in &ordered {
            self.result.policy_events.push(Event::Cancelled(self.messages.policy_id(*member)));
        }
        if let Some(record) = self.messages.get_mut(id) {
            self.queues.remove_waiting(record.tier, id);
            self.queues.add_waiting(to, id);
            record.tier = to;
            record.spill_uncounted = true;
        }
        for member in ordered {
            let Some(record) = self.messages.assign_new_policy_id(member) else { continue };
            // The policy treats an attempt that may have run like one of a lost gateway instance: its retry window
            // starts at the submission, the earliest time at which the attempt can have been made.
            let submission = Submission {
                resubmitted: true,
                from_lost_instance: record.may_have_run,
                ..record.submission()
            };
            self.result.policy_events.push(Event::Submitted(submission));
        }
        self.result.relocated += 1;
    }
}
