//! One tier of a partner: its status, its spillover and its recovery.

use crate::fleet::FleetParameters;
use crate::policy::{TierConfig, TierStatus};
use crate::recovery_gate::{RecoveryGate, SlotUse};
use crate::spill::SpillBudget;
use crate::time_slot::{ServedRate, TierLoad};
use cloverstile::{Time, ZoneId};

/// Minimum number of consecutive requests without a response after which a tier may be down. Low, because an instance
/// with little traffic sends few requests.
const MIN_FAILED_REQUESTS: u32 = 2;
/// A tier that goes down while it recovers has its recovery ramp multiplied by this factor.
const FLAP_FACTOR: u32 = 2;
/// Upper limit of the recovery ramp, as a multiple of the configured one.
const MAX_RAMP_FACTOR: u32 = 8;
/// While its slots are used, a gate stays for up to this many times the warm-up time. If it were removed earlier, all
/// instances would send their backlog at once, at the same moment.
const MAX_GATED_WARM_UPS: u32 = 3;

/// The state of one tier, as observed by one instance.
pub(crate) struct Tier {
    /// Zone of the tier; `None` if unknown.
    pub zone: Option<ZoneId>,
    pub status: TierStatus,
    pub last_response: Time,
    pub gate: Option<RecoveryGate>,
    /// When the next waiting message may be reassigned.
    pub next_reassignment: Option<Time>,
    /// Requests per second that the tier can serve for all instances when it is warm; zero if unknown.
    capacity: f64,
    /// Failed requests since the last response.
    failed_requests: u32,
    /// Whether `last_response` is not a response of this tier: none was received yet, or it came from another partner's
    /// tier in the zone.
    awaits_own_response: bool,
    /// Multiple of the configured recovery ramp that applies; it grows each time the tier flaps.
    ramp_factor: u32,
    /// How often the tier went down.
    outages: u32,
    spill_budget: SpillBudget,
    /// When the tier responded again after an outage that may have left it cold.
    warming_since: Option<Time>,
    /// Rate at which the tier served requests of this instance.
    served: ServedRate,
    /// Since when all time slots have ended unused.
    idle_since: Option<Time>,
}

