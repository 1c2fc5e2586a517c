//! Whether the loss of a zone, or of two, can be carried at the stated spill shares; what stands in the way; and which
//! shares would carry most worth. Free of I/O.
//!
//! A linear program for each loss: messages a second that go to each partner's first site that is left, at most what is
//! wanted, what the site takes, what may spill, and what all partners together may send into a zone; the sum of their
//! worth is made greatest. A second program without the stated shares tells what other shares would carry.
#![forbid(unsafe_code)]

use good_lp::{constraint, microlp, variable, Expression, ProblemVariables, Solution, SolverModel};
use serde::Serialize;

/// What counts as nothing, in messages a second.
const NOTHING: f64 = 1e-6;

/// A partner's site.
#[derive(Clone, Debug)]
pub struct Site {
    /// Place in [`Network::zones`].
    pub zone: usize,
    /// Calls a second that it takes; zero where nobody knows, which counts as without bound.
    pub rate: f64,
}

/// A partner and what is wanted of it.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Its name.
    pub name: String,
    /// Messages a second, from all couriers, at the busiest time.
    pub wanted: f64,
    /// Worth of one of them.
    pub worth: f64,
    /// Its sites, the preferred one first.
    pub sites: Vec<Site>,
    /// Share of the messages for a lost site that may go to the next one.
    pub spill_share: f64,
    /// Messages a second that may spill; none: the share alone binds.
    pub spill_rate: Option<f64>,
}

/// A zone.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Calls a second into it, for all partners together; none: without bound.
    pub rate: Option<f64>,
}

/// All zones and partners.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Zones.
    pub zones: Vec<Zone>,
    /// Partners.
    pub partners: Vec<Demand>,
}

/// What keeps a partner from getting all that is wanted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Binds {
    /// Nothing: all is carried.
    Nothing,
    /// No site is left.
    NoSite,
    /// The stated share.
    SpillShare,
    /// The stated rate of spill.
    SpillRate,
    /// What the site in this zone takes.
    Site(String),
    /// What may go into this zone, from all partners together.
    Zone(String),
}

/// One partner in one loss.
#[derive(Clone, Debug, Serialize)]
pub struct Carried {
    /// Its name.
    pub partner: String,
    /// Messages a second that are wanted.
    pub wanted: f64,
    /// ... and that are carried as the settings stand.
    pub carried: f64,
    /// What binds.
    pub binds: Binds,
    /// The spill share that would carry most worth over all partners; none where its preferred site is left, or no
    /// site is.
    pub best_share: Option<f64>,
    /// What would be carried then.
    pub best_carried: f64,
}

/// One loss.
#[derive(Clone, Debug, Serialize)]
pub struct Loss {
    /// Names of the zones that are lost.
    pub zones: Vec<String>,
    /// Whether all that is wanted is carried.
    pub whole: bool,
    /// Worth a second that is wanted.
    pub worth_wanted: f64,
    /// ... that is carried as the settings stand.
    pub worth: f64,
    /// ... and that the best shares would carry.
    pub best_worth: f64,
    /// The partners that have a site in a lost zone or get less than is wanted, in their order.
    pub partners: Vec<Carried>,
}

/// A program that can't be solved.
#[derive(Debug, thiserror::Error)]
#[error("the loss of {zones} can't be reckoned: {why}; rates and shares must be finite and not below zero")]
pub struct PlanError {
    zones: String,
    why: String,
}

/// What may flow to one partner in one loss.
struct Flow {
    /// The first site that is left.
    site: Option<usize>,
    /// Bounds in messages a second: wanted, the site's own, and that of spill, if it is spill.
    wanted: f64,
    takes: f64,
    spill: f64,
}

impl Flow {
    fn of(partner: &Demand, lost: &[usize]) -> Flow {
        let site = partner.sites.iter().position(|site| !lost.contains(&site.zone));
        let takes = site.map_or(0.0, |site| match partner.sites[site].rate {
            rate if rate > 0.0 => rate,
            _ => f64::INFINITY,
        });
        // Each lost site lets its share through, so that behind two of them a share of the share is left.
        let spill = match site {
            Some(0) => f64::INFINITY,
            Some(passed) => {
                let share = partner.wanted * partner.spill_share.powi(passed as i32);
                share.min(partner.spill_rate.unwrap_or(f64::INFINITY))
            }
            None => 0.0,
        };
        Flow { site, wanted: partner.wanted, takes, spill }
    }

    fn most(&self, with_shares: bool) -> f64 {
        let spill = if with_shares { self.spill } else { f64::INFINITY };
        if self.site.is_none() {
            0.0
        } else {
            self.wanted.min(self.takes).min(spill).max(0.0)
        }
    }
}

