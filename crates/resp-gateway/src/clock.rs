//! The gateway's clock, which runs on from one process to the next.
//!
//! All times of the gateway, in memory and in its log, are on one time line. The first process of a boot begins it at the
//! wall clock; the machine's monotonic clock carries it on from there, within a process and, by a [`ClockReference`] in
//! the log, to the next one. A step of the wall clock, at whatever moment, moves nothing on it. Only after a reboot, when
//! the monotonic clock has begun anew, does the wall clock have to tell how much time has passed.

use cloverstile::Time;
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_wal::{BootId, ClockReference};
use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Linux's identification of the boot: 32 hexadecimal digits with hyphens.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
const HEXADECIMAL: u32 = 16;

/// Time that never goes backwards and passes as real time does.
pub struct Clock {
    started: Instant,
    /// Since the Unix epoch, as far as the first process of the boot knew.
    time_at_start: Duration,
    monotonic_at_start: Duration,
    boot: Option<BootId>,
}

impl Clock {
    /// A clock that begins at the wall clock.
    pub fn new() -> Self {
        Clock {
            started: Instant::now(),
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
        Time::ZERO + (self.time_at_start + self.started.elapsed())
    }

    /// Goes on with an earlier process's time, where that belongs to the same boot; whether it does.
    pub fn resume(&mut self, reference: &ClockReference) -> bool {
        let then = Duration::from_nanos(reference.monotonic);
        let is_same_boot = self.boot == Some(reference.boot) && then <= self.monotonic_at_start;
        if is_same_boot {
            self.time_at_start = Duration::from_nanos(reference.unix_time) + (self.monotonic_at_start - then);
        }
        is_same_boot
    }

    /// How far the wall clock is ahead of this clock, in milliseconds: the steps that it took since the boot's first process.
    pub fn wall_clock_ahead_ms(&self) -> i128 {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let own = (self.time_at_start + self.started.elapsed()).as_millis();
        i128::try_from(wall).unwrap_or_default() - i128::try_from(own).unwrap_or_default()
    }

    /// What a later process needs to go on with this clock; none where the system does not identify its boot.
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

/// The machine's monotonic clock, the same one for all processes.
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
        .map(|character| character.to_digit(HEXADECIMAL).and_then(|digit| u8::try_from(digit).ok()))
        .collect::<Option<_>>()?;
    let bytes: Vec<u8> = digits.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1]).collect();
    bytes.try_into().ok().map(BootId)
}

#[cfg(test)]
mod tests;
