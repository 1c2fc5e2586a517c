//! Defects that are planted on purpose, to see that the testbench finds them.
//!
//! The gateway's packages ask for them only where they are built with the feature `planted-defects`, which no release is.

use std::sync::OnceLock;

/// Environment variable with the name of the defect.
pub const DEFECT_VARIABLE: &str = "CLOVERSTILE_PLANTED_DEFECT";

/// A defect that can be planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedDefect {
    /// Replies leave ahead of the log's write.
    ReplyBeforeLog,
    /// Recovery applies the records of a torn batch that can be read.
    HalfBatch,
    /// The wall clock is read for every time.
    WallClock,
    /// One failed accept ends a listener that is being closed.
    ListenerEnds,
    /// A closed connection is read from, and the bytes are discarded.
    LingeringReads,
    /// Responses are handled ahead of the time-outs of their turn (incident-10321).
    LateResponses,
    /// A restart forgets that keys rest.
    SettleForgotten,
    /// A key's next message does not wait for the notification of the one before.
    NotificationNotAwaited,
    /// Messages are recovered in the reverse order.
    RecoveredInReverse,
    /// Each SIGTERM starts the shutdown's clock anew.
    ShutdownClock,
    /// The reply to a client that has left goes to another one.
    ReplyToAnother,
    /// SIGHUP in a shutdown listens anew.
    ReloadListens,
}

impl PlantedDefect {
    /// All of them.
    pub const ALL: [PlantedDefect; 12] = [
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
    ];

    /// Its name in [`DEFECT_VARIABLE`].
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
        }
    }
}

/// Whether this process was started with a defect.
pub fn is_planted(defect: PlantedDefect) -> bool {
    static NAME: OnceLock<Option<String>> = OnceLock::new();
    NAME.get_or_init(|| std::env::var(DEFECT_VARIABLE).ok()).as_deref() == Some(defect.name())
}
