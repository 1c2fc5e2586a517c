//! Tests that the slots of a whole fleet stay within the capacity of a tier.

use super::*;

/// Counts the requests in each 100 ms window of ten seconds, sent by a fleet whose instances use all their slots.
fn fleet_requests_by_window(instance_count: u32, capacity: f64, capacity_share: f64) -> Vec<u32> {
    let mut requests = vec![0; 100];
    for instance_index in 0..instance_count {
        let clock_at_time_zero = Duration::from_millis(1_234_567);
        let fleet = FleetParameters {
            instance_count,
            instance_index,
            clock_at_time_zero,
            ..FleetParameters::default()
        };
        let mut at = Time::ZERO;
        loop {
            let slot = next_shared_slot(&fleet, at, capacity, capacity_share);
            assert!(slot.from >= at, "the slot starts in the past");
            let window = (slot.from.0 / 100_000_000) as usize;
            if window >= requests.len() {
                break;
            }
            requests[window] += slot.requests;
            at = slot.from + Duration::from_micros(1);
        }
    }
    requests
}

#[test]
fn shared_slots_of_any_fleet_size_stay_within_tier_capacity_in_every_window() {
    for instances in [1, 3, 8, 50, 200] {
        for (capacity, share) in [(50.0, 1.0), (60.0, 0.2), (600.0, 0.2), (600.0, 0.63), (5000.0, 0.4)] {
            let requests = fleet_requests_by_window(instances, capacity, share);
            let mean_requests = capacity * share * 0.1;
            let slot_requests = (capacity * 0.01 / f64::from(instances)).ceil().max(1.0);
            let max_requests = f64::from(*requests.iter().max().expect("windows"));
            assert!(
                max_requests <= mean_requests + 2.0 * slot_requests + 1.0,
                "{instances} instances, {capacity} x {share}: {max_requests}"
            );
            let sum: u32 = requests.iter().sum();
            assert!(
                f64::from(sum) >= mean_requests * 100.0 * 0.9 - 1.0,
                "{instances}, {capacity}, {share}: {sum}"
            );
        }
    }
}
