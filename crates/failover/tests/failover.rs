//! Tests that a tier that is down spills no more than its configured share and recovers without overload.

use cloverstile::{AttemptOutcome, DestinationId, EndpointId, Time, ZoneId};
use cloverstile_failover::{
    FailoverPlanner, FailoverPolicy, FleetParameters, GateState, RequestResult, TierConfig, TierStatus,
};
use std::time::Duration;

const FIRST: DestinationId = DestinationId(4);
const SECOND: DestinationId = DestinationId(9);

fn at_second(seconds: f64) -> Time {
    Time::ZERO + Duration::from_secs_f64(seconds)
}

fn planner(spill_share: f64, spill_rate: Option<f64>) -> FailoverPlanner {
    let (down_after, recovery_ramp) = (Duration::from_secs(1), Duration::from_secs(10));
    FailoverPlanner::new(
        at_second(0.0),
        FleetParameters::default(),
        vec![TierConfig {
            destinations: vec![FIRST, SECOND],
            zones: vec![ZoneId(0), ZoneId(1)],
            capacities: vec![50.0, 50.0],
            spill_share,
            spill_rate,
            down_after,
            recovery_ramp,
        }],
    )
}

/// Reports the result of a request to the first tier.
fn report_result(planner: &mut FailoverPlanner, at: f64, outcome: AttemptOutcome, latency: Duration) {
    planner.on_request_completed(
        at_second(at),
        RequestResult { destination: FIRST, endpoint: EndpointId(1), outcome, latency },
    );
}

/// Reports enough timeouts to take the first tier down.
fn take_down(planner: &mut FailoverPlanner, at: f64) {
    for request in 0..3 {
        report_result(
            planner,
            at + f64::from(request) * 0.1,
            AttemptOutcome::Timeout,
            Duration::from_millis(50),
        );
    }
}

/// Submits `messages` at even intervals between the seconds `from` and `to`, and returns for each whether it spills.
fn spilled(planner: &mut FailoverPlanner, from: f64, to: f64, messages: u32) -> Vec<bool> {
    (0..messages)
        .map(|n| {
            planner.select_tier(at_second(from + (to - from) * f64::from(n) / f64::from(messages)), FIRST)
                == SECOND
        })
        .collect()
}

#[test]
fn messages_of_single_tier_partners_and_responding_tiers_do_not_spill() {
    let mut planner = planner(0.5, None);
    assert_eq!(planner.select_tier(at_second(1.0), DestinationId(1)), DestinationId(1));
    assert!(spilled(&mut planner, 0.0, 5.0, 100).iter().all(|spills| !spills));
    // Rejections and errors are responses, and requests sent before the last response do not take a tier down.
    for outcome in [AttemptOutcome::Rejected(None), AttemptOutcome::Error, AttemptOutcome::Unsent] {
        (0..10).for_each(|_| report_result(&mut planner, 6.0, outcome, Duration::ZERO));
    }
    report_result(&mut planner, 7.0, AttemptOutcome::Ok, Duration::ZERO);
    (0..10).for_each(|_| report_result(&mut planner, 9.0, AttemptOutcome::Timeout, Duration::from_secs(3)));
    assert_eq!(planner.tier_statuses(FIRST), [TierStatus::Up, TierStatus::Up]);
}

#[test]
fn spilled_messages_match_the_configured_share_in_every_window() {
    for share in [0.0, 0.1, 0.25, 0.3, 0.43, 0.5, 0.7, 1.0] {
        let mut planner = planner(share, None);
        take_down(&mut planner, 2.0);
        let all = spilled(&mut planner, 3.0, 8.0, 1000);
        for window in all.windows(50) {
            let count = window.iter().filter(|spills| **spills).count() as f64;
            assert!((count - 50.0 * share).abs() <= 1.01, "{share}: {count} of 50");
        }
    }
}

#[test]
fn spill_rate_limits_spill_below_the_share() {
    let mut planner = planner(0.5, Some(2.0));
    take_down(&mut planner, 2.0);
    let count = spilled(&mut planner, 3.0, 13.0, 1000).iter().filter(|spills| **spills).count();
    assert!((19..=22).contains(&count), "{count}");
}

