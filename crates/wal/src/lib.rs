//! Write-ahead log of accepted messages: what was committed to it survives the end of the process.
//!
//! [`Log`] collects the [`Record`]s of one turn, and [`Log::commit`] appends them to a segment of a [`SegmentStore`] in
//! one write. A committed record survives a crash of the process without a sync; it need not survive a crash of the
//! machine. When a segment has grown, compaction writes the live messages to a new segment, which replaces the old one
//! when it gets its name; both together stay under the capacity that the log was opened with.
//!
//! Recovery, in [`Log::open`], reads the newest segment up to its first torn or damaged batch. A batch, the records of one
//! commit, stands in a frame with a length, a checksum and a sequence number over all of it: it is recovered whole or not
//! at all. Segments of the first version have records without frames, and are still read.
//!
//! File names: `log.N` is a segment, complete from the moment it has that name; the highest `N` counts. `log.tmp` is a
//! segment that was being written when the process ended, and is ignored.
//!
//! | module | holds |
//! | --- | --- |
//! | `record` | types of the records |
//! | `codec` | their bytes: checksums, encoding and decoding |
//! | `frame` | the batches of a segment |
//! | `log` | state of the log: live messages, commit, compaction, recovery |
//! | [`store`] | where segments are kept: the file system, or memory in tests |
#![forbid(unsafe_code)]

mod codec;
mod frame;
mod log;
mod record;
pub mod store;

pub use codec::DecodeError;
pub use log::{Log, RecoveredState};
pub use record::{
    AttemptStart, BootId, ClassEntry, ClockReference, LiveMessage, NameTable, Record, TerminalState,
    UNKNOWN_INDEX,
};
pub use store::SegmentStore;
