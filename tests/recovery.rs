//! Recovery after a restart: what a message went through before still counts.

mod common;

use cloverstile::{
    Action, AttemptOutcome, Class, ClassId, DeliveryPolicy, Endpoint, EndpointListUpdate, Event, MessageId,
    RecoveredAttempts, Settings, Time, WeightSource,
};
use common::{endpoint, keyed_class, ms, safe_class, settings, submission, unsafe_class, Harness};
use std::time::Duration;

/// Message 1 of class 0 is recovered with this past by a policy just started.
fn recovered(class: &Class, past: impl FnOnce(Time) -> RecoveredAttempts, key: Option<u64>) -> Harness {
    let mut harness = Harness::new(settings(vec![class.clone()]), vec![endpoint(7, 1)]);
    let submission = submission(harness.now, 1, (ClassId(0), class), 1, key);
    harness.on_event(Event::Recovered(submission, past(harness.now)));
    harness
}

fn fresh(now: Time) -> RecoveredAttempts {
    RecoveredAttempts { submitted_at: now - ms(900), ..RecoveredAttempts::default() }
}

#[test]
fn recovered_message_without_attempts_is_sent() {
    for class in [keyed_class(), unsafe_class(), safe_class()] {
        assert_eq!(recovered(&class, fresh, None).next_sends().len(), 1);
    }
}

#[test]
fn recovered_unsafe_message_that_may_have_run_fails_at_once() {
    let past =
        |now| RecoveredAttempts { attempts: 1, may_have_run: Some((now - ms(700), None)), ..fresh(now) };
    let mut harness = recovered(&unsafe_class(), past, None);
    let actions = harness.next_actions();
    assert!(actions.contains(&Action::Fail { message: MessageId(1) }), "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::Send { .. })));
}

#[test]
fn recovered_keyed_message_is_retried_inside_its_window_only() {
    let class = keyed_class();
    let past = |since: Duration| {
        move |now: Time| RecoveredAttempts {
            attempts: 1,
            may_have_run: Some((now - since, None)),
            ..fresh(now)
        }
    };
    let inside = class.retry_window.mul_f64(0.8);
    assert_eq!(recovered(&class, past(inside), None).next_sends().len(), 1);
    let mut late = recovered(&class, past(class.retry_window), None);
    assert!(late.next_actions().contains(&Action::Fail { message: MessageId(1) }));
}

#[test]
fn recovery_restores_attempt_count() {
    let cap = Settings::default().max_attempts;
    let past = |attempts| move |now| RecoveredAttempts { attempts, ..fresh(now) };
    assert_eq!(recovered(&keyed_class(), past(cap - 1), None).next_sends().len(), 1);
    let mut used_up = recovered(&keyed_class(), past(cap), None);
    let actions = used_up.next_actions();
    assert!(matches!(actions[0], Action::Reject { message: MessageId(1), .. }), "{actions:?}");
}

#[test]
fn restart_lets_every_key_cool_down() {
    let class = Class { ordered: true, ..keyed_class() };
    let past =
        |now| RecoveredAttempts { attempts: 1, may_have_run: Some((now - ms(700), None)), ..fresh(now) };
    let mut harness = recovered(&class, past, Some(5));
    harness.settings.rules.key_cooldown = ms(100);
    harness.policy = DeliveryPolicy::new(harness.settings.clone(), 1);
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![endpoint(7, 1)])));
    let classes = harness.settings.classes.clone();
    harness.on_event(Event::Restarted);
    for id in [1, 2] {
        let submission = submission(harness.now, id, (ClassId(0), &classes[0]), 1, Some(5));
        let past = if id == 1 { past(harness.now) } else { fresh(harness.now) };
        harness.on_event(Event::Recovered(submission, past));
    }
    // In the order recovered, and the second only when the first is completed and the key has cooled down.
    assert_eq!(harness.next_sends().iter().map(|sent| sent.message).collect::<Vec<_>>(), [1]);
    let begun = harness.now;
    harness.now = harness.now + ms(20);
    harness.complete_attempt(1, 7, AttemptOutcome::Ok, ms(20));
    assert!(harness.next_sends().is_empty());
    let next = harness.run_until_action(Duration::from_secs(5));
    assert!(matches!(next[0], Action::Send { message: MessageId(2), .. }), "{next:?}");
    assert!(harness.now >= begun + ms(100));
}

/// Ids that were sent and ids that got a final answer, where each request succeeds after 20 ms.
fn played(
    harness: &mut Harness,
    limit: Duration,
    mut each: impl FnMut(&mut Harness),
) -> (Vec<u32>, Vec<u32>) {
    let (mut sent, mut answered) = (Vec::new(), Vec::new());
    let mut in_flight: Vec<(Time, u32, u32)> = Vec::new();
    let end = harness.now + limit;
    while harness.now < end {
        harness.now = harness.now + ms(10);
        let due: Vec<_> = in_flight.extract_if(.., |(at, ..)| *at <= harness.now).collect();
        for (_, message, endpoint) in due {
            harness.complete_attempt(message, endpoint, AttemptOutcome::Ok, ms(20));
        }
        each(harness);
        for action in harness.next_actions() {
            match action {
                Action::Send { message, endpoint, .. } => {
                    sent.push(message.0);
                    in_flight.push((harness.now + ms(20), message.0, endpoint.0));
                }
                Action::Reject { message, .. } | Action::Fail { message } => answered.push(message.0),
                _ => {}
            }
        }
    }
    (sent, answered)
}

/// Fleet day herd, seed 3 (100 instances): of 3,484 messages that restarts found untried 1,074 expired without an
/// attempt, as new messages had higher priority and the rate of their destinations was low.
#[test]
fn recovered_untried_messages_are_sent_before_their_deadline_despite_rate_and_new_messages() {
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
    let mut next = 100;
    let (sent, answered) = played(&mut harness, Duration::from_secs(6), |harness| {
        next += 1;
        if next % 20 == 0 {
            harness.submit(next, 0, 1, None);
        }
    });
    let untried: Vec<u32> = (1..=40).filter(|id| !sent.contains(id)).collect();
    assert!(untried.is_empty(), "{untried:?}, answered {answered:?}");
    // New messages come behind them, and none exceeds the rate.
    let last = sent.iter().rposition(|id| *id <= 40).unwrap_or(0);
    let fresh = sent[..last].iter().filter(|id| **id > 40).count();
    assert_eq!(fresh, 0, "{sent:?}");
}

/// A queue that a restart finds full sheds what is new.
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
    let (sent, answered) = played(&mut harness, ms(100), |_| {});
    assert_eq!((sent, answered), (vec![], vec![21]));
}
