//! Clocks: steps of the wall clock, and hold-ups behind a reading of the monotonic one.

use crate::control::{fault, pause, wall_clock_offset, Fault};
use crate::real::real;
use cloverstile_fault_injection::Call;
use libc::{c_int, clockid_t, timespec};

const NANOSECONDS: i64 = 1_000_000_000;

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Type = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    let real = real!(c"clock_gettime" as Type);
    let result = real(clock, time);
    match clock {
        libc::CLOCK_REALTIME if result == 0 => step(&mut *time),
        libc::CLOCK_MONOTONIC => {
            if let Fault::Delay(nanoseconds) = fault(Call::MonotonicClock) {
                pause(nanoseconds);
            }
        }
        _ => {}
    }
    result
}

fn step(time: &mut timespec) {
    let total = i128::from(time.tv_sec) * i128::from(NANOSECONDS)
        + i128::from(time.tv_nsec)
        + i128::from(wall_clock_offset());
    time.tv_sec = (total / i128::from(NANOSECONDS)) as i64;
    time.tv_nsec = (total % i128::from(NANOSECONDS)) as i64;
}
