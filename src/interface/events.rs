//! Events that the delivery policy receives, and the actions that it returns.

use super::ids::{ClassId, DestinationId, EndpointId, KindId, MessageId, OrderKey, TenantId, ZoneId};
use super::time::Time;
use std::time::Duration;

/// State of an endpoint in the endpoint list. It does not reflect the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts new requests.
    Ready,
    /// Accepts one request at a time from this instance: other instances start to send to it at the same moment.
    OneAtATime,
    /// Accepts no new requests for now; requests that are already scheduled are still sent.
    Paused,
    /// Draining: is sent nothing more.
    Draining,
    /// Removed from the list.
    Removed,
}

impl EndpointState {
    /// Whether new requests may be scheduled.
    pub fn accepts_new_requests(self) -> bool {
        matches!(self, EndpointState::Ready | EndpointState::OneAtATime)
    }

    /// Whether requests that are already scheduled may still be sent.
    pub fn accepts_scheduled_requests(self) -> bool {
        self.accepts_new_requests() || self == EndpointState::Paused
    }
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// A later entry with the same id replaces this one.
    pub id: EndpointId,
    /// The zone that the endpoint is in. Instances prefer endpoints in their own zone.
    pub zone: ZoneId,
    /// The kind of the destination: sets the batch size and whether the endpoint has a rate limit of its own.
    pub kind: KindId,
    /// The destination that the endpoint belongs to.
    pub destination: DestinationId,
    /// Which requests the endpoint accepts.
    pub state: EndpointState,
    /// The listed weight; [`crate::WeightSource`] says what it means.
    pub weight: f64,
}

/// An update of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointListUpdate {
    /// New and changed entries only.
    Delta(Vec<Endpoint>),
    /// The complete list; endpoints missing from it are removed.
    Snapshot(Vec<Endpoint>),
    /// The list could not be read; the previous one stays in use.
    Unavailable,
}

/// A submitted message. It gets exactly one final outcome.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifies the message; never reused.
    pub id: MessageId,
    /// The class of the message: sets its latency objective, effect, ordering and priority.
    pub class: ClassId,
    /// The destination to deliver the message to.
    pub destination: DestinationId,
    /// The order key, if the message has one. Only ordered classes use it.
    pub key: Option<OrderKey>,
    /// The last time at which the message may be sent. Its final outcome follows within
    /// [`crate::Rules::outcome_grace`].
    pub deadline: Time,
    /// The message was held by a gateway instance that was lost; a keyed message may have taken effect through it.
    pub from_lost_instance: bool,
    /// The client marked the message as resubmitted (see [`crate::Settings::clients_mark_resubmissions`]).
    pub resubmitted: bool,
    /// The tenant whose quota the message counts against.
    pub tenant: TenantId,
}

/// What the log of an earlier process says about a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveredAttempts {
    /// When the client submitted the message. Its value decays from then on, not from the restart.
    pub submitted_at: Time,
    /// Number of attempts started. They still count towards [`crate::Settings::max_attempts`].
    pub attempts: u32,
    /// When the first attempt that may have taken effect was sent, and to which zone, if known.
    pub may_have_run: Option<(Time, Option<ZoneId>)>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Delivered.
    Ok,
    /// Error response; may have taken effect.
    Error,
    /// Rejected without being processed (rate limit, full queue, shut down, draining), with the `Retry-After`, if any.
    Rejected(Option<Duration>),
    /// No response in time; may have taken effect, or may still be running.
    Timeout,
    /// No connection; had no effect.
    ConnectFailed,
    /// The connection broke before the response; may have taken effect.
    Reset,
    /// Abandoned by the policy; may have taken effect.
    Abandoned,
    /// Not sent (no free slot, message completed, or no attempts left).
    Unsent,
    /// Not sent because [`crate::DeliveryPolicy::may_send_now`] refused it; does not count as an attempt.
    NotStarted,
}

impl AttemptOutcome {
    /// Whether an attempt with this outcome may have taken effect.
    pub fn may_have_run(self) -> bool {
        let never = [AttemptOutcome::ConnectFailed, AttemptOutcome::Unsent, AttemptOutcome::NotStarted];
        !matches!(self, AttemptOutcome::Rejected(_)) && !never.contains(&self)
    }

    /// Whether an attempt with this outcome got no response and may still be running at the endpoint.
    pub(crate) fn may_still_be_running(self) -> bool {
        matches!(self, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Abandoned)
    }
}

/// The rate limit of a destination as advertised in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitStatus {
    /// Fraction of the limit that remains, from 0 to 1.
    pub remaining: f64,
    /// The limit in requests per second for all gateway instances together; zero for none.
    pub limit: f64,
}

