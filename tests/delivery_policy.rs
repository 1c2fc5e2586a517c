//! The rules of delivery, and a regression test for each failure found.

mod common;

use cloverstile::{
    Action, AttemptOutcome, Class, ClassId, DeliveryPolicy, DestinationId, Endpoint, EndpointListUpdate,
    EndpointState, Event, Group, Kind, MessageId, Rules, Settings, Submission, Tenant, TenantId, ZoneId,
};
use common::{endpoint, keyed_class, ms, safe_class, settings, unsafe_class, Harness, Sent};
use std::time::Duration;

const MAYBE_RAN: [AttemptOutcome; 4] =
    [AttemptOutcome::Error, AttemptOutcome::Timeout, AttemptOutcome::Reset, AttemptOutcome::Abandoned];
const NEVER_RAN: [AttemptOutcome; 3] =
    [AttemptOutcome::Rejected(None), AttemptOutcome::ConnectFailed, AttemptOutcome::Unsent];

fn one(class: Class) -> Harness {
    Harness::new(settings(vec![class]), vec![endpoint(7, 1)])
}

/// Message 1 was sent to endpoint 7, and its attempt had this outcome.
fn after_one_attempt(class: Class, outcome: AttemptOutcome) -> Harness {
    let mut harness = one(class);
    harness.submit(1, 0, 1, None);
    assert_eq!(harness.next_sends().len(), 1);
    harness.now = harness.now + ms(50);
    harness.complete_attempt(1, 7, outcome, ms(50));
    harness
}

#[test]
fn message_without_endpoint_is_rejected_by_its_deadline() {
    let mut harness = Harness::new(settings(vec![keyed_class()]), vec![]);
    harness.submit(1, 0, 1, None);
    let deadline = harness.now + harness.settings.classes[0].deadline;
    assert_eq!(
        harness.run_until_action(Duration::from_secs(30)),
        [Action::Reject { message: MessageId(1), retry_after: Duration::ZERO }]
    );
    assert!(harness.now <= deadline + harness.settings.rules.answer_grace);
    assert!(harness.run_until_action(Duration::from_secs(30)).is_empty());
}

#[test]
fn unsafe_message_that_may_have_run_fails_without_retry() {
    for outcome in MAYBE_RAN {
        let mut harness = after_one_attempt(unsafe_class(), outcome);
        let end = harness.run_until_action(Duration::from_secs(30));
        assert_eq!(end, [Action::Fail { message: MessageId(1) }], "{outcome:?}");
    }
}

#[test]
fn unsafe_message_that_never_ran_is_retried() {
    for outcome in NEVER_RAN {
        let mut harness = after_one_attempt(unsafe_class(), outcome);
        let next = harness.run_until_action(Duration::from_secs(15));
        assert!(matches!(next[0], Action::Send { message: MessageId(1), .. }), "{outcome:?}");
    }
}

#[test]
fn keyed_message_is_retried_inside_its_window_only() {
    let mut harness = one(keyed_class());
    harness.submit(1, 0, 1, None);
    let sent = harness.now;
    assert_eq!(harness.next_sends().len(), 1);
    let mut repeats = 0;
    loop {
        harness.now = harness.now + ms(30);
        harness.complete_attempt(1, 7, AttemptOutcome::Error, ms(30));
        match harness.run_until_action(Duration::from_secs(30)).first() {
            Some(Action::Send { .. }) => {
                assert!(harness.now < sent + harness.settings.classes[0].retry_window);
                repeats += 1;
            }
            Some(Action::Fail { .. }) => break,
            other => panic!("{other:?}"),
        }
    }
    assert!(repeats > 0);
    assert!(repeats < harness.settings.max_attempts);
}

