//! Builds the failover planner and the destinations of the partners' tiers from the settings.

use cloverstile::{DestinationId, Time, ZoneId};
use cloverstile_failover::{FailoverPlanner, FleetParameters, TierConfig};
use cloverstile_settings::{Config, Partner};
use std::time::Duration;

/// The destination of a partner's tier. The destination of a partner's first tier is numbered by the partner's index;
/// the destinations of the other tiers are numbered after those, in the order of the partners. `partner` and `tier` are
/// indexes in the settings.
pub(crate) fn tier_destination(config: &Config, partner: usize, tier: usize) -> DestinationId {
    if tier == 0 {
        return DestinationId(partner as u16);
    }
    let further_tier_count = |partner: &Partner| partner.tiers.len().saturating_sub(1);
    let preceding_count: usize = config.partners[..partner].iter().map(further_tier_count).sum();
    DestinationId((config.partners.len() + preceding_count + tier - 1) as u16)
}

/// Creates the failover planner of this gateway instance. `since_epoch` is the wall-clock time since the Unix epoch;
/// the instances' time slots are derived from it, so machines agree on them only as closely as their clocks agree.
pub(crate) fn new_failover_planner(config: &Config, seed: u64, since_epoch: Duration) -> FailoverPlanner {
    let instances = config.policy.instance_count.max(1);
    let tiered_partners = config.partners.iter().enumerate().filter(|(_, partner)| partner.tiers.len() > 1);
    let tiers = tiered_partners.map(|(partner_index, partner)| TierConfig {
        destinations: (0..partner.tiers.len())
            .map(|tier| tier_destination(config, partner_index, tier))
            .collect(),
        zones: partner.tiers.iter().map(|tier| ZoneId(tier.zone)).collect(),
        capacities: partner.tiers.iter().map(|tier| tier.rate).collect(),
        spill_share: partner.spill_share,
        // Instances share no state, so each one limits itself to an equal share of the total spill rate.
        spill_rate: partner.spill_rate.map(|rate| rate / f64::from(instances)),
        down_after: partner.lost_after,
        recovery_ramp: partner.recovery_ramp,
    });
    let fleet = FleetParameters {
        instance_count: instances,
        instance_index: config.identity.instance_index.unwrap_or((seed % u64::from(instances)) as u32),
        clock_at_time_zero: since_epoch,
        ..FleetParameters::for_rules(&config.policy.rules)
    };
    FailoverPlanner::new(Time::ZERO, fleet, tiers.collect())
}
