//! Subscription to the endpoint list: when an instance subscribes, and what it does after a failure.

mod common;

use cloverstile::{Action, Discovery, EndpointListUpdate, Event, Settings};
use common::{endpoint, ms, safe_class, settings, Harness};
use std::time::Duration;

fn harness(discovery: Discovery, seed: u64) -> Harness {
    let base = Settings { discovery, ..settings(vec![safe_class()]) };
    let mut harness = Harness::new(base.clone(), vec![]);
    harness.replace_policy(base, seed, vec![endpoint(7, 1)]);
    harness
}

/// When the instance next subscribes, if it does within `limit`.
fn asks_after(harness: &mut Harness, limit: Duration) -> Option<Duration> {
    let began = harness.now;
    while harness.now - began < limit {
        if harness.next_actions().contains(&Action::SubscribeEndpoints { active: true }) {
            return Some(harness.now - began);
        }
        harness.now = harness.now + ms(5);
    }
    None
}

/// Without a subscription no drain is announced. All instances start at once, and the list serves only some.
#[test]
fn instances_subscribe_to_the_endpoint_list_at_different_times() {
    let every = Settings::default().rules.discovery_interval;
    let mut gaps: Vec<Duration> = (0..40)
        .map(|seed| asks_after(&mut harness(Discovery::Ask, seed), every).expect("no subscription"))
        .collect();
    gaps.sort_unstable();
    assert!(gaps[39] - gaps[0] > every / 4, "from {:?} to {:?}", gaps[0], gaps[39]);
}

#[test]
fn pushed_endpoint_list_needs_no_subscription() {
    assert_eq!(asks_after(&mut harness(Discovery::Push, 1), Duration::from_secs(60)), None);
}

/// A failed or broken subscription is retried, later from failure to failure.
#[test]
fn failed_subscription_is_retried_and_a_successful_one_is_not() {
    let every = Settings::default().rules.discovery_interval;
    let mut harness = harness(Discovery::Ask, 1);
    for _ in 0..5 {
        assert!(asks_after(&mut harness, every * 2).is_some());
        harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Unavailable));
    }
    assert!(asks_after(&mut harness, every * 2).is_some());
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![])));
    assert_eq!(asks_after(&mut harness, every * 6), None);
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Unavailable));
    assert!(asks_after(&mut harness, every * 2).is_some());
}
