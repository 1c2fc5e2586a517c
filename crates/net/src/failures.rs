//! Classifies I/O errors: transient errors of this machine, and errors caused by the peer.

use std::io::{self, ErrorKind};

/// Linux error numbers that have no stable `std::io::ErrorKind`.
mod errno {
    pub const ENFILE: i32 = 23;
    pub const EMFILE: i32 = 24;
    pub const ENOBUFS: i32 = 105;
    pub const EINPROGRESS: i32 = 115;
}

/// Whether the system is out of a resource for the moment: file descriptors, memory or socket buffers.
pub fn is_resource_shortage(error: &io::Error) -> bool {
    error.kind() == ErrorKind::OutOfMemory
        || matches!(error.raw_os_error(), Some(errno::ENFILE | errno::EMFILE | errno::ENOBUFS))
}

/// Whether the error of a non-blocking connect means that the connect continues in the background.
pub fn is_in_progress(error: &io::Error) -> bool {
    error.raw_os_error() == Some(errno::EINPROGRESS) || error.kind() == ErrorKind::Interrupted
}

/// Whether a connect that failed at once was rejected by the peer or the network path to it. All other errors are local
/// and worth a retry: no free address or port, no route, or a resource shortage.
pub fn is_peer_connect_error(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::TimedOut
            | ErrorKind::HostUnreachable
    )
}

/// Whether a failed read or write leaves the connection intact and can be retried.
pub fn is_transient(error: &io::Error) -> bool {
    error.kind() == ErrorKind::WouldBlock || is_resource_shortage(error)
}
