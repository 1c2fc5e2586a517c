//! Connections, closes and bounds, on sockets.

use super::*;

/// Polls until something is wanted; a bound on rounds ends a test that would hang.
fn until<T>(net: &mut Net, mut wanted: impl FnMut(NetEvent) -> Option<T>) -> T {
    for _ in 0..1000 {
        for event in net.poll(Some(Duration::from_millis(100))).unwrap() {
            if let Some(found) = wanted(event) {
                return found;
            }
        }
    }
    panic!("it never happened");
}

fn pair(net: &mut Net) -> (ConnId, ConnId) {
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = net.connect(address);
    let server = until(net, |event| match event {
        NetEvent::Accepted { conn, .. } => Some(conn),
        _ => None,
    });
    (client, server)
}

#[test]
fn bytes_cross_whole_however_many_there_are() {
    let mut net = Net::new().unwrap();
    let (client, server) = pair(&mut net);
    let sent: Vec<u8> = (0..3_000_000u32).map(|i| (i % 251) as u8).collect();
    net.send(client, &sent);
    net.close_after_flush(client);
    let mut seen = Vec::new();
    until(&mut net, |event| match event {
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
fn a_paused_reader_is_felt_by_the_writer() {
    let mut net = Net::new().unwrap();
    let (client, server) = pair(&mut net);
    net.pause(server, true);
    net.send(client, &vec![7; 64 << 20]);
    while !net.poll(Some(Duration::from_millis(50))).unwrap().is_empty() {}
    assert!(net.unsent_bytes(client) > 16 << 20);
    net.pause(server, false);
    until(&mut net, |event| matches!(event, NetEvent::Flushed(conn) if conn == client).then_some(()));
}

#[test]
fn refused_and_reset_connections_are_told_apart_from_closed_ones() {
    let mut net = Net::new().unwrap();
    let (listener, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    net.stop_listening(listener);
    let refused = net.connect(address);
    let kind = until(&mut net, |event| match event {
        NetEvent::ConnectFailed(conn, kind) if conn == refused => Some(kind),
        _ => None,
    });
    assert_eq!(kind, ErrorKind::ConnectionRefused);
    let (client, server) = pair(&mut net);
    net.reset(server);
    let clean = until(&mut net, |event| match event {
        NetEvent::Closed { conn, clean } if conn == client => Some(clean),
        _ => None,
    });
    assert!(!clean);
}

/// A courier that is told to stop answers and closes while its client sends on. Guards against the reset that a close
/// with unread bytes is: the client must read the answer and then an orderly end.
#[test]
fn an_answer_ahead_of_a_close_arrives_though_bytes_stand_unread() {
    let mut net = Net::new().unwrap();
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut client = TcpStream::connect(address).unwrap();
    let server = until(&mut net, |event| match event {
        NetEvent::Accepted { conn, .. } => Some(conn),
        _ => None,
    });
    net.pause(server, true);
    client.write_all(b"one more request").unwrap();
    net.send(server, b"+OK\r\n");
    net.close_after_flush(server);
    assert_eq!((net.is_open(server), net.lingering_count()), (false, 1));
    // Its own events are over; what it sends on is dropped.
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

/// An endpoint refuses a call before it is whole, and resets the connection: the call's last byte finds it broken.
#[test]
fn what_was_sent_ahead_of_a_reset_is_told_though_a_write_meets_the_reset_first() {
    let mut net = Net::new().unwrap();
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut peer = TcpStream::connect(address).unwrap();
    let conn = until(&mut net, |event| match event {
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
    let mut told = Vec::new();
    until(&mut net, |event| {
        told.push(event);
        matches!(told.last(), Some(NetEvent::Closed { .. })).then_some(())
    });
    told.retain(|event| !matches!(event, NetEvent::Flushed(_)));
    assert!(matches!(&told[0], NetEvent::Bytes(_, bytes) if bytes == b"429"), "{told:?}");
    assert!(matches!(told[1..], [NetEvent::Closed { clean: false, .. }]), "{told:?}");
}

/// Many peers that send at full speed: no turn holds more than its bound, and all that they sent comes.
#[test]
fn what_one_turn_reads_is_bounded_and_nothing_is_left_out() {
    const EACH: usize = 200 << 10;
    let mut net = Net::new().unwrap();
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut clients: Vec<TcpStream> = (0..30).map(|_| TcpStream::connect(address).unwrap()).collect();
    let mut accepted = 0;
    until(&mut net, |event| {
        accepted += usize::from(matches!(event, NetEvent::Accepted { .. }));
        (accepted == 30).then_some(())
    });
    // All of it is in the system's buffers, as far as they take it, before the first look.
    for client in &mut clients {
        client.set_nonblocking(true).unwrap();
    }
    let mut left = [EACH; 30];
    let (mut come, mut most) = (0, 0);
    let end = Instant::now() + Duration::from_secs(20);
    while come < EACH * 30 {
        assert!(Instant::now() < end, "{come} came");
        for (client, left) in clients.iter_mut().zip(&mut left) {
            while let Ok(count @ 1..) = client.write(&[7; 64 << 10][..(*left).min(64 << 10)]) {
                *left -= count;
            }
        }
        let events = net.poll(Some(Duration::from_millis(20))).unwrap();
        let bytes = |event: &NetEvent| if let NetEvent::Bytes(_, bytes) = event { bytes.len() } else { 0 };
        let turn: usize = events.iter().map(bytes).sum();
        (come, most) = (come + turn, most.max(turn));
    }
    assert!(most <= READ_IN_ALL + READ_AT_ONCE + (64 << 10), "{most} in one turn");
    assert!(most > READ_IN_ALL, "the bound was never met: {most}");
}

#[test]
fn what_lingers_is_bounded_in_number_time_and_bytes() {
    let mut net = Net::new().unwrap();
    let (_, address) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut clients: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(address).unwrap()).collect();
    let mut servers = Vec::new();
    until(&mut net, |event| {
        if let NetEvent::Accepted { conn, .. } = event {
            servers.push(conn);
        }
        (servers.len() == 40).then_some(())
    });
    servers.iter().for_each(|conn| net.close_after_flush(*conn));
    assert_eq!(net.lingering_count(), LINGERING_MOST);
    // The last one sends without end, and is closed for it; the rest say nothing until their time is up.
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
