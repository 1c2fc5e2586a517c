//! The output of capacity planning. Its JSON keys are part of the command line's interface and stay as they are.

use serde::Serialize;

/// What keeps a partner from getting its whole demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Bottleneck {
    /// Nothing: the whole demand is carried.
    #[serde(rename = "nothing")]
    None,
    /// No site is left.
    NoSite,
    /// The configured spill share.
    SpillShare,
    /// The configured spill rate.
    SpillRate,
    /// The capacity of the partner's site in this zone.
    Site(String),
    /// The capacity of this zone, shared by all partners.
    Zone(String),
}

/// One partner in one outage.
#[derive(Clone, Debug, Serialize)]
pub struct PartnerReport {
    /// The partner's name.
    pub partner: String,
    /// Messages a second that are offered.
    #[serde(rename = "wanted")]
    pub demand: f64,
    /// Messages a second that are carried with the configured spill shares.
    pub carried: f64,
    /// What limits the messages carried.
    #[serde(rename = "binds")]
    pub bottleneck: Bottleneck,
    /// The spill share at which the most priority weight is carried over all partners; none where the preferred site is
    /// left, or no site is.
    pub best_share: Option<f64>,
    /// Messages a second that would be carried then.
    pub best_carried: f64,
}

/// One outage, or normal operation.
#[derive(Clone, Debug, Serialize)]
pub struct OutageReport {
    /// Names of the zones that are lost; empty in normal operation.
    pub zones: Vec<String>,
    /// Whether the whole demand is carried.
    #[serde(rename = "whole")]
    pub fully_carried: bool,
    /// Priority weight a second that is offered.
    #[serde(rename = "worth_wanted")]
    pub offered_weight: f64,
    /// Priority weight a second that is carried with the configured spill shares.
    #[serde(rename = "worth")]
    pub carried_weight: f64,
    /// Priority weight a second that the best spill shares would carry.
    #[serde(rename = "best_worth")]
    pub best_carried_weight: f64,
    /// The partners that have a site in a lost zone or get less than their demand, in their order.
    pub partners: Vec<PartnerReport>,
}

/// An outage that can't be planned for.
#[derive(Debug, thiserror::Error)]
#[error(
    "the outage of {zones} can't be computed: {reason}; rates and shares must be finite and not below zero"
)]
pub struct PlanError {
    pub(crate) zones: String,
    pub(crate) reason: String,
}
