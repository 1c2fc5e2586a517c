//! Failover tiers of the partners and their destinations, from the settings.

use cloverstile::{DestinationId, Time, ZoneId};
use cloverstile_failover::{FailoverPlanner, FleetParameters, TierConfig};
use cloverstile_settings::{Config, Partner};
use std::time::Duration;

/// The destination of a partner's tier: the first tier has the partner's own number, further ones follow those of all
/// partners. Both arguments are indexes in the settings.
pub(crate) fn destination(config: &Config, partner: usize, tier: usize) -> DestinationId {
    if tier == 0 {
        return DestinationId(partner as u16);
    }
    let further_tiers = |partner: &Partner| partner.tiers.len().saturating_sub(1);
    let before: usize = config.partners[..partner].iter().map(further_tiers).sum();
    DestinationId((config.partners.len() + before + tier - 1) as u16)
}

/// The failover planner of this instance. `since_epoch` is the time of day: machines agree on the instances' time slots
/// as well as their clocks are kept.
pub(crate) fn planner(config: &Config, seed: u64, since_epoch: Duration) -> FailoverPlanner {
    let instances = config.policy.instance_count.max(1);
    let tiered = config.partners.iter().enumerate().filter(|(_, partner)| partner.tiers.len() > 1);
    let tiers = tiered.map(|(number, partner)| TierConfig {
        destinations: (0..partner.tiers.len()).map(|tier| destination(config, number, tier)).collect(),
        zones: partner.tiers.iter().map(|tier| ZoneId(tier.zone)).collect(),
        capacities: partner.tiers.iter().map(|tier| tier.rate).collect(),
        spill_share: partner.spill_share,
        // Instances share no state: each keeps to its fair share of what all may spill together.
        spill_rate: partner.spill_rate.map(|rate| rate / f64::from(instances)),
        down_after: partner.lost_after,
        recovery_ramp: partner.recovery_ramp,
    });
    let fleet = FleetParameters {
        instance_count: instances,
        instance_index: config.identity.instance_index.unwrap_or((seed % u64::from(instances)) as u32),
        epoch: since_epoch,
        ..FleetParameters::for_rules(&config.policy.rules)
    };
    FailoverPlanner::new(Time::ZERO, fleet, tiers.collect())
}
