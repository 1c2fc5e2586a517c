//! One tier of a partner: its status, its spill and its recovery.

use crate::fleet::FleetParameters;
use crate::policy::{TierConfig, TierStatus};
use crate::recovery_gate::{RecoveryGate, SlotUse};
use crate::spill::SpillBudget;
use crate::time_slot::{ServedRate, TierLoad};
use cloverstile::{Time, ZoneId};

/// Failed requests in a row, without a response between them, after which a tier may be down: a low-traffic instance has
/// few.
const MIN_FAILED_REQUESTS: u32 = 2;
/// A tier that goes down again while it recovers takes this many times as long to recover ...
const FLAP_FACTOR: u32 = 2;
/// ... up to this many times the configured ramp.
const MAX_RAMP_FACTOR: u32 = 8;
/// A gate stays while each slot finds work waiting, up to this many times the warm-up time: the backlog behind it would
/// else be sent all at once, and by all instances at the same moment.
const MAX_GATED_WARM_UPS: u32 = 3;

/// One tier as one instance sees it.
pub(crate) struct Tier {
    /// Its zone, where known.
    pub zone: Option<ZoneId>,
    pub status: TierStatus,
    pub last_response: Time,
    pub gate: Option<RecoveryGate>,
    /// When the next waiting message may be reassigned.
    pub next_reassignment: Option<Time>,
    /// Requests a second from all instances when it is warm; zero where unknown.
    capacity: f64,
    /// Failed requests since the last response.
    failed_requests: u32,
    /// The last response is not one of its own: none has come yet, or it was another partner's.
    awaits_own_response: bool,
    /// Configured ramps that it takes to recover, more after each flap.
    ramp_factor: u32,
    /// Times that it went down.
    outages: u32,
    spill: SpillBudget,
    /// It responded again then, after an outage that may have left it cold.
    warming_since: Option<Time>,
    /// What it served to this instance.
    served: ServedRate,
    /// Time slots pass unused since then.
    idle_since: Option<Time>,
}

impl Tier {
    /// A tier that is up at `now`.
    pub fn new(now: Time, zone: Option<ZoneId>, capacity: f64) -> Self {
        Tier {
            zone,
            status: TierStatus::Up,
            last_response: now,
            gate: None,
            next_reassignment: None,
            capacity,
            failed_requests: 0,
            awaits_own_response: true,
            ramp_factor: 1,
            outages: 0,
            spill: SpillBudget::new(now),
            warming_since: None,
            served: ServedRate::default(),
            idle_since: None,
        }
    }

    pub fn is_down(&self) -> bool {
        matches!(self.status, TierStatus::Down(_))
    }

    /// Without a response for so long that it may come back cold. One failed request is enough to be careful: a
    /// low-traffic instance that waited for more would join the others' return without a slot.
    fn may_be_cold(&self, now: Time, fleet: &FleetParameters) -> bool {
        self.failed_requests > 0 && self.is_silent_beyond_transient(now, fleet)
    }

    fn is_silent_beyond_transient(&self, now: Time, fleet: &FleetParameters) -> bool {
        self.awaits_own_response || now - self.last_response > fleet.max_transient_outage
    }

    fn needs_gate(&self, now: Time, fleet: &FleetParameters) -> bool {
        // One unused slot may be the delivery policy's own rate limit, or a message's gap. With slots rarer than that,
        // few messages can have gathered.
        let has_rare_slots = self.gate.as_ref().is_none_or(|gate| gate.cycle() > fleet.max_transient_outage);
        let is_idle =
            has_rare_slots || self.idle_since.is_some_and(|since| now - since >= fleet.max_transient_outage);
        let warm_ups = if is_idle { 1 } else { MAX_GATED_WARM_UPS };
        self.may_be_cold(now, fleet)
            || self.warming_since.is_some_and(|since| now < since + fleet.warm_up_time * warm_ups)
    }

    /// Whether one more message for this tier goes on to the next one.
    pub fn spills(&mut self, now: Time, config: &TierConfig) -> bool {
        let share = match self.status {
            TierStatus::Up => return false,
            TierStatus::Down(_) => config.spill_share,
            TierStatus::Recovering(since) => {
                let ramp = (config.recovery_ramp * self.ramp_factor).as_secs_f64().max(0.001);
                let elapsed = (now - since).as_secs_f64() / ramp;
                if elapsed >= 1.0 {
                    self.set_up();
                    return false;
                }
                config.spill_share * (1.0 - elapsed)
            }
        };
        self.spill.take(now, share, config.spill_rate)
    }

    fn set_up(&mut self) {
        self.status = TierStatus::Up;
        self.ramp_factor = 1;
        self.spill.set_credit(0.0);
    }

