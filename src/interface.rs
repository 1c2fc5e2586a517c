//! What a courier is told and what it may answer. Types only; every decision is in `choice.rs`.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A moment on the caller's clock, in nanoseconds from any fixed start. Never goes backwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// The clock's own zero.
    pub const ZERO: Time = Time(0);
}

impl Add<Duration> for Time {
    type Output = Time;
    /// Saturates at the end of the clock.
    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

impl Sub for Time {
    type Output = Duration;
    /// Time since `earlier`; zero if that is in the future.
    fn sub(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;
    /// Saturates at zero.
    fn sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A message, unique for the life of a courier. It is also the idempotency key that travels with a call.
    MessageId(u32);
    /// One address of a destination.
    EndpointId(u32);
    /// A partner's system; a message names the one that it is for.
    DestinationId(u16);
    /// Index into [`Settings::classes`].
    ClassId(u8);
    /// Index into [`Settings::tenants`].
    TenantId(u32);
    /// Index into [`Settings::kinds`].
    KindId(u16);
    /// A location.
    ZoneId(u8);
    /// What messages of an ordered class are about; those with one key go in turn.
    OrderKey(u64);
}

/// What a repeat of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat does no harm.
    Safe,
    /// A repeat under the same key is dropped, inside a group of endpoints and for a time.
    Keyed,
    /// A repeat takes effect again.
    Unsafe,
}

/// Which endpoints of a destination drop repeats of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those of the zone that was called first.
    Zone,
}

/// A class of message.
#[derive(Clone, Debug)]
pub struct Class {
    /// Delivered within this time after the hand-in, it earns its full worth.
    pub latency_objective: Duration,
    /// How long after the hand-in it may be delivered at all.
    pub deadline: Duration,
    /// What a repeat does.
    pub effect: Effect,
    /// Keyed classes: who drops repeats.
    pub group: Group,
    /// Keyed classes: for how long from the sending of the first attempt that may have run.
    pub retry_window: Duration,
    /// Messages with one key go one at a time, in the order taken.
    pub ordered: bool,
    /// Worth of a message delivered on time.
    pub priority_weight: f64,
    /// Share of the worth that is left at the deadline.
    pub late_value_ratio: f64,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective: Duration::from_secs(3),
            deadline: Duration::from_secs(20),
            effect: Effect::Keyed,
            group: Group::All,
            retry_window: Duration::from_secs(10),
            ordered: false,
            priority_weight: 1.0,
            late_value_ratio: 0.5,
        }
    }
}

/// A client with a share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Messages a second over all couriers inside its share; what is beyond is worth little.
    pub quota: f64,
}

/// A kind of destination.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Messages that one call may carry.
    pub max_batch: usize,
    /// The endpoints of a destination are separate routes, each with its own limit, pace and outages.
    pub per_endpoint_limits: bool,
}

/// What an endpoint's weight means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// Nothing.
    Silent,
    /// Calls a second that the destination takes from all couriers together.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// How news of the list of endpoints comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Unasked.
    Push,
    /// Only to those who asked ([`Action::SubscribeEndpoints`], [`Action::RefreshEndpoints`]).
    Ask,
}

/// How the worth of a message falls after its aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Evenly, down to [`Class::late_value_ratio`] at the deadline.
    Linear,
    /// By half with each further aim, but not under [`Class::late_value_ratio`].
    Halving,
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A final answer still counts this long after the deadline.
    pub answer_grace: Duration,
    /// A destination back from an outage can do at least this share of its capacity.
    pub warm_up_capacity: f64,
    /// It is warm after this at the latest.
    pub warm_up_time: Duration,
    /// Sent more than this multiple of what it can do just now ...
    pub overload_multiple: f64,
    /// ... for this long, a cold destination falls over.
    pub overload_window: Duration,
    /// A key rests this long after an attempt that may still be running.
    pub key_cooldown: Duration,
    /// Where the list must be asked for: who has not asked for this long counts as told what was listed then.
    pub discovery_interval: Duration,
}

