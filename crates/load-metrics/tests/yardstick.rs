//! Each figure on records in which it is known.

use cloverstile_load_metrics::deal::{deal, Dealer};
use cloverstile_load_metrics::{limit_use, measure, windows, Call, Endpoint, Outcome, Partner, Record, Stay};
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoint(weight: f64) -> Endpoint {
    Endpoint { partner: 0, weight, from: Duration::ZERO, until: Duration::MAX }
}

/// A call every ten milliseconds, to the endpoint and by the courier that are named for its number.
fn record(weights: &[f64], calls: u64, to: impl Fn(u64) -> usize, by: impl Fn(u64) -> u32) -> Record {
    let call =
        |n| Call { at: ms(n * 10), endpoint: to(n), courier: by(n), outcome: Outcome::Served, took: ms(25) };
    Record {
        calls: (0..calls).map(call).collect(),
        endpoints: weights.iter().map(|weight| endpoint(*weight)).collect(),
        partners: vec![Partner::default()],
        messages: calls,
        ..Record::default()
    }
}

#[test]
fn in_turn_is_even_and_all_to_one_is_not() {
    let even = measure(&record(&[1.0; 4], 400, |n| n as usize % 4, |_| 0), WINDOW, 1).own;
    assert_eq!((even.peak_over_mean, even.jain, even.idle_share), (1.0, 1.0, 0.0));
    let one = measure(&record(&[1.0; 4], 400, |_| 0, |_| 0), WINDOW, 1).own;
    assert_eq!((one.peak_over_mean, one.jain), (4.0, 0.25));
    // Three of four never get a call.
    assert!((one.idle_share - 0.75).abs() < 0.01, "{}", one.idle_share);
}

#[test]
fn the_dispatcher_that_sees_all_is_even_by_weight_and_chance_lies_between() {
    let told = measure(&record(&[1.0, 2.0, 5.0], 800, |_| 0, |_| 0), WINDOW, 1);
    assert!(told.central.peak_over_mean < 1.1, "{:?}", told.central);
    assert!(told.central.jain > 0.999);
    assert!(told.random.peak_over_mean > told.central.peak_over_mean);
    assert!(told.random.peak_over_mean < told.own.peak_over_mean);
    assert_eq!(told.own.peak_over_mean, 8.0);
}

#[test]
fn an_endpoint_that_came_late_owes_only_its_part_of_a_window() {
    let mut record = record(&[1.0, 1.0], 400, |n| usize::from(n >= 200 && n % 2 == 1), |_| 0);
    record.endpoints[1].from = ms(2000);
    let even = measure(&record, WINDOW, 1);
    assert_eq!(even.own.peak_over_mean, 1.0);
    // Before it came there is nothing to spread, and no window of it.
    assert!(windows(&record, WINDOW).iter().all(|load| load.at >= ms(2000)));
    // Dealt anew, it gets nothing before, and does not get all until it caught up.
    let dealt = deal(&record, Dealer::Central);
    let late: Vec<&Call> = dealt.calls.iter().filter(|call| call.endpoint == 1).collect();
    assert!(late.iter().all(|call| call.at >= ms(2000)));
    assert!((99..=101).contains(&late.len()), "{}", late.len());
}

#[test]
fn calls_of_others_within_a_service_time_are_together_and_own_ones_are_not() {
    let alone = measure(&record(&[1.0], 100, |_| 0, |_| 7), WINDOW, 1);
    assert_eq!(alone.own.together, 0.0);
    let crowd = measure(&record(&[1.0], 100, |_| 0, |n| n as u32), WINDOW, 1);
    assert_eq!(crowd.own.together, 0.99);
}

#[test]
fn a_limit_is_used_where_what_waits_is_served_up_to_it() {
    let mut record = record(&[1.0], 300, |_| 0, |_| 0);
    record.partners[0].limit = vec![(Duration::ZERO, 100.0), (ms(2000), 50.0)];
    // Nobody waits: there is nothing to be used.
    assert!(limit_use(&record).is_empty());
    let stay = |from, until| Stay { partner: 0, from: ms(from), until: ms(until) };
    record.stays = (0..200).map(|_| stay(500, 1500)).collect();
    let uses = limit_use(&record);
    assert_eq!(uses.keys().copied().collect::<Vec<_>>(), [(0, 1)]);
    assert_eq!(uses[&(0, 1)].share(), 1.0);
    // Half is served of what could be.
    record.calls.retain(|call| call.at.as_millis() % 20 == 0);
    assert_eq!(limit_use(&record)[&(0, 1)].share(), 0.5);
    // Ten waited, so ten could be served.
    record.stays.truncate(10);
    assert_eq!(limit_use(&record)[&(0, 1)].share(), 1.0);
    // A lowered limit bounds what could be.
    record.stays = (0..200).map(|_| stay(1500, 2500)).collect();
    assert_eq!(limit_use(&record)[&(0, 2)].possible, 50.0);
}