impl Tier {
    /// Creates a tier that is up at `now`.
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
            spill_budget: SpillBudget::new(now),
            warming_since: None,
            served: ServedRate::default(),
            idle_since: None,
        }
    }

    pub fn is_down(&self) -> bool {
        matches!(self.status, TierStatus::Down(_))
    }

    /// Whether the tier has not responded for so long that it may be cold when it recovers. One failed request is
    /// enough: an instance with little traffic that waited for more would send outside its time slots when all others
    /// return.
    fn may_be_cold(&self, now: Time, fleet: &FleetParameters) -> bool {
        self.failed_requests > 0 && self.is_silent_beyond_transient_outage(now, fleet)
    }

    /// Whether the time without a response is longer than a transient outage.
    fn is_silent_beyond_transient_outage(&self, now: Time, fleet: &FleetParameters) -> bool {
        self.awaits_own_response || now - self.last_response > fleet.max_transient_outage
    }

    /// Whether the tier may be cold or warms up. The gate stays longer while its slots are used.
    fn needs_gate(&self, now: Time, fleet: &FleetParameters) -> bool {
        // A single unused slot may result from the rate limit of the delivery policy or from a gap between messages, so
        // slots must stay unused for longer. If slots are rarer than that, only a small backlog can have built up.
        let has_rare_slots = self.gate.as_ref().is_none_or(|gate| gate.cycle() > fleet.max_transient_outage);
        let is_idle =
            has_rare_slots || self.idle_since.is_some_and(|since| now - since >= fleet.max_transient_outage);
        let warm_ups = if is_idle { 1 } else { MAX_GATED_WARM_UPS };
        self.may_be_cold(now, fleet)
            || self.warming_since.is_some_and(|since| now < since + fleet.warm_up_time * warm_ups)
    }

    /// Counts one more message for this tier and returns whether it spills to the next one.
    pub fn spills(&mut self, now: Time, config: &TierConfig) -> bool {
        let share = match self.status {
            TierStatus::Up => return false,
            TierStatus::Down(_) => config.spill_share,
            TierStatus::Recovering(since) => {
                let ramp = (config.recovery_ramp * self.ramp_factor).as_secs_f64().max(0.001);
                let elapsed = (now - since).as_secs_f64() / ramp;
                if elapsed >= 1.0 {
                    self.mark_up();
                    return false;
                }
                config.spill_share * (1.0 - elapsed)
            }
        };
        self.spill_budget.try_spill(now, share, config.spill_rate)
    }

    fn mark_up(&mut self) {
        self.status = TierStatus::Up;
        self.ramp_factor = 1;
        self.spill_budget.set_credit(0.0);
    }

    /// Records a response of the tier.
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
                self.mark_up();
            }
            TierStatus::Up | TierStatus::Recovering(_) => {}
        }
    }

    /// Records that the tier served one request of this instance.
    pub fn on_served(&mut self, now: Time, fleet: &FleetParameters) {
        self.served.add(now, 1.0, fleet.warm_up_time);
    }

    /// Records a request that failed without a response. `salt` differs between partners.
    pub fn on_failure(&mut self, now: Time, fleet: &FleetParameters, config: &TierConfig, salt: u64) {
        self.failed_requests += 1;
        let is_silent = self.awaits_own_response || now - self.last_response >= config.down_after;
        if self.failed_requests < MIN_FAILED_REQUESTS || !is_silent {
            return;
        }
        match self.status {
            TierStatus::Down(_) => return,
            // An instance with a single message either spills it or does not. Without initial credit, no instance with
            // little traffic would ever spill. Each starts with a different credit, so that all together spill the
            // share.
            TierStatus::Up => self.spill_budget.set_credit(fleet.phase(salt + u64::from(self.outages))),
            // Guards against flapping: a tier that responds to probes but fails under load would otherwise get its full
            // load back again and again.
            TierStatus::Recovering(_) => {
                self.ramp_factor = (self.ramp_factor * FLAP_FACTOR).min(MAX_RAMP_FACTOR);
            }
        }
        self.status = TierStatus::Down(now);
        self.next_reassignment = Some(now);
        self.outages += 1;
    }

    /// Starts the recovery of a tier that is down when another partner's tier in its zone has responded after an outage
    /// of the zone.
    pub fn on_zone_recovered(&mut self, now: Time, fleet: &FleetParameters, config: &TierConfig) {
        if self.is_down() {
            self.on_response(now, fleet, config);
            // The response came from another tier; this one may still be down.
            self.awaits_own_response = true;
        }
    }

    /// Takes the tier down because its whole zone is down, unless it responded a moment ago.
    pub fn on_zone_down(&mut self, now: Time, fleet: &FleetParameters, config: &TierConfig, salt: u64) {
        if self.is_silent_beyond_transient_outage(now, fleet) {
            self.failed_requests = self.failed_requests.max(MIN_FAILED_REQUESTS - 1);
            self.on_failure(now, fleet, config, salt);
        }
    }

    /// Adds a recovery gate if the tier needs one, has none and its capacity is known.
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

    /// Opens, closes or removes the recovery gate as needed; returns whether anything changed.
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

    /// Cancels the next reassignment if the tier is not down.
    pub fn stop_reassigning_unless_down(&mut self) {
        if !self.is_down() {
            self.next_reassignment = None;
        }
    }

    /// Whether the tier has a recovery gate or waiting messages to reassign.
    pub fn has_pending_work(&self) -> bool {
        self.gate.is_some() || self.next_reassignment.is_some()
    }

    /// When the gate opens or closes next or a message may be reassigned, whichever is earlier.
    pub fn next_timeout(&self) -> Option<Time> {
        let gate = self.gate.as_ref().map(RecoveryGate::next_timeout);
        [gate, self.next_reassignment].into_iter().flatten().min()
    }
}
