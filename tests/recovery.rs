//! Recovery after a restart: the earlier attempts of a message still count.

mod common;

use cloverstile::{
    Action, AttemptOutcome, Class, ClassId, DeliveryPolicy, Endpoint, EndpointListUpdate, Event, MessageId,
    RecoveredAttempts, Settings, Time, WeightSource,
};
use common::{endpoint, keyed_class, ms, safe_class, settings, submission, unsafe_class, Harness};
use std::time::Duration;

/// A harness whose policy has just started and recovered message 1 of class 0 with these earlier attempts.
fn harness_with_recovered_message(
    class: &Class,
    past: impl FnOnce(Time) -> RecoveredAttempts,
    key: Option<u64>,
) -> Harness {
    let mut harness = Harness::new(settings(vec![class.clone()]), vec![endpoint(7, 1)]);
    let submission = submission(harness.now, 1, (ClassId(0), class), 1, key);
    harness.on_event(Event::Recovered(submission, past(harness.now)));
    harness
}

/// The history of a message submitted 900 ms ago and not yet attempted.
fn without_attempts(now: Time) -> RecoveredAttempts {
    RecoveredAttempts { submitted_at: now - ms(900), ..RecoveredAttempts::default() }
}

#[test]
fn recovered_message_without_attempts_is_sent() {
    for class in [keyed_class(), unsafe_class(), safe_class()] {
        assert_eq!(harness_with_recovered_message(&class, without_attempts, None).next_sends().len(), 1);
    }
}

#[test]
fn recovered_unsafe_message_that_may_have_run_fails_at_once() {
    let past = |now| RecoveredAttempts {
        attempts: 1,
        may_have_run: Some((now - ms(700), None)),
        ..without_attempts(now)
    };
    let mut harness = harness_with_recovered_message(&unsafe_class(), past, None);
    let actions = harness.next_actions();
    assert!(actions.contains(&Action::Fail { message: MessageId(1) }), "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::Send { .. })));
}

#[test]
fn recovered_keyed_message_is_retried_only_inside_its_retry_window() {
    let class = keyed_class();
    let past = |since: Duration| {
        move |now: Time| RecoveredAttempts {
            attempts: 1,
            may_have_run: Some((now - since, None)),
            ..without_attempts(now)
        }
    };
    let inside_window = class.retry_window.mul_f64(0.8);
    assert_eq!(harness_with_recovered_message(&class, past(inside_window), None).next_sends().len(), 1);
    let mut after_window = harness_with_recovered_message(&class, past(class.retry_window), None);
    assert!(after_window.next_actions().contains(&Action::Fail { message: MessageId(1) }));
}

#[test]
fn recovery_restores_attempt_count() {
    let max_attempts = Settings::default().max_attempts;
    let past = |attempts| move |now| RecoveredAttempts { attempts, ..without_attempts(now) };
    assert_eq!(
        harness_with_recovered_message(&keyed_class(), past(max_attempts - 1), None).next_sends().len(),
        1
    );
    let mut exhausted = harness_with_recovered_message(&keyed_class(), past(max_attempts), None);
    let actions = exhausted.next_actions();
    assert!(matches!(actions[0], Action::Reject { message: MessageId(1), .. }), "{actions:?}");
}

#[test]
fn restart_starts_the_cooldown_of_every_order_key() {
    let class = Class { ordered: true, ..keyed_class() };
    let past = |now| RecoveredAttempts {
        attempts: 1,
        may_have_run: Some((now - ms(700), None)),
        ..without_attempts(now)
    };
    let mut harness = harness_with_recovered_message(&class, past, Some(5));
    harness.settings.rules.key_cooldown = ms(100);
    harness.policy = DeliveryPolicy::new(harness.settings.clone(), 1);
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![endpoint(7, 1)])));
    let classes = harness.settings.classes.clone();
    harness.on_event(Event::Restarted);
    for id in [1, 2] {
        let submission = submission(harness.now, id, (ClassId(0), &classes[0]), 1, Some(5));
        let past = if id == 1 { past(harness.now) } else { without_attempts(harness.now) };
        harness.on_event(Event::Recovered(submission, past));
    }
    // Messages are sent in the order recovered, the second one only after the first is completed and the cooldown
    // of the key is over.
    assert_eq!(harness.next_sends().iter().map(|sent| sent.message).collect::<Vec<_>>(), [1]);
    let start = harness.now;
    harness.now = harness.now + ms(20);
    harness.complete_attempt(1, 7, AttemptOutcome::Ok, ms(20));
    assert!(harness.next_sends().is_empty());
    let next = harness.run_until_action(Duration::from_secs(5));
    assert!(matches!(next[0], Action::Send { message: MessageId(2), .. }), "{next:?}");
    assert!(harness.now >= start + ms(100));
}

