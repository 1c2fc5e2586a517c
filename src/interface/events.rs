//! Events that the delivery policy is told, and the actions that it answers with.

use super::ids::{ClassId, DestinationId, EndpointId, KindId, MessageId, OrderKey, TenantId, ZoneId};
use super::time::Time;
use std::time::Duration;

/// State of an endpoint in the endpoint list. It says nothing of its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Listed for new requests.
    Ready,
    /// Listed for one request at a time: all instances are admitted at this moment.
    OneAtATime,
    /// Listed for no new requests at the moment; scheduled ones are sent.
    Paused,
    /// Draining: to be sent nothing new.
    Draining,
    /// Removed from the list.
    Removed,
}

impl EndpointState {
    /// Whether new requests may be scheduled.
    pub fn accepts_new_requests(self) -> bool {
        matches!(self, EndpointState::Ready | EndpointState::OneAtATime)
    }

    /// Whether requests that are scheduled may still be sent.
    pub fn accepts_scheduled_requests(self) -> bool {
        self.accepts_new_requests() || self == EndpointState::Paused
    }
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: KindId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its state.
    pub state: EndpointState,
    /// Its weight; see [`crate::WeightSource`].
    pub weight: f64,
}

/// An update of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointListUpdate {
    /// New and changed entries only.
    Delta(Vec<Endpoint>),
    /// The whole list; endpoints that it does not name are removed.
    Snapshot(Vec<Endpoint>),
    /// The list could not be read; the last one remains valid.
    Unavailable,
}

/// A submitted message: the policy owes it exactly one final answer.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its id, never used twice.
    pub id: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its order key, if it has one.
    pub key: Option<OrderKey>,
    /// When it expires.
    pub deadline: Time,
    /// An instance that was lost held it before; a keyed message may have run there.
    pub from_lost_instance: bool,
    /// Marked as resubmitted (see [`crate::Settings::clients_mark_resubmissions`]).
    pub resubmitted: bool,
    /// Its tenant.
    pub tenant: TenantId,
}

/// What an earlier process recorded of a message in its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveredAttempts {
    /// When it was submitted.
    pub submitted_at: Time,
    /// Attempts begun.
    pub attempts: u32,
    /// When the first attempt was sent that may have run, and in which zone, if that is known.
    pub may_have_run: Option<(Time, Option<ZoneId>)>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Delivered.
    Ok,
    /// Error response; may have run.
    Error,
    /// Rejected unprocessed (rate limit, full queue, closed, draining), with its `Retry-After`, if any.
    Rejected(Option<Duration>),
    /// No response in time; may have run, or may still run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// Connection broken; may have run.
    Reset,
    /// Abandoned by the policy; may have run.
    Abandoned,
    /// Not sent at all (no free slot, message completed, attempts used up).
    Unsent,
    /// Not sent, as [`crate::DeliveryPolicy::may_send_now`] forbade it just before: it counts as no attempt.
    NotStarted,
}

impl AttemptOutcome {
    /// Whether an attempt with this outcome may have taken effect.
    pub fn may_have_run(self) -> bool {
        let never = [AttemptOutcome::ConnectFailed, AttemptOutcome::Unsent, AttemptOutcome::NotStarted];
        !matches!(self, AttemptOutcome::Rejected(_)) && !never.contains(&self)
    }

    /// Whether an attempt with this outcome had no response: it may still be running.
    pub(crate) fn may_still_be_running(self) -> bool {
        matches!(self, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Abandoned)
    }
}

/// The rate limit of a destination, as a response advertised it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitStatus {
    /// Part of the limit that remains at the moment, from 0 to 1.
    pub remaining: f64,
    /// The limit in requests a second over all gateway instances; zero where there is none.
    pub limit: f64,
}

/// The completion of an attempt; each attempt sent has exactly one.
#[derive(Clone, Debug)]
pub struct AttemptCompleted {
    /// The message.
    pub message: MessageId,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// The number of the attempt, from 0.
    pub attempt: u16,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from its sending to its completion.
    pub latency: Duration,
    /// The message has its final answer; if not, it is still owed.
    pub message_completed: bool,
    /// The rate limit that the response advertised.
    pub rate_limit: Option<RateLimitStatus>,
}

/// An event, for [`crate::DeliveryPolicy::on_event`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed.
    EndpointsUpdated(EndpointListUpdate),
    /// A message was accepted.
    Submitted(Submission),
    /// An earlier process of this instance has ended. Ahead of what was recovered of it: attempts that nobody knows any
    /// longer may still run.
    Restarted,
    /// A message was recovered after a restart; its final answer is still owed. In the order accepted.
    Recovered(Submission, RecoveredAttempts),
    /// An attempt completed.
    AttemptCompleted(AttemptCompleted),
    /// The head of a response had a `Retry-After`: known before the response is whole, and if it never is.
    RetryAfter {
        /// The endpoint that responded.
        endpoint: EndpointId,
        /// How long to wait from now.
        wait: Duration,
    },
    /// A message was cancelled; no final answer is owed.
    Cancelled(MessageId),
    /// The timer of an [`Action::SetTimer`] fired; its token.
    TimerFired(u64),
    /// The response to a streamed message began; the attempt now belongs to the client.
    FirstByte(MessageId),
    /// A probe completed.
    ProbeCompleted {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time from its sending to its completion.
        latency: Duration,
    },
    /// A note was received from another gateway instance.
    PeerMessageReceived {
        /// The number of that instance.
        from: u32,
        /// Its text.
        text: Vec<u8>,
    },
}

/// An action, to be taken in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to an endpoint. Those of one `next_actions` to one endpoint share a request, as far as
    /// [`crate::Kind::max_batch`] allows.
    Send {
        /// The message.
        message: MessageId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout: Duration,
    },
    /// Final answer: rejected; the client may safely submit it again.
    Reject {
        /// The message.
        message: MessageId,
        /// How long the client should wait before it retries; zero for no advice.
        retry_after: Duration,
    },
    /// Final answer: failed; whether it took effect is not known.
    Fail {
        /// The message.
        message: MessageId,
    },
    /// Abandon an attempt: stop waiting for its response.
    AbandonAttempt {
        /// The message.
        message: MessageId,
        /// The number of the attempt, from 0.
        attempt: u16,
    },
    /// Arm a timer: send [`Event::TimerFired`] with this token after this time.
    SetTimer {
        /// Time from now.
        after: Duration,
        /// Token of the event.
        token: u64,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Probe an endpoint. It counts as a request there.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send a note of at most 256 bytes to one gateway instance, or to all.
    SendPeerMessage {
        /// The number of the instance; none for all.
        to: Option<u16>,
        /// Its text.
        text: Vec<u8>,
    },
    /// Write a line to the log.
    Log {
        /// Its text.
        text: String,
    },
    /// Subscribe to updates of the endpoint list, or unsubscribe.
    SubscribeEndpoints {
        /// Whether to subscribe.
        active: bool,
    },
    /// Request the whole endpoint list once.
    RefreshEndpoints,
}
