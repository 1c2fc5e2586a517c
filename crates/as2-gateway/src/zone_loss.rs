//! Capacity check for the loss of zones, with the figures of the settings.

use cloverstile_capacity_planning::{
    plan_outages, Network, OutageReport, PartnerDemand, PlanError, Site, Zone,
};
use cloverstile_settings::{Config, Partner};

/// Zones and demand by the settings; partners without `wanted` are left out.
pub fn capacity_network(config: &Config) -> Network {
    let zones = config.zones.iter().zip(&config.zone_rates);
    let zones = zones.map(|(name, rate)| Zone { name: name.clone(), capacity: *rate }).collect();
    Network { zones, partners: config.partners.iter().filter_map(demand).collect() }
}

fn demand(partner: &Partner) -> Option<PartnerDemand> {
    Some(PartnerDemand {
        name: partner.name.clone(),
        demand: partner.peak_demand?,
        priority_weight: partner.priority_weight,
        sites: sites(partner),
        spill_share: partner.spill_share,
        spill_rate: partner.spill_rate,
    })
}

/// The sites of a partner: its tiers, or the zone of its first endpoint where it has none.
fn sites(partner: &Partner) -> Vec<Site> {
    if partner.tiers.is_empty() {
        let zone = partner.endpoints.first().map_or(0, |endpoint| endpoint.zone);
        return vec![Site { zone: usize::from(zone), capacity: partner.rate }];
    }
    partner.tiers.iter().map(|tier| Site { zone: tier.zone.into(), capacity: tier.rate }).collect()
}

/// One line for each loss of a zone, and for the state without a loss, whose demand exceeds the capacity.
///
/// # Errors
/// Figures that the capacity planning rejects.
pub fn capacity_warnings(config: &Config) -> Result<Vec<String>, PlanError> {
    let network = capacity_network(config);
    if network.partners.is_empty() {
        return Ok(Vec::new());
    }
    Ok(plan_outages(&network, false)?.iter().filter(|loss| !loss.fully_carried).map(warning).collect())
}

fn warning(loss: &OutageReport) -> String {
    let short = loss.partners.iter().filter(|partner| partner.carried < partner.demand);
    let shortfalls: Vec<String> = short
        .map(|partner| {
            let carried =
                format!("{} {:.0} of {:.0} a second", partner.partner, partner.carried, partner.demand);
            match partner.best_share.filter(|_| partner.best_carried > partner.carried) {
                Some(share) => {
                    format!("{carried} (spill_share = {share:.2} would carry {:.0})", partner.best_carried)
                }
                None => carried,
            }
        })
        .collect();
    let scenario = if loss.zones.is_empty() {
        "the usual day".to_owned()
    } else {
        format!("the loss of {}", loss.zones.join(" and "))
    };
    format!("{scenario} can't be carried: {}; see cloverstile plan", shortfalls.join(", "))
}
