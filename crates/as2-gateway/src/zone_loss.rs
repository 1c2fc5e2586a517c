//! Checks whether the capacity in the settings covers the demand when a zone is lost.

use cloverstile_capacity_planning::{
    plan_outages, Network, OutageReport, PartnerDemand, PlanError, Site, Zone,
};
use cloverstile_settings::{Config, Partner};

/// The zones' capacities and the partners' demands from the settings. Partners without `wanted`, the setting for the
/// peak demand, are left out.
pub fn capacity_network(config: &Config) -> Network {
    let zones = config.zones.iter().zip(&config.zone_rates);
    let zones = zones.map(|(name, rate)| Zone { name: name.clone(), capacity: *rate }).collect();
    Network { zones, partners: config.partners.iter().filter_map(partner_demand).collect() }
}

fn partner_demand(partner: &Partner) -> Option<PartnerDemand> {
    Some(PartnerDemand {
        name: partner.name.clone(),
        demand: partner.peak_demand?,
        priority_weight: partner.priority_weight,
        sites: sites(partner),
        spill_share: partner.spill_share,
        spill_rate: partner.spill_rate,
    })
}

/// The sites of a partner: one for each tier, or the zone of its first endpoint if it has no tiers.
fn sites(partner: &Partner) -> Vec<Site> {
    if partner.tiers.is_empty() {
        let zone = partner.endpoints.first().map_or(0, |endpoint| endpoint.zone);
        return vec![Site { zone: usize::from(zone), capacity: partner.rate }];
    }
    partner.tiers.iter().map(|tier| Site { zone: tier.zone.into(), capacity: tier.rate }).collect()
}

/// Returns a warning for each loss of one zone after which the capacity doesn't cover the demand, and one if it doesn't
/// without any loss.
///
/// # Errors
/// Returns an error if the capacity planning rejects the capacities or demands of the settings.
pub fn capacity_warnings(config: &Config) -> Result<Vec<String>, PlanError> {
    let network = capacity_network(config);
    if network.partners.is_empty() {
        return Ok(Vec::new());
    }
    Ok(plan_outages(&network, false)?
        .iter()
        .filter(|outage| !outage.fully_carried)
        .map(capacity_warning)
        .collect())
}

fn capacity_warning(outage: &OutageReport) -> String {
    let underserved = outage.partners.iter().filter(|partner| partner.carried < partner.demand);
    let shortfalls: Vec<String> = underserved
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
    let scenario = if outage.zones.is_empty() {
        "the usual day".to_owned()
    } else {
        format!("the loss of {}", outage.zones.join(" and "))
    };
    format!("{scenario} can't be carried: {}; see cloverstile plan", shortfalls.join(", "))
}
