//! One test for each rule and each failure found; no bench needed.

mod common;

use cloverstile::*;
use common::*;
use std::time::Duration;

const MAYBE_RAN: [AttemptOutcome; 4] =
    [AttemptOutcome::Error, AttemptOutcome::Timeout, AttemptOutcome::Reset, AttemptOutcome::Abandoned];
const NEVER_RAN: [AttemptOutcome; 3] =
    [AttemptOutcome::Rejected(None), AttemptOutcome::ConnectFailed, AttemptOutcome::Unsent];

fn one(class: Class) -> Bench {
    Bench::new(settings(vec![class]), vec![endpoint(7, 1)])
}

/// Message 1 was sent to endpoint 7, and its attempt ended so.
fn after_one_attempt(class: Class, outcome: AttemptOutcome) -> Bench {
    let mut bench = one(class);
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.routes().len(), 1);
    bench.now = bench.now + ms(50);
    bench.finish(1, 7, outcome, ms(50));
    bench
}

#[test]
fn a_message_without_any_endpoint_is_handed_back_by_its_deadline() {
    let mut bench = Bench::new(settings(vec![keyed()]), vec![]);
    bench.accept(1, 0, 1, None);
    let deadline = bench.now + bench.settings.classes[0].deadline;
    assert_eq!(
        bench.until_action(Duration::from_secs(30)),
        [Action::Reject { message: MessageId(1), retry_after: Duration::ZERO }]
    );
    assert!(bench.now <= deadline + bench.settings.rules.answer_grace);
    assert!(bench.until_action(Duration::from_secs(30)).is_empty());
}

#[test]
fn an_unsafe_message_that_may_have_run_is_never_resent_and_ends_as_failed() {
    for outcome in MAYBE_RAN {
        let mut bench = after_one_attempt(unsafe_class(), outcome);
        let end = bench.until_action(Duration::from_secs(30));
        assert_eq!(end, [Action::Fail { message: MessageId(1) }], "{outcome:?}");
    }
}

#[test]
fn an_unsafe_message_that_never_ran_goes_again() {
    for outcome in NEVER_RAN {
        let mut bench = after_one_attempt(unsafe_class(), outcome);
        let next = bench.until_action(Duration::from_secs(15));
        assert!(matches!(next[0], Action::Send { message: MessageId(1), .. }), "{outcome:?}");
    }
}

#[test]
fn a_keyed_message_is_resent_inside_its_window_only() {
    let mut bench = one(keyed());
    bench.accept(1, 0, 1, None);
    let sent = bench.now;
    assert_eq!(bench.routes().len(), 1);
    let mut repeats = 0;
    loop {
        bench.now = bench.now + ms(30);
        bench.finish(1, 7, AttemptOutcome::Error, ms(30));
        match bench.until_action(Duration::from_secs(30)).first() {
            Some(Action::Send { .. }) => {
                assert!(bench.now < sent + bench.settings.classes[0].retry_window);
                repeats += 1;
            }
            Some(Action::Fail { .. }) => break,
            other => panic!("{other:?}"),
        }
    }
    assert!(repeats > 0);
    assert!(repeats < bench.settings.max_attempts);
}

#[test]
fn a_keyed_message_stays_in_the_zone_that_drops_its_repeats() {
    let mut other = endpoint(8, 1);
    other.zone = ZoneId(1);
    let class = Class { group: Group::Zone, ..keyed() };
    let mut bench = Bench::new(settings(vec![class]), vec![endpoint(7, 1), other.clone()]);
    bench.accept(1, 0, 1, None);
    let first = bench.routes()[0].1;
    bench.now = bench.now + ms(50);
    bench.finish(1, first, AttemptOutcome::Reset, ms(50));
    let zone = if first == 7 { ZoneId(0) } else { ZoneId(1) };
    let drained = Endpoint { state: EndpointState::Draining, zone, ..endpoint(first, 1) };
    bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![drained])));
    let end = bench.until_action(Duration::from_secs(30));
    assert_eq!(end, [Action::Fail { message: MessageId(1) }]);
}

