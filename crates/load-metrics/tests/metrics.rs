//! Each metric on records whose value is known.

use cloverstile_load_metrics::reassignment::{reassign, Balancer};
use cloverstile_load_metrics::{
    limit_use, measure, window_loads, Call, Endpoint, LoadRecord, Outcome, Partner, WaitingInterval,
};
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoint(weight: f64) -> Endpoint {
    Endpoint { partner: 0, weight, from: Duration::ZERO, until: Duration::MAX }
}

/// A call every ten milliseconds, to the endpoint and by the instance that are named for its number.
fn record(weights: &[f64], calls: u64, to: impl Fn(u64) -> usize, by: impl Fn(u64) -> u32) -> LoadRecord {
    let call = |n| Call {
        at: ms(n * 10),
        endpoint: to(n),
        instance: by(n),
        outcome: Outcome::Served,
        response_time: ms(25),
    };
    LoadRecord {
        calls: (0..calls).map(call).collect(),
        endpoints: weights.iter().map(|weight| endpoint(*weight)).collect(),
        partners: vec![Partner::default()],
        messages: calls,
        ..LoadRecord::default()
    }
}

#[test]
fn round_robin_is_balanced_and_a_single_endpoint_is_not() {
    let balanced = measure(&record(&[1.0; 4], 400, |n| n as usize % 4, |_| 0), WINDOW, 1).observed;
    assert_eq!((balanced.peak_over_mean, balanced.jain, balanced.idle_share), (1.0, 1.0, 0.0));
    let one = measure(&record(&[1.0; 4], 400, |_| 0, |_| 0), WINDOW, 1).observed;
    assert_eq!((one.peak_over_mean, one.jain), (4.0, 0.25));
    // Three of four never get a call.
    assert!((one.idle_share - 0.75).abs() < 0.01, "{}", one.idle_share);
}

#[test]
fn central_baseline_is_balanced_by_weight_and_random_lies_between() {
    let metrics = measure(&record(&[1.0, 2.0, 5.0], 800, |_| 0, |_| 0), WINDOW, 1);
    assert!(metrics.central.peak_over_mean < 1.1, "{:?}", metrics.central);
    assert!(metrics.central.jain > 0.999);
    assert!(metrics.random.peak_over_mean > metrics.central.peak_over_mean);
    assert!(metrics.random.peak_over_mean < metrics.observed.peak_over_mean);
    assert_eq!(metrics.observed.peak_over_mean, 8.0);
}

#[test]
fn expected_load_of_a_new_endpoint_is_its_part_of_the_window() {
    let mut record = record(&[1.0, 1.0], 400, |n| usize::from(n >= 200 && n % 2 == 1), |_| 0);
    record.endpoints[1].from = ms(2000);
    let balanced = measure(&record, WINDOW, 1);
    assert_eq!(balanced.observed.peak_over_mean, 1.0);
    // Before it was in service there is only one endpoint, and no window counts.
    assert!(window_loads(&record, WINDOW).iter().all(|load| load.window_start >= ms(2000)));
    // The central baseline gives it nothing before, and then no more than its share.
    let reassigned = reassign(&record, Balancer::Central);
    let late: Vec<&Call> = reassigned.calls.iter().filter(|call| call.endpoint == 1).collect();
    assert!(late.iter().all(|call| call.at >= ms(2000)));
    assert!((99..=101).contains(&late.len()), "{}", late.len());
}

#[test]
fn calls_collide_with_those_of_other_instances_within_a_service_time() {
    let alone = measure(&record(&[1.0], 100, |_| 0, |_| 7), WINDOW, 1);
    assert_eq!(alone.observed.collision_share, 0.0);
    let crowd = measure(&record(&[1.0], 100, |_| 0, |n| n as u32), WINDOW, 1);
    assert_eq!(crowd.observed.collision_share, 0.99);
}

#[test]
fn limit_use_counts_served_calls_while_messages_wait() {
    let mut record = record(&[1.0], 300, |_| 0, |_| 0);
    record.partners[0].limit_steps = vec![(Duration::ZERO, 100.0), (ms(2000), 50.0)];
    // No message waits: no use is counted.
    assert!(limit_use(&record).is_empty());
    let waiting = |from, until| WaitingInterval { partner: 0, from: ms(from), until: ms(until) };
    record.waiting_intervals = (0..200).map(|_| waiting(500, 1500)).collect();
    let uses = limit_use(&record);
    assert_eq!(uses.keys().copied().collect::<Vec<_>>(), [(0, 1)]);
    assert_eq!(uses[&(0, 1)].share(), 1.0);
    // Half of the possible calls are served.
    record.calls.retain(|call| call.at.as_millis() % 20 == 0);
    assert_eq!(limit_use(&record)[&(0, 1)].share(), 0.5);
    // Ten waited, so ten could be served.
    record.waiting_intervals.truncate(10);
    assert_eq!(limit_use(&record)[&(0, 1)].share(), 1.0);
    // A lowered limit bounds the possible calls.
    record.waiting_intervals = (0..200).map(|_| waiting(1500, 2500)).collect();
    assert_eq!(limit_use(&record)[&(0, 2)].possible, 50.0);
}
