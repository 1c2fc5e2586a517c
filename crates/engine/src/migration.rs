//! Tier migration: to which of a partner's tiers a message goes, and which waiting messages leave a tier that is down.
//!
//! A message that the policy holds is cancelled there and submitted anew for its new tier.

use crate::message_record::MessageRecord;
use crate::message_table::MessageTable;
use cloverstile::{DestinationId, Event, MessageId, OrderKey, Settings, Submission, Time};
use cloverstile_failover::{FailoverPolicy, TierStatus};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Pending messages of partners with several tiers, by tier and by order key.
#[derive(Default)]
pub(crate) struct TierQueues {
    by_tier: BTreeMap<DestinationId, BTreeSet<MessageId>>,
    /// The messages of each order key, in the order of their submission.
    by_order_key: HashMap<OrderKey, VecDeque<MessageId>>,
}

impl TierQueues {
    /// A message waits for this tier from now on.
    fn enter(&mut self, tier: DestinationId, id: MessageId) {
        self.by_tier.entry(tier).or_default().insert(id);
    }

    fn leave(&mut self, tier: DestinationId, id: MessageId) {
        if let Some(waiting) = self.by_tier.get_mut(&tier) {
            waiting.remove(&id);
            if waiting.is_empty() {
                self.by_tier.remove(&tier);
            }
        }
    }

    /// Removes a completed message.
    pub fn remove(&mut self, id: MessageId, record: &MessageRecord) {
        self.leave(record.tier, id);
        let Some(key) = record.order_key else { return };
        if let Some(queue) = self.by_order_key.get_mut(&key) {
            queue.retain(|other| *other != id);
            if queue.is_empty() {
                self.by_order_key.remove(&key);
            }
        }
    }

    /// The last pending message of an order key.
    fn last_of(&self, key: OrderKey) -> Option<MessageId> {
        self.by_order_key.get(&key)?.back().copied()
    }

    /// Whether no pending message stands before this one under its order key.
    fn is_first(&self, id: MessageId, key: Option<OrderKey>) -> bool {
        let queue = key.and_then(|key| self.by_order_key.get(&key));
        queue.is_none_or(|queue| queue.front() == Some(&id))
    }

    /// All pending messages under a message's order key, in order; the message alone if it has none.
    fn ordered_with(&self, id: MessageId, key: Option<OrderKey>) -> Vec<MessageId> {
        let queue = key.and_then(|key| self.by_order_key.get(&key));
        queue.map_or_else(|| vec![id], |queue| queue.iter().copied().collect())
    }
}

/// A message that may leave its tier.
#[derive(Clone, Copy)]
struct Candidate {
    priority_weight: f64,
    message: MessageId,
}

/// One round of migration, over the state that it needs.
pub(crate) struct Migration<'a> {
    now: Time,
    settings: &'a Settings,
    failover: &'a mut dyn FailoverPolicy,
    messages: &'a mut MessageTable,
    queues: &'a mut TierQueues,
    result: MigrationResult,
}

/// What a round of migration did.
#[derive(Default)]
pub(crate) struct MigrationResult {
    /// Events for the policy, in order.
    pub policy_events: Vec<Event>,
    /// Messages that changed their tier.
    pub relocated: u64,
}

impl<'a> Migration<'a> {
    /// A round at `now`.
    pub fn new(
        now: Time,
        settings: &'a Settings,
        failover: &'a mut dyn FailoverPolicy,
        messages: &'a mut MessageTable,
        queues: &'a mut TierQueues,
    ) -> Self {
        Migration { now, settings, failover, messages, queues, result: MigrationResult::default() }
    }

