//! Use of shared rate limits while messages wait for them.

use crate::record::{LoadRecord, Outcome};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Use of shared limits in the seconds in which messages waited for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LimitUse {
    /// Calls served in those seconds.
    pub served: f64,
    /// Calls that could have been served: the limit, or the number of messages to send if that was less.
    pub possible: f64,
}

impl LimitUse {
    /// Served of possible, from 0 to 1; 1 where no message ever waited.
    pub fn share(&self) -> f64 {
        if self.possible > 0.0 {
            self.served / self.possible
        } else {
            1.0
        }
    }
}

/// Counts by partner and second since the beginning of the run.
type CountsBySecond = BTreeMap<(usize, u64), f64>;

/// Use of each partner's limit, by partner and second, for the seconds at whose beginning messages waited.
pub fn limit_use(record: &LoadRecord) -> BTreeMap<(usize, u64), LimitUse> {
    let served = served_by_second(record);
    let (waiting, arriving) = (waiting_at_beginning(record), beginning_to_wait(record));
    let mut uses = BTreeMap::new();
    for ((partner, second), waiting) in waiting {
        let key = (partner, second);
        let Some(limit) = lowest_limit(record, partner, second as u32) else { continue };
        let to_send = waiting + arriving.get(&key).copied().unwrap_or(0.0);
        let served = served.get(&key).copied().unwrap_or(0.0);
        let possible = limit.min(to_send).max(1e-9);
        uses.insert(key, LimitUse { served: served.min(possible), possible });
    }
    uses
}

fn served_by_second(record: &LoadRecord) -> CountsBySecond {
    let mut served = CountsBySecond::new();
    for call in record.calls.iter().filter(|call| call.outcome == Outcome::Served) {
        *served.entry((record.endpoints[call.endpoint].partner, call.at.as_secs())).or_default() += 1.0;
    }
    served
}

/// Messages that wait as a second begins.
fn waiting_at_beginning(record: &LoadRecord) -> CountsBySecond {
    let mut waiting = CountsBySecond::new();
    for interval in record.waiting_intervals.iter().filter(|interval| interval.until > interval.from) {
        for second in interval.from.as_secs() + 1..=interval.until.as_secs() {
            *waiting.entry((interval.partner, second)).or_default() += 1.0;
        }
    }
    waiting
}

/// Messages that begin to wait within a second.
fn beginning_to_wait(record: &LoadRecord) -> CountsBySecond {
    let mut arriving = CountsBySecond::new();
    for interval in record.waiting_intervals.iter().filter(|interval| interval.until > interval.from) {
        *arriving.entry((interval.partner, interval.from.as_secs())).or_default() += 1.0;
    }
    arriving
}

/// The limit in force in a second. Of a limit that changes within the second it is the lower one, as no gateway can
/// have known of the change.
fn lowest_limit(record: &LoadRecord, partner: usize, second: u32) -> Option<f64> {
    let limits = &record.partners[partner];
    let first = limits.limit_at(SECOND * second)?;
    let last = limits.limit_at(SECOND * (second + 1) - Duration::from_nanos(1))?;
    Some(first.min(last))
}