#[test]
fn gaps_before_repeats_are_drawn_by_chance_and_grow() {
    let mean_gap = |failures: u32| {
        let gaps: Vec<u64> = (0..40)
            .map(|seed| {
                let mut bench = one(safe());
                bench.courier = DeliveryPolicy::new(bench.settings.clone(), seed);
                bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![endpoint(7, 1)])));
                bench.accept(1, 0, 1, None);
                bench.routes();
                for attempt in 0..failures {
                    bench.finish(1, 7, AttemptOutcome::Error, ms(10));
                    let failed = bench.now;
                    assert!(!bench.until_action(Duration::from_secs(10)).is_empty());
                    if attempt + 1 == failures {
                        return (bench.now - failed).as_millis() as u64;
                    }
                }
                0
            })
            .collect();
        assert!(gaps.iter().min() < gaps.iter().max());
        gaps.iter().sum::<u64>() / 40
    };
    assert!(mean_gap(3) > mean_gap(1));
}

#[test]
fn a_message_from_a_dead_courier_counts_its_window_from_its_hand_in() {
    let mut bench = one(keyed());
    let class = bench.settings.classes[0].clone();
    bench.tell(Event::Submitted(Submission {
        id: MessageId(1),
        class: ClassId(0),
        destination: DestinationId(1),
        key: None,
        deadline: bench.now + (class.deadline - class.retry_window),
        from_lost_instance: true,
        resubmitted: true,
        tenant: TenantId(0),
    }));
    let end = bench.until_action(Duration::from_secs(30));
    assert_eq!(end, [Action::Fail { message: MessageId(1) }]);
}

#[test]
fn a_drained_or_gone_endpoint_gets_nothing_new() {
    for mode in [EndpointState::Draining, EndpointState::Removed] {
        let mut bench = Bench::new(settings(vec![safe()]), vec![endpoint(7, 1), endpoint(8, 1)]);
        bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![Endpoint {
            state: mode,
            ..endpoint(7, 1)
        }])));
        (0..4).for_each(|id| bench.accept(id, 0, 1, None));
        let routes = bench.routes();
        assert!(!routes.is_empty() && routes.iter().all(|r| r.1 == 8));
    }
    let mut bench = Bench::new(settings(vec![safe()]), vec![endpoint(7, 1)]);
    bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![endpoint(8, 1)])));
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.routes()[0].1, 8);
}

#[test]
fn a_told_wait_binds_every_message_of_the_destination() {
    let mut bench = Bench::new(settings(vec![safe()]), vec![endpoint(7, 1), endpoint(8, 1)]);
    bench.accept(1, 0, 1, None);
    let first = bench.routes()[0].1;
    bench.finish(1, first, AttemptOutcome::Rejected(Some(ms(800))), ms(20));
    let told = bench.now;
    bench.accept(2, 0, 1, None);
    assert!(bench.routes().is_empty());
    assert!(!bench.until_action(Duration::from_secs(5)).is_empty());
    assert!(bench.now - told >= ms(800));
}

/// Incident ie8d4eb: a wait told by the first outcomes of a batched call was dropped.
#[test]
fn a_wait_told_by_any_message_of_a_call_is_kept() {
    let base = settings(vec![safe()]);
    let mut bench = Bench::new(
        Settings { kinds: vec![Kind { max_batch: 5, per_endpoint_limits: false }], ..base },
        vec![endpoint(7, 1)],
    );
    (1..=3).for_each(|id| bench.accept(id, 0, 1, None));
    assert_eq!(bench.routes().len(), 3);
    bench.finish(1, 7, AttemptOutcome::Rejected(Some(ms(900))), ms(20));
    bench.finish(2, 7, AttemptOutcome::Rejected(None), ms(20));
    bench.finish(3, 7, AttemptOutcome::Rejected(None), ms(20));
    let told = bench.now;
    assert!(!bench.until_action(Duration::from_secs(5)).is_empty());
    assert!(bench.now - told >= ms(900));
}

