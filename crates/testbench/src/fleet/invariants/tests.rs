//! Each invariant is violated once and found; waiting times of messages are recorded.

use super::{ClassSpec, FinalOutcome, InvariantTracker};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn tracker(effect: &str) -> InvariantTracker {
    let class = ClassSpec {
        share: 1.0,
        effect: effect.into(),
        group: "all".into(),
        ordered: false,
        order_keys: 1,
        latency_objective: 1.0,
        deadline: 5.0,
        retry_window: 2.0,
        priority_weight: 1.0,
        late_value_ratio: 0.5,
    };
    InvariantTracker::new([class])
}

#[test]
fn tracker_counts_each_kind_of_violation() {
    let mut unsafe_again = tracker("unsafe");
    let number = unsafe_again.on_submission(ms(0), 0, 0, 0);
    unsafe_again.on_accepted(ms(1), number);
    for at in [10, 500] {
        unsafe_again.on_request(ms(at), number, 0, false);
        unsafe_again.on_processed(ms(at), number, true, true);
        unsafe_again.on_request_completed(ms(at + 1), number);
    }
    assert_eq!(unsafe_again.audit().repeated_effects, 1);
    // Nothing ended it.
    assert_eq!(unsafe_again.finish(ms(9000)).violations.missing_or_late_outcomes, 1);

    let mut keyed = tracker("keyed");
    let number = keyed.on_submission(ms(0), 0, 0, 0);
    for at in [10, 1500, 2500] {
        keyed.on_request(ms(at), number, 0, false);
        keyed.on_processed(ms(at), number, true, false);
    }
    assert_eq!(keyed.audit().repeated_effects, 1, "the one outside its window");

    let mut early = tracker("safe");
    let number = early.on_submission(ms(0), 7, 0, 0);
    early.on_retry_after(ms(100), number, 0, false, ms(1000));
    early.on_request(ms(150), number, 0, false);
    assert_eq!(early.audit().early_retries, 0, "it crossed the response");
    early.on_request(ms(900), number, 0, false);
    early.on_request(ms(1100), number, 0, false);
    assert_eq!(early.audit().early_retries, 1);
    early.on_drain(ms(2000), 0);
    early.on_request(ms(4000), number, 0, false);
    assert_eq!(early.audit().sends_after_drain, 0);
    early.on_request(ms(4100), number, 0, false);
    assert_eq!(early.audit().sends_after_drain, 1);

    let mut untrue = tracker("safe");
    let number = untrue.on_submission(ms(0), 0, 0, 0);
    untrue.on_request(ms(1), number, 0, false);
    untrue.on_processed(ms(1), number, true, true);
    untrue.on_final_outcome(ms(6000), number, FinalOutcome::Rejected);
    assert_eq!((untrue.audit().repeated_effects, untrue.audit().missing_or_late_outcomes), (1, 1));
}

#[test]
fn message_waits_while_it_is_accepted_and_has_no_request_in_flight() {
    let mut tracker = tracker("keyed");
    let number = tracker.on_submission(ms(0), 0, 0, 0);
    // A request may be seen before its client has read that the message is accepted.
    tracker.on_request(ms(5), number, 0, false);
    tracker.on_accepted(ms(6), number);
    tracker.on_request_completed(ms(20), number);
    tracker.on_request(ms(100), number, 0, false);
    tracker.on_final_outcome(ms(110), number, FinalOutcome::Delivered);
    let stays: Vec<_> =
        tracker.run.record.waiting_intervals.iter().map(|stay| (stay.from, stay.until)).collect();
    assert_eq!(stays, [(ms(20), ms(100))]);
    assert_eq!(tracker.incomplete(), 0);
}
