//! Tests of the recovery of messages with attempts that have no recorded outcome.

use super::recover;
use cloverstile::{Class, Time, ZoneId};
use cloverstile_wal::{AttemptStart, LiveMessage};
use std::time::Duration;

/// Nanoseconds in a second.
const SECOND: u64 = 1_000_000_000;

fn stored_message() -> LiveMessage {
    LiveMessage {
        id: b"a".to_vec(),
        submitted_at: 100 * SECOND,
        deadline: 108 * SECOND,
        attempts: 2,
        ..LiveMessage::default()
    }
}

fn started_at(seconds: u64) -> AttemptStart {
    AttemptStart { started_at: seconds * SECOND, zone: 1 }
}

#[test]
fn recovery_treats_an_open_attempt_as_possibly_run_unless_an_earlier_one_may_have_run() {
    let recovered = |may_have_run: Option<u64>, open: Option<u64>| {
        let (may_have_run, open_attempt) = (may_have_run.map(started_at), open.map(started_at));
        let mut message = LiveMessage { first_possible_run: may_have_run, open_attempt, ..stored_message() };
        let attempts = recover(&mut message, None).attempts;
        let stored = message.first_possible_run.map(|start| (Time(start.started_at), Some(ZoneId(1))));
        assert_eq!((message.open_attempt, stored), (None, attempts.may_have_run));
        (attempts.may_have_run.map(|(at, _)| at.0 / SECOND), attempts.attempts)
    };
    assert_eq!(recovered(None, None), (None, 2));
    assert_eq!(recovered(None, Some(103)), (Some(103), 2));
    assert_eq!(recovered(Some(101), Some(103)), (Some(101), 2));
    assert_eq!(recovered(Some(101), None), (Some(101), 2));
}

#[test]
fn recovery_assumes_a_lost_instance_sent_the_message_at_its_first_submission() {
    let class = Class { deadline: Duration::from_secs(12), ..Class::default() };
    let mut message = LiveMessage {
        from_lost_instance: true,
        first_possible_run: Some(started_at(101)),
        ..stored_message()
    };
    let attempts = recover(&mut message, Some(&class)).attempts;
    assert_eq!(attempts.may_have_run, Some((Time(96 * SECOND), None)));
}