#[test]
fn keys_go_strictly_in_turn_and_rest_after_an_unsettled_attempt() {
    let class = Class { ordered: true, ..unsafe_class() };
    let base = settings(vec![class]);
    let rules = Rules { key_cooldown: ms(300), ..base.rules.clone() };
    let mut bench = Bench::new(Settings { rules, ..base }, vec![endpoint(7, 1), endpoint(8, 1)]);
    bench.accept(1, 0, 1, Some(5));
    bench.accept(2, 0, 1, Some(5));
    let sent = bench.routes();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].0, 1);
    // The client goes, the attempt runs on: the key stays taken until its outcome is known, and rests after it.
    bench.tell(Event::Cancelled(MessageId(1)));
    assert!(bench.until_action(ms(100)).is_empty());
    bench.finish(1, sent[0].1, AttemptOutcome::Reset, ms(100));
    let settled = bench.now;
    let next = bench.until_action(Duration::from_secs(10));
    assert!(matches!(next[0], Action::Send { message: MessageId(2), .. }));
    assert!(bench.now - settled >= ms(300));
}

#[test]
fn a_dead_destination_gets_single_trials_and_a_slow_start() {
    let mut bench = one(safe());
    (0..390).for_each(|id| bench.accept(id, 0, 1, None));
    for (id, to, _) in bench.routes() {
        bench.finish(id, to, AttemptOutcome::ConnectFailed, ms(10));
    }
    let began = bench.now;
    let mut trials = 0;
    while bench.now - began < Duration::from_secs(6) {
        let routed = bench.until_action(Duration::from_secs(6));
        assert_eq!(routed.len(), 1, "one trial at a time");
        let Action::Send { message, .. } = routed[0] else { panic!("{routed:?}") };
        trials += 1;
        bench.finish(message.0, 7, AttemptOutcome::ConnectFailed, ms(5));
    }
    assert!((3..20).contains(&trials), "{trials}");
    // It is back: all that is sent in the fall window stays inside the budget of a cold destination.
    let (mut sent, mut back) = (0.0, bench.now);
    let rules = bench.settings.rules.clone();
    while bench.now - back < rules.overload_window {
        bench.now = bench.now + ms(5);
        for (id, to, _) in bench.routes() {
            if sent == 0.0 {
                back = bench.now;
            }
            sent += 1.0;
            bench.finish(id, to, AttemptOutcome::Ok, ms(5));
        }
    }
    let capacity = 100.0 * (rules.warm_up_capacity + (1.0 - rules.warm_up_capacity) * 0.2);
    assert!(
        sent > 0.0 && sent <= rules.overload_multiple * capacity * rules.overload_window.as_secs_f64(),
        "{sent}"
    );
}

/// Hang of a destination: the silence stops further calls long before a time-out would.
#[test]
fn a_silent_destination_is_sent_no_more_than_trials() {
    let mut bench = one(unsafe_class());
    for id in 0..20 {
        bench.accept(id, 0, 1, None);
        bench.routes();
        bench.now = bench.now + ms(200);
    }
    bench.now = bench.now + ms(1000);
    let mut late = 0;
    for id in 20..60 {
        bench.accept(id, 0, 1, None);
        late += bench.routes().len();
        bench.now = bench.now + ms(100);
    }
    assert!(late <= 6, "{late} unsafe messages risked");
}

