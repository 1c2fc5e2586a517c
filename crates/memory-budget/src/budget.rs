//! Division of the memory limit among the uses of memory.

use thiserror::Error;

/// Bytes of the program itself: code, stacks, the event loop, and tables whose size is bounded by counts.
const PROGRAM_BYTES: usize = 8_000_000;
/// Bytes of the endpoint list as it is received, parsed and kept.
const ENDPOINT_LIST_BYTES: usize = 5_000_000;
/// Bytes of incomplete responses of endpoints.
const RESPONSE_BYTES: usize = 6_000_000;
/// Bytes that one poll of the event loop reads, before they are handled.
const POLL_BYTES: usize = 1_000_000;
/// Share of the limit that the log's files may use at most.
const LOG_SHARE: f64 = 0.125;
/// Copies of logged messages in memory besides the files: live messages, the turn's batch, requests in flight.
const COPIES_OF_LOG: usize = 1;
/// Shares of what is left. The remainder covers fragmentation of the heap.
const CLIENT_INPUT_SHARE: f64 = 0.6;
const CLIENT_REPLIES_SHARE: f64 = 0.2;
/// Least bytes for replies, with which a process serves a few clients at a time.
const MIN_REPLY_BYTES: usize = 256 << 10;

/// The memory limit leaves too little for the fixed uses.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("limits.memory_mb: {given} bytes are too few, at least {needed} are needed for the program and its buffers")]
pub struct InsufficientMemory {
    /// The configured limit in bytes.
    pub given: usize,
    /// The least limit in bytes.
    pub needed: usize,
}

/// The bytes that each use of memory may hold. Together they stay below the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Files of the log, which the platform counts as memory.
    pub log_files: usize,
    /// Received bytes of clients that are not executed yet.
    pub client_input: usize,
    /// Replies that clients have not read yet.
    pub client_replies: usize,
}

impl MemoryBudget {
    /// Divides `limit` bytes of memory; the log's files may use up to `disk` bytes.
    ///
    /// # Errors
    /// The limit does not hold the program and the least buffers.
    pub fn new(limit: usize, disk: usize) -> Result<Self, InsufficientMemory> {
        let log_files = disk.min((limit as f64 * LOG_SHARE) as usize);
        let log = (1 + COPIES_OF_LOG) * log_files;
        let fixed = PROGRAM_BYTES + ENDPOINT_LIST_BYTES + RESPONSE_BYTES + POLL_BYTES + log;
        let rest = limit.saturating_sub(fixed);
        let share = |share: f64| (rest as f64 * share) as usize;
        let budget = MemoryBudget {
            log_files,
            client_input: share(CLIENT_INPUT_SHARE),
            client_replies: share(CLIENT_REPLIES_SHARE),
        };
        if budget.client_replies < MIN_REPLY_BYTES {
            let needed = fixed + (MIN_REPLY_BYTES as f64 / CLIENT_REPLIES_SHARE) as usize;
            return Err(InsufficientMemory { given: limit, needed });
        }
        Ok(budget)
    }
}
