//! Requests to endpoints, on a transport that records operations on connections.

use crate::support::{address, at, FakeTransport};
use cloverstile::{EndpointId, MessageId, Time};
use cloverstile_engine::{Attempt, TransportOutcome};
use cloverstile_platform::connection_reuse::Repeatability;
use cloverstile_platform::requests::{ConnectionLimits, RequestTarget, Requests, RetryAfter};
use cloverstile_platform::response::LoadReportFields;
use cloverstile_platform::{ConnectionId, ReceivedNow};
use std::time::Duration;

pub fn attempt(message: u32) -> Attempt {
    Attempt { message: MessageId(message), number: 0 }
}

pub const ENDPOINT: EndpointId = EndpointId(5);
pub const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

pub fn requests(max_connections: usize) -> Requests {
    let (connect_timeout, idle_timeout) = (Duration::from_secs(1), Duration::from_secs(10));
    Requests::new(ConnectionLimits {
        connect_timeout,
        idle_timeout,
        max_connections,
        report_fields: LoadReportFields::default(),
    })
}

/// The endpoint at its address, for a message that may be repeated.
pub fn target() -> RequestTarget {
    RequestTarget { endpoint: ENDPOINT, address: address(1), repeatability: Repeatability::Repeatable }
}

/// Sends a complete request on a new connection and returns the connection.
pub fn send_request(
    requests: &mut Requests,
    transport: &mut FakeTransport,
    now: Time,
    message: u32,
) -> ConnectionId {
    requests.connect(now, attempt(message), target(), transport);
    let connection = ConnectionId(transport.connected.len() as u64);
    requests.on_connected(connection);
    assert_eq!(requests.take_connected(), [attempt(message)]);
    write_and_commit(requests, transport, now, message);
    connection
}

/// Writes all but the last byte of a request, then commits the attempt, which writes the last byte.
pub fn write_and_commit(requests: &mut Requests, transport: &mut FakeTransport, now: Time, message: u32) {
    requests.send_all_but_last_byte(now, attempt(message), b"call", transport);
    requests.on_tick(now + Duration::from_millis(1), transport);
    assert_eq!(requests.take_ready_to_commit(), [attempt(message)]);
    requests.commit(now + Duration::from_millis(1), attempt(message), transport);
    let last: Vec<&str> = transport.written.iter().rev().take(2).map(|(_, text)| text.as_str()).collect();
    assert_eq!(last, ["l", "cal"]);
}

fn retry_after(milliseconds: u64) -> RetryAfter {
    RetryAfter { endpoint: ENDPOINT, delay: Duration::from_millis(milliseconds) }
}

pub fn completed(requests: &mut Requests) -> Vec<(u32, TransportOutcome)> {
    requests
        .take_completed()
        .into_iter()
        .map(|completed| (completed.attempt.message.0, completed.result.outcome))
        .collect()
}

#[test]
fn connection_loss_before_the_last_byte_is_a_failed_connect_and_after_it_a_reset() {
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    requests.connect(at(0), attempt(1), target(), &mut transport);
    requests.on_closed(at(0), ConnectionId(1), false, &mut transport);
    assert_eq!(completed(&mut requests), [(1, TransportOutcome::ConnectFailed)]);
    let connection = send_request(&mut requests, &mut transport, at(0), 2);
    requests.on_closed(at(0), connection, false, &mut transport);
    assert_eq!(completed(&mut requests), [(2, TransportOutcome::ConnectFailed)]);
    for clean in [false, true] {
        let connection = send_request(&mut requests, &mut transport, at(0), 3);
        requests.on_flushed(connection);
        requests.on_closed(at(0), connection, clean, &mut transport);
        assert_eq!(completed(&mut requests), [(3, TransportOutcome::Reset)]);
    }
    requests.connect(at(0), attempt(4), target(), &mut transport);
    requests.on_tick(at(999), &mut transport);
    assert_eq!(completed(&mut requests), []);
    requests.on_tick(at(1000), &mut transport);
    assert_eq!(completed(&mut requests), [(4, TransportOutcome::ConnectFailed)]);
    assert_eq!((requests.in_flight(), requests.connections()), (0, 0));
}