/// Incident id37437: hung destinations pinned all slots.
#[test]
fn hung_destinations_leave_slots_for_the_healthy() {
    let all = (1..=5).map(|d| endpoint(u32::from(d), d)).collect();
    let mut bench = Bench::new(settings(vec![unsafe_class()]), all);
    let mut healthy = 0;
    for id in 0..400 {
        bench.now = bench.now + ms(25);
        bench.accept(id, 0, 1 + (id % 5) as u16, None);
        for (message, to, _) in bench.routes() {
            // Only the fifth destination answers.
            if to == 5 {
                healthy += 1;
                bench.finish(message, to, AttemptOutcome::Ok, ms(5));
            }
        }
    }
    assert!(healthy >= 70, "{healthy} of 80 delivered at the healthy destination");
}

#[test]
fn nearly_full_the_least_worth_are_handed_back() {
    let rich = Class { priority_weight: 5.0, ..safe() };
    let base = settings(vec![safe(), rich]);
    let mut bench = Bench::new(Settings { max_queued: 20, ..base }, vec![]);
    (0..10).for_each(|id| bench.accept(id, 0, 1, None));
    (10..20).for_each(|id| bench.accept(id, 1, 1, None));
    let shed = bench.until_action(ms(5));
    assert!(!shed.is_empty());
    assert!(shed.iter().all(|a| matches!(a, Action::Reject { message, .. } if message.0 < 10)), "{shed:?}");
}

#[test]
fn a_free_slot_goes_to_the_destination_with_fewest_calls_out() {
    let base = settings(vec![safe()]);
    let mut bench = Bench::new(
        Settings { concurrency_limit: 4, ..base },
        vec![endpoint(1, 1), endpoint(2, 2), endpoint(3, 3)],
    );
    (0..4).for_each(|id| bench.accept(id, 0, 1, None));
    (4..8).for_each(|id| bench.accept(id, 0, 2, None));
    (8..12).for_each(|id| bench.accept(id, 0, 3, None));
    let mut first: Vec<u32> = bench.routes().iter().take(3).map(|r| r.1).collect();
    first.sort_unstable();
    assert_eq!(first, [1, 2, 3]);
}

#[test]
fn one_call_carries_many_where_the_kind_allows_it() {
    let base = settings(vec![safe()]);
    let kinds = vec![Kind { max_batch: 5, per_endpoint_limits: false }];
    let mut bench = Bench::new(Settings { concurrency_limit: 1, kinds, ..base }, vec![endpoint(7, 1)]);
    (0..8).for_each(|id| bench.accept(id, 0, 1, None));
    assert_eq!(bench.routes().len(), 5);
}

/// Incident i10b789: in a slow spell the time-outs stayed short and repeats met the first call still running.
#[test]
fn time_outs_stretch_with_time_outs() {
    let mut bench = one(safe());
    bench.accept(1, 0, 1, None);
    let first = bench.routes()[0].2;
    let mut last = first;
    for _ in 0..6 {
        bench.now = bench.now + last;
        bench.finish(1, 7, AttemptOutcome::Timeout, last);
        bench.accept(1000 + bench.now.0 as u32, 0, 1, None);
        match bench.until_action(Duration::from_secs(5)).first() {
            Some(Action::Send { message, timeout: try_for, .. }) => {
                last = *try_for;
                if message.0 != 1 {
                    break;
                }
            }
            _ => break,
        }
    }
    assert!(last > first, "{first:?} {last:?}");
}

#[test]
fn events_for_unknown_things_are_ignored() {
    let mut bench = one(safe());
    bench.finish(99, 7, AttemptOutcome::Ok, ms(5));
    bench.finish(99, 98, AttemptOutcome::Rejected(Some(ms(5))), ms(5));
    bench.tell(Event::Cancelled(MessageId(99)));
    bench.tell(Event::TimerFired(12345));
    bench.accept(1, 0, 1, None);
    assert_eq!(bench.routes().len(), 1);
}

#[test]
fn the_clock_may_jump_far_ahead() {
    let mut bench = one(keyed());
    (0..5).for_each(|id| bench.accept(id, 0, 1, None));
    bench.routes();
    bench.now = bench.now + Duration::from_secs(100_000);
    let answers = bench.decide().iter().filter(|a| !matches!(a, Action::Wake { .. })).count();
    assert_eq!(answers, 5);
}

