//! Which of several endpoints a call goes to, where nothing else tells them apart.

mod common;

use cloverstile::*;
use common::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// One call at a time, each answered at once, so long after the one before.
fn one_by_one(bench: &mut Bench, calls: u32, gap: Duration) -> Vec<u32> {
    let mut went = Vec::new();
    for _ in 0..calls {
        bench.now = bench.now + gap;
        let id = 1 + bench.attempts_made();
        bench.accept(id, 0, 1, None);
        let sent = bench.routes();
        assert_eq!(sent.len(), 1, "message {id}: {sent:?}");
        went.push(sent[0].1);
        bench.finish(id, sent[0].1, AttemptOutcome::Ok, ms(5));
        bench.decide();
    }
    went
}

fn counts(went: &[u32]) -> BTreeMap<u32, usize> {
    let mut counts = BTreeMap::new();
    went.iter().for_each(|endpoint| *counts.entry(*endpoint).or_default() += 1);
    counts
}

fn bench(seed: u64, endpoints: Vec<Endpoint>) -> Bench {
    let kinds = vec![
        Kind { max_batch: 1, per_endpoint_limits: false },
        Kind { max_batch: 1, per_endpoint_limits: true },
    ];
    let settings = Settings { kinds, instance_count: 300, ..settings(vec![safe()]) };
    let mut bench = Bench::new(settings.clone(), Vec::new());
    // Seeds that follow each other begin alike.
    bench.restart(settings, seed.wrapping_mul(0x9e37_79b9_7f4a_7c15), endpoints);
    bench
}

/// By a preference drawn once, a courier with a third of all traffic had one endpoint for it: 1.65 times its part.
#[test]
fn a_busy_courier_lets_endpoints_take_turns_from_a_start_of_its_own() {
    let mut starts = BTreeMap::new();
    for seed in 0..30 {
        let mut bench = bench(seed, (1..=3).map(|id| endpoint(id, 1)).collect());
        // What is sent before its demand is known may stay.
        one_by_one(&mut bench, 40, ms(100));
        let went = one_by_one(&mut bench, 30, ms(100));
        assert_eq!(counts(&went), BTreeMap::from([(1, 10), (2, 10), (3, 10)]), "seed {seed}: {went:?}");
        *starts.entry(went[0]).or_insert(0) += 1;
    }
    assert!(starts.len() == 3 && starts.values().all(|count| *count >= 4), "{starts:?}");
}

/// With routes apart, one that takes twenty times the calls got as many as the least one.
#[test]
fn routes_apart_have_turns_by_what_they_take() {
    let apart = |id, weight| Endpoint { kind: KindId(1), weight, ..endpoint(id, 1) };
    let mut first = BTreeMap::new();
    for seed in 0..400 {
        let mut bench = bench(seed, vec![apart(1, 40.0), apart(2, 8.0), apart(3, 2.0)]);
        *first.entry(one_by_one(&mut bench, 1, ms(100))[0]).or_insert(0) += 1;
    }
    // From the first call on: 40 in 50, 8 in 50, 2 in 50.
    let near = |id: u32, due: f64| (f64::from(first.get(&id).copied().unwrap_or(0)) - due).abs();
    assert!(near(1, 320.0) < 35.0 && near(2, 64.0) < 35.0 && near(3, 16.0) < 16.0, "{first:?}");
    let mut bench = bench(1, vec![apart(1, 40.0), apart(2, 8.0), apart(3, 2.0)]);
    one_by_one(&mut bench, 100, ms(20));
    let went = counts(&one_by_one(&mut bench, 200, ms(20)));
    let near = |id: u32, due: usize| went.get(&id).copied().unwrap_or(0).abs_diff(due) <= 6;
    assert!(near(1, 160) && near(2, 32) && near(3, 8), "{went:?}");
}

/// Hundreds of light couriers that took turns would open a new connection with nearly each call.
#[test]
fn a_light_courier_stays_where_its_connection_is_open() {
    let mut bench = bench(1, (1..=3).map(|id| endpoint(id, 1)).collect());
    let idle = bench.settings.connection_idle_timeout;
    let went = one_by_one(&mut bench, 6, idle.mul_f64(0.7));
    assert_eq!(counts(&went).len(), 1, "{went:?}");
    // Where it lapsed, the next call costs a connection anyhow: another's turn.
    let lapsed = one_by_one(&mut bench, 2, idle.mul_f64(1.1));
    assert_eq!(counts(&[&went[..1], &lapsed[..]].concat()).len(), 3, "{went:?}, then {lapsed:?}");
}

/// What was left out owes one turn: a courier that made up for all of them sent everything to what just came back, and
/// hundreds would do so in the same moment.
#[test]
fn one_that_was_left_out_is_not_sent_all_that_it_missed() {
    let mut endpoints: Vec<Endpoint> = (1..=3).map(|id| endpoint(id, 1)).collect();
    let mut bench = bench(1, endpoints.clone());
    one_by_one(&mut bench, 60, ms(50));
    endpoints[1].state = EndpointState::Draining;
    bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints.clone())));
    assert_eq!(counts(&one_by_one(&mut bench, 60, ms(50))).get(&2), None);
    endpoints[1].state = EndpointState::Ready;
    // A new one comes with it, and starts level.
    endpoints.push(endpoint(4, 1));
    bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints)));
    let went = one_by_one(&mut bench, 12, ms(50));
    let most = counts(&went).into_values().max();
    assert!(most <= Some(4), "{went:?}");
}
