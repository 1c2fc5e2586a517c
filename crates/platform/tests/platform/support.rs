//! A transport that records operations on connections, and helpers that build times and addresses.

use cloverstile::Time;
use cloverstile_platform::{ConnectionId, ReceivedNow, Transport};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Records what a state machine does to connections. Connections are numbered from one in opening order.
#[derive(Default)]
pub struct FakeTransport {
    pub connected: Vec<SocketAddr>,
    pub written: Vec<(ConnectionId, String)>,
    pub shut_down: Vec<ConnectionId>,
    pub closed: Vec<ConnectionId>,
    /// What the next read outside of the event loop finds on a connection.
    pub unread: HashMap<ConnectionId, ReceivedNow>,
}

impl FakeTransport {
    /// The most recently opened connection.
    pub fn newest(&self) -> ConnectionId {
        ConnectionId(self.connected.len() as u64)
    }
}

impl Transport for FakeTransport {
    fn connect(&mut self, to: SocketAddr) -> ConnectionId {
        self.connected.push(to);
        self.newest()
    }
    fn write(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.written.push((connection, String::from_utf8_lossy(bytes).into_owned()));
    }
    fn receive_now(&mut self, connection: ConnectionId) -> ReceivedNow {
        self.unread.remove(&connection).unwrap_or_default()
    }
    fn shutdown_write(&mut self, connection: ConnectionId) {
        self.shut_down.push(connection);
    }
    fn close(&mut self, connection: ConnectionId) {
        self.closed.push(connection);
    }
}

/// The time `milliseconds` after [`Time::ZERO`].
pub fn at(milliseconds: u64) -> Time {
    Time::ZERO + Duration::from_millis(milliseconds)
}

/// A loopback address with this port.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
