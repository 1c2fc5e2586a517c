//! Planning of outages: what is carried, what limits it, and which spill shares would carry the most.

use crate::flow::{maximize_carried_weight, PartnerFlow, SpillLimits, TOLERANCE};
use crate::network::{Network, PartnerDemand};
use crate::report::{Bottleneck, OutageReport, PartnerReport, PlanError};

/// Plans for the outage of the zones whose indices in [`Network::zones`] are `lost_zones`; an empty slice means normal
/// operation.
///
/// # Errors
/// Returns an error if the linear program has no solution with the rates and shares in `network`.
///
/// # Panics
/// Panics if an index in `lost_zones` is out of range.
pub fn plan_outage(network: &Network, lost_zones: &[usize]) -> Result<OutageReport, PlanError> {
    let zones: Vec<String> = lost_zones.iter().map(|zone| network.zones[*zone].name.clone()).collect();
    let flows: Vec<PartnerFlow> =
        network.partners.iter().map(|partner| PartnerFlow::new(partner, lost_zones)).collect();
    let plan_rates = |spill_limits| {
        maximize_carried_weight(network, &flows, spill_limits)
            .map_err(|reason| PlanError { zones: format!("[{}]", zones.join(", ")), reason })
    };
    let configured = plan_rates(SpillLimits::Configured)?;
    let best = plan_rates(SpillLimits::Unlimited)?;
    let partners: Vec<PartnerReport> = network
        .partners
        .iter()
        .enumerate()
        .filter(|(index, partner)| is_affected(partner, lost_zones, configured[*index]))
        .map(|(index, partner)| PartnerReport {
            partner: partner.name.clone(),
            demand: partner.demand,
            carried: configured[index],
            bottleneck: bottleneck(network, partner, &flows[index], configured[index]),
            best_share: best_share(partner, &flows[index], best[index]),
            best_carried: best[index],
        })
        .collect();
    let demand: Vec<f64> = network.partners.iter().map(|partner| partner.demand).collect();
    Ok(OutageReport {
        fully_carried: partners.iter().all(|partner| partner.bottleneck == Bottleneck::None),
        offered_weight: total_weight(network, &demand),
        carried_weight: total_weight(network, &configured),
        best_carried_weight: total_weight(network, &best),
        zones,
        partners,
    })
}

/// Plans for normal operation, for the outage of each zone that contains a site, and, if `pairs` is set, for the outage
/// of each pair of those zones. Zones without a site are left out.
///
/// # Errors
/// Returns the first error of [`plan_outage`].
pub fn plan_outages(network: &Network, pairs: bool) -> Result<Vec<OutageReport>, PlanError> {
    let has_site =
        |zone: &usize| network.partners.iter().any(|partner| partner.sites.iter().any(|s| s.zone == *zone));
    let zones: Vec<usize> = (0..network.zones.len()).filter(has_site).collect();
    let mut reports = vec![plan_outage(network, &[])?];
    for zone in &zones {
        reports.push(plan_outage(network, &[*zone])?);
    }
    if pairs {
        for (index, first) in zones.iter().enumerate() {
            for second in &zones[index + 1..] {
                reports.push(plan_outage(network, &[*first, *second])?);
            }
        }
    }
    Ok(reports)
}

/// Sum of the priority weight per second that `rates`, the messages per second to each partner, carry.
fn total_weight(network: &Network, rates: &[f64]) -> f64 {
    network.partners.iter().zip(rates).map(|(partner, rate)| partner.priority_weight * rate).sum::<f64>()
}

/// Whether a partner with demand has lost a site or is carried less than its demand.
fn is_affected(partner: &PartnerDemand, lost_zones: &[usize], carried: f64) -> bool {
    if partner.demand <= 0.0 {
        return false;
    }
    let lost_a_site = partner.sites.iter().any(|site| lost_zones.contains(&site.zone));
    let is_short = carried + TOLERANCE < partner.demand;
    lost_a_site || is_short
}

/// The spill share at which `best_carried` messages per second spill. The share applies once per lost site, so with
/// several of them this is the corresponding root. `None` if the preferred site is available or no site is.
fn best_share(partner: &PartnerDemand, flow: &PartnerFlow, best_carried: f64) -> Option<f64> {
    let lost_sites = flow.site.filter(|lost_sites| *lost_sites > 0)?;
    Some((best_carried / partner.demand).clamp(0.0, 1.0).powf(1.0 / lost_sites as f64))
}

/// What limits the `carried` messages per second of a partner.
fn bottleneck(network: &Network, partner: &PartnerDemand, flow: &PartnerFlow, carried: f64) -> Bottleneck {
    let zone = |site: usize| network.zones[partner.sites[site].zone].name.clone();
    match flow.site {
        _ if carried + TOLERANCE >= flow.demand => Bottleneck::None,
        None => Bottleneck::NoSite,
        Some(site) if carried + TOLERANCE >= flow.site_capacity => Bottleneck::Site(zone(site)),
        Some(_) if carried + TOLERANCE >= flow.spill_limit => match partner.spill_rate {
            Some(rate) if rate <= carried + TOLERANCE => Bottleneck::SpillRate,
            _ => Bottleneck::SpillShare,
        },
        Some(site) => Bottleneck::Zone(zone(site)),
    }
}
