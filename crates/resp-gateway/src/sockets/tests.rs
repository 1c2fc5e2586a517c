//! Tests of the platform's request state machine on real sockets.

use super::Sockets;
use cloverstile::{EndpointId, MessageId, Time};
use cloverstile_engine::{Attempt, TransportOutcome};
use cloverstile_net::{Net, NetEvent};
use cloverstile_platform::connection_reuse::Repeatability;
use cloverstile_platform::requests::{
    CompletedAttempt, ConnectionLimits, RequestTarget, Requests, RetryAfter,
};
use cloverstile_platform::response::LoadReportFields;
use cloverstile_platform::ConnectionId;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// An endpoint rejects an incomplete request and resets the connection, both after the last poll and before the last byte
/// of the request is sent. The write of that byte fails, and the `Retry-After` received before must not be lost with it.
#[test]
fn requests_keep_a_retry_after_received_before_a_reset_that_fails_the_last_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut net = Net::new().unwrap();
    let limits = ConnectionLimits {
        connect_timeout: SECOND,
        idle_timeout: SECOND * 9,
        max_connections: 4,
        report_fields: LoadReportFields::default(),
    };
    let (mut requests, now) = (Requests::new(limits), Time::ZERO + SECOND);
    let (attempt, endpoint) = (Attempt { message: MessageId(1), number: 0 }, EndpointId(1));
    let (address, repeatability) = (listener.local_addr().unwrap(), Repeatability::Unrepeatable);
    let target = RequestTarget { endpoint, address, repeatability };
    requests.connect(now, attempt, target, &mut Sockets(&mut net));
    let connection = requests.connection(attempt);
    let (mut stream, _) = listener.accept().unwrap();
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
    // The sockets are not polled between the reset and the last byte.
    requests.on_tick(now + SECOND, &mut Sockets(&mut net));
    assert_eq!(requests.take_ready_to_commit(), [attempt]);
    requests.commit(now, attempt, &mut Sockets(&mut net));
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
    let retry_after = Duration::from_millis(2500);
    assert_eq!(requests.take_retry_after(), [RetryAfter { endpoint, delay: retry_after }]);
    let result = TransportOutcome::Rejected(Some(retry_after)).into();
    assert_eq!(requests.take_completed(), [CompletedAttempt { attempt, connection, result }]);
}
