//! Delivery rules of the policy: retries, order keys, outages, slots, load shedding and rate limits.

mod common;

use cloverstile::{
    Action, AttemptOutcome, Class, ClassId, DeliveryPolicy, DestinationId, Endpoint, EndpointListUpdate,
    EndpointState, Event, Group, Kind, MessageId, Rules, Settings, Submission, Tenant, TenantId, ZoneId,
};
use common::{endpoint, keyed_class, ms, safe_class, settings, unsafe_class, Harness, Sent};
use std::time::Duration;

const MAY_HAVE_RUN: [AttemptOutcome; 4] =
    [AttemptOutcome::Error, AttemptOutcome::Timeout, AttemptOutcome::Reset, AttemptOutcome::Abandoned];
const NOT_RUN: [AttemptOutcome; 3] =
    [AttemptOutcome::Rejected(None), AttemptOutcome::ConnectFailed, AttemptOutcome::Unsent];

/// A harness with one class and one endpoint: endpoint 7 of destination 1.
fn single_endpoint(class: Class) -> Harness {
    Harness::new(settings(vec![class]), vec![endpoint(7, 1)])
}

/// The harness of [`single_endpoint`] after the first attempt for message 1 ended with this outcome.
fn with_completed_attempt(class: Class, outcome: AttemptOutcome) -> Harness {
    let mut harness = single_endpoint(class);
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
    assert!(harness.now <= deadline + harness.settings.rules.outcome_grace);
    assert!(harness.run_until_action(Duration::from_secs(30)).is_empty());
}

#[test]
fn unsafe_message_that_may_have_run_fails_without_retry() {
    for outcome in MAY_HAVE_RUN {
        let mut harness = with_completed_attempt(unsafe_class(), outcome);
        let actions = harness.run_until_action(Duration::from_secs(30));
        assert_eq!(actions, [Action::Fail { message: MessageId(1) }], "{outcome:?}");
    }
}

#[test]
fn unsafe_message_that_never_ran_is_retried() {
    for outcome in NOT_RUN {
        let mut harness = with_completed_attempt(unsafe_class(), outcome);
        let next = harness.run_until_action(Duration::from_secs(15));
        assert!(matches!(next[0], Action::Send { message: MessageId(1), .. }), "{outcome:?}");
    }
}

#[test]
fn keyed_message_is_retried_only_within_its_retry_window() {
    let mut harness = single_endpoint(keyed_class());
    harness.submit(1, 0, 1, None);
    let sent = harness.now;
    assert_eq!(harness.next_sends().len(), 1);
    let mut retries = 0;
    loop {
        harness.now = harness.now + ms(30);
        harness.complete_attempt(1, 7, AttemptOutcome::Error, ms(30));
        match harness.run_until_action(Duration::from_secs(30)).first() {
            Some(Action::Send { .. }) => {
                assert!(harness.now < sent + harness.settings.classes[0].retry_window);
                retries += 1;
            }
            Some(Action::Fail { .. }) => break,
            other => panic!("{other:?}"),
        }
    }
    assert!(retries > 0);
    assert!(retries < harness.settings.max_attempts);
}

#[test]
fn keyed_message_with_zone_group_is_not_retried_in_another_zone() {
    let mut other = endpoint(8, 1);
    other.zone = ZoneId(1);
    let class = Class { group: Group::Zone, ..keyed_class() };
    let mut harness = Harness::new(settings(vec![class]), vec![endpoint(7, 1), other.clone()]);
    harness.submit(1, 0, 1, None);
    let first = harness.next_sends()[0].endpoint;
    harness.now = harness.now + ms(50);
    harness.complete_attempt(1, first, AttemptOutcome::Reset, ms(50));
    let zone = if first == 7 { ZoneId(0) } else { ZoneId(1) };
    let draining = Endpoint { state: EndpointState::Draining, zone, ..endpoint(first, 1) };
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![draining])));
    let actions = harness.run_until_action(Duration::from_secs(30));
    assert_eq!(actions, [Action::Fail { message: MessageId(1) }]);
}

