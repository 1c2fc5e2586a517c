//! Timeouts, eviction and protocol errors of clients' connections.

use crate::support::at;
use cloverstile::Time;
use cloverstile_platform::client_sessions::{ClientSessions, Disconnect, DisconnectReason, ReceivedCommands};
use cloverstile_platform::ConnectionId;
use cloverstile_resp::command;
use std::time::Duration;

fn disconnect(connection: u64, reason: DisconnectReason) -> Disconnect {
    Disconnect { connection: ConnectionId(connection), reason }
}

/// Accepts a connection; the one that is disconnected for it, if there is one.
fn accept(sessions: &mut ClientSessions, now: Time, connection: u64) -> Option<ConnectionId> {
    sessions.accept(now, ConnectionId(connection));
    let evicted = sessions.evict_surplus();
    assert!(evicted.len() <= 1 && evicted.iter().all(|one| one.reason == DisconnectReason::ConnectionLimit));
    evicted.first().map(|one| one.connection)
}

#[test]
fn silent_slow_and_surplus_clients_are_disconnected() {
    let mut sessions = ClientSessions::new(2);
    let ping = command(&["PING"]);
    assert_eq!(accept(&mut sessions, at(0), 1), None);
    assert_eq!(sessions.on_bytes(at(1), ConnectionId(1), &ping).commands.len(), 1);
    accept(&mut sessions, at(2), 2);
    // An idle client is evicted for a new one, and only then one that has sent nothing yet.
    assert_eq!(accept(&mut sessions, at(500), 3), Some(ConnectionId(1)));
    assert_eq!(accept(&mut sessions, at(500), 4), Some(ConnectionId(2)));
    sessions.on_bytes(at(510), ConnectionId(3), &ping[..5]);
    let due = sessions.next_timeout().unwrap();
    assert!(due <= at(510) + Duration::from_millis(2500));
    assert_eq!(sessions.on_tick(due), [disconnect(3, DisconnectReason::CommandTimeout)]);
    assert_eq!(
        sessions.on_tick(at(500) + Duration::from_millis(2900)),
        [disconnect(4, DisconnectReason::IdleTimeout)]
    );
    // A byte now and then does not extend the time for a command.
    sessions.accept(at(5000), ConnectionId(5));
    (0..5).for_each(|n| {
        drop(sessions.on_bytes(at(5000 + n * 300), ConnectionId(5), &ping[n as usize..=n as usize]));
    });
    assert!(sessions.on_tick(at(6400)).contains(&disconnect(5, DisconnectReason::CommandTimeout)));
}

/// Incident r636949, 0.00: 211 clients that had sent one request held their connections, so that the newest client was the
/// only one that had sent nothing yet; 7,483 were disconnected as soon as they were accepted, and their requests failed.
/// Others connected up to seconds ahead of their first request.
#[test]
fn eviction_spares_new_clients_from_a_crowd_of_idle_ones() {
    let mut sessions = ClientSessions::new(50);
    let ping = command(&["PING"]);
    for number in 0..50 {
        sessions.accept(at(number), ConnectionId(number));
        sessions.on_bytes(at(number), ConnectionId(number), &ping);
    }
    accept(&mut sessions, at(51), 1000);
    for number in 50..500 {
        // Several are accepted in one turn, before any of their bytes are read.
        let evicted = accept(&mut sessions, at(100 + number / 10), number);
        assert_eq!(evicted, Some(ConnectionId(number - 49)));
        if number % 10 == 9 {
            (number - 9..=number).for_each(|number| {
                drop(sessions.on_bytes(at(100 + number / 10), ConnectionId(number), &ping));
            });
        }
    }
    assert!(sessions.owns(ConnectionId(1000)), "its first request is yet to come");
}

#[test]
fn protocol_error_or_too_many_commands_disconnects_after_the_good_commands() {
    let mut sessions = ClientSessions::new(9);
    sessions.accept(at(0), ConnectionId(1));
    let ReceivedCommands { commands, disconnect, .. } =
        sessions.on_bytes(at(1), ConnectionId(1), &[command(&["PING"]), b"noise".to_vec()].concat());
    assert!(
        commands.len() == 1
            && matches!(disconnect, Some(DisconnectReason::ProtocolError(_)))
            && !sessions.owns(ConnectionId(1))
    );
    sessions.accept(at(0), ConnectionId(2));
    let ReceivedCommands { commands, refused_commands, disconnect } =
        sessions.on_bytes(at(1), ConnectionId(2), &command(&["PING"]).repeat(500));
    assert!(commands.len() < 500 && disconnect == Some(DisconnectReason::TooManyCommands));
    // One of them gets the error, and each other one its own.
    assert_eq!(commands.len() + 1 + refused_commands, 500);
}

/// A connection whose command is half read is not closed without a word, whatever it is closed for.
#[test]
fn client_in_the_middle_of_a_command_is_interrupted_with_a_reply() {
    let ping = command(&["PING"]);
    let mut sessions = ClientSessions::new(0);
    sessions.accept(at(0), ConnectionId(1));
    sessions.on_bytes(at(1), ConnectionId(1), &ping[..5]);
    assert_eq!(sessions.evict_surplus(), [disconnect(1, DisconnectReason::CommandInterrupted)]);
    let mut sessions = ClientSessions::new(9);
    for number in 1..4 {
        sessions.accept(at(0), ConnectionId(number));
        sessions.on_bytes(at(1), ConnectionId(number), &[&ping[..], &ping[..5]].concat());
    }
    sessions.accept(at(0), ConnectionId(4));
    assert_eq!(sessions.take_idle(), []);
    assert_eq!(
        sessions.on_peer_finished(ConnectionId(1)),
        Some(disconnect(1, DisconnectReason::CommandInterrupted))
    );
    let expected = [
        disconnect(2, DisconnectReason::CommandInterrupted),
        disconnect(3, DisconnectReason::CommandInterrupted),
        disconnect(4, DisconnectReason::Shutdown),
    ];
    assert_eq!(sessions.take_all(), expected);
    assert!(DisconnectReason::CommandInterrupted.error_text().is_some());
}
