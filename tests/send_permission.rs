//! `may_send_now`: events between scheduling and sending block a request, and it loses nothing by that.

mod common;

use cloverstile::{
    retry_window_end, Action, AttemptOutcome, Class, ClassId, Endpoint, EndpointId, EndpointListUpdate,
    EndpointState, Event, MessageId,
};
use common::{endpoint, keyed_class, ms, safe_class, settings, submission, unsafe_class, Harness};
use std::time::Duration;

/// An event between scheduling and sending.
type Happens<'a> = &'a dyn Fn(&mut Harness);

/// Message 1 was sent to endpoint 7 and waits for its connection; 2 was sent there before it.
fn on_its_way(class: Class) -> Harness {
    let mut harness = Harness::new(settings(vec![class]), vec![endpoint(7, 1), endpoint(8, 2)]);
    for id in [2, 1] {
        harness.submit(id, 0, 1, None);
        assert_eq!(harness.next_sends().len(), 1);
        harness.now = harness.now + ms(20);
    }
    assert!(harness.policy.may_send_now(harness.now, MessageId(1)));
    harness
}

fn list(harness: &mut Harness, mode: EndpointState) {
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![Endpoint {
        state: mode,
        ..endpoint(7, 1)
    }])));
}

/// Each event that may come in between, on its own.
#[test]
fn retry_after_drain_outage_and_recovery_block_scheduled_requests() {
    let wait = |harness: &mut Harness| {
        harness.on_event(Event::RetryAfter { endpoint: EndpointId(7), wait: ms(600) });
    };
    let rejected = |harness: &mut Harness| {
        harness.complete_attempt(2, 7, AttemptOutcome::Rejected(Some(ms(600))), ms(30));
    };
    let shut = |harness: &mut Harness| {
        let long = harness.settings.rules.overload_window * 2;
        harness.complete_attempt(2, 7, AttemptOutcome::Rejected(Some(long)), ms(30));
        // The wait is over, and the destination starts slowly.
        harness.now = harness.now + long + ms(1);
    };
    let drains = |harness: &mut Harness| list(harness, EndpointState::Draining);
    let gone = |harness: &mut Harness| {
        harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![endpoint(8, 2)])));
    };
    let fails = |harness: &mut Harness| {
        harness.complete_attempt(2, 7, AttemptOutcome::ConnectFailed, ms(30));
        for id in 10..14 {
            harness.submit(id, 0, 1, None);
            harness.run_until_action(Duration::from_secs(2));
            harness.complete_attempt(id, 7, AttemptOutcome::ConnectFailed, ms(30));
        }
    };
    let cases: [(&str, Happens); 6] = [
        ("wait", &wait),
        ("rejected", &rejected),
        ("shut", &shut),
        ("drains", &drains),
        ("gone", &gone),
        ("fails", &fails),
    ];
    for (name, happens) in cases {
        let class = Class {
            deadline: Duration::from_secs(60),
            latency_objective: Duration::from_secs(20),
            ..keyed_class()
        };
        let mut harness = on_its_way(class);
        happens(&mut harness);
        assert!(!harness.policy.may_send_now(harness.now, MessageId(1)), "{name}");
    }
    let mut harness = on_its_way(keyed_class());
    harness.on_event(Event::RetryAfter { endpoint: EndpointId(8), wait: ms(600) });
    assert!(harness.policy.may_send_now(harness.now, MessageId(1)), "that was another destination");
    harness.on_event(Event::Cancelled(MessageId(1)));
    assert!(!harness.policy.may_send_now(harness.now, MessageId(1)), "nobody wants it any more");
}

/// A probe is sent because of the outage: that the outage lasts is no reason against it.
#[test]
fn probe_may_be_sent_during_its_outage() {
    let mut harness = Harness::new(settings(vec![safe_class()]), vec![endpoint(7, 1)]);
    for id in 1..9 {
        harness.submit(id, 0, 1, None);
        let sent = harness.run_until_action(Duration::from_secs(20));
        let Some(Action::Send { message, .. }) = sent.first() else { panic!("{sent:?}") };
        assert!(harness.policy.may_send_now(harness.now, *message), "{id}");
        let message = message.0;
        harness.complete_attempt(message, 7, AttemptOutcome::ConnectFailed, ms(30));
    }
}

