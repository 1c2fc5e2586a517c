//! Time on the caller's clock.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A moment on the caller's clock, in nanoseconds since any fixed start. It never goes backwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time(0);
}

impl Add<Duration> for Time {
    type Output = Time;
    /// Saturates at the end of the clock.
    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}

impl Sub for Time {
    type Output = Duration;
    /// Time since `earlier`; zero if that is later.
    fn sub(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;
    /// Saturates at zero.
    fn sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)))
    }
}