/// Runs the policy for `duration`, where each request succeeds after 20 ms; `on_step` is called every 10 ms.
/// Returns the ids of the messages that were sent, and of those that were rejected or failed.
fn run_for(
    harness: &mut Harness,
    duration: Duration,
    mut on_step: impl FnMut(&mut Harness),
) -> (Vec<u32>, Vec<u32>) {
    let (mut sent, mut undelivered) = (Vec::new(), Vec::new());
    let mut in_flight: Vec<(Time, u32, u32)> = Vec::new();
    let end = harness.now + duration;
    while harness.now < end {
        harness.now = harness.now + ms(10);
        let due: Vec<_> = in_flight.extract_if(.., |(due_at, ..)| *due_at <= harness.now).collect();
        for (_, message, endpoint) in due {
            harness.complete_attempt(message, endpoint, AttemptOutcome::Ok, ms(20));
        }
        on_step(harness);
        for action in harness.next_actions() {
            match action {
                Action::Send { message, endpoint, .. } => {
                    sent.push(message.0);
                    in_flight.push((harness.now + ms(20), message.0, endpoint.0));
                }
                Action::Reject { message, .. } | Action::Fail { message } => undelivered.push(message.0),
                _ => {}
            }
        }
    }
    (sent, undelivered)
}

/// Found in a fleet test (day `herd`, seed 3, 100 instances): of 3,484 messages that were recovered without an
/// earlier attempt, 1,074 expired without one, as new messages had a higher priority and the rate limit of their
/// destinations was low.
#[test]
fn recovered_untried_messages_are_sent_before_their_deadline_despite_rate_limit_and_new_messages() {
    let class = Class {
        deadline: Duration::from_secs(8),
        latency_objective: Duration::from_secs(2),
        ..unsafe_class()
    };
    let settings = Settings { weights: WeightSource::Nominal, ..settings(vec![class.clone()]) };
    let slow = Endpoint { weight: 2.0, ..endpoint(7, 1) };
    let mut harness = Harness::new(settings, vec![slow]);
    for id in 1..=40 {
        let mut submission = submission(harness.now, id, (ClassId(0), &class), 1, None);
        submission.deadline = harness.now + ms(3000 + u64::from(id) * 50);
        let past = RecoveredAttempts {
            submitted_at: submission.deadline - class.deadline,
            ..RecoveredAttempts::default()
        };
        harness.on_event(Event::Recovered(submission, past));
    }
    let mut next_id = 100;
    let (sent, undelivered) = run_for(&mut harness, Duration::from_secs(6), |harness| {
        next_id += 1;
        if next_id % 20 == 0 {
            harness.submit(next_id, 0, 1, None);
        }
    });
    let untried: Vec<u32> = (1..=40).filter(|id| !sent.contains(id)).collect();
    assert!(untried.is_empty(), "never sent: {untried:?}; rejected or failed: {undelivered:?}");
    // New messages are sent after all of them, and do not exceed the rate limit.
    let last_recovered = sent.iter().rposition(|id| *id <= 40).unwrap_or(0);
    let new_messages = sent[..last_recovered].iter().filter(|id| **id > 40).count();
    assert_eq!(new_messages, 0, "{sent:?}");
}

/// A queue that is full of recovered messages rejects new ones.
#[test]
fn recovered_untried_messages_are_not_shed() {
    let class = Class { deadline: Duration::from_secs(8), ..unsafe_class() };
    let settings = Settings { max_queued: 20, ..settings(vec![class.clone()]) };
    let mut harness = Harness::new(settings, vec![]);
    for id in 1..=20 {
        let submission = submission(harness.now, id, (ClassId(0), &class), 1, None);
        let past = RecoveredAttempts { submitted_at: harness.now - ms(5000), ..RecoveredAttempts::default() };
        harness.on_event(Event::Recovered(submission, past));
    }
    harness.submit(21, 0, 1, None);
    let (sent, undelivered) = run_for(&mut harness, ms(100), |_| {});
    assert_eq!((sent, undelivered), (vec![], vec![21]));
}
