//! Tests of the platform's invariant checks: a history that satisfies all invariants, and variants of it that violate
//! one.

use cloverstile_fakes::platform::{
    find_violations, InvariantRules, PlatformEvent, SlowStartRule, TimedEvent, ViolationKind,
};
use std::time::Duration;

const KEY: u64 = 7;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn rules() -> InvariantRules {
    InvariantRules {
        repeat_window: at(2000),
        outcome_slack: at(500),
        restart_grace: at(1500),
        min_give_up_share: 0.7,
        settle_time: at(100),
        drain_grace: at(1000),
        slow_start: Some(SlowStartRule {
            capacity: 10.0,
            initial_capacity_share: 0.2,
            warm_up_time: at(10_000),
            overload_multiple: 2.0,
            overload_window: at(1000),
        }),
    }
}

fn submitted(id: &str) -> PlatformEvent {
    PlatformEvent::Submitted { id: id.into(), gateway: 0, time_left: at(4000) }
}

fn accepted(id: &str) -> PlatformEvent {
    PlatformEvent::Accepted { id: id.into(), key: KEY, unrepeatable: true }
}

fn request(id: &str) -> PlatformEvent {
    PlatformEvent::RequestReceived { id: id.into(), idempotency: None, endpoint: 0, body: Vec::new() }
}

fn delivered(id: &str) -> PlatformEvent {
    PlatformEvent::Delivered { id: id.into() }
}

fn ended(id: &str) -> PlatformEvent {
    PlatformEvent::AttemptEnded { id: id.into() }
}

fn notification(id: &str, status: &str) -> PlatformEvent {
    PlatformEvent::Notification { id: id.into(), status: status.into(), address: 0 }
}

fn answered(id: &str) -> PlatformEvent {
    PlatformEvent::NotificationAnswered { id: id.into() }
}

/// Two messages with the same key: the gateway gives the first up and notifies of it, and delivers the second after the
/// settle time.
fn history() -> Vec<TimedEvent> {
    vec![
        (at(0), submitted("a")),
        (at(1), accepted("a")),
        (at(2), submitted("b")),
        (at(3), accepted("b")),
        (at(10), request("a")),
        (at(3990), ended("a")),
        (at(4000), notification("a", "undeliverable")),
        (at(4001), answered("a")),
        (at(4095), request("b")),
        (at(4100), delivered("b")),
    ]
}

/// Kinds of the violations found in [`history`] without the events in `left_out` and with those in `added`.
fn violation_kinds(left_out: &[PlatformEvent], added: Vec<TimedEvent>) -> Vec<ViolationKind> {
    let mut events: Vec<TimedEvent> = history();
    events.retain(|(_, event)| !left_out.contains(event));
    events.extend(added);
    find_violations(&events, rules()).into_iter().map(|violation| violation.kind).collect()
}

#[test]
fn history_that_satisfies_all_invariants_has_no_violations() {
    assert_eq!(violation_kinds(&[], vec![]), []);
}

#[test]
fn missing_or_late_final_outcome_is_reported() {
    let end = [notification("a", "undeliverable"), answered("a")];
    assert!(violation_kinds(&end, vec![]).contains(&ViolationKind::NoEnd));
    let late = vec![(at(4501), notification("a", "undeliverable")), (at(4502), answered("a"))];
    assert!(violation_kinds(&end, late).contains(&ViolationKind::Lost));
    // A restart of the gateway extends the time for the final outcome.
    let restart = [
        (at(4002), PlatformEvent::GatewayDown { gateway: 0 }),
        (at(4003), PlatformEvent::GatewayReady { gateway: 0 }),
    ];
    let late = vec![(at(4080), notification("a", "undeliverable")), (at(4081), answered("a"))];
    assert_eq!(violation_kinds(&end, restart.into_iter().chain(late).collect()), []);
}

#[test]
fn late_response_does_not_count_as_final_outcome() {
    let late = vec![(at(4001), PlatformEvent::LateResponse { id: "a".into() })];
    let end = [notification("a", "undeliverable"), answered("a")];
    assert!(violation_kinds(&end, late).contains(&ViolationKind::NoEnd));
}

#[test]
fn wrong_reply_missing_reply_and_dropped_connection_are_reported() {
    let wrong = PlatformEvent::WrongReply { id: "a".into(), line: "+PONG".into() };
    assert_eq!(violation_kinds(&[], vec![(at(1), wrong)]), [ViolationKind::WrongReply]);
    let unanswered = PlatformEvent::Unanswered { id: "c".into() };
    assert_eq!(violation_kinds(&[], vec![(at(1), unanswered)]), [ViolationKind::Lost]);
    let dropped = PlatformEvent::ConnectionDropped { id: "c".into() };
    assert_eq!(violation_kinds(&[], vec![(at(1), dropped)]), [ViolationKind::Dropped]);
}

#[test]
fn request_after_final_outcome_or_rejection_is_reported() {
    assert!(violation_kinds(&[], vec![(at(4060), request("a"))]).contains(&ViolationKind::ForwardedAfterEnd));
    let refused = vec![(at(20), PlatformEvent::Refused { id: "c".into() }), (at(30), request("c"))];
    assert_eq!(violation_kinds(&[], refused), [ViolationKind::RefusedAndForwarded]);
}