#[test]
fn what_is_beyond_a_tenants_share_is_shed_first() {
    let base = settings(vec![safe()]);
    let tenants = vec![Tenant { quota: 0.6 }, Tenant { quota: 1000.0 }];
    let mut bench = Bench::new(Settings { max_queued: 40, tenants, over_quota_weight: 0.1, ..base }, vec![]);
    let deadline = bench.now + bench.settings.classes[0].deadline;
    for id in 0..40 {
        let tenant = TenantId(u32::from(id >= 20));
        let (class, destination) = (ClassId(0), DestinationId(1));
        let id = MessageId(id);
        let from_dead_courier = false;
        let taken = Submission {
            id,
            class,
            destination,
            key: None,
            deadline,
            from_lost_instance: from_dead_courier,
            resubmitted: false,
            tenant,
        };
        bench.tell(Event::Submitted(taken));
    }
    let shed = bench.until_action(ms(5));
    assert!(!shed.is_empty());
    assert!(
        shed.iter().all(|a| matches!(a, Action::Reject { message, .. } if (6..20).contains(&message.0))),
        "{shed:?}"
    );
}

#[test]
fn where_routes_are_apart_a_wait_holds_for_its_route_only() {
    let base = settings(vec![safe()]);
    let kinds = vec![Kind { max_batch: 1, per_endpoint_limits: true }];
    let mut bench = Bench::new(Settings { kinds, ..base }, vec![endpoint(7, 1), endpoint(8, 1)]);
    bench.accept(1, 0, 1, None);
    let first = bench.routes()[0].1;
    bench.finish(1, first, AttemptOutcome::Rejected(Some(ms(900))), ms(20));
    bench.accept(2, 0, 1, None);
    let other = bench.routes();
    assert_eq!(other.len(), 1);
    assert_ne!(other[0].1, first);
}

/// Where each courier has few calls, a tie by id sends all of them to the same endpoint of a destination.
#[test]
fn couriers_prefer_different_endpoints_of_a_destination() {
    let chosen: std::collections::BTreeSet<u32> = (0..30)
        .map(|seed| {
            let mut bench = Bench::new(settings(vec![safe()]), vec![]);
            bench.courier = DeliveryPolicy::new(bench.settings.clone(), seed);
            bench.tell(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![
                endpoint(7, 1),
                endpoint(8, 1),
                endpoint(9, 1),
            ])));
            bench.accept(1, 0, 1, None);
            bench.routes()[0].1
        })
        .collect();
    assert_eq!(chosen.len(), 3, "{chosen:?}");
}

/// A message that can never be sent again must not keep its order key from the messages behind it.
#[test]
fn a_hopeless_message_is_answered_at_once_and_frees_its_key() {
    let class = Class { ordered: true, ..unsafe_class() };
    let mut bench = one(class);
    bench.accept(1, 0, 1, Some(5));
    bench.accept(2, 0, 1, Some(5));
    assert_eq!(bench.routes().len(), 1);
    bench.now = bench.now + ms(50);
    bench.finish(1, 7, AttemptOutcome::Reset, ms(50));
    let mut actions = bench.decide();
    actions.extend(bench.until_action(ms(500)));
    assert!(actions.contains(&Action::Fail { message: MessageId(1) }), "{actions:?}");
    assert!(actions.iter().any(|a| matches!(a, Action::Send { message: MessageId(2), .. })), "{actions:?}");
}

#[test]
fn a_message_whose_attempts_are_used_up_is_handed_back_at_once() {
    let mut bench = one(unsafe_class());
    bench.restart(Settings { max_attempts: 1, ..bench.settings.clone() }, 1, vec![endpoint(7, 1)]);
    bench.accept(1, 0, 1, None);
    bench.routes();
    bench.finish(1, 7, AttemptOutcome::Rejected(None), ms(20));
    assert!(bench.decide().contains(&Action::Reject { message: MessageId(1), retry_after: Duration::ZERO }));
}

