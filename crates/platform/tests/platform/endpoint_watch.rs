//! The endpoint list watch, on a transport that records operations on connections.

use crate::support::{address, at, FakeTransport};
use cloverstile_platform::endpoint_watch::{EndpointListError, EndpointWatch};
use cloverstile_platform::ConnectionId;
use std::time::Duration;

#[test]
fn watch_polls_again_after_each_response_and_replaces_an_unresponsive_connection() {
    let (mut watch, mut transport) = (EndpointWatch::new(address(1), 41), FakeTransport::default());
    watch.on_tick(at(0), &mut transport);
    watch.on_connected(at(1), ConnectionId(1), &mut transport);
    assert!(transport.written[0].1.starts_with("GET /registry/instances?after=41&wait_ms="));
    let body = r#"{"generation":43,"reset":false,"instances":[]}"#;
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (head, rest) = response.split_at(30);
    assert_eq!(watch.on_bytes(at(2), ConnectionId(1), head.as_bytes(), &mut transport), Ok(None));
    let list = watch.on_bytes(at(3), ConnectionId(1), rest.as_bytes(), &mut transport).unwrap().unwrap();
    assert_eq!(list.version, 43);
    assert!(transport.written[1].1.contains("after=43"));
    let timeout = watch.next_timeout();
    assert!(timeout <= at(3) + Duration::from_secs(5));
    watch.on_tick(timeout, &mut transport);
    assert_eq!((transport.closed.clone(), transport.connected.len()), (vec![ConnectionId(1)], 2));
    watch.set_address(timeout, address(2), &mut transport);
    assert_eq!(transport.connected.last(), Some(&address(2)));
    watch.on_connected(timeout, ConnectionId(3), &mut transport);
    assert!(watch
        .on_bytes(timeout, ConnectionId(3), b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", &mut transport)
        .is_err());
    watch.on_tick(watch.next_timeout(), &mut transport);
    assert_eq!(transport.connected.len(), 4);
}

/// The agent's address changes while a request is in flight, and the old agent responds afterwards. Its response is
/// ignored, and the new agent is polled immediately for changes after the last version read. A snapshot with an older
/// version is accepted.
#[test]
fn watch_ignores_the_old_agent_after_an_address_change_and_accepts_an_older_version() {
    let (mut watch, mut transport) = (EndpointWatch::new(address(1), 41), FakeTransport::default());
    watch.on_tick(at(0), &mut transport);
    watch.on_connected(at(0), ConnectionId(1), &mut transport);
    watch.set_address(at(10), address(2), &mut transport);
    assert_eq!(
        (&transport.closed[..], transport.connected.last()),
        (&[ConnectionId(1)][..], Some(&address(2)))
    );
    let response = |generation: u64| {
        let body = format!(r#"{{"generation":{generation},"reset":true,"instances":[]}}"#);
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    // The old agent's response and the close of its connection arrive after the address change.
    assert_eq!(watch.on_bytes(at(11), ConnectionId(1), response(50).as_bytes(), &mut transport), Ok(None));
    watch.on_closed(at(11), ConnectionId(1));
    watch.on_connected(at(12), ConnectionId(2), &mut transport);
    assert!(transport.written[1].1.contains("after=41"), "{:?}", transport.written);
    let list =
        watch.on_bytes(at(13), ConnectionId(2), response(7).as_bytes(), &mut transport).unwrap().unwrap();
    assert_eq!((list.version, list.is_snapshot), (7, true));
    assert!(transport.written[2].1.contains("after=7"), "{:?}", transport.written);
}

/// An agent that answers every request immediately and without changes is polled twenty times a second, which is often
/// enough to keep the watch, whether or not it closes the connection after each response. After a change or a long poll
/// it is polled again immediately.
#[test]
fn watch_delays_the_next_poll_after_an_immediate_response_without_changes() {
    for header in ["", "Connection: close\r\n"] {
        let (mut watch, mut transport) = (EndpointWatch::new(address(1), 41), FakeTransport::default());
        let respond =
            |watch: &mut EndpointWatch, transport: &mut FakeTransport, now: u64, generation: u64| {
                let body = format!(r#"{{"generation":{generation},"reset":false,"instances":[]}}"#);
                let text = format!("HTTP/1.1 200 OK\r\n{header}Content-Length: {}\r\n\r\n{body}", body.len());
                let connection = ConnectionId(transport.connected.len() as u64);
                assert!(watch.on_bytes(at(now), connection, text.as_bytes(), transport).unwrap().is_some());
            };
        // Every connection is established as soon as it is requested.
        let tick = |watch: &mut EndpointWatch, transport: &mut FakeTransport, now: u64| {
            let connections = transport.connected.len();
            watch.on_tick(at(now), transport);
            if transport.connected.len() > connections || transport.written.is_empty() {
                watch.on_connected(at(now), ConnectionId(transport.connected.len() as u64), transport);
            }
        };
        let mut request_times = vec![];
        for now in 0..1000 {
            let before = transport.written.len();
            tick(&mut watch, &mut transport, now);
            if transport.written.len() > before {
                request_times.push(now);
                respond(&mut watch, &mut transport, now, 41);
            }
        }
        assert_eq!(request_times.len(), 20, "{request_times:?}");
        let before = transport.written.len();
        tick(&mut watch, &mut transport, 1000);
        assert_eq!(transport.written.len(), before + 1);
        respond(&mut watch, &mut transport, 1001, 42);
        tick(&mut watch, &mut transport, 1001);
        if !header.is_empty() {
            watch.on_connected(at(1001), ConnectionId(transport.connected.len() as u64), &mut transport);
        }
        assert_eq!(transport.written.len(), before + 2, "polled again immediately after a change");
        respond(&mut watch, &mut transport, 5001, 42);
        if !header.is_empty() {
            watch.on_connected(at(5001), ConnectionId(transport.connected.len() as u64), &mut transport);
        }
        assert_eq!(transport.written.len(), before + 3, "polled again immediately after a long poll");
    }
}

/// Answers the watch's request on the newest connection with a change to this version.
fn answer(
    watch: &mut EndpointWatch,
    transport: &mut FakeTransport,
    now: u64,
    version: u64,
) -> Result<bool, EndpointListError> {
    let text = list_response(version);
    let connection = transport.newest();
    watch.on_bytes(at(now), connection, text.as_bytes(), transport).map(|list| list.is_some())
}

fn list_response(version: u64) -> String {
    let body = format!(r#"{{"generation":{version},"reset":true,"instances":[]}}"#);
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn connected_watch(transport: &mut FakeTransport) -> EndpointWatch {
    let mut watch = EndpointWatch::new(address(1), 40);
    watch.on_tick(at(0), transport);
    watch.on_connected(at(0), transport.newest(), transport);
    watch
}

/// Guards against the copy of an older list, behind a newer one: an endpoint that drains would count as serving again.
#[test]
fn list_older_than_the_one_before_on_its_connection_is_rejected_and_requested_again() {
    let mut transport = FakeTransport::default();
    let mut watch = connected_watch(&mut transport);
    assert_eq!(answer(&mut watch, &mut transport, 5, 41), Ok(true));
    assert_eq!(answer(&mut watch, &mut transport, 10, 42), Ok(true));
    let outdated = EndpointListError::Outdated { version: 41, known: 42 };
    assert_eq!(answer(&mut watch, &mut transport, 12, 41), Err(outdated));
    assert_eq!(transport.closed, [ConnectionId(1)]);
    watch.on_tick(at(62), &mut transport);
    watch.on_connected(at(62), ConnectionId(2), &mut transport);
    assert!(transport.written.last().unwrap().1.contains("after=42"));
    // On a new connection discovery may have started anew.
    assert_eq!(answer(&mut watch, &mut transport, 70, 3), Ok(true));
}

/// A copy of the last list answers the next request early and without a change. The true response to that request must not
/// be taken for the response to the one after it.
#[test]
fn connection_of_the_watch_is_closed_after_a_copy_of_a_list() {
    // In the read of the list, and later, when the next request is in flight.
    for in_the_same_read in [true, false] {
        let mut transport = FakeTransport::default();
        let mut watch = connected_watch(&mut transport);
        let list = list_response(41);
        let first = if in_the_same_read { list.repeat(2) } else { list.clone() };
        assert!(watch.on_bytes(at(5), ConnectionId(1), first.as_bytes(), &mut transport).unwrap().is_some());
        if !in_the_same_read {
            assert!(watch
                .on_bytes(at(6), ConnectionId(1), list.as_bytes(), &mut transport)
                .unwrap()
                .is_some());
        }
        assert_eq!(transport.closed, [ConnectionId(1)]);
        watch.on_tick(at(56), &mut transport);
        watch.on_connected(at(56), ConnectionId(2), &mut transport);
        assert!(transport.written.last().unwrap().1.contains("after=41"));
        assert_eq!((transport.written.last().unwrap().0, transport.connected.len()), (ConnectionId(2), 2));
    }
}
