//! Specification of a test cluster.

use cloverstile_as2::NewKey;
use cloverstile_fakes::model::ServerProfile;
use std::time::Duration;

/// A fake partner: its simulated servers, endpoints and AS2 options.
#[derive(Clone, Debug)]
pub struct PartnerSpec {
    /// Name in the settings, which is also its AS2 name.
    pub name: String,
    /// Name of the partner's `kind` in the settings.
    pub kind: String,
    /// Simulated behaviour of the partner's servers.
    pub profile: ServerProfile,
    /// Zone number of each endpoint; its length is the number of endpoints.
    pub zones: Vec<usize>,
    /// Type of the partner's key. Messages are encrypted for the partner unless it is P-256.
    pub key: NewKey,
    /// Whether the partner sends asynchronous receipts.
    pub async_receipts: bool,
    /// Whether the gateways have a certificate that does not match the partner's key.
    pub certificate_mismatch: bool,
    /// Share of the messages for a lost tier that may spill over to the next one. Each of the partner's zones is a
    /// tier, in ascending order. None: no failover between tiers.
    pub spill_share: Option<f64>,
}

/// A class of messages, with the policy that the gateways apply to it.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// Name in the settings.
    pub name: String,
    /// Effect: `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// Group: `all` or `zone`.
    pub group: String,
    /// Whether messages with the same order key are delivered in order.
    pub ordered: bool,
    /// Latency objective, written in whole milliseconds.
    pub latency_objective: Duration,
    /// Time from submission to the deadline, written in whole milliseconds.
    pub deadline: Duration,
    /// How long partners recognize and drop repeated messages; for keyed classes.
    pub repeat_window: Duration,
    /// Priority weight relative to the other classes.
    pub priority_weight: f64,
}

/// Gateways, clients, partners and classes of a test cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Number of gateway instances.
    pub gateways: usize,
    /// Number of clients, each with its own identity.
    pub clients: usize,
    /// Fake partners that the gateways deliver to.
    pub partners: Vec<PartnerSpec>,
    /// Classes of the messages that clients submit.
    pub classes: Vec<ClassSpec>,
    /// Number of zones, over which the gateways are distributed in turn.
    pub zones: usize,
    /// Additional lines for the block `courier` of the settings.
    pub gateway_settings: String,
    /// HCL text of the blocks `rules` and `kind` of the settings.
    pub rule_and_kind_blocks: String,
}

/// AS2 name of the gateway instance with this number, counted from 0.
pub fn gateway_name(number: usize) -> String {
    format!("courier-{number}")
}