/// The completion of an attempt. Each attempt that is sent has exactly one.
#[derive(Clone, Debug)]
pub struct AttemptCompleted {
    /// The message that the attempt was for.
    pub message: MessageId,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Number of the attempt, from 0.
    pub attempt: u16,
    /// How the attempt ended; decides whether the message may be sent again.
    pub outcome: AttemptOutcome,
    /// Time between sending and completion.
    pub latency: Duration,
    /// Whether the message has its final outcome; if not, the policy still has to produce it.
    pub message_completed: bool,
    /// The rate limit that the response advertised, if any.
    pub rate_limit: Option<RateLimitStatus>,
}

/// An event, for [`crate::DeliveryPolicy::on_event`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed or could not be read.
    EndpointsUpdated(EndpointListUpdate),
    /// The gateway accepted a message, which now needs a final outcome.
    Submitted(Submission),
    /// This instance restarted. Sent before the recovered messages: attempts of the earlier process that have left no
    /// trace may still be running.
    Restarted,
    /// A message without a final outcome was recovered after a restart. Sent in the order of acceptance.
    Recovered(Submission, RecoveredAttempts),
    /// The result of an [`Action::Send`].
    AttemptCompleted(AttemptCompleted),
    /// The head of a response had a `Retry-After`. Sent at once: the rest of the response may be late or never arrive.
    RetryAfter {
        /// The endpoint that responded.
        endpoint: EndpointId,
        /// How long to wait from now.
        wait: Duration,
    },
    /// A message was cancelled; it needs no final outcome any more.
    Cancelled(MessageId),
    /// The timer of an [`Action::SetTimer`] with this token fired.
    TimerFired(u64),
    /// The response to a streamed message began, and is passed on to the client.
    FirstByte(MessageId),
    /// The result of an [`Action::Probe`].
    ProbeCompleted {
        /// The endpoint that was probed.
        endpoint: EndpointId,
        /// How the probe ended.
        outcome: AttemptOutcome,
        /// Time between sending and completion.
        latency: Duration,
    },
    /// Another gateway instance sent a message to this one.
    PeerMessageReceived {
        /// Number of the gateway instance that sent it.
        from: u32,
        /// The bytes that the other instance passed to [`Action::SendPeerMessage`].
        payload: Vec<u8>,
    },
}

/// An action for the caller. Actions are taken in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to an endpoint. Messages that one call of `next_actions` sends to the same endpoint share a
    /// request, up to [`crate::Kind::max_batch`].
    Send {
        /// A message without a final outcome and without another attempt in flight.
        message: MessageId,
        /// An endpoint of the message's destination that accepts new requests.
        endpoint: EndpointId,
        /// Time without a response after which the attempt ends as [`AttemptOutcome::Timeout`].
        timeout: Duration,
    },
    /// Final outcome: rejected. The client may safely resubmit the message.
    Reject {
        /// A message that has not taken effect or is safe to repeat.
        message: MessageId,
        /// How long the client should wait before it resubmits; zero for no advice.
        retry_after: Duration,
    },
    /// Final outcome: failed. Whether the message took effect is unknown.
    Fail {
        /// A message with an attempt that is in flight or may have taken effect.
        message: MessageId,
    },
    /// Stop waiting for the response to an attempt.
    AbandonAttempt {
        /// The message that the attempt is for.
        message: MessageId,
        /// Number of the attempt, from 0.
        attempt: u16,
    },
    /// Set a timer: send [`Event::TimerFired`] with this token after this time.
    SetTimer {
        /// Time from now.
        after: Duration,
        /// Returned in [`Event::TimerFired`], to tell this timer from earlier ones.
        token: u64,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// Connections to this endpoint that carry a request stay open.
        endpoint: EndpointId,
    },
    /// Probe an endpoint. A probe counts as a request to it.
    Probe {
        /// The result is reported as [`Event::ProbeCompleted`] with this endpoint.
        endpoint: EndpointId,
    },
    /// Send a message of at most 256 bytes to one gateway instance, or to all.
    SendPeerMessage {
        /// Number of the receiver; `None` for all instances.
        to: Option<u16>,
        /// Delivered unchanged in [`Event::PeerMessageReceived`].
        payload: Vec<u8>,
    },
    /// Write a line to the gateway's operational log (not the write-ahead log).
    Log {
        /// Free text for operators; the gateway does not evaluate it.
        text: String,
    },
    /// Subscribe to updates of the endpoint list, or unsubscribe.
    SubscribeEndpoints {
        /// True to subscribe, false to unsubscribe.
        active: bool,
    },
    /// Request the complete endpoint list once.
    RefreshEndpoints,
}
