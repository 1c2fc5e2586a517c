//! Replies to the client commands of one turn, sent once the turn's records are in the log.

use cloverstile::MessageId;
use cloverstile_platform::ConnectionId;
use cloverstile_resp::{encode_error, encode_simple_string};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The reply to a rejected submission. The client may submit it again after `retry_after`, at once if that is zero.
pub fn busy(retry_after: Duration) -> Vec<u8> {
    match retry_after.as_millis() {
        0 => encode_error("BUSY"),
        ms => encode_error(&format!("BUSY {ms}")),
    }
}

/// The reply to a submission whose message cannot be delivered.
pub fn undeliverable() -> Vec<u8> {
    encode_error("ERR given up: it can't be delivered")
}

/// The reply to one command, known either at once or at the end of the turn.
pub enum Reply {
    /// An encoded reply.
    Bytes(Vec<u8>),
    /// The result of a submission in this turn, known only at the end of the turn.
    Submission(MessageId),
    /// Refusals of this many commands that were read and not executed.
    Refusals(usize),
}

/// The result so far of a submission in this turn.
enum SubmissionResult {
    /// The gateway holds the message.
    Accepted,
    /// The message was completed within the turn; the client gets this encoded reply.
    Rejected(Vec<u8>),
}

struct PendingReply {
    connection: ConnectionId,
    reply: Reply,
}

/// The replies of a turn to one client, as they are sent.
pub struct EncodedReplies {
    /// The connection to write the replies to.
    pub connection: ConnectionId,
    /// The replies, encoded as RESP, in the order of the commands.
    pub bytes: Vec<u8>,
}

fn encode(reply: Reply, submissions: &BTreeMap<MessageId, SubmissionResult>) -> Vec<u8> {
    match reply {
        Reply::Bytes(bytes) => bytes,
        Reply::Refusals(count) => busy(Duration::ZERO).repeat(count),
        Reply::Submission(id) => match submissions.get(&id) {
            Some(SubmissionResult::Rejected(bytes)) => bytes.clone(),
            Some(SubmissionResult::Accepted) | None => encode_simple_string("OK"),
        },
    }
}

/// The replies of this turn, in the order of the commands.
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

    /// Marks a connection to be closed after its replies are sent.
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

    /// Replaces the reply to a submission of this turn with a rejection. Returns false if the message was not submitted in
    /// this turn.
    pub fn reject_submission(&mut self, id: MessageId, bytes: Vec<u8>) -> bool {
        let Some(result) = self.submissions.get_mut(&id) else { return false };
        *result = SubmissionResult::Rejected(bytes);
        true
    }

    /// Replaces the replies to all submissions of this turn that are still accepted with a rejection, and returns the ids of
    /// their messages.
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

    /// Takes all replies at the end of the turn, encoded, those to one connection together.
    pub fn take_replies(&mut self) -> Vec<EncodedReplies> {
        let submissions = std::mem::take(&mut self.submissions);
        let mut encoded: Vec<EncodedReplies> = Vec::new();
        let mut positions: HashMap<ConnectionId, usize> = HashMap::new();
        for PendingReply { connection, reply } in std::mem::take(&mut self.pending) {
            let position = *positions.entry(connection).or_insert_with(|| {
                encoded.push(EncodedReplies { connection, bytes: Vec::new() });
                encoded.len() - 1
            });
            encoded[position].bytes.extend(encode(reply, &submissions));
        }
        encoded
    }

    /// Takes the connections to close after their replies.
    pub fn take_closing(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.closing)
    }
}
