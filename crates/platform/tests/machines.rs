//! Calls, notices, watch, clients and stopping on a list of what they did to connections.

use cloverstile::{EndpointId, MessageId, OrderKey, Time};
use cloverstile_engine::{Attempt, TransportOutcome};
use cloverstile_platform::client_sessions::{ClientSessions, Disconnect, DisconnectReason, ReceivedCommands};
use cloverstile_platform::endpoint_watch::EndpointWatch;
use cloverstile_platform::notifications::{
    Notification, NotificationStatus, Notifications, SettledNotifications,
};
use cloverstile_platform::requests::{ConnectionLimits, Requests, RetryAfter};
use cloverstile_platform::response::ReportFields;
use cloverstile_platform::shutdown::{GracefulShutdown, PendingWork, ShutdownPhase};
use cloverstile_platform::{ConnectionId, Transport};
use cloverstile_resp::command;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Default)]
struct Fake {
    connected: Vec<SocketAddr>,
    written: Vec<(ConnectionId, String)>,
    ended: Vec<ConnectionId>,
    closed: Vec<ConnectionId>,
}

impl Transport for Fake {
    fn connect(&mut self, to: SocketAddr) -> ConnectionId {
        self.connected.push(to);
        ConnectionId(self.connected.len() as u64)
    }
    fn write(&mut self, wire: ConnectionId, bytes: &[u8]) {
        self.written.push((wire, String::from_utf8_lossy(bytes).into_owned()));
    }
    fn shutdown_write(&mut self, wire: ConnectionId) {
        self.ended.push(wire);
    }
    fn close(&mut self, wire: ConnectionId) {
        self.closed.push(wire);
    }
}

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn attempt(message: u32) -> Attempt {
    Attempt { message: MessageId(message), number: 0 }
}

const E: EndpointId = EndpointId(5);
const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn calls(most: usize) -> Requests {
    let (connect_timeout, idle_timeout) = (Duration::from_secs(1), Duration::from_secs(10));
    Requests::new(ConnectionLimits {
        connect_timeout,
        idle_timeout,
        max_connections: most,
        report_fields: ReportFields::default(),
    })
}

/// A call sent on a new connection, which is its number.
fn sent(calls: &mut Requests, wires: &mut Fake, now: Time, message: u32) -> ConnectionId {
    calls.connect(now, attempt(message), E, address(1), wires);
    let wire = ConnectionId(wires.connected.len() as u64);
    calls.on_connected(wire);
    assert_eq!(calls.take_connected(), [attempt(message)]);
    whole(calls, wires, now, message);
    wire
}

/// The call's bytes, and behind them its last one.
fn whole(calls: &mut Requests, wires: &mut Fake, now: Time, message: u32) {
    calls.send_all_but_last_byte(now, attempt(message), b"call", wires);
    calls.on_tick(now + Duration::from_millis(1), wires);
    assert_eq!(calls.take_ready_to_commit(), [attempt(message)]);
    calls.commit(attempt(message), wires);
    let last: Vec<&str> = wires.written.iter().rev().take(2).map(|(_, text)| text.as_str()).collect();
    assert_eq!(last, ["l", "cal"]);
}

fn retry_after(milliseconds: u64) -> RetryAfter {
    RetryAfter { endpoint: E, delay: Duration::from_millis(milliseconds) }
}

fn ended(calls: &mut Requests) -> Vec<(u32, TransportOutcome)> {
    calls.take_completed().into_iter().map(|ended| (ended.attempt.message.0, ended.result.outcome)).collect()
}

