//! Limit on the number of log lines of one kind.

use cloverstile::Time;
use std::time::Duration;

/// Number of lines that may be written in each period.
const MAX_LINES_PER_PERIOD: u32 = 50;
/// Length of a period.
const PERIOD: Duration = Duration::from_secs(10);

/// Counts events of one kind and tells which of them get a line in the log.
#[derive(Default)]
pub struct LogLimit {
    total: u64,
    suppressed: u64,
    period_started_at: Option<Time>,
    lines_in_period: u32,
}

impl LogLimit {
    /// Counts an event that gets no line in any case.
    pub fn count(&mut self) {
        self.total += 1;
    }

    /// Counts an event at `now`; returns whether it gets a line.
    pub fn allows_line(&mut self, now: Time) -> bool {
        self.count();
        if self.period_started_at.is_none_or(|started_at| now >= started_at + PERIOD) {
            self.period_started_at = Some(now);
            self.lines_in_period = 0;
        }
        let is_allowed = self.lines_in_period < MAX_LINES_PER_PERIOD;
        if is_allowed {
            self.lines_in_period += 1;
        } else {
            self.suppressed += 1;
        }
        is_allowed
    }

    /// Number of events since the start of the process.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Number of events that got no line.
    pub fn suppressed(&self) -> u64 {
        self.suppressed
    }
}

#[cfg(test)]
mod tests;
