//! Stalled requests: single connections stop responding while their destination responds on others.

mod common;

use cloverstile::{Action, AttemptOutcome, Event, MessageId, Settings, Time};
use common::{endpoint, keyed_class, ms, settings, unsafe_class, Harness, Sent};
use std::time::Duration;

/// Found in a socket test (faults `rate+silent+leave`): single connections stopped responding at every destination,
/// until each destination had as many requests in flight as slots were free. The bulkheads then blocked all
/// requests, but stalled requests were abandoned only when no slot was free: 25% of the messages were late and 10%
/// rejected while two of 32 slots were free.
#[test]
fn requests_stalled_behind_bulkheads_are_abandoned_while_a_slot_is_free() {
    let settings = Settings { concurrency_limit: 8, ..settings(vec![unsafe_class()]) };
    let mut harness = Harness::new(settings, (1..=3).map(|id| endpoint(u32::from(id), id)).collect());
    let mut id = 0;
    // Message, endpoint, and the send time if the request is never answered. All other requests are answered after
    // one step.
    let mut in_flight: Vec<(u32, u32, Option<Time>)> = Vec::new();
    let (mut abandoned, mut min_free_slots, mut max_wait) = (0, usize::MAX, Duration::ZERO);
    for step in 0..2000u32 {
        harness.now = harness.now + ms(5);
        if step % 5 == 0 {
            id += 1;
            harness.submit(id, 0, (id % 3 + 1) as u16, None);
        }
        for (message, endpoint, unanswered_since) in std::mem::take(&mut in_flight) {
            match unanswered_since {
                Some(sent_at) => in_flight.push((message, endpoint, Some(sent_at))),
                None => harness.complete_attempt(message, endpoint, AttemptOutcome::Ok, ms(5)),
            }
        }
        for action in harness.next_actions() {
            match action {
                Action::Send { message, endpoint, .. } => {
                    let unanswered_since = (message.0 % 20 == 0).then_some(harness.now);
                    in_flight.push((message.0, endpoint.0, unanswered_since));
                }
                Action::AbandonAttempt { message, .. } => {
                    let index = in_flight.iter().position(|(other, ..)| *other == message.0).unwrap();
                    let (_, endpoint, unanswered_since) = in_flight.remove(index);
                    let waited =
                        harness.now - unanswered_since.expect("only unanswered requests are abandoned");
                    harness.complete_attempt(message.0, endpoint, AttemptOutcome::Abandoned, waited);
                    max_wait = max_wait.max(waited);
                    abandoned += 1;
                }
                _ => {}
            }
        }
        min_free_slots = min_free_slots.min(8 - in_flight.len());
    }
    assert!(min_free_slots > 0, "no slot was free, which is not the case under test");
    assert!(abandoned > 3, "only {abandoned} requests abandoned");
    assert!(max_wait < Duration::from_secs(3), "a stalled request was abandoned only after {max_wait:?}");
    assert!(
        in_flight.iter().filter(|(.., unanswered_since)| unanswered_since.is_none()).count() <= 3,
        "{in_flight:?}"
    );
}

/// Found in a socket test (incident r217acb): the time-out of each request on a connection that had stopped
/// responding counted as a latency sample and lengthened the next time-out, until such requests held nearly all
/// slots.
#[test]
fn overtaken_requests_are_not_latency_samples() {
    let mut harness = Harness::new(settings(vec![keyed_class()]), vec![endpoint(7, 1)]);
    let mut id = 0;
    let mut timeouts = Vec::new();
    for _ in 0..20 {
        id += 1;
        let stalled = id;
        harness.submit(stalled, 0, 1, None);
        let sent_at = harness.now;
        let timeout = harness
            .next_sends()
            .iter()
            .find(|sent| sent.message == stalled)
            .map(|sent| sent.timeout)
            .expect("the message is sent");
        // Other requests overtake it: four a second are answered meanwhile.
        while harness.now < sent_at + timeout {
            harness.now = harness.now + ms(250);
            id += 1;
            harness.submit(id, 0, 1, None);
            for Sent { message, .. } in harness.next_sends() {
                harness.now = harness.now + ms(20);
                harness.complete_attempt(message, 7, AttemptOutcome::Ok, ms(20));
            }
        }
        harness.complete_attempt(stalled, 7, AttemptOutcome::Timeout, timeout);
        harness.on_event(Event::Cancelled(MessageId(stalled)));
        timeouts.push(timeout);
    }
    assert!(timeouts[19] <= timeouts[1], "{timeouts:?}");
}
