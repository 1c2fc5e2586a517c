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
}

impl PlantedDefect {
    /// All of them.
    pub const ALL: [PlantedDefect; 5] = [
        PlantedDefect::ReplyBeforeLog,
        PlantedDefect::HalfBatch,
        PlantedDefect::WallClock,
        PlantedDefect::ListenerEnds,
        PlantedDefect::LingeringReads,
    ];

    /// Its name in [`DEFECT_VARIABLE`].
    pub fn name(self) -> &'static str {
        match self {
            PlantedDefect::ReplyBeforeLog => "reply-before-log",
            PlantedDefect::HalfBatch => "half-batch",
            PlantedDefect::WallClock => "wall-clock",
            PlantedDefect::ListenerEnds => "listener-ends",
            PlantedDefect::LingeringReads => "lingering-reads",
        }
    }
}

/// Whether this process was started with a defect.
pub fn is_planted(defect: PlantedDefect) -> bool {
    static NAME: OnceLock<Option<String>> = OnceLock::new();
    NAME.get_or_init(|| std::env::var(DEFECT_VARIABLE).ok()).as_deref() == Some(defect.name())
}
