//! When a connection to an endpoint carries another request, and bytes that belong to no request.

use crate::requests::{
    attempt, completed, requests, send_request, target, write_and_commit, ENDPOINT, OK_RESPONSE,
};
use crate::support::{at, FakeTransport};
use cloverstile::EndpointId;
use cloverstile_engine::TransportOutcome;
use cloverstile_platform::connection_reuse::Repeatability;
use cloverstile_platform::doubted_responses::{DoubtEnd, HeldResponse};
use cloverstile_platform::requests::{RequestTarget, Requests};
use cloverstile_platform::unsolicited::{UnsolicitedPhase, UnsolicitedSource};
use cloverstile_platform::{ConnectionId, ReceivedNow};
use std::time::Duration;

const BUSY_RESPONSE: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const GONE_RESPONSE: &[u8] = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
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

/// Sends requests for these messages at once, each on a new connection, and answers them at these times.
fn answered_requests(requests: &mut Requests, transport: &mut FakeTransport, answered_at: &[(u32, u64)]) {
    let send = |(message, at_ms): &(u32, u64)| (send_request(requests, transport, at(0), *message), *at_ms);
    let sent: Vec<(ConnectionId, u64)> = answered_at.iter().map(send).collect();
    for (connection, at_ms) in sent {
        requests.on_flushed(connection);
        requests.on_bytes(at(at_ms), connection, OK_RESPONSE, transport);
    }
}

fn unread(bytes: &[u8]) -> ReceivedNow {
    ReceivedNow { bytes: bytes.to_vec(), has_ended: false }
}

#[test]
fn connection_is_reused_once_it_has_been_quiet_after_its_last_response() {
    for (delay, is_reused) in [(0, false), (1, false), (159, false), (160, true), (5000, true)] {
        let (mut requests, mut transport) = (requests(9), FakeTransport::default());
        let connection = answered_request(&mut requests, &mut transport, 0);
        requests.connect(at(10 + delay), attempt(2), target(), &mut transport);
        assert_eq!(requests.connection(attempt(2)) == Some(connection), is_reused, "{delay} ms");
    }
}

/// Of several idle connections the one used last is taken, among those that have been quiet long enough.
#[test]
fn most_recently_used_quiet_connection_is_reused() {
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    answered_requests(&mut requests, &mut transport, &[(1, 10), (2, 50), (3, 200)]);
    for (message, expected) in
        [(4, Some(ConnectionId(2))), (5, Some(ConnectionId(1))), (6, Some(ConnectionId(4)))]
    {
        requests.connect(at(300), attempt(message), target(), &mut transport);
        assert_eq!(requests.connection(attempt(message)), expected);
    }
}

