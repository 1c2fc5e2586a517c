//! Listening: opening and closing listeners, and accepting connections while the system is short of what it takes.

use crate::connection::ConnectionState;
use crate::event::{ConnId, ListenerId, NetEvent};
use crate::failures::is_shortage;
use crate::listener::{self, Listener};
use crate::net::{other, Net};
use crate::readiness::{Ready, ReadyList};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, warn};

/// Connections in a row that may fail as they are accepted, before the listener pauses.
const MAX_FAILED_ACCEPTS: usize = 64;

/// How far accepting came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Accepted {
    /// All that were there.
    All,
    /// It failed, and is tried again after a pause.
    Paused,
}

impl Net {
    /// Listens on an address; port 0 chooses a free one. Returns the address with its port.
    ///
    /// # Errors
    /// The system's, where the address is in use or not this machine's, or no descriptor is left.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(ListenerId, SocketAddr)> {
        let socket = Rc::new(listener::bind(address)?);
        let bound = socket.local_addr()?;
        let id = ListenerId(self.next_id());
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let on_ready = move |_, _: &mut _, ready: &mut ReadyList| {
            ready.push(Ready::Listener(id));
            Ok(PostAction::Continue)
        };
        let token = self.handle.insert_source(source, on_ready).map_err(other)?;
        let listener = Listener { socket, token, paused: false, allow_half_open: false, closing: false };
        self.listeners.insert(id, listener);
        Ok((id, bound))
    }

    /// Connections that a listener accepts from here on stay open for writing when their peers end their sending, which
    /// is reported as [`NetEvent::PeerHalfClosed`]: a client may wait for its reply behind the end of its requests.
    pub fn allow_half_open(&mut self, id: ListenerId) {
        if let Some(listener) = self.listeners.get_mut(&id) {
            listener.allow_half_open = true;
        }
    }

    /// Stops listening: further connections are refused. Those that the system took for us are accepted first: they
    /// would be reset with the listener. Where accepting them fails for the moment, the listener stays until it succeeds.
    pub fn stop_listening(&mut self, id: ListenerId) {
        if let Some(listener) = self.listeners.get_mut(&id) {
            listener.closing = true;
            self.accept(id);
        }
    }

    /// Whether connections that the system took for a listener that was stopped are still to be accepted.
    pub fn has_unaccepted_connections(&self) -> bool {
        self.listeners.values().any(|listener| listener.closing)
    }

    /// Accepts connections again behind a pause.
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

    /// Accepts what the system has taken; closes the listener behind that, where it is closing.
    pub(crate) fn accept(&mut self, id: ListenerId) {
        let accepted = self.accept_all(id);
        #[cfg(feature = "planted-defects")]
        let accepted = if is_planted(PlantedDefect::ListenerEnds) { Accepted::All } else { accepted };
        let Some(listener) = self.listeners.get_mut(&id) else { return };
        match accepted {
            Accepted::All if listener.closing => {
                if let Some(listener) = self.listeners.remove(&id) {
                    self.handle.remove(listener.token);
                }
            }
            Accepted::All => {}
            // Guards against a loop without a pause: out of descriptors, the listener stays ready all the time.
            Accepted::Paused => {
                listener.paused = self.handle.disable(&listener.token).is_ok() || listener.closing;
            }
        }
    }

    fn accept_all(&mut self, id: ListenerId) -> Accepted {
        let mut failures = 0;
        while failures < MAX_FAILED_ACCEPTS {
            let Some(listener) = self.listeners.get(&id) else { return Accepted::All };
            match listener.socket.accept() {
                Ok((stream, _)) => {
                    let connection = ConnId(self.next_id());
                    self.register(connection, Rc::new(stream), ConnectionState::Open, Some(id));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Accepted::All,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if is_shortage(&error) => {
                    warn!(%error, "connections can't be accepted, tried again");
                    return Accepted::Paused;
                }
                // Such an error is that of one connection, which is gone; others wait behind it.
                Err(error) => {
                    debug!(%error, "connection lost before it was accepted");
                    failures += 1;
                    #[cfg(feature = "planted-defects")]
                    if is_planted(PlantedDefect::ListenerEnds) {
                        return Accepted::Paused;
                    }
                }
            }
        }
        Accepted::Paused
    }

    /// An accepted connection is registered.
    pub(crate) fn on_accepted(&mut self, id: ConnId, listener: ListenerId) {
        let allow_half_open = self.listeners.get(&listener).is_some_and(|listener| listener.allow_half_open);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.allow_half_open = allow_half_open;
        }
        self.pending.push(NetEvent::Accepted { listener, conn: id });
    }
}
