//! What a message went through before a restart still counts.

mod common;

use cloverstile::*;
use common::*;
use std::time::Duration;

/// Message 1 of class 0 comes back with this past into a courier just started.
fn recovered(class: Class, past: impl FnOnce(Time) -> Past, key: Option<u64>) -> Bench {
    let mut bench = Bench::new(settings(vec![class.clone()]), vec![endpoint(7, 1)]);
    let taken = accepted(bench.now, 1, (ClassId(0), &class), 1, key);
    bench.tell(Event::Recovered(taken, past(bench.now)));
    bench
}

fn fresh(now: Time) -> Past {
    Past { taken_at: now - ms(900), ..Past::default() }
}

#[test]
fn one_never_sent_is_as_any_other() {
    for class in [keyed(), unsafe_class(), safe()] {
        assert_eq!(recovered(class, fresh, None).routes().len(), 1);
    }
}

#[test]
fn an_unsafe_one_that_may_have_run_ends_as_failed_at_once() {
    let past = |now| Past { attempts: 1, may_have_run: Some(now - ms(700)), unsettled: true, ..fresh(now) };
    let mut bench = recovered(unsafe_class(), past, None);
    let actions = bench.decide();
    assert!(actions.contains(&Action::ReportFailure { message: MessageId(1) }), "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::Route { .. })));
}

#[test]
fn a_keyed_one_goes_again_inside_its_window_alone() {
    let class = keyed();
    let past = |since: Duration| {
        move |now: Time| Past { attempts: 1, may_have_run: Some(now - since), ..fresh(now) }
    };
    let inside = class.repeat_window.mul_f64(0.8);
    assert_eq!(recovered(class.clone(), past(inside), None).routes().len(), 1);
    let mut late = recovered(class.clone(), past(class.repeat_window), None);
    assert!(late.decide().contains(&Action::ReportFailure { message: MessageId(1) }));
}

#[test]
fn attempts_used_stay_used() {
    let cap = Settings::default().send_cap;
    let past = |attempts| move |now| Past { attempts, ..fresh(now) };
    assert_eq!(recovered(keyed(), past(cap - 1), None).routes().len(), 1);
    let mut used_up = recovered(keyed(), past(cap), None);
    let actions = used_up.decide();
    assert!(matches!(actions[0], Action::Busy { message: MessageId(1), .. }), "{actions:?}");
}

#[test]
fn a_key_whose_call_was_out_rests_before_its_next_message() {
    let class = Class { in_order: true, ..keyed() };
    let past = |now| Past { attempts: 1, may_have_run: Some(now - ms(700)), unsettled: true, ..fresh(now) };
    let mut bench = recovered(class, past, Some(5));
    bench.settings.rules.order_settle = ms(100);
    bench.courier = Courier::new(bench.settings.clone(), 1);
    bench.tell(Event::Listed(Listing::Whole(vec![endpoint(7, 1)])));
    let classes = bench.settings.classes.clone();
    for id in [1, 2] {
        let taken = accepted(bench.now, id, (ClassId(0), &classes[0]), 1, Some(5));
        let past = if id == 1 { past(bench.now) } else { fresh(bench.now) };
        bench.tell(Event::Recovered(taken, past));
    }
    // In the order recovered, and the second only when the first is over and the key has rested.
    assert_eq!(bench.routes().iter().map(|sent| sent.0).collect::<Vec<_>>(), [1]);
    let begun = bench.now;
    bench.now = bench.now + ms(20);
    bench.finish(1, 7, Outcome::Ok, ms(20));
    assert!(bench.routes().is_empty());
    let next = bench.until_action(Duration::from_secs(5));
    assert!(matches!(next[0], Action::Route { message: MessageId(2), .. }), "{next:?}");
    assert!(bench.now >= begun + ms(100));
}
