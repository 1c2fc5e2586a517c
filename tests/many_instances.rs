//! Behaviour with hundreds of gateway instances, each of which sends few requests to a destination.

mod common;

use cloverstile::{
    Action, AttemptOutcome, Class, ClassId, Endpoint, Event, Kind, MessageId, Settings, Submission, Tenant,
    TenantId, WeightSource, ZoneId,
};
use common::{endpoint, ms, safe_class, settings, Harness, Sent};
use std::collections::BTreeSet;
use std::time::Duration;

/// A harness of one of 300 instances, with `destinations` destinations of one endpoint each.
fn low_traffic_harness(base: Settings, destinations: u32) -> Harness {
    low_traffic_harness_with_seed(base, destinations, 1)
}

/// As [`low_traffic_harness`], with the given seed.
fn low_traffic_harness_with_seed(base: Settings, destinations: u32, seed: u64) -> Harness {
    let endpoints: Vec<Endpoint> = (1..=destinations).map(|id| endpoint(id, id as u16)).collect();
    let settings = Settings { instance_count: 300, ..base };
    let mut harness = Harness::new(settings.clone(), vec![]);
    harness.replace_policy(settings, seed, endpoints);
    harness
}

/// Sends one message to a destination, rejects it with this rate limit status, and returns whether it is retried
/// within 8 s.
fn is_retried_within_8_s(
    harness: &mut Harness,
    id: u32,
    destination: u32,
    (remaining, limit): (f64, f64),
) -> bool {
    harness.submit(id, 0, destination as u16, None);
    assert_eq!(harness.next_sends().len(), 1);
    harness.reject_with_limit(id, destination, remaining, limit);
    harness.run_until_action(Duration::from_secs(8)).iter().any(|a| matches!(a, Action::Send { .. }))
}

/// Sends one message to a destination, completes its attempt with this outcome, and returns the actions. A message
/// that was not delivered is cancelled.
fn send_and_complete(
    harness: &mut Harness,
    id: u32,
    destination: u32,
    outcome: AttemptOutcome,
) -> Vec<Action> {
    harness.submit(id, 0, destination as u16, None);
    let mut actions = harness.next_actions();
    harness.now = harness.now + ms(20);
    harness.complete_attempt(id, destination, outcome, ms(20));
    actions.extend(harness.next_actions());
    if outcome != AttemptOutcome::Ok {
        harness.on_event(Event::Cancelled(MessageId(id)));
    }
    actions
}

fn count_closed_connections(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::CloseIdle { .. })).count()
}

/// Found in the `riga` scenario: 46% of the attempts at one kind failed at a connection limit that idle connections
/// of other instances used up.
#[test]
fn connection_limit_pressure_closes_idle_connections_after_use() {
    let mut harness = low_traffic_harness(settings(vec![safe_class()]), 20);
    let closed_before: usize = (1..=9)
        .map(|id| count_closed_connections(&send_and_complete(&mut harness, id, id, AttemptOutcome::Ok)))
        .sum();
    assert_eq!(closed_before, 0);
    send_and_complete(&mut harness, 10, 10, AttemptOutcome::ConnectFailed);
    let closed_after: usize = (11..=20)
        .map(|id| count_closed_connections(&send_and_complete(&mut harness, id, id, AttemptOutcome::Ok)))
        .sum();
    assert_eq!(closed_after, 10);
}

/// The connection of a busy instance is not idle for long, and opening a new one for each message costs time and
/// work.
#[test]
fn connection_in_steady_use_stays_open_under_connection_limit_pressure() {
    let mut harness = low_traffic_harness(settings(vec![safe_class()]), 2);
    send_and_complete(&mut harness, 1, 1, AttemptOutcome::ConnectFailed);
    (2..200).for_each(|id| drop(send_and_complete(&mut harness, id, 2, AttemptOutcome::Ok)));
    let closed: usize = (200..220)
        .map(|id| count_closed_connections(&send_and_complete(&mut harness, id, 2, AttemptOutcome::Ok)))
        .sum();
    assert_eq!(closed, 0);
}

/// A single connection failure may be due to a connection limit, so only a second one in a row opens an outage.
#[test]
fn second_failed_connection_opens_an_outage_and_the_first_does_not() {
    let mut harness = low_traffic_harness(settings(vec![safe_class()]), 1);
    for id in 1..=2 {
        assert!(
            !send_and_complete(&mut harness, id, 1, AttemptOutcome::ConnectFailed).is_empty(),
            "attempt {id} was not sent"
        );
    }
    harness.submit(3, 0, 1, None);
    assert!(harness.next_sends().is_empty());
}

