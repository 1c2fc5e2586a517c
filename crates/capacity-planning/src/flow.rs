//! How much may flow to each partner in an outage, and the linear program that shares out the zones' capacity.

use crate::network::{Network, PartnerDemand};
use good_lp::{constraint, microlp, variable, Expression, ProblemVariables, Solution, SolverModel};

/// Messages a second below which two rates count as equal.
pub(crate) const TOLERANCE: f64 = 1e-6;

/// Whether the configured spill limits hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SpillLimits {
    Configured,
    Unlimited,
}

/// What may flow to one partner in one outage, in messages a second.
pub(crate) struct Flow {
    /// Index of the first site that is left.
    pub site: Option<usize>,
    /// Messages that are offered.
    pub demand: f64,
    /// Messages that the site takes.
    pub site_capacity: f64,
    /// Messages that may spill to the site; unlimited at the preferred one.
    pub spill_limit: f64,
}

impl Flow {
    /// The flow to a partner while the zones with these indices are lost.
    pub fn new(partner: &PartnerDemand, lost_zones: &[usize]) -> Flow {
        let site = partner.sites.iter().position(|site| !lost_zones.contains(&site.zone));
        let site_capacity = site.map_or(0.0, |site| match partner.sites[site].capacity {
            capacity if capacity > 0.0 => capacity,
            _ => f64::INFINITY,
        });
        // Each lost site lets its share through, so that behind two of them a share of the share is left.
        let spill_limit = match site {
            Some(0) => f64::INFINITY,
            Some(lost_sites) => {
                let share = partner.demand * partner.spill_share.powi(lost_sites as i32);
                share.min(partner.spill_rate.unwrap_or(f64::INFINITY))
            }
            None => 0.0,
        };
        Flow { site, demand: partner.demand, site_capacity, spill_limit }
    }

    /// Messages a second that may flow at most, the zone's capacity aside.
    fn limit(&self, spill_limits: SpillLimits) -> f64 {
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

/// Messages a second to each partner that carry the most priority weight.
pub(crate) fn solve(
    network: &Network,
    flows: &[Flow],
    spill_limits: SpillLimits,
) -> Result<Vec<f64>, String> {
    let mut variables = ProblemVariables::new();
    let rates: Vec<_> =
        flows.iter().map(|flow| variables.add(variable().min(0.0).max(flow.limit(spill_limits)))).collect();
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
        let sum: Expression = into_zone.map(|(_, rate)| Expression::from(*rate)).sum();
        problem = problem.with(constraint!(sum <= capacity));
    }
    let solution = problem.solve().map_err(|error| error.to_string())?;
    Ok(rates.iter().map(|rate| solution.value(*rate)).collect())
}
