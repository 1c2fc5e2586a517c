//! Notifications on a list of what they did to connections.

use crate::support::{address, at, FakeTransport};
use cloverstile::OrderKey;
use cloverstile_platform::notifications::{
    Notification, NotificationStatus, Notifications, Release, SettledNotifications,
};
use cloverstile_platform::ConnectionId;

fn notification(id: &str, failed: bool, key: u64) -> Notification {
    let status = match failed {
        true => NotificationStatus::Undeliverable,
        false => NotificationStatus::Deferred { retry_after_ms: Some(40) },
    };
    Notification { message_id: id.into(), status, order_key: Some(OrderKey(key)) }
}

const DONE: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

#[test]
fn notifications_are_sent_until_acknowledged_and_block_their_keys() {
    let (mut notifications, mut transport) = (Notifications::new(address(1)), FakeTransport::default());
    assert_eq!(notifications.next_timeout(), None);
    notifications.enqueue(7, notification("a", true, 3), Release::AtOnce);
    notifications.enqueue(8, notification("b", false, 4), Release::AtOnce);
    notifications.on_tick(at(0), &mut transport);
    notifications.on_connected(at(1), ConnectionId(1));
    notifications.on_tick(at(1), &mut transport);
    let lines = "{\"id\":\"a\",\"status\":\"undeliverable\"}\n{\"again_ms\":40,\"id\":\"b\",\"status\":\"deferred\"}\n";
    assert!(transport.written[0].1.ends_with(lines), "{}", transport.written[0].1);
    // The connection is lost: sent again on a new one.
    notifications.on_closed(at(2), ConnectionId(1));
    notifications.on_tick(at(60), &mut transport);
    notifications.on_connected(at(61), ConnectionId(2));
    notifications.on_tick(at(61), &mut transport);
    assert!(notifications.is_key_blocked(OrderKey(3)) && notifications.is_key_blocked(OrderKey(4)));
    let settled = SettledNotifications { acknowledged: vec![7, 8], rejected: vec![] };
    assert_eq!(notifications.on_bytes(at(62), ConnectionId(2), DONE, &mut transport), settled);
    assert!(notifications.is_empty() && !notifications.is_key_blocked(OrderKey(3)));
}

/// A notification that the log does not have yet is not sent, neither alone nor in the batch of another one.
#[test]
fn held_notification_is_sent_once_it_is_stored() {
    let (mut notifications, mut transport) = (Notifications::new(address(1)), FakeTransport::default());
    notifications.enqueue(7, notification("held", true, 3), Release::OnceStored);
    assert_eq!(notifications.next_timeout(), None);
    assert!(notifications.is_key_blocked(OrderKey(3)));
    notifications.enqueue(8, notification("free", true, 4), Release::AtOnce);
    notifications.on_tick(at(0), &mut transport);
    notifications.on_connected(at(1), ConnectionId(1));
    notifications.on_tick(at(1), &mut transport);
    assert!(transport.written[0].1.contains("free") && !transport.written[0].1.contains("held"));
    let settled = notifications.on_bytes(at(2), ConnectionId(1), DONE, &mut transport);
    assert_eq!(settled.acknowledged, [8]);
    notifications.on_tick(at(3), &mut transport);
    assert_eq!(transport.written.len(), 1);
    notifications.release_held();
    notifications.on_tick(at(4), &mut transport);
    assert!(transport.written[1].1.contains("held"));
}

