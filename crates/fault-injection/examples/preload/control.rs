//! The mapped control file: selects the fault of each call and applies it.

use cloverstile_fault_injection::{rule_offset, Call, CONTROL_BYTES, CONTROL_VARIABLE, MAX_RULES};
use std::ffi::CString;
use std::ptr;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;

/// The fault that applies to one call.
#[derive(Clone, Copy)]
pub enum Fault {
    None,
    /// Fails with this error number.
    Error(i32),
    /// Transfers at most this many bytes.
    Short(usize),
    /// Transfers at most this many bytes and fails all the same.
    Torn {
        bytes: usize,
        errno: i32,
    },
    /// Waits for this many nanoseconds.
    Delay(u64),
    /// Transfers at most this many bytes and kills the process.
    Kill {
        bytes: usize,
    },
}

/// Start of the mapped control file.
struct MappedControl(*const u8);
// SAFETY: the mapping exists as long as the process and is accessed only with atomic operations.
unsafe impl Send for MappedControl {}
// SAFETY: the same reason as for `Send`.
unsafe impl Sync for MappedControl {}

/// The control file, mapped at the first call; none if the process was started without one or it can't be mapped.
fn control() -> Option<&'static MappedControl> {
    static CONTROL: OnceLock<Option<MappedControl>> = OnceLock::new();
    CONTROL.get_or_init(map_control_file).as_ref()
}

fn map_control_file() -> Option<MappedControl> {
    let name = CString::new(CONTROL_VARIABLE).ok()?;
    // SAFETY: the strings that are passed to the C library are valid; the result of mmap is checked and never unmapped.
    unsafe {
        let path = libc::getenv(name.as_ptr());
        if path.is_null() {
            return None;
        }
        // Directly, because this library replaces the C library's function. Not every architecture has `SYS_open`.
        let flags = libc::O_RDWR | libc::O_CLOEXEC;
        let descriptor = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags) as i32;
        if descriptor < 0 {
            return None;
        }
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        let mapped = libc::mmap(ptr::null_mut(), CONTROL_BYTES, protection, libc::MAP_SHARED, descriptor, 0);
        libc::close(descriptor);
        (mapped != libc::MAP_FAILED).then_some(MappedControl(mapped.cast()))
    }
}

impl MappedControl {
    fn word(&self, offset: usize) -> &AtomicU64 {
        // SAFETY: all offsets in use are inside the mapping and multiples of eight; both processes access whole words.
        unsafe { &*self.0.add(offset).cast::<AtomicU64>() }
    }

    /// The fault of the first rule that applies to a call.
    fn next_fault(&self, call: Call) -> Fault {
        for slot in 0..MAX_RULES {
            let word = |index: usize| self.word(rule_offset(slot) + index * 8);
            if word(0).load(Ordering::Acquire) != call as u64 || !count_call(word(5), word(6)) {
                continue;
            }
            word(7).fetch_add(1, Ordering::Relaxed);
            let [effect, errno, bytes, delay] = [1, 2, 3, 4].map(|index| word(index).load(Ordering::Relaxed));
            let (errno, bytes) = (errno as i32, bytes as usize);
            return match effect {
                1 => Fault::Error(errno),
                2 => Fault::Short(bytes),
                3 => Fault::Torn { bytes, errno },
                4 => Fault::Delay(delay),
                5 => Fault::Kill { bytes },
                _ => Fault::None,
            };
        }
        Fault::None
    }
}

/// Counts a call that a rule is for; returns whether the rule affects it.
fn count_call(skip: &AtomicU64, left: &AtomicU64) -> bool {
    let decrement = |value: u64| value.checked_sub(1);
    if skip.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok() {
        return false;
    }
    let decrement_finite = |value: u64| if value == u64::MAX { Some(value) } else { value.checked_sub(1) };
    left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement_finite).is_ok()
}

/// Whether this process has a control file.
pub fn has_control_file() -> bool {
    control().is_some()
}

/// Selects the fault for a call that is about to be made, and counts the call for the rules.
pub fn next_fault(call: Call) -> Fault {
    control().map_or(Fault::None, |control| control.next_fault(call))
}

/// How far the process's wall clock is ahead of the system clock, in nanoseconds; negative if it is behind.
pub fn wall_clock_offset() -> i64 {
    control().map_or(0, |control| {
        let word = control.word(cloverstile_fault_injection::WALL_CLOCK_OFFSET);
        // SAFETY: AtomicU64 and AtomicI64 have the same size and alignment, and every bit pattern is valid for both.
        unsafe { &*ptr::from_ref(word).cast::<AtomicI64>() }.load(Ordering::Relaxed)
    })
}

/// Sets `errno` and returns the result of a failed call.
pub fn fail(errno: i32) -> isize {
    // SAFETY: the pointer to the calling thread's errno is always valid.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Sleeps without calling a function that this library replaces.
pub fn sleep(nanoseconds: u64) {
    let time = libc::timespec {
        tv_sec: (nanoseconds / 1_000_000_000) as i64,
        tv_nsec: (nanoseconds % 1_000_000_000) as i64,
    };
    // SAFETY: the time is valid, and a null pointer means that the remaining time is not returned.
    unsafe { libc::nanosleep(&raw const time, ptr::null_mut()) };
}

/// Kills the process with SIGKILL, as the platform does.
pub fn kill() -> ! {
    // SAFETY: the process sends the signal to itself, and `pause` has no preconditions.
    unsafe {
        libc::kill(libc::getpid(), libc::SIGKILL);
        loop {
            libc::pause();
        }
    }
}

/// Makes a call of the original function that transfers `length` bytes, changed as the fault says.
pub fn call_with_length(fault: Fault, length: usize, original: impl Fn(usize) -> isize) -> isize {
    match fault {
        Fault::None => original(length),
        Fault::Error(errno) => fail(errno),
        Fault::Short(bytes) => original(length.min(bytes.max(1))),
        Fault::Torn { bytes, errno } => {
            if bytes > 0 {
                original(length.min(bytes));
            }
            fail(errno)
        }
        Fault::Delay(nanoseconds) => {
            sleep(nanoseconds);
            original(length)
        }
        Fault::Kill { bytes } => {
            if bytes > 0 {
                original(length.min(bytes));
            }
            kill()
        }
    }
}

/// Makes a call of the original function that transfers no bytes, changed as the fault says.
pub fn call_original(fault: Fault, original: impl Fn() -> isize) -> isize {
    match fault {
        Fault::Error(errno) | Fault::Torn { errno, .. } => fail(errno),
        other => call_with_length(other, usize::MAX, |_| original()),
    }
}
