//! When this courier may call a site that is lost or returns cold.
//!
//! Couriers share nothing, yet what all of them send to a returning site must stay inside what it can take, in every
//! short stretch of time and not only on the mean. So time is cut into slots, one for each call that the site can
//! take when it is warm, and the slots are dealt out to the couriers by their place: whoever is not due waits. A cold
//! site's slots are used in part: each courier lets some of its own pass, at a phase that goes by its place, so that
//! the used ones lie evenly.
//!
//! Load is not even, and a courier that had more than an even part of what the site served may keep to that instead,
//! at a pace of its own: what all had served adds up to no more than the site can do.

use cloverstile::{Rules, Time};
use std::time::Duration;

/// Least distance of a courier's own slots: timers are no finer. Where slots would come faster, each holds more.
const LEAST_CYCLE: Duration = Duration::from_millis(10);
/// A slot stays open at least so long: a loop wakes a little late.
const LEAST_OPEN: Duration = Duration::from_millis(4);
/// Phases that lie evenly, however many there are: multiples of the golden section.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// What a courier knows of all couriers together.
#[derive(Clone, Debug)]
pub struct FleetParameters {
    /// How many there are, this one included.
    pub instance_count: u32,
    /// This one's place among them, from 0.
    pub instance_index: u32,
    /// The fleet's common clock at this courier's time zero: slots go by it.
    pub epoch: Duration,
    /// Share of its capacity with which a site returns.
    pub warm_up_capacity: f64,
    /// How long until it is warm.
    pub warm_up_time: Duration,
    /// A site without an answer for less than this is not cold.
    pub max_transient_outage: Duration,
}

/// A spell without an answer shorter than this part of the fall window leaves no site cold, as the module has it.
const BLIP_OF_FALL: f64 = 0.6;

impl Default for FleetParameters {
    fn default() -> Self {
        FleetParameters::for_rules(&cloverstile::Settings::default().rules)
    }
}

impl FleetParameters {
    /// A courier on its own, under these rules.
    pub fn for_rules(rules: &Rules) -> FleetParameters {
        FleetParameters {
            instance_count: 1,
            instance_index: 0,
            epoch: Duration::ZERO,
            warm_up_capacity: rules.warm_up_capacity,
            warm_up_time: rules.warm_up_time,
            max_transient_outage: rules.overload_window.mul_f64(BLIP_OF_FALL),
        }
    }

    /// A number from 0 to 1 that differs evenly from courier to courier, and for different `salt`.
    pub(crate) fn phase(&self, salt: u64) -> f64 {
        (f64::from(self.instance_index + 1) * GOLDEN + salt as f64 * GOLDEN * GOLDEN).fract()
    }

    /// Share of its capacity that a site has which first answered `since`; that of a cold one if it did not yet.
    pub(crate) fn warmth(&self, now: Time, since: Option<Time>) -> f64 {
        let part =
            since.map_or(0.0, |at| (now - at).as_secs_f64() / self.warm_up_time.as_secs_f64().max(0.001));
        (self.warm_up_capacity + (1.0 - self.warm_up_capacity) * part).clamp(0.0, 1.0)
    }
}

/// Once the site is warm, a pace of its own may be this many times what was served, so that what has gathered goes.
const CATCH_UP: f64 = 1.5;

/// A stretch in which a courier may make some calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Slot {
    pub from: Time,
    pub until: Time,
    pub calls: u32,
    /// From one to the next, if all are used.
    pub cycle: Duration,
}

/// Calls a second that this courier had answered, over about the time that a site is cold.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Served {
    count: f64,
    at: Time,
}

impl Served {
    /// One more, or none; returns the rate.
    pub fn add(&mut self, now: Time, more: f64, over: Duration) -> f64 {
        let over = over.as_secs_f64().max(0.1);
        self.count = self.count * (-(now - self.at).as_secs_f64() / over).exp() + more;
        self.at = now;
        self.count / over
    }
}

