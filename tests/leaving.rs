//! What was decided is asked again when it leaves: what came in between holds it back, and costs it nothing.

mod common;

use cloverstile::*;
use common::*;
use std::time::Duration;

/// Something that comes in between.
type Happens<'a> = &'a dyn Fn(&mut Bench);

/// Message 1 was sent to endpoint 7 and waits for its connection; 2 was sent there before it.
fn on_its_way(class: Class) -> Bench {
    let mut bench = Bench::new(settings(vec![class]), vec![endpoint(7, 1), endpoint(8, 2)]);
    for id in [2, 1] {
        bench.accept(id, 0, 1, None);
        assert_eq!(bench.routes().len(), 1);
        bench.now = bench.now + ms(20);
    }
    assert!(bench.courier.may_send_now(bench.now, MessageId(1)));
    bench
}

fn list(bench: &mut Bench, mode: EndpointState) {
    bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![Endpoint {
        state: mode,
        ..endpoint(7, 1)
    }])));
}

/// Each thing that may come in between, on its own.
#[test]
fn a_wait_a_drain_an_outage_and_a_return_hold_back_what_was_decided_before() {
    let wait = |bench: &mut Bench| {
        bench.tell(Event::RetryAfter { endpoint: EndpointId(7), wait: ms(600) });
    };
    let refused = |bench: &mut Bench| bench.finish(2, 7, AttemptOutcome::Rejected(Some(ms(600))), ms(30));
    let shut = |bench: &mut Bench| {
        let long = bench.settings.rules.overload_window * 2;
        bench.finish(2, 7, AttemptOutcome::Rejected(Some(long)), ms(30));
        // The wait is over, and what is behind the door starts slowly.
        bench.now = bench.now + long + ms(1);
    };
    let drains = |bench: &mut Bench| list(bench, EndpointState::Draining);
    let gone = |bench: &mut Bench| {
        bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![endpoint(8, 2)])));
    };
    let fails = |bench: &mut Bench| {
        bench.finish(2, 7, AttemptOutcome::ConnectFailed, ms(30));
        for id in 10..14 {
            bench.accept(id, 0, 1, None);
            bench.until_action(Duration::from_secs(2));
            bench.finish(id, 7, AttemptOutcome::ConnectFailed, ms(30));
        }
    };
    let cases: [(&str, Happens); 6] = [
        ("wait", &wait),
        ("refused", &refused),
        ("shut", &shut),
        ("drains", &drains),
        ("gone", &gone),
        ("fails", &fails),
    ];
    for (name, happens) in cases {
        let class = Class {
            deadline: Duration::from_secs(60),
            latency_objective: Duration::from_secs(20),
            ..keyed()
        };
        let mut bench = on_its_way(class);
        happens(&mut bench);
        assert!(!bench.courier.may_send_now(bench.now, MessageId(1)), "{name}");
    }
    let mut bench = on_its_way(keyed());
    bench.tell(Event::RetryAfter { endpoint: EndpointId(8), wait: ms(600) });
    assert!(bench.courier.may_send_now(bench.now, MessageId(1)), "that was another destination");
    bench.tell(Event::Cancelled(MessageId(1)));
    assert!(!bench.courier.may_send_now(bench.now, MessageId(1)), "nobody wants it any more");
}

/// A trial is sent because of the outage: that the outage is still there is no reason against it.
#[test]
fn a_trial_goes_while_its_outage_lasts() {
    let mut bench = Bench::new(settings(vec![safe()]), vec![endpoint(7, 1)]);
    for id in 1..9 {
        bench.accept(id, 0, 1, None);
        let sent = bench.until_action(Duration::from_secs(20));
        let Some(Action::Send { message, .. }) = sent.first() else { panic!("{sent:?}") };
        assert!(bench.courier.may_send_now(bench.now, *message), "{id}");
        let message = message.0;
        bench.finish(message, 7, AttemptOutcome::ConnectFailed, ms(30));
    }
}

#[test]
fn a_repeat_is_held_back_once_its_window_is_over_and_a_first_try_is_not() {
    let class = Class { deadline: Duration::from_secs(60), ..keyed() };
    let mut bench = Bench::new(settings(vec![class.clone()]), vec![endpoint(7, 1)]);
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.routes().len(), 1);
    let first = bench.now;
    bench.now = first + class.retry_window;
    assert!(bench.courier.may_send_now(bench.now, MessageId(1)), "it never ran");
    bench.now = first + ms(50);
    bench.finish(1, 7, AttemptOutcome::Reset, ms(50));
    bench.until_action(Duration::from_secs(3));
    assert_eq!(bench.attempts_made(), 1, "one message");
    assert!(bench.courier.may_send_now(bench.now, MessageId(1)));
    assert!(!bench.courier.may_send_now(retry_window_end(&class, first) + ms(1), MessageId(1)));
    // Of a courier that was lost it may have run at any time since it was handed in there.
    let mut taken = accepted(bench.now, 2, (ClassId(0), &class), 1, None);
    taken.from_lost_instance = true;
    taken.deadline = bench.now + class.deadline - ms(200);
    let handed_in = bench.now - ms(200);
    bench.tell(Event::Submitted(taken));
    assert_eq!(bench.routes().len(), 1);
    assert!(bench.courier.may_send_now(bench.now, MessageId(2)));
    assert!(!bench.courier.may_send_now(retry_window_end(&class, handed_in) + ms(1), MessageId(2)));
}

/// However often it is held back: attempts, place and fate are as before, and it goes when it may.
#[test]
fn what_is_held_back_costs_no_attempt_and_goes_when_it_may() {
    let class = Class { deadline: Duration::from_secs(60), ..unsafe_class() };
    let mut bench = Bench::new(settings(vec![class]), vec![endpoint(7, 1)]);
    let cap = bench.settings.max_attempts;
    bench.accept(1, 0, 1, None);
    for round in 0..cap + 3 {
        let sent = bench.until_action(Duration::from_secs(3));
        assert!(matches!(sent[..], [Action::Send { message: MessageId(1), .. }]), "{round}: {sent:?}");
        bench.tell(Event::RetryAfter { endpoint: EndpointId(7), wait: ms(300) });
        assert!(!bench.courier.may_send_now(bench.now, MessageId(1)));
        bench.finish(1, 7, AttemptOutcome::NotStarted, ms(5));
        // Not at once again: no loop without a pause.
        let told = bench.now;
        assert!(bench.routes().is_empty());
        bench.now = told + ms(299);
        assert!(bench.routes().is_empty(), "the wait is not over");
    }
    bench.until_action(Duration::from_secs(3));
    bench.finish(1, 7, AttemptOutcome::Reset, ms(5));
    let end = bench.until_action(Duration::from_secs(3));
    assert_eq!(end, [Action::Fail { message: MessageId(1) }], "that one may have run");
}