#[test]
fn keyed_message_is_retried_in_the_zone_of_its_first_attempt() {
    let mut other = endpoint(8, 1);
    other.zone = ZoneId(1);
    let class = Class { group: Group::Zone, ..keyed_class() };
    let mut harness = Harness::new(settings(vec![class]), vec![endpoint(7, 1), other.clone()]);
    harness.submit(1, 0, 1, None);
    let first = harness.next_sends()[0].endpoint;
    harness.now = harness.now + ms(50);
    harness.complete_attempt(1, first, AttemptOutcome::Reset, ms(50));
    let zone = if first == 7 { ZoneId(0) } else { ZoneId(1) };
    let drained = Endpoint { state: EndpointState::Draining, zone, ..endpoint(first, 1) };
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![drained])));
    let end = harness.run_until_action(Duration::from_secs(30));
    assert_eq!(end, [Action::Fail { message: MessageId(1) }]);
}

#[test]
fn retry_backoff_grows_and_is_jittered() {
    let mean_gap = |failures: u32| {
        let gaps: Vec<u64> = (0..40)
            .map(|seed| {
                let mut harness = one(safe_class());
                harness.policy = DeliveryPolicy::new(harness.settings.clone(), seed);
                harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![endpoint(7, 1)])));
                harness.submit(1, 0, 1, None);
                harness.next_sends();
                for attempt in 0..failures {
                    harness.complete_attempt(1, 7, AttemptOutcome::Error, ms(10));
                    let failed = harness.now;
                    assert!(!harness.run_until_action(Duration::from_secs(10)).is_empty());
                    if attempt + 1 == failures {
                        return (harness.now - failed).as_millis() as u64;
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
fn retry_window_of_a_message_from_a_lost_instance_starts_at_submission() {
    let mut harness = one(keyed_class());
    let class = harness.settings.classes[0].clone();
    harness.on_event(Event::Submitted(Submission {
        id: MessageId(1),
        class: ClassId(0),
        destination: DestinationId(1),
        key: None,
        deadline: harness.now + (class.deadline - class.retry_window),
        from_lost_instance: true,
        resubmitted: true,
        tenant: TenantId(0),
    }));
    let end = harness.run_until_action(Duration::from_secs(30));
    assert_eq!(end, [Action::Fail { message: MessageId(1) }]);
}

#[test]
fn draining_and_removed_endpoints_get_no_new_requests() {
    for mode in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = Harness::new(settings(vec![safe_class()]), vec![endpoint(7, 1), endpoint(8, 1)]);
        harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![Endpoint {
            state: mode,
            ..endpoint(7, 1)
        }])));
        (0..4).for_each(|id| harness.submit(id, 0, 1, None));
        let routes = harness.next_sends();
        assert!(!routes.is_empty() && routes.iter().all(|sent| sent.endpoint == 8));
    }
    let mut harness = Harness::new(settings(vec![safe_class()]), vec![endpoint(7, 1)]);
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![endpoint(8, 1)])));
    harness.submit(1, 0, 1, None);
    assert_eq!(harness.next_sends()[0].endpoint, 8);
}

#[test]
fn retry_after_binds_all_messages_of_the_destination() {
    let mut harness = Harness::new(settings(vec![safe_class()]), vec![endpoint(7, 1), endpoint(8, 1)]);
    harness.submit(1, 0, 1, None);
    let first = harness.next_sends()[0].endpoint;
    harness.complete_attempt(1, first, AttemptOutcome::Rejected(Some(ms(800))), ms(20));
    let rejected_at = harness.now;
    harness.submit(2, 0, 1, None);
    assert!(harness.next_sends().is_empty());
    assert!(!harness.run_until_action(Duration::from_secs(5)).is_empty());
    assert!(harness.now - rejected_at >= ms(800));
}

/// Incident ie8d4eb: a `Retry-After` of the first outcomes of a batched request was dropped.
#[test]
fn retry_after_of_any_message_of_a_request_is_kept() {
    let base = settings(vec![safe_class()]);
    let mut harness = Harness::new(
        Settings { kinds: vec![Kind { max_batch: 5, per_endpoint_limits: false }], ..base },
        vec![endpoint(7, 1)],
    );
    (1..=3).for_each(|id| harness.submit(id, 0, 1, None));
    assert_eq!(harness.next_sends().len(), 3);
    harness.complete_attempt(1, 7, AttemptOutcome::Rejected(Some(ms(900))), ms(20));
    harness.complete_attempt(2, 7, AttemptOutcome::Rejected(None), ms(20));
    harness.complete_attempt(3, 7, AttemptOutcome::Rejected(None), ms(20));
    let rejected_at = harness.now;
    assert!(!harness.run_until_action(Duration::from_secs(5)).is_empty());
    assert!(harness.now - rejected_at >= ms(900));
}

