//! Behaviour where hundreds of instances each send few requests to a destination.

mod common;

use cloverstile::{
    Action, AttemptOutcome, Class, ClassId, Endpoint, Event, Kind, MessageId, Settings, Submission, Tenant,
    TenantId, WeightSource, ZoneId,
};
use common::{endpoint, ms, safe_class, settings, Harness, Sent};
use std::collections::BTreeSet;
use std::time::Duration;

/// A harness of one of many instances, with so many destinations of one endpoint each.
fn one_of_many(base: Settings, destinations: u32) -> Harness {
    seeded(base, destinations, 1)
}

/// The same with a seed of its own.
fn seeded(base: Settings, destinations: u32, seed: u64) -> Harness {
    let all: Vec<Endpoint> = (1..=destinations).map(|d| endpoint(d, d as u16)).collect();
    let settings = Settings { instance_count: 300, ..base };
    let mut harness = Harness::new(settings.clone(), vec![]);
    harness.replace_policy(settings, seed, all);
    harness
}

/// Sends one message to a destination, has it rejected with this limit, and returns whether it is retried soon.
fn comes_back_soon(harness: &mut Harness, id: u32, to: u32, (left, limit): (f64, f64)) -> bool {
    harness.submit(id, 0, to as u16, None);
    assert_eq!(harness.next_sends().len(), 1);
    harness.reject_with_limit(id, to, left, limit);
    harness.run_until_action(Duration::from_secs(8)).iter().any(|a| matches!(a, Action::Send { .. }))
}

/// Sends one message to a destination, with this outcome. Returns the actions.
fn call(harness: &mut Harness, id: u32, to: u32, outcome: AttemptOutcome) -> Vec<Action> {
    harness.submit(id, 0, to as u16, None);
    let mut actions = harness.next_actions();
    harness.now = harness.now + ms(20);
    harness.complete_attempt(id, to, outcome, ms(20));
    actions.extend(harness.next_actions());
    if outcome != AttemptOutcome::Ok {
        harness.on_event(Event::Cancelled(MessageId(id)));
    }
    actions
}

fn closes(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::CloseIdle { .. })).count()
}

/// riga: 46% of the attempts at one kind met a connection limit that other instances' idle connections used up.
#[test]
fn connection_limit_pressure_closes_idle_connections_after_use() {
    let mut harness = one_of_many(settings(vec![safe_class()]), 20);
    let quiet: usize = (1..=9).map(|to| closes(&call(&mut harness, to, to, AttemptOutcome::Ok))).sum();
    assert_eq!(quiet, 0);
    call(&mut harness, 10, 10, AttemptOutcome::ConnectFailed);
    let crowded: usize = (11..=20).map(|to| closes(&call(&mut harness, to, to, AttemptOutcome::Ok))).sum();
    assert_eq!(crowded, 10);
}

/// A busy instance's connection is not idle for long, and a new one for each message costs time and work.
#[test]
fn connection_in_steady_use_stays_open_under_connection_limit_pressure() {
    let mut harness = one_of_many(settings(vec![safe_class()]), 2);
    call(&mut harness, 1, 1, AttemptOutcome::ConnectFailed);
    (2..200).for_each(|id| drop(call(&mut harness, id, 2, AttemptOutcome::Ok)));
    let busy: usize = (200..220).map(|id| closes(&call(&mut harness, id, 2, AttemptOutcome::Ok))).sum();
    assert_eq!(busy, 0);
}

/// One failed connection may be due to a connection limit: the next one decides whether it is an outage.
#[test]
fn second_failed_connection_opens_an_outage_and_the_first_does_not() {
    let mut harness = one_of_many(settings(vec![safe_class()]), 1);
    for id in 1..=2 {
        assert!(
            !call(&mut harness, id, 1, AttemptOutcome::ConnectFailed).is_empty(),
            "attempt {id} was not sent"
        );
    }
    harness.submit(3, 0, 1, None);
    assert!(harness.next_sends().is_empty());
}

/// sede: a fifth of the requests was abandoned at three times the latency assumed at the start.
#[test]
fn overall_latency_is_used_before_the_first_response_of_a_route() {
    let base = Settings { concurrency_limit: 2, ..settings(vec![safe_class()]) };
    let mut harness = one_of_many(base, 30);
    for id in 1..=20 {
        harness.submit(id, 0, id as u16, None);
        assert_eq!(harness.next_sends().len(), 1);
        harness.now = harness.now + ms(900);
        harness.complete_attempt(id, id, AttemptOutcome::Ok, ms(900));
    }
    (21..=23).for_each(|id| harness.submit(id, 0, id as u16, None));
    assert_eq!(harness.next_sends().len(), 2);
    let off = harness.run_until_action(ms(2500));
    assert!(off.is_empty(), "{off:?}");
    assert!(matches!(harness.run_until_action(ms(2500))[..], [Action::AbandonAttempt { .. }]));
}

