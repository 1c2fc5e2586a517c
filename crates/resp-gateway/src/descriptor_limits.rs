//! What the limits of the machine are dealt out to.

/// Parts of the descriptors: for clients (who hold a third at most for requests, says the page of the days), for clients
/// that were closed and read from a moment longer, and for connections to endpoints. The rest is for files and discovery.
const CLIENTS_PART: f64 = 0.47;
const CLOSED_PART: f64 = 0.06;
const CALLS_PART: f64 = 0.35;

/// How many descriptors are for what, in the order of the parts above.
pub fn descriptors(all: usize) -> [usize; 3] {
    [CLIENTS_PART, CLOSED_PART, CALLS_PART].map(|part| ((all as f64 * part) as usize).max(8))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Standard streams, event loop, signals, listener, log, discovery and notices.
    const OTHERS: usize = 12;

    #[test]
    fn what_is_held_at_once_stays_inside_the_descriptors() {
        for all in [256, 300, 512, 1024] {
            let parts = descriptors(all);
            assert!(parts.iter().sum::<usize>() + OTHERS <= all, "{all}: {parts:?}");
            assert!(parts[0] * 3 > all, "{all}: {parts:?} leave usual clients out");
        }
    }
}