#[test]
fn a_break_before_the_last_byte_never_ran_and_after_it_may_have() {
    let (mut calls, mut wires) = (calls(9), Fake::default());
    calls.connect(at(0), attempt(1), E, address(1), &mut wires);
    calls.on_closed(at(0), ConnectionId(1), false, &mut wires);
    assert_eq!(ended(&mut calls), [(1, TransportOutcome::ConnectFailed)]);
    let wire = sent(&mut calls, &mut wires, at(0), 2);
    calls.on_closed(at(0), wire, false, &mut wires);
    assert_eq!(ended(&mut calls), [(2, TransportOutcome::ConnectFailed)]);
    for clean in [false, true] {
        let wire = sent(&mut calls, &mut wires, at(0), 3);
        calls.on_flushed(wire);
        calls.on_closed(at(0), wire, clean, &mut wires);
        assert_eq!(ended(&mut calls), [(3, TransportOutcome::Reset)]);
    }
    calls.connect(at(0), attempt(4), E, address(1), &mut wires);
    calls.on_tick(at(999), &mut wires);
    assert_eq!(ended(&mut calls), []);
    calls.on_tick(at(1000), &mut wires);
    assert_eq!(ended(&mut calls), [(4, TransportOutcome::ConnectFailed)]);
    assert_eq!((calls.in_flight(), calls.connections()), (0, 0));
}

#[test]
fn one_call_at_a_time_travels_on_a_connection_and_it_is_closed_before_the_other_side_would() {
    let (mut calls, mut wires) = (calls(9), Fake::default());
    let wire = sent(&mut calls, &mut wires, at(0), 1);
    calls.on_flushed(wire);
    calls.on_bytes(at(10), wire, OK, &mut wires);
    assert_eq!(ended(&mut calls), [(1, TransportOutcome::Processed)]);
    calls.connect(at(20), attempt(2), E, address(1), &mut wires);
    calls.connect(at(20), attempt(3), E, address(1), &mut wires);
    assert_eq!(calls.take_connected(), [attempt(2)]);
    assert_eq!(wires.connected.len(), 2);
    whole(&mut calls, &mut wires, at(20), 2);
    calls.on_flushed(wire);
    calls.on_bytes(at(30), wire, OK, &mut wires);
    assert_eq!(calls.next_timeout(), Some(at(1020)));
    calls.on_tick(at(1020), &mut wires);
    assert!(!wires.closed.contains(&wire));
    calls.on_tick(at(7030), &mut wires);
    assert!(wires.closed.contains(&wire), "closed by us at 0.7 of the ten seconds");
}

#[test]
fn a_connection_with_bytes_that_nobody_asked_for_is_of_no_use() {
    let (mut calls, mut wires) = (calls(9), Fake::default());
    let wire = sent(&mut calls, &mut wires, at(0), 1);
    calls.on_flushed(wire);
    calls.on_bytes(at(1), wire, OK, &mut wires);
    calls.on_bytes(at(2), wire, OK, &mut wires);
    assert_eq!(wires.closed, [wire]);
    // Between its choice and its writing it is no better: the second copy would answer the next call.
    let wire = sent(&mut calls, &mut wires, at(3), 2);
    calls.on_flushed(wire);
    calls.on_bytes(at(4), wire, OK, &mut wires);
    calls.connect(at(5), attempt(3), E, address(1), &mut wires);
    calls.on_bytes(at(5), wire, OK, &mut wires);
    ended(&mut calls);
    // The attempt goes on with a new connection.
    assert_eq!((calls.take_connected(), calls.in_flight(), wires.connected.len()), (vec![], 1, 3));
}

