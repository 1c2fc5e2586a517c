//! Checks each metric on records with a known value.

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

/// A record with a served call every 10 ms at one partner. `to` and `by` map the number of a call to its endpoint and
/// instance.
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
fn balance_metrics_tell_round_robin_from_a_single_loaded_endpoint() {
    let balanced = measure(&record(&[1.0; 4], 400, |n| n as usize % 4, |_| 0), WINDOW, 1).observed;
    assert_eq!((balanced.peak_over_mean, balanced.jain, balanced.idle_share), (1.0, 1.0, 0.0));
    let single = measure(&record(&[1.0; 4], 400, |_| 0, |_| 0), WINDOW, 1).observed;
    assert_eq!((single.peak_over_mean, single.jain), (4.0, 0.25));
    // Three of the four endpoints receive no call.
    assert!((single.idle_share - 0.75).abs() < 0.01, "{}", single.idle_share);
}

#[test]
fn central_baseline_is_balanced_by_weight_and_random_lies_between_central_and_observed() {
    let metrics = measure(&record(&[1.0, 2.0, 5.0], 800, |_| 0, |_| 0), WINDOW, 1);
    assert!(metrics.central.peak_over_mean < 1.1, "{:?}", metrics.central);
    assert!(metrics.central.jain > 0.999);
    assert!(metrics.random.peak_over_mean > metrics.central.peak_over_mean);
    assert!(metrics.random.peak_over_mean < metrics.observed.peak_over_mean);
    assert_eq!(metrics.observed.peak_over_mean, 8.0);
}

#[test]
fn expected_load_of_a_new_endpoint_counts_only_its_time_in_service() {
    let mut record = record(&[1.0, 1.0], 400, |n| usize::from(n >= 200 && n % 2 == 1), |_| 0);
    record.endpoints[1].from = ms(2000);
    let metrics = measure(&record, WINDOW, 1);
    assert_eq!(metrics.observed.peak_over_mean, 1.0);
    // Earlier windows are left out, as only one endpoint was in service.
    assert!(window_loads(&record, WINDOW).iter().all(|load| load.window_start >= ms(2000)));
    // The central baseline assigns no call to the endpoint before its service starts, and no more than its share
    // afterwards.
    let reassigned = reassign(&record, Balancer::Central);
    let new_endpoint_calls: Vec<&Call> = reassigned.calls.iter().filter(|call| call.endpoint == 1).collect();
    assert!(new_endpoint_calls.iter().all(|call| call.at >= ms(2000)));
    assert!((99..=101).contains(&new_endpoint_calls.len()), "{}", new_endpoint_calls.len());
}

#[test]
fn collision_share_counts_calls_of_other_instances_within_a_response_time() {
    let one_instance = measure(&record(&[1.0], 100, |_| 0, |_| 7), WINDOW, 1);
    assert_eq!(one_instance.observed.collision_share, 0.0);
    let many_instances = measure(&record(&[1.0], 100, |_| 0, |n| n as u32), WINDOW, 1);
    assert_eq!(many_instances.observed.collision_share, 0.99);
}

#[test]
fn limit_use_counts_served_calls_while_messages_wait() {
    let mut record = record(&[1.0], 300, |_| 0, |_| 0);
    record.partners[0].limit_steps = vec![(Duration::ZERO, 100.0), (ms(2000), 50.0)];
    // Without waiting messages no second is counted.
    assert!(limit_use(&record).is_empty());
    let waiting = |from, until| WaitingInterval { partner: 0, from: ms(from), until: ms(until) };
    record.waiting_intervals = (0..200).map(|_| waiting(500, 1500)).collect();
    let uses = limit_use(&record);
    assert_eq!(uses.keys().copied().collect::<Vec<_>>(), [(0, 1)]);
    assert_eq!(uses[&(0, 1)].share(), 1.0);
    // Only half of the possible calls are served.
    record.calls.retain(|call| call.at.as_millis() % 20 == 0);
    assert_eq!(limit_use(&record)[&(0, 1)].share(), 0.5);
    // With ten waiting messages only ten calls are possible, and all are served.
    record.waiting_intervals.truncate(10);
    assert_eq!(limit_use(&record)[&(0, 1)].share(), 1.0);
    // After the limit is lowered, the lower value bounds the possible calls.
    record.waiting_intervals = (0..200).map(|_| waiting(1500, 2500)).collect();
    assert_eq!(limit_use(&record)[&(0, 2)].possible, 50.0);
}