/// What a courier is handed at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Couriers that share the destinations, this one included.
    pub instance_count: u32,
    /// Where this courier stands.
    pub zone: ZoneId,
    /// Classes of message.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// What weights mean.
    pub weights: WeightSource,
    /// How news of the list comes.
    pub discovery: Discovery,
    /// How worth falls after the aim.
    pub decay: Decay,
    /// Clients mark what they hand in again.
    pub clients_mark_retries: bool,
    /// Longest time that clients stay away when told to; none where they are not told.
    pub max_retry_after: Option<Duration>,
    /// Calls that may be out at once.
    pub concurrency_limit: usize,
    /// Messages that may be held; further ones are turned away before the courier.
    pub max_queued: usize,
    /// Most attempts for one message.
    pub max_attempts: u32,
    /// [`Action::AbandonAttempt`] is permitted.
    pub can_abandon: bool,
    /// A message may have two attempts out at once.
    pub allows_hedging: bool,
    /// Worth of a message beyond its tenant's share, as a part of its class's worth.
    pub over_quota_weight: f64,
    /// A connection that takes longer has failed.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this.
    pub connection_idle_timeout: Duration,
    /// The figures of the rules.
    pub rules: Rules,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            instance_count: 2,
            zone: ZoneId(0),
            classes: vec![Class::default()],
            tenants: Vec::new(),
            kinds: vec![Kind { max_batch: 1, per_endpoint_limits: false }],
            weights: WeightSource::Nominal,
            discovery: Discovery::Push,
            decay: Decay::Linear,
            clients_mark_retries: false,
            max_retry_after: None,
            concurrency_limit: 16,
            max_queued: 400,
            max_attempts: 8,
            can_abandon: true,
            allows_hedging: false,
            over_quota_weight: 1.0,
            connect_timeout: Duration::from_secs(1),
            connection_idle_timeout: Duration::from_secs(15),
            rules: Rules {
                answer_grace: Duration::from_millis(20),
                warm_up_capacity: 0.2,
                warm_up_time: Duration::from_secs(10),
                overload_multiple: 2.0,
                overload_window: Duration::from_secs(2),
                key_cooldown: Duration::ZERO,
                discovery_interval: Duration::from_secs(10),
            },
        }
    }
}

/// Whether an endpoint may be given new work. It says nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Listed.
    Ready,
    /// Listed, for one call at a time: others are let in as well at this moment.
    OneAtATime,
    /// Listed, and to be given nothing new for the moment; what was decided on before goes.
    Paused,
    /// To be sent nothing new.
    Draining,
    /// Removed.
    Removed,
}

impl EndpointState {
    /// Whether it may be given new work at all.
    pub fn accepts_new_requests(self) -> bool {
        matches!(self, EndpointState::Ready | EndpointState::OneAtATime)
    }

    /// Whether what was decided on may still go there.
    pub fn accepts_scheduled_requests(self) -> bool {
        self.accepts_new_requests() || self == EndpointState::Paused
    }
}

/// An entry of the list of endpoints.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// Where it stands.
    pub zone: ZoneId,
    /// What kind of destination it belongs to.
    pub kind: KindId,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// Whether it may be given new work.
    pub state: EndpointState,
    /// See [`WeightSource`].
    pub weight: f64,
}

/// News of the list of endpoints.
#[derive(Clone, Debug)]
pub enum EndpointListUpdate {
    /// Altered entries only.
    Delta(Vec<Endpoint>),
    /// The whole list; what it does not name is gone.
    Snapshot(Vec<Endpoint>),
    /// The list could not be had; the prior one remains valid.
    Unavailable,
}

/// A message that the courier now owes one final answer.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its id, which never comes twice.
    pub id: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Where it must go.
    pub destination: DestinationId,
    /// Its key, if it has one.
    pub key: Option<OrderKey>,
    /// When it is given up.
    pub deadline: Time,
    /// A courier that died held it before; a keyed one may have run there.
    pub from_lost_instance: bool,
    /// Marked as handed in again (see [`Settings::clients_mark_retries`]).
    pub resubmitted: bool,
    /// Whose it is.
    pub tenant: TenantId,
}

/// What a message went through under a courier that is no more, as its log has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveredAttempts {
    /// When it was handed in.
    pub submitted_at: Time,
    /// Attempts begun.
    pub attempts: u32,
    /// When the first attempt was sent that may have run, and in which zone, if that is known.
    pub may_have_run: Option<(Time, Option<ZoneId>)>,
    /// Its last attempt was out when the courier ended.
    pub last_attempt_open: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Delivered.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen: above the limit, queue full, shut or draining. Told to wait for this long, if at all.
    Rejected(Option<Duration>),
    /// No answer in time; may have run, or may still run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off by the courier; may have run.
    Abandoned,
    /// Not sent at all (no free slot, message over, attempts used up).
    Unsent,
    /// Not begun, as [`crate::DeliveryPolicy::may_send_now`] forbade it when it was about to leave: it counts as no attempt.
    NotStarted,
}

