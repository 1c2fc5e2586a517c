//! The input of capacity planning: zones, partners, their sites and the demand for them.

/// A partner's site.
#[derive(Clone, Debug)]
pub struct Site {
    /// Index in [`Network::zones`].
    pub zone: usize,
    /// Requests a second that it takes; zero where unknown, which counts as unlimited.
    pub capacity: f64,
}

/// A partner and the demand for it.
#[derive(Clone, Debug)]
pub struct PartnerDemand {
    /// The partner's name.
    pub name: String,
    /// Messages a second, from all gateway instances, at the busiest time.
    pub demand: f64,
    /// Priority weight of one message.
    pub priority_weight: f64,
    /// Its sites, the preferred one first.
    pub sites: Vec<Site>,
    /// Share of the messages for a lost site that may go to the next one, from 0 to 1.
    pub spill_share: f64,
    /// Messages a second that may spill; none: the share alone limits.
    pub spill_rate: Option<f64>,
}

/// A zone.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Requests a second into it, for all partners together; none: unlimited.
    pub capacity: Option<f64>,
}

/// All zones and partners.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// All zones.
    pub zones: Vec<Zone>,
    /// All partners.
    pub partners: Vec<PartnerDemand>,
}