    /// It responded.
    pub fn on_response(&mut self, now: Time, fleet: &FleetParameters, config: &TierConfig) {
        if self.may_be_cold(now, fleet) {
            self.warming_since = Some(now);
            self.idle_since = None;
        }
        self.last_response = now;
        self.failed_requests = 0;
        self.awaits_own_response = false;
        match self.status {
            TierStatus::Down(_) => self.status = TierStatus::Recovering(now),
            TierStatus::Recovering(since) if now - since >= config.recovery_ramp * self.ramp_factor => {
                self.set_up();
            }
            TierStatus::Up | TierStatus::Recovering(_) => {}
        }
    }

    /// It served one request of this instance.
    pub fn on_served(&mut self, now: Time, fleet: &FleetParameters) {
        self.served.add(now, 1.0, fleet.warm_up_time);
    }

    /// A request to it failed without a response; `salt` differs between partners.
    pub fn on_failure(&mut self, now: Time, fleet: &FleetParameters, config: &TierConfig, salt: u64) {
        self.failed_requests += 1;
        let is_silent = self.awaits_own_response || now - self.last_response >= config.down_after;
        if self.failed_requests < MIN_FAILED_REQUESTS || !is_silent {
            return;
        }
        match self.status {
            TierStatus::Down(_) => return,
            // An instance with one message must spill it or not; without any credit to start with, no low-traffic one
            // would ever spill. So each starts at a phase of its own, and all together come to the share.
            TierStatus::Up => self.spill.set_credit(fleet.phase(salt + u64::from(self.outages))),
            // Guards against flapping: a tier that answers its probes but not its load would be trusted again and again.
            TierStatus::Recovering(_) => {
                self.ramp_factor = (self.ramp_factor * FLAP_FACTOR).min(MAX_RAMP_FACTOR);
            }
        }
        self.status = TierStatus::Down(now);
        self.next_reassignment = Some(now);
        self.outages += 1;
    }

    /// Another partner's tier in the same zone responded after an outage of the zone.
    pub fn on_zone_recovered(&mut self, now: Time, fleet: &FleetParameters, config: &TierConfig) {
        if self.is_down() {
            self.on_response(now, fleet, config);
            // This tier may still be without a response of its own.
            self.awaits_own_response = true;
        }
    }

    /// The whole zone is down. A tier that responded a moment ago is not concerned.
    pub fn on_zone_down(&mut self, now: Time, fleet: &FleetParameters, config: &TierConfig, salt: u64) {
        if self.is_silent_beyond_transient(now, fleet) {
            self.failed_requests = self.failed_requests.max(MIN_FAILED_REQUESTS - 1);
            self.on_failure(now, fleet, config, salt);
        }
    }

    /// Gives it a recovery gate if it needs one and has none.
    pub fn add_gate_if_needed(&mut self, now: Time, fleet: &FleetParameters) {
        if self.gate.is_none() && self.capacity > 0.0 && self.needs_gate(now, fleet) {
            let load = TierLoad {
                capacity: self.capacity,
                capacity_share: fleet.capacity_share(now, self.warming_since),
                served_rate: self.served.add(now, 0.0, fleet.warm_up_time),
            };
            self.gate = Some(RecoveryGate::new(fleet, now, load));
        }
    }

    /// Opens, closes or removes its recovery gate; true if it did one of these.
    pub fn update_gate(&mut self, now: Time, fleet: &FleetParameters) -> bool {
        let is_needed = self.needs_gate(now, fleet);
        let capacity_share = fleet.capacity_share(now, self.warming_since);
        let Some(gate) = &mut self.gate else { return false };
        let update = gate.update(fleet, now, capacity_share, is_needed);
        match update.finished_slot {
            Some(SlotUse::Used) => self.idle_since = None,
            Some(SlotUse::Unused) => self.idle_since = self.idle_since.or(Some(now)),
            Some(SlotUse::Missed) | None => {}
        }
        if !is_needed {
            self.gate = None;
        }
        update.changed || !is_needed
    }

    /// Forgets the next reassignment once the tier is no longer down.
    pub fn stop_reassigning_unless_down(&mut self) {
        if !self.is_down() {
            self.next_reassignment = None;
        }
    }

    /// Whether it has a gate or waiting messages to reassign.
    pub fn needs_attention(&self) -> bool {
        self.gate.is_some() || self.next_reassignment.is_some()
    }

    /// When its gate opens or closes, or a message may be reassigned.
    pub fn next_timeout(&self) -> Option<Time> {
        let gate = self.gate.as_ref().map(RecoveryGate::next_timeout);
        [gate, self.next_reassignment].into_iter().flatten().min()
    }
}
