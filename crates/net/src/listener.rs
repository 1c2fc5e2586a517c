//! One listening socket.

use calloop::RegistrationToken;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// How long a listener is paused that found no free descriptor: one may become free elsewhere in the process.
pub const LISTENER_PAUSE: Duration = Duration::from_millis(50);
/// Connections that the system queues until they are accepted.
const BACKLOG: i32 = 4096;

/// A listening socket that the event loop watches.
pub struct Listener {
    /// The socket, shared with its event source.
    pub socket: Rc<TcpListener>,
    /// Its registration in the event loop.
    pub token: RegistrationToken,
    /// Out of descriptors: not watched until one may be free.
    pub paused: bool,
    /// Its connections stay open for writing when their peers end their sending.
    pub allow_half_open: bool,
    /// It ends once the connections that the system has taken are accepted.
    pub closing: bool,
}

/// Binds a non-blocking listening socket.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    // Not the standard library's: its queue of 128 overflows when thousands connect at once.
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let listener: TcpListener = socket.into();
    listener.set_nonblocking(true)?;
    Ok(listener)
}