#[test]
fn ordered_keys_are_delivered_in_order_and_cool_down_after_a_lost_attempt() {
    let class = Class { ordered: true, ..unsafe_class() };
    let base = settings(vec![class]);
    let rules = Rules { key_cooldown: ms(300), ..base.rules.clone() };
    let mut harness = Harness::new(Settings { rules, ..base }, vec![endpoint(7, 1), endpoint(8, 1)]);
    harness.submit(1, 0, 1, Some(5));
    harness.submit(2, 0, 1, Some(5));
    let sent = harness.next_sends();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].message, 1);
    // The client cancels, the attempt runs on: the key stays taken until its outcome is known, and then cools down.
    harness.on_event(Event::Cancelled(MessageId(1)));
    assert!(harness.run_until_action(ms(100)).is_empty());
    harness.complete_attempt(1, sent[0].endpoint, AttemptOutcome::Reset, ms(100));
    let settled = harness.now;
    let next = harness.run_until_action(Duration::from_secs(10));
    assert!(matches!(next[0], Action::Send { message: MessageId(2), .. }));
    assert!(harness.now - settled >= ms(300));
}

#[test]
fn destination_in_outage_gets_single_probes_and_a_slow_start() {
    let mut harness = one(safe_class());
    (0..390).for_each(|id| harness.submit(id, 0, 1, None));
    for Sent { message: id, endpoint: to, .. } in harness.next_sends() {
        harness.complete_attempt(id, to, AttemptOutcome::ConnectFailed, ms(10));
    }
    let began = harness.now;
    let mut probes = 0;
    while harness.now - began < Duration::from_secs(6) {
        let routed = harness.run_until_action(Duration::from_secs(6));
        assert_eq!(routed.len(), 1, "one probe at a time");
        let Action::Send { message, .. } = routed[0] else { panic!("{routed:?}") };
        probes += 1;
        harness.complete_attempt(message.0, 7, AttemptOutcome::ConnectFailed, ms(5));
    }
    assert!((3..20).contains(&probes), "{probes}");
    // Recovered: all that is sent in the overload window stays inside the budget of a destination that warms up.
    let (mut sent, mut back) = (0.0, harness.now);
    let rules = harness.settings.rules.clone();
    while harness.now - back < rules.overload_window {
        harness.now = harness.now + ms(5);
        for Sent { message: id, endpoint: to, .. } in harness.next_sends() {
            if sent == 0.0 {
                back = harness.now;
            }
            sent += 1.0;
            harness.complete_attempt(id, to, AttemptOutcome::Ok, ms(5));
        }
    }
    let capacity = 100.0 * (rules.warm_up_capacity + (1.0 - rules.warm_up_capacity) * 0.2);
    assert!(
        sent > 0.0 && sent <= rules.overload_multiple * capacity * rules.overload_window.as_secs_f64(),
        "{sent}"
    );
}

/// A destination hangs: the silence stops further requests long before a time-out would.
#[test]
fn silent_destination_is_sent_only_probes() {
    let mut harness = one(unsafe_class());
    for id in 0..20 {
        harness.submit(id, 0, 1, None);
        harness.next_sends();
        harness.now = harness.now + ms(200);
    }
    harness.now = harness.now + ms(1000);
    let mut late = 0;
    for id in 20..60 {
        harness.submit(id, 0, 1, None);
        late += harness.next_sends().len();
        harness.now = harness.now + ms(100);
    }
    assert!(late <= 6, "{late} unsafe messages risked");
}

