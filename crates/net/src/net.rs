//! All connections of one thread, and the poll of their event loop.

use crate::connection::{Connection, ConnectionState, ReadState, StreamEnd};
use crate::event::{ConnId, ListenerId, NetEvent};
use crate::lingering::LingerQueue;
use crate::listener::{Listener, LISTENER_PAUSE};
use crate::readiness::{Ready, ReadyList};
use crate::retries::Retries;
use calloop::ping::{make_ping, Ping};
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use socket2::SockRef;
use std::collections::HashMap;
use std::io;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// Most bytes read in one poll from all connections, and one connection's more. Guards against memory that many fast
/// peers take together: what is read stands in events until it is handled. The rest is read in the next poll.
pub(crate) const MAX_READ_PER_POLL: usize = 2 << 20;
/// Waits in a row that may fail before the event loop counts as broken, and the pause behind each.
const MAX_FAILED_WAITS: u32 = 500;
const FAILED_WAIT_PAUSE: Duration = Duration::from_millis(10);

/// Wakes a [`Net`] from another thread.
#[derive(Clone)]
pub struct Waker(Ping);

impl Waker {
    /// Makes the current or next poll return.
    pub fn wake(&self) {
        self.0.ping();
    }
}

/// All connections and listeners of one thread, on one event loop.
pub struct Net {
    event_loop: EventLoop<'static, ReadyList>,
    pub(crate) handle: LoopHandle<'static, ReadyList>,
    pub(crate) connections: HashMap<ConnId, Connection>,
    pub(crate) listeners: HashMap<ListenerId, Listener>,
    pub(crate) retries: Retries,
    lingering: LingerQueue,
    /// Waits that failed since the last one that did not.
    failed_waits: u32,
    /// Bytes read in this poll.
    bytes_read: usize,
    waker: Waker,
    /// The last id that was given to a connection or listener.
    last_id: u64,
    /// Events that the next poll returns, also those of operations outside a poll.
    pub(crate) pending: Vec<NetEvent>,
}

pub(crate) fn other(error: impl std::fmt::Display) -> io::Error {
    io::Error::other(error.to_string())
}

impl Net {
    /// Creates an event loop without connections.
    ///
    /// # Errors
    /// The system's, where it has no descriptor left for the event loop.
    pub fn new() -> io::Result<Net> {
        let event_loop: EventLoop<ReadyList> = EventLoop::try_new().map_err(other)?;
        let handle = event_loop.handle();
        let (ping, source) = make_ping()?;
        let on_ping = |(), (): &mut (), ready: &mut ReadyList| ready.push(Ready::Woken);
        handle.insert_source(source, on_ping).map_err(other)?;
        Ok(Net {
            event_loop,
            handle,
            connections: HashMap::new(),
            listeners: HashMap::new(),
            retries: Retries::default(),
            lingering: LingerQueue::new(),
            failed_waits: 0,
            bytes_read: 0,
            waker: Waker(ping),
            last_id: 0,
            pending: Vec::new(),
        })
    }

    /// A handle by which other threads make a poll return.
    pub fn waker(&self) -> Waker {
        self.waker.clone()
    }

