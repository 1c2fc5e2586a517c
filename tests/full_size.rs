//! What goes wrong only where hundreds of couriers each meet a destination seldom.

mod common;

use cloverstile::*;
use common::{endpoint, ms, safe, settings, Bench};
use std::collections::BTreeSet;
use std::time::Duration;

/// A bench of one of many couriers, with so many destinations of one endpoint each.
fn one_of_many(base: Settings, destinations: u32) -> Bench {
    seeded(base, destinations, 1)
}

/// The same with a seed of its own.
fn seeded(base: Settings, destinations: u32, seed: u64) -> Bench {
    let all: Vec<Endpoint> = (1..=destinations).map(|d| endpoint(d, d as u16)).collect();
    let settings = Settings { instance_count: 300, ..base };
    let mut bench = Bench::new(settings.clone(), vec![]);
    bench.restart(settings, seed, all);
    bench
}

/// Sends the one message to a destination, has it refused with so much told, and says whether it goes again soon.
fn comes_back_soon(bench: &mut Bench, id: u32, to: u32, (left, limit): (f64, f64)) -> bool {
    bench.accept(id, 0, to as u16, None);
    assert_eq!(bench.routes().len(), 1);
    bench.refuse(id, to, left, limit);
    bench.until_action(Duration::from_secs(8)).iter().any(|a| matches!(a, Action::Send { .. }))
}

/// Sends one message to a destination; its attempt ends so. Returns what was done with it.
fn call(bench: &mut Bench, id: u32, to: u32, outcome: AttemptOutcome) -> Vec<Action> {
    bench.accept(id, 0, to as u16, None);
    let mut actions = bench.decide();
    bench.now = bench.now + ms(20);
    bench.finish(id, to, outcome, ms(20));
    actions.extend(bench.decide());
    if outcome != AttemptOutcome::Ok {
        bench.tell(Event::Cancelled(MessageId(id)));
    }
    actions
}

fn closes(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::CloseIdle { .. })).count()
}

/// riga: 46% of the attempts at one kind found no room for a connection, as others' idle ones filled it.
#[test]
fn where_connections_find_no_room_idle_ones_are_closed_after_use() {
    let mut bench = one_of_many(settings(vec![safe()]), 20);
    let quiet: usize = (1..=9).map(|to| closes(&call(&mut bench, to, to, AttemptOutcome::Ok))).sum();
    assert_eq!(quiet, 0);
    call(&mut bench, 10, 10, AttemptOutcome::ConnectFailed);
    let crowded: usize = (11..=20).map(|to| closes(&call(&mut bench, to, to, AttemptOutcome::Ok))).sum();
    assert_eq!(crowded, 10);
}

/// A busy courier's connection is not idle for long, and a new one for each message costs time and work.
#[test]
fn a_connection_in_steady_use_stays_open_even_where_room_is_short() {
    let mut bench = one_of_many(settings(vec![safe()]), 2);
    call(&mut bench, 1, 1, AttemptOutcome::ConnectFailed);
    (2..200).for_each(|id| drop(call(&mut bench, id, 2, AttemptOutcome::Ok)));
    let busy: usize = (200..220).map(|id| closes(&call(&mut bench, id, 2, AttemptOutcome::Ok))).sum();
    assert_eq!(busy, 0);
}

/// One connection that failed may lack room: the next one decides whether it is an outage.
#[test]
fn a_single_failed_connection_opens_no_spell_but_two_do() {
    let mut bench = one_of_many(settings(vec![safe()]), 1);
    for id in 1..=2 {
        assert!(
            !call(&mut bench, id, 1, AttemptOutcome::ConnectFailed).is_empty(),
            "attempt {id} was not sent"
        );
    }
    bench.accept(3, 0, 1, None);
    assert!(bench.routes().is_empty());
}

/// sede: a fifth of the calls was called off at three times the guess made at the start.
#[test]
fn before_a_routes_first_answer_the_latency_of_all_stands() {
    let base = Settings { concurrency_limit: 2, ..settings(vec![safe()]) };
    let mut bench = one_of_many(base, 30);
    for id in 1..=20 {
        bench.accept(id, 0, id as u16, None);
        assert_eq!(bench.routes().len(), 1);
        bench.now = bench.now + ms(900);
        bench.finish(id, id, AttemptOutcome::Ok, ms(900));
    }
    (21..=23).for_each(|id| bench.accept(id, 0, id as u16, None));
    assert_eq!(bench.routes().len(), 2);
    let off = bench.until_action(ms(2500));
    assert!(off.is_empty(), "{off:?}");
    assert!(matches!(bench.until_action(ms(2500))[..], [Action::AbandonAttempt { .. }]));
}

/// sede: a quota's part a second is under one message at full size, so that all counted as beyond the share.
#[test]
fn a_small_tenant_is_not_beyond_its_share_at_full_size() {
    let tenants = vec![Tenant { quota: 120.0 }, Tenant { quota: 900.0 }];
    let base = settings(vec![safe()]);
    let mut bench = one_of_many(
        Settings { max_queued: 20, tenants, over_quota_weight: 0.1, instance_count: 300, ..base },
        0,
    );
    let class = (ClassId(0), &bench.settings.classes[0].clone());
    let hand_in = |bench: &mut Bench, id: u32, tenant: u32| {
        let taken = common::accepted(bench.now, id, class, 1, None);
        bench.tell(Event::Submitted(Submission { tenant: TenantId(tenant), ..taken }));
    };
    (0..3).for_each(|id| hand_in(&mut bench, id, 0));
    (3..20).for_each(|id| hand_in(&mut bench, id, 1));
    bench.now = bench.now + ms(5);
    let shed = bench.decide();
    assert!(shed.iter().any(|a| matches!(a, Action::Reject { .. })));
    assert!(!shed.iter().any(|a| matches!(a, Action::Reject { message, .. } if message.0 < 3)), "{shed:?}");
}

