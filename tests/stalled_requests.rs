//! Single connections that fall silent while their destination responds on others.

mod common;

use cloverstile::{Action, AttemptOutcome, Event, MessageId, Settings, Time};
use common::{endpoint, keyed_class, ms, settings, unsafe_class, Harness, Sent};
use std::time::Duration;

/// Seen on sockets (rate+silent+leave): single connections fell silent at every destination. Each then had as many
/// requests in flight as slots were free, so that no bulkhead let anything through and the slots never ran out, which
/// alone abandoned hanging requests: 25% late and 10% rejected while two of 32 slots were free.
#[test]
fn requests_stalled_behind_bulkheads_are_abandoned_though_a_slot_is_free() {
    let settings = Settings { concurrency_limit: 8, ..settings(vec![unsafe_class()]) };
    let mut harness = Harness::new(settings, (1..=3).map(|d| endpoint(u32::from(d), d)).collect());
    let mut id = 0;
    // Each destination responds to all requests but those on connections that fell silent.
    let mut in_flight: Vec<(u32, u32, Option<Time>)> = Vec::new();
    let (mut called_off, mut least_free, mut longest) = (0, usize::MAX, Duration::ZERO);
    for step in 0..2000u32 {
        harness.now = harness.now + ms(5);
        if step % 5 == 0 {
            id += 1;
            harness.submit(id, 0, (id % 3 + 1) as u16, None);
        }
        for (message, endpoint, silent) in std::mem::take(&mut in_flight) {
            match silent {
                Some(sent) => in_flight.push((message, endpoint, Some(sent))),
                None => harness.complete_attempt(message, endpoint, AttemptOutcome::Ok, ms(5)),
            }
        }
        for action in harness.next_actions() {
            match action {
                Action::Send { message, endpoint, .. } => {
                    let silent = (message.0 % 20 == 0).then_some(harness.now);
                    in_flight.push((message.0, endpoint.0, silent));
                }
                Action::AbandonAttempt { message, .. } => {
                    let place = in_flight.iter().position(|(other, ..)| *other == message.0).unwrap();
                    let (_, endpoint, silent) = in_flight.remove(place);
                    let waited = harness.now - silent.expect("a call that was answered in time");
                    harness.complete_attempt(message.0, endpoint, AttemptOutcome::Abandoned, waited);
                    longest = longest.max(waited);
                    called_off += 1;
                }
                _ => {}
            }
        }
        least_free = least_free.min(8 - in_flight.len());
    }
    assert!(least_free > 0, "the slots ran out: not the case that is tested");
    assert!(called_off > 3, "{called_off}");
    assert!(longest < Duration::from_secs(3), "{longest:?}");
    assert!(in_flight.iter().filter(|(.., silent)| silent.is_none()).count() <= 3, "{in_flight:?}");
}

/// Seen on sockets (incident r217acb): each request on a connection that fell silent made the time-out of the next one
/// longer, until nearly all slots were held by such.
#[test]
fn overtaken_requests_are_no_latency_samples() {
    let mut harness = Harness::new(settings(vec![keyed_class()]), vec![endpoint(7, 1)]);
    let mut id = 0;
    let mut waits = Vec::new();
    for _ in 0..20 {
        id += 1;
        let silent = id;
        harness.submit(silent, 0, 1, None);
        let sent = harness.now;
        let wait = harness
            .next_sends()
            .iter()
            .find(|sent| sent.message == silent)
            .map(|sent| sent.timeout)
            .expect("a send");
        // Others are answered meanwhile, a few a second.
        while harness.now < sent + wait {
            harness.now = harness.now + ms(250);
            id += 1;
            harness.submit(id, 0, 1, None);
            for Sent { message, .. } in harness.next_sends() {
                harness.now = harness.now + ms(20);
                harness.complete_attempt(message, 7, AttemptOutcome::Ok, ms(20));
            }
        }
        harness.complete_attempt(silent, 7, AttemptOutcome::Timeout, wait);
        harness.on_event(Event::Cancelled(MessageId(silent)));
        waits.push(wait);
    }
    assert!(waits[19] <= waits[1], "{waits:?}");
}
