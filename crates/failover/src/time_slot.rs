//! Time slots in which one gateway instance may send to a tier that recovers.
//!
//! Instances share nothing, yet what all of them send to a recovering tier must stay inside its capacity, in every short
//! interval and not only on the mean. So time is cut into slots, one for each request that the tier can take when it is
//! warm, and the slots are assigned to the instances by their index: an instance outside its slot waits. A cold tier's
//! slots are used in part: each instance lets some of its own pass, at a phase that goes by its index, so that the used
//! ones lie evenly.
//!
//! Load is not even, and an instance that had more than its fair share of what the tier served may keep to that rate
//! instead: what all had served adds up to no more than the tier's capacity.

use crate::fleet::FleetParameters;
use cloverstile::Time;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Least distance of an instance's own slots: timers are no finer. Where slots would come faster, each holds more.
const MIN_CYCLE: Duration = Duration::from_millis(10);
/// A slot lasts at least so long: an event loop wakes a little late.
const MIN_SLOT_LENGTH: Duration = Duration::from_millis(4);
/// Once the tier is warm, an instance may send at this many times the rate that it was served at, so that the backlog
/// drains.
const CATCH_UP_FACTOR: f64 = 1.5;
/// Least share of a tier's capacity that slots are computed with.
const MIN_CAPACITY_SHARE: f64 = 0.01;
/// Least time over which a served rate is averaged, in seconds.
const MIN_AVERAGING_SECONDS: f64 = 0.1;
/// Where in its cycle an instance's slot begins when it keeps to its own rate: half a cycle and up to half a cycle more.
const OWN_SLOT_PHASE: f64 = 0.5;
/// Part of its cycle for which such a slot is open.
const OWN_SLOT_LENGTH: f64 = 0.5;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// An interval in which an instance may send some requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimeSlot {
    pub from: Time,
    /// The first moment after it.
    pub until: Time,
    /// Requests that may still be sent in it.
    pub requests: u32,
    /// From its beginning to that of the next slot, if all are used.
    pub cycle: Duration,
}

/// What a tier can take, and what part of it this instance had.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TierLoad {
    /// Requests a second from all instances when the tier is warm.
    pub capacity: f64,
    /// Share of the capacity that it has now, from 0 to 1.
    pub capacity_share: f64,
    /// Requests a second of this instance that it served before.
    pub served_rate: f64,
}

/// Requests a second of this instance that were served, as an exponentially decaying mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServedRate {
    count: f64,
    updated_at: Time,
}

impl ServedRate {
    /// Adds served requests and returns the rate over about the time `window`.
    pub fn add(&mut self, now: Time, requests: f64, window: Duration) -> f64 {
        let window = window.as_secs_f64().max(MIN_AVERAGING_SECONDS);
        let decay = (-(now - self.updated_at).as_secs_f64() / window).exp();
        self.count = self.count * decay + requests;
        self.updated_at = now;
        self.count / window
    }
}

/// This instance's next slot that begins after `after`.
pub(crate) fn next_slot(fleet: &FleetParameters, after: Time, load: &TierLoad) -> TimeSlot {
    let catch_up = if load.capacity_share >= 1.0 { CATCH_UP_FACTOR } else { 1.0 };
    let own_rate = load.served_rate * catch_up;
    if own_rate <= load.capacity / f64::from(fleet.instance_count.max(1)) {
        next_shared_slot(fleet, after, load.capacity, load.capacity_share)
    } else {
        next_own_slot(fleet, after, own_rate, load.capacity_share)
    }
}

/// The next slot of an instance that keeps to its own rate, in requests a second.
fn next_own_slot(fleet: &FleetParameters, after: Time, own_rate: f64, capacity_share: f64) -> TimeSlot {
    let requests = (own_rate * MIN_CYCLE.as_secs_f64()).ceil().max(1.0);
    let cycle =
        Duration::from_secs_f64(requests / (own_rate * capacity_share.clamp(MIN_CAPACITY_SHARE, 1.0)));
    // Not in step with the other instances: the first slot comes at a phase that goes by the instance's index.
    let phase = OWN_SLOT_PHASE + OWN_SLOT_PHASE * fleet.phase(after.0 / NANOS_PER_SECOND);
    let from = after + cycle.mul_f64(phase);
    TimeSlot { from, until: from + cycle.mul_f64(OWN_SLOT_LENGTH), requests: requests as u32, cycle }
}

/// The next of this instance's slots among those of the whole fleet, at a tier with this capacity, in requests a second,
/// and this share of it.
fn next_shared_slot(fleet: &FleetParameters, after: Time, capacity: f64, capacity_share: f64) -> TimeSlot {
    let instances = f64::from(fleet.instance_count.max(1));
    // One request in a slot, or as many as are needed for slots that timers can keep.
    let requests = (capacity * MIN_CYCLE.as_secs_f64() / instances).ceil().max(1.0);
    let length = requests / capacity;
    let cycle = length * instances;
    let offset = f64::from(fleet.instance_index) * length;
    let clock = (fleet.clock_at_time_zero + (after - Time::ZERO)).as_secs_f64();
    let mut round = ((clock - offset) / cycle).floor() + 1.0;
    let phase = fleet.phase(0);
    let share = capacity_share.clamp(MIN_CAPACITY_SHARE, 1.0);
    // Ends: at least one of `1 / MIN_CAPACITY_SHARE` rounds is used.
    let is_used = |round: f64| ((round + 1.0) * share + phase).floor() > (round * share + phase).floor();
    while !is_used(round) {
        round += 1.0;
    }
    let from = after + Duration::from_secs_f64((round * cycle + offset - clock).max(0.0));
    let until = from + Duration::from_secs_f64(length).max(MIN_SLOT_LENGTH);
    TimeSlot { from, until, requests: requests as u32, cycle: Duration::from_secs_f64(cycle / share) }
}