#[test]
fn rejected_notification_does_not_hold_back_the_others() {
    let (mut notifications, mut transport) = (Notifications::new(address(1)), FakeTransport::default());
    (1..=2).for_each(|number| {
        notifications.enqueue(number, notification(&format!("n{number}"), true, 0), Release::AtOnce);
    });
    let (mut acknowledged, mut rejected) = (vec![], vec![]);
    for round in 0..8u64 {
        let now = at(round * 100);
        notifications.on_tick(now, &mut transport);
        let connection = ConnectionId(transport.connected.len() as u64);
        notifications.on_connected(now, connection);
        notifications.on_tick(now, &mut transport);
        let bad = transport.written.last().unwrap().1.contains("n1");
        let answer = if bad { &b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n"[..] } else { DONE };
        let settled = notifications.on_bytes(now, connection, answer, &mut transport);
        acknowledged.extend(settled.acknowledged);
        rejected.extend(settled.rejected);
        if notifications.is_empty() {
            break;
        }
    }
    assert_eq!((acknowledged, rejected), (vec![2], vec![1]));
}

/// Seed 8 of the soak: an agent left one notification unanswered, and the next ones waited for half a second behind it, though
/// the time of their messages was over.
#[test]
fn unanswered_notification_does_not_hold_up_the_next_ones() {
    let (mut notifications, mut transport) = (Notifications::new(address(1)), FakeTransport::default());
    let mut unsent = Vec::new();
    for millisecond in 0..3000u64 {
        let now = at(millisecond);
        if millisecond % 50 == 0 {
            let number = u32::try_from(millisecond).unwrap();
            let next = notification(&format!("m{millisecond}x"), true, 3);
            notifications.enqueue(number, next, Release::AtOnce);
            unsent.push(millisecond);
        }
        if notifications.next_timeout().is_some_and(|timeout| timeout <= now) {
            let connections = transport.connected.len();
            notifications.on_tick(now, &mut transport);
            if transport.connected.len() > connections {
                let connection = ConnectionId(transport.connected.len() as u64);
                notifications.on_connected(now, connection);
                notifications.on_tick(now, &mut transport);
            }
        }
        // Each has left 0.2 s after it was due, whatever is unanswered.
        for due in unsent.extract_if(.., |due| millisecond >= *due + 210) {
            let name = format!("m{due}x");
            assert!(transport.written.iter().any(|(_, text)| text.contains(&name)), "{name}");
        }
    }
    assert!(transport.closed.len() + 3 >= transport.connected.len(), "three connections at most");
    assert!(notifications.is_key_blocked(OrderKey(3)));
}

/// A notification whose connection has fallen silent goes out again on another one.
#[test]
fn notification_on_a_silent_connection_is_sent_again_on_another() {
    let (mut notifications, mut transport) = (Notifications::new(address(1)), FakeTransport::default());
    notifications.enqueue(7, notification("a", true, 3), Release::AtOnce);
    notifications.on_tick(at(0), &mut transport);
    notifications.on_connected(at(0), ConnectionId(1));
    notifications.on_tick(at(0), &mut transport);
    assert_eq!(notifications.next_timeout(), Some(at(200)));
    notifications.on_tick(at(200), &mut transport);
    notifications.on_connected(at(200), ConnectionId(2));
    notifications.on_tick(at(200), &mut transport);
    assert_eq!((transport.written.len(), transport.closed.len()), (2, 0));
    // Either response settles it, once.
    assert_eq!(notifications.on_bytes(at(201), ConnectionId(1), DONE, &mut transport).acknowledged, [7]);
    let again = notifications.on_bytes(at(202), ConnectionId(2), DONE, &mut transport);
    assert_eq!(again, SettledNotifications::default());
    assert!(notifications.is_empty() && !notifications.is_key_blocked(OrderKey(3)));
}

#[test]
fn pending_notifications_are_sent_to_a_new_address() {
    let (mut notifications, mut transport) = (Notifications::new(address(1)), FakeTransport::default());
    notifications.enqueue(1, notification("a", true, 3), Release::AtOnce);
    notifications.on_tick(at(0), &mut transport);
    notifications.on_connected(at(0), ConnectionId(1));
    notifications.on_tick(at(0), &mut transport);
    notifications.set_address(at(1), address(2), &mut transport);
    notifications.on_tick(at(1), &mut transport);
    assert_eq!(
        (transport.connected.clone(), transport.closed),
        (vec![address(1), address(2)], vec![ConnectionId(1)])
    );
}