impl AttemptOutcome {
    /// Whether an attempt that ended so may have taken effect.
    pub fn may_have_run(self) -> bool {
        let never = [AttemptOutcome::ConnectFailed, AttemptOutcome::Unsent, AttemptOutcome::NotStarted];
        !matches!(self, AttemptOutcome::Rejected(_)) && !never.contains(&self)
    }

    /// Whether an attempt that ended so was lost without a response: it may still be running.
    pub(crate) fn is_lost(self) -> bool {
        matches!(self, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Abandoned)
    }
}

/// What a destination told of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitStatus {
    /// Share of the limit that is left just now.
    pub remaining: f64,
    /// The limit in calls a second over all couriers; zero where there is none.
    pub limit: f64,
}

/// The end of one attempt. Each routed attempt has exactly one.
#[derive(Clone, Debug)]
pub struct AttemptCompleted {
    /// The message.
    pub message: MessageId,
    /// Where the attempt went.
    pub endpoint: EndpointId,
    /// The how-manieth attempt of the message, from 0.
    pub attempt: u16,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it was sent.
    pub latency: Duration,
    /// The message is over; if not, its final answer is still owed.
    pub complete: bool,
    /// What was told of the limit.
    pub rate_limit: Option<RateLimitStatus>,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list.
    EndpointsUpdated(EndpointListUpdate),
    /// A message was taken.
    Submitted(Submission),
    /// A message that this courier took before it was started again; it owes it still. In the order taken.
    Recovered(Submission, RecoveredAttempts),
    /// An attempt ended.
    AttemptCompleted(AttemptCompleted),
    /// The head of an answer told to wait: known before the answer is whole, and if it never is.
    RetryAfter {
        /// Whose answer.
        endpoint: EndpointId,
        /// For how long, from now.
        wait: Duration,
    },
    /// Nobody wants this message any more; no answer is owed.
    Cancelled(MessageId),
    /// A timer asked for by [`Action::Wake`] has come due.
    TimerFired(u64),
    /// The answer of a streamed message has begun; the attempt now belongs to the client.
    FirstByte(MessageId),
    /// A probe's result.
    ProbeCompleted {
        /// Which endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since it was sent.
        latency: Duration,
    },
    /// A note of another courier.
    NoteReceived {
        /// Its number.
        from: u32,
        /// What it says.
        text: Vec<u8>,
    },
}

/// Something to do, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call this endpoint with this message. Routes of one `decide` to one endpoint share a call as far as
    /// [`Kind::max_batch`] allows.
    Send {
        /// The message.
        message: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// The attempt's time-out.
        timeout: Duration,
    },
    /// Final answer: handed back; the client may safely hand it in again.
    Reject {
        /// The message.
        message: MessageId,
        /// How long the client should stay away; zero for no advice.
        retry_after: Duration,
    },
    /// Final answer: given up; the client is not told whether it took effect.
    Fail {
        /// The message.
        message: MessageId,
    },
    /// Stop waiting for an attempt.
    AbandonAttempt {
        /// The message.
        message: MessageId,
        /// Which attempt, from 0.
        attempt: u16,
    },
    /// Ask for a [`Event::TimerFired`] with this token after this time.
    Wake {
        /// How long from now.
        after: Duration,
        /// Comes back with the event.
        token: u64,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// Which endpoint.
        endpoint: EndpointId,
    },
    /// Probe an endpoint. It counts as a call there.
    Probe {
        /// Which endpoint.
        endpoint: EndpointId,
    },
    /// Send a note of at most 256 bytes to one courier, or to all.
    SendNote {
        /// A courier's number; all of them where absent.
        to: Option<u16>,
        /// What it says.
        text: Vec<u8>,
    },
    /// A line for the operators.
    Log {
        /// What it says.
        text: String,
    },
    /// Subscribe to changes of the list, or end the subscription.
    SubscribeEndpoints {
        /// On or off.
        active: bool,
    },
    /// Ask for the whole list once.
    RefreshEndpoints,
}