    /// Reports these signals as events from now on. Call before other threads are started.
    ///
    /// # Errors
    /// The system's, where it has no descriptor left for the signals.
    pub fn watch_signals(&mut self, signals: &[Signal]) -> io::Result<()> {
        let source = Signals::new(signals)?;
        let on_signal = |event: calloop::signals::Event, _: &mut (), ready: &mut ReadyList| {
            ready.push(Ready::Signal(event.signal()));
        };
        self.handle.insert_source(source, on_signal).map_err(other)?;
        Ok(())
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Queues bytes and writes at once what the system takes.
    pub fn send(&mut self, id: ConnId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.queue(bytes);
        if !connection.is_connecting() {
            self.write(id);
        }
    }

    /// Bytes queued that the system has not taken.
    pub fn unsent_bytes(&self, id: ConnId) -> usize {
        self.connections.get(&id).map_or(0, Connection::unsent_bytes)
    }

    /// Whether a connection is known and not closed.
    pub fn is_open(&self, id: ConnId) -> bool {
        self.connections.get(&id).is_some_and(|connection| !connection.is_lingering())
    }

    /// Stops or resumes reading from a connection.
    pub fn set_read_paused(&mut self, id: ConnId, paused: bool) {
        let wanted = if paused { ReadState::Paused } else { ReadState::Active };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.read_state != wanted && connection.read_state != ReadState::Ended {
            connection.read_state = wanted;
            self.update_interest(id);
        }
    }

    /// Closes a connection once all queued bytes have been written. No event follows.
    ///
    /// From this call on nothing is read from it: what still arrives was not taken, and its sender learns so by an end
    /// without a reply. Our side is shut down behind the queued bytes, and the socket is held for a moment, until the
    /// peer has closed too. Guards against a reset that overtakes the reply: closing with bytes unread sends one.
    pub fn close_after_flush(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.close_after_flush {
            return;
        }
        connection.close_after_flush = true;
        connection.read_state = ReadState::Ended;
        if connection.unsent_bytes() == 0 && !connection.is_connecting() {
            return self.start_lingering(id);
        }
        self.lingering.start_flush(id);
        self.update_interest(id);
        self.close_expired_lingering(None);
    }

    fn start_lingering(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.is_lingering() {
            return;
        }
        // Where the peer has gone meanwhile there is nothing to wait for.
        if connection.stream.shutdown(Shutdown::Write).is_err() {
            return self.close(id);
        }
        connection.state = ConnectionState::Lingering;
        self.lingering.start_linger(id);
        self.update_interest(id);
        self.close_expired_lingering(None);
    }

    /// Closes our side of a connection; bytes and the end of the peer's side are still reported. Queued bytes are lost.
    pub fn shutdown_write(&mut self, id: ConnId) {
        if let Some(connection) = self.connections.get(&id) {
            // Where it fails the peer has gone, which is reported as its end.
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
    }

    /// Sets how many connections may linger; the oldest of more are closed at once, as each holds a descriptor.
    pub fn set_max_lingering(&mut self, most: usize) {
        self.lingering.set_max_entries(most);
    }

    /// Connections closed by [`Net::close_after_flush`] that have bytes to write, or whose peers have not closed yet.
    pub fn lingering_count(&self) -> usize {
        self.lingering.len()
    }

    /// Closes what has lingered long enough, and the oldest where there are too many.
    fn close_expired_lingering(&mut self, now: Option<Instant>) {
        while let Some(id) = self.lingering.pop_expired(now) {
            self.close(id);
        }
    }

    /// Closes a connection at once; queued bytes are lost. No event follows.
    pub fn close(&mut self, id: ConnId) {
        self.retries.remove(id);
        if let Some(connection) = self.connections.remove(&id) {
            self.handle.remove(connection.token);
            self.lingering.remove(id);
        }
    }

    /// Closes a connection so that the peer sees a reset. No event follows.
    pub fn reset(&mut self, id: ConnId) {
        if let Some(connection) = self.connections.get(&id) {
            // Without it the close is an orderly one, which is the lesser fault.
            let _ = SockRef::from(&*connection.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(id);
    }

    pub(crate) fn update_interest(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let interest = connection.interest();
        connection.source.as_source_mut().interest = interest;
        if let Err(error) = self.handle.update(&connection.token) {
            debug!(connection = id.0, %error, "event source can't be changed, tried again");
            self.retries.interests.insert(id);
            self.retries.schedule();
        }
    }

    fn on_ended(&mut self, id: ConnId, end: StreamEnd) {
        // Nothing is reported of one that its owner has closed already.
        let is_reported = self.connections.get(&id).is_some_and(|connection| !connection.close_after_flush);
        self.close(id);
        if is_reported {
            self.pending.push(NetEvent::Closed { conn: id, clean: end == StreamEnd::Orderly });
        }
    }

    pub(crate) fn write(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let had_unsent_bytes = connection.unsent_bytes() > 0;
        if connection.write_queued().is_err() {
            return self.on_write_failed(id);
        }
        if connection.unsent_bytes() == 0 {
            if had_unsent_bytes {
                self.pending.push(NetEvent::Flushed(id));
            }
            if connection.close_after_flush {
                return self.start_lingering(id);
            }
        }
        self.update_interest(id);
    }

    /// The system takes no more of our bytes. Guards against a response that is lost with them: what the peer sent ahead
    /// of its reset is still there, and is reported first.
    fn on_write_failed(&mut self, id: ConnId) {
        if self.connections.get(&id).is_some_and(|connection| connection.read_state != ReadState::Ended) {
            self.read_bytes(id);
        }
        self.on_ended(id, StreamEnd::Broken);
    }

    fn read(&mut self, id: ConnId) {
        match self.read_bytes(id) {
            Some(StreamEnd::Orderly) if self.allows_half_open(id) => self.on_peer_finished(id),
            Some(end) => self.on_ended(id, end),
            None => {}
        }
    }

    fn allows_half_open(&self, id: ConnId) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.allow_half_open)
    }

    fn on_peer_finished(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.read_state = ReadState::Ended;
        self.pending.push(NetEvent::PeerHalfClosed(id));
        self.update_interest(id);
    }

    /// Reports the bytes that have arrived; returns the end of the peer's side, if it has come.
    fn read_bytes(&mut self, id: ConnId) -> Option<StreamEnd> {
        let connection = self.connections.get_mut(&id)?;
        let read = connection.read_available();
        self.bytes_read += read.bytes.len();
        if !read.bytes.is_empty() {
            self.pending.push(NetEvent::Bytes(id, read.bytes));
        }
        read.end
    }

    /// Waits until something happens, at most for `timeout`, and returns what did.
    ///
    /// # Errors
    /// The event loop's, which are not to be expected while the process has its descriptors.
    pub fn poll(&mut self, timeout: Option<Duration>) -> io::Result<Vec<NetEvent>> {
        self.close_expired_lingering(Some(Instant::now()));
        let timeout = self.dispatch_timeout(timeout);
        let mut ready_list = ReadyList::new();
        self.wait(timeout, &mut ready_list)?;
        self.resume_listeners();
        if self.retries.take_due(Instant::now()) {
            self.retry_failed();
        }
        self.bytes_read = 0;
        for ready in ready_list {
            self.on_ready(ready);
        }
        Ok(std::mem::take(&mut self.pending))
    }

    /// Waits for readiness. A wait that fails is as one that returns early, unless it fails again and again.
    fn wait(&mut self, timeout: Option<Duration>, ready_list: &mut ReadyList) -> io::Result<()> {
        match self.event_loop.dispatch(timeout, ready_list) {
            Ok(()) => self.failed_waits = 0,
            Err(error) => {
                warn!(%error, "event loop failed to wait, tried again");
                self.failed_waits += 1;
                if self.failed_waits > MAX_FAILED_WAITS {
                    return Err(other(error));
                }
                std::thread::sleep(FAILED_WAIT_PAUSE);
            }
        }
        Ok(())
    }

    /// How long the event loop may wait: until its caller's timeout, the end of a listener's pause, or the next lingering
    /// connection's; not at all where events are pending.
    fn dispatch_timeout(&self, timeout: Option<Duration>) -> Option<Duration> {
        let timeout = if self.pending.is_empty() { timeout } else { Some(Duration::ZERO) };
        let is_listener_paused = self.listeners.values().any(|listener| listener.paused);
        let pause = is_listener_paused.then_some(LISTENER_PAUSE);
        let from_now = |until: Instant| until.saturating_duration_since(Instant::now());
        let lingering = self.lingering.next_timeout().map(from_now);
        let retry = self.retries.next_timeout().map(from_now);
        [timeout, pause, lingering, retry].into_iter().flatten().min()
    }

    fn on_ready(&mut self, ready: Ready) {
        match ready {
            Ready::Listener(id) => self.accept(id),
            Ready::Signal(signal) => self.pending.push(NetEvent::Signal(signal)),
            Ready::Woken => self.pending.push(NetEvent::Woken),
            Ready::Connection { id, readable, writable } => {
                self.on_connection_ready(id, readable, writable);
            }
        }
    }

    fn on_connection_ready(&mut self, id: ConnId, readable: bool, writable: bool) {
        let Some(connection) = self.connections.get(&id) else { return };
        match connection.state {
            ConnectionState::Connecting => return self.finish_connect(id),
            #[cfg(feature = "planted-defects")]
            ConnectionState::Lingering if readable && is_planted(PlantedDefect::LingeringReads) => {
                if connection.read_available().end.is_some() {
                    self.close(id);
                }
                return;
            }
            // It asks for nothing, so that this is its peer's end.
            ConnectionState::Lingering => return self.close(id),
            ConnectionState::Open => {}
        }
        if writable {
            self.write(id);
        }
        let may_read = |connection: &Connection| {
            connection.state == ConnectionState::Open && connection.read_state != ReadState::Ended
        };
        if readable && self.bytes_read < MAX_READ_PER_POLL && self.connections.get(&id).is_some_and(may_read)
        {
            self.read(id);
        }
    }
}
