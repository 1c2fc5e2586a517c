//! Opening and closing listeners, and accepting connections, also while the system is short of resources.

use crate::connection::ConnectionState;
use crate::event::{ConnId, ListenerId, NetEvent};
use crate::failures::is_resource_shortage;
use crate::listener::{self, Listener};
use crate::net::{to_io_error, Net};
use crate::readiness::{Ready, ReadyList};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, warn};

/// Number of connections that may fail while being accepted in one pass, before the listener pauses.
const MAX_ACCEPT_FAILURES: usize = 64;

/// Number of connections accepted in one pass, unless the listener is closing. The others stay in the kernel's queue, so that
/// the owner can close surplus connections before the next pass, and descriptors are left for other uses.
const MAX_ACCEPTED_PER_PASS: usize = 32;

/// How a pass of accepting connections ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptOutcome {
    /// All queued connections were accepted.
    QueueEmpty,
    /// As many connections were accepted as one pass may; the listener stays ready.
    PassFull,
    /// Accepting failed; it is retried after a pause.
    Paused,
}

impl Net {
    /// Listens on an address; port 0 selects a free port. Returns the bound address.
    ///
    /// # Errors
    /// The system's, if the address is in use or not local, or no file descriptor is free.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(ListenerId, SocketAddr)> {
        let socket = Rc::new(listener::bind(address)?);
        let bound = socket.local_addr()?;
        let id = ListenerId(self.next_id());
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let on_ready = move |_, _: &mut _, ready: &mut ReadyList| {
            ready.push(Ready::Listener(id));
            Ok(PostAction::Continue)
        };
        let token = self.handle.insert_source(source, on_ready).map_err(to_io_error)?;
        let listener = Listener { socket, token, paused: false, allow_half_open: false, closing: false };
        self.listeners.insert(id, listener);
        Ok((id, bound))
    }

    /// Keeps connections that the listener accepts from now on open for writing when the peer shuts down its write side,
    /// which is reported as [`NetEvent::PeerHalfClosed`]. A client may do so after its last request and still wait for
    /// the reply.
    pub fn allow_half_open(&mut self, id: ListenerId) {
        if let Some(listener) = self.listeners.get_mut(&id) {
            listener.allow_half_open = true;
        }
    }

    /// Stops listening; new connections are refused. Connections in the kernel's queue are accepted first, because closing
    /// the listener would reset them. If accepting them fails for the moment, the listener stays open until it succeeds.
    pub fn stop_listening(&mut self, id: ListenerId) {
        if let Some(listener) = self.listeners.get_mut(&id) {
            listener.closing = true;
            self.accept(id);
        }
    }

    /// Whether a stopped listener may still have connections in the kernel's queue to accept.
    pub fn has_unaccepted_connections(&self) -> bool {
        self.listeners.values().any(|listener| listener.closing)
    }

    /// Resumes paused listeners.
    pub(crate) fn resume_listeners(&mut self) {
        let paused = self.listeners.iter().filter(|(_, listener)| listener.paused).map(|(id, _)| *id);
        for id in paused.collect::<Vec<_>>() {
            let Some(listener) = self.listeners.get_mut(&id) else { continue };
            match self.handle.enable(&listener.token) {
                Ok(()) => listener.paused = false,
                Err(error) => debug!(%error, "listener can't be resumed, tried again"),
            }
            if listener.closing {
                self.accept(id);
            }
        }
    }

    /// Accepts the queued connections. A listener that is closing is then closed, unless accepting failed.
    pub(crate) fn accept(&mut self, id: ListenerId) {
        let accepted = self.accept_queued(id);
        #[cfg(feature = "planted-defects")]
        let accepted =
            if is_planted(PlantedDefect::ListenerEnds) { AcceptOutcome::QueueEmpty } else { accepted };
        let Some(listener) = self.listeners.get_mut(&id) else { return };
        match accepted {
            AcceptOutcome::QueueEmpty if listener.closing => {
                if let Some(listener) = self.listeners.remove(&id) {
                    self.handle.remove(listener.token);
                }
            }
            AcceptOutcome::QueueEmpty | AcceptOutcome::PassFull => {}
            // Without the pause the event loop would spin: out of file descriptors, the listener stays ready all the time.
            AcceptOutcome::Paused => {
                listener.paused = self.handle.disable(&listener.token).is_ok() || listener.closing;
            }
        }
    }

    fn accept_queued(&mut self, id: ListenerId) -> AcceptOutcome {
        let mut failures = 0;
        let mut accepted = 0;
        while failures < MAX_ACCEPT_FAILURES {
            let Some(listener) = self.listeners.get(&id) else { return AcceptOutcome::QueueEmpty };
            if accepted == MAX_ACCEPTED_PER_PASS && !listener.closing {
                return AcceptOutcome::PassFull;
            }
            match listener.socket.accept() {
                Ok((stream, _)) => {
                    accepted += 1;
                    let connection = ConnId(self.next_id());
                    self.register(connection, Rc::new(stream), ConnectionState::Open, Some(id));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return AcceptOutcome::QueueEmpty,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if is_resource_shortage(&error) => {
                    warn!(%error, "connections can't be accepted, tried again");
                    return AcceptOutcome::Paused;
                }
                // This error concerns one connection, which is lost; others may be queued after it.
                Err(error) => {
                    debug!(%error, "connection lost before it was accepted");
                    failures += 1;
                    #[cfg(feature = "planted-defects")]
                    if is_planted(PlantedDefect::ListenerEnds) {
                        return AcceptOutcome::Paused;
                    }
                }
            }
        }
        AcceptOutcome::Paused
    }

    /// Reports an accepted connection once it is registered with the event loop.
    pub(crate) fn on_accepted(&mut self, id: ConnId, listener: ListenerId) {
        let allow_half_open = self.listeners.get(&listener).is_some_and(|listener| listener.allow_half_open);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.allow_half_open = allow_half_open;
            connection.is_accepted = true;
        }
        self.pending_events.push(NetEvent::Accepted { listener, conn: id });
    }
}
