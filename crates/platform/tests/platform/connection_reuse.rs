//! When a connection to an endpoint carries another request, and bytes that belong to no request.

use crate::requests::{attempt, completed, requests, send_request, write_and_commit, ENDPOINT, OK_RESPONSE};
use crate::support::{address, at, FakeTransport};
use cloverstile_engine::TransportOutcome;
use cloverstile_platform::requests::Requests;
use cloverstile_platform::unsolicited::{UnsolicitedPhase, UnsolicitedSource};
use cloverstile_platform::{ConnectionId, ReceivedNow};
use std::time::Duration;

/// Longer than the time without a response after which a connection is used again.
const LONG_QUIET_MS: u64 = 300;

/// Sends a request on a new connection and answers it 10 ms later. Returns the connection, which is idle.
fn answered_request(requests: &mut Requests, transport: &mut FakeTransport, now: u64) -> ConnectionId {
    let connection = send_request(requests, transport, at(now), 1);
    requests.on_flushed(connection);
    requests.on_bytes(at(now + 10), connection, OK_RESPONSE, transport);
    assert_eq!(completed(requests), [(1, TransportOutcome::Processed)]);
    connection
}

fn unread(bytes: &[u8]) -> ReceivedNow {
    ReceivedNow { bytes: bytes.to_vec(), has_ended: false }
}

#[test]
fn connection_is_reused_once_it_has_been_quiet_after_its_last_response() {
    for (delay, is_reused) in [(0, false), (1, false), (159, false), (160, true), (5000, true)] {
        let (mut requests, mut transport) = (requests(9), FakeTransport::default());
        let connection = answered_request(&mut requests, &mut transport, 0);
        requests.connect(at(10 + delay), attempt(2), ENDPOINT, address(1), &mut transport);
        assert_eq!(requests.connection(attempt(2)) == Some(connection), is_reused, "{delay} ms");
    }
}

/// Of several idle connections the one used last is taken, among those that have been quiet long enough.
#[test]
fn most_recently_used_quiet_connection_is_reused() {
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    for (message, answered_at) in [(1, 10), (2, 50), (3, 200)] {
        let connection = send_request(&mut requests, &mut transport, at(0), message);
        requests.on_flushed(connection);
        requests.on_bytes(at(answered_at), connection, OK_RESPONSE, &mut transport);
    }
    for (message, expected) in
        [(4, Some(ConnectionId(2))), (5, Some(ConnectionId(1))), (6, Some(ConnectionId(4)))]
    {
        requests.connect(at(300), attempt(message), ENDPOINT, address(1), &mut transport);
        assert_eq!(requests.connection(attempt(message)), expected);
    }
}

/// Guards against a copy that lies in the socket when the request is written: the socket was last read in an earlier turn.
#[test]
fn bytes_in_the_socket_before_the_first_or_the_last_byte_move_the_request_to_a_new_connection() {
    let rejection = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    let half = &OK_RESPONSE[..9];
    for bytes in [OK_RESPONSE, rejection, half, b"noise", &[OK_RESPONSE, OK_RESPONSE].concat()] {
        for arrives_before_first_byte in [true, false] {
            let (mut requests, mut transport) = (requests(9), FakeTransport::default());
            let connection = answered_request(&mut requests, &mut transport, 0);
            let now = at(LONG_QUIET_MS);
            requests.connect(now, attempt(2), ENDPOINT, address(1), &mut transport);
            assert_eq!(requests.take_connected(), [attempt(2)]);
            transport.written.clear();
            if arrives_before_first_byte {
                transport.unread.insert(connection, unread(bytes));
                requests.send_all_but_last_byte(now, attempt(2), b"call", &mut transport);
                assert_eq!(transport.written, []);
            } else {
                requests.send_all_but_last_byte(now, attempt(2), b"call", &mut transport);
                requests.on_tick(now + Duration::from_millis(1), &mut transport);
                assert_eq!(requests.take_ready_to_commit(), [attempt(2)]);
                transport.unread.insert(connection, unread(bytes));
                assert!(!requests.is_silent(now, attempt(2), &mut transport));
                requests.commit(attempt(2), &mut transport);
                assert_eq!(transport.written, [(connection, "cal".to_owned())], "the last byte was written");
            }
            assert_eq!((&transport.closed[..], completed(&mut requests)), (&[connection][..], vec![]));
            // The request goes out on a new connection, whose response counts.
            requests.on_connected(transport.newest());
            assert_eq!(requests.take_connected(), [attempt(2)]);
            write_and_commit(&mut requests, &mut transport, now, 2);
            requests.on_flushed(transport.newest());
            requests.on_bytes(now, transport.newest(), OK_RESPONSE, &mut transport);
            assert_eq!(completed(&mut requests), [(2, TransportOutcome::Processed)]);
        }
    }
}

/// A reused connection that the endpoint has closed is found out in the same way.
#[test]
fn end_of_the_connection_before_the_last_byte_moves_the_request_to_a_new_connection() {
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    let connection = answered_request(&mut requests, &mut transport, 0);
    requests.connect(at(LONG_QUIET_MS), attempt(2), ENDPOINT, address(1), &mut transport);
    requests.take_connected();
    transport.unread.insert(connection, ReceivedNow { bytes: vec![], has_ended: true });
    requests.send_all_but_last_byte(at(LONG_QUIET_MS), attempt(2), b"call", &mut transport);
    assert_eq!((&transport.closed[..], requests.in_flight()), (&[connection][..], 1));
    assert_eq!((completed(&mut requests), transport.connected.len()), (vec![], 2));
    assert_eq!(requests.take_unsolicited(), []);
}

/// A copy that came late makes the gateway wait for twice as long before it reuses any connection, but not for ever.
#[test]
fn quiet_period_grows_with_the_delay_of_unsolicited_bytes_and_is_bounded() {
    for (copy_delay, quiet) in [(20, 160), (150, 300), (400, 800), (2000, 1000)] {
        let (mut requests, mut transport) = (requests(9), FakeTransport::default());
        let connection = answered_request(&mut requests, &mut transport, 0);
        requests.on_bytes(at(10 + copy_delay), connection, OK_RESPONSE, &mut transport);
        for (wait, is_reused) in [(quiet - 1, false), (quiet, true)] {
            let start = 10_000;
            let connection = answered_request(&mut requests, &mut transport, start);
            requests.connect(at(start + 10 + wait), attempt(2), ENDPOINT, address(1), &mut transport);
            let reused = requests.connection(attempt(2)) == Some(connection);
            assert_eq!(reused, is_reused, "copy after {copy_delay} ms, reuse after {wait} ms");
            requests.abandon(at(start + 10 + wait), attempt(2), &mut transport);
            requests.close_idle(ENDPOINT, &mut transport);
        }
    }
}

#[test]
fn unsolicited_bytes_are_reported_with_their_connection_and_what_it_was_used_for() {
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    let connection = answered_request(&mut requests, &mut transport, 0);
    requests.on_bytes(at(35), connection, OK_RESPONSE, &mut transport);
    let events = requests.take_unsolicited();
    let [event] = &events[..] else { panic!("{events:?}") };
    assert_eq!((event.connection, event.source), (connection, UnsolicitedSource::Endpoint(ENDPOINT)));
    assert_eq!((event.byte_count, event.status), (OK_RESPONSE.len(), Some(200)));
    assert_eq!(event.since_response, Some(Duration::from_millis(25)));
    assert_eq!((event.phase, event.attempt), (UnsolicitedPhase::Idle, Some(attempt(1))));
    assert_eq!(requests.take_unsolicited(), []);
}
