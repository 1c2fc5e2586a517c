//! Write-ahead log of accepted messages. Committed records survive the end of the process.
//!
//! [`Log`] collects the [`Record`]s of one turn, and [`Log::commit`] appends them to a segment of a [`SegmentStore`] in
//! one write. A committed record survives a crash of the process, but not necessarily a crash of the machine, because
//! commits do not sync. Once a segment has grown too large, compaction writes the live messages to a new segment, which
//! replaces the old one by an atomic rename. Both segments together stay within the capacity that the log was opened
//! with.
//!
//! Recovery, in [`Log::open`], reads the newest segment up to the first torn or damaged batch. A batch holds the
//! records of one commit in a frame with a length, a checksum and a sequence number, so that it is recovered as a whole
//! or not at all. A record in an intact batch that this version can't decode is skipped alone. Segments of format
//! version 1, whose records have no frames, can still be read.
//!
//! File names: `log.N` is a segment, which is complete as soon as it has this name; the segment with the highest `N` is
//! the current one. `log.tmp` is a segment that was being written when the process ended; it is ignored and removed.
//!
//! | module | contents |
//! | --- | --- |
//! | `record` | record types and the message state |
//! | `capacity` | division of the capacity among live and finished messages, the endpoint list and the old segment |
//! | `codec` | binary encoding of records, with checksums |
//! | `finished` | completed messages whose ids may come again |
//! | `frame` | binary encoding of batches |
//! | `log` | live messages, commit, compaction and recovery |
//! | [`store`] | storage of segments in a directory, or in memory for tests |
#![forbid(unsafe_code)]

mod capacity;
mod codec;
mod finished;
mod frame;
mod log;
mod record;
pub mod store;

pub use codec::{DecodeError, UndecodableRecord};
pub use log::{Log, LogUsage, RecoveredState};
pub use record::{
    AttemptStart, BootId, ClassEntry, ClockReference, FinishedMessage, FinishedOutcome, LiveMessage,
    NameTable, Record, TerminalState, UNKNOWN_INDEX,
};
pub use store::SegmentStore;
