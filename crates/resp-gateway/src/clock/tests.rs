//! Tests of the clock across processes.

use super::{parse_boot_id, Clock};
use cloverstile_wal::{BootId, ClockReference};
use std::time::Duration;

const BOOT: BootId = BootId([7; 16]);

/// The clock of a process that starts at these times of the monotonic clock and the wall clock.
fn clock(monotonic: Duration, wall: Duration) -> Clock {
    Clock { time_at_start: wall, monotonic_at_start: monotonic, boot: Some(BOOT), ..Clock::new() }
}

#[test]
fn clock_continues_across_processes_despite_wall_clock_steps() {
    let (second, hour) = (Duration::from_secs(1), Duration::from_secs(3600));
    let first = clock(second * 100, hour * 9);
    let reference = first.reference().unwrap();
    for wall in [hour * 8, hour * 9 + second, hour * 10] {
        let mut next = clock(second * 103, wall);
        assert!(next.resume(&reference));
        assert_eq!(next.time_at_start, hour * 9 + second * 3);
        // The third process continues the timeline of the second.
        let mut last = clock(second * 110, hour * 20);
        assert!(last.resume(&next.reference().unwrap()));
        assert_eq!(last.time_at_start, hour * 9 + second * 10);
    }
}

#[test]
fn clock_starts_at_the_wall_clock_after_a_reboot() {
    let (second, hour) = (Duration::from_secs(1), Duration::from_secs(3600));
    let reference = clock(second * 100, hour * 9).reference().unwrap();
    let mut rebooted = clock(second * 200, hour * 10);
    assert!(!rebooted.resume(&ClockReference { boot: BootId([8; 16]), ..reference }));
    // A monotonic clock below that of the reference means that the machine was rebooted.
    let mut earlier = clock(second * 50, hour * 10);
    assert!(!earlier.resume(&reference));
    assert_eq!((rebooted.time_at_start, earlier.time_at_start), (hour * 10, hour * 10));
}

#[test]
fn boot_id_is_parsed_and_invalid_text_is_rejected() {
    let text = "000102ff-0405-0607-0809-0a0b0c0d0e0f";
    let bytes = [0, 1, 2, 255, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15];
    assert_eq!(parse_boot_id(text), Some(BootId(bytes)));
    assert_eq!(parse_boot_id("000102ff"), None);
    assert_eq!(parse_boot_id("none"), None);
}
