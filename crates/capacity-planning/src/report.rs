//! Output of capacity planning. Its JSON keys and values are part of the interface of the command line.

use serde::Serialize;

/// What prevents the whole demand for a partner from being carried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bottleneck {
    /// No limit applies: the whole demand is carried.
    #[serde(rename = "nothing")]
    None,
    /// All sites of the partner are lost.
    NoSite,
    /// The configured [`crate::PartnerDemand::spill_share`].
    SpillShare,
    /// The configured [`crate::PartnerDemand::spill_rate`].
    SpillRate,
    /// The capacity of the partner's own site in the named zone.
    Site(String),
    /// The capacity of the named zone, which all partners share.
    Zone(String),
}

/// The result for one partner in one outage.
#[derive(Clone, Debug, Serialize)]
pub struct PartnerReport {
    /// Name of the partner.
    pub partner: String,
    /// Demand in messages per second.
    #[serde(rename = "wanted")]
    pub demand: f64,
    /// Messages per second that are carried with the configured spill limits.
    pub carried: f64,
    /// What limits `carried`.
    #[serde(rename = "binds")]
    pub bottleneck: Bottleneck,
    /// The spill share at which the most priority weight is carried over all partners; `None` if the preferred site is
    /// available or no site is.
    pub best_share: Option<f64>,
    /// Messages per second that would be carried with that share.
    pub best_carried: f64,
}

/// The result for one outage, or for normal operation.
#[derive(Clone, Debug, Serialize)]
pub struct OutageReport {
    /// Names of the lost zones; empty in normal operation.
    pub zones: Vec<String>,
    /// Whether the whole demand for every partner is carried.
    #[serde(rename = "whole")]
    pub fully_carried: bool,
    /// Priority weight per second of the whole demand.
    #[serde(rename = "worth_wanted")]
    pub offered_weight: f64,
    /// Priority weight per second that is carried with the configured spill limits.
    #[serde(rename = "worth")]
    pub carried_weight: f64,
    /// Priority weight per second that the best spill shares would carry.
    #[serde(rename = "best_worth")]
    pub best_carried_weight: f64,
    /// The partners that have demand and either lose a site or are carried less than their demand, in the order of
    /// [`crate::Network::partners`].
    pub partners: Vec<PartnerReport>,
}

/// The linear program of an outage has no solution.
#[derive(Debug, thiserror::Error)]
#[error(
    "cannot plan for the outage of zones {zones}: {reason}; rates and shares must be finite and non-negative"
)]
pub struct PlanError {
    pub(crate) zones: String,
    pub(crate) reason: String,
}