/// Sends a message to each of `count` destinations in turn, each with a connection idle for two seconds; calls
/// on these end so, those on new ones well. Returns how often idle connections were closed before use.
fn closes_after(outcome: AttemptOutcome, count: u32) -> usize {
    let all = (1..=count).map(|d| endpoint(d, d as u16)).collect();
    let mut bench = Bench::new(settings(vec![safe()]), all);
    let mut id = 0;
    let mut call = |bench: &mut Bench, to: u32, outcome: AttemptOutcome| {
        id += 1;
        bench.accept(id, 0, to as u16, None);
        let actions = bench.decide();
        let closes = actions.iter().filter(|a| matches!(a, Action::CloseIdle { .. })).count();
        bench.now = bench.now + ms(20);
        bench.finish(id, to, if closes > 0 { AttemptOutcome::Ok } else { outcome }, ms(20));
        bench.tell(Event::Cancelled(MessageId(id)));
        closes
    };
    (1..=count).for_each(|to| assert_eq!(call(&mut bench, to, AttemptOutcome::Ok), 0));
    bench.now = bench.now + Duration::from_secs(2);
    (1..=count).map(|to| call(&mut bench, to, outcome)).sum()
}

/// Idle connections dropped unseen: the next call on one is lost.
#[test]
fn idle_connections_are_closed_before_use_once_calls_on_them_get_lost() {
    assert_eq!(closes_after(AttemptOutcome::Ok, 12), 0);
    assert!(closes_after(AttemptOutcome::Reset, 12) >= 6);
}

/// One lost answer is not an outage: with a share of the answers lost, messages must not wait for trials.
#[test]
fn a_single_loss_opens_no_spell() {
    let next_send = |outcome: AttemptOutcome| {
        let mut bench = one(safe());
        bench.restart(Settings { instance_count: 100, ..bench.settings.clone() }, 1, vec![endpoint(7, 1)]);
        bench.accept(1, 0, 1, None);
        bench.routes();
        bench.now = bench.now + ms(20);
        bench.finish(1, 7, outcome, ms(20));
        bench.accept(2, 0, 1, None);
        !bench.routes().is_empty()
    };
    assert!(next_send(AttemptOutcome::Reset));
    assert!(next_send(AttemptOutcome::ConnectFailed));
}

/// Hunt h560941: a hung partner with its queue full refuses although its limit has room.
#[test]
fn refusals_with_room_left_inside_the_limit_count_as_an_outage() {
    let sends_after = |left: f64| {
        let mut bench = one(safe());
        (0..200).for_each(|id| bench.accept(id, 0, 1, None));
        let mut sends = 0;
        let began = bench.now;
        while bench.now - began < Duration::from_secs(4) {
            for (id, to, _) in bench.routes() {
                sends += 1;
                bench.refuse(id, to, left, 100.0);
            }
            bench.now = bench.now + ms(50);
        }
        sends
    };
    assert!(sends_after(0.9) < sends_after(0.0), "{} {}", sends_after(0.9), sends_after(0.0));
}

/// Calls that hang take the slots of others: with none left, the oldest one is called off.
#[test]
fn with_all_slots_taken_a_stalled_call_is_called_off() {
    let base = settings(vec![safe()]);
    let mut bench =
        Bench::new(Settings { concurrency_limit: 2, ..base }, vec![endpoint(1, 1), endpoint(2, 2)]);
    (0..2).for_each(|id| bench.accept(id, 0, 1 + id as u16, None));
    assert_eq!(bench.routes().len(), 2);
    bench.accept(5, 0, 2, None);
    let off = bench.until_action(Duration::from_secs(5));
    assert_eq!(off, [Action::AbandonAttempt { message: MessageId(0), attempt: 0 }]);
}