    /// Chooses the tier of a new message, before the policy learns of it.
    pub fn assign(mut self, id: MessageId) -> MigrationResult {
        let Some(record) = self.messages.get(id) else { return self.result };
        let partner = record.partner;
        if !self.failover.has_tiers(partner) {
            return self.result;
        }
        let key = record.ordering_key(self.settings);
        let priority_weight = record.priority_weight(self.settings);
        // Behind one that waits for a tier that is down it would wait as well, wherever it goes: the spill would be
        // wasted.
        let predecessor = key.and_then(|key| self.queues.last_of(key)).and_then(|id| self.messages.get(id));
        let predecessor_tier = predecessor.map(|record| record.tier);
        let blocked_at = predecessor_tier.filter(|tier| self.is_down(partner, *tier));
        let mut tier = blocked_at.unwrap_or_else(|| self.failover.select_tier(self.now, partner));
        let spill_undecided = blocked_at.is_some() || !self.is_down(partner, tier);
        // What may spill is a share of all messages, but which ones is open: those of the greatest weight.
        if tier != partner && self.is_down(partner, partner) {
            if let Some(heavier) = self.next_heavier(partner, priority_weight) {
                self.relocate(heavier, tier);
                tier = partner;
            }
        }
        self.queues.enter(tier, id);
        if let Some(key) = key {
            self.queues.by_order_key.entry(key).or_default().push_back(id);
        }
        if let Some(record) = self.messages.get_mut(id) {
            record.tier = tier;
            record.spill_undecided = spill_undecided;
        }
        self.result
    }

    /// Selects a tier again for messages that wait for a tier that is down, as many as the failover policy asks for.
    pub fn reassign_waiting(mut self) -> MigrationResult {
        while let Some(reassignment) = self.failover.next_reassignment(self.now) {
            let from = reassignment.tier;
            // Each message counts once towards the share, whichever goes in the end.
            let Some(counted) = self.next_candidate(from, |record| record.spill_undecided) else { continue };
            if let Some(record) = self.messages.get_mut(counted.message) {
                record.spill_undecided = false;
            }
            let to = self.failover.select_tier(self.now, reassignment.partner);
            if to != from && !self.is_down(reassignment.partner, to) {
                let heavier = self.next_heavier(from, counted.priority_weight);
                self.relocate(heavier.unwrap_or(counted.message), to);
            }
        }
        self.result
    }

    fn is_down(&self, partner: DestinationId, tier: DestinationId) -> bool {
        matches!(self.failover.tier_status(partner, tier), Some(TierStatus::Down(_)))
    }

    /// The message to leave a tier first, if it weighs more than this.
    fn next_heavier(&self, tier: DestinationId, priority_weight: f64) -> Option<MessageId> {
        let heavier = |record: &MessageRecord| record.priority_weight(self.settings) > priority_weight;
        self.next_candidate(tier, heavier).map(|candidate| candidate.message)
    }

    /// Of the messages that may leave a tier and that `accepts` lets through, the one of the greatest weight; of equals
    /// the newest, as it has waited least.
    fn next_candidate(
        &self,
        tier: DestinationId,
        accepts: impl Fn(&MessageRecord) -> bool,
    ) -> Option<Candidate> {
        let candidate = |message: MessageId| {
            let record = self.messages.get(message)?;
            let may_leave = self.queues.is_first(message, record.order_key)
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

    /// Takes a message to another tier, and submits all that stand behind it under its order key anew after it, so that
    /// their order stays.
    fn relocate(&mut self, id: MessageId, to: DestinationId) {
        let key = self.messages.get(id).and_then(|record| record.order_key);
        let ordered = self.queues.ordered_with(id, key);
        for member in &ordered {
            self.result.policy_events.push(Event::Cancelled(self.messages.policy_id(*member)));
        }
        if let Some(record) = self.messages.get_mut(id) {
            self.queues.leave(record.tier, id);
            self.queues.enter(to, id);
            record.tier = to;
            record.spill_undecided = true;
        }
        for member in ordered {
            let Some(record) = self.messages.renew_policy_id(member) else { continue };
            // The policy treats an attempt that may have run like one of a lost instance: its retry window counts from
            // the submission, the earliest that the attempt can have been.
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