#[test]
fn connection_carries_one_request_at_a_time_and_is_closed_before_the_endpoints_idle_timeout() {
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    let connection = send_request(&mut requests, &mut transport, at(0), 1);
    requests.on_flushed(connection);
    requests.on_bytes(at(10), connection, OK_RESPONSE, &mut transport);
    assert_eq!(completed(&mut requests), [(1, TransportOutcome::Processed)]);
    requests.connect(at(220), attempt(2), target(), &mut transport);
    requests.connect(at(220), attempt(3), target(), &mut transport);
    assert_eq!(requests.take_connected(), [attempt(2)]);
    assert_eq!(transport.connected.len(), 2);
    write_and_commit(&mut requests, &mut transport, at(220), 2);
    requests.on_flushed(connection);
    requests.on_bytes(at(230), connection, OK_RESPONSE, &mut transport);
    assert_eq!(requests.next_timeout(), Some(at(1220)));
    requests.on_tick(at(1220), &mut transport);
    assert!(!transport.closed.contains(&connection));
    requests.on_tick(at(7230), &mut transport);
    assert!(
        transport.closed.contains(&connection),
        "not closed after 0.7 of the endpoint's idle timeout of ten seconds"
    );
}

#[test]
fn connection_with_unsolicited_bytes_is_closed() {
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    let connection = send_request(&mut requests, &mut transport, at(0), 1);
    requests.on_flushed(connection);
    requests.on_bytes(at(1), connection, OK_RESPONSE, &mut transport);
    requests.on_bytes(at(2), connection, OK_RESPONSE, &mut transport);
    assert_eq!(transport.closed, [connection]);
    // The same after the connection is reused: the duplicate would be taken for the response to the new request.
    let connection = send_request(&mut requests, &mut transport, at(3), 2);
    requests.on_flushed(connection);
    requests.on_bytes(at(4), connection, OK_RESPONSE, &mut transport);
    requests.connect(at(300), attempt(3), target(), &mut transport);
    assert_eq!(requests.connection(attempt(3)), Some(connection));
    requests.on_bytes(at(300), connection, OK_RESPONSE, &mut transport);
    completed(&mut requests);
    // The attempt continues on a new connection.
    assert_eq!((requests.take_connected(), requests.in_flight(), transport.connected.len()), (vec![], 1, 3));
}

/// Guards against requests written to reused connections that the endpoint has already closed. In the run
/// `wide+reset+stale` on sockets, 231 of 4,255 requests were written to such connections, and unsafe messages among them
/// were lost. The reset arrived within 0.3 ms of the first bytes.
#[test]
fn stale_reused_connection_is_replaced_without_a_failed_attempt() {
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    let reused = send_request(&mut requests, &mut transport, at(0), 1);
    requests.on_flushed(reused);
    requests.on_bytes(at(5), reused, OK_RESPONSE, &mut transport);
    completed(&mut requests);
    requests.connect(at(250), attempt(2), target(), &mut transport);
    assert_eq!(requests.connection(attempt(2)), Some(reused));
    requests.take_connected();
    requests.send_all_but_last_byte(at(250), attempt(2), b"call", &mut transport);
    requests.on_flushed(reused);
    // All bytes but the last are flushed, so the endpoint has not begun to process the request.
    requests.on_closed(at(251), reused, false, &mut transport);
    assert_eq!((completed(&mut requests), transport.connected.len()), (vec![], 2));
    requests.on_tick(at(260), &mut transport);
    assert_eq!(requests.take_ready_to_commit(), []);
    // The same loss on a new connection is a failed connect: the request never ran.
    requests.on_connected(ConnectionId(2));
    requests.take_connected();
    requests.send_all_but_last_byte(at(261), attempt(2), b"call", &mut transport);
    requests.on_closed(at(261), ConnectionId(2), false, &mut transport);
    assert_eq!(completed(&mut requests), [(2, TransportOutcome::ConnectFailed)]);
}

#[test]
fn abort_of_an_uncommitted_request_closes_the_connection_and_reports_not_started() {
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    requests.connect(at(0), attempt(1), target(), &mut transport);
    requests.on_connected(ConnectionId(1));
    requests.take_connected();
    requests.send_all_but_last_byte(at(0), attempt(1), b"call", &mut transport);
    requests.on_tick(at(1), &mut transport);
    assert_eq!(requests.take_ready_to_commit(), [attempt(1)]);
    requests.abort_before_send(at(1), attempt(1), false, &mut transport);
    requests.commit(at(0), attempt(1), &mut transport);
    assert_eq!(
        (completed(&mut requests), transport.closed),
        (vec![(1, TransportOutcome::NotStarted)], vec![ConnectionId(1)])
    );
    assert_eq!(transport.written.len(), 1);
}

#[test]
fn abandon_of_an_unflushed_request_closes_its_connection() {
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    let connection = send_request(&mut requests, &mut transport, at(0), 1);
    requests.abandon(at(0), attempt(1), &mut transport);
    assert_eq!(
        (transport.closed.clone(), requests.in_flight(), completed(&mut requests)),
        (vec![connection], 0, vec![])
    );
    requests.connect(at(1), attempt(2), target(), &mut transport);
    assert_eq!(transport.connected.len(), 2);
}