/// A slot is worth most where a message of more worth waits, not where the list starts.
#[test]
fn ties_between_destinations_go_by_worth() {
    let rich = Class { priority_weight: 5.0, ..safe() };
    let base = settings(vec![safe(), rich]);
    let mut bench =
        Bench::new(Settings { concurrency_limit: 1, ..base }, vec![endpoint(1, 1), endpoint(2, 2)]);
    bench.accept(1, 0, 1, None);
    bench.accept(2, 1, 2, None);
    assert_eq!(bench.routes()[0].0, 2);
}

/// Incident i88d54c: light couriers that had all failed to connect came back every few seconds together.
#[test]
fn light_couriers_try_a_dead_destination_seldom() {
    let mut trials = 0;
    for seed in 0..100 {
        let mut bench = one(safe());
        bench.restart(Settings { instance_count: 400, ..bench.settings.clone() }, seed, vec![endpoint(7, 1)]);
        bench.accept(1, 0, 1, None);
        bench.routes();
        bench.finish(1, 7, AttemptOutcome::ConnectFailed, ms(20));
        let began = bench.now;
        while bench.now - began < Duration::from_secs(12) {
            for action in bench.until_action(Duration::from_secs(1)) {
                if let Action::Send { message, .. } = action {
                    trials += 1;
                    bench.finish(message.0, 7, AttemptOutcome::ConnectFailed, ms(20));
                }
            }
        }
    }
    // The first repeat decides whether there was no room for a connection, or it is an outage.
    assert!((101..=250).contains(&trials), "{trials} trials of 100 couriers in 12 s");
}

/// At full size a courier's even part of a limit is a call in minutes: it must not hold back its messages.
#[test]
fn a_light_courier_sends_at_once_while_nothing_was_refused() {
    let mut bench = one(safe());
    bench.restart(Settings { instance_count: 400, ..bench.settings.clone() }, 1, vec![endpoint(7, 1)]);
    for id in 0..10 {
        bench.accept(id, 0, 1, None);
        assert_eq!(bench.routes().len(), 1);
        bench.now = bench.now + ms(30);
        bench.finish(id, 7, AttemptOutcome::Ok, ms(30));
    }
}

/// Incident i4182c2: refused calls use up the limit, and first and second attempts alone kept it used up.
#[test]
fn where_calls_carry_many_one_refusal_slows_down_to_a_call_an_aim() {
    let sends_after_a_refusal = |batch: usize, seconds: u64| {
        let base = settings(vec![safe()]);
        let kinds = vec![Kind { max_batch: batch, per_endpoint_limits: false }];
        let mut bench = Bench::new(Settings { instance_count: 400, kinds, ..base }, vec![endpoint(7, 1)]);
        bench.accept(1, 0, 1, None);
        let mut calls = 0;
        let began = bench.now;
        while bench.now - began < Duration::from_secs(seconds) {
            let sent = bench.routes();
            calls += sent.len();
            for (id, to, _) in sent {
                bench.finish(id, to, AttemptOutcome::Rejected(None), ms(20));
            }
            bench.now = bench.now + ms(20);
        }
        calls
    };
    assert!(sends_after_a_refusal(20, 12) < sends_after_a_refusal(1, 12));
    assert_eq!(sends_after_a_refusal(20, 3), 1);
}

