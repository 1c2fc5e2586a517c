//! HTTP servers of a fake platform, one thread for each connection.

use super::state::Shared;
use cloverstile_http::{DecodedItem, Decoder, Limits, Message};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// How often a server that accepts no connection looks whether it may.
const CLOSED_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes read from a connection at once.
const READ_BUFFER: usize = 4096;

/// Whether a connection goes on after a response.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    KeepOpen,
    Close,
}

/// Serves HTTP on a loopback port of its own; returns its address. No connection is accepted while `is_closed`.
pub(super) fn listen(
    shared: &Arc<Shared>,
    backlog: i32,
    is_closed: impl Fn(&Shared) -> bool + Send + 'static,
    serve: impl Fn(&Shared, Message, &mut TcpStream) -> io::Result<Next> + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
    socket.listen(backlog)?;
    let listener = TcpListener::from(socket);
    let address = listener.local_addr()?;
    let shared = shared.clone();
    std::thread::spawn(move || {
        let mut was_closed = false;
        loop {
            if is_closed(&shared) && !shared.is_stopped() {
                std::thread::sleep(CLOSED_POLL_INTERVAL);
                was_closed = true;
                continue;
            }
            if std::mem::take(&mut was_closed) {
                let _ = reset_queued(&listener);
            }
            let stream = listener.accept();
            if shared.is_stopped() {
                return;
            }
            let Ok((mut stream, _)) = stream else { continue };
            let (shared, serve) = (shared.clone(), serve.clone());
            std::thread::spawn(move || {
                // A failure of the connection is the gateway's to notice.
                let _ = serve_connection(&shared, &mut stream, serve);
            });
        }
    });
    Ok(address)
}

/// Resets the connections that came up while none was accepted: what was sent on them is not executed.
fn reset_queued(listener: &TcpListener) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    while let Ok((stream, _)) = listener.accept() {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    listener.set_nonblocking(false)
}

fn serve_connection(
    shared: &Shared,
    stream: &mut TcpStream,
    serve: impl Fn(&Shared, Message, &mut TcpStream) -> io::Result<Next>,
) -> io::Result<()> {
    let mut decoder = Decoder::server(Limits::default());
    let mut buffer = [0; READ_BUFFER];
    loop {
        while let Ok(Some(item)) = decoder.next(shared.now()) {
            if let DecodedItem::Message(message) = item {
                if serve(shared, message, stream)? == Next::Close {
                    return Ok(());
                }
            }
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 || shared.is_stopped() {
            return Ok(());
        }
        decoder.feed(shared.now(), &buffer[..count]);
    }
}
