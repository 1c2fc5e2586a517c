//! Connecting: starting outbound connections, telling the event loop of streams, and trying again what failed on this
//! machine.

use crate::connection::{start_connect, Connection, ConnectionState};
use crate::event::{ConnId, ListenerId, NetEvent};
use crate::failures::is_refused_by_peer;
use crate::net::{other, Net};
use crate::readiness::{Ready, ReadyList};
use crate::retries::Unregistered;
use calloop::generic::Generic;
use calloop::{Dispatcher, Interest, Mode, PostAction};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use tracing::debug;

impl Net {
    /// Starts a connection. Its result comes as an event, never at once. Where this machine can't start it for the moment
    /// (no descriptor, port, buffer or route), it is tried again until that works or [`Net::close`] ends it.
    pub fn connect(&mut self, address: SocketAddr) -> ConnId {
        let id = ConnId(self.next_id());
        self.try_connect(id, address);
        id
    }

    fn try_connect(&mut self, id: ConnId, address: SocketAddr) {
        match start_connect(address) {
            Ok(stream) => self.register(id, Rc::new(stream), ConnectionState::Connecting, None),
            Err(error) if is_refused_by_peer(&error) => {
                debug!(connection = id.0, %address, %error, "connection refused");
                self.pending.push(NetEvent::ConnectFailed(id, error.kind()));
            }
            Err(error) => {
                debug!(connection = id.0, %address, %error, "connection can't be started, tried again");
                self.retries.connects.insert(id, address);
                self.retries.schedule();
            }
        }
    }

    /// Tells the event loop of a stream; `listener` has accepted it, unless it is outbound.
    pub(crate) fn register(
        &mut self,
        id: ConnId,
        stream: Rc<TcpStream>,
        state: ConnectionState,
        listener: Option<ListenerId>,
    ) {
        if let Err(error) = self.insert_source(id, &stream, state) {
            debug!(connection = id.0, %error, "connection can't be registered, tried again");
            self.retries.registrations.insert(id, Unregistered { stream, state, listener });
            return self.retries.schedule();
        }
        if let Some(listener) = listener {
            self.on_accepted(id, listener);
        }
    }

    fn insert_source(
        &mut self,
        id: ConnId,
        stream: &Rc<TcpStream>,
        state: ConnectionState,
    ) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        let interest = if state == ConnectionState::Connecting { Interest::WRITE } else { Interest::READ };
        let on_ready = move |readiness: calloop::Readiness, _: &mut _, ready: &mut ReadyList| {
            let calloop::Readiness { readable, writable, .. } = readiness;
            ready.push(Ready::Connection { id, readable, writable });
            Ok(PostAction::Continue)
        };
        let source = Dispatcher::new(Generic::new(stream.clone(), interest, Mode::Level), on_ready);
        let token = self.handle.register_dispatcher(source.clone()).map_err(other)?;
        self.connections.insert(id, Connection::new(stream.clone(), source, token, state));
        Ok(())
    }

    /// Tries again what failed on this machine.
    pub(crate) fn retry_failed(&mut self) {
        for (id, address) in std::mem::take(&mut self.retries.connects) {
            self.try_connect(id, address);
        }
        for (id, Unregistered { stream, state, listener }) in std::mem::take(&mut self.retries.registrations)
        {
            self.register(id, stream, state, listener);
        }
        for id in std::mem::take(&mut self.retries.interests) {
            self.update_interest(id);
        }
    }

    /// An outbound connection is established, or has failed.
    pub(crate) fn finish_connect(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match connection.stream.take_error() {
            Ok(None) => {
                connection.state = ConnectionState::Open;
                self.pending.push(NetEvent::Connected(id));
                self.write(id);
            }
            Ok(Some(error)) | Err(error) => {
                debug!(connection = id.0, %error, "connection failed");
                self.close(id);
                self.pending.push(NetEvent::ConnectFailed(id, error.kind()));
            }
        }
    }
}
