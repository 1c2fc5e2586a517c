//! `may_send_now`: events between scheduling and sending can block a request. A blocked request uses no attempt and
//! is sent later.

mod common;

use cloverstile::{
    retry_window_end, Action, AttemptOutcome, Class, ClassId, Endpoint, EndpointId, EndpointListUpdate,
    EndpointState, Event, MessageId,
};
use common::{endpoint, keyed_class, ms, safe_class, settings, submission, unsafe_class, Harness};
use std::time::Duration;

/// Applies an event that occurs between scheduling and sending.
type InterveningEvent<'a> = &'a dyn Fn(&mut Harness);

/// A harness in which message 1 is scheduled to endpoint 7 and waits for its connection; message 2 was sent there
/// before.
fn harness_with_scheduled_request(class: Class) -> Harness {
    let mut harness = Harness::new(settings(vec![class]), vec![endpoint(7, 1), endpoint(8, 2)]);
    for id in [2, 1] {
        harness.submit(id, 0, 1, None);
        assert_eq!(harness.next_sends().len(), 1);
        harness.now = harness.now + ms(20);
    }
    assert!(harness.policy.may_send_now(harness.now, MessageId(1)));
    harness
}

fn set_endpoint_state(harness: &mut Harness, state: EndpointState) {
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![Endpoint {
        state,
        ..endpoint(7, 1)
    }])));
}

/// Covers each event that can occur between scheduling and sending, on its own.
#[test]
fn retry_after_drain_outage_and_recovery_block_scheduled_requests() {
    let retry_after = |harness: &mut Harness| {
        harness.on_event(Event::RetryAfter { endpoint: EndpointId(7), wait: ms(600) });
    };
    let rejected = |harness: &mut Harness| {
        harness.complete_attempt(2, 7, AttemptOutcome::Rejected(Some(ms(600))), ms(30));
    };
    let recovery = |harness: &mut Harness| {
        let long_wait = harness.settings.rules.overload_window * 2;
        harness.complete_attempt(2, 7, AttemptOutcome::Rejected(Some(long_wait)), ms(30));
        // The wait is over, and the slow start of the destination begins.
        harness.now = harness.now + long_wait + ms(1);
    };
    let draining = |harness: &mut Harness| set_endpoint_state(harness, EndpointState::Draining);
    let removed = |harness: &mut Harness| {
        harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![endpoint(8, 2)])));
    };
    let outage = |harness: &mut Harness| {
        harness.complete_attempt(2, 7, AttemptOutcome::ConnectFailed, ms(30));
        for id in 10..14 {
            harness.submit(id, 0, 1, None);
            harness.run_until_action(Duration::from_secs(2));
            harness.complete_attempt(id, 7, AttemptOutcome::ConnectFailed, ms(30));
        }
    };
    let cases: [(&str, InterveningEvent); 6] = [
        ("Retry-After", &retry_after),
        ("rejection with Retry-After", &rejected),
        ("recovery after a long Retry-After", &recovery),
        ("drain", &draining),
        ("endpoint removed", &removed),
        ("outage", &outage),
    ];
    for (name, apply_event) in cases {
        let class = Class {
            deadline: Duration::from_secs(60),
            latency_objective: Duration::from_secs(20),
            ..keyed_class()
        };
        let mut harness = harness_with_scheduled_request(class);
        apply_event(&mut harness);
        assert!(!harness.policy.may_send_now(harness.now, MessageId(1)), "not blocked: {name}");
    }
    let mut harness = harness_with_scheduled_request(keyed_class());
    harness.on_event(Event::RetryAfter { endpoint: EndpointId(8), wait: ms(600) });
    assert!(
        harness.policy.may_send_now(harness.now, MessageId(1)),
        "blocked by a Retry-After of another destination"
    );
    harness.on_event(Event::Cancelled(MessageId(1)));
    assert!(!harness.policy.may_send_now(harness.now, MessageId(1)), "not blocked although cancelled");
}

