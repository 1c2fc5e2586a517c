//! Round robin between endpoints that rank equally by all other criteria.

mod common;

use cloverstile::{
    AttemptOutcome, Endpoint, EndpointListUpdate, EndpointState, Event, Kind, KindId, Settings,
};
use common::{endpoint, ms, safe_class, settings, Harness};
use std::collections::BTreeMap;
use std::time::Duration;

/// Sends requests one at a time, `gap` apart, each answered at once. Returns the endpoints chosen.
fn send_sequentially(harness: &mut Harness, count: u32, gap: Duration) -> Vec<u32> {
    let mut chosen = Vec::new();
    for _ in 0..count {
        harness.now = harness.now + gap;
        let id = 1 + harness.messages_sent();
        harness.submit(id, 0, 1, None);
        let sent = harness.next_sends();
        assert_eq!(sent.len(), 1, "message {id}: {sent:?}");
        chosen.push(sent[0].endpoint);
        harness.complete_attempt(id, sent[0].endpoint, AttemptOutcome::Ok, ms(5));
        harness.next_actions();
    }
    chosen
}

fn requests_per_endpoint(chosen: &[u32]) -> BTreeMap<u32, usize> {
    let mut counts = BTreeMap::new();
    chosen.iter().for_each(|endpoint| *counts.entry(*endpoint).or_default() += 1);
    counts
}

fn harness(seed: u64, endpoints: Vec<Endpoint>) -> Harness {
    let kinds = vec![
        Kind { max_batch: 1, per_endpoint_limits: false },
        Kind { max_batch: 1, per_endpoint_limits: true },
    ];
    let settings = Settings { kinds, instance_count: 300, ..settings(vec![safe_class()]) };
    let mut harness = Harness::new(settings.clone(), Vec::new());
    // Adjacent seeds yield similar first random numbers, so they are spread out.
    harness.replace_policy(settings, seed.wrapping_mul(0x9e37_79b9_7f4a_7c15), endpoints);
    harness
}

/// With a preference drawn once, an instance with a third of all traffic sent all of it to one endpoint, which got
/// 1.65 times its share.
#[test]
fn busy_instance_uses_round_robin_from_a_random_start() {
    let mut starts = BTreeMap::new();
    for seed in 0..30 {
        let mut harness = harness(seed, (1..=3).map(|id| endpoint(id, 1)).collect());
        // Until the demand is known, requests may all go to the endpoint with an open connection.
        send_sequentially(&mut harness, 40, ms(100));
        let chosen = send_sequentially(&mut harness, 30, ms(100));
        assert_eq!(
            requests_per_endpoint(&chosen),
            BTreeMap::from([(1, 10), (2, 10), (3, 10)]),
            "seed {seed}: {chosen:?}"
        );
        *starts.entry(chosen[0]).or_insert(0) += 1;
    }
    assert!(starts.len() == 3 && starts.values().all(|count| *count >= 4), "{starts:?}");
}

/// With limits per endpoint, an endpoint with twenty times the limit of the smallest one got as many requests as
/// that.
#[test]
fn round_robin_is_weighted_with_per_endpoint_limits() {
    let weighted = |id, weight| Endpoint { kind: KindId(1), weight, ..endpoint(id, 1) };
    let mut first = BTreeMap::new();
    for seed in 0..400 {
        let mut harness = harness(seed, vec![weighted(1, 40.0), weighted(2, 8.0), weighted(3, 2.0)]);
        *first.entry(send_sequentially(&mut harness, 1, ms(100))[0]).or_insert(0) += 1;
    }
    // Shares by weight from the first request on: 40/50, 8/50 and 2/50 of 400.
    let deviation =
        |id: u32, expected: f64| (f64::from(first.get(&id).copied().unwrap_or(0)) - expected).abs();
    assert!(
        deviation(1, 320.0) < 35.0 && deviation(2, 64.0) < 35.0 && deviation(3, 16.0) < 16.0,
        "{first:?}"
    );
    let mut harness = harness(1, vec![weighted(1, 40.0), weighted(2, 8.0), weighted(3, 2.0)]);
    send_sequentially(&mut harness, 100, ms(20));
    let requests = requests_per_endpoint(&send_sequentially(&mut harness, 200, ms(20)));
    let is_close = |id: u32, expected: usize| requests.get(&id).copied().unwrap_or(0).abs_diff(expected) <= 6;
    assert!(is_close(1, 160) && is_close(2, 32) && is_close(3, 8), "{requests:?}");
}

/// With plain round robin, hundreds of low-traffic instances would open a new connection for almost every request.
#[test]
fn low_traffic_instance_prefers_endpoint_with_open_connection() {
    let mut harness = harness(1, (1..=3).map(|id| endpoint(id, 1)).collect());
    let idle_timeout = harness.settings.connection_idle_timeout;
    let chosen = send_sequentially(&mut harness, 6, idle_timeout.mul_f64(0.7));
    assert_eq!(requests_per_endpoint(&chosen).len(), 1, "{chosen:?}");
    // After the idle timeout the next request needs a new connection anyway, so round robin continues.
    let after_timeout = send_sequentially(&mut harness, 2, idle_timeout.mul_f64(1.1));
    assert_eq!(
        requests_per_endpoint(&[&chosen[..1], &after_timeout[..]].concat()).len(),
        3,
        "{chosen:?}, then {after_timeout:?}"
    );
}

/// An endpoint that returns makes up for one missed turn at most. An instance that made up for all of them sent
/// every request to the returned endpoint, and hundreds of instances would do so at the same moment.
#[test]
fn returning_endpoint_does_not_make_up_for_missed_turns() {
    let mut endpoints: Vec<Endpoint> = (1..=3).map(|id| endpoint(id, 1)).collect();
    let mut harness = harness(1, endpoints.clone());
    send_sequentially(&mut harness, 60, ms(50));
    endpoints[1].state = EndpointState::Draining;
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints.clone())));
    assert_eq!(requests_per_endpoint(&send_sequentially(&mut harness, 60, ms(50))).get(&2), None);
    endpoints[1].state = EndpointState::Ready;
    // A new endpoint is listed at the same time, and starts level with the others.
    endpoints.push(endpoint(4, 1));
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints)));
    let chosen = send_sequentially(&mut harness, 12, ms(50));
    let max_requests = requests_per_endpoint(&chosen).into_values().max();
    assert!(max_requests <= Some(4), "{chosen:?}");
}
