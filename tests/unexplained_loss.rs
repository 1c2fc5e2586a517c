//! A lost request that no success follows: the destination may have been in an outage, so that a burst must not go to it
//! at the full rate (review case 1).

mod common;

use cloverstile::{AttemptOutcome, Event, MessageId, Settings};
use common::{endpoint, ms, safe_class, settings, unsafe_class, Harness};
use std::time::Duration;

/// Messages of a burst; an instance may send as many at once, with half of its slots and at the limit of 100 a second.
const BURST: u32 = 8;
const FIRST_OF_BURST: u32 = 100;
/// Longer than a transient failure lasts.
const QUIET: Duration = Duration::from_secs(5);

/// A harness with one destination that has this many endpoints, 1 and up.
fn harness_with_endpoints(settings: Settings, count: u32) -> Harness {
    Harness::new(settings, (1..=count).map(|id| endpoint(id, 1)).collect())
}

/// Sends one message to destination 1 and completes its attempt with this outcome 20 ms later. A message that was not
/// delivered is cancelled.
fn send_and_complete(harness: &mut Harness, id: u32, outcome: AttemptOutcome) {
    harness.submit(id, 0, 1, None);
    let sent = harness.next_sends();
    assert_eq!(sent.len(), 1, "message {id}");
    harness.now = harness.now + ms(20);
    harness.complete_attempt(id, sent[0].endpoint, outcome, ms(20));
    if outcome != AttemptOutcome::Ok {
        harness.on_event(Event::Cancelled(MessageId(id)));
    }
    harness.next_actions();
}

/// Submits a burst and returns how many of its messages are sent within a quarter of a second without any response.
fn sent_of_burst(harness: &mut Harness) -> usize {
    (0..BURST).for_each(|number| harness.submit(FIRST_OF_BURST + number, 0, 1, None));
    let mut sent = 0;
    for _ in 0..50 {
        sent += harness.next_sends().len();
        harness.now = harness.now + ms(5);
    }
    sent
}

/// Guards against a burst at the full rate after an outage of which the instance saw one failure.
#[test]
fn single_loss_of_any_kind_limits_a_later_burst_to_one_request() {
    use AttemptOutcome::{Abandoned, ConnectFailed, Error, Reset, Timeout};
    for outcome in [Error, Reset, Timeout, ConnectFailed, Abandoned] {
        let mut harness = harness_with_endpoints(settings(vec![unsafe_class()]), 1);
        send_and_complete(&mut harness, 1, AttemptOutcome::Ok);
        send_and_complete(&mut harness, 2, outcome);
        harness.now = harness.now + QUIET;
        assert!(sent_of_burst(&mut harness) <= 1, "{outcome:?}");
    }
}

/// Guards against leaving a failure out because another endpoint, which nobody asked since, has not failed.
#[test]
fn error_at_one_of_several_endpoints_limits_a_later_burst() {
    for outcome in [AttemptOutcome::Error, AttemptOutcome::Reset] {
        let mut harness = harness_with_endpoints(settings(vec![unsafe_class()]), 3);
        send_and_complete(&mut harness, 1, AttemptOutcome::Ok);
        send_and_complete(&mut harness, 2, outcome);
        harness.now = harness.now + QUIET;
        assert!(sent_of_burst(&mut harness) <= 1, "{outcome:?}");
    }
}

/// Guards against leaving a failure out because the connection was idle and may have been stale.
#[test]
fn loss_on_a_stale_idle_connection_limits_a_later_burst() {
    let mut harness = harness_with_endpoints(settings(vec![safe_class()]), 1);
    for id in 1..=3 {
        send_and_complete(&mut harness, id, AttemptOutcome::Ok);
        harness.now = harness.now + QUIET;
    }
    // The first loss teaches that idle connections may be stale, the second one is explained by it.
    send_and_complete(&mut harness, 4, AttemptOutcome::Reset);
    harness.now = harness.now + ms(100);
    send_and_complete(&mut harness, 5, AttemptOutcome::Ok);
    harness.now = harness.now + QUIET;
    send_and_complete(&mut harness, 6, AttemptOutcome::Reset);
    harness.now = harness.now + QUIET;
    assert!(sent_of_burst(&mut harness) <= 1);
}

/// A success soon after the loss shows that the destination works, so a burst is not held back.
#[test]
fn burst_is_not_limited_if_a_success_followed_the_loss_soon() {
    let mut harness = harness_with_endpoints(settings(vec![unsafe_class()]), 1);
    send_and_complete(&mut harness, 1, AttemptOutcome::Ok);
    send_and_complete(&mut harness, 2, AttemptOutcome::Error);
    harness.now = harness.now + ms(500);
    send_and_complete(&mut harness, 3, AttemptOutcome::Ok);
    harness.now = harness.now + QUIET;
    assert_eq!(sent_of_burst(&mut harness), BURST as usize);
}

/// Guards against a burst at the full rate behind the first success, while the destination still warms up.
#[test]
fn success_after_an_old_loss_begins_a_slow_start() {
    let base = Settings { instance_count: 8, ..settings(vec![unsafe_class()]) };
    let mut harness = harness_with_endpoints(base, 1);
    send_and_complete(&mut harness, 1, AttemptOutcome::Ok);
    send_and_complete(&mut harness, 2, AttemptOutcome::Error);
    harness.now = harness.now + QUIET;
    harness.submit(3, 0, 1, None);
    while harness.next_sends().is_empty() {
        harness.now = harness.now + ms(5);
    }
    harness.now = harness.now + ms(20);
    harness.complete_attempt(3, 1, AttemptOutcome::Ok, ms(20));
    let sent = sent_of_burst(&mut harness);
    assert!((1..BURST as usize).contains(&sent), "{sent}");
}
