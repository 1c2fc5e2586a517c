//! The watch of the endpoint list on a list of what it did to connections.

use crate::support::{address, at, FakeTransport};
use cloverstile_platform::endpoint_watch::EndpointWatch;
use cloverstile_platform::ConnectionId;
use std::time::Duration;

#[test]
fn watch_asks_again_after_each_response_and_replaces_a_silent_connection() {
    let (mut watch, mut transport) = (EndpointWatch::new(address(1), 41), FakeTransport::default());
    watch.on_tick(at(0), &mut transport);
    watch.on_connected(at(1), ConnectionId(1), &mut transport);
    assert!(transport.written[0].1.starts_with("GET /registry/instances?after=41&wait_ms="));
    let body = r#"{"generation":43,"reset":false,"instances":[]}"#;
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (head, rest) = answer.split_at(30);
    assert_eq!(watch.on_bytes(at(2), ConnectionId(1), head.as_bytes(), &mut transport), Ok(None));
    let list = watch.on_bytes(at(3), ConnectionId(1), rest.as_bytes(), &mut transport).unwrap().unwrap();
    assert_eq!(list.version, 43);
    assert!(transport.written[1].1.contains("after=43"));
    let silent = watch.next_timeout();
    assert!(silent <= at(3) + Duration::from_secs(5));
    watch.on_tick(silent, &mut transport);
    assert_eq!((transport.closed.clone(), transport.connected.len()), (vec![ConnectionId(1)], 2));
    watch.set_address(silent, address(2), &mut transport);
    assert_eq!(transport.connected.last(), Some(&address(2)));
    watch.on_connected(silent, ConnectionId(3), &mut transport);
    assert!(watch
        .on_bytes(silent, ConnectionId(3), b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", &mut transport)
        .is_err());
    watch.on_tick(watch.next_timeout(), &mut transport);
    assert_eq!(transport.connected.len(), 4);
}

/// The agent moves while a request is in flight, and the old one responds after that: its response is ignored, and the new
/// agent is asked at once, for what is newer than the version read last. A snapshot of an older version is accepted.
#[test]
fn watch_ignores_the_old_agent_after_a_move_and_accepts_an_older_version() {
    let (mut watch, mut transport) = (EndpointWatch::new(address(1), 41), FakeTransport::default());
    watch.on_tick(at(0), &mut transport);
    watch.on_connected(at(0), ConnectionId(1), &mut transport);
    watch.set_address(at(10), address(2), &mut transport);
    assert_eq!(
        (&transport.closed[..], transport.connected.last()),
        (&[ConnectionId(1)][..], Some(&address(2)))
    );
    let answer = |generation: u64| {
        let body = format!(r#"{{"generation":{generation},"reset":true,"instances":[]}}"#);
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    // The old agent's response and the end of its connection arrive after the move.
    assert_eq!(watch.on_bytes(at(11), ConnectionId(1), answer(50).as_bytes(), &mut transport), Ok(None));
    watch.on_closed(at(11), ConnectionId(1));
    watch.on_connected(at(12), ConnectionId(2), &mut transport);
    assert!(transport.written[1].1.contains("after=41"), "{:?}", transport.written);
    let list =
        watch.on_bytes(at(13), ConnectionId(2), answer(7).as_bytes(), &mut transport).unwrap().unwrap();
    assert_eq!((list.version, list.is_snapshot), (7, true));
    assert!(transport.written[2].1.contains("after=7"), "{:?}", transport.written);
}

/// An agent that answers every request at once without changes, on a connection that stays or not, is asked twenty times a
/// second, which keeps the watch; after a change, or a long poll, it is asked again at once.
#[test]
fn watch_pauses_before_asking_an_agent_that_answers_at_once_without_changes() {
    for header in ["", "Connection: close\r\n"] {
        let (mut watch, mut transport) = (EndpointWatch::new(address(1), 41), FakeTransport::default());
        let answer = |watch: &mut EndpointWatch, transport: &mut FakeTransport, now: u64, generation: u64| {
            let body = format!(r#"{{"generation":{generation},"reset":false,"instances":[]}}"#);
            let text = format!("HTTP/1.1 200 OK\r\n{header}Content-Length: {}\r\n\r\n{body}", body.len());
            let connection = ConnectionId(transport.connected.len() as u64);
            assert!(watch.on_bytes(at(now), connection, text.as_bytes(), transport).unwrap().is_some());
        };
        // A connection is established as soon as it is requested.
        let tick = |watch: &mut EndpointWatch, transport: &mut FakeTransport, now: u64| {
            let asked = transport.connected.len();
            watch.on_tick(at(now), transport);
            if transport.connected.len() > asked || transport.written.is_empty() {
                watch.on_connected(at(now), ConnectionId(transport.connected.len() as u64), transport);
            }
        };
        let mut request_times = vec![];
        for now in 0..1000 {
            let before = transport.written.len();
            tick(&mut watch, &mut transport, now);
            if transport.written.len() > before {
                request_times.push(now);
                answer(&mut watch, &mut transport, now, 41);
            }
        }
        assert_eq!(request_times.len(), 20, "{request_times:?}");
        let before = transport.written.len();
        tick(&mut watch, &mut transport, 1000);
        assert_eq!(transport.written.len(), before + 1);
        answer(&mut watch, &mut transport, 1001, 42);
        tick(&mut watch, &mut transport, 1001);
        if !header.is_empty() {
            watch.on_connected(at(1001), ConnectionId(transport.connected.len() as u64), &mut transport);
        }
        assert_eq!(transport.written.len(), before + 2, "asked again at once after a change");
        answer(&mut watch, &mut transport, 5001, 42);
        if !header.is_empty() {
            watch.on_connected(at(5001), ConnectionId(transport.connected.len() as u64), &mut transport);
        }
        assert_eq!(transport.written.len(), before + 3, "asked again at once after a long poll");
    }
}
