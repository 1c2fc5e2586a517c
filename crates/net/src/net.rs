//! All connections and listeners of one thread, and polling their event loop.

use crate::connection::{Connection, ConnectionState, ReadResult, ReadState, StreamEnd};
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
use cloverstile_memory_budget::Account;
use socket2::SockRef;
use std::collections::HashMap;
use std::io;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// Limit on the bytes read from all connections in one poll; the last connection read may exceed it by its own limit.
/// Bytes that are read stay in memory as events until they are handled, so this bounds the memory that many fast peers
/// can take together. The rest is read in the next poll.
pub(crate) const MAX_READ_PER_POLL: usize = 512 << 10;
/// Number of consecutive failed waits after which the event loop counts as broken.
const MAX_CONSECUTIVE_WAIT_FAILURES: u32 = 500;
/// Delay after each failed wait.
const WAIT_FAILURE_DELAY: Duration = Duration::from_millis(10);

/// Wakes the poll of a [`Net`] from any thread.
#[derive(Clone)]
pub struct Waker(Ping);

impl Waker {
    /// Makes the current or next poll return, with a [`NetEvent::Woken`].
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
    /// Failed waits since the last successful one.
    consecutive_wait_failures: u32,
    /// Bytes read from all connections in the current poll.
    bytes_read: usize,
    /// Number of the current poll.
    pub(crate) poll_number: u64,
    /// Output buffers of accepted connections.
    accepted_output: Account,
    waker: Waker,
    /// The last id assigned to a connection or listener.
    last_id: u64,
    /// Events that the next poll returns, including those of operations between polls.
    pub(crate) pending_events: Vec<NetEvent>,
}

pub(crate) fn to_io_error(error: impl std::fmt::Display) -> io::Error {
    io::Error::other(error.to_string())
}

impl Net {
    /// Creates an event loop without connections or listeners.
    ///
    /// # Errors
    /// The system's, if no file descriptor is free for the event loop.
    pub fn new() -> io::Result<Net> {
        let event_loop: EventLoop<ReadyList> = EventLoop::try_new().map_err(to_io_error)?;
        let handle = event_loop.handle();
        let (ping, source) = make_ping()?;
        let on_ping = |(), (): &mut (), ready: &mut ReadyList| ready.push(Ready::Woken);
        handle.insert_source(source, on_ping).map_err(to_io_error)?;
        Ok(Net {
            event_loop,
            handle,
            connections: HashMap::new(),
            listeners: HashMap::new(),
            retries: Retries::default(),
            lingering: LingerQueue::new(),
            consecutive_wait_failures: 0,
            bytes_read: 0,
            poll_number: 0,
            accepted_output: Account::unlimited(),
            waker: Waker(ping),
            last_id: 0,
            pending_events: Vec::new(),
        })
    }

    /// Returns a handle that lets other threads wake the poll.
    pub fn waker(&self) -> Waker {
        self.waker.clone()
    }