#[test]
fn retry_backoff_grows_and_is_jittered() {
    let mean_backoff = |failures: u32| {
        let backoffs: Vec<u64> = (0..40)
            .map(|seed| {
                let mut harness = single_endpoint(safe_class());
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
        assert!(backoffs.iter().min() < backoffs.iter().max());
        backoffs.iter().sum::<u64>() / 40
    };
    assert!(mean_backoff(3) > mean_backoff(1));
}

#[test]
fn retry_window_of_a_message_from_a_lost_instance_starts_at_submission() {
    let mut harness = single_endpoint(keyed_class());
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
    let actions = harness.run_until_action(Duration::from_secs(30));
    assert_eq!(actions, [Action::Fail { message: MessageId(1) }]);
}

#[test]
fn draining_and_removed_endpoints_get_no_new_requests() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = Harness::new(settings(vec![safe_class()]), vec![endpoint(7, 1), endpoint(8, 1)]);
        harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![Endpoint {
            state,
            ..endpoint(7, 1)
        }])));
        (0..4).for_each(|id| harness.submit(id, 0, 1, None));
        let sends = harness.next_sends();
        assert!(!sends.is_empty() && sends.iter().all(|sent| sent.endpoint == 8));
    }
    let mut harness = Harness::new(settings(vec![safe_class()]), vec![endpoint(7, 1)]);
    harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![endpoint(8, 1)])));
    harness.submit(1, 0, 1, None);
    assert_eq!(harness.next_sends()[0].endpoint, 8);
}

#[test]
fn retry_after_delays_all_messages_of_the_destination() {
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

/// Each message of a batched request has its own outcome: later outcomes without a `Retry-After` must not clear the one
/// that an earlier outcome set (incident ie8d4eb).
#[test]
fn retry_after_is_kept_when_later_outcomes_of_the_batch_have_none() {
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
fn order_key_is_held_until_the_outcome_is_known_and_cools_down_after_a_lost_attempt() {
    let class = Class { ordered: true, ..unsafe_class() };
    let base = settings(vec![class]);
    let rules = Rules { key_cooldown: ms(300), ..base.rules.clone() };
    let mut harness = Harness::new(Settings { rules, ..base }, vec![endpoint(7, 1), endpoint(8, 1)]);
    harness.submit(1, 0, 1, Some(5));
    harness.submit(2, 0, 1, Some(5));
    let sent = harness.next_sends();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].message, 1);
    // The client cancels while the attempt is in flight: the order key stays in use until the outcome is known, then
    // cools down.
    harness.on_event(Event::Cancelled(MessageId(1)));
    assert!(harness.run_until_action(ms(100)).is_empty());
    harness.complete_attempt(1, sent[0].endpoint, AttemptOutcome::Reset, ms(100));
    let completed_at = harness.now;
    let next = harness.run_until_action(Duration::from_secs(10));
    assert!(matches!(next[0], Action::Send { message: MessageId(2), .. }));
    assert!(harness.now - completed_at >= ms(300));
}

