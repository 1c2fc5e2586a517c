//! Input of capacity planning: zones, partners, their sites and the demand for them.

/// A site from which a partner serves requests.
#[derive(Clone, Debug)]
pub struct Site {
    /// Index of the site's zone in [`Network::zones`].
    pub zone: usize,
    /// Capacity in requests per second; zero if unknown, which counts as unlimited.
    pub capacity: f64,
}

/// A partner, the peak demand for it and the rules by which its messages spill.
#[derive(Clone, Debug)]
pub struct PartnerDemand {
    /// Name of the partner, as reported in [`crate::PartnerReport::partner`].
    pub name: String,
    /// Peak demand in messages per second, summed over all gateway instances.
    pub demand: f64,
    /// Priority weight of one message; scarce capacity goes to the partners with the greatest weight.
    pub priority_weight: f64,
    /// Sites in order of preference, the preferred one first.
    pub sites: Vec<Site>,
    /// Share of the messages for a lost site that may spill to the next one, from 0 to 1.
    pub spill_share: f64,
    /// Most messages per second that may spill; `None` if only the share limits them.
    pub spill_rate: Option<f64>,
}

/// A failure domain that contains sites of one or more partners.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Name of the zone, as reported in [`crate::OutageReport::zones`].
    pub name: String,
    /// Capacity in requests per second into the zone, shared by all partners; `None` if unlimited.
    pub capacity: Option<f64>,
}

/// The zones and partners for which capacity is planned.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// The zones; other items refer to them by index.
    pub zones: Vec<Zone>,
    /// The partners; reports list them in this order.
    pub partners: Vec<PartnerDemand>,
}
