//! The settings of a fault scenario, in the form of its HCL.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A fault scenario. Times are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultScenario {
    /// Number of messages.
    pub messages: u32,
    /// Messages a second on the mean.
    pub rate: f64,
    /// Number of gateways.
    #[serde(rename = "couriers")]
    pub gateways: usize,
    /// Message classes by name.
    #[serde(rename = "class")]
    pub classes: BTreeMap<String, ClassSettings>,
    /// Partners by name.
    #[serde(rename = "partner")]
    pub partners: BTreeMap<String, PartnerSettings>,
    /// Faults by a name for people.
    #[serde(default, rename = "trouble")]
    pub faults: BTreeMap<String, FaultSettings>,
    /// Figures of the invariants.
    #[serde(default)]
    pub rules: RuleSettings,
    /// Threads for cryptography in each gateway.
    #[serde(default)]
    pub workers: usize,
    /// Share of the messages whose client drops its connection right after the submission.
    #[serde(default, rename = "drops")]
    pub dropped_connection_share: f64,
}

/// Figures of the invariants, in milliseconds where they are times.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleSettings {
    /// A final answer counts as in time until this long after the deadline.
    pub answer_slack_ms: u64,
    /// Nothing new may be sent to a draining endpoint this long after the drain was announced.
    pub drain_grace_ms: u64,
    /// Cooldown of a key after an attempt of unknown outcome.
    pub order_settle_ms: u64,
    /// Share of its capacity with which a partner recovers ...
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    /// ... and the time after which it has all of it.
    #[serde(rename = "cold_ms")]
    pub warm_up_ms: u64,
    /// Sent more than this multiple of its present capacity ...
    #[serde(rename = "tip_multiple")]
    pub overload_multiple: f64,
    /// ... over this time, a partner collapses.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: u64,
}

impl Default for RuleSettings {
    fn default() -> Self {
        RuleSettings {
            answer_slack_ms: 500,
            drain_grace_ms: 1000,
            order_settle_ms: 100,
            initial_capacity_share: 0.25,
            warm_up_ms: 4000,
            overload_multiple: 2.0,
            overload_window_ms: 1000,
        }
    }
}

/// A class of messages. Times are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Share of the messages.
    pub share: f64,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// Where repeats are dropped: `all` or `zone`.
    #[serde(default = "default_group")]
    pub group: String,
    /// Messages of one key are delivered in order.
    #[serde(default, rename = "in_order")]
    pub ordered: bool,
    /// Number of keys, for ordered classes.
    #[serde(default = "default_keys")]
    pub keys: u32,
    /// Delivery is wanted within this time.
    #[serde(rename = "aim")]
    pub latency_objective: f64,
    /// The message expires after this time.
    pub deadline: f64,
    /// Repeats are dropped for this long.
    #[serde(default, rename = "window")]
    pub retry_window: f64,
    /// Value of a message that is delivered in time.
    #[serde(default = "one", rename = "worth")]
    pub priority_weight: f64,
}

/// A partner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerSettings {
    /// Share of the messages.
    pub share: f64,
    /// Number of endpoints.
    #[serde(default = "default_endpoints")]
    pub endpoints: usize,
    /// Requests served at once.
    pub servers: usize,
    /// Requests that may wait.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Least time of a request and the mean of what chance adds, in milliseconds.
    #[serde(default = "default_service_ms")]
    pub service_ms: [u64; 2],
    /// Requests a second from all gateways together.
    #[serde(default)]
    pub limit: Option<f64>,
    /// Rejections carry `Retry-After`.
    #[serde(default, rename = "tells_wait")]
    pub sends_retry_after: bool,
    /// Has an RSA key, so that content is encrypted for it.
    #[serde(default)]
    pub encrypted: bool,
    /// Sends its receipts on connections of their own.
    #[serde(default)]
    pub deferred: bool,
    /// The gateways hold another certificate than its own.
    #[serde(default, rename = "mismatched")]
    pub certificate_mismatch: bool,
    /// Zone of each endpoint; all in the first one where left out. Each zone drops repeats by itself.
    #[serde(default)]
    pub zones: Vec<usize>,
    /// Its zones are failover tiers in their order, and this share spills to the next where one is lost.
    #[serde(default)]
    pub spill_share: Option<f64>,
    /// It drops repeats for this long, in seconds; longer than any class's window.
    #[serde(default = "default_deduplication_s", rename = "repeats_s")]
    pub deduplication_s: f64,
    /// Messages in one request.
    #[serde(default = "default_batch")]
    pub batch: u32,
}

fn one() -> f64 {
    1.0
}

fn default_group() -> String {
    "all".into()
}

fn default_keys() -> u32 {
    200
}

fn default_endpoints() -> usize {
    2
}

fn default_queue() -> usize {
    40
}

fn default_service_ms() -> [u64; 2] {
    [8, 12]
}

fn default_deduplication_s() -> f64 {
    60.0
}

fn default_batch() -> u32 {
    1
}

impl PartnerSettings {
    /// Zone of each endpoint.
    pub fn endpoint_zones(&self) -> Vec<usize> {
        if self.zones.is_empty() {
            vec![0; self.endpoints]
        } else {
            self.zones.clone()
        }
    }

    /// Whether its endpoints are not all in one zone.
    pub(super) fn has_several_zones(&self) -> bool {
        let zones = self.endpoint_zones();
        zones.iter().any(|zone| *zone != zones[0])
    }
}

/// A fault, as a scenario states it. Times are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSettings {
    /// When it begins; moved by chance within `jitter`.
    pub at: f64,
    /// How long it lasts.
    #[serde(default = "one", rename = "lasts")]
    pub duration: f64,
    /// Seconds by which chance may delay its beginning.
    #[serde(default, rename = "sway")]
    pub jitter: f64,
    /// Affected partner.
    #[serde(default)]
    pub partner: Option<String>,
    /// Affected zone of the partner; all of them where left out.
    #[serde(default)]
    pub zone: Option<usize>,
    /// Endpoint of the partner, for drains.
    #[serde(default)]
    pub endpoint: usize,
    /// Affected gateway.
    #[serde(default, rename = "courier")]
    pub gateway: Option<usize>,
    /// `silent`, `lose-answers`, `refuse`, `reset`, `late`, `errors`, `shut`, `slow`, `reap`, `frail`, `wrong-mic`,
    /// `wrong-signer`, `twice`, `late-receipts`, `drain`, `kill`, `stop` or `burst`.
    pub kind: String,
    /// How much: a share, a factor, or seconds.
    #[serde(default = "one")]
    pub size: f64,
}