#[test]
fn destination_in_outage_gets_single_probes_and_a_slow_start() {
    let mut harness = single_endpoint(safe_class());
    (0..390).for_each(|id| harness.submit(id, 0, 1, None));
    for Sent { message: id, endpoint: to, .. } in harness.next_sends() {
        harness.complete_attempt(id, to, AttemptOutcome::ConnectFailed, ms(10));
    }
    let outage_start = harness.now;
    let mut probes = 0;
    while harness.now - outage_start < Duration::from_secs(6) {
        let actions = harness.run_until_action(Duration::from_secs(6));
        assert_eq!(actions.len(), 1, "one probe at a time");
        let Action::Send { message, .. } = actions[0] else { panic!("{actions:?}") };
        probes += 1;
        harness.complete_attempt(message.0, 7, AttemptOutcome::ConnectFailed, ms(5));
    }
    assert!((3..20).contains(&probes), "{probes}");
    // After recovery, requests in the first overload window must stay below the number at which a destination
    // collapses while it warms up.
    let (mut sent, mut recovered_at) = (0.0, harness.now);
    let rules = harness.settings.rules.clone();
    while harness.now - recovered_at < rules.overload_window {
        harness.now = harness.now + ms(5);
        for Sent { message: id, endpoint: to, .. } in harness.next_sends() {
            if sent == 0.0 {
                recovered_at = harness.now;
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

/// A destination that hangs must be detected by its missing responses, long before the first attempt times out.
#[test]
fn hung_destination_is_sent_only_probes() {
    let mut harness = single_endpoint(unsafe_class());
    for id in 0..20 {
        harness.submit(id, 0, 1, None);
        harness.next_sends();
        harness.now = harness.now + ms(200);
    }
    harness.now = harness.now + ms(1000);
    let mut sends_after_hang = 0;
    for id in 20..60 {
        harness.submit(id, 0, 1, None);
        sends_after_hang += harness.next_sends().len();
        harness.now = harness.now + ms(100);
    }
    assert!(sends_after_hang <= 6, "{sends_after_hang} unsafe messages sent to a hung destination");
}

/// Requests to destinations that hang must not hold all slots: they would block messages for healthy destinations
/// (incident id37437).
#[test]
fn hung_destinations_leave_slots_for_healthy_ones() {
    let endpoints = (1..=5).map(|id| endpoint(u32::from(id), id)).collect();
    let mut harness = Harness::new(settings(vec![unsafe_class()]), endpoints);
    let mut delivered = 0;
    for id in 0..400 {
        harness.now = harness.now + ms(25);
        harness.submit(id, 0, 1 + (id % 5) as u16, None);
        for Sent { message, endpoint: to, .. } in harness.next_sends() {
            // Only the fifth destination responds.
            if to == 5 {
                delivered += 1;
                harness.complete_attempt(message, to, AttemptOutcome::Ok, ms(5));
            }
        }
    }
    assert!(delivered >= 70, "{delivered} of 80 delivered at the healthy destination");
}

#[test]
fn load_shedding_rejects_messages_of_lowest_priority_first() {
    let high_priority = Class { priority_weight: 5.0, ..safe_class() };
    let base = settings(vec![safe_class(), high_priority]);
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

/// The attempt time-out must follow high latency: a retry after a time-out that is too short meets a first attempt that
/// is still running (incident i10b789).
#[test]
fn attempt_timeout_grows_after_timeouts() {
    let mut harness = single_endpoint(safe_class());
    harness.submit(1, 0, 1, None);
    let first = harness.next_sends()[0].timeout;
    let mut latest = first;
    for _ in 0..6 {
        harness.now = harness.now + latest;
        harness.complete_attempt(1, 7, AttemptOutcome::Timeout, latest);
        harness.submit(1000 + harness.now.0 as u32, 0, 1, None);
        match harness.run_until_action(Duration::from_secs(5)).first() {
            Some(Action::Send { message, timeout, .. }) => {
                latest = *timeout;
                if message.0 != 1 {
                    break;
                }
            }
            _ => break,
        }
    }
    assert!(latest > first, "{first:?} {latest:?}");
}

#[test]
fn events_for_unknown_ids_are_ignored() {
    let mut harness = single_endpoint(safe_class());
    harness.complete_attempt(99, 7, AttemptOutcome::Ok, ms(5));
    harness.complete_attempt(99, 98, AttemptOutcome::Rejected(Some(ms(5))), ms(5));
    harness.on_event(Event::Cancelled(MessageId(99)));
    harness.on_event(Event::TimerFired(12345));
    harness.submit(1, 0, 1, None);
    assert_eq!(harness.next_sends().len(), 1);
}

#[test]
fn clock_jump_past_all_deadlines_completes_all_messages() {
    let mut harness = single_endpoint(keyed_class());
    (0..5).for_each(|id| harness.submit(id, 0, 1, None));
    harness.next_sends();
    harness.now = harness.now + Duration::from_secs(100_000);
    let outcomes = harness.next_actions().iter().filter(|a| !matches!(a, Action::SetTimer { .. })).count();
    assert_eq!(outcomes, 5);
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
fn retry_after_delays_one_endpoint_with_per_endpoint_limits() {
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

/// Each instance sends few requests: if ties were broken by endpoint id, all of them would go to the same endpoint.
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

/// A message that must not be retried has to release its order key at once for the messages queued behind it.
#[test]
fn message_that_cannot_be_retried_fails_at_once_and_releases_its_order_key() {
    let class = Class { ordered: true, ..unsafe_class() };
    let mut harness = single_endpoint(class);
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
    let mut harness = single_endpoint(unsafe_class());
    harness.replace_policy(Settings { max_attempts: 1, ..harness.settings.clone() }, 1, vec![endpoint(7, 1)]);
    harness.submit(1, 0, 1, None);
    harness.next_sends();
    harness.complete_attempt(1, 7, AttemptOutcome::Rejected(None), ms(20));
    assert!(harness
        .next_actions()
        .contains(&Action::Reject { message: MessageId(1), retry_after: Duration::ZERO }));
}

/// Sends a message to each of `count` destinations over connections that were idle for two seconds. Requests on idle
/// connections have this outcome, those on new connections succeed. Returns how many times idle connections were closed
/// before use.
fn idle_closes_with_outcome(outcome: AttemptOutcome, count: u32) -> usize {
    let endpoints = (1..=count).map(|id| endpoint(id, id as u16)).collect();
    let mut harness = Harness::new(settings(vec![safe_class()]), endpoints);
    let mut id = 0;
    let mut send = |harness: &mut Harness, to: u32, outcome: AttemptOutcome| {
        id += 1;
        harness.submit(id, 0, to as u16, None);
        let actions = harness.next_actions();
        let closes = actions.iter().filter(|a| matches!(a, Action::CloseIdle { .. })).count();
        harness.now = harness.now + ms(20);
        harness.complete_attempt(id, to, if closes > 0 { AttemptOutcome::Ok } else { outcome }, ms(20));
        harness.on_event(Event::Cancelled(MessageId(id)));
        closes
    };
    (1..=count).for_each(|to| assert_eq!(send(&mut harness, to, AttemptOutcome::Ok), 0));
    harness.now = harness.now + Duration::from_secs(2);
    (1..=count).map(|to| send(&mut harness, to, outcome)).sum()
}

/// An idle connection can be dropped without notice to the gateway: the next request on it is lost.
#[test]
fn stale_idle_connections_are_closed_before_use() {
    assert_eq!(idle_closes_with_outcome(AttemptOutcome::Ok, 12), 0);
    assert!(idle_closes_with_outcome(AttemptOutcome::Reset, 12) >= 6);
}

/// A single lost response is not an outage: where a destination loses a part of its responses, messages must not
/// wait for probes.
#[test]
fn single_lost_request_does_not_start_an_outage() {
    let sends_after = |outcome: AttemptOutcome| {
        let mut harness = single_endpoint(safe_class());
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
    assert!(sends_after(AttemptOutcome::Reset));
    assert!(sends_after(AttemptOutcome::ConnectFailed));
}

/// A rejection with most of the rate limit remaining has another cause, such as a hung partner with a full queue: the
/// destination must get fewer requests than after a rejection by its limit (incident h560941).
#[test]
fn rejections_with_remaining_limit_count_as_an_outage() {
    let sends_after = |remaining: f64| {
        let mut harness = single_endpoint(safe_class());
        (0..200).for_each(|id| harness.submit(id, 0, 1, None));
        let mut sends = 0;
        let start = harness.now;
        while harness.now - start < Duration::from_secs(4) {
            for Sent { message: id, endpoint: to, .. } in harness.next_sends() {
                sends += 1;
                harness.reject_with_limit(id, to, remaining, 100.0);
            }
            harness.now = harness.now + ms(50);
        }
        sends
    };
    assert!(sends_after(0.9) < sends_after(0.0), "{} {}", sends_after(0.9), sends_after(0.0));
}

/// Stalled requests hold slots that other messages need: once no slot is free, the oldest stalled request is abandoned.
#[test]
fn stalled_request_is_abandoned_when_all_slots_are_taken() {
    let base = settings(vec![safe_class()]);
    let mut harness =
        Harness::new(Settings { concurrency_limit: 2, ..base }, vec![endpoint(1, 1), endpoint(2, 2)]);
    (0..2).for_each(|id| harness.submit(id, 0, 1 + id as u16, None));
    assert_eq!(harness.next_sends().len(), 2);
    harness.submit(5, 0, 2, None);
    let actions = harness.run_until_action(Duration::from_secs(5));
    assert_eq!(actions, [Action::AbandonAttempt { message: MessageId(0), attempt: 0 }]);
}

/// Between destinations with equally many requests in flight, the slot goes to the message of highest priority, not to
/// the first destination.
#[test]
fn ties_between_destinations_are_broken_by_priority() {
    let high_priority = Class { priority_weight: 5.0, ..safe_class() };
    let base = settings(vec![safe_class(), high_priority]);
    let mut harness =
        Harness::new(Settings { concurrency_limit: 1, ..base }, vec![endpoint(1, 1), endpoint(2, 2)]);
    harness.submit(1, 0, 1, None);
    harness.submit(2, 1, 2, None);
    assert_eq!(harness.next_sends()[0].message, 2);
}

/// Low-traffic instances that failed to connect at the same time must not all probe every few seconds: their probes add
/// up at the destination (incident i88d54c).
#[test]
fn low_traffic_instances_rarely_probe_a_destination_in_outage() {
    let mut probes = 0;
    for seed in 0..100 {
        let mut harness = single_endpoint(safe_class());
        harness.replace_policy(
            Settings { instance_count: 400, ..harness.settings.clone() },
            seed,
            vec![endpoint(7, 1)],
        );
        harness.submit(1, 0, 1, None);
        harness.next_sends();
        harness.complete_attempt(1, 7, AttemptOutcome::ConnectFailed, ms(20));
        let start = harness.now;
        while harness.now - start < Duration::from_secs(12) {
            for action in harness.run_until_action(Duration::from_secs(1)) {
                if let Action::Send { message, .. } = action {
                    probes += 1;
                    harness.complete_attempt(message.0, 7, AttemptOutcome::ConnectFailed, ms(20));
                }
            }
        }
    }
    // One first retry of each instance, which tells an outage from a connection limit, and the probes after it.
    assert!((101..=250).contains(&probes), "{probes} probes of 100 instances in 12 s");
}

/// With hundreds of instances the fair share of a rate limit is one request in minutes: it must not delay messages
/// before any rejection.
#[test]
fn low_traffic_instance_sends_without_delay_before_any_rejection() {
    let mut harness = single_endpoint(safe_class());
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

/// Rejected requests use up the limit too: the first attempts and first retries of many instances are enough to keep it
/// exhausted. After a rejection, an instance that batches messages needs only one request per latency objective
/// (incident i4182c2).
#[test]
fn rejection_slows_batched_requests_to_one_per_latency_objective() {
    let sends_after_rejection = |batch: usize, seconds: u64| {
        let base = settings(vec![safe_class()]);
        let kinds = vec![Kind { max_batch: batch, per_endpoint_limits: false }];
        let mut harness = Harness::new(Settings { instance_count: 400, kinds, ..base }, vec![endpoint(7, 1)]);
        harness.submit(1, 0, 1, None);
        let mut sends = 0;
        let start = harness.now;
        while harness.now - start < Duration::from_secs(seconds) {
            let sent = harness.next_sends();
            sends += sent.len();
            for Sent { message: id, endpoint: to, .. } in sent {
                harness.complete_attempt(id, to, AttemptOutcome::Rejected(None), ms(20));
            }
            harness.now = harness.now + ms(20);
        }
        sends
    };
    assert!(sends_after_rejection(20, 12) < sends_after_rejection(1, 12));
    assert_eq!(sends_after_rejection(20, 3), 1);
}

/// Found in a later run of the `kingston` scenario (fresh-big): a hung partner rejected a burst from many low-traffic
/// instances at the same time, and their first retries reached it together during its recovery.
#[test]
fn low_traffic_instances_rejected_together_retry_at_different_times() {
    let retry_delay = |seed: u64| {
        let mut harness = single_endpoint(safe_class());
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
    let mut delays: Vec<Duration> = (0..40).map(retry_delay).collect();
    delays.sort_unstable();
    let objective = safe_class().latency_objective;
    assert!(
        delays[39] - delays[0] > objective,
        "from {:?} to {:?}, objective {objective:?}",
        delays[0],
        delays[39]
    );
}

/// If the backoff would end after the retry window, no retry is possible and the message completes in the same turn.
#[test]
fn message_without_time_for_a_retry_is_completed_at_once() {
    let class = Class { retry_window: ms(1000), ..keyed_class() };
    let mut completed_at_once = 0;
    for seed in 0..40 {
        let mut harness = single_endpoint(class.clone());
        harness.replace_policy(harness.settings.clone(), seed, vec![endpoint(7, 1)]);
        harness.submit(1, 0, 1, None);
        harness.next_sends();
        // 40 ms remain of the retry window, less its margin.
        harness.now = harness.now + ms(810);
        harness.complete_attempt(1, 7, AttemptOutcome::Reset, ms(810));
        let is_final = |a: &Action| matches!(a, Action::Fail { .. } | Action::Reject { .. });
        if harness.next_actions().iter().any(is_final) {
            completed_at_once += 1;
        } else {
            assert!(
                matches!(harness.run_until_action(ms(45))[..], [Action::Send { .. }]),
                "seed {seed}: not retried"
            );
        }
    }
    assert!((20..40).contains(&completed_at_once), "{completed_at_once}");
}

/// If clients support it, a rejection tells them when this instance may next send to the destination, at most
/// `max_retry_after`.
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
        let advised_wait = |a: &Action| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        };
        harness.next_actions().iter().find_map(advised_wait).expect("nothing was shed")
    };
    assert_eq!(retry_after(None), Duration::ZERO);
    assert_eq!(retry_after(Some(ms(2000))), ms(900));
    assert_eq!(retry_after(Some(ms(500))), ms(500));
}

/// Found in the `sede` scenario: messages for partners in an outage filled the queue, and messages for healthy partners
/// were rejected. Those for partners in an outage are shed first, even if their priority is higher.
#[test]
fn load_shedding_rejects_messages_for_unhealthy_destinations_first() {
    let high_priority = Class { priority_weight: 5.0, ..safe_class() };
    let base = settings(vec![safe_class(), high_priority]);
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
    let shed: Vec<u32> = harness.next_actions().iter().filter_map(rejected_message).collect();
    assert!(!shed.is_empty() && shed.iter().all(|id| *id < 10), "{shed:?}");
}

fn rejected_message(action: &Action) -> Option<u32> {
    match action {
        Action::Reject { message, .. } => Some(message.0),
        _ => None,
    }
}