/// Nothing is sent for a message after a 410 or a 504, unless its gateway ended before it could store that.
#[test]
fn request_after_a_response_that_ends_the_message_is_reported() {
    let released = || PlatformEvent::Released { id: "a".into() };
    let exhausted = || PlatformEvent::AttemptsExhausted { id: "a".into() };
    for end in [released, exhausted] {
        let again = |request_at| vec![(at(20), end()), (at(request_at), request("a"))];
        assert!(violation_kinds(&[], again(75)).contains(&ViolationKind::ForwardedAfterEnd));
        assert!(!violation_kinds(&[], again(65)).contains(&ViolationKind::ForwardedAfterEnd));
        for (down_at, is_reported) in [(100, false), (1720, false), (1721, true)] {
            let down = (at(down_at), PlatformEvent::GatewayDown { gateway: 0 });
            let ready = (at(down_at + 10), PlatformEvent::GatewayReady { gateway: 0 });
            let events = [again(3000), vec![down, ready]].concat();
            let kinds = violation_kinds(&[], events);
            assert_eq!(kinds.contains(&ViolationKind::ForwardedAfterEnd), is_reported, "{down_at}");
        }
    }
}

#[test]
fn unrepeatable_message_reported_as_undeliverable_long_after_its_delivery_is_reported() {
    let end = [ended("a"), notification("a", "undeliverable"), answered("a")];
    let failed_at = |time| {
        let failed = (at(time), notification("a", "undeliverable"));
        violation_kinds(&end, vec![(at(1000), delivered("a")), failed])
    };
    assert_eq!(failed_at(1451), [ViolationKind::DeliveredAndFailed]);
    assert_eq!(failed_at(1450), []);
    // A copy of a notification that was on its way before the delivery tells nothing new.
    let copies = [900, 1300].map(|time| (at(time), notification("a", "undeliverable")));
    assert_eq!(violation_kinds(&end, [vec![(at(1000), delivered("a"))], copies.to_vec()].concat()), []);
}

#[test]
fn repeated_request_of_unrepeatable_message_is_reported() {
    assert!(violation_kinds(&[], vec![(at(300), request("a"))]).contains(&ViolationKind::Duplicate));
}

#[test]
fn message_given_up_early_without_a_request_is_reported() {
    let early = vec![(at(100), notification("a", "deferred")), (at(101), answered("a"))];
    let usual = [request("a"), ended("a"), notification("a", "undeliverable"), answered("a")];
    assert_eq!(violation_kinds(&usual, early), [ViolationKind::EarlyGivenUp]);
}

#[test]
fn next_message_of_a_key_sent_too_soon_is_reported() {
    let next = [request("b"), delivered("b")];
    // Sent before the previous message ended, before its notification was answered, and during the settle time.
    for (name, time) in [("running", 100), ("unanswered", 4000), ("resting", 4002)] {
        let soon = vec![(at(time), request("b")), (at(time + 1), delivered("b"))];
        assert_eq!(violation_kinds(&next, soon), [ViolationKind::OrderBroken], "{name}");
    }
}

#[test]
fn request_during_retry_after_wait_is_reported() {
    let wait = |time| PlatformEvent::RetryAfter { id: "a".into(), endpoint: 0, wait: at(time) };
    assert_eq!(violation_kinds(&[], vec![(at(3500), wait(700))]), [ViolationKind::RetryAfterBroken]);
    assert_eq!(violation_kinds(&[], vec![(at(3500), wait(500))]), []);
    // A request that was already on its way when the rejection arrived is excused, and so is one after a restart.
    assert_eq!(violation_kinds(&[], vec![(at(4000), wait(700))]), []);
    let down = PlatformEvent::GatewayDown { gateway: 0 };
    assert_eq!(violation_kinds(&[], vec![(at(3500), wait(700)), (at(3600), down)]), []);
}

#[test]
fn request_to_a_draining_endpoint_is_reported() {
    let list = |draining: Vec<usize>| PlatformEvent::ListSent { address: 1, draining };
    assert_eq!(violation_kinds(&[], vec![(at(3000), list(vec![0]))]), [ViolationKind::DrainBroken]);
    assert_eq!(violation_kinds(&[], vec![(at(3100), list(vec![0]))]), []);
    assert_eq!(violation_kinds(&[], vec![(at(2000), list(vec![0])), (at(3000), list(vec![]))]), []);
    // A restarted process knows what the one before was told, until it is told otherwise.
    let started = PlatformEvent::GatewayStarted { gateway: 0 };
    let restart = vec![(at(2000), list(vec![0])), (at(3000), started)];
    assert_eq!(violation_kinds(&[], restart.clone()), [ViolationKind::DrainBroken]);
    assert_eq!(violation_kinds(&[], [restart, vec![(at(3100), list(vec![]))]].concat()), []);
}

#[test]
fn overload_of_recovering_endpoint_is_reported_only_if_gateway_knew_of_the_outage() {
    let failed = PlatformEvent::EndpointFailed { endpoint: 0 };
    let returned = PlatformEvent::EndpointReturned { endpoint: 0 };
    let violations = |gateway_knows_of_outage: bool| {
        let mut events = vec![(at(5000), failed.clone()), (at(7000), returned.clone())];
        for number in 0..14 {
            let id = format!("n{number}");
            events.push((at(4990), submitted(&id)));
            events.push((at(7010 + number), request(&id)));
            events.push((at(7010 + number), PlatformEvent::Failed { id }));
        }
        if gateway_knows_of_outage {
            events.extend([(at(4999), submitted("x")), (at(5001), request("x")), (at(5002), ended("x"))]);
        }
        violation_kinds(&[], events)
    };
    // 14 requests exceed the bound: four in a window, and nine more as statistical slack.
    assert_eq!(violations(true), [ViolationKind::SlowStartBroken]);
    assert_eq!(violations(false), []);
}
