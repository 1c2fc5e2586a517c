//! Load balance scenarios, read from HCL. Times are in seconds, rates per second.

use crate::scenario::{
    classes, default_one, duration_from_secs, longest_retry_window, ClassSpec, RuleSpec, ScenarioError,
};
use cloverstile::{Class, Group};
use cloverstile_fakes::limit::{LimitKind, LimitSettings};
use cloverstile_fakes::model::ServerProfile;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A load balance scenario: instances, traffic, partners and faults.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadBalanceScenario {
    /// Number of gateway instances.
    #[serde(rename = "couriers")]
    pub instances: usize,
    /// Time during which messages are submitted. The run continues until the remaining messages are completed.
    pub seconds: f64,
    /// Messages per second from all clients together.
    pub rate: f64,
    /// Skew of the load among instances: the share of instance n, counted from 0, is proportional to
    /// `1 / (n + 1) ^ skew`.
    #[serde(default)]
    pub skew: f64,
    /// Share of all messages, from 0 to below 1, that goes to the first instance on top of its share of the rest.
    #[serde(default, rename = "hot")]
    pub hot_instance_share: f64,
    /// Most requests that an instance has in flight.
    #[serde(default = "default_concurrency_limit", rename = "call_slots")]
    pub concurrency_limit: usize,
    /// Most messages that an instance queues.
    #[serde(default = "default_max_queued", rename = "most_held")]
    pub max_queued: usize,
    /// One-way network delay, in milliseconds: its minimum, and the mean of the random part added to it.
    #[serde(default = "default_network_delay_ms", rename = "way_ms")]
    pub network_delay_ms: [f64; 2],
    /// Extra delay of a request that opens a new connection, in milliseconds.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: f64,
    /// Time after which an idle connection is closed.
    #[serde(default = "default_connection_idle_timeout", rename = "conn_idle")]
    pub connection_idle_timeout: f64,
    /// Interval at which reports of limits and load are refreshed, and so their maximum age, in milliseconds.
    #[serde(default = "default_report_interval_ms", rename = "report_ms")]
    pub report_interval_ms: f64,
    /// Length of the windows over which load balance is measured.
    #[serde(default = "default_balance_window", rename = "window")]
    pub balance_window: f64,
    /// Message classes, by name.
    pub class: BTreeMap<String, ClassSpec>,
    /// Partners, by name.
    pub partner: BTreeMap<String, PartnerSpec>,
    /// Faults, by a descriptive name.
    #[serde(default)]
    #[serde(rename = "trouble")]
    pub faults: BTreeMap<String, LoadBalanceFaultSpec>,
    /// Parameters of the platform's rules, such as the drain grace period and slow start.
    #[serde(default)]
    pub rules: RuleSpec,
}

fn default_concurrency_limit() -> usize {
    6
}

fn default_max_queued() -> usize {
    24
}

fn default_network_delay_ms() -> [f64; 2] {
    [0.4, 0.4]
}

fn default_connect_ms() -> f64 {
    5.0
}

fn default_connection_idle_timeout() -> f64 {
    10.0
}

fn default_report_interval_ms() -> f64 {
    500.0
}

fn default_balance_window() -> f64 {
    10.0
}

/// A partner, or several with the same settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerSpec {
    /// Number of partners with these settings.
    #[serde(default = "default_copies")]
    pub copies: usize,
    /// Relative share of the messages for all copies together.
    pub share: f64,
    /// Number of endpoints of each copy.
    pub endpoints: usize,
    /// Range of the capacity factors of the endpoints, drawn uniformly on a logarithmic scale. An endpoint of factor 2
    /// has twice the servers.
    #[serde(default = "default_capacity_factors", rename = "pace")]
    pub capacity_factors: [f64; 2],
    /// Each endpoint has its own rate limit, in proportion to its capacity factor and stated in the endpoint list;
    /// otherwise all endpoints share one limit.
    #[serde(default, rename = "apart")]
    pub limit_per_endpoint: bool,
    /// Requests that an endpoint of capacity factor 1 serves concurrently.
    #[serde(default = "default_servers")]
    pub servers: usize,
    /// Most requests that wait in the queue of an endpoint.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Service time, in milliseconds: its minimum, and the mean of the random part added to it.
    #[serde(default = "default_service_ms")]
    pub service_ms: [f64; 2],
    /// Rate limit, in requests per second from all instances together. With a limit per endpoint, the sum of those.
    #[serde(default)]
    pub limit: Option<f64>,
    /// Length of the fixed window in which the limit counts requests, in seconds; without it, the limit is a token
    /// bucket.
    #[serde(default, rename = "span")]
    pub limit_window: Option<f64>,
    /// Rejected requests count against the limit.
    #[serde(default, rename = "refused_count")]
    pub counts_rejected: bool,
    /// Rejections carry a `Retry-After`.
    #[serde(default, rename = "tells_wait")]
    pub sends_retry_after: bool,
    /// Responses do not advertise the limit.
    #[serde(default, rename = "silent")]
    pub hides_limit: bool,
}

