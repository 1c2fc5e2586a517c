//! The mapped control file: which fault a call meets.

use cloverstile_fault_injection::{rule_offset, Call, CONTROL_BYTES, CONTROL_VARIABLE, MAX_RULES};
use std::ffi::CString;
use std::ptr;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;

/// What a call meets.
#[derive(Clone, Copy)]
pub enum Fault {
    None,
    Error(i32),
    Short(usize),
    Torn { bytes: usize, errno: i32 },
    Delay(u64),
    Kill { bytes: usize },
}

struct Control(*const u8);
// SAFETY: the mapping lives as long as the process and is read and changed by atomic operations alone.
unsafe impl Send for Control {}
// SAFETY: as above.
unsafe impl Sync for Control {}

fn control() -> Option<&'static Control> {
    static CONTROL: OnceLock<Option<Control>> = OnceLock::new();
    CONTROL.get_or_init(map).as_ref()
}

fn map() -> Option<Control> {
    let name = CString::new(CONTROL_VARIABLE).ok()?;
    // SAFETY: plain calls of the C library with valid strings; the mapping is checked and never unmapped.
    unsafe {
        let path = libc::getenv(name.as_ptr());
        if path.is_null() {
            return None;
        }
        let descriptor = libc::syscall(libc::SYS_open, path, libc::O_RDWR | libc::O_CLOEXEC) as i32;
        if descriptor < 0 {
            return None;
        }
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        let mapped = libc::mmap(ptr::null_mut(), CONTROL_BYTES, protection, libc::MAP_SHARED, descriptor, 0);
        libc::close(descriptor);
        (mapped != libc::MAP_FAILED).then_some(Control(mapped.cast()))
    }
}

impl Control {
    fn word(&self, offset: usize) -> &AtomicU64 {
        // SAFETY: all offsets used are inside the mapping and multiples of eight; both sides use whole words.
        unsafe { &*self.0.add(offset).cast::<AtomicU64>() }
    }

    fn fault(&self, call: Call) -> Fault {
        for rule in 0..MAX_RULES {
            let word = |index: usize| self.word(rule_offset(rule) + index * 8);
            if word(0).load(Ordering::Acquire) != call as u64 || !take(word(5), word(6)) {
                continue;
            }
            word(7).fetch_add(1, Ordering::Relaxed);
            let [kind, errno, bytes, delay] = [1, 2, 3, 4].map(|index| word(index).load(Ordering::Relaxed));
            let (errno, bytes) = (errno as i32, bytes as usize);
            return match kind {
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

/// Counts a call of a rule; whether it is affected.
fn take(skip: &AtomicU64, left: &AtomicU64) -> bool {
    let decrement = |value: u64| value.checked_sub(1);
    if skip.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok() {
        return false;
    }
    let decrement_finite = |value: u64| if value == u64::MAX { Some(value) } else { value.checked_sub(1) };
    left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement_finite).is_ok()
}

/// Whether this process has a control file at all.
pub fn is_controlled() -> bool {
    control().is_some()
}

/// The fault that a call meets now.
pub fn fault(call: Call) -> Fault {
    control().map_or(Fault::None, |control| control.fault(call))
}

/// How far the wall clock is ahead of the machine's, in nanoseconds.
pub fn wall_clock_offset() -> i64 {
    control().map_or(0, |control| {
        let word = control.word(cloverstile_fault_injection::WALL_CLOCK_OFFSET);
        // SAFETY: a word of 64 bits, read as signed.
        unsafe { &*ptr::from_ref(word).cast::<AtomicI64>() }.load(Ordering::Relaxed)
    })
}

/// Fails a call.
pub fn fail(errno: i32) -> isize {
    // SAFETY: the thread's own error number.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Waits, without a function that is replaced.
pub fn pause(nanoseconds: u64) {
    let time = libc::timespec {
        tv_sec: (nanoseconds / 1_000_000_000) as i64,
        tv_nsec: (nanoseconds % 1_000_000_000) as i64,
    };
    // SAFETY: a valid time, and no remainder wanted.
    unsafe { libc::nanosleep(&raw const time, ptr::null_mut()) };
}

/// Kills the process, as the platform does.
pub fn kill() -> ! {
    // SAFETY: the process's own id.
    unsafe {
        libc::kill(libc::getpid(), libc::SIGKILL);
        loop {
            libc::pause();
        }
    }
}

/// Does a call that moves `length` bytes by way of `real`, as its fault says.
pub fn transfer(fault: Fault, length: usize, real: impl Fn(usize) -> isize) -> isize {
    match fault {
        Fault::None => real(length),
        Fault::Error(errno) => fail(errno),
        Fault::Short(bytes) => real(length.min(bytes.max(1))),
        Fault::Torn { bytes, errno } => {
            if bytes > 0 {
                real(length.min(bytes));
            }
            fail(errno)
        }
        Fault::Delay(nanoseconds) => {
            pause(nanoseconds);
            real(length)
        }
        Fault::Kill { bytes } => {
            if bytes > 0 {
                real(length.min(bytes));
            }
            kill()
        }
    }
}

/// Does a call that moves no bytes by way of `real`, as its fault says.
pub fn perform(fault: Fault, real: impl Fn() -> isize) -> isize {
    match fault {
        Fault::Error(errno) | Fault::Torn { errno, .. } => fail(errno),
        other => transfer(other, usize::MAX, |_| real()),
    }
}
