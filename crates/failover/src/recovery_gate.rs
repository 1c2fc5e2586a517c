//! The gate in front of a tier that is down or warming up: it opens only in this instance's own time slots.

use crate::fleet::FleetParameters;
use crate::policy::GateState;
use crate::time_slot::{next_slot, TierLoad, TimeSlot};
use cloverstile::Time;
use std::time::Duration;

/// How a time slot was used that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotUse {
    /// A request was sent in it.
    Used,
    /// The gate was open and nothing was sent.
    Unused,
    /// The gate was not opened in time, which says nothing of waiting work.
    Missed,
}

/// What an update of a gate did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GateUpdate {
    /// How the last time slot was used, if it is over.
    pub finished_slot: Option<SlotUse>,
    /// The gate opened or closed.
    pub changed: bool,
}

/// The recovery gate of a tier.
pub(crate) struct RecoveryGate {
    is_open: bool,
    /// A request was sent since it opened.
    is_used: bool,
    /// The tier's load; the served rate is that of the time when the gate was set up.
    load: TierLoad,
    slot: TimeSlot,
}

impl RecoveryGate {
    /// A gate whose first slot is still to come; it counts as used, so that nothing counts as idle yet.
    pub fn new(fleet: &FleetParameters, now: Time, load: TierLoad) -> Self {
        let slot = TimeSlot { from: now, until: now, ..next_slot(fleet, now, &load) };
        RecoveryGate { is_open: true, is_used: true, load, slot }
    }

    /// Whether requests may be sent now.
    pub fn state(&self) -> GateState {
        if self.is_open && self.slot.requests > 0 {
            GateState::Open
        } else {
            GateState::Closed
        }
    }

    /// From one slot to the next, if all are used.
    pub fn cycle(&self) -> Duration {
        self.slot.cycle
    }

    /// Goes on to the next slot where the last one is over, and opens the gate if its slot has come. A gate that is no
    /// longer needed keeps a slot that is not spent.
    pub fn update(
        &mut self,
        fleet: &FleetParameters,
        now: Time,
        capacity_share: f64,
        is_needed: bool,
    ) -> GateUpdate {
        let was_open = self.is_open;
        let mut finished_slot = None;
        if (is_needed && now >= self.slot.until) || self.slot.requests == 0 {
            finished_slot = Some(self.slot_use());
            self.load.capacity_share = capacity_share;
            self.slot = next_slot(fleet, now, &self.load);
            self.is_open = false;
            self.is_used = false;
        }
        self.is_open |= now >= self.slot.from && now < self.slot.until && self.slot.requests > 0;
        GateUpdate { finished_slot, changed: self.is_open != was_open }
    }

    fn slot_use(&self) -> SlotUse {
        match (self.is_used, self.is_open) {
            (true, _) => SlotUse::Used,
            (false, true) => SlotUse::Unused,
            (false, false) => SlotUse::Missed,
        }
    }

    /// A request was sent.
    pub fn on_request_sent(&mut self) {
        self.is_used = true;
        self.slot.requests = self.slot.requests.saturating_sub(1);
        if self.slot.requests == 0 {
            self.slot.until = self.slot.from;
        }
    }

    /// When it opens or closes next.
    pub fn next_timeout(&self) -> Time {
        if self.is_open {
            self.slot.until
        } else {
            self.slot.from
        }
    }
}