/// Seen on sockets (wide+reset+stale): of 4,255 calls 231 were written to connections that were closed by then, and what
/// may not be repeated was lost with them. The reset came within 0.3 ms of the first bytes.
#[test]
fn a_kept_connection_that_was_closed_costs_no_attempt() {
    let (mut calls, mut wires) = (calls(9), Fake::default());
    let kept = sent(&mut calls, &mut wires, at(0), 1);
    calls.on_flushed(kept);
    calls.on_bytes(at(5), kept, OK, &mut wires);
    ended(&mut calls);
    calls.connect(at(50), attempt(2), E, address(1), &mut wires);
    calls.take_connected();
    calls.send_all_but_last_byte(at(50), attempt(2), b"call", &mut wires);
    calls.on_flushed(kept);
    // All bytes but the last are with the system, and the call has not begun.
    calls.on_closed(at(51), kept, false, &mut wires);
    assert_eq!((ended(&mut calls), wires.connected.len()), (vec![], 2));
    calls.on_tick(at(60), &mut wires);
    assert_eq!(calls.take_ready_to_commit(), []);
    // On a new one the same is a failure to connect, which never ran.
    calls.on_connected(ConnectionId(2));
    calls.take_connected();
    calls.send_all_but_last_byte(at(61), attempt(2), b"call", &mut wires);
    calls.on_closed(at(61), ConnectionId(2), false, &mut wires);
    assert_eq!(ended(&mut calls), [(2, TransportOutcome::ConnectFailed)]);
}

#[test]
fn a_call_that_the_log_does_not_have_leaves_with_its_connection() {
    let (mut calls, mut wires) = (calls(9), Fake::default());
    calls.connect(at(0), attempt(1), E, address(1), &mut wires);
    calls.on_connected(ConnectionId(1));
    calls.take_connected();
    calls.send_all_but_last_byte(at(0), attempt(1), b"call", &mut wires);
    calls.on_tick(at(1), &mut wires);
    assert_eq!(calls.take_ready_to_commit(), [attempt(1)]);
    calls.discard_uncommitted(attempt(1), &mut wires);
    calls.commit(attempt(1), &mut wires);
    assert_eq!(
        (ended(&mut calls), wires.closed),
        (vec![(1, TransportOutcome::Unsent)], vec![ConnectionId(1)])
    );
    assert_eq!(wires.written.len(), 1);
}

#[test]
fn an_abandoned_call_takes_its_connection_with_it() {
    let (mut calls, mut wires) = (calls(9), Fake::default());
    let wire = sent(&mut calls, &mut wires, at(0), 1);
    calls.abandon(at(0), attempt(1), &mut wires);
    assert_eq!((wires.closed.clone(), calls.in_flight(), ended(&mut calls)), (vec![wire], 0, vec![]));
    calls.connect(at(1), attempt(2), E, address(1), &mut wires);
    assert_eq!(wires.connected.len(), 2);
}

/// A call that left whole is given up: its connection is none for others, and is closed a second later at the latest, or
/// where room is needed; until then a wait that comes is heard, from an endpoint that left the list as well.
#[test]
fn a_call_given_up_still_hears_the_wait_that_was_on_its_way() {
    let wait = b"HTTP/1.1 429 Wait\r\nRetry-After: 0.7\r\nContent-Length: 9\r\n\r\nhalf";
    for bytes in [&wait[..], OK, b"noise"] {
        let (mut calls, mut wires) = (calls(1), Fake::default());
        let wire = sent(&mut calls, &mut wires, at(0), 1);
        calls.on_flushed(wire);
        calls.abandon(at(500), attempt(1), &mut wires);
        assert_eq!((&wires.ended[..], wires.closed.len(), calls.in_flight()), (&[wire][..], 0, 0));
        calls.retain_listed(|_| None, &mut wires);
        calls.close_idle(E, &mut wires);
        calls.on_bytes(at(600), wire, bytes, &mut wires);
        let told: Vec<_> = (bytes == wait).then_some(retry_after(700)).into_iter().collect();
        assert_eq!((calls.take_retry_after(), ended(&mut calls)), (told, vec![]));
        assert_eq!((&wires.closed[..], calls.connections()), (&[wire][..], 0));
    }
    let (mut calls, mut wires) = (calls(1), Fake::default());
    for message in [1, 2] {
        let wire = sent(&mut calls, &mut wires, at(0), message);
        calls.on_flushed(wire);
        calls.abandon(at(500), attempt(message), &mut wires);
    }
    assert_eq!(wires.closed, [ConnectionId(1)], "there was room for one");
    assert_eq!(calls.next_timeout(), Some(at(1500)));
    calls.on_tick(at(1500), &mut wires);
    assert_eq!((calls.connections(), ended(&mut calls)), (0, vec![]));
}