#[test]
fn retry_is_blocked_after_its_window_and_a_first_attempt_is_not() {
    let class = Class { deadline: Duration::from_secs(60), ..keyed_class() };
    let mut harness = Harness::new(settings(vec![class.clone()]), vec![endpoint(7, 1)]);
    harness.submit(1, 0, 1, None);
    assert_eq!(harness.next_sends().len(), 1);
    let first = harness.now;
    harness.now = first + class.retry_window;
    assert!(harness.policy.may_send_now(harness.now, MessageId(1)), "it never ran");
    harness.now = first + ms(50);
    harness.complete_attempt(1, 7, AttemptOutcome::Reset, ms(50));
    harness.run_until_action(Duration::from_secs(3));
    assert_eq!(harness.messages_sent(), 1, "one message");
    assert!(harness.policy.may_send_now(harness.now, MessageId(1)));
    assert!(!harness.policy.may_send_now(retry_window_end(&class, first) + ms(1), MessageId(1)));
    // A message of a lost instance may have run at any time since it was submitted there.
    let mut submission = submission(harness.now, 2, (ClassId(0), &class), 1, None);
    submission.from_lost_instance = true;
    submission.deadline = harness.now + class.deadline - ms(200);
    let submitted_at = harness.now - ms(200);
    harness.on_event(Event::Submitted(submission));
    assert_eq!(harness.next_sends().len(), 1);
    assert!(harness.policy.may_send_now(harness.now, MessageId(2)));
    assert!(!harness.policy.may_send_now(retry_window_end(&class, submitted_at) + ms(1), MessageId(2)));
}

/// However often it is blocked: attempts and position are as before, and it is sent when it may.
#[test]
fn blocked_request_costs_no_attempt_and_is_sent_later() {
    let class = Class { deadline: Duration::from_secs(60), ..unsafe_class() };
    let mut harness = Harness::new(settings(vec![class]), vec![endpoint(7, 1)]);
    let cap = harness.settings.max_attempts;
    harness.submit(1, 0, 1, None);
    for round in 0..cap + 3 {
        let sent = harness.run_until_action(Duration::from_secs(3));
        assert!(matches!(sent[..], [Action::Send { message: MessageId(1), .. }]), "{round}: {sent:?}");
        harness.on_event(Event::RetryAfter { endpoint: EndpointId(7), wait: ms(300) });
        assert!(!harness.policy.may_send_now(harness.now, MessageId(1)));
        harness.complete_attempt(1, 7, AttemptOutcome::NotStarted, ms(5));
        // Not at once again: no loop without a pause.
        let blocked_at = harness.now;
        assert!(harness.next_sends().is_empty());
        harness.now = blocked_at + ms(299);
        assert!(harness.next_sends().is_empty(), "the wait is not over");
    }
    harness.run_until_action(Duration::from_secs(3));
    harness.complete_attempt(1, 7, AttemptOutcome::Reset, ms(5));
    let end = harness.run_until_action(Duration::from_secs(3));
    assert_eq!(end, [Action::Fail { message: MessageId(1) }], "that one may have run");
}

/// A process may be held up for 0.15 s between its check of the window and its write: every window leaves room for that.
#[test]
fn retry_window_leaves_room_for_a_hold_up() {
    let sent = Harness::new(settings(vec![keyed_class()]), vec![]).now;
    for (window, end) in [(8000, 7200), (1500, 1350), (600, 450), (100, 0)] {
        let class = Class { retry_window: ms(window), ..keyed_class() };
        assert_eq!(retry_window_end(&class, sent), sent + ms(end), "a window of {window} ms");
    }
}
