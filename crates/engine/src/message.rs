//! Message types that gateways and the engine exchange: submissions, attempts, outcomes.

use cloverstile::{AttemptOutcome, ClassId, DestinationId, MessageId, OrderKey, TenantId, Time};
use std::time::Duration;

/// A message as a gateway submits it.
#[derive(Clone, Debug)]
pub struct SubmitRequest {
    /// The client that submits it, by the gateway's numbering.
    pub client: u32,
    /// Its idempotency key from submission to receipt; in AS2 its `Message-ID`.
    pub idempotency_key: String,
    /// Digest of its content: one key with other content is a client's mistake.
    pub fingerprint: [u8; 32],
    /// Its class.
    pub class: ClassId,
    /// The partner that it is for, named by the destination of its preferred tier.
    pub destination: DestinationId,
    /// The key within which order is kept, for classes that are delivered in order.
    pub order_key: Option<OrderKey>,
    /// When it expires.
    pub deadline: Time,
    /// The tenant to whose quota it counts.
    pub tenant: TenantId,
    /// The client marked it as resubmitted after a rejection.
    pub resubmitted: bool,
    /// The client marked it as resubmitted after the instance that held it was lost: it may have run.
    pub from_lost_instance: bool,
}

/// How a submission was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted; a final outcome will come.
    New(MessageId),
    /// The same message is pending already; its one outcome is for this submission too.
    InFlight(MessageId),
    /// The message has this final outcome, which stays.
    Completed(MessageId, FinalOutcome),
    /// The idempotency key was used for other content; nothing is done.
    Conflict,
    /// The engine holds as many messages as it may; nothing is done, and the client may resubmit.
    Overloaded,
    /// The instance shuts down; nothing is done, and the client may resubmit.
    ShuttingDown,
}

/// The one final outcome of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The partner's own receipt confirms the delivery.
    Delivered,
    /// It never took effect; resubmitting it is safe, best after this time.
    Rejected(Duration),
    /// It may have taken effect.
    Failed,
    /// It was cancelled: no outcome is owed to anybody.
    Cancelled,
}

/// One attempt of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The message.
    pub message: MessageId,
    /// The attempt's number, from 0.
    pub number: u16,
}

/// How an attempt ended, as far as the transport can tell; the engine itself keeps the time-outs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TransportOutcome {
    /// The partner's receipt says processed, and all of it is valid.
    Processed,
    /// A receipt of another kind, a response that is none, or an invalid receipt.
    Error,
    /// Rejected unprocessed, with the `Retry-After` time if there was one.
    Rejected(Option<Duration>),
    /// No connection came up; nothing was sent.
    ConnectFailed,
    /// The connection broke after something was sent.
    Reset,
    /// Nothing was sent, as an earlier message of the same request broke its connection.
    Unsent,
    /// Nothing was done, and the message is over: cancelled, or expired. No outcome is owed.
    Obsolete,
    /// Nothing was started, as [`crate::Engine::may_send_now`] forbade it. It counts as no attempt.
    NotStarted,
}

impl TransportOutcome {
    /// The outcome as the policy gets it.
    pub(crate) fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            TransportOutcome::Processed => AttemptOutcome::Ok,
            TransportOutcome::Error => AttemptOutcome::Error,
            TransportOutcome::Rejected(wait) => AttemptOutcome::Rejected(wait),
            TransportOutcome::ConnectFailed => AttemptOutcome::ConnectFailed,
            TransportOutcome::Reset => AttemptOutcome::Reset,
            TransportOutcome::Unsent | TransportOutcome::Obsolete => AttemptOutcome::Unsent,
            TransportOutcome::NotStarted => AttemptOutcome::NotStarted,
        }
    }

    /// The `Retry-After` time that came with a rejection.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            TransportOutcome::Rejected(wait) => wait,
            _ => None,
        }
    }

    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        self.attempt_outcome().may_have_run()
    }
}