/// Found in the `sede` scenario: a fifth of the requests was abandoned after three times the initial latency
/// estimate, as routes without a response of their own had no better estimate.
#[test]
fn overall_latency_is_used_before_the_first_response_of_a_route() {
    let base = Settings { concurrency_limit: 2, ..settings(vec![safe_class()]) };
    let mut harness = low_traffic_harness(base, 30);
    for id in 1..=20 {
        harness.submit(id, 0, id as u16, None);
        assert_eq!(harness.next_sends().len(), 1);
        harness.now = harness.now + ms(900);
        harness.complete_attempt(id, id, AttemptOutcome::Ok, ms(900));
    }
    (21..=23).for_each(|id| harness.submit(id, 0, id as u16, None));
    assert_eq!(harness.next_sends().len(), 2);
    let early_actions = harness.run_until_action(ms(2500));
    assert!(early_actions.is_empty(), "{early_actions:?}");
    assert!(matches!(harness.run_until_action(ms(2500))[..], [Action::AbandonAttempt { .. }]));
}

/// Found in the `sede` scenario: with hundreds of instances each one's share of a quota was below one message a
/// second, so that every message counted as over quota.
#[test]
fn small_tenant_is_within_quota_with_many_instances() {
    let tenants = vec![Tenant { quota: 120.0 }, Tenant { quota: 900.0 }];
    let base = settings(vec![safe_class()]);
    let mut harness = low_traffic_harness(
        Settings { max_queued: 20, tenants, over_quota_weight: 0.1, instance_count: 300, ..base },
        0,
    );
    let class = (ClassId(0), &harness.settings.classes[0].clone());
    let submit = |harness: &mut Harness, id: u32, tenant: u32| {
        let submission = common::submission(harness.now, id, class, 1, None);
        harness.on_event(Event::Submitted(Submission { tenant: TenantId(tenant), ..submission }));
    };
    (0..3).for_each(|id| submit(&mut harness, id, 0));
    (3..20).for_each(|id| submit(&mut harness, id, 1));
    harness.now = harness.now + ms(5);
    let shed = harness.next_actions();
    assert!(shed.iter().any(|a| matches!(a, Action::Reject { .. })));
    assert!(!shed.iter().any(|a| matches!(a, Action::Reject { message, .. } if message.0 < 3)), "{shed:?}");
}

/// Found in the `sede` scenario: where each endpoint has its own limit, all instances preferred the endpoint with
/// the lowest id and used up its limit.
#[test]
fn instances_prefer_different_routes_and_spread_requests_with_per_endpoint_limits() {
    let kinds = vec![Kind { max_batch: 1, per_endpoint_limits: true }];
    let base = Settings { kinds, ..settings(vec![safe_class()]) };
    let endpoints = vec![endpoint(7, 1), endpoint(8, 1), endpoint(9, 1)];
    let mut chosen = BTreeSet::new();
    for seed in 0..30 {
        let mut harness = Harness::new(base.clone(), vec![]);
        harness.replace_policy(base.clone(), seed, endpoints.clone());
        (0..3).for_each(|id| harness.submit(id, 0, 1, None));
        let sent = harness.next_sends();
        chosen.insert(sent[0].endpoint);
        assert_eq!(sent.iter().map(|sent| sent.endpoint).collect::<BTreeSet<_>>().len(), 3, "{sent:?}");
    }
    assert_eq!(chosen.len(), 3, "{chosen:?}");
}

/// Found in the `nairobi` scenario: rejected requests count towards the limit, and queued messages were retried one
/// latency objective later, so that the limit stayed exhausted and nothing was delivered.
#[test]
fn destination_with_exhausted_limit_is_sent_fewer_requests() {
    let sends = |remaining: f64| {
        let mut sends = 0;
        for seed in 0..40 {
            let mut harness = low_traffic_harness_with_seed(settings(vec![safe_class()]), 1, seed);
            harness.submit(1, 0, 1, None);
            let start = harness.now;
            while harness.now - start < safe_class().deadline {
                for Sent { message: id, endpoint, .. } in harness.next_sends() {
                    sends += 1;
                    harness.reject_with_limit(id, endpoint, remaining, 100.0);
                }
                harness.now = harness.now + ms(50);
            }
        }
        sends
    };
    let (exhausted, with_remaining) = (sends(0.0), sends(0.2));
    assert!(
        exhausted * 10 < with_remaining * 9,
        "{exhausted} requests with an exhausted limit, {with_remaining} with 20% remaining"
    );
}

