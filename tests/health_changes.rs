//! Changes of health that the policy reports for the operational log.

mod common;

use cloverstile::{AttemptOutcome, DestinationId, HealthChange, HealthChangeKind};
use common::{endpoint, ms, settings, unsafe_class, Harness};
use std::time::Duration;

/// Sends one message to destination 1 and completes its attempt with this outcome 20 ms later.
fn send_and_complete(harness: &mut Harness, id: u32, outcome: AttemptOutcome) {
    harness.submit(id, 0, 1, None);
    assert_eq!(harness.next_sends().len(), 1, "message {id}");
    harness.now = harness.now + ms(20);
    harness.complete_attempt(id, 7, outcome, ms(20));
    harness.next_actions();
}

#[test]
fn outage_and_recovery_are_reported_once_each() {
    let mut harness = Harness::new(settings(vec![unsafe_class()]), vec![endpoint(7, 1)]);
    send_and_complete(&mut harness, 1, AttemptOutcome::Ok);
    assert_eq!(harness.policy.take_health_changes(), []);

    (2..=3).for_each(|id| send_and_complete(&mut harness, id, AttemptOutcome::Error));
    let opened = HealthChange {
        destination: DestinationId(1),
        endpoint: None,
        kind: HealthChangeKind::OutageOpened,
        since_last_success: ms(40),
        failure_score: 6,
        requests_in_flight: 0,
    };
    assert_eq!(harness.policy.take_health_changes(), [opened]);

    harness.now = harness.now + Duration::from_secs(30);
    send_and_complete(&mut harness, 4, AttemptOutcome::Ok);
    let kind = HealthChangeKind::Recovered { from_outage: true, slow_start: true };
    let since_last_success = Duration::from_secs(30) + ms(60);
    assert_eq!(harness.policy.take_health_changes(), [HealthChange { kind, since_last_success, ..opened }]);
    assert_eq!(harness.policy.take_health_changes(), []);
}

#[test]
fn number_of_changes_kept_for_the_caller_is_bounded() {
    let mut harness = Harness::new(settings(vec![unsafe_class()]), vec![endpoint(7, 1)]);
    for id in 0..200 {
        let outcome = if id % 2 == 0 { AttemptOutcome::Error } else { AttemptOutcome::Ok };
        harness.now = harness.now + ms(100);
        send_and_complete(&mut harness, id, outcome);
    }
    assert_eq!(harness.policy.take_health_changes().len(), 64);
}
