//! The message table, indexed by message id, by idempotency key and by policy id.
//!
//! A message has a separate id towards the policy, so that a message cancelled for one tier and the same message
//! submitted for another are never confused. Towards gateways a message keeps one id from its submission to its
//! removal.

use crate::message::{FinalOutcome, SubmitRequest};
use crate::message_record::MessageRecord;
use cloverstile::MessageId;
use std::collections::{BTreeMap, HashMap};

/// All messages that are pending or whose outcome is still cached.
#[derive(Default)]
pub(crate) struct MessageTable {
    /// The last id assigned. Message ids and policy ids share one sequence.
    last_id: u32,
    records: BTreeMap<MessageId, MessageRecord>,
    ids_by_idempotency_key: HashMap<String, MessageId>,
    /// The message id for each policy id that differs from it.
    ids_by_policy_id: HashMap<MessageId, MessageId>,
    /// Number of messages without a final outcome.
    pending: usize,
}

impl MessageTable {
    fn next_id(&mut self) -> MessageId {
        self.last_id += 1;
        MessageId(self.last_id)
    }

    /// Adds a message. Its idempotency key refers to it from now on, no longer to an earlier message with the same key.
    pub fn insert(&mut self, request: &SubmitRequest) -> MessageId {
        let id = self.next_id();
        self.pending += 1;
        self.ids_by_idempotency_key.insert(request.idempotency_key.clone(), id);
        self.records.insert(id, MessageRecord::new(id, request));
        id
    }

    pub fn get(&self, id: MessageId) -> Option<&MessageRecord> {
        self.records.get(&id)
    }

    pub fn get_mut(&mut self, id: MessageId) -> Option<&mut MessageRecord> {
        self.records.get_mut(&id)
    }

    /// The message with this idempotency key.
    pub fn id_by_idempotency_key(&self, idempotency_key: &str) -> Option<MessageId> {
        self.ids_by_idempotency_key.get(idempotency_key).copied()
    }

    /// The message id for a policy id.
    pub fn id_by_policy_id(&self, policy_id: MessageId) -> MessageId {
        self.ids_by_policy_id.get(&policy_id).copied().unwrap_or(policy_id)
    }

    /// The policy id of a message.
    pub fn policy_id(&self, id: MessageId) -> MessageId {
        self.get(id).map_or(id, |record| record.policy_id)
    }

    /// Assigns a new policy id to a message. The policy numbers its attempts from 0 again.
    pub fn assign_new_policy_id(&mut self, id: MessageId) -> Option<&MessageRecord> {
        let policy_id = self.next_id();
        let record = self.records.get_mut(&id)?;
        self.ids_by_policy_id.remove(&record.policy_id);
        self.ids_by_policy_id.insert(policy_id, id);
        record.policy_id = policy_id;
        record.policy_attempt_offset = record.attempts;
        Some(record)
    }

    /// Number of messages without a final outcome.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Whether a message is known and has no final outcome.
    pub fn is_pending(&self, id: MessageId) -> bool {
        self.get(id).is_some_and(|record| record.outcome.is_none())
    }

    /// The pending messages, in ascending order of their ids.
    pub fn pending_ids(&self) -> Vec<MessageId> {
        let pending = self.records.iter().filter(|(_, record)| record.outcome.is_none());
        pending.map(|(id, _)| *id).collect()
    }

    /// The messages whose attempt in flight has a response that is held, in ascending order of their ids.
    pub fn ids_with_held_response(&self) -> Vec<MessageId> {
        let is_held =
            |record: &MessageRecord| record.in_flight.is_some_and(|attempt| attempt.held_response.is_some());
        self.records.iter().filter(|(_, record)| is_held(record)).map(|(id, _)| *id).collect()
    }

    /// Sets the final outcome of a pending message; `None` if the message is unknown or already completed.
    pub fn complete(&mut self, id: MessageId, outcome: FinalOutcome) -> Option<&MessageRecord> {
        let record = self.records.get_mut(&id).filter(|record| record.outcome.is_none())?;
        record.outcome = Some(outcome);
        self.pending -= 1;
        Some(record)
    }

    /// Removes a message; returns false if it is unknown.
    pub fn remove(&mut self, id: MessageId) -> bool {
        let Some(record) = self.records.remove(&id) else { return false };
        self.ids_by_policy_id.remove(&record.policy_id);
        if self.id_by_idempotency_key(&record.idempotency_key) == Some(id) {
            self.ids_by_idempotency_key.remove(&record.idempotency_key);
        }
        true
    }
}
