//! Tests of the platform's requests on real sockets.

use super::Sockets;
use cloverstile::{EndpointId, MessageId, Time};
use cloverstile_engine::{Attempt, TransportOutcome};
use cloverstile_net::{Net, NetEvent};
use cloverstile_platform::requests::{CompletedAttempt, ConnectionLimits, Requests, RetryAfter};
use cloverstile_platform::response::LoadReportFields;
use cloverstile_platform::ConnectionId;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// An endpoint rejects a request that is not complete yet and resets the connection, both between a poll of the sockets
/// and the request's last byte. Guards against a `Retry-After` that is lost with the byte that met the reset.
#[test]
fn requests_keep_retry_after_that_precedes_a_reset_met_by_the_last_byte() {
    let endpoint = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut net = Net::new().unwrap();
    let limits = ConnectionLimits {
        connect_timeout: SECOND,
        idle_timeout: SECOND * 9,
        max_connections: 4,
        report_fields: LoadReportFields::default(),
    };
    let (mut requests, now) = (Requests::new(limits), Time::ZERO + SECOND);
    let (attempt, to) = (Attempt { message: MessageId(1), number: 0 }, EndpointId(1));
    requests.connect(now, attempt, to, endpoint.local_addr().unwrap(), &mut Sockets(&mut net));
    let (mut stream, _) = endpoint.accept().unwrap();
    while requests.take_connected().is_empty() {
        for event in net.poll(Some(SECOND)).unwrap() {
            if let NetEvent::Connected(connection) = event {
                requests.on_connected(ConnectionId(connection.0));
            }
        }
    }
    requests.send_all_but_last_byte(
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
    // The sockets are not polled in between.
    requests.on_tick(now + SECOND, &mut Sockets(&mut net));
    assert_eq!(requests.take_ready_to_commit(), [attempt]);
    requests.commit(attempt, &mut Sockets(&mut net));
    while requests.connections() > 0 {
        for event in net.poll(Some(SECOND)).unwrap() {
            match event {
                NetEvent::Bytes(connection, bytes) => {
                    requests.on_bytes(now, ConnectionId(connection.0), &bytes, &mut Sockets(&mut net));
                }
                NetEvent::Flushed(connection) => requests.on_flushed(ConnectionId(connection.0)),
                NetEvent::Closed { conn, clean } => {
                    requests.on_closed(now, ConnectionId(conn.0), clean, &mut Sockets(&mut net));
                }
                _ => {}
            }
        }
    }
    let wait = Duration::from_millis(2500);
    assert_eq!(requests.take_retry_after(), [RetryAfter { endpoint: to, delay: wait }]);
    let result = TransportOutcome::Rejected(Some(wait)).into();
    assert_eq!(requests.take_completed(), [CompletedAttempt { attempt, result }]);
}
