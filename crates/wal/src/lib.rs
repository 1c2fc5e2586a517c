//! The courier's write-ahead log: what was taken on outlasts the process.
//!
//! [`Log`] is state: records go in, and [`Log::commit`] hands a turn's bytes to a [`SegmentStore`] in one write. What
//! was written outlives the process without a sync. When the segment has grown, the living are written to a new
//! one, which takes the old one's place by its name; both together stay under the bound. [`store::DirectoryStore`] is the
//! one part that touches files.
//!
//! Names: `log.N` is a segment, complete from the moment it has that name; the highest `N` counts. `log.tmp` is
//! one that was being written when the process ended, and means nothing.
#![forbid(unsafe_code)]

mod log;
mod record;
pub mod store;

pub use log::{Log, Recovered};
pub use record::{AttemptStart, ClassName, LiveMessage, NameTable, Record, TerminalState, UNKNOWN_INDEX};
pub use store::SegmentStore;
