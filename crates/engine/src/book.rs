//! What goes in, what comes out, and what is kept of a message.

use cloverstile::{
    AttemptOutcome, ClassId, DestinationId, EndpointId, MessageId, OrderKey, RateLimitStatus, Submission,
    TenantId, Time,
};
use std::time::Duration;

/// A message as a front hands it in.
#[derive(Clone, Debug)]
pub struct SubmitRequest {
    /// Whose it is.
    pub client: u32,
    /// Its `Message-ID`: the idempotency key from hand-in to receipt.
    pub idempotency_key: String,
    /// Digest of its content: one name with other content is a mistake of the client's.
    pub fingerprint: [u8; 32],
    /// Its class.
    pub class: ClassId,
    /// Whom it is for.
    pub destination: DestinationId,
    /// What it is about, for classes in order.
    pub order_key: Option<OrderKey>,
    /// When it is given up.
    pub deadline: Time,
    /// Whose share it counts towards.
    pub tenant: TenantId,
    /// Marked as handed in again after a refusal.
    pub resubmitted: bool,
    /// Marked as handed in again after the courier that held it was lost: it may have run.
    pub from_lost_instance: bool,
}

/// What became of a hand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Held; a final answer will come.
    New(MessageId),
    /// The same message is held already; its one answer is for this hand-in too.
    InFlight(MessageId),
    /// It has its final answer, which stays.
    Completed(MessageId, FinalOutcome),
    /// That name was used for other content; nothing is done.
    Conflict,
    /// As much is held as may be; nothing is done, and the client may come again.
    Overloaded,
    /// The courier stops; nothing is done, and the client may come again.
    ShuttingDown,
}

/// The one final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The partner's own receipt says so.
    Delivered,
    /// It never took effect; handing it in again is safe, best after this time.
    Rejected(Duration),
    /// It may have taken effect.
    Failed,
    /// Nobody wants it any more: nothing is owed.
    Cancelled,
}

/// One attempt of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    /// The message.
    pub message: MessageId,
    /// The how-manieth, from 0.
    pub number: u16,
}

/// How an attempt ended, as far as the wire can tell; time-outs are the engine's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TransportOutcome {
    /// The partner's receipt says processed, and all of it is right.
    Processed,
    /// A receipt of another kind, an answer that is none, or a receipt that does not count.
    Error,
    /// Turned away unseen; told to wait for this long, if at all.
    Rejected(Option<Duration>),
    /// No connection; nothing was sent.
    ConnectFailed,
    /// The connection broke after something was sent.
    Reset,
    /// Nothing was sent, as an earlier message of the same call broke its connection.
    Unsent,
    /// Nothing was done, and the message is over: withdrawn, or out of time. Nothing is owed.
    Obsolete,
    /// Nothing was begun, as [`crate::Engine::may_send_now`] forbade it. It counts as no attempt.
    NotStarted,
}

impl TransportOutcome {
    /// As the module is told.
    pub(crate) fn outcome(self) -> AttemptOutcome {
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

    /// The wait that it told.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            TransportOutcome::Rejected(wait) => wait,
            _ => None,
        }
    }

    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        self.outcome().may_have_run()
    }
}

/// Something for the shell to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Make one call: these messages, one after another on one connection.
    Send {
        /// Where to.
        endpoint: EndpointId,
        /// What, in this order.
        attempts: Vec<Attempt>,
    },
    /// Nobody waits for this attempt any longer: close its connection. Report nothing for it.
    Abandon {
        /// Which.
        attempt: Attempt,
        /// It was begun, as far as the engine was told: it may have run.
        started: bool,
    },
    /// The final answer of a message. Comes once.
    Complete {
        /// Which message.
        message: MessageId,
        /// What.
        outcome: FinalOutcome,
        /// Attempts made.
        attempts: u32,
    },
    /// A partner's receipt came for a message that has its answer already: for the trail.
    LateReceipt {
        /// Which message.
        message: MessageId,
        /// What had been answered.
        outcome: FinalOutcome,
    },
    /// A message's answer is no longer kept: let go of all that is held for it.
    Evicted {
        /// Which message.
        message: MessageId,
    },
    /// Close idle connections.
    CloseIdle {
        /// To where.
        endpoint: EndpointId,
    },
    /// Open a connection, close it and tell.
    Probe {
        /// To where.
        endpoint: EndpointId,
    },
    /// A line for the operators.
    Log {
        /// What it says.
        text: String,
    },
}

/// A message, from its hand-in until its answer is forgotten.
pub(crate) struct Entry {
    /// The id by which the module knows it.
    pub inner: MessageId,
    /// Attempts made before the module got to know it under that id.
    pub before: u16,
    pub class: ClassId,
    pub partner: DestinationId,
    /// Which of the partner's tiers it waits for.
    pub tier: DestinationId,
    /// Nobody has asked yet whether it is among those that may leave this tier.
    pub undecided: bool,
    pub key: Option<OrderKey>,
    pub tenant: TenantId,
    pub client: u32,
    pub name: String,
    pub fingerprint: [u8; 32],
    pub deadline: Time,
    /// Attempts by number; those withheld have one, and used none up.
    pub attempts: u16,
    pub withheld: u16,
    /// The attempt that is out, where to, since when and until when it may take.
    pub out: Option<Out>,
    /// Some attempt may have run.
    pub may_have_run: bool,
    pub answer: Option<FinalOutcome>,
    /// Out of the row of kept answers; goes once nothing is out.
    pub forget: bool,
}

#[derive(Clone, Copy)]
pub(crate) struct Out {
    pub call: u64,
    pub endpoint: EndpointId,
    pub sent: Time,
    pub until: Time,
    /// False while its bytes are known to wait: it can't have run.
    pub begun: bool,
}

impl Entry {
    pub fn new(id: MessageId, taken: &SubmitRequest) -> Self {
        Entry {
            inner: id,
            before: 0,
            class: taken.class,
            partner: taken.destination,
            tier: taken.destination,
            undecided: true,
            key: taken.order_key,
            tenant: taken.tenant,
            client: taken.client,
            name: taken.idempotency_key.clone(),
            fingerprint: taken.fingerprint,
            deadline: taken.deadline,
            attempts: 0,
            withheld: 0,
            out: None,
            may_have_run: taken.from_lost_instance,
            answer: None,
            forget: false,
        }
    }

    /// Attempts used up.
    pub fn used(&self) -> u32 {
        u32::from(self.attempts.saturating_sub(self.withheld))
    }

    /// What the module is told when it takes the message.
    pub fn accepted(&self) -> Submission {
        Submission {
            id: self.inner,
            class: self.class,
            destination: self.tier,
            key: self.key,
            deadline: self.deadline,
            from_lost_instance: self.may_have_run,
            resubmitted: false,
            tenant: self.tenant,
        }
    }
}

/// An outcome with what the partner told of its limit.
pub(crate) type Ending = (AttemptOutcome, Option<RateLimitStatus>);
