//! Starting outbound connections, registering streams with the event loop, and retrying what failed with a transient
//! local error.

use crate::connection::{start_connect, Connection, ConnectionState};
use crate::event::{ConnId, ListenerId, NetEvent};
use crate::failures::is_peer_connect_error;
use crate::net::{to_io_error, Net};
use crate::readiness::{Ready, ReadyList};
use crate::retries::UnregisteredStream;
use calloop::generic::Generic;
use calloop::{Dispatcher, Interest, Mode, PostAction};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use tracing::debug;

impl Net {
    /// Starts a connection. The result is always reported as an event of a later poll. If a local shortage prevents the
    /// start (no file descriptor, port, buffer or route), it is retried until it succeeds or [`Net::close`] is called.
    pub fn connect(&mut self, address: SocketAddr) -> ConnId {
        let id = ConnId(self.next_id());
        self.try_connect(id, address);
        id
    }

    fn try_connect(&mut self, id: ConnId, address: SocketAddr) {
        match start_connect(address) {
            Ok(stream) => self.register(id, Rc::new(stream), ConnectionState::Connecting, None),
            Err(error) if is_peer_connect_error(&error) => {
                debug!(connection = id.0, %address, %error, "connection refused");
                self.pending_events.push(NetEvent::ConnectFailed(id, error.kind()));
            }
            Err(error) => {
                debug!(connection = id.0, %address, %error, "connection can't be started, tried again");
                self.retries.connects.insert(id, address);
                self.retries.schedule();
            }
        }
    }

    /// Registers a stream with the event loop. `listener` is the listener that accepted it, `None` if it is outbound.
    pub(crate) fn register(
        &mut self,
        id: ConnId,
        stream: Rc<TcpStream>,
        state: ConnectionState,
        listener: Option<ListenerId>,
    ) {
        if let Err(error) = self.insert_source(id, &stream, state) {
            debug!(connection = id.0, %error, "connection can't be registered, tried again");
            self.retries.registrations.insert(id, UnregisteredStream { stream, state, listener });
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
        let token = self.handle.register_dispatcher(source.clone()).map_err(to_io_error)?;
        let mut connection = Connection::new(stream.clone(), source, token, state);
        connection.last_read_in = self.poll_number;
        self.connections.insert(id, connection);
        Ok(())
    }

    /// Retries the operations that failed with a transient local error.
    pub(crate) fn retry_failed(&mut self) {
        for (id, address) in std::mem::take(&mut self.retries.connects) {
            self.try_connect(id, address);
        }
        for (id, UnregisteredStream { stream, state, listener }) in
            std::mem::take(&mut self.retries.registrations)
        {
            self.register(id, stream, state, listener);
        }
        for id in std::mem::take(&mut self.retries.interest_updates) {
            self.update_interest(id);
        }
    }

    /// Completes an outbound connect once its socket is ready: reports [`NetEvent::Connected`] or
    /// [`NetEvent::ConnectFailed`].
    pub(crate) fn finish_connect(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match connection.stream.take_error() {
            Ok(None) => {
                connection.state = ConnectionState::Open;
                self.pending_events.push(NetEvent::Connected(id));
                self.write(id);
            }
            Ok(Some(error)) | Err(error) => {
                debug!(connection = id.0, %error, "connection failed");
                self.close(id);
                self.pending_events.push(NetEvent::ConnectFailed(id, error.kind()));
            }
        }
    }
}
