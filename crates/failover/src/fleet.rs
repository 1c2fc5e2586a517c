//! Parameters of the fleet of gateway instances, as one instance knows them.

use cloverstile::{Rules, Settings, Time};
use std::time::Duration;

/// The fractional parts of its multiples are spread evenly between 0 and 1, whatever their number.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_894_9;

/// A tier does not cool down in an outage shorter than this fraction of [`Rules::overload_window`]. The delivery policy
/// uses the same fraction.
const TRANSIENT_OUTAGE_RATIO: f64 = 0.6;

/// The size of the fleet, the position of one gateway instance in it, and how recovering tiers warm up.
#[derive(Clone, Debug)]
pub struct FleetParameters {
    /// Number of gateway instances, this one included.
    pub instance_count: u32,
    /// Index of this instance, from 0 to `instance_count - 1`. Instances with the same index use the same time slots.
    pub instance_index: u32,
    /// Reading, at this instance's [`Time::ZERO`], of the clock that all instances share; time slots are counted on it.
    pub clock_at_time_zero: Duration,
    /// Share of its capacity, from 0 to 1, that a cold tier can serve when it starts to recover.
    pub warm_up_capacity: f64,
    /// Time from the first response of a recovering tier until it can serve its full capacity.
    pub warm_up_time: Duration,
    /// A tier that sent no response for at most this time is still warm.
    pub max_transient_outage: Duration,
}

impl Default for FleetParameters {
    fn default() -> Self {
        FleetParameters::for_rules(&Settings::default().rules)
    }
}

impl FleetParameters {
    /// The parameters of a fleet of one instance under `rules`.
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

    /// A number from 0 to 1 that is distributed evenly over the instances; another `salt` shifts it.
    pub(crate) fn phase(&self, salt: u64) -> f64 {
        (f64::from(self.instance_index + 1) * GOLDEN_RATIO_CONJUGATE
            + salt as f64 * GOLDEN_RATIO_CONJUGATE * GOLDEN_RATIO_CONJUGATE)
            .fract()
    }

    /// Share of its capacity that a tier can serve at `now` if it has been warming up since `since`; that of a cold
    /// tier if `since` is `None`.
    pub(crate) fn capacity_share(&self, now: Time, since: Option<Time>) -> f64 {
        let elapsed =
            since.map_or(0.0, |at| (now - at).as_secs_f64() / self.warm_up_time.as_secs_f64().max(0.001));
        (self.warm_up_capacity + (1.0 - self.warm_up_capacity) * elapsed).clamp(0.0, 1.0)
    }
}
