//! Replacements of socket functions, for all sockets of the process.

use crate::control::{call_original, call_with_length, next_fault};
use crate::real::original;
use cloverstile_fault_injection::Call;
use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};

/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    type Signature = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
    let original = original!(c"socket" as Signature);
    call_original(next_fault(Call::Socket), || original(domain, kind, protocol) as isize) as c_int
}

/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    type Signature = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    let original = original!(c"connect" as Signature);
    call_original(next_fault(Call::Connect), || original(socket, address, length) as isize) as c_int
}

/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Signature = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    let original = original!(c"accept4" as Signature);
    call_original(next_fault(Call::Accept), || original(socket, address, length, flags) as isize) as c_int
}

/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    socket: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    type Signature = unsafe extern "C" fn(c_int, c_int, c_int, *const c_void, socklen_t) -> c_int;
    let original = original!(c"setsockopt" as Signature);
    call_original(next_fault(Call::SocketOption), || original(socket, level, name, value, length) as isize)
        as c_int
}

/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    type Signature = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    let original = original!(c"send" as Signature);
    call_with_length(next_fault(Call::Send), length, |length| original(socket, bytes, length, flags))
}

/// # Safety
/// The same as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    type Signature = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    let original = original!(c"recv" as Signature);
    call_with_length(next_fault(Call::Receive), length, |length| original(socket, bytes, length, flags))
}
