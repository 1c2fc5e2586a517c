//! The table of messages, by id, by idempotency key and by the policy's id.
//!
//! The policy knows a message under an id of its own, so that a message withdrawn from one tier and the same message
//! submitted to another are never mixed up. Gateways know it under one id for its whole life.

use crate::message::{FinalOutcome, SubmitRequest};
use crate::message_record::MessageRecord;
use cloverstile::MessageId;
use std::collections::{BTreeMap, HashMap};

/// All messages that are pending or whose outcome is still cached.
#[derive(Default)]
pub(crate) struct MessageTable {
    /// The last id given out, whether to a message or to the policy.
    last_id: u32,
    records: BTreeMap<MessageId, MessageRecord>,
    ids_by_key: HashMap<String, MessageId>,
    /// The message behind an id of the policy, where the two differ.
    ids_by_policy_id: HashMap<MessageId, MessageId>,
    /// Messages without a final outcome.
    pending: usize,
}

impl MessageTable {
    fn next_id(&mut self) -> MessageId {
        self.last_id += 1;
        MessageId(self.last_id)
    }

    /// Adds a message, which replaces an earlier one under the same idempotency key.
    pub fn insert(&mut self, request: &SubmitRequest) -> MessageId {
        let id = self.next_id();
        self.pending += 1;
        self.ids_by_key.insert(request.idempotency_key.clone(), id);
        self.records.insert(id, MessageRecord::new(id, request));
        id
    }

    pub fn get(&self, id: MessageId) -> Option<&MessageRecord> {
        self.records.get(&id)
    }

    pub fn get_mut(&mut self, id: MessageId) -> Option<&mut MessageRecord> {
        self.records.get_mut(&id)
    }

    /// The message that an idempotency key stands for.
    pub fn id_of_key(&self, idempotency_key: &str) -> Option<MessageId> {
        self.ids_by_key.get(idempotency_key).copied()
    }

    /// The id by which gateways know a message of the policy's.
    pub fn id_of_policy_id(&self, policy_id: MessageId) -> MessageId {
        self.ids_by_policy_id.get(&policy_id).copied().unwrap_or(policy_id)
    }

    /// The id by which the policy knows a message.
    pub fn policy_id(&self, id: MessageId) -> MessageId {
        self.get(id).map_or(id, |record| record.policy_id)
    }

    /// Gives a message a new id for the policy, whose numbering of its attempts begins anew.
    pub fn renew_policy_id(&mut self, id: MessageId) -> Option<&MessageRecord> {
        let policy_id = self.next_id();
        let record = self.records.get_mut(&id)?;
        self.ids_by_policy_id.remove(&record.policy_id);
        self.ids_by_policy_id.insert(policy_id, id);
        record.policy_id = policy_id;
        record.policy_attempt_offset = record.attempts;
        Some(record)
    }

    /// Messages without a final outcome.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Whether a message is known and has no final outcome.
    pub fn is_pending(&self, id: MessageId) -> bool {
        self.get(id).is_some_and(|record| record.outcome.is_none())
    }

    /// The pending messages, in the order of their ids.
    pub fn pending_ids(&self) -> Vec<MessageId> {
        let pending = self.records.iter().filter(|(_, record)| record.outcome.is_none());
        pending.map(|(id, _)| *id).collect()
    }

    /// Gives a pending message its final outcome; none if it is unknown or has one.
    pub fn complete(&mut self, id: MessageId, outcome: FinalOutcome) -> Option<&MessageRecord> {
        let record = self.records.get_mut(&id).filter(|record| record.outcome.is_none())?;
        record.outcome = Some(outcome);
        self.pending -= 1;
        Some(record)
    }

    /// Removes a message; false if it is unknown.
    pub fn remove(&mut self, id: MessageId) -> bool {
        let Some(record) = self.records.remove(&id) else { return false };
        self.ids_by_policy_id.remove(&record.policy_id);
        if self.id_of_key(&record.idempotency_key) == Some(id) {
            self.ids_by_key.remove(&record.idempotency_key);
        }
        true
    }
}