#[test]
fn spill_decreases_while_a_tier_recovers() {
    let mut planner = planner(0.5, None);
    take_down(&mut planner, 2.0);
    report_result(&mut planner, 5.0, AttemptOutcome::Ok, Duration::ZERO);
    assert_eq!(planner.tier_statuses(FIRST)[0], TierStatus::Recovering(at_second(5.0)));
    let mut counts = Vec::new();
    for second in [5.0, 8.0, 11.0, 14.0] {
        counts
            .push(spilled(&mut planner, second, second + 1.0, 100).iter().filter(|spills| **spills).count());
    }
    assert!(counts.windows(2).all(|pair| pair[0] > pair[1]), "{counts:?}");
    assert!(spilled(&mut planner, 15.0, 20.0, 100).iter().all(|spills| !spills));
    assert_eq!(planner.tier_statuses(FIRST)[0], TierStatus::Up);
}

#[test]
fn flapping_tier_recovers_more_slowly_each_time() {
    let mut planner = planner(0.5, None);
    let mut spill_counts = Vec::new();
    for flap in 0..3 {
        let at = 10.0 + f64::from(flap) * 10.0;
        take_down(&mut planner, at);
        report_result(&mut planner, at + 1.0, AttemptOutcome::Ok, Duration::ZERO);
        let count = spilled(&mut planner, at + 6.0, at + 7.0, 100).iter().filter(|spills| **spills).count();
        spill_counts.push(count);
    }
    assert!(spill_counts[0] < spill_counts[1] && spill_counts[1] < spill_counts[2], "{spill_counts:?}");
}

/// Three partners whose first tier is in one zone, and a fourth whose first tier is in another.
fn partners_in_two_zones() -> FailoverPlanner {
    let tiers = |id: u16, zone: u8| TierConfig {
        destinations: vec![DestinationId(id), DestinationId(id + 10)],
        zones: vec![ZoneId(zone), ZoneId(9)],
        capacities: vec![50.0, 50.0],
        spill_share: 1.0,
        spill_rate: None,
        down_after: Duration::from_secs(1),
        recovery_ramp: Duration::from_secs(10),
    };
    let fleet = FleetParameters { instance_count: 20, instance_index: 3, ..FleetParameters::default() };
    FailoverPlanner::new(at_second(0.0), fleet, vec![tiers(1, 0), tiers(2, 0), tiers(3, 0), tiers(4, 1)])
}

/// Reports the result of a request to any destination.
fn report_result_of(planner: &mut FailoverPlanner, at: f64, destination: u16, outcome: AttemptOutcome) {
    let (destination, endpoint) = (DestinationId(destination), EndpointId(u32::from(destination)));
    planner.on_request_completed(
        at_second(at),
        RequestResult { destination, endpoint, outcome, latency: Duration::from_millis(1) },
    );
}

#[test]
fn failures_at_two_partners_take_their_whole_zone_down() {
    let mut planner = partners_in_two_zones();
    report_result_of(&mut planner, 2.0, 1, AttemptOutcome::ConnectFailed);
    report_result_of(&mut planner, 2.1, 1, AttemptOutcome::ConnectFailed);
    assert_eq!(
        planner.tier_statuses(DestinationId(3))[0],
        TierStatus::Up,
        "one partner alone may have an outage of its own"
    );
    report_result_of(&mut planner, 2.2, 2, AttemptOutcome::ConnectFailed);
    // No request was sent to the third partner's tier, yet its messages spill and its gate is closed between slots.
    assert_eq!(planner.tier_statuses(DestinationId(3))[0], TierStatus::Down(at_second(2.2)));
    assert_eq!(planner.select_tier(at_second(2.3), DestinationId(3)), DestinationId(13));
    planner.update_gates(at_second(2.3));
    assert_eq!(planner.gate(DestinationId(3)), Some(GateState::Closed));
    assert_eq!(
        planner.tier_statuses(DestinationId(4))[0],
        TierStatus::Up,
        "the tier in another zone must stay up"
    );
    report_result_of(&mut planner, 5.0, 1, AttemptOutcome::Ok);
    assert_eq!(planner.tier_statuses(DestinationId(3))[0], TierStatus::Recovering(at_second(5.0)));
}