/// sede: an instance's part of a quota was under one message a second, so that all counted as over quota.
#[test]
fn small_tenant_is_within_quota_with_many_instances() {
    let tenants = vec![Tenant { quota: 120.0 }, Tenant { quota: 900.0 }];
    let base = settings(vec![safe_class()]);
    let mut harness = one_of_many(
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

/// sede: all instances filled the endpoint of the lowest id where each endpoint has its own limit.
#[test]
fn instances_prefer_different_routes_and_spread_requests_with_per_endpoint_limits() {
    let kinds = vec![Kind { max_batch: 1, per_endpoint_limits: true }];
    let base = Settings { kinds, ..settings(vec![safe_class()]) };
    let all = vec![endpoint(7, 1), endpoint(8, 1), endpoint(9, 1)];
    let mut chosen = BTreeSet::new();
    for seed in 0..30 {
        let mut harness = Harness::new(base.clone(), vec![]);
        harness.replace_policy(base.clone(), seed, all.clone());
        (0..3).for_each(|id| harness.submit(id, 0, 1, None));
        let sent = harness.next_sends();
        chosen.insert(sent[0].endpoint);
        assert_eq!(sent.iter().map(|sent| sent.endpoint).collect::<BTreeSet<_>>().len(), 3, "{sent:?}");
    }
    assert_eq!(chosen.len(), 3, "{chosen:?}");
}

/// nairobi: rejected requests used up the limit, and queued messages were retried an objective later: nothing passed.
#[test]
fn exhausted_limit_is_sent_fewer_requests() {
    let sends = |left: f64| {
        let mut sends = 0;
        for seed in 0..40 {
            let mut harness = seeded(settings(vec![safe_class()]), 1, seed);
            harness.submit(1, 0, 1, None);
            let began = harness.now;
            while harness.now - began < safe_class().deadline {
                for Sent { message: id, endpoint: to, .. } in harness.next_sends() {
                    sends += 1;
                    harness.reject_with_limit(id, to, left, 100.0);
                }
                harness.now = harness.now + ms(50);
            }
        }
        sends
    };
    let (used_up, some_left) = (sends(0.0), sends(0.2));
    assert!(used_up * 10 < some_left * 9, "{used_up} {some_left}");
}

/// Without an advertised rate nothing but a rejection limits it: a busy instance is not held to a guess.
#[test]
fn unadvertised_rate_does_not_limit_before_a_rejection() {
    let mut harness =
        one_of_many(Settings { weights: WeightSource::Silent, ..settings(vec![safe_class()]) }, 1);
    for id in 0..100 {
        harness.submit(id, 0, 1, None);
        assert_eq!(harness.next_sends().len(), 1, "message {id}");
        harness.now = harness.now + ms(10);
        harness.complete_attempt(id, 1, AttemptOutcome::Ok, ms(10));
    }
}

/// Where clients mark resubmitted messages, a new message with little time left is not an old one.
#[test]
fn new_message_with_short_deadline_has_full_value_where_retries_are_marked() {
    let order = |marks_again: bool| {
        let falling = Class { late_value_ratio: 0.1, ..safe_class() };
        let base =
            Settings { concurrency_limit: 1, clients_mark_retries: marks_again, ..settings(vec![falling]) };
        let mut harness = one_of_many(base, 2);
        let class = (ClassId(0), &harness.settings.classes[0].clone());
        let short = common::submission(harness.now, 1, class, 1, None);
        harness.on_event(Event::Submitted(Submission { deadline: harness.now + ms(800), ..short }));
        harness.submit(2, 0, 2, None);
        harness.next_sends()[0].message
    };
    assert_eq!((order(true), order(false)), (1, 2));
}

/// Incident i068f88 (riga): a burst met a partner without a limit in an outage, and as many instances, each rejected
/// once, came back within seconds, at its recovery.
#[test]
fn instances_rejected_without_a_limit_do_not_retry_together() {
    let mut soon = 0;
    for seed in 0..70 {
        let silent = Settings { weights: WeightSource::Silent, ..settings(vec![safe_class()]) };
        soon += usize::from(comes_back_soon(&mut seeded(silent, 1, seed), 1, 1, (0.0, 0.0)));
    }
    assert!(soon <= 14, "{soon} of 70 instances came back within 8 s");
}

/// Requests across zones cost time and money, and a retry may be bound to the zone of the first attempt.
#[test]
fn endpoint_in_the_own_zone_is_preferred() {
    for seed in 0..20 {
        let base = Settings { zone: ZoneId(1), ..settings(vec![safe_class()]) };
        let far = endpoint(7, 1);
        let near = Endpoint { zone: ZoneId(1), ..endpoint(8, 1) };
        let mut harness = Harness::new(base.clone(), vec![]);
        harness.replace_policy(base, seed, vec![far, near]);
        harness.submit(1, 0, 1, None);
        assert_eq!(harness.next_sends()[0].endpoint, 8);
    }
}

/// Where rejections with nothing remaining follow each other at a kind, the first one at a further destination of
/// that kind counts as an exhausted limit: a low-traffic instance meets each too seldom to learn it there.
#[test]
fn limit_saturation_is_learned_per_kind() {
    let soon = |learned: bool| {
        let mut soon = 0;
        for seed in 0..40 {
            let mut harness = seeded(settings(vec![safe_class()]), 20, seed);
            for id in 1..=if learned { 15 } else { 0 } {
                harness.submit(id, 0, id as u16, None);
                assert_eq!(harness.next_sends().len(), 1);
                harness.reject_with_limit(id, id, 0.0, 100.0);
                while let [Action::Send { .. }] = harness.run_until_action(Duration::from_secs(25))[..] {
                    harness.reject_with_limit(id, id, 0.0, 100.0);
                }
            }
            soon += usize::from(comes_back_soon(&mut harness, 100, 20, (0.0, 100.0)));
        }
        soon
    };
    let (learned, fresh) = (soon(true), soon(false));
    assert!(learned * 2 < fresh, "{learned} against {fresh} of 40 came back within 8 s");
}