/// Endpoints hold only so many connections. After one had no room, a new connection replaces the one used last where none can
/// be reused yet; before, both are kept.
#[test]
fn new_connection_replaces_a_resting_one_only_after_an_endpoint_had_no_room() {
    let no_room = b"HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    for is_crowded in [false, true] {
        let (mut requests, mut transport) = (requests(9), FakeTransport::default());
        answered_requests(&mut requests, &mut transport, &[(1, 10), (2, 50)]);
        let other = RequestTarget { endpoint: EndpointId(6), ..target() };
        requests.connect(at(50), attempt(9), other, &mut transport);
        requests.on_connected(transport.newest());
        requests.take_connected();
        write_and_commit(&mut requests, &mut transport, at(50), 9);
        requests.on_flushed(transport.newest());
        let response = if is_crowded { &no_room[..] } else { OK_RESPONSE };
        requests.on_bytes(at(55), transport.newest(), response, &mut transport);
        transport.closed.clear();
        requests.connect(at(60), attempt(3), target(), &mut transport);
        assert_eq!(requests.connection(attempt(3)), Some(ConnectionId(4)));
        assert_eq!(transport.closed == [ConnectionId(2)], is_crowded);
        requests.connect(at(170), attempt(4), target(), &mut transport);
        assert_eq!(requests.connection(attempt(4)), Some(ConnectionId(1)));
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
            requests.connect(now, attempt(2), target(), &mut transport);
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
                assert!(!requests.check_connection(now, attempt(2), &mut transport));
                requests.commit(at(0), attempt(2), &mut transport);
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
    requests.connect(at(LONG_QUIET_MS), attempt(2), target(), &mut transport);
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
            requests.connect(at(start + 10 + wait), attempt(2), target(), &mut transport);
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

/// Reuses `connection` for message 2 and writes its request, whose response the caller gives.
fn send_on_reused(
    requests: &mut Requests,
    transport: &mut FakeTransport,
    connection: ConnectionId,
    now: u64,
) {
    requests.connect(at(now), attempt(2), target(), transport);
    assert_eq!(requests.connection(attempt(2)), Some(connection));
    requests.take_connected();
    write_and_commit(requests, transport, at(now), 2);
    requests.on_flushed(connection);
}

/// Makes the endpoint distrusted by a copy on an idle connection, which is closed.
fn distrust(requests: &mut Requests, transport: &mut FakeTransport) {
    let connection = answered_request(requests, transport, 0);
    requests.on_bytes(at(20), connection, OK_RESPONSE, transport);
}

/// Two equal responses in one read: on a new connection the first is the response. On a reused one, where the response
/// before them was the same, it may be a copy of that.
#[test]
fn surplus_response_leaves_the_one_before_it_in_doubt_only_where_it_may_be_a_copy() {
    let twice = [OK_RESPONSE, OK_RESPONSE].concat();
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    let connection = send_request(&mut requests, &mut transport, at(0), 1);
    requests.on_flushed(connection);
    requests.on_bytes(at(5), connection, &twice, &mut transport);
    assert_eq!(completed(&mut requests), [(1, TransportOutcome::Processed)]);
    assert_eq!(transport.closed, [connection]);
    let events = requests.take_unsolicited();
    assert_eq!((events.len(), events[0].phase), (1, UnsolicitedPhase::AfterResponse));

    let unlike = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1".as_slice();
    for (first, second, expected) in [
        // Whichever of two deliveries is the copy, the other one is the response.
        (OK_RESPONSE, OK_RESPONSE, TransportOutcome::Processed),
        (OK_RESPONSE, BUSY_RESPONSE, TransportOutcome::Error),
        (OK_RESPONSE, GONE_RESPONSE, TransportOutcome::ObsoleteInDoubt),
        (unlike, BUSY_RESPONSE, TransportOutcome::Processed),
    ] {
        let (mut requests, mut transport) = (self::requests(9), FakeTransport::default());
        let connection = answered_request(&mut requests, &mut transport, 0);
        send_on_reused(&mut requests, &mut transport, connection, LONG_QUIET_MS);
        requests.on_bytes(at(310), connection, &[first, second].concat(), &mut transport);
        assert_eq!(completed(&mut requests), [(2, expected)]);
        assert_eq!((&transport.closed[..], requests.connections()), (&[connection][..], 0));
    }
}

/// Guards against one copy that shifts all later responses of its connection: after it, a response of that endpoint that
/// equals the one before counts only if nothing follows, and the connection carries nothing until then.
#[test]
fn equal_response_of_a_distrusted_endpoint_counts_once_nothing_followed_it() {
    for (follows, expected) in [
        (None, TransportOutcome::Processed),
        (Some(OK_RESPONSE), TransportOutcome::Processed),
        (Some(BUSY_RESPONSE), TransportOutcome::Error),
        (Some(GONE_RESPONSE), TransportOutcome::ObsoleteInDoubt),
    ] {
        let (mut requests, mut transport) = (requests(9), FakeTransport::default());
        distrust(&mut requests, &mut transport);
        let connection = answered_request(&mut requests, &mut transport, 1000);
        send_on_reused(&mut requests, &mut transport, connection, 1300);
        requests.on_bytes(at(1320), connection, OK_RESPONSE, &mut transport);
        assert_eq!((completed(&mut requests), requests.in_flight()), (vec![], 1));
        requests.connect(at(1400), attempt(3), target(), &mut transport);
        assert_ne!(requests.connection(attempt(3)), Some(connection));
        if let Some(bytes) = follows {
            requests.on_bytes(at(1400), connection, bytes, &mut transport);
            assert_eq!(completed(&mut requests), [(2, expected)]);
            assert!(transport.closed.contains(&connection));
            continue;
        }
        requests.on_tick(at(1479), &mut transport);
        assert_eq!(completed(&mut requests), []);
        requests.on_tick(at(1480), &mut transport);
        assert_eq!(completed(&mut requests), [(2, expected)]);
        assert!(!transport.closed.contains(&connection));
    }
}

/// The end of a connection is no second response. Whoever abandons the attempt meanwhile knows of the held response, which
/// counts. Guards against a response that was read and is forgotten because its attempt times out while it is held.
#[test]
fn held_response_counts_when_its_connection_ends_and_when_its_attempt_is_abandoned() {
    for ends in [true, false] {
        let (mut requests, mut transport) = (requests(9), FakeTransport::default());
        distrust(&mut requests, &mut transport);
        let connection = answered_request(&mut requests, &mut transport, 1000);
        send_on_reused(&mut requests, &mut transport, connection, 1300);
        requests.on_bytes(at(1320), connection, OK_RESPONSE, &mut transport);
        let held = HeldResponse { attempt: attempt(2), stated: TransportOutcome::Processed };
        assert_eq!((requests.take_held(), requests.take_doubted()), (vec![held], vec![]));
        if ends {
            requests.on_closed(at(1330), connection, true, &mut transport);
            assert_eq!(completed(&mut requests), [(2, TransportOutcome::Processed)]);
        } else {
            requests.abandon(at(1330), attempt(2), &mut transport);
            requests.on_tick(at(1500), &mut transport);
            assert_eq!(completed(&mut requests), []);
            assert!(transport.closed.contains(&connection));
        }
        let doubted = requests.take_doubted();
        let end = if ends { DoubtEnd::ConnectionEnded } else { DoubtEnd::AttemptEnded };
        assert_eq!((doubted.len(), doubted[0].end), (1, end));
        assert_eq!(doubted[0].credited, Some(TransportOutcome::Processed));
        assert_eq!((doubted[0].held_for, requests.in_flight()), (Duration::from_millis(10), 0));
    }
}

/// A 410 that may be a copy ends its message at once, however fast it came: held, it was forgotten when its attempt timed out.
#[test]
fn response_410_that_follows_a_410_on_its_connection_ends_the_message_at_once_and_in_doubt() {
    for (before, expected) in [
        (GONE_RESPONSE, TransportOutcome::ObsoleteInDoubt),
        (OK_RESPONSE, TransportOutcome::Obsolete),
        (BUSY_RESPONSE, TransportOutcome::Obsolete),
    ] {
        for distrusted in [true, false] {
            let (mut requests, mut transport) = (requests(9), FakeTransport::default());
            if distrusted {
                distrust(&mut requests, &mut transport);
            }
            let connection = send_request(&mut requests, &mut transport, at(1000), 1);
            requests.on_flushed(connection);
            requests.on_bytes(at(1010), connection, before, &mut transport);
            completed(&mut requests);
            send_on_reused(&mut requests, &mut transport, connection, 1300);
            requests.on_bytes(at(1302), connection, GONE_RESPONSE, &mut transport);
            assert_eq!((completed(&mut requests), requests.take_held()), (vec![(2, expected)], vec![]));
        }
    }
}

/// How fast a rejection comes says nothing, as it costs no work. Only an endpoint that has repeated a response is doubted.
#[test]
fn equal_rejection_counts_at_once_unless_its_endpoint_is_distrusted() {
    for (distrusted, expected) in [(true, TransportOutcome::Error), (false, TransportOutcome::Rejected(None))]
    {
        let (mut requests, mut transport) = (requests(99), FakeTransport::default());
        if distrusted {
            distrust(&mut requests, &mut transport);
        }
        let slow: Vec<(u32, u64)> = (100..120).map(|message| (message, 100)).collect();
        answered_requests(&mut requests, &mut transport, &slow);
        let connection = send_request(&mut requests, &mut transport, at(1000), 1);
        requests.on_flushed(connection);
        requests.on_bytes(at(1100), connection, BUSY_RESPONSE, &mut transport);
        completed(&mut requests);
        send_on_reused(&mut requests, &mut transport, connection, 1300);
        requests.on_bytes(at(1302), connection, BUSY_RESPONSE, &mut transport);
        assert_eq!((completed(&mut requests), requests.take_held()), (vec![(2, expected)], vec![]));
    }
}

#[test]
fn unrepeatable_message_gets_a_new_connection_to_a_distrusted_endpoint_for_a_minute() {
    let unrepeatable = RequestTarget { repeatability: Repeatability::Unrepeatable, ..target() };
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    distrust(&mut requests, &mut transport);
    for (now, is_reused) in [(59_000, false), (60_100, true)] {
        let connection = answered_request(&mut requests, &mut transport, now - 1000);
        requests.connect(at(now), attempt(2), unrepeatable, &mut transport);
        assert_eq!(requests.connection(attempt(2)) == Some(connection), is_reused, "{now}");
        requests.abandon(at(now), attempt(2), &mut transport);
        requests.close_idle(ENDPOINT, &mut transport);
    }
}

/// Servers announce with 408 that they close an idle connection. That is no copy.
#[test]
fn unsolicited_request_timeout_closes_the_connection_without_distrust() {
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    let connection = answered_request(&mut requests, &mut transport, 0);
    let timeout = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    requests.on_bytes(at(100), connection, timeout, &mut transport);
    assert_eq!((&transport.closed[..], requests.take_unsolicited().len()), (&[connection][..], 1));
    let unrepeatable = RequestTarget { repeatability: Repeatability::Unrepeatable, ..target() };
    let connection = answered_request(&mut requests, &mut transport, 1000);
    requests.connect(at(1200), attempt(2), unrepeatable, &mut transport);
    assert_eq!(requests.connection(attempt(2)), Some(connection));
}

/// A copy that comes later than the quiet period is found out where it comes sooner than any response of the endpoint. A
/// true response may come at once as well, and counts if nothing follows.
#[test]
fn implausibly_fast_response_that_equals_the_one_before_counts_once_nothing_followed_it() {
    for (response_time, is_held) in [(0, true), (39, true), (40, false), (100, false)] {
        let (mut requests, mut transport) = (requests(99), FakeTransport::default());
        for message in 100..120 {
            let connection = send_request(&mut requests, &mut transport, at(0), message);
            requests.on_flushed(connection);
            requests.on_bytes(at(81), connection, OK_RESPONSE, &mut transport);
        }
        completed(&mut requests);
        let connection = ConnectionId(20);
        send_on_reused(&mut requests, &mut transport, connection, 500);
        requests.on_bytes(at(501 + response_time), connection, OK_RESPONSE, &mut transport);
        assert_eq!(completed(&mut requests).is_empty(), is_held, "{response_time} ms");
        requests.on_tick(at(501 + response_time + 160), &mut transport);
        assert_eq!(completed(&mut requests).len(), usize::from(is_held), "{response_time} ms");
    }
}

/// The copy of a 429 is no new wait.
#[test]
fn retry_after_of_a_copy_ahead_of_the_last_byte_is_not_counted_again() {
    let rejection = b"HTTP/1.1 429 Wait\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n";
    let (mut requests, mut transport) = (requests(9), FakeTransport::default());
    let connection = send_request(&mut requests, &mut transport, at(0), 1);
    requests.on_flushed(connection);
    requests.on_bytes(at(1), connection, rejection, &mut transport);
    assert_eq!((requests.take_retry_after().len(), completed(&mut requests).len()), (1, 1));
    requests.connect(at(900), attempt(2), target(), &mut transport);
    assert_eq!(requests.connection(attempt(2)), Some(connection));
    requests.on_bytes(at(901), connection, rejection, &mut transport);
    assert_eq!((requests.take_retry_after(), completed(&mut requests)), (vec![], vec![]));
}