/// Incident id37437: hung destinations pinned all slots.
#[test]
fn hung_destinations_leave_slots_for_healthy_ones() {
    let all = (1..=5).map(|d| endpoint(u32::from(d), d)).collect();
    let mut harness = Harness::new(settings(vec![unsafe_class()]), all);
    let mut healthy = 0;
    for id in 0..400 {
        harness.now = harness.now + ms(25);
        harness.submit(id, 0, 1 + (id % 5) as u16, None);
        for Sent { message, endpoint: to, .. } in harness.next_sends() {
            // Only the fifth destination responds.
            if to == 5 {
                healthy += 1;
                harness.complete_attempt(message, to, AttemptOutcome::Ok, ms(5));
            }
        }
    }
    assert!(healthy >= 70, "{healthy} of 80 delivered at the healthy destination");
}

#[test]
fn load_shedding_rejects_messages_of_least_priority() {
    let rich = Class { priority_weight: 5.0, ..safe_class() };
    let base = settings(vec![safe_class(), rich]);
    let mut harness = Harness::new(Settings { max_queued: 20, ..base }, vec![]);
    (0..10).for_each(|id| harness.submit(id, 0, 1, None));
    (10..20).for_each(|id| harness.submit(id, 1, 1, None));
    let shed = harness.run_until_action(ms(5));
    assert!(!shed.is_empty());
    assert!(shed.iter().all(|a| matches!(a, Action::Reject { message, .. } if message.0 < 10)), "{shed:?}");
}

#[test]
fn free_slot_goes_to_the_destination_with_fewest_requests_in_flight() {
    let base = settings(vec![safe_class()]);
    let mut harness = Harness::new(
        Settings { concurrency_limit: 4, ..base },
        vec![endpoint(1, 1), endpoint(2, 2), endpoint(3, 3)],
    );
    (0..4).for_each(|id| harness.submit(id, 0, 1, None));
    (4..8).for_each(|id| harness.submit(id, 0, 2, None));
    (8..12).for_each(|id| harness.submit(id, 0, 3, None));
    let mut first: Vec<u32> = harness.next_sends().iter().take(3).map(|sent| sent.endpoint).collect();
    first.sort_unstable();
    assert_eq!(first, [1, 2, 3]);
}

#[test]
fn request_carries_a_batch_where_the_kind_allows_it() {
    let base = settings(vec![safe_class()]);
    let kinds = vec![Kind { max_batch: 5, per_endpoint_limits: false }];
    let mut harness = Harness::new(Settings { concurrency_limit: 1, kinds, ..base }, vec![endpoint(7, 1)]);
    (0..8).for_each(|id| harness.submit(id, 0, 1, None));
    assert_eq!(harness.next_sends().len(), 5);
}

