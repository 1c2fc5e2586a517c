//! Message types exchanged between gateways and the engine: submissions, attempts and outcomes.

use cloverstile::{AttemptOutcome, ClassId, DestinationId, MessageId, OrderKey, TenantId, Time};
use std::time::Duration;

/// A message as a gateway submits it.
#[derive(Clone, Debug)]
pub struct SubmitRequest {
    /// The submitting client, as numbered by the gateway.
    pub client: u32,
    /// The idempotency key that identifies the message from submission to receipt; the `Message-ID` in AS2.
    pub idempotency_key: String,
    /// Digest of the content, used to detect an idempotency key that is reused for other content.
    pub fingerprint: [u8; 32],
    /// The message's class, an index into [`cloverstile::Settings::classes`].
    pub class: ClassId,
    /// The receiving partner, identified by the destination of its preferred tier.
    pub destination: DestinationId,
    /// Messages with the same order key are delivered in order, if their class is ordered.
    pub order_key: Option<OrderKey>,
    /// When the message expires.
    pub deadline: Time,
    /// The tenant whose quota the message counts against.
    pub tenant: TenantId,
    /// Whether the client marked the message as resubmitted after a rejection.
    pub resubmitted: bool,
    /// Whether the client marked the message as resubmitted after the loss of the gateway instance that held it. It may
    /// already have taken effect.
    pub from_lost_instance: bool,
}

/// The result of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The message is admitted; its final outcome follows in [`crate::Command::Complete`].
    New(MessageId),
    /// The same message is already pending; its final outcome also answers this submission.
    InFlight(MessageId),
    /// The message was completed earlier with this final outcome, which does not change.
    Completed(MessageId, FinalOutcome),
    /// The idempotency key was used for other content or by another client; the submission is ignored.
    Conflict,
    /// The number of pending messages is at its limit; the submission is ignored, and the client may resubmit.
    Overloaded,
    /// The gateway instance is shutting down; the submission is ignored, and the client may resubmit.
    ShuttingDown,
}

/// The final outcome of a message. Each message gets exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The partner's receipt confirms that the message was processed.
    Delivered,
    /// The message did not take effect. It may be resubmitted, preferably after this time.
    Rejected(Duration),
    /// No receipt confirmed the message in time, and it may have taken effect.
    Failed,
    /// The message was cancelled: nobody waits for its outcome.
    Cancelled,
}

/// Identifies one attempt to send a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The message that the attempt sends.
    pub message: MessageId,
    /// The number of the attempt among those of its message, starting at 0.
    pub number: u16,
}

/// How an attempt ended, as reported by the transport. Time-outs are detected by the engine itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TransportOutcome {
    /// The partner sent a valid receipt that reports the message as processed.
    Processed,
    /// The partner's receipt reports an error or a failure or is invalid, or its response is not a receipt.
    Error,
    /// The partner rejected the message without processing it, with the `Retry-After` time if it sent one.
    Rejected(Option<Duration>),
    /// The connection could not be established; nothing was sent.
    ConnectFailed,
    /// The connection broke after part of the request was sent.
    Reset,
    /// Nothing was sent, because an earlier message of the same request broke the connection.
    Unsent,
    /// Not processed, because the message was cancelled or has expired. Nobody waits for its outcome.
    Obsolete,
    /// Not processed, because the message has had all its attempts. Its outcome is still to be reported.
    AttemptsExhausted,
    /// As `Obsolete`, but the response may have been meant for another message. The message fails, which is reported and does
    /// no harm if it has ended.
    ObsoleteInDoubt,
    /// Not sent, because [`crate::Engine::may_send_now`] returned false. It does not count as an attempt.
    NotStarted,
}

impl TransportOutcome {
    /// The corresponding outcome in the policy's terms.
    pub(crate) fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            TransportOutcome::Processed => AttemptOutcome::Ok,
            TransportOutcome::Error => AttemptOutcome::Error,
            TransportOutcome::Rejected(wait) => AttemptOutcome::Rejected(wait),
            TransportOutcome::ConnectFailed => AttemptOutcome::ConnectFailed,
            TransportOutcome::Reset => AttemptOutcome::Reset,
            TransportOutcome::Unsent
            | TransportOutcome::Obsolete
            | TransportOutcome::AttemptsExhausted
            | TransportOutcome::ObsoleteInDoubt => AttemptOutcome::Unsent,
            TransportOutcome::NotStarted => AttemptOutcome::NotStarted,
        }
    }

    /// The `Retry-After` time of a rejection, if the partner sent one.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            TransportOutcome::Rejected(wait) => wait,
            _ => None,
        }
    }

    /// Whether no further attempt may be made at the message.
    pub fn ends_message(self) -> bool {
        matches!(
            self,
            TransportOutcome::Obsolete
                | TransportOutcome::AttemptsExhausted
                | TransportOutcome::ObsoleteInDoubt
        )
    }

    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        self == TransportOutcome::ObsoleteInDoubt || self.attempt_outcome().may_have_run()
    }
}
