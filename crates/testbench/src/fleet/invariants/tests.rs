//! Detection of each kind of violation, and the record of waiting intervals.

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
    let mut unsafe_repeat = tracker("unsafe");
    let index = unsafe_repeat.on_submission(ms(0), 0, 0, 0);
    unsafe_repeat.on_accepted(ms(1), index);
    for at in [10, 500] {
        unsafe_repeat.on_request(ms(at), index, 0, false);
        unsafe_repeat.on_processed(ms(at), index, true, true);
        unsafe_repeat.on_request_completed(ms(at + 1), index);
    }
    assert_eq!(unsafe_repeat.violations_mut().repeated_effects, 1);
    // The message never gets a final outcome.
    assert_eq!(unsafe_repeat.finish(ms(9000)).violations.missing_or_late_outcomes, 1);

    let mut keyed = tracker("keyed");
    let index = keyed.on_submission(ms(0), 0, 0, 0);
    for at in [10, 1500, 2500] {
        keyed.on_request(ms(at), index, 0, false);
        keyed.on_processed(ms(at), index, true, false);
    }
    assert_eq!(keyed.violations_mut().repeated_effects, 1, "only the request outside the retry window");

    let mut restricted = tracker("safe");
    let index = restricted.on_submission(ms(0), 7, 0, 0);
    restricted.on_retry_after(ms(100), index, 0, false, ms(1000));
    restricted.on_request(ms(150), index, 0, false);
    assert_eq!(
        restricted.violations_mut().early_retries,
        0,
        "the request may have been sent before the response arrived"
    );
    restricted.on_request(ms(900), index, 0, false);
    restricted.on_request(ms(1100), index, 0, false);
    assert_eq!(restricted.violations_mut().early_retries, 1);
    restricted.on_drain(ms(2000), 0);
    restricted.on_request(ms(4000), index, 0, false);
    assert_eq!(restricted.violations_mut().sends_after_drain, 0);
    restricted.on_request(ms(4100), index, 0, false);
    assert_eq!(restricted.violations_mut().sends_after_drain, 1);

    let mut wrong_outcome = tracker("safe");
    let index = wrong_outcome.on_submission(ms(0), 0, 0, 0);
    wrong_outcome.on_request(ms(1), index, 0, false);
    wrong_outcome.on_processed(ms(1), index, true, true);
    wrong_outcome.on_final_outcome(ms(6000), index, FinalOutcome::Rejected);
    assert_eq!(
        (
            wrong_outcome.violations_mut().repeated_effects,
            wrong_outcome.violations_mut().missing_or_late_outcomes
        ),
        (1, 1)
    );
}

#[test]
fn message_waits_while_it_is_accepted_and_has_no_request_in_flight() {
    let mut tracker = tracker("keyed");
    let index = tracker.on_submission(ms(0), 0, 0, 0);
    // A request can reach the endpoint before the client has read that the message was accepted.
    tracker.on_request(ms(5), index, 0, false);
    tracker.on_accepted(ms(6), index);
    tracker.on_request_completed(ms(20), index);
    tracker.on_request(ms(100), index, 0, false);
    tracker.on_final_outcome(ms(110), index, FinalOutcome::Delivered);
    let intervals: Vec<_> =
        tracker.run.record.waiting_intervals.iter().map(|interval| (interval.from, interval.until)).collect();
    assert_eq!(intervals, [(ms(20), ms(100))]);
    assert_eq!(tracker.incomplete(), 0);
}
