//! The settings of a fault scenario, as written in its HCL file.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A fault scenario. Times are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultScenario {
    /// Number of messages that the clients submit.
    pub messages: u32,
    /// Mean number of messages per second.
    pub rate: f64,
    /// Number of gateway processes.
    #[serde(rename = "couriers")]
    pub gateways: usize,
    /// Message classes by name.
    #[serde(rename = "class")]
    pub classes: BTreeMap<String, ClassSettings>,
    /// Partners by name.
    #[serde(rename = "partner")]
    pub partners: BTreeMap<String, PartnerSettings>,
    /// Faults by name; the name is only a label.
    #[serde(default, rename = "trouble")]
    pub faults: BTreeMap<String, FaultSettings>,
    /// Bounds that the invariants are checked against.
    #[serde(default)]
    pub rules: RuleSettings,
    /// Number of cryptography threads in each gateway.
    #[serde(default)]
    pub workers: usize,
    /// Share of the messages whose client drops its connection right after the submission.
    #[serde(default, rename = "drops")]
    pub dropped_connection_share: f64,
}

/// Figures of the invariants, and the warm-up and overload behaviour of partners. Times are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleSettings {
    /// An outcome may arrive this long after the deadline.
    pub answer_slack_ms: u64,
    /// New requests to a draining endpoint are tolerated for this long after the drain is announced.
    pub drain_grace_ms: u64,
    /// Least time between an attempt of unknown outcome and the next message of the same order key.
    pub order_settle_ms: u64,
    /// Share of its full capacity that a partner has at the start of its recovery.
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    /// Time from the start of the recovery until the partner has its full capacity.
    #[serde(rename = "cold_ms")]
    pub warm_up_ms: u64,
    /// A partner collapses if it gets more than this multiple of its current capacity ...
    #[serde(rename = "tip_multiple")]
    pub overload_multiple: f64,
    /// ... within this time.
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

/// A message class. Times are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Weight with which messages are drawn from this class.
    pub share: f64,
    /// Effect of a repeated request: `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// Scope in which a partner drops repeated requests: `all` its endpoints together, or each `zone` separately.
    #[serde(default = "default_group")]
    pub group: String,
    /// Whether messages of one order key are delivered in order.
    #[serde(default, rename = "in_order")]
    pub ordered: bool,
    /// Number of distinct order keys, for ordered classes.
    #[serde(default = "default_keys")]
    pub keys: u32,
    /// Target time from submission to delivery.
    #[serde(rename = "aim")]
    pub latency_objective: f64,
    /// Time from submission until the message expires.
    pub deadline: f64,
    /// Time after the first request during which a keyed message may be sent again.
    #[serde(default, rename = "window")]
    pub retry_window: f64,
    /// Weight of a message that is delivered in time, relative to other classes.
    #[serde(default = "one", rename = "worth")]
    pub priority_weight: f64,
}

/// A partner and the behaviour of its fake servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerSettings {
    /// Weight with which messages are drawn for this partner.
    pub share: f64,
    /// Number of endpoints, if `zones` is empty.
    #[serde(default = "default_endpoints")]
    pub endpoints: usize,
    /// Number of requests served concurrently.
    pub servers: usize,
    /// Number of requests that may wait for a server.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Minimum service time and mean of the random extra time, in milliseconds.
    #[serde(default = "default_service_ms")]
    pub service_ms: [u64; 2],
    /// Rate limit in requests per second, shared by all gateways.
    #[serde(default)]
    pub limit: Option<f64>,
    /// Whether rejections carry `Retry-After`.
    #[serde(default, rename = "tells_wait")]
    pub sends_retry_after: bool,
    /// Whether the partner has an RSA key, so that content is encrypted for it.
    #[serde(default)]
    pub encrypted: bool,
    /// Whether the partner sends its receipts asynchronously, on separate connections.
    #[serde(default)]
    pub deferred: bool,
    /// Whether the gateways are configured with a certificate that is not the partner's own.
    #[serde(default, rename = "mismatched")]
    pub certificate_mismatch: bool,
    /// Zone of each endpoint; all are in zone 0 if empty. Each zone drops repeated requests independently.
    #[serde(default)]
    pub zones: Vec<usize>,
    /// If set, the zones are failover tiers in order, and this share spills to the next tier when one is lost.
    #[serde(default)]
    pub spill_share: Option<f64>,
    /// Time for which the partner drops repeated requests, in seconds; should exceed the retry window of every class.
    #[serde(default = "default_deduplication_s", rename = "repeats_s")]
    pub deduplication_s: f64,
    /// Batch size: number of messages in one request.
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
    /// The zone of each endpoint, with the default applied.
    pub fn endpoint_zones(&self) -> Vec<usize> {
        if self.zones.is_empty() {
            vec![0; self.endpoints]
        } else {
            self.zones.clone()
        }
    }

    /// Whether the endpoints are in more than one zone.
    pub(super) fn has_several_zones(&self) -> bool {
        let zones = self.endpoint_zones();
        zones.iter().any(|zone| *zone != zones[0])
    }
}

/// A fault block of a scenario. Times are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSettings {
    /// Time at which the fault begins, before the random delay of up to `jitter`.
    pub at: f64,
    /// Length of the fault.
    #[serde(default = "one", rename = "lasts")]
    pub duration: f64,
    /// Upper bound of the random delay that is added to `at`.
    #[serde(default, rename = "sway")]
    pub jitter: f64,
    /// Name of the affected partner.
    #[serde(default)]
    pub partner: Option<String>,
    /// Affected zone of the partner; all zones if not set.
    #[serde(default)]
    pub zone: Option<usize>,
    /// Number of the endpoint that drains, for faults of kind `drain`.
    #[serde(default)]
    pub endpoint: usize,
    /// Number of the affected gateway.
    #[serde(default, rename = "courier")]
    pub gateway: Option<usize>,
    /// `silent`, `lose-answers`, `refuse`, `reset`, `late`, `errors`, `shut`, `slow`, `reap`, `frail`, `wrong-mic`,
    /// `wrong-signer`, `twice`, `late-receipts`, `drain`, `kill`, `stop` or `burst`.
    pub kind: String,
    /// Severity of the fault: a share, a factor or a number of seconds, depending on the kind.
    #[serde(default = "one")]
    pub size: f64,
}
