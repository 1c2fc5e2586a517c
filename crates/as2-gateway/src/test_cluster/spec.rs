//! What a test cluster consists of.

use cloverstile_as2::NewKey;
use cloverstile_fakes::model::ServerProfile;
use std::time::Duration;

/// A partner of the test cluster.
#[derive(Clone, Debug)]
pub struct PartnerSpec {
    /// Name.
    pub name: String,
    /// Kind of endpoints, by its name in the settings.
    pub kind: String,
    /// Simulated behaviour of its servers.
    pub profile: ServerProfile,
    /// Zone of each endpoint.
    pub zones: Vec<usize>,
    /// Kind of its key; content is encrypted for it where that is RSA.
    pub key: NewKey,
    /// Whether its receipts are asynchronous.
    pub async_receipts: bool,
    /// Whether the gateways hold another certificate than its own.
    pub certificate_mismatch: bool,
    /// Share that may spill to the next tier, with its zones as tiers in order; none: no failover between tiers.
    pub spill_share: Option<f64>,
}

/// A class of messages of the test cluster.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// Name.
    pub name: String,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// `all` or `zone`.
    pub group: String,
    /// Whether messages of one order key are delivered in order.
    pub ordered: bool,
    /// Latency objective.
    pub latency_objective: Duration,
    /// Time after which a message expires.
    pub deadline: Duration,
    /// Time in which partners drop repeats, for keyed classes.
    pub repeat_window: Duration,
    /// Priority weight.
    pub priority_weight: f64,
}

/// Gateways, clients, partners and classes of a test cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Number of gateway instances.
    pub gateways: usize,
    /// Number of client programs.
    pub clients: usize,
    /// Partners.
    pub partners: Vec<PartnerSpec>,
    /// Classes.
    pub classes: Vec<ClassSpec>,
    /// Number of zones.
    pub zones: usize,
    /// Further lines for the block `courier` of the settings.
    pub gateway_settings: String,
    /// The blocks `rules` and `kind` of the settings.
    pub rule_and_kind_blocks: String,
}

/// AS2 name of a gateway instance.
pub fn gateway_name(number: usize) -> String {
    format!("courier-{number}")
}
