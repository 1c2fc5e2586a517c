//! The failover policy used in production: tracks the tiers of all partners and outages of whole zones.

use crate::fleet::FleetParameters;
use crate::policy::{FailoverPolicy, GateState, Reassignment, RequestResult, TierConfig, TierStatus};
use crate::recovery_gate::RecoveryGate;
use crate::tier::Tier;
use crate::zone_outage::ZoneOutageDetector;
use cloverstile::{AttemptOutcome, DestinationId, Time, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Weight of the newest submission gap in its exponentially weighted mean.
const SUBMISSION_GAP_GAIN: f64 = 0.1;
/// Minimum time between two reassignments from a tier.
const MIN_REASSIGNMENT_GAP: Duration = Duration::from_millis(1);

/// A partner with several tiers.
struct Partner {
    config: TierConfig,
    tiers: Vec<Tier>,
    /// Exponentially weighted mean time between two submissions, each counted as [`TierConfig::down_after`] at most.
    mean_submission_gap: Duration,
    last_submission: Time,
}

/// Which tier of which partner a destination is.
#[derive(Clone, Copy)]
struct TierIndex {
    /// First destination of the partner, its key in [`FailoverPlanner::partners`].
    partner: DestinationId,
    /// Index in [`Partner::tiers`].
    index: usize,
}

/// A change of a zone's status, which applies to all tiers in the zone.
#[derive(Clone, Copy)]
enum ZoneChange {
    Down,
    Recovered,
}

/// Priority failover between tiers, from the point of view of one gateway instance.
#[derive(Default)]
pub struct FailoverPlanner {
    fleet: FleetParameters,
    partners: BTreeMap<DestinationId, Partner>,
    tier_indices: BTreeMap<DestinationId, TierIndex>,
    /// Tiers that have a recovery gate or waiting messages to reassign; the only ones that timeouts concern.
    tiers_with_pending_work: BTreeSet<DestinationId>,
    zones: BTreeMap<ZoneId, ZoneOutageDetector>,
}

impl FailoverPlanner {
    /// Creates a planner for `partners`. Any other partner has a single tier, which [`FailoverPolicy::select_tier`]
    /// always selects.
    pub fn new(now: Time, fleet: FleetParameters, partners: Vec<TierConfig>) -> Self {
        let mut planner = FailoverPlanner { fleet, ..FailoverPlanner::default() };
        for config in partners {
            planner.add_partner(now, config);
        }
        planner
    }

    fn add_partner(&mut self, now: Time, config: TierConfig) {
        let Some(&partner) = config.destinations.first() else { return };
        let mut tiers = Vec::with_capacity(config.destinations.len());
        for (index, destination) in config.destinations.iter().enumerate() {
            self.tier_indices.insert(*destination, TierIndex { partner, index });
            let zone = config.zones.get(index).copied();
            if let Some(zone) = zone {
                self.zones.entry(zone).or_default().tiers.push(*destination);
            }
            let capacity = config.capacities.get(index).copied().unwrap_or_default();
            tiers.push(Tier::new(now, zone, capacity));
        }
        let mean_submission_gap = config.down_after;
        self.partners.insert(partner, Partner { config, tiers, mean_submission_gap, last_submission: now });
    }

    fn tier(&self, destination: DestinationId) -> Option<&Tier> {
        let TierIndex { partner, index } = self.tier_indices.get(&destination)?;
        self.partners.get(partner)?.tiers.get(*index)
    }

    fn tier_mut(&mut self, destination: DestinationId) -> Option<&mut Tier> {
        let TierIndex { partner, index } = self.tier_indices.get(&destination)?;
        self.partners.get_mut(partner)?.tiers.get_mut(*index)
    }

    /// Gives a tier a recovery gate if it needs one, and registers it if it has a gate or messages to reassign.
    fn register_pending_work(&mut self, now: Time, destination: DestinationId) {
        let Some(TierIndex { partner, index }) = self.tier_indices.get(&destination) else { return };
        let Some(partner) = self.partners.get_mut(partner) else { return };
        let tier = &mut partner.tiers[*index];
        tier.add_gate_if_needed(now, &self.fleet);
        if tier.has_pending_work() {
            self.tiers_with_pending_work.insert(destination);
        }
    }

    /// Records a response of a tier; returns a change if it ends the outage of the zone.
    fn on_response(&mut self, now: Time, destination: DestinationId) -> Option<ZoneChange> {
        let TierIndex { partner, index } = self.tier_indices.get(&destination)?;
        let Partner { config, tiers, .. } = self.partners.get_mut(partner)?;
        let tier = tiers.get_mut(*index)?;
        tier.on_response(now, &self.fleet, config);
        tier.on_served(now, &self.fleet);
        let zone = self.zones.get_mut(&tier.zone?)?;
        zone.on_response(now).then_some(ZoneChange::Recovered)
    }

    /// Records a request to a tier that failed without a response; returns a change if the zone is down from now on.
    fn on_failure(&mut self, now: Time, destination: DestinationId, latency: Duration) -> Option<ZoneChange> {
        let TierIndex { partner, index } = self.tier_indices.get(&destination)?;
        let Partner { config, tiers, .. } = self.partners.get_mut(partner)?;
        let tier = tiers.get_mut(*index)?;
        let sent_at = now - latency;
        // A request sent before the last response says nothing about the tier's status after that response.
        if sent_at < tier.last_response {
            return None;
        }
        tier.on_failure(now, &self.fleet, config, u64::from(partner.0));
        let zone = self.zones.get_mut(&tier.zone?)?;
        zone.on_failure(now, *partner, sent_at, config.down_after).then_some(ZoneChange::Down)
    }

    /// Applies a change of the zone of the tier `cause` to the other tiers in the zone.
    fn on_zone_change(&mut self, now: Time, cause: DestinationId, change: ZoneChange) {
        let zone = self.tier(cause).and_then(|tier| tier.zone).and_then(|zone| self.zones.get(&zone));
        let tiers = zone.map_or_else(Vec::new, |zone| zone.tiers.clone());
        for destination in tiers.into_iter().filter(|destination| *destination != cause) {
            self.apply_zone_change(now, destination, change);
            self.register_pending_work(now, destination);
        }
    }

    fn apply_zone_change(&mut self, now: Time, destination: DestinationId, change: ZoneChange) {
        let Some(TierIndex { partner, index }) = self.tier_indices.get(&destination) else { return };
        let Some(Partner { config, tiers, .. }) = self.partners.get_mut(partner) else { return };
        let tier = &mut tiers[*index];
        match change {
            ZoneChange::Recovered => tier.on_zone_recovered(now, &self.fleet, config),
            ZoneChange::Down => tier.on_zone_down(now, &self.fleet, config, u64::from(partner.0)),
        }
    }
}

impl FailoverPolicy for FailoverPlanner {
    fn select_tier(&mut self, now: Time, partner: DestinationId) -> DestinationId {
        let Some(state) = self.partners.get_mut(&partner) else { return partner };
        let Partner { config, tiers, mean_submission_gap, last_submission } = state;
        let gap = (now - *last_submission).min(config.down_after);
        *mean_submission_gap =
            mean_submission_gap.mul_f64(1.0 - SUBMISSION_GAP_GAIN) + gap.mul_f64(SUBMISSION_GAP_GAIN);
        *last_submission = now;
        let last = config.destinations.len() - 1;
        let selected = (0..last).find(|index| !tiers[*index].spills(now, config)).unwrap_or(last);
        config.destinations[selected]
    }

    fn on_request_completed(&mut self, now: Time, result: RequestResult) {
        let destination = result.destination;
        let zone_change = match result.outcome {
            AttemptOutcome::Ok => self.on_response(now, destination),
            AttemptOutcome::Timeout
            | AttemptOutcome::Reset
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Abandoned => self.on_failure(now, destination, result.latency),
            // Rejections and errors come from a tier that is reachable, even if it accepts no work. The delivery policy
            // handles them with its rate limits and probes.
            AttemptOutcome::Rejected(_)
            | AttemptOutcome::Error
            | AttemptOutcome::Unsent
            | AttemptOutcome::NotStarted => None,
        };
        self.register_pending_work(now, destination);
        if let Some(change) = zone_change {
            self.on_zone_change(now, destination, change);
        }
    }

    fn tier_statuses(&self, partner: DestinationId) -> Vec<TierStatus> {
        let tiers = self.partners.get(&partner).map_or(&[][..], |partner| &partner.tiers);
        tiers.iter().map(|tier| tier.status).collect()
    }

    fn has_tiers(&self, partner: DestinationId) -> bool {
        self.partners.contains_key(&partner)
    }

    fn tier_status(&self, _: DestinationId, tier: DestinationId) -> Option<TierStatus> {
        self.tier(tier).map(|tier| tier.status)
    }

    fn update_gates(&mut self, now: Time) -> Vec<DestinationId> {
        let mut changed = Vec::new();
        let mut tiers_without_pending_work = Vec::new();
        for destination in &self.tiers_with_pending_work {
            let Some(TierIndex { partner, index }) = self.tier_indices.get(destination) else { continue };
            let Some(partner) = self.partners.get_mut(partner) else { continue };
            let tier = &mut partner.tiers[*index];
            if tier.update_gate(now, &self.fleet) {
                changed.push(*destination);
            }
            tier.stop_reassigning_unless_down();
            if !tier.has_pending_work() {
                tiers_without_pending_work.push(*destination);
            }
        }
        for destination in tiers_without_pending_work {
            self.tiers_with_pending_work.remove(&destination);
        }
        changed
    }

    fn gate(&self, destination: DestinationId) -> Option<GateState> {
        self.tier(destination)?.gate.as_ref().map(RecoveryGate::state)
    }

    fn on_request_sent(&mut self, _: Time, destination: DestinationId) {
        if let Some(gate) = self.tier_mut(destination).and_then(|tier| tier.gate.as_mut()) {
            gate.on_request_sent();
        }
    }

    fn next_reassignment(&mut self, now: Time) -> Option<Reassignment> {
        for destination in &self.tiers_with_pending_work {
            let Some(TierIndex { partner, index }) = self.tier_indices.get(destination) else { continue };
            let Some(state) = self.partners.get_mut(partner) else { continue };
            let tier = &mut state.tiers[*index];
            if tier.is_down() && tier.next_reassignment.is_some_and(|at| at <= now) {
                // Waiting messages are reassigned at the rate at which new messages arrive.
                let gap = state.mean_submission_gap.clamp(MIN_REASSIGNMENT_GAP, state.config.down_after);
                tier.next_reassignment = Some(now + gap);
                return Some(Reassignment { tier: *destination, partner: *partner });
            }
        }
        None
    }

    fn next_timeout(&self) -> Option<Time> {
        self.tiers_with_pending_work
            .iter()
            .filter_map(|destination| self.tier(*destination)?.next_timeout())
            .min()
    }
}
