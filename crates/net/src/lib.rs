//! Non-blocking TCP connections on calloop: the one place that touches sockets.
//!
//! [`Net`] turns readiness into [`NetEvent`]s and knows nothing of what the bytes mean. Each connection holds
//! at most what its owner has queued for writing; reading can be paused, which the peer feels as a full
//! receive window.
#![forbid(unsafe_code)]

use calloop::generic::Generic;
use calloop::ping::{make_ping, Ping};
use calloop::signals::{Signal, Signals};
use calloop::{Dispatcher, EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection, unique for the life of a [`Net`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// A listener, unique for the life of a [`Net`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub u64);

/// Something that happened.
#[derive(Debug)]
pub enum NetEvent {
    /// A peer connected.
    Accepted {
        /// At which listener.
        listener: ListenerId,
        /// The connection.
        conn: ConnId,
    },
    /// An outbound connection is there.
    Connected(ConnId),
    /// An outbound connection could not be made; it is gone.
    ConnectFailed(ConnId, ErrorKind),
    /// Bytes came.
    Bytes(ConnId, Vec<u8>),
    /// All that was queued has been handed to the system.
    Flushed(ConnId),
    /// The peer closed, or the connection broke; it is gone.
    Closed {
        /// Which.
        conn: ConnId,
        /// It ended in order, not by a reset.
        clean: bool,
    },
    /// A signal.
    Signal(Signal),
    /// A [`Waker`] was used.
    Woken,
}

pub use calloop::signals::Signal as SignalKind;

/// Wakes a [`Net`] from another thread.
#[derive(Clone)]
pub struct Waker(Ping);

impl Waker {
    /// Lets the current or next poll return.
    pub fn wake(&self) {
        self.0.ping();
    }
}

enum Ready {
    Listener(u64),
    Conn(u64, bool, bool),
    Signal(Signal),
    Woken,
}

type Shared = Vec<Ready>;
type StreamDispatcher = Dispatcher<'static, Generic<Rc<TcpStream>>, Shared>;

struct Conn {
    stream: Rc<TcpStream>,
    source: StreamDispatcher,
    token: RegistrationToken,
    connecting: bool,
    paused: bool,
    close_after: bool,
    /// Over for its owner: our side is closed, and what still comes is read and dropped, so many bytes at most.
    lingers: Option<usize>,
    out: Vec<u8>,
    written: usize,
}

struct Listening {
    listener: Rc<TcpListener>,
    token: RegistrationToken,
    /// Out of descriptors: not asked until one may be free.
    paused: bool,
}

/// All connections of one thread.
pub struct Net {
    event_loop: EventLoop<'static, Shared>,
    handle: LoopHandle<'static, Shared>,
    conns: HashMap<u64, Conn>,
    listeners: HashMap<u64, Listening>,
    /// Connections that linger, the oldest first, and until when.
    lingering: VecDeque<(Instant, u64)>,
    lingering_most: usize,
    /// Bytes read in this turn.
    taken: usize,
    waker: Waker,
    last: u64,
    /// Events of things done outside a poll.
    pending: Vec<NetEvent>,
}

/// How long a listener rests that found no descriptor: one may become free elsewhere than here.
const LISTENER_RESTS: Duration = Duration::from_millis(50);
/// How long a closed connection is still read from, how much of it, and how many such there may be unless told otherwise.
const LINGERS: Duration = Duration::from_millis(500);
const LINGER_MOST: usize = 256 << 10;
const LINGERING_MOST: usize = 32;
/// Bytes read from one connection in one turn: a fast peer must not keep the others waiting.
const READ_AT_ONCE: usize = 256 << 10;
/// Bytes read in one turn from all of them, and one connection's more. Guards against memory that many fast peers take
/// together: what is read stands in events until it is handled. The rest is read in the next turn.
const READ_IN_ALL: usize = 2 << 20;

fn other(error: impl std::fmt::Display) -> io::Error {
    io::Error::other(error.to_string())
}

impl Net {
    /// A loop without connections.
    pub fn new() -> io::Result<Net> {
        let event_loop: EventLoop<Shared> = EventLoop::try_new().map_err(other)?;
        let handle = event_loop.handle();
        let (ping, source) = make_ping()?;
        handle.insert_source(source, |(), (), ready: &mut Shared| ready.push(Ready::Woken)).map_err(other)?;
        Ok(Net {
            event_loop,
            handle,
            conns: HashMap::new(),
            listeners: HashMap::new(),
            lingering: VecDeque::new(),
            lingering_most: LINGERING_MOST,
            taken: 0,
            waker: Waker(ping),
            last: 0,
            pending: Vec::new(),
        })
    }

    /// For other threads.
    pub fn waker(&self) -> Waker {
        self.waker.clone()
    }

    /// Reports these signals as events from now on. Call before other threads are started.
    pub fn watch_signals(&mut self, signals: &[Signal]) -> io::Result<()> {
        let source = Signals::new(signals)?;
        let note = |event: calloop::signals::Event, _: &mut (), ready: &mut Shared| {
            ready.push(Ready::Signal(event.signal()));
        };
        self.handle.insert_source(source, note).map_err(other)?;
        Ok(())
    }

    fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Listens; port 0 draws a free one. Returns the address with its port.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(ListenerId, SocketAddr)> {
        // Not the standard library's: its queue of 128 overflows when thousands connect at once.
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(4096)?;
        let listener: TcpListener = socket.into();
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        let listener = Rc::new(listener);
        let id = self.next();
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let note = move |_, _: &mut _, ready: &mut Shared| {
            ready.push(Ready::Listener(id));
            Ok(PostAction::Continue)
        };
        let token = self.handle.insert_source(source, note).map_err(other)?;
        self.listeners.insert(id, Listening { listener, token, paused: false });
        Ok((ListenerId(id), bound))
    }

    /// Stops listening: further connections are refused. Those that the system took for us are accepted first: they
    /// would be reset with the listener.
    pub fn stop_listening(&mut self, id: ListenerId) {
        self.accept(id.0);
        if let Some(listening) = self.listeners.remove(&id.0) {
            self.handle.remove(listening.token);
        }
    }

    /// Begins a connection. What became of it comes as an event, never at once.
    pub fn connect(&mut self, address: SocketAddr) -> ConnId {
        let id = self.next();
        let begun = begin_connect(address).and_then(|stream| self.register(id, stream, true));
        if let Err(error) = begun {
            self.pending.push(NetEvent::ConnectFailed(ConnId(id), error.kind()));
        }
        ConnId(id)
    }

    fn register(&mut self, id: u64, stream: TcpStream, connecting: bool) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let interest = if connecting { Interest::WRITE } else { Interest::READ };
        let note = move |readiness: calloop::Readiness, _: &mut _, ready: &mut Shared| {
            ready.push(Ready::Conn(id, readiness.readable, readiness.writable));
            Ok(PostAction::Continue)
        };
        let source = Dispatcher::new(Generic::new(stream.clone(), interest, Mode::Level), note);
        let token = self.handle.register_dispatcher(source.clone()).map_err(other)?;
        let conn = Conn {
            stream,
            source,
            token,
            connecting,
            paused: false,
            close_after: false,
            lingers: None,
            out: Vec::new(),
            written: 0,
        };
        self.conns.insert(id, conn);
        Ok(())
    }

    /// Queues bytes and writes what the system takes at once.
    pub fn send(&mut self, id: ConnId, bytes: &[u8]) {
        let Some(conn) = self.conns.get_mut(&id.0) else { return };
        conn.out.extend_from_slice(bytes);
        if !conn.connecting {
            self.write(id.0);
        }
    }

    /// Bytes queued that the system has not taken.
    pub fn unsent_bytes(&self, id: ConnId) -> usize {
        self.conns.get(&id.0).map_or(0, |conn| conn.out.len() - conn.written)
    }

    /// Whether a connection is known and not gone.
    pub fn is_open(&self, id: ConnId) -> bool {
        self.conns.get(&id.0).is_some_and(|conn| conn.lingers.is_none())
    }

    /// Reads no more from a connection until told otherwise.
    pub fn pause(&mut self, id: ConnId, paused: bool) {
        if let Some(conn) = self.conns.get_mut(&id.0) {
            if conn.paused != paused {
                conn.paused = paused;
                self.set_interest(id.0);
            }
        }
    }

    /// Closes once all that is queued has been written. No event follows.
    ///
    /// Our side is closed then, and what the peer still sends is read and dropped for a moment, until it closes too.
    /// Guards against a reset: closing with bytes unread sends one, and it overtakes the answer that the peer has not
    /// read yet.
    pub fn close_after_flush(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id.0) else { return };
        conn.close_after = true;
        if conn.out.len() == conn.written && !conn.connecting {
            self.linger(id.0);
        }
    }

    fn linger(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| conn.lingers.is_none()) else { return };
        // Where the peer has gone meanwhile there is nothing to wait for.
        if conn.stream.shutdown(Shutdown::Write).is_err() {
            return self.close(ConnId(id));
        }
        (conn.lingers, conn.paused) = (Some(0), false);
        self.lingering.push_back((Instant::now() + LINGERS, id));
        self.set_interest(id);
        self.end_lingering(None);
    }

    /// Ends our side of a connection; bytes and the end of the other side are still told. What is queued is lost.
    pub fn shutdown_write(&mut self, id: ConnId) {
        // Where it fails the peer has gone, which is told as its end.
        let _ = self.conns.get(&id.0).map(|conn| conn.stream.shutdown(Shutdown::Write));
    }

    /// How many connections may linger, the oldest of more are closed at once: each holds a descriptor.
    pub fn set_max_lingering(&mut self, most: usize) {
        self.lingering_most = most;
    }

    /// Connections closed by [`Net::close_after_flush`] that have bytes to write, or whose peers have not closed yet.
    pub fn lingering_count(&self) -> usize {
        self.conns.values().filter(|conn| conn.close_after).count()
    }

    /// Lets go of what has lingered long enough, and of the oldest where there are too many.
    fn end_lingering(&mut self, now: Option<Instant>) {
        while let Some(&(until, id)) = self.lingering.front() {
            let over = now.is_some_and(|now| until <= now) || self.lingering.len() > self.lingering_most;
            if !over && self.conns.contains_key(&id) {
                return;
            }
            self.lingering.pop_front();
            self.close(ConnId(id));
        }
    }

    /// Closes at once; what is queued is lost. No event follows.
    pub fn close(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.remove(&id.0) {
            self.handle.remove(conn.token);
        }
    }

    /// Breaks a connection, so that the peer sees a reset. No event follows.
    pub fn reset(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.get(&id.0) {
            // Without it the close is an orderly one, which is the lesser fault.
            let _ = SockRef::from(&*conn.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(id);
    }

    fn set_interest(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let write = conn.connecting || conn.written < conn.out.len();
        let read = !conn.connecting && !conn.paused;
        conn.source.as_source_mut().interest = Interest { readable: read, writable: write };
        if self.handle.update(&conn.token).is_err() {
            self.gone(id, false);
        }
    }

    fn gone(&mut self, id: u64, clean: bool) {
        // Not of one that is gone already, nor of one that was over for its owner.
        let told = self.conns.get(&id).is_some_and(|conn| conn.lingers.is_none());
        self.close(ConnId(id));
        if told {
            self.pending.push(NetEvent::Closed { conn: ConnId(id), clean });
        }
    }

    fn write(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let wanted = conn.out.len() > conn.written;
        while conn.written < conn.out.len() {
            match (&*conn.stream).write(&conn.out[conn.written..]) {
                Ok(0) => return self.broken(id),
                Ok(count) => conn.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.broken(id),
            }
        }
        if conn.written == conn.out.len() {
            conn.out.clear();
            conn.out.shrink_to(READ_AT_ONCE);
            conn.written = 0;
            if wanted {
                self.pending.push(NetEvent::Flushed(ConnId(id)));
            }
            if conn.close_after {
                return self.linger(id);
            }
        }
        self.set_interest(id);
    }

    /// The system takes no more of our bytes. Guards against an answer that is lost with them: what the other side sent
    /// ahead of its reset is still there, and is told first.
    fn broken(&mut self, id: u64) {
        self.take_bytes(id);
        self.gone(id, false);
    }

    fn read(&mut self, id: u64) {
        if let Some(clean) = self.take_bytes(id) {
            self.gone(id, clean);
        }
    }

    /// Tells the bytes that have come; whether the other side has ended, and if so in order.
    fn take_bytes(&mut self, id: u64) -> Option<bool> {
        let mut bytes = Vec::new();
        let mut buffer = [0; 64 << 10];
        let ended = loop {
            match (&*self.conns.get(&id)?.stream).read(&mut buffer) {
                Ok(0) => break Some(true),
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break None,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => break Some(false),
            }
            if bytes.len() >= READ_AT_ONCE {
                break None;
            }
        };
        self.taken += bytes.len();
        if let Some(dropped) = self.conns.get_mut(&id).and_then(|conn| conn.lingers.as_mut()) {
            *dropped += bytes.len();
            if *dropped > LINGER_MOST {
                self.close(ConnId(id));
            }
        } else if !bytes.is_empty() {
            self.pending.push(NetEvent::Bytes(ConnId(id), bytes));
        }
        ended
    }

    fn connected(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        match conn.stream.take_error() {
            Ok(None) => {
                conn.connecting = false;
                self.pending.push(NetEvent::Connected(ConnId(id)));
                self.write(id);
            }
            Ok(Some(error)) | Err(error) => {
                self.close(ConnId(id));
                self.pending.push(NetEvent::ConnectFailed(ConnId(id), error.kind()));
            }
        }
    }

    fn accept(&mut self, id: u64) {
        loop {
            let Some(listening) = self.listeners.get_mut(&id) else { return };
            match listening.listener.accept() {
                Ok((stream, _)) => {
                    let conn = self.next();
                    if self.register(conn, stream, false).is_ok() {
                        let (listener, conn) = (ListenerId(id), ConnId(conn));
                        self.pending.push(NetEvent::Accepted { listener, conn });
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Guards against a loop without a pause: out of descriptors, the listener stays ready all the time.
                Err(_) => {
                    listening.paused = self.handle.disable(&listening.token).is_ok();
                    return;
                }
            }
        }
    }

    /// Waits until something happens, at most for `timeout`, and returns what did.
    pub fn poll(&mut self, timeout: Option<Duration>) -> io::Result<Vec<NetEvent>> {
        let timeout = if self.pending.is_empty() { timeout } else { Some(Duration::ZERO) };
        let resting = self.listeners.values().any(|listening| listening.paused);
        let timeout =
            if resting { Some(timeout.unwrap_or(LISTENER_RESTS).min(LISTENER_RESTS)) } else { timeout };
        self.end_lingering(Some(Instant::now()));
        let lingers =
            self.lingering.front().map(|(until, _)| until.saturating_duration_since(Instant::now()));
        let timeout = [timeout, lingers].into_iter().flatten().min();
        let mut ready = Shared::new();
        self.event_loop.dispatch(timeout, &mut ready).map_err(other)?;
        for listening in self.listeners.values_mut().filter(|listening| listening.paused) {
            listening.paused = self.handle.enable(&listening.token).is_err();
        }
        self.taken = 0;
        for ready in ready {
            match ready {
                Ready::Listener(id) => self.accept(id),
                Ready::Signal(signal) => self.pending.push(NetEvent::Signal(signal)),
                Ready::Woken => self.pending.push(NetEvent::Woken),
                Ready::Conn(id, readable, writable) => {
                    if self.conns.get(&id).is_some_and(|conn| conn.connecting) {
                        self.connected(id);
                        continue;
                    }
                    if writable {
                        self.write(id);
                    }
                    if readable && self.taken < READ_IN_ALL {
                        self.read(id);
                    }
                }
            }
        }
        Ok(std::mem::take(&mut self.pending))
    }
}

fn begin_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        // EINPROGRESS: it goes on by itself.
        Err(error) if error.raw_os_error() == Some(115) || error.kind() == ErrorKind::WouldBlock => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}

#[cfg(test)]
mod tests;