/// Later kingston, fresh-big: a clump met a hung partner's refusals at many light couriers at once, and their first
/// repeats met its return at once.
#[test]
fn light_couriers_refused_together_come_back_apart() {
    let back_after = |seed: u64| {
        let mut bench = one(safe());
        bench.restart(Settings { instance_count: 200, ..bench.settings.clone() }, seed, vec![endpoint(7, 1)]);
        bench.accept(1, 0, 1, None);
        bench.routes();
        bench.finish(1, 7, AttemptOutcome::Rejected(None), ms(20));
        let refused = bench.now;
        assert!(matches!(bench.until_action(Duration::from_secs(30))[..], [Action::Send { .. }]));
        bench.now - refused
    };
    let mut gaps: Vec<Duration> = (0..40).map(back_after).collect();
    gaps.sort_unstable();
    let aim = safe().latency_objective;
    assert!(gaps[39] - gaps[0] > aim, "from {:?} to {:?}, aim {aim:?}", gaps[0], gaps[39]);
}

/// What is given up is answered in the same turn: a repeat whose gap ends after its window is never sent again.
#[test]
fn a_message_given_up_is_answered_at_once() {
    let class = Class { retry_window: ms(1000), ..keyed() };
    let mut given_up = 0;
    for seed in 0..40 {
        let mut bench = one(class.clone());
        bench.restart(bench.settings.clone(), seed, vec![endpoint(7, 1)]);
        bench.accept(1, 0, 1, None);
        bench.routes();
        bench.now = bench.now + ms(860);
        bench.finish(1, 7, AttemptOutcome::Reset, ms(860));
        let ended = |a: &Action| matches!(a, Action::Fail { .. } | Action::Reject { .. });
        if bench.decide().iter().any(ended) {
            given_up += 1;
        } else {
            assert!(matches!(bench.until_action(ms(45))[..], [Action::Send { .. }]), "seed {seed} held back");
        }
    }
    assert!((20..40).contains(&given_up), "{given_up}");
}

/// Where clients are told when to come back, it is when this courier may next call the destination.
#[test]
fn a_refused_client_is_told_how_long_to_stay_away() {
    let told = |stay_away_most: Option<Duration>| {
        let base = settings(vec![safe()]);
        let mut bench = Bench::new(
            Settings { max_queued: 20, max_retry_after: stay_away_most, ..base },
            vec![endpoint(7, 1)],
        );
        bench.accept(100, 0, 1, None);
        bench.routes();
        bench.finish(100, 7, AttemptOutcome::Rejected(Some(ms(900))), ms(20));
        (0..20).for_each(|id| bench.accept(id, 0, 1, None));
        let stays = |a: &Action| match a {
            Action::Reject { retry_after: stay_away, .. } => Some(*stay_away),
            _ => None,
        };
        bench.decide().iter().find_map(stays).expect("nothing was shed")
    };
    assert_eq!(told(None), Duration::ZERO);
    assert_eq!(told(Some(ms(2000))), ms(900));
    assert_eq!(told(Some(ms(500))), ms(500));
}

/// sede: what waited for partners in an outage filled the hold, and messages for healthy ones were turned away.
#[test]
fn nearly_full_what_waits_for_the_sick_goes_first() {
    let rich = Class { priority_weight: 5.0, ..safe() };
    let base = settings(vec![safe(), rich]);
    let settings = Settings { max_queued: 20, concurrency_limit: 1, ..base };
    let mut bench = Bench::new(settings, vec![endpoint(1, 1), endpoint(2, 2)]);
    for id in 100..102 {
        bench.now = bench.now + ms(50);
        bench.accept(id, 0, 1, None);
        assert_eq!(bench.routes().len(), 1);
        bench.finish(id, 1, AttemptOutcome::ConnectFailed, ms(20));
        bench.tell(Event::Cancelled(MessageId(id)));
    }
    (0..10).for_each(|id| bench.accept(id, 1, 1, None));
    (10..20).for_each(|id| bench.accept(id, 0, 2, None));
    let shed: Vec<u32> = bench.decide().iter().filter_map(busy).collect();
    assert!(!shed.is_empty() && shed.iter().all(|id| *id < 10), "{shed:?}");
}

fn busy(action: &Action) -> Option<u32> {
    match action {
        Action::Reject { message, .. } => Some(message.0),
        _ => None,
    }
}