#[test]
fn idle_connections_go_where_the_list_moves_or_room_is_needed() {
    let (mut calls, mut wires) = (calls(2), Fake::default());
    for message in [1, 2] {
        let wire = sent(&mut calls, &mut wires, at(0), message);
        calls.on_flushed(wire);
    }
    calls.connect(at(0), attempt(3), E, address(1), &mut wires);
    assert_eq!(ended(&mut calls), [(3, TransportOutcome::Unsent)]);
    calls.on_bytes(at(1), ConnectionId(1), OK, &mut wires);
    calls.connect(at(2), attempt(4), EndpointId(6), address(2), &mut wires);
    assert_eq!((wires.closed.clone(), calls.connections()), (vec![ConnectionId(1)], 2));
    calls.on_bytes(at(3), ConnectionId(2), OK, &mut wires);
    calls.retain_listed(|_| Some(address(1)), &mut wires);
    assert_eq!(calls.connections(), 2);
    calls.retain_listed(|_| Some(address(9)), &mut wires);
    assert_eq!(wires.closed, [ConnectionId(1), ConnectionId(2)]);
}

fn notice(id: &str, failed: bool, key: u64) -> Notification {
    let status = match failed {
        true => NotificationStatus::Undeliverable,
        false => NotificationStatus::Deferred { retry_after_ms: Some(40) },
    };
    Notification { message_id: id.into(), status, order_key: Some(OrderKey(key)) }
}

const DONE: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

#[test]
fn notices_are_told_until_answered_and_hold_their_keys() {
    let (mut notices, mut wires) = (Notifications::new(address(1)), Fake::default());
    assert_eq!(notices.next_timeout(), None);
    notices.enqueue(7, notice("a", true, 3));
    notices.enqueue(8, notice("b", false, 4));
    notices.on_tick(at(0), &mut wires);
    notices.on_connected(at(1), ConnectionId(1));
    notices.on_tick(at(1), &mut wires);
    let lines = "{\"id\":\"a\",\"status\":\"undeliverable\"}\n{\"again_ms\":40,\"id\":\"b\",\"status\":\"deferred\"}\n";
    assert!(wires.written[0].1.ends_with(lines), "{}", wires.written[0].1);
    // It breaks: told again on a new connection.
    notices.on_closed(at(2), ConnectionId(1));
    notices.on_tick(at(60), &mut wires);
    notices.on_connected(at(61), ConnectionId(2));
    notices.on_tick(at(61), &mut wires);
    assert!(notices.is_key_blocked(OrderKey(3)) && notices.is_key_blocked(OrderKey(4)));
    let settled = SettledNotifications { acknowledged: vec![7, 8], rejected: vec![] };
    assert_eq!(notices.on_bytes(at(62), ConnectionId(2), DONE, &mut wires), settled);
    assert!(notices.is_empty() && !notices.is_key_blocked(OrderKey(3)));
}

