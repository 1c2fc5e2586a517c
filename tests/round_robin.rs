//! Choice between endpoints that are equal in all else.

mod common;

use cloverstile::{
    AttemptOutcome, Endpoint, EndpointListUpdate, EndpointState, Event, Kind, KindId, Settings,
};
use common::{endpoint, ms, safe_class, settings, Harness};
use std::collections::BTreeMap;
use std::time::Duration;

/// One request at a time, each with a response at once, with this gap between them.
fn one_by_one(harness: &mut Harness, calls: u32, gap: Duration) -> Vec<u32> {
    let mut went = Vec::new();
    for _ in 0..calls {
        harness.now = harness.now + gap;
        let id = 1 + harness.messages_sent();
        harness.submit(id, 0, 1, None);
        let sent = harness.next_sends();
        assert_eq!(sent.len(), 1, "message {id}: {sent:?}");
        went.push(sent[0].endpoint);
        harness.complete_attempt(id, sent[0].endpoint, AttemptOutcome::Ok, ms(5));
        harness.next_actions();
    }
    went
}

fn counts(went: &[u32]) -> BTreeMap<u32, usize> {
    let mut counts = BTreeMap::new();
    went.iter().for_each(|endpoint| *counts.entry(*endpoint).or_default() += 1);
    counts
}

fn harness(seed: u64, endpoints: Vec<Endpoint>) -> Harness {
    let kinds = vec![
        Kind { max_batch: 1, per_endpoint_limits: false },
        Kind { max_batch: 1, per_endpoint_limits: true },
    ];
    let settings = Settings { kinds, instance_count: 300, ..settings(vec![safe_class()]) };
    let mut harness = Harness::new(settings.clone(), Vec::new());
    // Adjacent seeds begin alike.
    harness.replace_policy(settings, seed.wrapping_mul(0x9e37_79b9_7f4a_7c15), endpoints);
    harness
}

/// With a preference drawn once, an instance with a third of all traffic sent it to one endpoint: 1.65 times its part.
#[test]
fn busy_instance_uses_round_robin_from_a_random_start() {
    let mut starts = BTreeMap::new();
    for seed in 0..30 {
        let mut harness = harness(seed, (1..=3).map(|id| endpoint(id, 1)).collect());
        // What is sent before its demand is known may stay at one endpoint.
        one_by_one(&mut harness, 40, ms(100));
        let went = one_by_one(&mut harness, 30, ms(100));
        assert_eq!(counts(&went), BTreeMap::from([(1, 10), (2, 10), (3, 10)]), "seed {seed}: {went:?}");
        *starts.entry(went[0]).or_insert(0) += 1;
    }
    assert!(starts.len() == 3 && starts.values().all(|count| *count >= 4), "{starts:?}");
}

/// With limits per endpoint, one with twenty times the limit got as many requests as the least one.
#[test]
fn round_robin_is_weighted_with_per_endpoint_limits() {
    let apart = |id, weight| Endpoint { kind: KindId(1), weight, ..endpoint(id, 1) };
    let mut first = BTreeMap::new();
    for seed in 0..400 {
        let mut harness = harness(seed, vec![apart(1, 40.0), apart(2, 8.0), apart(3, 2.0)]);
        *first.entry(one_by_one(&mut harness, 1, ms(100))[0]).or_insert(0) += 1;
    }
    // From the first request on: 40 in 50, 8 in 50, 2 in 50.
    let near = |id: u32, due: f64| (f64::from(first.get(&id).copied().unwrap_or(0)) - due).abs();
    assert!(near(1, 320.0) < 35.0 && near(2, 64.0) < 35.0 && near(3, 16.0) < 16.0, "{first:?}");
    let mut harness = harness(1, vec![apart(1, 40.0), apart(2, 8.0), apart(3, 2.0)]);
    one_by_one(&mut harness, 100, ms(20));
    let went = counts(&one_by_one(&mut harness, 200, ms(20)));
    let near = |id: u32, due: usize| went.get(&id).copied().unwrap_or(0).abs_diff(due) <= 6;
    assert!(near(1, 160) && near(2, 32) && near(3, 8), "{went:?}");
}

/// Hundreds of low-traffic instances with plain round robin would open a connection for nearly each request.
#[test]
fn low_traffic_instance_prefers_the_open_connection() {
    let mut harness = harness(1, (1..=3).map(|id| endpoint(id, 1)).collect());
    let idle = harness.settings.connection_idle_timeout;
    let went = one_by_one(&mut harness, 6, idle.mul_f64(0.7));
    assert_eq!(counts(&went).len(), 1, "{went:?}");
    // Where it lapsed, the next request costs a connection anyhow: round robin goes on.
    let lapsed = one_by_one(&mut harness, 2, idle.mul_f64(1.1));
    assert_eq!(counts(&[&went[..1], &lapsed[..]].concat()).len(), 3, "{went:?}, then {lapsed:?}");
}

/// An endpoint that was left out owes one turn: an instance that made up for all of them sent everything to the one
/// that just returned, and hundreds would do so in the same moment.
#[test]
fn endpoint_that_returns_is_not_sent_its_backlog_of_turns() {
    let mut endpoints: Vec<Endpoint> = (1..=3).map(|id| endpoint(id, 1)).collect();
    let mut harness = harness(1, endpoints.clone());
    one_by_one(&mut harness, 60, ms(50));
    endpoints[1].state = EndpointState::Draining;
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints.clone())));
    assert_eq!(counts(&one_by_one(&mut harness, 60, ms(50))).get(&2), None);
    endpoints[1].state = EndpointState::Ready;
    // A new one comes with it, and starts level.
    endpoints.push(endpoint(4, 1));
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints)));
    let went = one_by_one(&mut harness, 12, ms(50));
    let most = counts(&went).into_values().max();
    assert!(most <= Some(4), "{went:?}");
}
