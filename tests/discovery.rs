//! Where the list of endpoints must be asked for: when a courier subscribes, and what it does when that fails.

mod common;

use cloverstile::*;
use common::{endpoint, ms, safe, settings, Bench};
use std::time::Duration;

fn bench(discovery: Discovery, seed: u64) -> Bench {
    let base = Settings { discovery, ..settings(vec![safe()]) };
    let mut bench = Bench::new(base.clone(), vec![]);
    bench.restart(base, seed, vec![endpoint(7, 1)]);
    bench
}

/// When the courier next asks to be kept informed, if it does within `limit`.
fn asks_after(bench: &mut Bench, limit: Duration) -> Option<Duration> {
    let began = bench.now;
    while bench.now - began < limit {
        if bench.decide().contains(&Action::SubscribeEndpoints { active: true }) {
            return Some(bench.now - began);
        }
        bench.now = bench.now + ms(5);
    }
    None
}

/// Without a subscription no drain is told. All couriers start at once, and the list answers only so many.
#[test]
fn a_list_that_must_be_asked_for_is_asked_for_at_times_of_ones_own() {
    let every = Settings::default().rules.discovery_interval;
    let mut gaps: Vec<Duration> = (0..40)
        .map(|seed| asks_after(&mut bench(Discovery::Ask, seed), every).expect("no subscription"))
        .collect();
    gaps.sort_unstable();
    assert!(gaps[39] - gaps[0] > every / 4, "from {:?} to {:?}", gaps[0], gaps[39]);
}

#[test]
fn a_list_that_is_pushed_is_not_asked_for() {
    assert_eq!(asks_after(&mut bench(Discovery::Push, 1), Duration::from_secs(60)), None);
}

/// A failed call, or a subscription that broke, is mended by asking again, later from failure to failure.
#[test]
fn a_failure_is_followed_by_a_further_call_and_a_success_is_not() {
    let every = Settings::default().rules.discovery_interval;
    let mut bench = bench(Discovery::Ask, 1);
    for _ in 0..5 {
        assert!(asks_after(&mut bench, every * 2).is_some());
        bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Unavailable));
    }
    assert!(asks_after(&mut bench, every * 2).is_some());
    bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![])));
    assert_eq!(asks_after(&mut bench, every * 6), None);
    bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Unavailable));
    assert!(asks_after(&mut bench, every * 2).is_some());
}