    /// Reports these signals as [`NetEvent::Signal`] from now on. Call it before other threads are started.
    ///
    /// # Errors
    /// The system's, if no file descriptor is free for the signals.
    pub fn watch_signals(&mut self, signals: &[Signal]) -> io::Result<()> {
        let source = Signals::new(signals)?;
        let on_signal = |event: calloop::signals::Event, _: &mut (), ready: &mut ReadyList| {
            ready.push(Ready::Signal(event.signal()));
        };
        self.handle.insert_source(source, on_signal).map_err(to_io_error)?;
        Ok(())
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Queues bytes and writes as many of them as the socket accepts now. Unknown ids are ignored.
    pub fn send(&mut self, id: ConnId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let capacity = connection.output_capacity();
        connection.queue(bytes);
        let is_accepted = connection.is_accepted;
        if is_accepted {
            self.accepted_output.resize(capacity, connection.output_capacity());
        }
        if !connection.is_connecting() {
            self.write(id);
        }
        if is_accepted {
            self.close_largest_outputs();
        }
    }

    /// Sets how many bytes the output buffers of accepted connections may hold together. Beyond that, those with the
    /// largest buffer are closed: their peers do not read.
    pub fn set_max_accepted_output(&mut self, max_bytes: usize) {
        self.accepted_output = Account::new(max_bytes);
    }

    fn close_largest_outputs(&mut self) {
        while self.accepted_output.is_over_limit() {
            let accepted = self.connections.iter().filter(|(_, connection)| connection.is_accepted);
            let largest = accepted.max_by_key(|(_, connection)| connection.output_capacity());
            let Some(id) = largest.map(|(id, _)| *id) else { return };
            debug!(
                connection = id.0,
                "connection closed, its peer does not read and replies hold too much memory"
            );
            self.on_connection_ended(id, StreamEnd::Broken);
        }
    }

    /// The account of the output buffers of accepted connections.
    pub fn accepted_output(&mut self) -> &mut Account {
        &mut self.accepted_output
    }

    /// Number of queued bytes that are not yet written to the socket; 0 for an unknown id.
    pub fn unsent_bytes(&self, id: ConnId) -> usize {
        self.connections.get(&id).map_or(0, Connection::unsent_bytes)
    }

    /// Reads what has arrived on a connection until this moment, without waiting for the next poll. These bytes and this end
    /// are not reported as events; after an end the caller closes the connection. Nothing is read from a connection that is
    /// unknown, not established or closed for reading.
    pub fn receive_now(&mut self, id: ConnId) -> ReadResult {
        let may_read = |connection: &&Connection| {
            connection.state == ConnectionState::Open && connection.read_state != ReadState::Ended
        };
        self.connections
            .get(&id)
            .filter(may_read)
            .map_or_else(ReadResult::default, Connection::read_available)
    }

    /// Whether a connection is known and not in lingering close.
    pub fn is_open(&self, id: ConnId) -> bool {
        self.connections.get(&id).is_some_and(|connection| !connection.is_lingering())
    }

    /// Pauses or resumes reading from a connection. No effect once reading has ended.
    pub fn set_read_paused(&mut self, id: ConnId, paused: bool) {
        let new_state = if paused { ReadState::Paused } else { ReadState::Active };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.read_state != new_state && connection.read_state != ReadState::Ended {
            connection.read_state = new_state;
            self.update_interest(id);
        }
    }

    /// Closes a connection once all queued bytes have been written. No event follows.
    ///
    /// From this call on nothing is read from it: bytes that still arrive count as not received, which their sender
    /// learns from the end of the stream without a reply. After the queued bytes, the write side is shut down, and the
    /// socket stays open until the peer closes too or a timeout expires. Closing it with unread bytes would send a reset,
    /// which can overtake the reply.
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
        // A failed shutdown means that the peer is gone, so there is nothing to wait for.
        if connection.stream.shutdown(Shutdown::Write).is_err() {
            return self.close(id);
        }
        connection.state = ConnectionState::Lingering;
        self.lingering.start_linger(id);
        self.update_interest(id);
        self.close_expired_lingering(None);
    }

    /// Shuts down the write side of a connection; queued bytes are lost. Bytes from the peer and its close are still
    /// reported.
    pub fn shutdown_write(&mut self, id: ConnId) {
        if let Some(connection) = self.connections.get(&id) {
            // A failure means that the peer is gone, which is reported as the end of the connection.
            let _ = connection.stream.shutdown(Shutdown::Write);
        }
    }

    /// Sets how many connections may linger. Beyond that, those that expire first are closed early, because each holds a
    /// file descriptor.
    pub fn set_max_lingering(&mut self, max_connections: usize) {
        self.lingering.set_max_entries(max_connections);
    }

    /// Number of connections closed by [`Net::close_after_flush`] that still have bytes to write or whose peer has not
    /// closed yet.
    pub fn lingering_count(&self) -> usize {
        self.lingering.len()
    }

