//! Tests of connections, closing and limits, over loopback sockets.

use crate::connection::MAX_READ_PER_CONNECTION;
use crate::lingering::DEFAULT_MAX_LINGERING;
use crate::net::MAX_READ_PER_POLL;
use crate::{ConnId, Net, NetEvent};
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Polls until `expected` returns a value for an event; panics after 1000 polls, so that a test does not hang.
fn poll_until<T>(net: &mut Net, mut expected: impl FnMut(NetEvent) -> Option<T>) -> T {
    for _ in 0..1000 {
        for event in net.poll(Some(Duration::from_millis(100))).unwrap() {
            if let Some(found) = expected(event) {
                return found;
            }
        }
    }
    panic!("expected event not reported within 1000 polls");
}

/// Connects to a new listener; returns the ids of the client's and the server's connection.
fn connected_pair(net: &mut Net) -> (ConnId, ConnId) {
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = net.connect(address);
    let server = poll_until(net, |event| match event {
        NetEvent::Accepted { conn, .. } => Some(conn),
        _ => None,
    });
    (client, server)
}

#[test]
fn connection_transfers_three_million_bytes_unchanged() {
    let mut net = Net::new().unwrap();
    let (client, server) = connected_pair(&mut net);
    let sent: Vec<u8> = (0..3_000_000u32).map(|i| (i % 251) as u8).collect();
    net.send(client, &sent);
    net.close_after_flush(client);
    let mut seen = Vec::new();
    poll_until(&mut net, |event| match event {
        NetEvent::Bytes(conn, bytes) if conn == server => {
            seen.extend(bytes);
            None
        }
        NetEvent::Closed { conn, clean } if conn == server && clean => Some(()),
        _ => None,
    });
    assert!(seen == sent);
}

#[test]
fn pausing_reads_applies_backpressure_to_the_sender() {
    let mut net = Net::new().unwrap();
    let (client, server) = connected_pair(&mut net);
    net.set_read_paused(server, true);
    net.send(client, &vec![7; 64 << 20]);
    while !net.poll(Some(Duration::from_millis(50))).unwrap().is_empty() {}
    assert!(net.unsent_bytes(client) > 16 << 20);
    net.set_read_paused(server, false);
    poll_until(&mut net, |event| matches!(event, NetEvent::Flushed(conn) if conn == client).then_some(()));
}