#[test]
fn a_notice_that_can_t_be_read_does_not_keep_the_others() {
    let (mut notices, mut wires) = (Notifications::new(address(1)), Fake::default());
    (1..=2).for_each(|number| notices.enqueue(number, notice(&format!("n{number}"), true, 0)));
    let (mut done, mut refused) = (vec![], vec![]);
    for round in 0..8u64 {
        let now = at(round * 100);
        notices.on_tick(now, &mut wires);
        let wire = ConnectionId(wires.connected.len() as u64);
        notices.on_connected(now, wire);
        notices.on_tick(now, &mut wires);
        let bad = wires.written.last().unwrap().1.contains("n1");
        let answer = if bad { &b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n"[..] } else { DONE };
        let settled = notices.on_bytes(now, wire, answer, &mut wires);
        done.extend(settled.acknowledged);
        refused.extend(settled.rejected);
        if notices.is_empty() {
            break;
        }
    }
    assert_eq!((done, refused), (vec![2], vec![1]));
}

#[test]
fn notices_not_answered_go_to_the_new_address() {
    let (mut notices, mut wires) = (Notifications::new(address(1)), Fake::default());
    notices.enqueue(1, notice("a", true, 3));
    notices.on_tick(at(0), &mut wires);
    notices.on_connected(at(0), ConnectionId(1));
    notices.on_tick(at(0), &mut wires);
    notices.set_address(at(1), address(2), &mut wires);
    notices.on_tick(at(1), &mut wires);
    assert_eq!(
        (wires.connected.clone(), wires.closed),
        (vec![address(1), address(2)], vec![ConnectionId(1)])
    );
}

#[test]
fn the_watch_asks_again_in_the_turn_of_the_answer_and_gives_up_what_is_silent() {
    let (mut watch, mut wires) = (EndpointWatch::new(address(1), 41), Fake::default());
    watch.on_tick(at(0), &mut wires);
    watch.on_connected(at(1), ConnectionId(1), &mut wires);
    assert!(wires.written[0].1.starts_with("GET /registry/instances?after=41&wait_ms="));
    let body = r#"{"generation":43,"reset":false,"instances":[]}"#;
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (head, rest) = answer.split_at(30);
    assert_eq!(watch.on_bytes(at(2), ConnectionId(1), head.as_bytes(), &mut wires), Ok(None));
    let told = watch.on_bytes(at(3), ConnectionId(1), rest.as_bytes(), &mut wires).unwrap().unwrap();
    assert_eq!(told.version, 43);
    assert!(wires.written[1].1.contains("after=43"));
    let silent = watch.next_timeout();
    assert!(silent <= at(3) + Duration::from_secs(5));
    watch.on_tick(silent, &mut wires);
    assert_eq!((wires.closed.clone(), wires.connected.len()), (vec![ConnectionId(1)], 2));
    watch.set_address(silent, address(2), &mut wires);
    assert_eq!(wires.connected.last(), Some(&address(2)));
    watch.on_connected(silent, ConnectionId(3), &mut wires);
    assert!(watch
        .on_bytes(silent, ConnectionId(3), b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", &mut wires)
        .is_err());
    watch.on_tick(watch.next_timeout(), &mut wires);
    assert_eq!(wires.connected.len(), 4);
}

/// Discovery moves while a question is out, and the old agent answers after that: it tells nothing any more, and the new one
/// is asked at once, from where the old one had come. One that is behind and tells the whole list is taken at its word.
#[test]
fn an_old_agent_that_answers_after_a_move_tells_nothing_and_one_that_is_behind_counts() {
    let (mut watch, mut wires) = (EndpointWatch::new(address(1), 41), Fake::default());
    watch.on_tick(at(0), &mut wires);
    watch.on_connected(at(0), ConnectionId(1), &mut wires);
    watch.set_address(at(10), address(2), &mut wires);
    assert_eq!((&wires.closed[..], wires.connected.last()), (&[ConnectionId(1)][..], Some(&address(2))));
    let answer = |generation: u64| {
        let body = format!(r#"{{"generation":{generation},"reset":true,"instances":[]}}"#);
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    // The old agent's answer, and the end of its connection, come crosswise.
    assert_eq!(watch.on_bytes(at(11), ConnectionId(1), answer(50).as_bytes(), &mut wires), Ok(None));
    watch.on_closed(at(11), ConnectionId(1));
    watch.on_connected(at(12), ConnectionId(2), &mut wires);
    assert!(wires.written[1].1.contains("after=41"), "{:?}", wires.written);
    let told = watch.on_bytes(at(13), ConnectionId(2), answer(7).as_bytes(), &mut wires).unwrap().unwrap();
    assert_eq!((told.version, told.is_snapshot), (7, true));
    assert!(wires.written[2].1.contains("after=7"), "{:?}", wires.written);
}

/// An agent that answers every question at once, with nothing, on a connection that stays or not: it is asked twenty times a
/// second, which keeps the watch; news, and a wait that was one, are followed at once.
#[test]
fn an_agent_that_answers_at_once_with_nothing_is_not_asked_without_a_pause() {
    for header in ["", "Connection: close\r\n"] {
        let (mut watch, mut wires) = (EndpointWatch::new(address(1), 41), Fake::default());
        let answer = |watch: &mut EndpointWatch, wires: &mut Fake, now: u64, generation: u64| {
            let body = format!(r#"{{"generation":{generation},"reset":false,"instances":[]}}"#);
            let text = format!("HTTP/1.1 200 OK\r\n{header}Content-Length: {}\r\n\r\n{body}", body.len());
            let wire = ConnectionId(wires.connected.len() as u64);
            assert!(watch.on_bytes(at(now), wire, text.as_bytes(), wires).unwrap().is_some());
        };
        // A connection is there as soon as it is asked for.
        let go_on = |watch: &mut EndpointWatch, wires: &mut Fake, now: u64| {
            let asked = wires.connected.len();
            watch.on_tick(at(now), wires);
            if wires.connected.len() > asked || wires.written.is_empty() {
                watch.on_connected(at(now), ConnectionId(wires.connected.len() as u64), wires);
            }
        };
        let mut questions = vec![];
        for now in 0..1000 {
            let before = wires.written.len();
            go_on(&mut watch, &mut wires, now);
            if wires.written.len() > before {
                questions.push(now);
                answer(&mut watch, &mut wires, now, 41);
            }
        }
        assert_eq!(questions.len(), 20, "{questions:?}");
        let before = wires.written.len();
        go_on(&mut watch, &mut wires, 1000);
        assert_eq!(wires.written.len(), before + 1);
        answer(&mut watch, &mut wires, 1001, 42);
        go_on(&mut watch, &mut wires, 1001);
        if !header.is_empty() {
            watch.on_connected(at(1001), ConnectionId(wires.connected.len() as u64), &mut wires);
        }
        assert_eq!(wires.written.len(), before + 2, "news are followed at once");
        answer(&mut watch, &mut wires, 5001, 42);
        if !header.is_empty() {
            watch.on_connected(at(5001), ConnectionId(wires.connected.len() as u64), &mut wires);
        }
        assert_eq!(wires.written.len(), before + 3, "a wait that was one is followed at once");
    }
}

fn disconnect(connection: u64, reason: DisconnectReason) -> Disconnect {
    Disconnect { connection: ConnectionId(connection), reason }
}

#[test]
fn clients_that_say_nothing_stay_in_the_middle_or_crowd_are_closed() {
    let mut guests = ClientSessions::new(2);
    let ping = command(&["PING"]);
    assert_eq!(guests.accept(at(0), ConnectionId(1)), None);
    assert_eq!(guests.on_bytes(at(1), ConnectionId(1), &ping).commands.len(), 1);
    guests.accept(at(2), ConnectionId(2));
    // Who rests goes for a new one, and only then who has not asked yet.
    assert_eq!(guests.accept(at(500), ConnectionId(3)), Some(ConnectionId(1)));
    assert_eq!(guests.accept(at(500), ConnectionId(4)), Some(ConnectionId(2)));
    guests.on_bytes(at(510), ConnectionId(3), &ping[..5]);
    let due = guests.next_timeout().unwrap();
    assert!(due <= at(510) + Duration::from_millis(2500));
    assert_eq!(guests.on_tick(due), [disconnect(3, DisconnectReason::CommandTimeout)]);
    assert_eq!(
        guests.on_tick(at(500) + Duration::from_millis(2900)),
        [disconnect(4, DisconnectReason::IdleTimeout)]
    );
    // A byte now and then does not make half a command last.
    guests.accept(at(5000), ConnectionId(5));
    (0..5).for_each(|n| {
        drop(guests.on_bytes(at(5000 + n * 300), ConnectionId(5), &ping[n as usize..=n as usize]))
    });
    assert!(guests.on_tick(at(6400)).contains(&disconnect(5, DisconnectReason::CommandTimeout)));
}

/// Incident r636949, 0.00: 211 clients that had asked once held their connections, so that of those who never spoke the
/// one that had just come was the only one; 7,483 were closed in the turn of their coming, and their requests failed.
/// Others connected up to seconds ahead of their first request.
#[test]
fn a_crowd_that_holds_its_connections_does_not_keep_new_clients_out() {
    let mut guests = ClientSessions::new(50);
    let ping = command(&["PING"]);
    for number in 0..50 {
        guests.accept(at(number), ConnectionId(number));
        guests.on_bytes(at(number), ConnectionId(number), &ping);
    }
    guests.accept(at(51), ConnectionId(1000));
    for number in 50..500 {
        // Several come in one turn, before any of their bytes are read.
        let leaves = guests.accept(at(100 + number / 10), ConnectionId(number));
        assert_eq!(leaves, Some(ConnectionId(number - 49)));
        if number % 10 == 9 {
            (number - 9..=number)
                .for_each(|number| drop(guests.on_bytes(at(100 + number / 10), ConnectionId(number), &ping)));
        }
    }
    assert!(guests.owns(ConnectionId(1000)), "its first request is yet to come");
}

#[test]
fn what_can_t_be_read_or_comes_by_the_hundred_is_closed_behind_what_was_good() {
    let mut guests = ClientSessions::new(9);
    guests.accept(at(0), ConnectionId(1));
    let ReceivedCommands { commands: good, disconnect: why } =
        guests.on_bytes(at(1), ConnectionId(1), &[command(&["PING"]), b"noise".to_vec()].concat());
    assert!(
        good.len() == 1
            && matches!(why, Some(DisconnectReason::ProtocolError(_)))
            && !guests.owns(ConnectionId(1))
    );
    guests.accept(at(0), ConnectionId(2));
    let ReceivedCommands { commands: good, disconnect: why } =
        guests.on_bytes(at(1), ConnectionId(2), &command(&["PING"]).repeat(500));
    assert!(good.len() < 500 && why == Some(DisconnectReason::TooManyCommands));
}

#[test]
fn a_stop_listens_on_delivers_waits_and_ends_in_time() {
    let leaving = GracefulShutdown::new(at(1000));
    let busy = PendingWork { messages: 5, requests: 2, ..PendingWork::default() };
    let stage = |ms: u64, left| leaving.phase(at(1000 + ms), left);
    assert_eq!(stage(100, PendingWork::default()), ShutdownPhase::Accepting);
    assert_eq!(stage(1000, busy), ShutdownPhase::Draining);
    assert_eq!(stage(1000, PendingWork::default()), ShutdownPhase::Finished);
    assert_eq!(stage(2500, busy), ShutdownPhase::AwaitingResponses);
    assert_eq!(stage(2500, PendingWork { requests: 0, ..busy }), ShutdownPhase::Finished);
    // A client whose first request is on its way is waited for, as long as there is time.
    assert_eq!(stage(1000, PendingWork { clients: 1, ..PendingWork::default() }), ShutdownPhase::Draining);
    assert_eq!(
        stage(2500, PendingWork { clients: 1, ..PendingWork::default() }),
        ShutdownPhase::AwaitingResponses
    );
    assert_eq!(stage(3600, busy), ShutdownPhase::Finished);
    let mut now = at(1000);
    for _ in 0..10 {
        now = leaving.next_timeout(now);
    }
    assert!(now < at(1000 + 3700), "it is killed then");
}

/// Asked before its first byte, a call that may not go leaves its connection to the next; before its last, it takes the
/// connection with it, as the better part of it is written.
#[test]
fn what_is_withheld_ends_as_such_and_its_connection_serves_the_next_where_it_is_clean() {
    let (mut calls, mut wires) = (calls(9), Fake::default());
    calls.connect(at(0), attempt(1), E, address(1), &mut wires);
    calls.on_connected(ConnectionId(1));
    assert!(calls.targets_listed_endpoint(attempt(1), |_| Some(address(1))));
    assert!(!calls.targets_listed_endpoint(attempt(1), |_| Some(address(2))), "it is elsewhere now");
    assert!(!calls.targets_listed_endpoint(attempt(1), |_| None), "it is gone");
    calls.abort_before_send(at(5), attempt(1), true, &mut wires);
    assert_eq!(
        (ended(&mut calls), calls.in_flight(), calls.take_connected()),
        (vec![(1, TransportOutcome::NotStarted)], 0, vec![])
    );
    assert_eq!(wires.written.len() + wires.closed.len(), 0);
    calls.connect(at(6), attempt(2), E, address(1), &mut wires);
    assert_eq!((calls.take_connected(), wires.connected.len()), (vec![attempt(2)], 1));
    calls.send_all_but_last_byte(at(6), attempt(2), b"call", &mut wires);
    calls.on_tick(at(7), &mut wires);
    assert_eq!(calls.take_ready_to_commit(), [attempt(2)]);
    calls.abort_before_send(at(7), attempt(2), true, &mut wires);
    calls.commit(attempt(2), &mut wires);
    assert_eq!(
        (ended(&mut calls), wires.closed),
        (vec![(2, TransportOutcome::NotStarted)], vec![ConnectionId(1)])
    );
    assert_eq!(wires.written, [(ConnectionId(1), "cal".to_owned())], "never its last byte");
    // One that is gone from the list keeps no connection.
    let mut wires = Fake { connected: vec![address(1)], ..Fake::default() };
    calls.connect(at(8), attempt(3), E, address(1), &mut wires);
    calls.on_connected(ConnectionId(2));
    calls.abort_before_send(at(9), attempt(3), false, &mut wires);
    assert_eq!((wires.closed, calls.connections()), (vec![ConnectionId(2)], 0));
}

/// A wait binds from the head that told it, whatever its answer comes to.
#[test]
fn waits_are_told_by_heads_alone_and_by_answers_that_come_too_soon() {
    let head = b"HTTP/1.1 429 Wait\r\nRetry-After: 0.7\r\nContent-Length: 9\r\n\r\nhalf";
    let told = vec![retry_after(700)];
    let (mut calls, mut wires) = (calls(9), Fake::default());
    let wire = sent(&mut calls, &mut wires, at(0), 1);
    calls.on_flushed(wire);
    calls.on_bytes(at(1), wire, head, &mut wires);
    assert_eq!((calls.take_retry_after(), ended(&mut calls)), (told.clone(), vec![]));
    calls.on_bytes(at(2), wire, b"more", &mut wires);
    assert_eq!(calls.take_retry_after(), vec![], "once");
    calls.on_closed(at(3), wire, false, &mut wires);
    assert_eq!(ended(&mut calls), [(1, TransportOutcome::Reset)]);
    for text in [&head[..], b"HTTP/1.1 429 Wait\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n\r\n"] {
        calls.connect(at(4), attempt(2), E, address(1), &mut wires);
        let wire = ConnectionId(wires.connected.len() as u64);
        calls.on_connected(wire);
        calls.take_connected();
        calls.send_all_but_last_byte(at(4), attempt(2), b"call", &mut wires);
        calls.on_bytes(at(4), wire, text, &mut wires);
        assert_eq!(
            (calls.take_retry_after(), ended(&mut calls)),
            (told.clone(), vec![(2, TransportOutcome::ConnectFailed)])
        );
    }
}
