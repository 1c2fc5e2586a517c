//! Replies to the clients' commands of one turn. They are sent once the turn's records are in the log.

use cloverstile::MessageId;
use cloverstile_platform::ConnectionId;
use cloverstile_resp::{encode_error, encode_simple_string};
use std::collections::BTreeMap;
use std::time::Duration;

/// Reply to a submission that is rejected; it may be submitted again after `retry_after`, at once where that is zero.
pub fn busy(retry_after: Duration) -> Vec<u8> {
    match retry_after.as_millis() {
        0 => encode_error("BUSY"),
        ms => encode_error(&format!("BUSY {ms}")),
    }
}

/// Reply to a submission whose message can not be delivered.
pub fn undeliverable() -> Vec<u8> {
    encode_error("ERR given up: it can't be delivered")
}

/// Reply to one command.
pub enum Reply {
    /// These bytes.
    Bytes(Vec<u8>),
    /// The result of a submission of this turn, which is known at the turn's end.
    Submission(MessageId),
}

/// The result of a submission of this turn, as known so far.
enum SubmissionResult {
    /// The message is held.
    Accepted,
    /// The message ended at once; the client gets these bytes.
    Rejected(Vec<u8>),
}

struct PendingReply {
    connection: ConnectionId,
    reply: Reply,
}

/// A reply in its final form.
pub struct EncodedReply {
    /// The client's connection.
    pub connection: ConnectionId,
    /// The bytes to send.
    pub bytes: Vec<u8>,
}

/// Replies of this turn, in the order of the commands.
#[derive(Default)]
pub struct ClientReplies {
    pending: Vec<PendingReply>,
    submissions: BTreeMap<MessageId, SubmissionResult>,
    closing: Vec<ConnectionId>,
}

impl ClientReplies {
    /// Adds the reply to a client's next command.
    pub fn push(&mut self, connection: ConnectionId, reply: Reply) {
        self.pending.push(PendingReply { connection, reply });
    }

    /// Closes a connection behind its replies.
    pub fn close_after_replies(&mut self, connection: ConnectionId) {
        self.closing.push(connection);
    }

    /// Adds a message that was accepted in this turn.
    pub fn add_submission(&mut self, id: MessageId) {
        self.submissions.insert(id, SubmissionResult::Accepted);
    }

    /// Whether a message was submitted in this turn.
    pub fn has_submission(&self, id: MessageId) -> bool {
        self.submissions.contains_key(&id)
    }

    /// Makes the reply to a submission of this turn a rejection; false where the message is not of this turn.
    pub fn reject_submission(&mut self, id: MessageId, bytes: Vec<u8>) -> bool {
        let Some(result) = self.submissions.get_mut(&id) else { return false };
        *result = SubmissionResult::Rejected(bytes);
        true
    }

    /// Makes the reply to all submissions of this turn that are still accepted a rejection; returns their messages.
    pub fn reject_accepted(&mut self, bytes: &[u8]) -> Vec<MessageId> {
        let mut rejected = Vec::new();
        for (id, result) in &mut self.submissions {
            if matches!(result, SubmissionResult::Accepted) {
                *result = SubmissionResult::Rejected(bytes.to_vec());
                rejected.push(*id);
            }
        }
        rejected
    }

    /// Takes the replies at the turn's end.
    pub fn take_replies(&mut self) -> Vec<EncodedReply> {
        let submissions = std::mem::take(&mut self.submissions);
        let encode = |PendingReply { connection, reply }| {
            let bytes = match reply {
                Reply::Bytes(bytes) => bytes,
                Reply::Submission(id) => match submissions.get(&id) {
                    Some(SubmissionResult::Rejected(bytes)) => bytes.clone(),
                    Some(SubmissionResult::Accepted) | None => encode_simple_string("OK"),
                },
            };
            EncodedReply { connection, bytes }
        };
        std::mem::take(&mut self.pending).into_iter().map(encode).collect()
    }

    /// Takes the connections that are closed behind their replies.
    pub fn take_closing(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.closing)
    }
}
