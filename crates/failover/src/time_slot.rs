//! Time slots in which one gateway instance may send to a recovering tier.
//!
//! Instances share no state, yet the requests that all of them send to a recovering tier must stay within its capacity
//! in every short interval, not only on average. Time is therefore divided into slots, one for each request that the
//! warm tier can serve, and the slots are assigned to the instances by index. An instance waits outside its slots.
//! While the tier is cold, only some slots are used: each instance skips some of its own, at a phase that depends on
//! its index, so that the used slots are spread evenly.
//!
//! Load is uneven across instances. An instance that was served more than its fair share may keep its own rate instead:
//! the rates at which the tier served all instances add up to no more than its capacity.

use crate::fleet::FleetParameters;
use cloverstile::Time;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Minimum time between two slots of an instance, because timers are no finer. If slots would come faster, each permits
/// more requests instead.
const MIN_CYCLE: Duration = Duration::from_millis(10);
/// Minimum length of a slot, because an event loop wakes up slightly late.
const MIN_SLOT_LENGTH: Duration = Duration::from_millis(4);
/// Once the tier is warm, an instance may send at this multiple of the rate at which it was served, so that its backlog
/// drains.
const CATCH_UP_FACTOR: f64 = 1.5;
/// Lower limit of the capacity share from which slots are computed.
const MIN_CAPACITY_SHARE: f64 = 0.01;
/// Minimum time, in seconds, over which a served rate is averaged.
const MIN_AVERAGING_SECONDS: f64 = 0.1;
/// Earliest start of a slot within its cycle, as a fraction of the cycle, for an instance that keeps its own rate. The
/// slot starts up to the same fraction later, depending on the instance.
const OWN_SLOT_PHASE: f64 = 0.5;
/// Length of such a slot, as a fraction of its cycle.
const OWN_SLOT_LENGTH: f64 = 0.5;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// A time interval in which an instance may send a limited number of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimeSlot {
    pub from: Time,
    /// End of the slot, exclusive.
    pub until: Time,
    /// Requests that may still be sent in the slot.
    pub requests: u32,
    /// Average time from the start of this slot to the start of the next if every slot is used.
    pub cycle: Duration,
}

/// The capacity of a tier and the part of it that this instance used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TierLoad {
    /// Requests per second that the tier can serve for all instances when it is warm.
    pub capacity: f64,
    /// Share of the capacity that the tier has now, from 0 to 1.
    pub capacity_share: f64,
    /// Requests per second of this instance that the tier served before its recovery gate was created.
    pub served_rate: f64,
}

/// Rate at which requests of this instance were served, as an exponentially decaying mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServedRate {
    count: f64,
    updated_at: Time,
}

impl ServedRate {
    /// Adds served requests and returns the rate per second, averaged over roughly `window`.
    pub fn add(&mut self, now: Time, requests: f64, window: Duration) -> f64 {
        let window = window.as_secs_f64().max(MIN_AVERAGING_SECONDS);
        let decay = (-(now - self.updated_at).as_secs_f64() / window).exp();
        self.count = self.count * decay + requests;
        self.updated_at = now;
        self.count / window
    }
}

/// Returns the next slot of this instance after `after`. The instance keeps its own rate if that is above its fair
/// share of the capacity.
pub(crate) fn next_slot(fleet: &FleetParameters, after: Time, load: &TierLoad) -> TimeSlot {
    let catch_up = if load.capacity_share >= 1.0 { CATCH_UP_FACTOR } else { 1.0 };
    let own_rate = load.served_rate * catch_up;
    if own_rate <= load.capacity / f64::from(fleet.instance_count.max(1)) {
        next_shared_slot(fleet, after, load.capacity, load.capacity_share)
    } else {
        next_own_slot(fleet, after, own_rate, load.capacity_share)
    }
}

/// Returns the next slot of an instance that keeps `own_rate`, in requests per second, times the capacity share.
fn next_own_slot(fleet: &FleetParameters, after: Time, own_rate: f64, capacity_share: f64) -> TimeSlot {
    let requests = (own_rate * MIN_CYCLE.as_secs_f64()).ceil().max(1.0);
    let cycle =
        Duration::from_secs_f64(requests / (own_rate * capacity_share.clamp(MIN_CAPACITY_SHARE, 1.0)));
    // The phase depends on the instance's index, so that instances do not send in step with each other.
    let phase = OWN_SLOT_PHASE + OWN_SLOT_PHASE * fleet.phase(after.0 / NANOS_PER_SECOND);
    let from = after + cycle.mul_f64(phase);
    TimeSlot { from, until: from + cycle.mul_f64(OWN_SLOT_LENGTH), requests: requests as u32, cycle }
}

/// Returns the next of the fleet's slots that is assigned to this instance, for a tier with `capacity` in requests per
/// second of which the share `capacity_share` is available.
fn next_shared_slot(fleet: &FleetParameters, after: Time, capacity: f64, capacity_share: f64) -> TimeSlot {
    let instances = f64::from(fleet.instance_count.max(1));
    // One request per slot, or as many as keep an instance's slots at least `MIN_CYCLE` apart.
    let requests = (capacity * MIN_CYCLE.as_secs_f64() / instances).ceil().max(1.0);
    let length = requests / capacity;
    let cycle = length * instances;
    let offset = f64::from(fleet.instance_index) * length;
    let clock = (fleet.clock_at_time_zero + (after - Time::ZERO)).as_secs_f64();
    let mut round = ((clock - offset) / cycle).floor() + 1.0;
    let phase = fleet.phase(0);
    let share = capacity_share.clamp(MIN_CAPACITY_SHARE, 1.0);
    // The loop below ends because at least one of `1 / MIN_CAPACITY_SHARE` consecutive rounds is used.
    let is_used = |round: f64| ((round + 1.0) * share + phase).floor() > (round * share + phase).floor();
    while !is_used(round) {
        round += 1.0;
    }
    let from = after + Duration::from_secs_f64((round * cycle + offset - clock).max(0.0));
    let until = from + Duration::from_secs_f64(length).max(MIN_SLOT_LENGTH);
    TimeSlot { from, until, requests: requests as u32, cycle: Duration::from_secs_f64(cycle / share) }
}
