//! Tests of connections, closes and bounds, on sockets.

use crate::connection::MAX_READ_PER_CONNECTION;
use crate::lingering::DEFAULT_MAX_LINGERING;
use crate::net::MAX_READ_PER_POLL;
use crate::{ConnId, Net, NetEvent};
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Polls until an event is the expected one; a bound on rounds ends a test that would hang.
fn poll_until<T>(net: &mut Net, mut expected: impl FnMut(NetEvent) -> Option<T>) -> T {
    for _ in 0..1000 {
        for event in net.poll(Some(Duration::from_millis(100))).unwrap() {
            if let Some(found) = expected(event) {
                return found;
            }
        }
    }
    panic!("it never happened");
}

fn pair(net: &mut Net) -> (ConnId, ConnId) {
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = net.connect(address);
    let server = poll_until(net, |event| match event {
        NetEvent::Accepted { conn, .. } => Some(conn),
        _ => None,
    });
    (client, server)
}

#[test]
fn connection_carries_three_million_bytes_unchanged() {
    let mut net = Net::new().unwrap();
    let (client, server) = pair(&mut net);
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
fn paused_reader_leaves_bytes_unsent_at_the_writer() {
    let mut net = Net::new().unwrap();
    let (client, server) = pair(&mut net);
    net.set_read_paused(server, true);
    net.send(client, &vec![7; 64 << 20]);
    while !net.poll(Some(Duration::from_millis(50))).unwrap().is_empty() {}
    assert!(net.unsent_bytes(client) > 16 << 20);
    net.set_read_paused(server, false);
    poll_until(&mut net, |event| matches!(event, NetEvent::Flushed(conn) if conn == client).then_some(()));
}

#[test]
fn refused_and_reset_connections_are_distinguished_from_closed_ones() {
    let mut net = Net::new().unwrap();
    let (listener, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    net.stop_listening(listener);
    let refused = net.connect(address);
    let kind = poll_until(&mut net, |event| match event {
        NetEvent::ConnectFailed(conn, kind) if conn == refused => Some(kind),
        _ => None,
    });
    assert_eq!(kind, ErrorKind::ConnectionRefused);
    let (client, server) = pair(&mut net);
    net.reset(server);
    let clean = poll_until(&mut net, |event| match event {
        NetEvent::Closed { conn, clean } if conn == client => Some(clean),
        _ => None,
    });
    assert!(!clean);
}

/// A gateway that shuts down responds and closes while its client still sends. Guards against the reset that a close
/// with unread bytes is: the client must read the response and then an orderly end.
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
    // It has no events of its own any more; what its peer still sends is left unread.
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

/// An endpoint rejects a request before it is complete, and resets the connection: the request's last byte finds it broken.
#[test]
fn bytes_ahead_of_a_reset_are_reported_when_a_write_meets_the_reset_first() {
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
        assert!(Instant::now() < end, "no write met the reset");
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

/// Many peers that send at full speed: no poll reads more than its bound, and all that they sent arrives.
#[test]
fn one_poll_reads_a_bounded_number_of_bytes_and_none_are_lost() {
    const BYTES_PER_CLIENT: usize = 200 << 10;
    let mut net = Net::new().unwrap();
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut clients: Vec<TcpStream> = (0..30).map(|_| TcpStream::connect(address).unwrap()).collect();
    let mut accepted = 0;
    poll_until(&mut net, |event| {
        accepted += usize::from(matches!(event, NetEvent::Accepted { .. }));
        (accepted == 30).then_some(())
    });
    // All of it is in the system's buffers, as far as they take it, before the first poll.
    for client in &mut clients {
        client.set_nonblocking(true).unwrap();
    }
    let mut left = [BYTES_PER_CLIENT; 30];
    let (mut received, mut most_per_poll) = (0, 0);
    let end = Instant::now() + Duration::from_secs(20);
    while received < BYTES_PER_CLIENT * 30 {
        assert!(Instant::now() < end, "{received} arrived");
        for (client, left) in clients.iter_mut().zip(&mut left) {
            while let Ok(count @ 1..) = client.write(&[7; 64 << 10][..(*left).min(64 << 10)]) {
                *left -= count;
            }
        }
        let events = net.poll(Some(Duration::from_millis(20))).unwrap();
        let bytes = |event: &NetEvent| if let NetEvent::Bytes(_, bytes) = event { bytes.len() } else { 0 };
        let in_this_poll: usize = events.iter().map(bytes).sum();
        (received, most_per_poll) = (received + in_this_poll, most_per_poll.max(in_this_poll));
    }
    assert!(
        most_per_poll <= MAX_READ_PER_POLL + MAX_READ_PER_CONNECTION + (64 << 10),
        "{most_per_poll} in one poll"
    );
    assert!(most_per_poll > MAX_READ_PER_POLL, "the bound was never met: {most_per_poll}");
}

#[test]
fn lingering_connections_are_bounded_in_number_time_and_bytes() {
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
    // The last one sends without end, of which nothing is read; the rest are silent. All are closed when their time is over.
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
