//! From settings to the reckoning of losses.

use cloverstile_capacity_planning::{
    plan_outages, Network, OutageReport, PartnerDemand, PlanError, Site, Zone,
};
use cloverstile_settings::Config;

/// What the settings say of zones and of what is wanted of partners; those whose `wanted` is not told are left out.
pub fn network(config: &Config) -> Network {
    let zones = config.zones.iter().zip(&config.zone_rates);
    let zones = zones.map(|(name, rate)| Zone { name: name.clone(), capacity: *rate }).collect();
    let demand = |partner: &cloverstile_settings::Partner| {
        let wanted = partner.wanted?;
        let own_zone = partner.endpoints.first().map_or(0, |endpoint| endpoint.zone);
        let sites = match partner.tiers.is_empty() {
            true => vec![Site { zone: usize::from(own_zone), capacity: partner.rate }],
            false => {
                let site =
                    |tier: &cloverstile_settings::Tier| Site { zone: tier.zone.into(), capacity: tier.rate };
                partner.tiers.iter().map(site).collect()
            }
        };
        Some(PartnerDemand {
            name: partner.name.clone(),
            demand: wanted,
            priority_weight: partner.worth,
            sites,
            spill_share: partner.spill_share,
            spill_rate: partner.spill_rate,
        })
    };
    Network { zones, partners: config.partners.iter().filter_map(demand).collect() }
}

/// One line for each loss of a zone, and for the usual day, that can't be carried as the settings stand.
///
/// # Errors
/// Figures that can't be reckoned with.
pub fn warnings(config: &Config) -> Result<Vec<String>, PlanError> {
    let network = network(config);
    if network.partners.is_empty() {
        return Ok(Vec::new());
    }
    Ok(plan_outages(&network, false)?.iter().filter(|loss| !loss.fully_carried).map(warning).collect())
}

fn warning(loss: &OutageReport) -> String {
    let short = loss.partners.iter().filter(|partner| partner.carried < partner.demand);
    let told: Vec<String> = short
        .map(|partner| {
            let of = format!("{} {:.0} of {:.0} a second", partner.partner, partner.carried, partner.demand);
            match partner.best_share.filter(|_| partner.best_carried > partner.carried) {
                Some(share) => {
                    format!("{of} (spill_share = {share:.2} would carry {:.0})", partner.best_carried)
                }
                None => of,
            }
        })
        .collect();
    let what = match loss.zones.is_empty() {
        true => "the usual day".to_owned(),
        false => format!("the loss of {}", loss.zones.join(" and ")),
    };
    format!("{what} can't be carried: {}; see cloverstile plan", told.join(", "))
}
