//! HTTP servers of a fake platform, with one thread for each connection.

use super::state::Shared;
use cloverstile_http::{DecodedItem, Decoder, Limits, Message};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// How often a server that does not accept connections checks whether it may accept them again.
const CLOSED_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Most bytes that one read takes from a connection.
const READ_BUFFER: usize = 4096;

/// Whether a connection stays open after a request has been served.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum AfterResponse {
    KeepOpen,
    Close,
}

/// Serves HTTP on a free loopback port; returns its address. No connection is accepted while `is_closed` returns true;
/// `on_accepted` is called for each that is.
pub(super) fn listen(
    shared: &Arc<Shared>,
    backlog: i32,
    is_closed: impl Fn(&Shared) -> bool + Send + 'static,
    on_accepted: impl Fn(&Shared) + Send + 'static,
    serve: impl Fn(&Arc<Shared>, Message, &mut TcpStream) -> io::Result<AfterResponse> + Clone + Send + 'static,
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
            on_accepted(&shared);
            let (shared, serve) = (shared.clone(), serve.clone());
            std::thread::spawn(move || {
                // The gateway sees the failure of a connection by itself.
                let _ = serve_connection(&shared, &mut stream, serve);
            });
        }
    });
    Ok(address)
}

/// Resets the connections that were established while none was accepted. Requests sent on them are not executed.
fn reset_queued(listener: &TcpListener) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    while let Ok((stream, _)) = listener.accept() {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    listener.set_nonblocking(false)
}

fn serve_connection(
    shared: &Arc<Shared>,
    stream: &mut TcpStream,
    serve: impl Fn(&Arc<Shared>, Message, &mut TcpStream) -> io::Result<AfterResponse>,
) -> io::Result<()> {
    let mut decoder = Decoder::server(Limits::default());
    let mut buffer = [0; READ_BUFFER];
    loop {
        while let Ok(Some(item)) = decoder.next(shared.now()) {
            if let DecodedItem::Message(message) = item {
                if serve(shared, message, stream)? == AfterResponse::Close {
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
