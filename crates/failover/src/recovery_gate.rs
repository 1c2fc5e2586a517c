//! The recovery gate of a tier that is down or warming up. It opens only in the time slots of this instance.

use crate::fleet::FleetParameters;
use crate::policy::GateState;
use crate::time_slot::{next_slot, TierLoad, TimeSlot};
use cloverstile::Time;
use std::time::Duration;

/// Whether requests were sent in a time slot that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotUse {
    /// At least one request was sent.
    Used,
    /// The gate was open and nothing was sent.
    Unused,
    /// The gate was not opened during the slot, so whether work was waiting is unknown.
    Missed,
}

/// The effect of [`RecoveryGate::update`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GateUpdate {
    /// How the previous time slot was used, if the update ended it.
    pub finished_slot: Option<SlotUse>,
    /// Whether the gate opened or closed.
    pub changed: bool,
}

/// Limits the requests of one instance to a tier by time slots.
pub(crate) struct RecoveryGate {
    is_open: bool,
    /// Whether a request was sent in the current slot.
    is_used: bool,
    /// Load of the tier. Its served rate stays as it was when the gate was created.
    load: TierLoad,
    slot: TimeSlot,
}

impl RecoveryGate {
    /// Creates a gate whose first slot ends at once. That slot counts as used, so the tier does not count as idle yet.
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

    /// Average time from the start of one slot of this instance to the start of the next if every slot is used.
    pub fn cycle(&self) -> Duration {
        self.slot.cycle
    }

    /// Advances to the next slot if the current one is over, and opens the gate if its slot has begun. A gate that is
    /// no longer needed advances only if the requests of the current slot are used up.
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

    /// Records a request sent. The slot ends with its last permitted request.
    pub fn on_request_sent(&mut self) {
        self.is_used = true;
        self.slot.requests = self.slot.requests.saturating_sub(1);
        if self.slot.requests == 0 {
            self.slot.until = self.slot.from;
        }
    }

    /// When the gate opens or closes next.
    pub fn next_timeout(&self) -> Time {
        if self.is_open {
            self.slot.until
        } else {
            self.slot.from
        }
    }
}