    /// Closes lingering connections that have expired at `now`, and those that expire first while the limit is exceeded.
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
            if connection.is_accepted {
                self.accepted_output.resize(connection.output_capacity(), 0);
            }
        }
    }

    /// Closes a connection so that the peer sees a reset. No event follows.
    pub fn reset(&mut self, id: ConnId) {
        if let Some(connection) = self.connections.get(&id) {
            // On failure the connection closes in an orderly way instead of with a reset; the peer still sees its end.
            let _ = SockRef::from(&*connection.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(id);
    }

    pub(crate) fn update_interest(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let interest = connection.interest();
        let registered = connection.source.as_source_ref().interest;
        if (interest.readable, interest.writable) == (registered.readable, registered.writable) {
            return;
        }
        connection.source.as_source_mut().interest = interest;
        if let Err(error) = self.handle.update(&connection.token) {
            debug!(connection = id.0, %error, "event source can't be changed, tried again");
            connection.source.as_source_mut().interest = registered;
            self.retries.interest_updates.insert(id);
            self.retries.schedule();
        }
    }

    fn on_connection_ended(&mut self, id: ConnId, end: StreamEnd) {
        // Nothing is reported for a connection that its owner has already closed.
        let is_reported = self.connections.get(&id).is_some_and(|connection| !connection.close_after_flush);
        self.close(id);
        if is_reported {
            self.pending_events.push(NetEvent::Closed { conn: id, clean: end == StreamEnd::Orderly });
        }
    }

    pub(crate) fn write(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let had_unsent_bytes = connection.unsent_bytes() > 0;
        let capacity = connection.output_capacity();
        let written = connection.write_queued();
        if connection.is_accepted {
            self.accepted_output.resize(capacity, connection.output_capacity());
        }
        if written.is_err() {
            return self.on_write_failed(id);
        }
        if connection.unsent_bytes() == 0 {
            if had_unsent_bytes {
                self.pending_events.push(NetEvent::Flushed(id));
            }
            if connection.close_after_flush {
                return self.start_lingering(id);
            }
        }
        self.update_interest(id);
    }

    /// Handles a failed write. Bytes that the peer sent before its reset can still be read, so they are reported before
    /// the end of the connection; otherwise a response among them would be lost.
    fn on_write_failed(&mut self, id: ConnId) {
        if self.connections.get(&id).is_some_and(|connection| connection.read_state != ReadState::Ended) {
            self.read_bytes(id);
        }
        self.on_connection_ended(id, StreamEnd::Broken);
    }

    fn read(&mut self, id: ConnId) {
        match self.read_bytes(id) {
            Some(StreamEnd::Orderly) if self.allows_half_open(id) => self.on_peer_half_closed(id),
            Some(end) => self.on_connection_ended(id, end),
            None => {}
        }
    }

    fn allows_half_open(&self, id: ConnId) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.allow_half_open)
    }

    fn on_peer_half_closed(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.read_state = ReadState::Ended;
        self.pending_events.push(NetEvent::PeerHalfClosed(id));
        self.update_interest(id);
    }

    /// Reads and reports the bytes that have arrived; returns how the peer's side ended, if it has.
    fn read_bytes(&mut self, id: ConnId) -> Option<StreamEnd> {
        let connection = self.connections.get_mut(&id)?;
        connection.last_read_in = self.poll_number;
        let read = connection.read_available();
        self.bytes_read += read.bytes.len();
        if !read.bytes.is_empty() {
            self.pending_events.push(NetEvent::Bytes(id, read.bytes));
        }
        read.end
    }

    /// Waits until an event occurs or `timeout` expires, and returns the events. Without a timeout it waits indefinitely.
    ///
    /// # Errors
    /// The event loop's, if waiting has failed too many times in a row. Not expected while its file descriptors are valid.
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
        self.poll_number += 1;
        self.sort_by_last_read(&mut ready_list);
        for ready in ready_list {
            self.on_ready(ready);
        }
        Ok(std::mem::take(&mut self.pending_events))
    }

    /// Orders the ready connections by when they were read last, so that peers that send without end do not starve the others
    /// of the bytes that one poll reads.
    fn sort_by_last_read(&self, ready_list: &mut ReadyList) {
        ready_list.sort_by_key(|ready| match ready {
            Ready::Connection { id, .. } => {
                self.connections.get(id).map_or(0, |connection| connection.last_read_in)
            }
            Ready::Listener(_) | Ready::Signal(_) | Ready::Woken => 0,
        });
    }

    /// Waits for readiness. A failed wait counts as one that returned early, unless too many fail in a row.
    fn wait(&mut self, timeout: Option<Duration>, ready_list: &mut ReadyList) -> io::Result<()> {
        match self.event_loop.dispatch(timeout, ready_list) {
            Ok(()) => self.consecutive_wait_failures = 0,
            Err(error) => {
                warn!(%error, "event loop failed to wait, tried again");
                self.consecutive_wait_failures += 1;
                if self.consecutive_wait_failures > MAX_CONSECUTIVE_WAIT_FAILURES {
                    return Err(to_io_error(error));
                }
                std::thread::sleep(WAIT_FAILURE_DELAY);
            }
        }
        Ok(())
    }

    /// How long the event loop may wait: until the earliest of the caller's timeout, the end of a listener's pause, the
    /// expiry of a lingering connection and the next retry; not at all if events are pending.
    fn dispatch_timeout(&self, timeout: Option<Duration>) -> Option<Duration> {
        let timeout = if self.pending_events.is_empty() { timeout } else { Some(Duration::ZERO) };
        let is_listener_paused = self.listeners.values().any(|listener| listener.paused);
        let pause = is_listener_paused.then_some(LISTENER_PAUSE);
        let from_now = |instant: Instant| instant.saturating_duration_since(Instant::now());
        let lingering = self.lingering.next_expiry().map(from_now);
        let retry = self.retries.next_retry_at().map(from_now);
        [timeout, pause, lingering, retry].into_iter().flatten().min()
    }

    fn on_ready(&mut self, ready: Ready) {
        match ready {
            Ready::Listener(id) => self.accept(id),
            Ready::Signal(signal) => self.pending_events.push(NetEvent::Signal(signal)),
            Ready::Woken => self.pending_events.push(NetEvent::Woken),
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
            // It has no interest registered, so readiness means that the peer closed or reset it.
            ConnectionState::Lingering => return self.close(id),
            ConnectionState::Open => {}
        }
        if connection.read_state == ReadState::Ended && connection.has_failed() {
            return self.on_connection_ended(id, StreamEnd::Broken);
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
