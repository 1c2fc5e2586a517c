//! Replacements of file functions. They affect only files in the gateway's state directory, which they recognize by
//! the path that is passed, or by the current path of the file behind a descriptor.

use crate::control::{call_original, call_with_length, has_control_file, next_fault, Fault};
use crate::real::original;
use cloverstile_fault_injection::Call;
use libc::{c_char, c_int, c_void, mode_t, off64_t, size_t, ssize_t};
use std::ffi::CStr;

/// Environment variable that holds the path of the state directory.
const STATE_DIRECTORY_VARIABLE: &CStr = c"ROUTER_STATE";
/// Size of the buffer for a path, in bytes (`PATH_MAX` of Linux).
const MAX_PATH: usize = 4096;

/// Whether a path starts with the path of the state directory.
unsafe fn is_state_path(path: *const c_char) -> bool {
    let directory = libc::getenv(STATE_DIRECTORY_VARIABLE.as_ptr());
    if directory.is_null() || path.is_null() {
        return false;
    }
    CStr::from_ptr(path).to_bytes().starts_with(CStr::from_ptr(directory).to_bytes())
}

/// Whether a descriptor refers to a file in the state directory.
unsafe fn is_state_file(descriptor: c_int) -> bool {
    let link = format!("/proc/self/fd/{descriptor}\0");
    let mut path = [0 as c_char; MAX_PATH];
    let length = libc::readlink(link.as_ptr().cast(), path.as_mut_ptr(), MAX_PATH - 1);
    length > 0 && is_state_path(path.as_ptr())
}

unsafe fn file_fault(call: Call, descriptor: c_int) -> Fault {
    if has_control_file() && is_state_file(descriptor) {
        next_fault(call)
    } else {
        Fault::None
    }
}

unsafe fn path_fault(call: Call, path: *const c_char) -> Fault {
    if has_control_file() && is_state_path(path) {
        next_fault(call)
    } else {
        Fault::None
    }
}

/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    type Signature = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    let original = original!(c"write" as Signature);
    call_with_length(file_fault(Call::FileWrite, descriptor), length, |length| {
        original(descriptor, bytes, length)
    })
}

/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    type Signature = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;
    let original = original!(c"read" as Signature);
    call_with_length(file_fault(Call::FileRead, descriptor), length, |length| {
        original(descriptor, bytes, length)
    })
}

/// # Safety
/// The same as for the C library's function; `mode` is used only if the call creates a file.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    type Signature = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;
    let original = original!(c"open64" as Signature);
    call_original(path_fault(Call::FileOpen, path), || original(path, flags, mode) as isize) as c_int
}

/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    type Signature = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
    let original = original!(c"rename" as Signature);
    let fault = path_fault(Call::FileRename, to);
    // Torn with at least one byte: the rename is done and reported as failed.
    if let Fault::Torn { bytes: 1.., .. } = fault {
        original(from, to);
    }
    call_original(fault, || original(from, to) as isize) as c_int
}

/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    type Signature = unsafe extern "C" fn(*const c_char) -> c_int;
    let original = original!(c"unlink" as Signature);
    call_original(path_fault(Call::FileRemove, path), || original(path) as isize) as c_int
}

/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn ftruncate64(descriptor: c_int, length: off64_t) -> c_int {
    type Signature = unsafe extern "C" fn(c_int, off64_t) -> c_int;
    let original = original!(c"ftruncate64" as Signature);
    call_original(file_fault(Call::FileTruncate, descriptor), || original(descriptor, length) as isize)
        as c_int
}
