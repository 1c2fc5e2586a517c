//! Files: writing, reading, opening, renaming, removing and cutting. Only files under the folder that the gateway keeps its
//! state in are affected, by the path that a descriptor or a name leads to.

use crate::control::{fault, is_controlled, perform, transfer, Fault};
use crate::real::real;
use cloverstile_fault_injection::Call;
use libc::{c_char, c_int, c_void, mode_t, off64_t, size_t, ssize_t};
use std::ffi::CStr;

/// Folder whose files are affected.
const FOLDER_VARIABLE: &CStr = c"ROUTER_STATE";
const MAX_PATH: usize = 4096;

/// Whether a path lies under the folder.
unsafe fn is_state_path(path: *const c_char) -> bool {
    let folder = libc::getenv(FOLDER_VARIABLE.as_ptr());
    if folder.is_null() || path.is_null() {
        return false;
    }
    CStr::from_ptr(path).to_bytes().starts_with(CStr::from_ptr(folder).to_bytes())
}

/// Whether a descriptor is that of a file under the folder.
unsafe fn is_state_file(descriptor: c_int) -> bool {
    let link = format!("/proc/self/fd/{descriptor}\0");
    let mut path = [0 as c_char; MAX_PATH];
    let length = libc::readlink(link.as_ptr().cast(), path.as_mut_ptr(), MAX_PATH - 1);
    length > 0 && is_state_path(path.as_ptr())
}

unsafe fn file_fault(call: Call, descriptor: c_int) -> Fault {
    if is_controlled() && is_state_file(descriptor) {
        fault(call)
    } else {
        Fault::None
    }
}

unsafe fn path_fault(call: Call, path: *const c_char) -> Fault {
    if is_controlled() && is_state_path(path) {
        fault(call)
    } else {
        Fault::None
    }
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    type Type = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    let real = real!(c"write" as Type);
    transfer(file_fault(Call::FileWrite, descriptor), length, |length| real(descriptor, bytes, length))
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    type Type = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;
    let real = real!(c"read" as Type);
    transfer(file_fault(Call::FileRead, descriptor), length, |length| real(descriptor, bytes, length))
}

/// # Safety
/// As the C library's; `mode` is read where the call creates a file.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    type Type = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;
    let real = real!(c"open64" as Type);
    perform(path_fault(Call::FileOpen, path), || real(path, flags, mode) as isize) as c_int
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    type Type = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
    let real = real!(c"rename" as Type);
    let fault = path_fault(Call::FileRename, to);
    // A torn rename is done and reported as failed.
    if let Fault::Torn { bytes: 1.., .. } = fault {
        real(from, to);
    }
    perform(fault, || real(from, to) as isize) as c_int
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    type Type = unsafe extern "C" fn(*const c_char) -> c_int;
    let real = real!(c"unlink" as Type);
    perform(path_fault(Call::FileRemove, path), || real(path) as isize) as c_int
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn ftruncate64(descriptor: c_int, length: off64_t) -> c_int {
    type Type = unsafe extern "C" fn(c_int, off64_t) -> c_int;
    let real = real!(c"ftruncate64" as Type);
    perform(file_fault(Call::FileTruncate, descriptor), || real(descriptor, length) as isize) as c_int
}
