//! Records of the log, and the state of a message that they add up to.

/// How a message ended that was not delivered. The platform must be notified of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TerminalState {
    /// The message may have taken effect.
    Undeliverable,
    /// The message never took effect. It may be submitted again after so many milliseconds, if there is such a time.
    Deferred(Option<u64>),
}

/// What the log knows of a message that is not complete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveMessage {
    /// The client's id of the message.
    pub id: Vec<u8>,
    /// Its idempotency key, if its class has one.
    pub idempotency_key: Option<Vec<u8>>,
    /// Index of its class.
    pub class: u8,
    /// Number of its destination.
    pub destination: u16,
    /// Its order key; 0 for none.
    pub order_key: u64,
    /// When it was submitted, in Unix nanoseconds.
    pub submitted_at: u64,
    /// When delivery is given up, in Unix nanoseconds.
    pub deadline: u64,
    /// Whether a gateway instance that was lost held it before.
    pub from_lost_instance: bool,
    /// Number of attempts started.
    pub attempts: u16,
    /// The first attempt that may have run.
    pub first_possible_run: Option<AttemptStart>,
    /// The attempt that was started and has no outcome yet.
    pub open_attempt: Option<AttemptStart>,
    /// How it ended, where the platform has not acknowledged the notification yet.
    pub pending_notification: Option<TerminalState>,
    /// What is delivered; empty once the message has ended.
    pub body: Vec<u8>,
}

/// An index that a log of an earlier version does not hold, or that no name in the settings stands for.
pub const UNKNOWN_INDEX: u8 = u8::MAX;

/// Time and zone of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// When it was started, in Unix nanoseconds.
    pub started_at: u64,
    /// Index of its zone.
    pub zone: u8,
}

/// A class of messages as it was when the log was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassEntry {
    /// Its name in the settings; empty for the class that no setting names.
    pub name: String,
    /// The writer's code for the effect of a repeated delivery; [`UNKNOWN_INDEX`] where the log does not hold it.
    pub effect: u8,
}

/// The names behind the indices in the messages of a segment. Settings may have changed since they were written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NameTable {
    /// Classes, by index.
    pub classes: Vec<ClassEntry>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
}

/// A moment on two clocks, by which a later process tells how much real time has passed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReference {
    /// The writer's time, in Unix nanoseconds: that of all times in the log.
    pub unix_time: u64,
    /// The machine's monotonic clock at that moment, in nanoseconds.
    pub monotonic: u64,
    /// The boot of the machine that the monotonic clock belongs to.
    pub boot: BootId,
}

/// Identifies one boot of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootId(pub [u8; 16]);

/// One entry of the log.
///
/// `message_number` is the gateway's own number of a message, unique while the message is live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A message was accepted; in a new segment, a live message as it stands.
    Submitted {
        /// The message's number.
        message_number: u32,
        /// Its state.
        message: Box<LiveMessage>,
    },
    /// An attempt to deliver the message was started.
    AttemptStarted {
        /// The message's number.
        message_number: u32,
        /// Time and zone of the attempt.
        start: AttemptStart,
    },
    /// The attempt in flight has its outcome.
    AttemptCompleted {
        /// The message's number.
        message_number: u32,
        /// Whether the endpoint may have processed the request.
        may_have_run: bool,
    },
    /// The message ended undelivered and the platform must be notified.
    NotificationPending {
        /// The message's number.
        message_number: u32,
        /// How it ended.
        state: TerminalState,
    },
    /// The message is complete: delivered, cancelled, or its notification acknowledged.
    Completed {
        /// The message's number.
        message_number: u32,
    },
    /// What the indices in the messages of this segment mean.
    NameTable(NameTable),
    /// The clock of the times in this segment.
    ClockReference(ClockReference),
    /// The attempt in flight was not sent after all: it counts as if it had never been started.
    AttemptWithdrawn {
        /// The message's number.
        message_number: u32,
    },
}
