//! A listening socket and how it is bound.

use calloop::RegistrationToken;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Longest wait of a poll while a listener is paused. A listener pauses when no file descriptor is free; one may become
/// free elsewhere in the process.
pub const LISTENER_PAUSE: Duration = Duration::from_millis(50);
/// Number of established connections that the kernel queues until they are accepted.
const LISTEN_BACKLOG: i32 = 4096;

/// A listening socket registered with the event loop.
pub struct Listener {
    /// The socket, shared with its event source.
    pub socket: Rc<TcpListener>,
    /// The registration token of the event source in the event loop.
    pub token: RegistrationToken,
    /// Accepting failed, for example for lack of file descriptors. The event loop does not watch the socket until the
    /// next poll resumes it.
    pub paused: bool,
    /// Whether accepted connections stay open for writing after the peer shuts down its write side.
    pub allow_half_open: bool,
    /// It is closed once the connections queued by the kernel are accepted.
    pub closing: bool,
}

/// Binds a non-blocking listening socket with `SO_REUSEADDR`.
///
/// # Errors
/// The system's, if the address is in use or not local, or no file descriptor is free.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    // Not `TcpListener::bind`: its backlog of 128 overflows when thousands of clients connect at once.
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    let listener: TcpListener = socket.into();
    listener.set_nonblocking(true)?;
    Ok(listener)
}
