//! The gateway's clock.

use cloverstile::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never goes backwards: the system's wall clock is read once, a monotonic clock from there on.
pub struct Clock {
    started: Instant,
    unix_time_at_start: Duration,
}

impl Clock {
    /// Reads the wall clock.
    pub fn new() -> Self {
        let unix_time_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_time_at_start }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time::ZERO + (self.unix_time_at_start + self.started.elapsed())
    }
}
