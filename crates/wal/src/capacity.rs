//! Division of the log's capacity among the uses of its files.

/// Fraction of the capacity for live messages together with the names that they refer to.
const LIVE_FRACTION: f64 = 0.36;
/// Fraction of the capacity for finished messages; the oldest are forgotten beyond it.
const FINISHED_FRACTION: f64 = 0.06;
/// Fraction of the capacity for the endpoint list.
const ENDPOINT_LIST_FRACTION: f64 = 0.06;
/// Fraction of the capacity for the current segment, which still exists while compaction writes the next one.
const SEGMENT_FRACTION: f64 = 0.5;
/// Fraction of the capacity that is left for headers, the clock reference and rounding up to whole file system blocks.
const MIN_RESERVE_FRACTION: f64 = 0.02;

// The next segment holds all that is kept, beside the current one.
const _: () = assert!(
    LIVE_FRACTION + FINISHED_FRACTION + ENDPOINT_LIST_FRACTION + SEGMENT_FRACTION
        <= 1.0 - MIN_RESERVE_FRACTION + f64::EPSILON
);

/// Limits of the uses of a log's files, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityShares {
    /// Encoded size of live messages and names.
    pub live: u64,
    /// Encoded size of finished messages.
    pub finished: u64,
    /// Size of the endpoint list.
    pub endpoint_list: u64,
    /// Size of a segment, above which it is compacted.
    pub segment: u64,
}

impl CapacityShares {
    /// Divides a capacity in bytes.
    pub fn new(capacity: u64) -> Self {
        let share = |fraction: f64| (capacity as f64 * fraction) as u64;
        CapacityShares {
            live: share(LIVE_FRACTION),
            finished: share(FINISHED_FRACTION),
            endpoint_list: share(ENDPOINT_LIST_FRACTION),
            segment: share(SEGMENT_FRACTION),
        }
    }
}