/// Incident i10b789: while latency was high the time-outs stayed short, and retries met first attempts still running.
#[test]
fn attempt_timeout_grows_with_timeouts() {
    let mut harness = one(safe_class());
    harness.submit(1, 0, 1, None);
    let first = harness.next_sends()[0].timeout;
    let mut last = first;
    for _ in 0..6 {
        harness.now = harness.now + last;
        harness.complete_attempt(1, 7, AttemptOutcome::Timeout, last);
        harness.submit(1000 + harness.now.0 as u32, 0, 1, None);
        match harness.run_until_action(Duration::from_secs(5)).first() {
            Some(Action::Send { message, timeout, .. }) => {
                last = *timeout;
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
fn events_for_unknown_ids_are_ignored() {
    let mut harness = one(safe_class());
    harness.complete_attempt(99, 7, AttemptOutcome::Ok, ms(5));
    harness.complete_attempt(99, 98, AttemptOutcome::Rejected(Some(ms(5))), ms(5));
    harness.on_event(Event::Cancelled(MessageId(99)));
    harness.on_event(Event::TimerFired(12345));
    harness.submit(1, 0, 1, None);
    assert_eq!(harness.next_sends().len(), 1);
}

#[test]
fn clock_jump_completes_all_messages() {
    let mut harness = one(keyed_class());
    (0..5).for_each(|id| harness.submit(id, 0, 1, None));
    harness.next_sends();
    harness.now = harness.now + Duration::from_secs(100_000);
    let answers = harness.next_actions().iter().filter(|a| !matches!(a, Action::Wake { .. })).count();
    assert_eq!(answers, 5);
}

#[test]
fn messages_over_quota_are_shed_first() {
    let base = settings(vec![safe_class()]);
    let tenants = vec![Tenant { quota: 0.6 }, Tenant { quota: 1000.0 }];
    let mut harness =
        Harness::new(Settings { max_queued: 40, tenants, over_quota_weight: 0.1, ..base }, vec![]);
    let deadline = harness.now + harness.settings.classes[0].deadline;
    for id in 0..40 {
        let tenant = TenantId(u32::from(id >= 20));
        let (class, destination) = (ClassId(0), DestinationId(1));
        let id = MessageId(id);
        let from_lost_instance = false;
        let submission = Submission {
            id,
            class,
            destination,
            key: None,
            deadline,
            from_lost_instance,
            resubmitted: false,
            tenant,
        };
        harness.on_event(Event::Submitted(submission));
    }
    let shed = harness.run_until_action(ms(5));
    assert!(!shed.is_empty());
    assert!(
        shed.iter().all(|a| matches!(a, Action::Reject { message, .. } if (6..20).contains(&message.0))),
        "{shed:?}"
    );
}

#[test]
fn retry_after_binds_one_route_with_per_endpoint_limits() {
    let base = settings(vec![safe_class()]);
    let kinds = vec![Kind { max_batch: 1, per_endpoint_limits: true }];
    let mut harness = Harness::new(Settings { kinds, ..base }, vec![endpoint(7, 1), endpoint(8, 1)]);
    harness.submit(1, 0, 1, None);
    let first = harness.next_sends()[0].endpoint;
    harness.complete_attempt(1, first, AttemptOutcome::Rejected(Some(ms(900))), ms(20));
    harness.submit(2, 0, 1, None);
    let other = harness.next_sends();
    assert_eq!(other.len(), 1);
    assert_ne!(other[0].endpoint, first);
}

/// Where each instance has few requests, a tie broken by id sends all of them to the same endpoint.
#[test]
fn instances_prefer_different_endpoints_of_a_destination() {
    let chosen: std::collections::BTreeSet<u32> = (0..30)
        .map(|seed| {
            let mut harness = Harness::new(settings(vec![safe_class()]), vec![]);
            harness.policy = DeliveryPolicy::new(harness.settings.clone(), seed);
            harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![
                endpoint(7, 1),
                endpoint(8, 1),
                endpoint(9, 1),
            ])));
            harness.submit(1, 0, 1, None);
            harness.next_sends()[0].endpoint
        })
        .collect();
    assert_eq!(chosen.len(), 3, "{chosen:?}");
}

/// A message that can never be sent again must not keep its order key from the messages behind it.
#[test]
fn message_that_cannot_be_retried_fails_at_once_and_frees_its_key() {
    let class = Class { ordered: true, ..unsafe_class() };
    let mut harness = one(class);
    harness.submit(1, 0, 1, Some(5));
    harness.submit(2, 0, 1, Some(5));
    assert_eq!(harness.next_sends().len(), 1);
    harness.now = harness.now + ms(50);
    harness.complete_attempt(1, 7, AttemptOutcome::Reset, ms(50));
    let mut actions = harness.next_actions();
    actions.extend(harness.run_until_action(ms(500)));
    assert!(actions.contains(&Action::Fail { message: MessageId(1) }), "{actions:?}");
    assert!(actions.iter().any(|a| matches!(a, Action::Send { message: MessageId(2), .. })), "{actions:?}");
}

#[test]
fn message_without_attempts_left_is_rejected_at_once() {
    let mut harness = one(unsafe_class());
    harness.replace_policy(Settings { max_attempts: 1, ..harness.settings.clone() }, 1, vec![endpoint(7, 1)]);
    harness.submit(1, 0, 1, None);
    harness.next_sends();
    harness.complete_attempt(1, 7, AttemptOutcome::Rejected(None), ms(20));
    assert!(harness
        .next_actions()
        .contains(&Action::Reject { message: MessageId(1), retry_after: Duration::ZERO }));
}

/// Sends a message to each of `count` destinations, each with a connection idle for two seconds; requests on these
/// have this outcome, those on new ones succeed. Returns how often idle connections were closed before use.
fn closes_after(outcome: AttemptOutcome, count: u32) -> usize {
    let all = (1..=count).map(|d| endpoint(d, d as u16)).collect();
    let mut harness = Harness::new(settings(vec![safe_class()]), all);
    let mut id = 0;
    let mut call = |harness: &mut Harness, to: u32, outcome: AttemptOutcome| {
        id += 1;
        harness.submit(id, 0, to as u16, None);
        let actions = harness.next_actions();
        let closes = actions.iter().filter(|a| matches!(a, Action::CloseIdle { .. })).count();
        harness.now = harness.now + ms(20);
        harness.complete_attempt(id, to, if closes > 0 { AttemptOutcome::Ok } else { outcome }, ms(20));
        harness.on_event(Event::Cancelled(MessageId(id)));
        closes
    };
    (1..=count).for_each(|to| assert_eq!(call(&mut harness, to, AttemptOutcome::Ok), 0));
    harness.now = harness.now + Duration::from_secs(2);
    (1..=count).map(|to| call(&mut harness, to, outcome)).sum()
}

/// Idle connections dropped unseen: the next request on one is lost.
#[test]
fn stale_idle_connections_are_closed_before_use() {
    assert_eq!(closes_after(AttemptOutcome::Ok, 12), 0);
    assert!(closes_after(AttemptOutcome::Reset, 12) >= 6);
}

/// One lost response is not an outage: where a share of them is lost, messages must not wait for probes.
#[test]
fn single_lost_request_opens_no_outage() {
    let next_send = |outcome: AttemptOutcome| {
        let mut harness = one(safe_class());
        harness.replace_policy(
            Settings { instance_count: 100, ..harness.settings.clone() },
            1,
            vec![endpoint(7, 1)],
        );
        harness.submit(1, 0, 1, None);
        harness.next_sends();
        harness.now = harness.now + ms(20);
        harness.complete_attempt(1, 7, outcome, ms(20));
        harness.submit(2, 0, 1, None);
        !harness.next_sends().is_empty()
    };
    assert!(next_send(AttemptOutcome::Reset));
    assert!(next_send(AttemptOutcome::ConnectFailed));
}

/// Found by search (h560941): a hung partner with a full queue rejects although its limit has capacity remaining.
#[test]
fn rejections_with_capacity_remaining_count_as_an_outage() {
    let sends_after = |left: f64| {
        let mut harness = one(safe_class());
        (0..200).for_each(|id| harness.submit(id, 0, 1, None));
        let mut sends = 0;
        let began = harness.now;
        while harness.now - began < Duration::from_secs(4) {
            for Sent { message: id, endpoint: to, .. } in harness.next_sends() {
                sends += 1;
                harness.reject_with_limit(id, to, left, 100.0);
            }
            harness.now = harness.now + ms(50);
        }
        sends
    };
    assert!(sends_after(0.9) < sends_after(0.0), "{} {}", sends_after(0.9), sends_after(0.0));
}

/// Requests that hang take the slots of others: with none left, the oldest one is abandoned.
#[test]
fn stalled_request_is_abandoned_when_all_slots_are_taken() {
    let base = settings(vec![safe_class()]);
    let mut harness =
        Harness::new(Settings { concurrency_limit: 2, ..base }, vec![endpoint(1, 1), endpoint(2, 2)]);
    (0..2).for_each(|id| harness.submit(id, 0, 1 + id as u16, None));
    assert_eq!(harness.next_sends().len(), 2);
    harness.submit(5, 0, 2, None);
    let off = harness.run_until_action(Duration::from_secs(5));
    assert_eq!(off, [Action::AbandonAttempt { message: MessageId(0), attempt: 0 }]);
}

/// A slot goes to the message of highest priority, not to the first destination of the list.
#[test]
fn ties_between_destinations_are_broken_by_priority() {
    let rich = Class { priority_weight: 5.0, ..safe_class() };
    let base = settings(vec![safe_class(), rich]);
    let mut harness =
        Harness::new(Settings { concurrency_limit: 1, ..base }, vec![endpoint(1, 1), endpoint(2, 2)]);
    harness.submit(1, 0, 1, None);
    harness.submit(2, 1, 2, None);
    assert_eq!(harness.next_sends()[0].message, 2);
}

/// Incident i88d54c: low-traffic instances that had all failed to connect came back every few seconds together.
#[test]
fn low_traffic_instances_probe_a_destination_in_outage_seldom() {
    let mut probes = 0;
    for seed in 0..100 {
        let mut harness = one(safe_class());
        harness.replace_policy(
            Settings { instance_count: 400, ..harness.settings.clone() },
            seed,
            vec![endpoint(7, 1)],
        );
        harness.submit(1, 0, 1, None);
        harness.next_sends();
        harness.complete_attempt(1, 7, AttemptOutcome::ConnectFailed, ms(20));
        let began = harness.now;
        while harness.now - began < Duration::from_secs(12) {
            for action in harness.run_until_action(Duration::from_secs(1)) {
                if let Action::Send { message, .. } = action {
                    probes += 1;
                    harness.complete_attempt(message.0, 7, AttemptOutcome::ConnectFailed, ms(20));
                }
            }
        }
    }
    // The first retry decides whether connections were limited or it is an outage.
    assert!((101..=250).contains(&probes), "{probes} probes of 100 instances in 12 s");
}

/// With hundreds of instances, a fair share of a limit is a request in minutes: it must not hold back messages.
#[test]
fn low_traffic_instance_sends_at_once_before_any_rejection() {
    let mut harness = one(safe_class());
    harness.replace_policy(
        Settings { instance_count: 400, ..harness.settings.clone() },
        1,
        vec![endpoint(7, 1)],
    );
    for id in 0..10 {
        harness.submit(id, 0, 1, None);
        assert_eq!(harness.next_sends().len(), 1);
        harness.now = harness.now + ms(30);
        harness.complete_attempt(id, 7, AttemptOutcome::Ok, ms(30));
    }
}

/// Incident i4182c2: rejected requests use up the limit, and first and second attempts alone kept it exhausted.
#[test]
fn one_rejection_slows_batched_requests_to_one_an_objective() {
    let sends_after_a_refusal = |batch: usize, seconds: u64| {
        let base = settings(vec![safe_class()]);
        let kinds = vec![Kind { max_batch: batch, per_endpoint_limits: false }];
        let mut harness = Harness::new(Settings { instance_count: 400, kinds, ..base }, vec![endpoint(7, 1)]);
        harness.submit(1, 0, 1, None);
        let mut calls = 0;
        let began = harness.now;
        while harness.now - began < Duration::from_secs(seconds) {
            let sent = harness.next_sends();
            calls += sent.len();
            for Sent { message: id, endpoint: to, .. } in sent {
                harness.complete_attempt(id, to, AttemptOutcome::Rejected(None), ms(20));
            }
            harness.now = harness.now + ms(20);
        }
        calls
    };
    assert!(sends_after_a_refusal(20, 12) < sends_after_a_refusal(1, 12));
    assert_eq!(sends_after_a_refusal(20, 3), 1);
}

/// Later kingston, fresh-big: a burst met a hung partner's rejections at many low-traffic instances at once, and
/// their first retries met its recovery at once.
#[test]
fn low_traffic_instances_rejected_together_retry_at_different_times() {
    let back_after = |seed: u64| {
        let mut harness = one(safe_class());
        harness.replace_policy(
            Settings { instance_count: 200, ..harness.settings.clone() },
            seed,
            vec![endpoint(7, 1)],
        );
        harness.submit(1, 0, 1, None);
        harness.next_sends();
        harness.complete_attempt(1, 7, AttemptOutcome::Rejected(None), ms(20));
        let rejected_at = harness.now;
        assert!(matches!(harness.run_until_action(Duration::from_secs(30))[..], [Action::Send { .. }]));
        harness.now - rejected_at
    };
    let mut gaps: Vec<Duration> = (0..40).map(back_after).collect();
    gaps.sort_unstable();
    let objective = safe_class().latency_objective;
    assert!(gaps[39] - gaps[0] > objective, "from {:?} to {:?}, objective {objective:?}", gaps[0], gaps[39]);
}

/// What can no longer be retried completes in the same turn: a backoff that ends after the retry window is in vain.
#[test]
fn message_without_time_for_a_retry_is_completed_at_once() {
    let class = Class { retry_window: ms(1000), ..keyed_class() };
    let mut given_up = 0;
    for seed in 0..40 {
        let mut harness = one(class.clone());
        harness.replace_policy(harness.settings.clone(), seed, vec![endpoint(7, 1)]);
        harness.submit(1, 0, 1, None);
        harness.next_sends();
        // The window ends, less its margin, 40 ms later.
        harness.now = harness.now + ms(810);
        harness.complete_attempt(1, 7, AttemptOutcome::Reset, ms(810));
        let ended = |a: &Action| matches!(a, Action::Fail { .. } | Action::Reject { .. });
        if harness.next_actions().iter().any(ended) {
            given_up += 1;
        } else {
            assert!(
                matches!(harness.run_until_action(ms(45))[..], [Action::Send { .. }]),
                "seed {seed} held back"
            );
        }
    }
    assert!((20..40).contains(&given_up), "{given_up}");
}

/// Where clients can be told when to retry, it is when this instance may next send to the destination.
#[test]
fn rejected_client_is_told_when_to_retry() {
    let retry_after = |max_retry_after: Option<Duration>| {
        let base = settings(vec![safe_class()]);
        let mut harness =
            Harness::new(Settings { max_queued: 20, max_retry_after, ..base }, vec![endpoint(7, 1)]);
        harness.submit(100, 0, 1, None);
        harness.next_sends();
        harness.complete_attempt(100, 7, AttemptOutcome::Rejected(Some(ms(900))), ms(20));
        (0..20).for_each(|id| harness.submit(id, 0, 1, None));
        let stays = |a: &Action| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        harness.next_actions().iter().find_map(stays).expect("nothing was shed")
    };
    assert_eq!(retry_after(None), Duration::ZERO);
    assert_eq!(retry_after(Some(ms(2000))), ms(900));
    assert_eq!(retry_after(Some(ms(500))), ms(500));
}

/// sede: messages for partners in an outage filled the queue, and messages for healthy ones were rejected.
#[test]
fn load_shedding_rejects_messages_for_unhealthy_destinations_first() {
    let rich = Class { priority_weight: 5.0, ..safe_class() };
    let base = settings(vec![safe_class(), rich]);
    let settings = Settings { max_queued: 20, concurrency_limit: 1, ..base };
    let mut harness = Harness::new(settings, vec![endpoint(1, 1), endpoint(2, 2)]);
    for id in 100..102 {
        harness.now = harness.now + ms(50);
        harness.submit(id, 0, 1, None);
        assert_eq!(harness.next_sends().len(), 1);
        harness.complete_attempt(id, 1, AttemptOutcome::ConnectFailed, ms(20));
        harness.on_event(Event::Cancelled(MessageId(id)));
    }
    (0..10).for_each(|id| harness.submit(id, 1, 1, None));
    (10..20).for_each(|id| harness.submit(id, 0, 2, None));
    let shed: Vec<u32> = harness.next_actions().iter().filter_map(busy).collect();
    assert!(!shed.is_empty() && shed.iter().all(|id| *id < 10), "{shed:?}");
}

fn busy(action: &Action) -> Option<u32> {
    match action {
        Action::Reject { message, .. } => Some(message.0),
        _ => None,
    }
}
