//! Subscription to the endpoint list: when an instance subscribes, and how it recovers from a failed subscription.

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

/// Time until the instance next subscribes, or none if it does not within `limit`.
fn time_to_subscription(harness: &mut Harness, limit: Duration) -> Option<Duration> {
    let start = harness.now;
    while harness.now - start < limit {
        if harness.next_actions().contains(&Action::SubscribeEndpoints { active: true }) {
            return Some(harness.now - start);
        }
        harness.now = harness.now + ms(5);
    }
    None
}

/// Instances that start together must not subscribe together: the endpoint list serves only some subscribers at a time,
/// and an instance without a subscription is not told of draining endpoints.
#[test]
fn instances_subscribe_to_the_endpoint_list_at_different_times() {
    let interval = Settings::default().rules.discovery_interval;
    let mut delays: Vec<Duration> = (0..40)
        .map(|seed| {
            time_to_subscription(&mut harness(Discovery::Subscribe, seed), interval).expect("no subscription")
        })
        .collect();
    delays.sort_unstable();
    assert!(delays[39] - delays[0] > interval / 4, "from {:?} to {:?}", delays[0], delays[39]);
}

#[test]
fn pushed_endpoint_list_needs_no_subscription() {
    assert_eq!(time_to_subscription(&mut harness(Discovery::Push, 1), Duration::from_secs(60)), None);
}

/// A subscription that fails or breaks off is retried, with a longer delay after each further failure; a successful one
/// is kept.
#[test]
fn failed_subscription_is_retried_and_a_successful_one_is_not() {
    let interval = Settings::default().rules.discovery_interval;
    let mut harness = harness(Discovery::Subscribe, 1);
    for _ in 0..5 {
        assert!(time_to_subscription(&mut harness, interval * 2).is_some());
        harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Unavailable));
    }
    assert!(time_to_subscription(&mut harness, interval * 2).is_some());
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![])));
    assert_eq!(time_to_subscription(&mut harness, interval * 6), None);
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Unavailable));
    assert!(time_to_subscription(&mut harness, interval * 2).is_some());
}