/// Without an advertised limit only a rejection limits the rate, so that a guess does not throttle a busy instance.
#[test]
fn unadvertised_rate_does_not_limit_before_a_rejection() {
    let mut harness =
        low_traffic_harness(Settings { weights: WeightSource::Ignored, ..settings(vec![safe_class()]) }, 1);
    for id in 0..100 {
        harness.submit(id, 0, 1, None);
        assert_eq!(harness.next_sends().len(), 1, "message {id}");
        harness.now = harness.now + ms(10);
        harness.complete_attempt(id, 1, AttemptOutcome::Ok, ms(10));
    }
}

/// Where clients mark resubmitted messages, a new message with a short time to its deadline does not count as late.
#[test]
fn new_message_with_short_deadline_has_full_value_where_retries_are_marked() {
    let first_sent = |clients_mark_resubmissions: bool| {
        let decaying = Class { late_value_ratio: 0.1, ..safe_class() };
        let base = Settings { concurrency_limit: 1, clients_mark_resubmissions, ..settings(vec![decaying]) };
        let mut harness = low_traffic_harness(base, 2);
        let class = (ClassId(0), &harness.settings.classes[0].clone());
        let short = common::submission(harness.now, 1, class, 1, None);
        harness.on_event(Event::Submitted(Submission { deadline: harness.now + ms(800), ..short }));
        harness.submit(2, 0, 2, None);
        harness.next_sends()[0].message
    };
    assert_eq!((first_sent(true), first_sent(false)), (1, 2));
}

/// Incident i068f88 (`riga` scenario): a partner that advertises no limit rejected a burst of messages during an
/// outage. Each message was held by another instance, and all of these retried within seconds, just when the
/// partner recovered.
#[test]
fn instances_rejected_without_a_limit_do_not_retry_together() {
    let mut retried = 0;
    for seed in 0..70 {
        let silent = Settings { weights: WeightSource::Ignored, ..settings(vec![safe_class()]) };
        retried += usize::from(is_retried_within_8_s(
            &mut low_traffic_harness_with_seed(silent, 1, seed),
            1,
            1,
            (0.0, 0.0),
        ));
    }
    assert!(retried <= 14, "{retried} of 70 instances retried within 8 s");
}

/// Requests to another zone cost time and money, and a retry may have to go to the zone of the first attempt.
#[test]
fn endpoint_in_same_zone_is_preferred() {
    for seed in 0..20 {
        let base = Settings { zone: ZoneId(1), ..settings(vec![safe_class()]) };
        let remote = endpoint(7, 1);
        let local = Endpoint { zone: ZoneId(1), ..endpoint(8, 1) };
        let mut harness = Harness::new(base.clone(), vec![]);
        harness.replace_policy(base, seed, vec![remote, local]);
        harness.submit(1, 0, 1, None);
        assert_eq!(harness.next_sends()[0].endpoint, 8);
    }
}

/// After consecutive rejections with nothing remaining at destinations of a kind, the first such rejection at
/// another destination of that kind counts as an exhausted limit. A low-traffic instance sends too few requests to
/// each destination to learn this per destination.
#[test]
fn limit_saturation_is_learned_per_kind() {
    let count_retried = |learned: bool| {
        let mut retried = 0;
        for seed in 0..40 {
            let mut harness = low_traffic_harness_with_seed(settings(vec![safe_class()]), 20, seed);
            for id in 1..=if learned { 15 } else { 0 } {
                harness.submit(id, 0, id as u16, None);
                assert_eq!(harness.next_sends().len(), 1);
                harness.reject_with_limit(id, id, 0.0, 100.0);
                while let [Action::Send { .. }] = harness.run_until_action(Duration::from_secs(25))[..] {
                    harness.reject_with_limit(id, id, 0.0, 100.0);
                }
            }
            retried += usize::from(is_retried_within_8_s(&mut harness, 100, 20, (0.0, 100.0)));
        }
        retried
    };
    let (learned, unlearned) = (count_retried(true), count_retried(false));
    assert!(
        learned * 2 < unlearned,
        "{learned} of 40 retried within 8 s after earlier rejections, {unlearned} of 40 without"
    );
}