fn default_copies() -> usize {
    1
}

fn default_capacity_factors() -> [f64; 2] {
    [1.0, 1.0]
}

fn default_servers() -> usize {
    4
}

fn default_queue() -> usize {
    20
}

fn default_service_ms() -> [f64; 2] {
    [10.0, 20.0]
}

/// A fault, its period and what it affects.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadBalanceFaultSpec {
    /// `burst`, `limit`, `errors`, `silent`, `slow`, `slow-for`, `still`, `replace` or `restart`.
    pub kind: String,
    /// Time at which it begins.
    pub at: f64,
    /// How long it lasts. For `replace`, the period over which the instances receive the new endpoint list.
    #[serde(default = "default_one", rename = "lasts")]
    pub duration: f64,
    /// Name of the affected partner, including all its copies; all partners if absent.
    #[serde(default)]
    pub partner: Option<String>,
    /// Depends on the kind: a factor of traffic or limits, or the affected share of the endpoints or instances.
    #[serde(default = "default_one", rename = "size")]
    pub magnitude: f64,
}

/// Kind of a fault. A share or factor is the magnitude of the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadBalanceFault {
    /// The traffic for the affected partners is multiplied.
    TrafficBurst,
    /// The rate limits of the affected partners are multiplied.
    LimitChange,
    /// A share of each partner's endpoints responds with an error at once.
    Errors,
    /// A share of each partner's endpoints does not respond, and has to warm up afterwards.
    Silent,
    /// A share of each partner's endpoints takes three times as long.
    Slow,
    /// Requests from a share of the instances reach the first endpoint of each partner half a second later.
    SlowPath,
    /// Reports of load and limits are no longer refreshed.
    FrozenReports,
    /// A share of each partner's endpoints is replaced by new ones that have to warm up.
    EndpointReplacement,
    /// A share of the instances crashes and restarts without its state.
    InstanceRestart,
}

impl LoadBalanceFaultSpec {
    /// Parses the kind; `None` if it is unknown.
    pub fn fault_kind(&self) -> Option<LoadBalanceFault> {
        Some(match self.kind.as_str() {
            "burst" => LoadBalanceFault::TrafficBurst,
            "limit" => LoadBalanceFault::LimitChange,
            "errors" => LoadBalanceFault::Errors,
            "silent" => LoadBalanceFault::Silent,
            "slow" => LoadBalanceFault::Slow,
            "slow-for" => LoadBalanceFault::SlowPath,
            "still" => LoadBalanceFault::FrozenReports,
            "replace" => LoadBalanceFault::EndpointReplacement,
            "restart" => LoadBalanceFault::InstanceRestart,
            _ => return None,
        })
    }
}

/// Reads and validates a load balance scenario.
///
/// # Errors
/// If the text is not a scenario, or a block refers to a missing partner or has an invalid value.
pub fn read_load_balance_scenario(text: &str) -> Result<LoadBalanceScenario, ScenarioError> {
    let scenario: LoadBalanceScenario =
        hcl::from_str(text).map_err(|error| ScenarioError::Read(error.to_string()))?;
    scenario.validate()?;
    Ok(scenario)
}

