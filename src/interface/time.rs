//! Time on a clock that the caller supplies.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on the caller's monotonic clock, in nanoseconds since an arbitrary fixed start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time(0);
}

impl Add<Duration> for Time {
    type Output = Time;
    /// Saturates at the largest `Time`.
    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)))
    }
}

impl Sub for Time {
    type Output = Duration;
    /// Time since `earlier`, or zero if `earlier` is later than `self`.
    fn sub(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;
    /// Saturates at zero.
    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)))
    }
}