/// Messages a second to each partner that make the sum of worth greatest.
fn solve(network: &Network, flows: &[Flow], with_shares: bool) -> Result<Vec<f64>, String> {
    let mut variables = ProblemVariables::new();
    let sent: Vec<_> =
        flows.iter().map(|flow| variables.add(variable().min(0.0).max(flow.most(with_shares)))).collect();
    let worth: Expression =
        network.partners.iter().zip(&sent).map(|(partner, sent)| partner.worth.max(NOTHING) * *sent).sum();
    let mut problem = variables.maximise(worth).using(microlp);
    for (place, zone) in network.zones.iter().enumerate() {
        let Some(rate) = zone.rate else { continue };
        let into =
            network.partners.iter().zip(flows).zip(&sent).filter(|((partner, flow), _)| {
                flow.site.is_some_and(|site| partner.sites[site].zone == place)
            });
        let sum: Expression = into.map(|(_, sent)| Expression::from(*sent)).sum();
        problem = problem.with(constraint!(sum <= rate));
    }
    let solution = problem.solve().map_err(|error| error.to_string())?;
    Ok(sent.iter().map(|sent| solution.value(*sent)).collect())
}

fn binds(network: &Network, partner: &Demand, flow: &Flow, carried: f64) -> Binds {
    let zone = |site: usize| network.zones[partner.sites[site].zone].name.clone();
    match flow.site {
        _ if carried + NOTHING >= flow.wanted => Binds::Nothing,
        None => Binds::NoSite,
        Some(site) if carried + NOTHING >= flow.takes => Binds::Site(zone(site)),
        Some(_) if carried + NOTHING >= flow.spill => match partner.spill_rate {
            Some(rate) if rate <= carried + NOTHING => Binds::SpillRate,
            _ => Binds::SpillShare,
        },
        Some(site) => Binds::Zone(zone(site)),
    }
}

/// Reckons one loss; none lost: the usual day.
///
/// # Errors
/// Figures that no program can be made of.
pub fn loss(network: &Network, lost: &[usize]) -> Result<Loss, PlanError> {
    let zones: Vec<String> = lost.iter().map(|zone| network.zones[*zone].name.clone()).collect();
    let flows: Vec<Flow> = network.partners.iter().map(|partner| Flow::of(partner, lost)).collect();
    let reckon = |with_shares| {
        solve(network, &flows, with_shares)
            .map_err(|why| PlanError { zones: format!("[{}]", zones.join(", ")), why })
    };
    let (stated, best) = (reckon(true)?, reckon(false)?);
    let worth = |sent: &[f64]| network.partners.iter().zip(sent).map(|(p, sent)| p.worth * sent).sum::<f64>();
    let mut partners = Vec::new();
    for (place, (partner, flow)) in network.partners.iter().zip(&flows).enumerate() {
        let struck = partner.sites.iter().any(|site| lost.contains(&site.zone));
        let short = stated[place] + NOTHING < partner.wanted;
        if partner.wanted <= 0.0 || !(struck || short) {
            continue;
        }
        // Behind several lost sites the share counts as often.
        let share = flow
            .site
            .filter(|passed| *passed > 0)
            .map(|passed| (best[place] / partner.wanted).clamp(0.0, 1.0).powf(1.0 / passed as f64));
        partners.push(Carried {
            partner: partner.name.clone(),
            wanted: partner.wanted,
            carried: stated[place],
            binds: binds(network, partner, flow, stated[place]),
            best_share: share,
            best_carried: best[place],
        });
    }
    let wanted: Vec<f64> = network.partners.iter().map(|partner| partner.wanted).collect();
    Ok(Loss {
        whole: partners.iter().all(|partner| partner.binds == Binds::Nothing),
        worth_wanted: worth(&wanted),
        worth: worth(&stated),
        best_worth: worth(&best),
        zones,
        partners,
    })
}

/// Reckons the usual day, the loss of each zone that some partner serves from, and, if wanted, of each two.
///
/// # Errors
/// As [`loss`].
pub fn losses(network: &Network, two: bool) -> Result<Vec<Loss>, PlanError> {
    let served = |zone: &usize| network.partners.iter().any(|p| p.sites.iter().any(|s| s.zone == *zone));
    let zones: Vec<usize> = (0..network.zones.len()).filter(served).collect();
    let mut all = vec![loss(network, &[])?];
    for zone in &zones {
        all.push(loss(network, &[*zone])?);
    }
    if two {
        for (place, first) in zones.iter().enumerate() {
            for second in &zones[place + 1..] {
                all.push(loss(network, &[*first, *second])?);
            }
        }
    }
    Ok(all)
}
