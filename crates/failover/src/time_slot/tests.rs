//! Slots of a whole fleet stay inside a tier's capacity.

use super::*;

/// Requests of a whole fleet, all of which use every slot, in each 100 ms of ten seconds.
fn requests_by_window(instance_count: u32, capacity: f64, capacity_share: f64) -> Vec<u32> {
    let mut counts = vec![0; 100];
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
            assert!(slot.from >= at, "a slot in the past");
            let window = (slot.from.0 / 100_000_000) as usize;
            if window >= counts.len() {
                break;
            }
            counts[window] += slot.requests;
            at = slot.from + Duration::from_micros(1);
        }
    }
    counts
}

#[test]
fn fleet_of_any_size_stays_inside_tier_capacity_in_every_window() {
    for instances in [1, 3, 8, 50, 200] {
        for (capacity, share) in [(50.0, 1.0), (60.0, 0.2), (600.0, 0.2), (600.0, 0.63), (5000.0, 0.4)] {
            let counts = requests_by_window(instances, capacity, share);
            let mean = capacity * share * 0.1;
            let grain = (capacity * 0.01 / f64::from(instances)).ceil().max(1.0);
            let most = f64::from(*counts.iter().max().expect("windows"));
            assert!(most <= mean + 2.0 * grain + 1.0, "{instances} instances, {capacity} x {share}: {most}");
            let sum: u32 = counts.iter().sum();
            assert!(f64::from(sum) >= mean * 100.0 * 0.9 - 1.0, "{instances}, {capacity}, {share}: {sum}");
        }
    }
}
