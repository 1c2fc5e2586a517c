//! What one gateway instance knows of the whole fleet.

use cloverstile::{Rules, Settings, Time};
use std::time::Duration;

/// Multiples of the golden ratio's fraction lie evenly between 0 and 1, however many there are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// An outage shorter than this part of [`Rules::overload_window`] leaves no tier cold, as in the delivery policy.
const TRANSIENT_OUTAGE_RATIO: f64 = 0.6;

/// What one gateway instance knows of the whole fleet, and how recovering tiers warm up.
#[derive(Clone, Debug)]
pub struct FleetParameters {
    /// Number of gateway instances, this one included.
    pub instance_count: u32,
    /// This instance's index among them, from 0.
    pub instance_index: u32,
    /// Reading, at this instance's [`Time::ZERO`], of the clock that all instances share; time slots are counted on it.
    pub clock_at_time_zero: Duration,
    /// Share of its capacity, from 0 to 1, that a tier has when it starts to recover.
    pub warm_up_capacity: f64,
    /// Time from the first response of a recovering tier until it has its whole capacity.
    pub warm_up_time: Duration,
    /// A tier that was without a response for no longer than this has not cooled down.
    pub max_transient_outage: Duration,
}

impl Default for FleetParameters {
    fn default() -> Self {
        FleetParameters::for_rules(&Settings::default().rules)
    }
}

impl FleetParameters {
    /// The parameters of a single instance under these rules.
    pub fn for_rules(rules: &Rules) -> FleetParameters {
        FleetParameters {
            instance_count: 1,
            instance_index: 0,
            clock_at_time_zero: Duration::ZERO,
            warm_up_capacity: rules.warm_up_capacity,
            warm_up_time: rules.warm_up_time,
            max_transient_outage: rules.overload_window.mul_f64(TRANSIENT_OUTAGE_RATIO),
        }
    }

    /// A number from 0 to 1 that is spread evenly over the instances, and differs for different `salt`.
    pub(crate) fn phase(&self, salt: u64) -> f64 {
        (f64::from(self.instance_index + 1) * GOLDEN_RATIO + salt as f64 * GOLDEN_RATIO * GOLDEN_RATIO)
            .fract()
    }

    /// Share of its capacity that a tier has at `now` if it first responded at `since`; that of a cold one if it has not
    /// responded yet.
    pub(crate) fn capacity_share(&self, now: Time, since: Option<Time>) -> f64 {
        let elapsed =
            since.map_or(0.0, |at| (now - at).as_secs_f64() / self.warm_up_time.as_secs_f64().max(0.001));
        (self.warm_up_capacity + (1.0 - self.warm_up_capacity) * elapsed).clamp(0.0, 1.0)
    }
}