/// The connection of an abandoned request that was completely sent is not reused. It is closed after at most a second,
/// or earlier if the connection limit requires it. A `Retry-After` received until then counts, even from an endpoint
/// that is no longer listed.
#[test]
fn abandoned_request_still_reports_retry_after() {
    let rejection = b"HTTP/1.1 429 Wait\r\nRetry-After: 0.7\r\nContent-Length: 9\r\n\r\nhalf";
    for bytes in [&rejection[..], OK_RESPONSE, b"noise"] {
        let (mut requests, mut transport) = (requests(1), FakeTransport::default());
        let connection = send_request(&mut requests, &mut transport, at(0), 1);
        requests.on_flushed(connection);
        requests.abandon(at(500), attempt(1), &mut transport);
        assert_eq!(
            (&transport.shut_down[..], transport.closed.len(), requests.in_flight()),
            (&[connection][..], 0, 0)
        );
        requests.retain_listed(|_| None, &mut transport);
        requests.close_idle(ENDPOINT, &mut transport);
        requests.on_bytes(at(600), connection, bytes, &mut transport);
        let expected: Vec<_> = (bytes == rejection).then_some(retry_after(700)).into_iter().collect();
        assert_eq!((requests.take_retry_after(), completed(&mut requests)), (expected, vec![]));
        assert_eq!((&transport.closed[..], requests.connections()), (&[connection][..], 0));
    }
    let (mut requests, mut transport) = (requests(1), FakeTransport::default());
    for message in [1, 2] {
        let connection = send_request(&mut requests, &mut transport, at(0), message);
        requests.on_flushed(connection);
        requests.abandon(at(500), attempt(message), &mut transport);
    }
    assert_eq!(transport.closed, [ConnectionId(1)], "the connection limit is one");
    assert_eq!(requests.next_timeout(), Some(at(1500)));
    requests.on_tick(at(1500), &mut transport);
    assert_eq!((requests.connections(), completed(&mut requests)), (0, vec![]));
}

#[test]
fn idle_connections_are_closed_at_the_connection_limit_and_after_list_changes() {
    let (mut requests, mut transport) = (requests(2), FakeTransport::default());
    for message in [1, 2] {
        let connection = send_request(&mut requests, &mut transport, at(0), message);
        requests.on_flushed(connection);
    }
    requests.connect(at(0), attempt(3), target(), &mut transport);
    assert_eq!(completed(&mut requests), [(3, TransportOutcome::Unsent)]);
    requests.on_bytes(at(1), ConnectionId(1), OK_RESPONSE, &mut transport);
    let other = RequestTarget { endpoint: EndpointId(6), address: address(2), ..target() };
    requests.connect(at(2), attempt(4), other, &mut transport);
    assert_eq!((transport.closed.clone(), requests.connections()), (vec![ConnectionId(1)], 2));
    requests.on_bytes(at(3), ConnectionId(2), OK_RESPONSE, &mut transport);
    requests.retain_listed(|_| Some(address(1)), &mut transport);
    assert_eq!(requests.connections(), 2);
    requests.retain_listed(|_| Some(address(9)), &mut transport);
    assert_eq!(transport.closed, [ConnectionId(1), ConnectionId(2)]);
}