impl LoadBalanceScenario {
    /// Validates the scenario. Needed only for scenarios built in code: reading one validates it.
    ///
    /// # Errors
    /// If a block refers to a missing partner or has an invalid value.
    pub fn validate(&self) -> Result<(), ScenarioError> {
        let invalid = |block: &'static str, name: &str, what: &str| ScenarioError::Block {
            block,
            name: name.to_owned(),
            reason: what.to_owned(),
        };
        for (name, value) in [("seconds", self.seconds), ("rate", self.rate), ("window", self.balance_window)]
        {
            if !(value > 0.0 && value.is_finite()) {
                return Err(ScenarioError::Read(format!("{name} must be above zero")));
            }
        }
        if self.instances == 0 || self.class.is_empty() || self.partner.is_empty() {
            return Err(ScenarioError::Read("at least one instance, class and partner are required".into()));
        }
        if !(0.0..1.0).contains(&self.hot_instance_share) {
            return Err(ScenarioError::Read("hot must be at least 0 and below 1".into()));
        }
        for (name, class) in &self.class {
            if !["safe", "keyed", "unsafe"].contains(&class.effect.as_str()) || class.ordered {
                return Err(invalid(
                    "class",
                    name,
                    "effect must be safe, keyed or unsafe; in_order is not supported",
                ));
            }
        }
        for (name, partner) in &self.partner {
            if partner.endpoints == 0 || partner.copies == 0 || partner.servers == 0 {
                return Err(invalid("partner", name, "copies, endpoints and servers must be above zero"));
            }
            if !(partner.capacity_factors[0] > 0.0
                && partner.capacity_factors[1] >= partner.capacity_factors[0])
            {
                return Err(invalid(
                    "partner",
                    name,
                    "pace must be two numbers above zero, the smaller one first",
                ));
            }
            if partner.limit.is_some_and(|limit| limit <= 0.0)
                || (partner.limit_per_endpoint && partner.limit.is_none())
            {
                return Err(invalid("partner", name, "limit must be above zero, and is required with apart"));
            }
        }
        for (name, fault) in &self.faults {
            if fault.fault_kind().is_none() {
                return Err(invalid("trouble", name, "unknown kind of fault"));
            }
            if fault.partner.as_ref().is_some_and(|partner| !self.partner.contains_key(partner)) {
                return Err(invalid("trouble", name, "the partner does not exist"));
            }
        }
        Ok(())
    }

    /// The same scenario with another number of instances at the same load per instance: traffic, limits and servers
    /// are scaled in proportion.
    pub fn scaled(mut self, instances: usize) -> LoadBalanceScenario {
        let factor = instances as f64 / self.instances.max(1) as f64;
        self.instances = instances;
        self.rate *= factor;
        for partner in self.partner.values_mut() {
            partner.limit = partner.limit.map(|limit| limit * factor);
            partner.servers = ((partner.servers as f64 * factor).ceil() as usize).max(1);
        }
        self
    }

    /// Relative share of the messages for each partner; each copy has its own entry.
    pub fn partner_shares(&self) -> Vec<f64> {
        let shares = |p: &PartnerSpec| std::iter::repeat_n(p.share / p.copies as f64, p.copies);
        self.partner.values().flat_map(shares).collect()
    }

    /// Share of the messages that each instance gets; they add up to 1.
    pub fn instance_loads(&self) -> Vec<f64> {
        let loads: Vec<f64> = (0..self.instances).map(|n| ((n + 1) as f64).powf(-self.skew)).collect();
        let total: f64 = loads.iter().sum();
        let share = |(n, load): (usize, &f64)| {
            load / total * (1.0 - self.hot_instance_share)
                + if n == 0 { self.hot_instance_share } else { 0.0 }
        };
        loads.iter().enumerate().map(share).collect()
    }

    /// Indices of the partners that a fault affects; each copy has its own index.
    pub fn affected_partners(&self, spec: &LoadBalanceFaultSpec) -> Vec<usize> {
        let mut first_index = 0;
        let mut affected_partners = Vec::new();
        for (name, partner) in &self.partner {
            if spec.partner.as_ref().is_none_or(|affected| affected == name) {
                affected_partners.extend(first_index..first_index + partner.copies);
            }
            first_index += partner.copies;
        }
        affected_partners
    }

    /// The classes as gateway settings, sorted by name. Messages are unordered, and duplicates are dropped across all
    /// endpoints of a partner.
    pub fn classes(&self) -> Vec<Class> {
        let unordered = |class| Class { group: Group::All, ordered: false, ..class };
        classes(&self.class).into_iter().map(unordered).collect()
    }

    /// The server profile of an endpoint with this capacity factor. Excludes the partner's limit, which
    /// [`Self::limit_settings`] describes.
    pub fn server_profile(&self, partner: &PartnerSpec, capacity_factor: f64) -> ServerProfile {
        ServerProfile {
            servers: ((partner.servers as f64 * capacity_factor).round() as usize).max(1),
            queue: partner.queue,
            min_service_time: duration_from_secs(partner.service_ms[0] / 1e3),
            mean_extra_service_time: duration_from_secs(partner.service_ms[1] / 1e3),
            rate_limit: None,
            sends_retry_after: false,
            deduplication_window: longest_retry_window(&self.class),
            initial_capacity_share: self.rules.warm_up_capacity,
            warm_up_time: duration_from_secs(self.rules.warm_up_time),
            collapse_multiple: self.rules.overload_multiple,
            collapse_window: duration_from_secs(self.rules.overload_window),
        }
    }

    /// Settings of a partner's rate limit, for a rate in requests per second.
    pub fn limit_settings(&self, partner: &PartnerSpec, rate: f64) -> LimitSettings {
        LimitSettings {
            rate,
            kind: partner.limit_window.map_or(LimitKind::TokenBucket, |seconds| {
                LimitKind::FixedWindow(duration_from_secs(seconds))
            }),
            counts_rejected: partner.counts_rejected,
            refresh_interval: duration_from_secs(self.report_interval_ms / 1e3),
        }
    }
}
