//! Capacity check for the loss of zones, with the figures of the settings.

use cloverstile_capacity_planning::{losses, Demand, Loss, Network, PlanError, Site, Zone};
use cloverstile_settings::Config;

/// Zones and demand by the settings; partners without `wanted` are left out.
pub fn network(config: &Config) -> Network {
    let zones = config.zones.iter().zip(&config.zone_rates);
    let zones = zones.map(|(name, rate)| Zone { name: name.clone(), rate: *rate }).collect();
    let demand = |partner: &cloverstile_settings::Partner| {
        let wanted = partner.wanted?;
        let own_zone = partner.endpoints.first().map_or(0, |endpoint| endpoint.zone);
        let sites = match partner.tiers.is_empty() {
            true => vec![Site { zone: usize::from(own_zone), rate: partner.rate }],
            false => {
                let site =
                    |tier: &cloverstile_settings::Tier| Site { zone: tier.zone.into(), rate: tier.rate };
                partner.tiers.iter().map(site).collect()
            }
        };
        Some(Demand {
            name: partner.name.clone(),
            wanted,
            worth: partner.worth,
            sites,
            spill_share: partner.spill_share,
            spill_rate: partner.spill_rate,
        })
    };
    Network { zones, partners: config.partners.iter().filter_map(demand).collect() }
}

/// One line for each loss of a zone, and for the state without a loss, whose demand exceeds the capacity.
///
/// # Errors
/// Figures that the capacity planning rejects.
pub fn warnings(config: &Config) -> Result<Vec<String>, PlanError> {
    let network = network(config);
    if network.partners.is_empty() {
        return Ok(Vec::new());
    }
    Ok(losses(&network, false)?.iter().filter(|loss| !loss.whole).map(warning).collect())
}

fn warning(loss: &Loss) -> String {
    let short = loss.partners.iter().filter(|partner| partner.carried < partner.wanted);
    let shortfalls: Vec<String> = short
        .map(|partner| {
            let carried =
                format!("{} {:.0} of {:.0} a second", partner.partner, partner.carried, partner.wanted);
            match partner.best_share.filter(|_| partner.best_carried > partner.carried) {
                Some(share) => {
                    format!("{carried} (spill_share = {share:.2} would carry {:.0})", partner.best_carried)
                }
                None => carried,
            }
        })
        .collect();
    let scenario = match loss.zones.is_empty() {
        true => "the usual day".to_owned(),
        false => format!("the loss of {}", loss.zones.join(" and ")),
    };
    format!("{scenario} can't be carried: {}; see cloverstile plan", shortfalls.join(", "))
}