/// If a request is aborted before its first byte is written, the next request reuses its connection. If it is aborted
/// between its first and last byte, the connection is closed, because part of the request was already written.
#[test]
fn abort_before_send_reports_not_started_and_reuses_a_connection_with_nothing_written() {
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    requests.connect(at(0), attempt(1), target(), &mut transport);
    requests.on_connected(ConnectionId(1));
    assert!(requests.targets_listed_endpoint(attempt(1), |_| Some(address(1))));
    assert!(
        !requests.targets_listed_endpoint(attempt(1), |_| Some(address(2))),
        "the endpoint is listed at another address"
    );
    assert!(!requests.targets_listed_endpoint(attempt(1), |_| None), "the endpoint is not listed");
    requests.abort_before_send(at(5), attempt(1), true, &mut transport);
    assert_eq!(
        (completed(&mut requests), requests.in_flight(), requests.take_connected()),
        (vec![(1, TransportOutcome::NotStarted)], 0, vec![])
    );
    assert_eq!(transport.written.len() + transport.closed.len(), 0);
    requests.connect(at(6), attempt(2), target(), &mut transport);
    assert_eq!((requests.take_connected(), transport.connected.len()), (vec![attempt(2)], 1));
    requests.send_all_but_last_byte(at(6), attempt(2), b"call", &mut transport);
    requests.on_tick(at(7), &mut transport);
    assert_eq!(requests.take_ready_to_commit(), [attempt(2)]);
    requests.abort_before_send(at(7), attempt(2), true, &mut transport);
    requests.commit(at(0), attempt(2), &mut transport);
    assert_eq!(
        (completed(&mut requests), transport.closed),
        (vec![(2, TransportOutcome::NotStarted)], vec![ConnectionId(1)])
    );
    assert_eq!(transport.written, [(ConnectionId(1), "cal".to_owned())], "the last byte was written");
    // If the endpoint is no longer listed, the connection is closed.
    let mut transport = FakeTransport { connected: vec![address(1)], ..FakeTransport::default() };
    requests.connect(at(8), attempt(3), target(), &mut transport);
    requests.on_connected(ConnectionId(2));
    requests.abort_before_send(at(9), attempt(3), false, &mut transport);
    assert_eq!((transport.closed, requests.connections()), (vec![ConnectionId(2)], 0));
}

/// A `Retry-After` counts as soon as the response head is read, whether or not the rest of the response arrives.
#[test]
fn retry_after_is_reported_from_the_head_and_from_early_responses() {
    let rejection_head = b"HTTP/1.1 429 Wait\r\nRetry-After: 0.7\r\nContent-Length: 9\r\n\r\nhalf";
    let expected = vec![retry_after(700)];
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    let connection = send_request(&mut requests, &mut transport, at(0), 1);
    requests.on_flushed(connection);
    requests.on_bytes(at(1), connection, rejection_head, &mut transport);
    assert_eq!((requests.take_retry_after(), completed(&mut requests)), (expected.clone(), vec![]));
    requests.on_bytes(at(2), connection, b"more", &mut transport);
    assert_eq!(requests.take_retry_after(), vec![], "reported twice");
    requests.on_closed(at(3), connection, false, &mut transport);
    assert_eq!(completed(&mut requests), [(1, TransportOutcome::Reset)]);
    for text in [&rejection_head[..], b"HTTP/1.1 429 Wait\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n"] {
        requests.connect(at(4), attempt(2), target(), &mut transport);
        let connection = ConnectionId(transport.connected.len() as u64);
        requests.on_connected(connection);
        requests.take_connected();
        requests.send_all_but_last_byte(at(4), attempt(2), b"call", &mut transport);
        requests.on_bytes(at(4), connection, text, &mut transport);
        assert_eq!(
            (requests.take_retry_after(), completed(&mut requests)),
            (expected.clone(), vec![(2, TransportOutcome::ConnectFailed)])
        );
    }
}

/// Guards against a message that is sent again because its 410 arrived, in whole or in part, behind the time-out of its attempt.
#[test]
fn response_to_an_abandoned_attempt_is_reported_only_if_it_ends_the_message() {
    let gone = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n".as_slice();
    let exhausted = b"HTTP/1.1 504 Timeout\r\nContent-Length: 0\r\n\r\n".as_slice();
    let busy = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".as_slice();
    for (response, expected) in [
        (gone, vec![(1, TransportOutcome::Obsolete)]),
        (&gone[..19], vec![(1, TransportOutcome::Obsolete)]),
        (exhausted, vec![(1, TransportOutcome::AttemptsExhausted)]),
        (busy, vec![]),
        (OK_RESPONSE, vec![]),
    ] {
        for bytes_before in [0, 1, 12] {
            for in_the_socket in [false, true] {
                let (mut requests, mut transport) = (requests(9), FakeTransport::default());
                let connection = send_request(&mut requests, &mut transport, at(0), 1);
                requests.on_flushed(connection);
                requests.on_bytes(at(5), connection, &response[..bytes_before], &mut transport);
                requests.abandon(at(100), attempt(1), &mut transport);
                let rest = &response[bytes_before..];
                if in_the_socket {
                    let received = ReceivedNow { bytes: rest.to_vec(), has_ended: true };
                    transport.unread.insert(connection, received);
                    requests.receive_late_responses(at(400), MessageId(2), &mut transport);
                    assert_eq!(completed(&mut requests), []);
                    requests.receive_late_responses(at(400), MessageId(1), &mut transport);
                } else {
                    requests.on_bytes(at(400), connection, rest, &mut transport);
                }
                assert_eq!(completed(&mut requests), expected);
                assert_eq!(requests.in_flight(), 0);
            }
        }
    }
}