#[test]
fn recovery_gate_opens_only_in_the_slots_of_its_instance() {
    let mut planner = partners_in_two_zones();
    report_result_of(&mut planner, 2.0, 1, AttemptOutcome::Timeout);
    report_result_of(&mut planner, 4.0, 1, AttemptOutcome::Ok);
    let (mut requests, mut at) = (Vec::new(), at_second(4.0));
    // Work is waiting for 30 s, longer than the warm-up time of the tier.
    while let Some(next) = {
        planner.update_gates(at);
        planner.next_timeout()
    } {
        if planner.gate(DestinationId(1)) == Some(GateState::Open) && at < at_second(34.0) {
            requests.push(at);
            planner.on_request_sent(at, DestinationId(1));
        }
        at = next.max(at + Duration::from_millis(1));
    }
    // Each of the 20 instances has one slot of 20 ms in each round. Some are used while the tier warms up, then all
    // while work is waiting.
    assert!(requests.iter().all(|at| (at.0 / 20_000_000) % 20 == 3), "{requests:?}");
    let warming = requests.iter().filter(|at| **at < at_second(14.0)).count();
    assert!(
        (12..=19).contains(&warming) && (48..=51).contains(&(requests.len() - warming)),
        "{warming} of {}",
        requests.len()
    );
    assert!(
        planner.gate(DestinationId(1)).is_none() && at >= at_second(34.0),
        "the gate must be removed once no work is waiting, not before"
    );
}

#[test]
fn instance_above_its_fair_share_keeps_its_own_rate() {
    let mut planner = partners_in_two_zones();
    // 10 of the 50 requests per second that the tier can serve for 20 instances.
    for request in 0..200 {
        report_result_of(&mut planner, f64::from(request) * 0.1, 1, AttemptOutcome::Ok);
    }
    report_result_of(&mut planner, 22.0, 1, AttemptOutcome::Timeout);
    report_result_of(&mut planner, 24.0, 1, AttemptOutcome::Ok);
    let (mut requests, mut at) = (Vec::new(), at_second(24.0));
    while at < at_second(34.0) {
        planner.update_gates(at);
        if planner.gate(DestinationId(1)) == Some(GateState::Open) {
            requests.push(at);
            planner.on_request_sent(at, DestinationId(1));
        }
        at = at + Duration::from_millis(5);
    }
    // The rate rises from one fifth to its full value in 10 s: about 40 requests, where shared slots would permit 15.
    assert!((30..=65).contains(&requests.len()), "{}", requests.len());
    let first = requests.iter().filter(|at| **at < at_second(26.0)).count();
    assert!(first <= 7, "{first} requests in the first two seconds");
}

#[test]
fn instances_with_one_message_each_spill_the_share_together() {
    let spilled = (0..200)
        .filter(|instance_index| {
            let fleet = FleetParameters {
                instance_count: 200,
                instance_index: *instance_index,
                ..FleetParameters::default()
            };
            let (destinations, zones) = (vec![FIRST, SECOND], vec![ZoneId(0), ZoneId(1)]);
            let tiers = TierConfig {
                destinations,
                zones,
                capacities: vec![50.0, 50.0],
                spill_share: 0.3,
                spill_rate: None,
                down_after: Duration::from_secs(1),
                recovery_ramp: Duration::from_secs(10),
            };
            let mut planner = FailoverPlanner::new(at_second(0.0), fleet, vec![tiers]);
            take_down(&mut planner, 2.0);
            planner.select_tier(at_second(3.0), FIRST) == SECOND
        })
        .count();
    assert!((58..=62).contains(&spilled), "{spilled} of 200");
}