#[test]
fn refused_and_reset_connections_are_not_reported_as_orderly_closes() {
    let mut net = Net::new().unwrap();
    let (listener, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    net.stop_listening(listener);
    let refused = net.connect(address);
    let kind = poll_until(&mut net, |event| match event {
        NetEvent::ConnectFailed(conn, kind) if conn == refused => Some(kind),
        _ => None,
    });
    assert_eq!(kind, ErrorKind::ConnectionRefused);
    let (client, server) = connected_pair(&mut net);
    net.reset(server);
    let clean = poll_until(&mut net, |event| match event {
        NetEvent::Closed { conn, clean } if conn == client => Some(clean),
        _ => None,
    });
    assert!(!clean);
}

/// Closing a socket with unread bytes sends a reset, which can destroy a response already written. It happens when a
/// gateway shuts down and closes while its client still sends; the client must read the response, then an orderly end.
#[test]
fn close_after_flush_delivers_the_response_despite_unread_bytes() {
    let mut net = Net::new().unwrap();
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut client = TcpStream::connect(address).unwrap();
    let server = poll_until(&mut net, |event| match event {
        NetEvent::Accepted { conn, .. } => Some(conn),
        _ => None,
    });
    net.set_read_paused(server, true);
    client.write_all(b"one more request").unwrap();
    net.send(server, b"+OK\r\n");
    net.close_after_flush(server);
    assert_eq!((net.is_open(server), net.lingering_count()), (false, 1));
    // From here on only `Flushed` is reported for the connection; bytes that the client sends are left unread.
    let reader = std::thread::spawn(move || {
        client.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let mut text = Vec::new();
        let ended = client.read_to_end(&mut text);
        (text, ended.is_ok())
    });
    let end = Instant::now() + Duration::from_secs(5);
    while net.lingering_count() > 0 {
        assert!(Instant::now() < end);
        for event in net.poll(Some(Duration::from_millis(20))).unwrap() {
            assert!(matches!(event, NetEvent::Flushed(_)), "{event:?}");
        }
    }
    assert_eq!(reader.join().unwrap(), (b"+OK\r\n".to_vec(), true));
}

/// Guards against losing a response that was received before a reset. It happens when an endpoint rejects a request
/// before it is complete and resets the connection: writing the rest of the request fails before the response is read.
#[test]
fn received_bytes_are_reported_when_a_write_fails_on_a_reset() {
    let mut net = Net::new().unwrap();
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    let conn = poll_until(&mut net, |event| match event {
        NetEvent::Accepted { conn, .. } => Some(conn),
        _ => None,
    });
    peer.write_all(b"429").unwrap();
    SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
    drop(peer);
    let end = Instant::now() + Duration::from_secs(5);
    while net.is_open(conn) {
        assert!(Instant::now() < end, "no write failed on the reset");
        net.send(conn, b"x");
    }
    let mut events = Vec::new();
    poll_until(&mut net, |event| {
        events.push(event);
        matches!(events.last(), Some(NetEvent::Closed { .. })).then_some(())
    });
    events.retain(|event| !matches!(event, NetEvent::Flushed(_)));
    assert!(matches!(&events[0], NetEvent::Bytes(_, bytes) if bytes == b"429"), "{events:?}");
    assert!(matches!(events[1..], [NetEvent::Closed { clean: false, .. }]), "{events:?}");
}

/// With many peers that send at full speed, no poll reads more than its limit, and all bytes arrive.
#[test]
fn poll_limits_bytes_read_and_loses_none() {
    const BYTES_PER_CLIENT: usize = 200 << 10;
    let mut net = Net::new().unwrap();
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut clients: Vec<TcpStream> = (0..30).map(|_| TcpStream::connect(address).unwrap()).collect();
    let mut accepted = 0;
    poll_until(&mut net, |event| {
        accepted += usize::from(matches!(event, NetEvent::Accepted { .. }));
        (accepted == 30).then_some(())
    });
    // Non-blocking, so that each round writes as much as the socket buffers take before it polls.
    for client in &mut clients {
        client.set_nonblocking(true).unwrap();
    }
    let mut left = [BYTES_PER_CLIENT; 30];
    let (mut received, mut max_per_poll) = (0, 0);
    let end = Instant::now() + Duration::from_secs(20);
    while received < BYTES_PER_CLIENT * 30 {
        assert!(Instant::now() < end, "timed out with {received} bytes received");
        for (client, left) in clients.iter_mut().zip(&mut left) {
            while let Ok(count @ 1..) = client.write(&[7; 64 << 10][..(*left).min(64 << 10)]) {
                *left -= count;
            }
        }
        let events = net.poll(Some(Duration::from_millis(20))).unwrap();
        let bytes = |event: &NetEvent| if let NetEvent::Bytes(_, bytes) = event { bytes.len() } else { 0 };
        let in_this_poll: usize = events.iter().map(bytes).sum();
        (received, max_per_poll) = (received + in_this_poll, max_per_poll.max(in_this_poll));
    }
    assert!(
        max_per_poll <= MAX_READ_PER_POLL + MAX_READ_PER_CONNECTION + (64 << 10),
        "{max_per_poll} bytes read in one poll"
    );
    assert!(max_per_poll > MAX_READ_PER_POLL, "the limit was never reached: {max_per_poll} bytes");
}

#[test]
fn lingering_connections_are_limited_in_number_and_time_even_if_a_peer_keeps_sending() {
    let mut net = Net::new().unwrap();
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut clients: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(address).unwrap()).collect();
    let mut servers = Vec::new();
    poll_until(&mut net, |event| {
        if let NetEvent::Accepted { conn, .. } = event {
            servers.push(conn);
        }
        (servers.len() == 40).then_some(())
    });
    servers.iter().for_each(|conn| net.close_after_flush(*conn));
    assert_eq!(net.lingering_count(), DEFAULT_MAX_LINGERING);
    // The last client sends continuously and none of it is read; the others are silent. All are closed at their timeout.
    clients[39].set_write_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut last = clients.pop().unwrap();
    let sender = std::thread::spawn(move || while last.write_all(&[7; 64 << 10]).is_ok() {});
    let end = Instant::now() + Duration::from_secs(5);
    while net.lingering_count() > 0 {
        assert!(Instant::now() < end);
        net.poll(Some(Duration::from_millis(20))).unwrap();
    }
    sender.join().unwrap();
}
