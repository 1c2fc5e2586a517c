//! Utilization of shared rate limits while messages wait.

use crate::record::{LoadRecord, Outcome};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Utilization of shared rate limits in the seconds at whose start messages waited for a partner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LimitUse {
    /// Calls served in those seconds.
    pub served: f64,
    /// Calls that could have been served: the limit or the number of messages to send, whichever is lower.
    pub possible: f64,
}

impl LimitUse {
    /// Served over possible calls, from 0 to 1; 1 if no message waited.
    pub fn share(&self) -> f64 {
        if self.possible > 0.0 {
            self.served / self.possible
        } else {
            1.0
        }
    }
}

/// Counts by partner index and second since the beginning of the run.
type CountsBySecond = BTreeMap<(usize, u64), f64>;

/// Utilization of each partner's limit, by partner index and second. Only seconds at whose start messages waited, at
/// partners with a limit, are included.
pub fn limit_use(record: &LoadRecord) -> BTreeMap<(usize, u64), LimitUse> {
    let served = served_by_second(record);
    let (waiting, starting_to_wait) = (waiting_at_second_start(record), starting_to_wait_by_second(record));
    let mut use_by_second = BTreeMap::new();
    for ((partner, second), waiting) in waiting {
        let key = (partner, second);
        let Some(limit) = lowest_limit(record, partner, second as u32) else { continue };
        let to_send = waiting + starting_to_wait.get(&key).copied().unwrap_or(0.0);
        let served = served.get(&key).copied().unwrap_or(0.0);
        let possible = limit.min(to_send).max(1e-9);
        use_by_second.insert(key, LimitUse { served: served.min(possible), possible });
    }
    use_by_second
}

fn served_by_second(record: &LoadRecord) -> CountsBySecond {
    let mut served = CountsBySecond::new();
    for call in record.calls.iter().filter(|call| call.outcome == Outcome::Served) {
        *served.entry((record.endpoints[call.endpoint].partner, call.at.as_secs())).or_default() += 1.0;
    }
    served
}

/// Messages that wait at the start of each second. An interval that starts within a second counts from the next one.
fn waiting_at_second_start(record: &LoadRecord) -> CountsBySecond {
    let mut waiting = CountsBySecond::new();
    for interval in record.waiting_intervals.iter().filter(|interval| interval.until > interval.from) {
        for second in interval.from.as_secs() + 1..=interval.until.as_secs() {
            *waiting.entry((interval.partner, second)).or_default() += 1.0;
        }
    }
    waiting
}

/// Messages that start to wait within each second.
fn starting_to_wait_by_second(record: &LoadRecord) -> CountsBySecond {
    let mut starting_to_wait = CountsBySecond::new();
    for interval in record.waiting_intervals.iter().filter(|interval| interval.until > interval.from) {
        *starting_to_wait.entry((interval.partner, interval.from.as_secs())).or_default() += 1.0;
    }
    starting_to_wait
}

/// The limit in force in a second; `None` if there is none at its start or its end. If the limit changes within the
/// second, the lower of the first and the last value counts, as no gateway can know of the change in advance.
fn lowest_limit(record: &LoadRecord, partner: usize, second: u32) -> Option<f64> {
    let partner = &record.partners[partner];
    let first = partner.limit_at(SECOND * second)?;
    let last = partner.limit_at(SECOND * (second + 1) - Duration::from_nanos(1))?;
    Some(first.min(last))
}
