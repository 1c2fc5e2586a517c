//! Implements the [`Transport`] of the platform's state machines on TCP sockets.

use cloverstile_net::{ConnId, Net, ReadResult};
use cloverstile_platform::{ConnectionId, ReceivedNow, Transport};
use std::net::SocketAddr;

/// Converts the event loop's id of a connection to that of the platform's state machines.
pub fn connection_id(socket: ConnId) -> ConnectionId {
    ConnectionId(socket.0)
}

/// Converts the id of a connection in the platform's state machines to that of the event loop.
pub fn socket_id(connection: ConnectionId) -> ConnId {
    ConnId(connection.0)
}

/// The connections of the event loop, through which the platform's state machines send.
pub struct Sockets<'a>(pub &'a mut Net);

impl Transport for Sockets<'_> {
    fn connect(&mut self, to: SocketAddr) -> ConnectionId {
        connection_id(self.0.connect(to))
    }
    fn write(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.0.send(socket_id(connection), bytes);
    }
    fn receive_now(&mut self, connection: ConnectionId) -> ReceivedNow {
        let ReadResult { bytes, end } = self.0.receive_now(socket_id(connection));
        ReceivedNow { bytes, has_ended: end.is_some() }
    }
    fn shutdown_write(&mut self, connection: ConnectionId) {
        self.0.shutdown_write(socket_id(connection));
    }
    fn close(&mut self, connection: ConnectionId) {
        self.0.close(socket_id(connection));
    }
}

#[cfg(test)]
mod tests;
