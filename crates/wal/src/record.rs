//! Record types of the log, and the message state that results from replaying them.

/// Final state of a message that was not delivered. The platform that hosts the gateway must be notified
/// of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TerminalState {
    /// The message can't be delivered any more, but an attempt may have taken effect.
    Undeliverable,
    /// The message did not take effect and may be submitted again, after this many milliseconds if a delay is known.
    Deferred(Option<u64>),
}

/// State of a message that is not yet complete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveMessage {
    /// Message id chosen by the client.
    pub id: Vec<u8>,
    /// Idempotency key, if the class of the message uses one.
    pub idempotency_key: Option<Vec<u8>>,
    /// Class, as an index into [`NameTable::classes`].
    pub class: u8,
    /// Destination number.
    pub destination: u16,
    /// Order key; 0 if the message has none.
    pub order_key: u64,
    /// Time of submission, in Unix nanoseconds.
    pub submitted_at: u64,
    /// Time after which delivery is no longer attempted, in Unix nanoseconds.
    pub deadline: u64,
    /// Whether the message was submitted before to a gateway instance that was lost.
    pub from_lost_instance: bool,
    /// Number of attempts started, without withdrawn ones.
    pub attempts: u16,
    /// First attempt whose request an endpoint may have processed.
    pub first_possible_run: Option<AttemptStart>,
    /// Attempt that was started and has no outcome yet.
    pub open_attempt: Option<AttemptStart>,
    /// Final state that the platform must be notified of, until it acknowledges the notification.
    pub pending_notification: Option<TerminalState>,
    /// Body to deliver; empty once a notification is pending.
    pub body: Vec<u8>,
}

/// How a message ended that may not be delivered once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishedOutcome {
    /// It was delivered, or an endpoint said that it was over.
    Delivered,
    /// It was not delivered, but an attempt may have taken effect.
    Undeliverable,
}

/// A message that was attempted and is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedMessage {
    /// Message id chosen by the client.
    pub id: Vec<u8>,
    /// How it ended.
    pub outcome: FinishedOutcome,
    /// Time after which delivery would no longer have been attempted, in Unix nanoseconds.
    pub deadline: u64,
}

/// Placeholder for an index or code that the log does not hold (written by an earlier version), or that no configured
/// name corresponds to.
pub const UNKNOWN_INDEX: u8 = u8::MAX;

/// Start time and zone of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptStart {
    /// Start time, in Unix nanoseconds.
    pub started_at: u64,
    /// Zone of the endpoint, as an index into [`NameTable::zones`], or [`UNKNOWN_INDEX`].
    pub zone: u8,
}

/// Name and effect of a message class at the time the log was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassEntry {
    /// Name of the class in the settings; empty for the fallback class, which is not configured.
    pub name: String,
    /// Code of the effect of a repeated delivery, defined by the user of this crate; [`UNKNOWN_INDEX`] if the log does
    /// not hold it.
    pub effect: u8,
}

/// Names behind the class and zone indices in a segment. They are stored because the settings, and with them the
/// indices, may have changed when the segment is recovered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NameTable {
    /// Classes, in the order of their indices.
    pub classes: Vec<ClassEntry>,
    /// Zone names, in the order of their indices.
    pub zones: Vec<String>,
}

/// The same instant on two clocks. A later process uses it to determine how much time has passed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReference {
    /// Time of the process that wrote the log, in Unix nanoseconds. All times in the log are on this clock.
    pub unix_time: u64,
    /// Monotonic clock of the machine at the same instant, in nanoseconds.
    pub monotonic: u64,
    /// Boot of the machine. Readings of the monotonic clock are comparable only within one boot.
    pub boot: BootId,
}

/// Identifier of one boot of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootId(pub [u8; 16]);

/// One entry of the log.
///
/// `message_number` is a number that the gateway assigns to a message. It is unique among live messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A message was accepted. At the start of a segment, this holds the current state of a live message.
    Submitted {
        /// Number that later records of the message refer to.
        message_number: u32,
        /// State of the message, including its body.
        message: Box<LiveMessage>,
    },
    /// An attempt to deliver the message was started.
    AttemptStarted {
        /// Number of a live message.
        message_number: u32,
        /// Start time and zone of the attempt.
        start: AttemptStart,
    },
    /// The attempt in flight has an outcome.
    AttemptCompleted {
        /// Number of a live message.
        message_number: u32,
        /// Whether the endpoint may have processed the request.
        may_have_run: bool,
    },
    /// The message ended undelivered and the platform must be notified.
    NotificationPending {
        /// Number of a live message.
        message_number: u32,
        /// Final state to report.
        state: TerminalState,
    },
    /// The message is complete: delivered, cancelled, or its notification acknowledged.
    Completed {
        /// Number of a live message.
        message_number: u32,
    },
    /// A message that was completed before this segment was started.
    Finished(FinishedMessage),
    /// What the process was told of the endpoint list, in the format of the user of this crate. It replaces an earlier one.
    EndpointList(Vec<u8>),
    /// The names behind the class and zone indices in this segment.
    NameTable(NameTable),
    /// Reference for the times in this segment.
    ClockReference(ClockReference),
    /// The attempt in flight was logged but not sent. It is treated as if it had never been started.
    AttemptWithdrawn {
        /// Number of a live message.
        message_number: u32,
    },
}
