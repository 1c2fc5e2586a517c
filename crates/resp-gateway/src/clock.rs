//! The gateway's clock, which is continuous across restarts of the process.
//!
//! All times of the gateway, in memory and in its log, are on one timeline. The first process of a boot starts it at the
//! wall clock; from there it advances with the machine's monotonic clock, within a process and, through a
//! [`ClockReference`] in the log, across processes. Steps of the wall clock do not affect it. Only after a reboot, which
//! restarts the monotonic clock, is the elapsed time taken from the wall clock.

use cloverstile::Time;
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_wal::{BootId, ClockReference};
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// File in which Linux identifies the current boot: 32 hexadecimal digits with hyphens.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
const HEXADECIMAL_RADIX: u32 = 16;

/// A clock that never goes backwards and advances at the rate of real time.
pub struct Clock {
    start_instant: Instant,
    /// Time since the Unix epoch at the start of this process, by the wall clock of the first process of the boot.
    time_at_start: Duration,
    monotonic_at_start: Duration,
    boot: Option<BootId>,
}

impl Clock {
    /// A clock that starts at the current wall clock time.
    pub fn new() -> Self {
        Clock {
            start_instant: Instant::now(),
            time_at_start: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            monotonic_at_start: monotonic_time(),
            boot: boot_id(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        #[cfg(feature = "planted-defects")]
        if is_planted(PlantedDefect::WallClock) {
            return Time::ZERO + SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        }
        Time::ZERO + (self.time_at_start + self.start_instant.elapsed())
    }

    /// Continues the timeline of an earlier process if that process ran in the same boot. Returns whether it did.
    pub fn resume(&mut self, reference: &ClockReference) -> bool {
        let reference_monotonic = Duration::from_nanos(reference.monotonic);
        let is_same_boot =
            self.boot == Some(reference.boot) && reference_monotonic <= self.monotonic_at_start;
        if is_same_boot {
            self.time_at_start =
                Duration::from_nanos(reference.unix_time) + (self.monotonic_at_start - reference_monotonic);
        }
        is_same_boot
    }

    /// How far the wall clock is ahead of this clock, in milliseconds: the sum of its steps since the first process of the
    /// boot.
    pub fn wall_clock_ahead_ms(&self) -> i128 {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let own = (self.time_at_start + self.start_instant.elapsed()).as_millis();
        i128::try_from(wall).unwrap_or_default() - i128::try_from(own).unwrap_or_default()
    }

    /// The reference that a later process needs to continue this timeline; `None` if the system does not identify its boot.
    pub fn reference(&self) -> Option<ClockReference> {
        Some(ClockReference {
            unix_time: nanoseconds(self.time_at_start),
            monotonic: nanoseconds(self.monotonic_at_start),
            boot: self.boot?,
        })
    }
}

fn nanoseconds(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// The machine's monotonic clock, which all processes share.
fn monotonic_time() -> Duration {
    let time = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(nanoseconds)
}

fn boot_id() -> Option<BootId> {
    let text = std::fs::read_to_string(BOOT_ID_PATH).ok()?;
    parse_boot_id(text.trim())
}

fn parse_boot_id(text: &str) -> Option<BootId> {
    let digits: Vec<u8> = text
        .chars()
        .filter(|character| *character != '-')
        .map(|character| character.to_digit(HEXADECIMAL_RADIX).and_then(|digit| u8::try_from(digit).ok()))
        .collect::<Option<_>>()?;
    let bytes: Vec<u8> = digits.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1]).collect();
    bytes.try_into().ok().map(BootId)
}

#[cfg(test)]
mod tests;
