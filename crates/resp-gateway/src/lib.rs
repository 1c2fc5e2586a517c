//! The courier on the users' platform: sockets, clock, files and signals, and the turn that ties them together.
//!
//! One turn, one write: events are handled, the module decides, the turn's records go to the log in one write, and
//! only then do bytes leave for clients and endpoints. So `+OK` is never ahead of the log, nor is a call. What
//! anything means is decided in `cloverstile-platform`; which message goes where and when, in the module.
#![forbid(unsafe_code)]

mod descriptor_limits;
mod gateway;
mod message_record;
mod startup;

pub use gateway::Gateway;
pub use startup::{run, Environment, GatewayError};

use cloverstile::Time;
use cloverstile_net::{ConnId, Net};
use cloverstile_platform::{ConnectionId, Transport};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never goes backwards: the system's clock is read once.
struct Clock {
    started: Instant,
    unix: Duration,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix }
    }

    fn now(&self) -> Time {
        Time::ZERO + (self.unix + self.started.elapsed())
    }
}

/// Connections of the state machines, on sockets.
struct Sockets<'a>(&'a mut Net);

impl Transport for Sockets<'_> {
    fn connect(&mut self, to: SocketAddr) -> ConnectionId {
        ConnectionId(self.0.connect(to).0)
    }
    fn write(&mut self, wire: ConnectionId, bytes: &[u8]) {
        self.0.send(ConnId(wire.0), bytes);
    }
    fn shutdown_write(&mut self, wire: ConnectionId) {
        self.0.shutdown_write(ConnId(wire.0));
    }
    fn close(&mut self, wire: ConnectionId) {
        self.0.close(ConnId(wire.0));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cloverstile::{EndpointId, MessageId};
    use cloverstile_engine::{Attempt, TransportOutcome};
    use cloverstile_net::NetEvent;
    use cloverstile_platform::requests::{CompletedAttempt, ConnectionLimits, Requests, RetryAfter};
    use cloverstile_platform::response::ReportFields;
    use std::io::{Read, Write};
    use std::net::TcpListener;

    const SECOND: Duration = Duration::from_secs(1);

    /// An endpoint refuses a call that is not whole yet and resets the connection, both between a look at the sockets and
    /// the call's last byte. Guards against a wait that is lost with the byte that met the reset.
    #[test]
    fn a_wait_told_ahead_of_a_reset_is_heard_though_the_last_byte_meets_the_reset() {
        let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut net = Net::new().unwrap();
        let terms = ConnectionLimits {
            connect_timeout: SECOND,
            idle_timeout: SECOND * 9,
            max_connections: 4,
            report_fields: ReportFields::default(),
        };
        let (mut calls, now) = (Requests::new(terms), Time::ZERO + SECOND);
        let (attempt, to) = (Attempt { message: MessageId(1), number: 0 }, EndpointId(1));
        calls.connect(now, attempt, to, endpoint.local_addr().unwrap(), &mut Sockets(&mut net));
        let (mut stream, _) = endpoint.accept().unwrap();
        while calls.take_connected().is_empty() {
            for event in net.poll(Some(SECOND)).unwrap() {
                if let NetEvent::Connected(conn) = event {
                    calls.on_connected(ConnectionId(conn.0));
                }
            }
        }
        calls.send_all_but_last_byte(
            now,
            attempt,
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n1",
            &mut Sockets(&mut net),
        );
        let mut head = [0; 38];
        stream.read_exact(&mut head).unwrap();
        stream.write_all(b"HTTP/1.1 429 Wait\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n").unwrap();
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        drop(stream);
        // No look at the sockets in between.
        calls.on_tick(now + SECOND, &mut Sockets(&mut net));
        assert_eq!(calls.take_ready_to_commit(), [attempt]);
        calls.commit(attempt, &mut Sockets(&mut net));
        while calls.connections() > 0 {
            for event in net.poll(Some(SECOND)).unwrap() {
                match event {
                    NetEvent::Bytes(conn, bytes) => {
                        calls.on_bytes(now, ConnectionId(conn.0), &bytes, &mut Sockets(&mut net));
                    }
                    NetEvent::Flushed(conn) => calls.on_flushed(ConnectionId(conn.0)),
                    NetEvent::Closed { conn, clean } => {
                        calls.on_closed(now, ConnectionId(conn.0), clean, &mut Sockets(&mut net));
                    }
                    _ => {}
                }
            }
        }
        let wait = Duration::from_millis(2500);
        assert_eq!(calls.take_retry_after(), [RetryAfter { endpoint: to, delay: wait }]);
        let result = TransportOutcome::Rejected(Some(wait)).into();
        assert_eq!(calls.take_completed(), [CompletedAttempt { attempt, result }]);
    }
}
