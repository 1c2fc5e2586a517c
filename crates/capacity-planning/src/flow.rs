//! Limits on the message rate to each partner in an outage, and the linear program that allocates the zones' capacity.

use crate::network::{Network, PartnerDemand};
use good_lp::{constraint, microlp, variable, Expression, ProblemVariables, Solution, SolverModel};

/// Rates, in messages per second, that differ by no more than this are equal. Also the least priority weight in the
/// objective.
pub(crate) const TOLERANCE: f64 = 1e-6;

/// Which spill limits the linear program applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SpillLimits {
    /// The configured spill share and spill rate.
    Configured,
    /// No spill limit.
    Unlimited,
}

/// Limits on the message rate to one partner in one outage. All rates are in messages per second.
pub(crate) struct PartnerFlow {
    /// Index in [`PartnerDemand::sites`] of the first site outside the lost zones; `None` if all sites are lost.
    pub site: Option<usize>,
    /// Rate of messages submitted for the partner.
    pub demand: f64,
    /// Capacity of the site; infinite if it is unknown.
    pub site_capacity: f64,
    /// Rate that may spill to the site; infinite at the preferred site, zero if all sites are lost.
    pub spill_limit: f64,
}

impl PartnerFlow {
    /// Computes the limits for a partner while the zones with the indices `lost_zones` are lost.
    pub fn new(partner: &PartnerDemand, lost_zones: &[usize]) -> PartnerFlow {
        let site = partner.sites.iter().position(|site| !lost_zones.contains(&site.zone));
        let site_capacity = site.map_or(0.0, |site| match partner.sites[site].capacity {
            capacity if capacity > 0.0 => capacity,
            _ => f64::INFINITY,
        });
        // Each lost site passes only its spill share on, so the share applies once per lost site.
        let spill_limit = match site {
            Some(0) => f64::INFINITY,
            Some(lost_sites) => {
                let share = partner.demand * partner.spill_share.powi(lost_sites as i32);
                share.min(partner.spill_rate.unwrap_or(f64::INFINITY))
            }
            None => 0.0,
        };
        PartnerFlow { site, demand: partner.demand, site_capacity, spill_limit }
    }

    /// Upper bound of the rate, without regard to the capacity of the zone.
    fn max_rate(&self, spill_limits: SpillLimits) -> f64 {
        if self.site.is_none() {
            return 0.0;
        }
        let spill_limit = match spill_limits {
            SpillLimits::Configured => self.spill_limit,
            SpillLimits::Unlimited => f64::INFINITY,
        };
        self.demand.min(self.site_capacity).min(spill_limit).max(0.0)
    }
}

/// Returns the messages per second to each partner, in the order of [`Network::partners`], that carry the most priority
/// weight. `flows` has the same order. The error is the solver's message.
pub(crate) fn maximize_carried_weight(
    network: &Network,
    flows: &[PartnerFlow],
    spill_limits: SpillLimits,
) -> Result<Vec<f64>, String> {
    let mut variables = ProblemVariables::new();
    let rates: Vec<_> = flows
        .iter()
        .map(|flow| variables.add(variable().min(0.0).max(flow.max_rate(spill_limits))))
        .collect();
    // A partner of weight zero still gets the capacity that no other partner uses.
    let carried_weight: Expression = network
        .partners
        .iter()
        .zip(&rates)
        .map(|(partner, rate)| partner.priority_weight.max(TOLERANCE) * *rate)
        .sum();
    let mut problem = variables.maximise(carried_weight).using(microlp);
    for (index, zone) in network.zones.iter().enumerate() {
        let Some(capacity) = zone.capacity else { continue };
        let into_zone =
            network.partners.iter().zip(flows).zip(&rates).filter(|((partner, flow), _)| {
                flow.site.is_some_and(|site| partner.sites[site].zone == index)
            });
        let zone_rate: Expression = into_zone.map(|(_, rate)| Expression::from(*rate)).sum();
        problem = problem.with(constraint!(zone_rate <= capacity));
    }
    let solution = problem.solve().map_err(|error| error.to_string())?;
    Ok(rates.iter().map(|rate| solution.value(*rate)).collect())
}
