//! Sockets: creating, connecting, accepting, options, sending and receiving.

use crate::control::{fault, perform, transfer};
use crate::real::real;
use cloverstile_fault_injection::Call;
use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    type Type = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
    let real = real!(c"socket" as Type);
    perform(fault(Call::Socket), || real(domain, kind, protocol) as isize) as c_int
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    type Type = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    let real = real!(c"connect" as Type);
    perform(fault(Call::Connect), || real(socket, address, length) as isize) as c_int
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Type = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    let real = real!(c"accept4" as Type);
    perform(fault(Call::Accept), || real(socket, address, length, flags) as isize) as c_int
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    socket: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    type Type = unsafe extern "C" fn(c_int, c_int, c_int, *const c_void, socklen_t) -> c_int;
    let real = real!(c"setsockopt" as Type);
    perform(fault(Call::SocketOption), || real(socket, level, name, value, length) as isize) as c_int
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    type Type = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    let real = real!(c"send" as Type);
    transfer(fault(Call::Send), length, |length| real(socket, bytes, length, flags))
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    type Type = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    let real = real!(c"recv" as Type);
    transfer(fault(Call::Receive), length, |length| real(socket, bytes, length, flags))
}