/// Probes are sent to find the end of an outage, so the outage itself must not block them.
#[test]
fn probe_may_be_sent_during_its_outage() {
    let mut harness = Harness::new(settings(vec![safe_class()]), vec![endpoint(7, 1)]);
    for id in 1..9 {
        harness.submit(id, 0, 1, None);
        let sent = harness.run_until_action(Duration::from_secs(20));
        let Some(Action::Send { message, .. }) = sent.first() else { panic!("{sent:?}") };
        assert!(harness.policy.may_send_now(harness.now, *message), "request {id} was blocked");
        let message = message.0;
        harness.complete_attempt(message, 7, AttemptOutcome::ConnectFailed, ms(30));
    }
}

#[test]
fn retry_is_blocked_after_its_retry_window_and_a_first_attempt_is_not() {
    let class = Class { deadline: Duration::from_secs(60), ..keyed_class() };
    let mut harness = Harness::new(settings(vec![class.clone()]), vec![endpoint(7, 1)]);
    harness.submit(1, 0, 1, None);
    assert_eq!(harness.next_sends().len(), 1);
    let first = harness.now;
    harness.now = first + class.retry_window;
    assert!(
        harness.policy.may_send_now(harness.now, MessageId(1)),
        "first attempt blocked by the retry window"
    );
    harness.now = first + ms(50);
    harness.complete_attempt(1, 7, AttemptOutcome::Reset, ms(50));
    harness.run_until_action(Duration::from_secs(3));
    assert_eq!(harness.messages_sent(), 1, "another message was sent");
    assert!(harness.policy.may_send_now(harness.now, MessageId(1)));
    assert!(!harness.policy.may_send_now(retry_window_end(&class, first) + ms(1), MessageId(1)));
    // A message resubmitted from a lost instance may have run there at any time since it was first submitted.
    let mut submission = submission(harness.now, 2, (ClassId(0), &class), 1, None);
    submission.from_lost_instance = true;
    submission.deadline = harness.now + class.deadline - ms(200);
    let submitted_at = harness.now - ms(200);
    harness.on_event(Event::Submitted(submission));
    assert_eq!(harness.next_sends().len(), 1);
    assert!(harness.policy.may_send_now(harness.now, MessageId(2)));
    assert!(!harness.policy.may_send_now(retry_window_end(&class, submitted_at) + ms(1), MessageId(2)));
}

/// However often a request is blocked, its attempt count and its queue position stay, and it is sent once
/// permitted.
#[test]
fn blocked_request_costs_no_attempt_and_is_sent_later() {
    let class = Class { deadline: Duration::from_secs(60), ..unsafe_class() };
    let mut harness = Harness::new(settings(vec![class]), vec![endpoint(7, 1)]);
    let max_attempts = harness.settings.max_attempts;
    harness.submit(1, 0, 1, None);
    for round in 0..max_attempts + 3 {
        let sent = harness.run_until_action(Duration::from_secs(3));
        assert!(matches!(sent[..], [Action::Send { message: MessageId(1), .. }]), "{round}: {sent:?}");
        harness.on_event(Event::RetryAfter { endpoint: EndpointId(7), wait: ms(300) });
        assert!(!harness.policy.may_send_now(harness.now, MessageId(1)));
        harness.complete_attempt(1, 7, AttemptOutcome::NotStarted, ms(5));
        // It is not scheduled again at once, which would be a busy loop.
        let blocked_at = harness.now;
        assert!(harness.next_sends().is_empty());
        harness.now = blocked_at + ms(299);
        assert!(harness.next_sends().is_empty(), "sent before the end of the Retry-After");
    }
    harness.run_until_action(Duration::from_secs(3));
    harness.complete_attempt(1, 7, AttemptOutcome::Reset, ms(5));
    let actions = harness.run_until_action(Duration::from_secs(3));
    assert_eq!(
        actions,
        [Action::Fail { message: MessageId(1) }],
        "an unsafe message that may have run is not sent again"
    );
}

/// A process may stall for 0.15 s between its check of the retry window and its write, so every window ends early
/// by at least that.
#[test]
fn retry_window_end_leaves_margin_for_process_stalls() {
    let sent_at = Harness::new(settings(vec![keyed_class()]), vec![]).now;
    for (window, end) in [(8000, 7200), (1500, 1350), (600, 450), (100, 0)] {
        let class = Class { retry_window: ms(window), ..keyed_class() };
        assert_eq!(retry_window_end(&class, sent_at), sent_at + ms(end), "a window of {window} ms");
    }
}
