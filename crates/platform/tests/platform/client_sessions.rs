//! Timeouts, eviction and protocol errors on client connections.

use crate::support::at;
use cloverstile::Time;
use cloverstile_platform::client_sessions::{ClientSessions, Disconnect, DisconnectReason, ReceivedCommands};
use cloverstile_platform::ConnectionId;
use cloverstile_resp::encode_command;
use std::time::Duration;

fn disconnect(connection: u64, reason: DisconnectReason) -> Disconnect {
    Disconnect { connection: ConnectionId(connection), reason }
}

/// Accepts a connection and returns the connection that was evicted to make room for it, if any.
fn accept(sessions: &mut ClientSessions, now: Time, connection: u64) -> Option<ConnectionId> {
    sessions.accept(now, ConnectionId(connection));
    let evicted = sessions.evict_surplus();
    assert!(
        evicted.len() <= 1
            && evicted.iter().all(|disconnect| disconnect.reason == DisconnectReason::ConnectionLimit)
    );
    evicted.first().map(|disconnect| disconnect.connection)
}

#[test]
fn idle_slow_and_excess_clients_are_disconnected() {
    let mut sessions = ClientSessions::new(2);
    let ping = encode_command(&["PING"]);
    assert_eq!(accept(&mut sessions, at(0), 1), None);
    assert_eq!(sessions.on_bytes(at(1), ConnectionId(1), &ping).commands.len(), 1);
    accept(&mut sessions, at(2), 2);
    // Clients that are idle after a command are evicted first, then clients that have sent nothing yet.
    assert_eq!(accept(&mut sessions, at(500), 3), Some(ConnectionId(1)));
    assert_eq!(accept(&mut sessions, at(500), 4), Some(ConnectionId(2)));
    sessions.on_bytes(at(510), ConnectionId(3), &ping[..5]);
    let timeout = sessions.next_timeout().unwrap();
    assert!(timeout <= at(510) + Duration::from_millis(2500));
    assert_eq!(sessions.on_tick(timeout), [disconnect(3, DisconnectReason::CommandTimeout)]);
    assert_eq!(
        sessions.on_tick(at(500) + Duration::from_millis(2900)),
        [disconnect(4, DisconnectReason::IdleTimeout)]
    );
    // Single bytes sent at intervals do not extend the command timeout.
    sessions.accept(at(5000), ConnectionId(5));
    (0..5).for_each(|index| {
        drop(sessions.on_bytes(
            at(5000 + index * 300),
            ConnectionId(5),
            &ping[index as usize..=index as usize],
        ));
    });
    assert!(sessions.on_tick(at(6400)).contains(&disconnect(5, DisconnectReason::CommandTimeout)));
}

/// Guards against evicting new clients before idle ones (incident r636949, score 0.00): 211 clients kept their
/// connections open after one request, so the newest client was the only one that had sent nothing yet. 7,483 clients
/// were disconnected as soon as they were accepted, and their requests failed. Other clients connected up to seconds
/// before their first request, so a connection that has sent nothing yet must not be evicted early.
#[test]
fn new_clients_are_not_evicted_before_idle_clients() {
    let mut sessions = ClientSessions::new(50);
    let ping = encode_command(&["PING"]);
    for number in 0..50 {
        sessions.accept(at(number), ConnectionId(number));
        sessions.on_bytes(at(number), ConnectionId(number), &ping);
    }
    accept(&mut sessions, at(51), 1000);
    for number in 50..500 {
        // Ten clients are accepted in each turn before any of their bytes are read.
        let evicted = accept(&mut sessions, at(100 + number / 10), number);
        assert_eq!(evicted, Some(ConnectionId(number - 49)));
        if number % 10 == 9 {
            (number - 9..=number).for_each(|number| {
                drop(sessions.on_bytes(at(100 + number / 10), ConnectionId(number), &ping));
            });
        }
    }
    assert!(sessions.owns(ConnectionId(1000)), "a client that has not sent its first request was evicted");
}

#[test]
fn protocol_error_or_too_many_commands_disconnects_after_the_valid_commands() {
    let mut sessions = ClientSessions::new(9);
    sessions.accept(at(0), ConnectionId(1));
    let ReceivedCommands { commands, disconnect, .. } =
        sessions.on_bytes(at(1), ConnectionId(1), &[encode_command(&["PING"]), b"noise".to_vec()].concat());
    assert!(
        commands.len() == 1
            && matches!(disconnect, Some(DisconnectReason::ProtocolError(_)))
            && !sessions.owns(ConnectionId(1))
    );
    sessions.accept(at(0), ConnectionId(2));
    let ReceivedCommands { commands, refused_commands, disconnect } =
        sessions.on_bytes(at(1), ConnectionId(2), &encode_command(&["PING"]).repeat(500));
    assert!(commands.len() < 500 && disconnect == Some(DisconnectReason::TooManyCommands));
    // The disconnect error answers one command; each refused command gets an error of its own.
    assert_eq!(commands.len() + 1 + refused_commands, 500);
}

/// A client whose command was only partly read gets an error reply before the close, whatever the reason for closing.
#[test]
fn client_with_a_partial_command_gets_an_error_reply_on_disconnect() {
    let ping = encode_command(&["PING"]);
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
