//! Replacement of `clock_gettime`: offsets of the wall clock, and delays after reads of the monotonic clock.

use crate::control::{next_fault, sleep, wall_clock_offset, Fault};
use crate::real::original;
use cloverstile_fault_injection::Call;
use libc::{c_int, clockid_t, timespec};

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Signature = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    let original = original!(c"clock_gettime" as Signature);
    let result = original(clock, time);
    match clock {
        libc::CLOCK_REALTIME if result == 0 => add_wall_clock_offset(&mut *time),
        libc::CLOCK_MONOTONIC => {
            if let Fault::Delay(nanoseconds) = next_fault(Call::MonotonicClock) {
                sleep(nanoseconds);
            }
        }
        _ => {}
    }
    result
}

/// Adds the offset of the control file to a time of the wall clock.
fn add_wall_clock_offset(time: &mut timespec) {
    let total = i128::from(time.tv_sec) * i128::from(NANOSECONDS_PER_SECOND)
        + i128::from(time.tv_nsec)
        + i128::from(wall_clock_offset());
    time.tv_sec = (total / i128::from(NANOSECONDS_PER_SECOND)) as i64;
    time.tv_nsec = (total % i128::from(NANOSECONDS_PER_SECOND)) as i64;
}