/// The next stretch, for a site that takes `rate` calls a second when it is warm, of which this courier had `served`.
pub(crate) fn next(fleet: &FleetParameters, after: Time, rate: f64, served: f64, warmth: f64) -> Slot {
    let pace = served * if warmth >= 1.0 { CATCH_UP } else { 1.0 };
    if pace <= rate / f64::from(fleet.instance_count.max(1)) {
        return next_slot(fleet, after, rate, warmth);
    }
    let calls = (pace * LEAST_CYCLE.as_secs_f64()).ceil().max(1.0);
    let cycle = Duration::from_secs_f64(calls / (pace * warmth.clamp(0.01, 1.0)));
    // Not in step with the others: the first one comes at a phase that goes by the courier's place.
    let from = after + cycle.mul_f64(0.5 + 0.5 * fleet.phase(after.0 / 1_000_000_000));
    Slot { from, until: from + cycle.mul_f64(0.5), calls: calls as u32, cycle }
}

/// This courier's next slot that begins after `after`, at a site that takes `rate` calls a second when warm and has
/// this share of it now.
fn next_slot(fleet: &FleetParameters, after: Time, rate: f64, warmth: f64) -> Slot {
    let couriers = f64::from(fleet.instance_count.max(1));
    // One call in a slot, or as many as are needed for slots that timers can keep.
    let calls = (rate * LEAST_CYCLE.as_secs_f64() / couriers).ceil().max(1.0);
    let length = calls / rate;
    let cycle = length * couriers;
    let offset = f64::from(fleet.instance_index) * length;
    let clock = (fleet.epoch + (after - Time::ZERO)).as_secs_f64();
    let mut turn = ((clock - offset) / cycle).floor() + 1.0;
    let (phase, warmth) = (fleet.phase(0), warmth.clamp(0.01, 1.0));
    // At least one of so many turns is used.
    let used = |turn: f64| ((turn + 1.0) * warmth + phase).floor() > (turn * warmth + phase).floor();
    while !used(turn) {
        turn += 1.0;
    }
    let begins = (turn * cycle + offset - clock).max(0.0);
    let from = after + Duration::from_secs_f64(begins);
    let until = from + Duration::from_secs_f64(length).max(LEAST_OPEN);
    Slot { from, until, calls: calls as u32, cycle: Duration::from_secs_f64(cycle / warmth) }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Calls of a whole fleet, all of which use every slot, in each 100 ms of ten seconds.
    fn windows(couriers: u32, rate: f64, warmth: f64) -> Vec<u32> {
        let mut counts = vec![0; 100];
        for place in 0..couriers {
            let fleet = FleetParameters {
                instance_count: couriers,
                instance_index: place,
                epoch: Duration::from_millis(1_234_567),
                ..FleetParameters::default()
            };
            let mut at = Time::ZERO;
            loop {
                let slot = next_slot(&fleet, at, rate, warmth);
                assert!(slot.from >= at, "a slot in the past");
                let window = (slot.from.0 / 100_000_000) as usize;
                if window >= counts.len() {
                    break;
                }
                counts[window] += slot.calls;
                at = slot.from + Duration::from_micros(1);
            }
        }
        counts
    }

    #[test]
    fn a_fleet_of_any_size_stays_inside_a_sites_capacity_in_every_window() {
        for couriers in [1, 3, 8, 50, 200] {
            for (rate, warmth) in [(50.0, 1.0), (60.0, 0.2), (600.0, 0.2), (600.0, 0.63), (5000.0, 0.4)] {
                let counts = windows(couriers, rate, warmth);
                let mean = rate * warmth * 0.1;
                let grain = (rate * 0.01 / f64::from(couriers)).ceil().max(1.0);
                let most = f64::from(*counts.iter().max().expect("windows"));
                assert!(most <= mean + 2.0 * grain + 1.0, "{couriers} couriers, {rate} x {warmth}: {most}");
                let sum: u32 = counts.iter().sum();
                assert!(f64::from(sum) >= mean * 100.0 * 0.9 - 1.0, "{couriers}, {rate}, {warmth}: {sum}");
            }
        }
    }
}
