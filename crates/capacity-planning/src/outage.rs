//! Plans outages: what is carried, what limits it, and which spill shares would carry the most.

use crate::flow::{solve, Flow, SpillLimits, TOLERANCE};
use crate::network::{Network, PartnerDemand};
use crate::report::{Bottleneck, OutageReport, PartnerReport, PlanError};

/// Plans one outage; `lost_zones` are indices in [`Network::zones`], none for normal operation.
///
/// # Errors
/// Figures for which the linear program has no solution.
///
/// # Panics
/// Where an index is that of no zone.
pub fn plan_outage(network: &Network, lost_zones: &[usize]) -> Result<OutageReport, PlanError> {
    let zones: Vec<String> = lost_zones.iter().map(|zone| network.zones[*zone].name.clone()).collect();
    let flows: Vec<Flow> = network.partners.iter().map(|partner| Flow::new(partner, lost_zones)).collect();
    let carried = |spill_limits| {
        solve(network, &flows, spill_limits)
            .map_err(|reason| PlanError { zones: format!("[{}]", zones.join(", ")), reason })
    };
    let configured = carried(SpillLimits::Configured)?;
    let best = carried(SpillLimits::Unlimited)?;
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
        offered_weight: weight(network, &demand),
        carried_weight: weight(network, &configured),
        best_carried_weight: weight(network, &best),
        zones,
        partners,
    })
}

/// Plans normal operation, the outage of each zone that some partner serves from, and, with `pairs`, of each two.
///
/// # Errors
/// As [`plan_outage`].
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

/// Priority weight a second of these messages a second to each partner.
fn weight(network: &Network, rates: &[f64]) -> f64 {
    network.partners.iter().zip(rates).map(|(partner, rate)| partner.priority_weight * rate).sum::<f64>()
}

/// Whether a partner with any demand has lost a site or gets less than its demand.
fn is_affected(partner: &PartnerDemand, lost_zones: &[usize], carried: f64) -> bool {
    if partner.demand <= 0.0 {
        return false;
    }
    let lost_a_site = partner.sites.iter().any(|site| lost_zones.contains(&site.zone));
    let is_short = carried + TOLERANCE < partner.demand;
    lost_a_site || is_short
}

/// The spill share that lets the best flow through; behind several lost sites the share counts as often.
fn best_share(partner: &PartnerDemand, flow: &Flow, best_carried: f64) -> Option<f64> {
    let lost_sites = flow.site.filter(|lost_sites| *lost_sites > 0)?;
    Some((best_carried / partner.demand).clamp(0.0, 1.0).powf(1.0 / lost_sites as f64))
}

/// What limits the messages carried to a partner.
fn bottleneck(network: &Network, partner: &PartnerDemand, flow: &Flow, carried: f64) -> Bottleneck {
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