/// sede: all couriers filled the endpoint of the lowest id, as each of a destination's routes has its own limit.
#[test]
fn where_routes_are_apart_couriers_prefer_different_ones_and_spread_their_calls() {
    let kinds = vec![Kind { max_batch: 1, per_endpoint_limits: true }];
    let base = Settings { kinds, ..settings(vec![safe()]) };
    let all = vec![endpoint(7, 1), endpoint(8, 1), endpoint(9, 1)];
    let mut chosen = BTreeSet::new();
    for seed in 0..30 {
        let mut bench = Bench::new(base.clone(), vec![]);
        bench.restart(base.clone(), seed, all.clone());
        (0..3).for_each(|id| bench.accept(id, 0, 1, None));
        let sent = bench.routes();
        chosen.insert(sent[0].1);
        assert_eq!(sent.iter().map(|s| s.1).collect::<BTreeSet<_>>().len(), 3, "{sent:?}");
    }
    assert_eq!(chosen.len(), 3, "{chosen:?}");
}

/// nairobi: refused calls used up the limit, and what waited was repeated an aim later, so that nothing passed.
#[test]
fn a_limit_that_is_used_up_is_left_alone() {
    let sends = |left: f64| {
        let mut sends = 0;
        for seed in 0..40 {
            let mut bench = seeded(settings(vec![safe()]), 1, seed);
            bench.accept(1, 0, 1, None);
            let began = bench.now;
            while bench.now - began < safe().deadline {
                for (id, to, _) in bench.routes() {
                    sends += 1;
                    bench.refuse(id, to, left, 100.0);
                }
                bench.now = bench.now + ms(50);
            }
        }
        sends
    };
    let (used_up, some_left) = (sends(0.0), sends(0.2));
    assert!(used_up * 10 < some_left * 9, "{used_up} {some_left}");
}

/// Without a told rate nothing but a refusal sets a pace: a hot courier is not held to a figure of its own making.
#[test]
fn where_no_rate_is_told_nothing_holds_back_before_a_refusal() {
    let mut bench = one_of_many(Settings { weights: WeightSource::Silent, ..settings(vec![safe()]) }, 1);
    for id in 0..100 {
        bench.accept(id, 0, 1, None);
        assert_eq!(bench.routes().len(), 1, "message {id}");
        bench.now = bench.now + ms(10);
        bench.finish(id, 1, AttemptOutcome::Ok, ms(10));
    }
}

/// Where clients mark what they hand in again, a fresh message with little time left is not an old one.
#[test]
fn a_fresh_message_with_little_time_left_is_worth_what_it_can_still_earn() {
    let order = |marks_again: bool| {
        let falling = Class { late_value_ratio: 0.1, ..safe() };
        let base =
            Settings { concurrency_limit: 1, clients_mark_retries: marks_again, ..settings(vec![falling]) };
        let mut bench = one_of_many(base, 2);
        let class = (ClassId(0), &bench.settings.classes[0].clone());
        let short = common::accepted(bench.now, 1, class, 1, None);
        bench.tell(Event::Submitted(Submission { deadline: bench.now + ms(800), ..short }));
        bench.accept(2, 0, 2, None);
        bench.routes()[0].0
    };
    assert_eq!((order(true), order(false)), (1, 2));
}

/// Incident i068f88 (riga): a clump met a partner without a limit that was out, and as many couriers, each refused
/// once, came back within some seconds, on its return.
#[test]
fn couriers_refused_where_there_is_no_limit_do_not_come_back_together() {
    let mut soon = 0;
    for seed in 0..70 {
        let silent = Settings { weights: WeightSource::Silent, ..settings(vec![safe()]) };
        soon += usize::from(comes_back_soon(&mut seeded(silent, 1, seed), 1, 1, (0.0, 0.0)));
    }
    assert!(soon <= 14, "{soon} of 70 couriers came back within 8 s");
}

/// Each call that crosses zones costs time and a price, and a repeat may be bound to the zone of its first attempt.
#[test]
fn of_endpoints_that_are_else_alike_the_near_one_is_called() {
    for seed in 0..20 {
        let base = Settings { zone: ZoneId(1), ..settings(vec![safe()]) };
        let far = endpoint(7, 1);
        let near = Endpoint { zone: ZoneId(1), ..endpoint(8, 1) };
        let mut bench = Bench::new(base.clone(), vec![]);
        bench.restart(base, seed, vec![far, near]);
        bench.accept(1, 0, 1, None);
        assert_eq!(bench.routes()[0].1, 8);
    }
}

/// Where refusals with nothing left follow each other at a kind, the first one at a further destination of that kind
/// counts as a used-up limit: a light courier meets each of them too seldom to learn it there.
#[test]
fn a_jam_is_learned_over_the_destinations_of_a_kind() {
    let soon = |learned: bool| {
        let mut soon = 0;
        for seed in 0..40 {
            let mut bench = seeded(settings(vec![safe()]), 20, seed);
            for id in 1..=if learned { 15 } else { 0 } {
                bench.accept(id, 0, id as u16, None);
                assert_eq!(bench.routes().len(), 1);
                bench.refuse(id, id, 0.0, 100.0);
                while let [Action::Send { .. }] = bench.until_action(Duration::from_secs(25))[..] {
                    bench.refuse(id, id, 0.0, 100.0);
                }
            }
            soon += usize::from(comes_back_soon(&mut bench, 100, 20, (0.0, 100.0)));
        }
        soon
    };
    let (learned, fresh) = (soon(true), soon(false));
    assert!(learned * 2 < fresh, "{learned} against {fresh} of 40 came back within 8 s");
}
