//! Which errors of system calls are this machine's, for a moment, and which say something of the peer.

use std::io::{self, ErrorKind};

/// Linux's error numbers without a stable name in `std::io::ErrorKind`.
mod errno {
    pub const ENFILE: i32 = 23;
    pub const EMFILE: i32 = 24;
    pub const ENOBUFS: i32 = 105;
    pub const EINPROGRESS: i32 = 115;
}

/// Whether the system has too little of something at present: descriptors, memory, buffers.
pub fn is_shortage(error: &io::Error) -> bool {
    error.kind() == ErrorKind::OutOfMemory
        || matches!(error.raw_os_error(), Some(errno::ENFILE | errno::EMFILE | errno::ENOBUFS))
}

/// Whether a non-blocking connect goes on by itself.
pub fn is_in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(errno::EINPROGRESS) || error.kind() == ErrorKind::Interrupted
}

/// Whether the failure of a connect that had just been started says something of the peer. All else is this machine's: no
/// address or port is free, no route is up, a shortage.
pub fn is_refused_by_peer(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::TimedOut
            | ErrorKind::HostUnreachable
    )
}

/// Whether a failed read or write leaves the connection as it was, to be tried again.
pub fn leaves_connection_open(error: &io::Error) -> bool {
    error.kind() == ErrorKind::WouldBlock || is_shortage(error)
}
