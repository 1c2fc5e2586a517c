//! [`Transport`] of the platform's state machines on TCP sockets.

use cloverstile_net::{ConnId, Net};
use cloverstile_platform::{ConnectionId, Transport};
use std::net::SocketAddr;

/// The event loop's connections, as the platform's state machines use them.
pub struct Sockets<'a>(pub &'a mut Net);

impl Transport for Sockets<'_> {
    fn connect(&mut self, to: SocketAddr) -> ConnectionId {
        ConnectionId(self.0.connect(to).0)
    }
    fn write(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.0.send(ConnId(connection.0), bytes);
    }
    fn shutdown_write(&mut self, connection: ConnectionId) {
        self.0.shutdown_write(ConnId(connection.0));
    }
    fn close(&mut self, connection: ConnectionId) {
        self.0.close(ConnId(connection.0));
    }
}

#[cfg(test)]
mod tests;
