//! Defects that are planted in the gateway to verify that the testbench finds them.
//!
//! The gateway's packages contain them only if they are built with the feature `planted-defects`, which releases never
//! have.

use std::sync::OnceLock;

/// Environment variable that holds the [name](PlantedDefect::name) of the defect to activate.
pub const DEFECT_VARIABLE: &str = "CLOVERSTILE_PLANTED_DEFECT";

/// A defect that [`DEFECT_VARIABLE`] can activate in a gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedDefect {
    /// Replies to clients are sent before the log has written the records that they acknowledge.
    ReplyBeforeLog,
    /// Recovery applies the readable records of a torn batch instead of discarding the whole batch.
    HalfBatch,
    /// All times are taken from the wall clock, so that a step of it moves deadlines.
    WallClock,
    /// A failed accept ends a listener that is being closed, although connections may still be queued.
    ListenerEnds,
    /// Bytes that arrive on a lingering, already closed connection are read and discarded.
    LingeringReads,
    /// Responses read in a turn of the event loop are handled before attempts that are past their deadline time out
    /// (incident-10321).
    LateResponses,
    /// After a restart, order keys do not wait for the settle time of attempts that may still be running.
    SettleForgotten,
    /// The next message of an order key does not wait until the notification of the one before is acknowledged.
    NotificationNotAwaited,
    /// Messages are recovered in the reverse of the order in which they were accepted.
    RecoveredInReverse,
    /// Each further SIGTERM restarts the time limit of the shutdown.
    ShutdownClock,
    /// The reply to a client that has disconnected is sent to another client.
    ReplyToAnother,
    /// SIGHUP during a shutdown opens the listener again.
    ReloadListens,
    /// A connection to an endpoint is reused at once, without a look at its socket (incident-63ba54).
    ReuseAtOnce,
    /// Bytes on an idle connection to an endpoint are discarded, and the connection is kept.
    SurplusIgnored,
    /// A connection for notifications is kept for the next batch.
    CopyAcknowledges,
    /// A response that may be a copy counts at once, also from an endpoint that has sent copies.
    DoubtIgnored,
    /// The unanswered request for notifications that was sent first is given up for notifications that are due.
    UnansweredDropped,
    /// The engine isn't told of a response that is held, so that a time-out of its attempt drops it (incident-bc06e3).
    HeldResponseDropped,
    /// A response that ends a message and is in doubt counts as an error.
    DoubtedEndResent,
    /// A response with status 504 counts as a request that was not sent.
    ExhaustedResent,
    /// Of the response to an abandoned attempt only a `Retry-After` counts.
    LateEndIgnored,
    /// The received bytes of clients are not bounded together (incident 67).
    UnboundedInput,
    /// Messages that ended in an earlier process are not recovered, so that their ids run again.
    FinishedForgotten,
}

impl PlantedDefect {
    /// Every defect, for tests that activate each of them in turn.
    pub const ALL: [PlantedDefect; 23] = [
        PlantedDefect::ReplyBeforeLog,
        PlantedDefect::HalfBatch,
        PlantedDefect::WallClock,
        PlantedDefect::ListenerEnds,
        PlantedDefect::LingeringReads,
        PlantedDefect::LateResponses,
        PlantedDefect::SettleForgotten,
        PlantedDefect::NotificationNotAwaited,
        PlantedDefect::RecoveredInReverse,
        PlantedDefect::ShutdownClock,
        PlantedDefect::ReplyToAnother,
        PlantedDefect::ReloadListens,
        PlantedDefect::ReuseAtOnce,
        PlantedDefect::SurplusIgnored,
        PlantedDefect::CopyAcknowledges,
        PlantedDefect::DoubtIgnored,
        PlantedDefect::UnansweredDropped,
        PlantedDefect::HeldResponseDropped,
        PlantedDefect::DoubtedEndResent,
        PlantedDefect::ExhaustedResent,
        PlantedDefect::LateEndIgnored,
        PlantedDefect::UnboundedInput,
        PlantedDefect::FinishedForgotten,
    ];

    /// The value of [`DEFECT_VARIABLE`] that activates the defect.
    pub fn name(self) -> &'static str {
        match self {
            PlantedDefect::ReplyBeforeLog => "reply-before-log",
            PlantedDefect::HalfBatch => "half-batch",
            PlantedDefect::WallClock => "wall-clock",
            PlantedDefect::ListenerEnds => "listener-ends",
            PlantedDefect::LingeringReads => "lingering-reads",
            PlantedDefect::LateResponses => "late-responses",
            PlantedDefect::SettleForgotten => "settle-forgotten",
            PlantedDefect::NotificationNotAwaited => "notification-not-awaited",
            PlantedDefect::RecoveredInReverse => "recovered-in-reverse",
            PlantedDefect::ShutdownClock => "shutdown-clock",
            PlantedDefect::ReplyToAnother => "reply-to-another",
            PlantedDefect::ReloadListens => "reload-listens",
            PlantedDefect::ReuseAtOnce => "reuse-at-once",
            PlantedDefect::SurplusIgnored => "surplus-ignored",
            PlantedDefect::CopyAcknowledges => "copy-acknowledges",
            PlantedDefect::DoubtIgnored => "doubt-ignored",
            PlantedDefect::UnansweredDropped => "unanswered-dropped",
            PlantedDefect::HeldResponseDropped => "held-response-dropped",
            PlantedDefect::DoubtedEndResent => "doubted-end-resent",
            PlantedDefect::ExhaustedResent => "exhausted-resent",
            PlantedDefect::LateEndIgnored => "late-end-ignored",
            PlantedDefect::UnboundedInput => "unbounded-input",
            PlantedDefect::FinishedForgotten => "finished-forgotten",
        }
    }
}

/// Whether [`DEFECT_VARIABLE`] activates this defect. The variable is read once, at the first call.
pub fn is_planted(defect: PlantedDefect) -> bool {
    static NAME: OnceLock<Option<String>> = OnceLock::new();
    NAME.get_or_init(|| std::env::var(DEFECT_VARIABLE).ok()).as_deref() == Some(defect.name())
}
