//! Load balance scenarios, read from HCL. Times are in seconds, rates per second.

use crate::scenario::{
    classes, default_one, duration_from_secs, longest_retry_window, ClassSpec, RuleSpec, ScenarioError,
};
use cloverstile::{Class, Group};
use cloverstile_fakes::limit::{LimitKind, LimitSettings};
use cloverstile_fakes::model::ServerProfile;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A load balance scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadBalanceScenario {
    /// Gateways.
    #[serde(rename = "couriers")]
    pub instances: usize,
    /// Messages are submitted for so long; the run lasts until the rest is completed.
    pub seconds: f64,
    /// Messages a second from all clients together.
    pub rate: f64,
    /// Skew of the load of instances: instance n gets a share in proportion to `1 / (n + 1) ^ skew`.
    #[serde(default)]
    pub skew: f64,
    /// Share of all messages that the first instance gets beside its part.
    #[serde(default, rename = "hot")]
    pub hot_instance_share: f64,
    /// Concurrency limit of an instance, in requests in flight.
    #[serde(default = "default_concurrency_limit", rename = "call_slots")]
    pub concurrency_limit: usize,
    /// Most messages that an instance queues.
    #[serde(default = "default_max_queued", rename = "most_held")]
    pub max_queued: usize,
    /// One-way network delay: its least value and the mean of its random part, in milliseconds.
    #[serde(default = "default_network_delay_ms", rename = "way_ms")]
    pub network_delay_ms: [f64; 2],
    /// A new connection takes so much longer, in milliseconds.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: f64,
    /// An idle connection is closed after so long.
    #[serde(default = "default_connection_idle_timeout", rename = "conn_idle")]
    pub connection_idle_timeout: f64,
    /// Most age of the reports of limits and load, in milliseconds.
    #[serde(default = "default_report_interval_ms", rename = "report_ms")]
    pub report_interval_ms: f64,
    /// Length of the windows in which balance is measured.
    #[serde(default = "default_balance_window", rename = "window")]
    pub balance_window: f64,
    /// Class blocks, by name.
    pub class: BTreeMap<String, ClassSpec>,
    /// Partner blocks, by name.
    pub partner: BTreeMap<String, PartnerSpec>,
    /// Faults, by a descriptive name.
    #[serde(default)]
    #[serde(rename = "trouble")]
    pub faults: BTreeMap<String, LoadBalanceFaultSpec>,
    /// Parameters of the platform's rules.
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

/// A partner, or many that are alike.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerSpec {
    /// Number of equal ones.
    #[serde(default = "default_copies")]
    pub copies: usize,
    /// Share of the messages, of all copies together.
    pub share: f64,
    /// Its endpoints.
    pub endpoints: usize,
    /// Range of its endpoints' capacity factors, drawn uniformly on a logarithmic scale: a factor of two has
    /// twice the servers.
    #[serde(default = "default_capacity_factors", rename = "pace")]
    pub capacity_factors: [f64; 2],
    /// Each endpoint has a limit of its own, by its capacity factor, that the endpoint list states.
    #[serde(default, rename = "apart")]
    pub limit_per_endpoint: bool,
    /// Requests that an endpoint of capacity factor 1 serves concurrently.
    #[serde(default = "default_servers")]
    pub servers: usize,
    /// Calls that may wait at an endpoint.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Service time: its least value and the mean of its random part, in milliseconds.
    #[serde(default = "default_service_ms")]
    pub service_ms: [f64; 2],
    /// Calls a second that it takes from all instances together (where apart, all endpoints together).
    #[serde(default)]
    pub limit: Option<f64>,
    /// The limit is a count in each span of so many seconds; left out, a baseline rate.
    #[serde(default, rename = "span")]
    pub limit_window: Option<f64>,
    /// Refused calls use the limit up.
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

/// A fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadBalanceFaultSpec {
    /// `burst`, `limit`, `errors`, `silent`, `slow`, `slow-for`, `still`, `replace` or `restart`.
    pub kind: String,
    /// Beginning.
    pub at: f64,
    /// How long it lasts; of `replace`, how far the instances' hearing of it is spread.
    #[serde(default = "default_one", rename = "lasts")]
    pub duration: f64,
    /// Partners affected; all copies together. None: all.
    #[serde(default)]
    pub partner: Option<String>,
    /// A factor, or a share of the endpoints or instances.
    #[serde(default = "default_one", rename = "size")]
    pub magnitude: f64,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadBalanceFault {
    /// Traffic of all, or for one partner, is multiplied.
    TrafficBurst,
    /// Limits are multiplied.
    LimitChange,
    /// This share of each partner's endpoints answers errors at once.
    Errors,
    /// This share says nothing; cold afterwards.
    Silent,
    /// This share takes three times as long.
    Slow,
    /// The first endpoint of each partner is reached half a second later by this share of the instances.
    SlowPath,
    /// Reports of load and limits are frozen.
    FrozenReports,
    /// This share is replaced by cold ones.
    EndpointReplacement,
    /// This share of the instances is lost and starts again.
    InstanceRestart,
}

impl LoadBalanceFaultSpec {
    /// Its kind; none if the kind is not known.
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
/// If the text is not a scenario, or a block has a missing reference or a value that is not allowed.
pub fn read_load_balance_scenario(text: &str) -> Result<LoadBalanceScenario, ScenarioError> {
    let scenario: LoadBalanceScenario =
        hcl::from_str(text).map_err(|error| ScenarioError::Read(error.to_string()))?;
    scenario.validate()?;
    Ok(scenario)
}

impl LoadBalanceScenario {
    /// Validates the scenario; also for those that a program put together.
    ///
    /// # Errors
    /// If a block has a missing reference or a value that is not allowed.
    pub fn validate(&self) -> Result<(), ScenarioError> {
        let wrong = |block: &'static str, name: &str, what: &str| ScenarioError::Block {
            block,
            name: name.to_owned(),
            what: what.to_owned(),
        };
        for (name, value) in [("seconds", self.seconds), ("rate", self.rate), ("window", self.balance_window)]
        {
            if !(value > 0.0 && value.is_finite()) {
                return Err(ScenarioError::Read(format!("{name} must be above zero")));
            }
        }
        if self.instances == 0 || self.class.is_empty() || self.partner.is_empty() {
            return Err(ScenarioError::Read("there must be an instance, a class and a partner".into()));
        }
        if !(0.0..1.0).contains(&self.hot_instance_share) {
            return Err(ScenarioError::Read("hot must be from 0 to below 1".into()));
        }
        for (name, class) in &self.class {
            if !["safe", "keyed", "unsafe"].contains(&class.effect.as_str()) || class.ordered {
                return Err(wrong(
                    "class",
                    name,
                    "effect may be safe, keyed or unsafe, and none is in order",
                ));
            }
        }
        for (name, partner) in &self.partner {
            if partner.endpoints == 0 || partner.copies == 0 || partner.servers == 0 {
                return Err(wrong("partner", name, "copies, endpoints and servers must be above zero"));
            }
            if !(partner.capacity_factors[0] > 0.0
                && partner.capacity_factors[1] >= partner.capacity_factors[0])
            {
                return Err(wrong("partner", name, "pace must be two numbers above zero, the least first"));
            }
            if partner.limit.is_some_and(|limit| limit <= 0.0)
                || (partner.limit_per_endpoint && partner.limit.is_none())
            {
                return Err(wrong("partner", name, "limit must be above zero, and be there where apart"));
            }
        }
        for (name, fault) in &self.faults {
            if fault.fault_kind().is_none() {
                return Err(wrong("trouble", name, "this kind is not known"));
            }
            if fault.partner.as_ref().is_some_and(|partner| !self.partner.contains_key(partner)) {
                return Err(wrong("trouble", name, "there is no such partner"));
            }
        }
        Ok(())
    }

    /// The same scenario with another number of instances, each with the same load: traffic and limits are
    /// scaled with them.
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

    /// Share of each partner in the messages, copies one by one.
    pub fn partner_shares(&self) -> Vec<f64> {
        let shares = |p: &PartnerSpec| std::iter::repeat_n(p.share / p.copies as f64, p.copies);
        self.partner.values().flat_map(shares).collect()
    }

    /// Part of each instance in the messages.
    pub fn instance_loads(&self) -> Vec<f64> {
        let loads: Vec<f64> = (0..self.instances).map(|n| ((n + 1) as f64).powf(-self.skew)).collect();
        let all: f64 = loads.iter().sum();
        let own = |(n, load): (usize, &f64)| {
            load / all * (1.0 - self.hot_instance_share) + if n == 0 { self.hot_instance_share } else { 0.0 }
        };
        loads.iter().enumerate().map(own).collect()
    }

    /// Indices of the partners that a fault affects.
    pub fn affected_partners(&self, spec: &LoadBalanceFaultSpec) -> Vec<usize> {
        let mut first = 0;
        let mut affected_partners = Vec::new();
        for (name, partner) in &self.partner {
            if spec.partner.as_ref().is_none_or(|wanted| wanted == name) {
                affected_partners.extend(first..first + partner.copies);
            }
            first += partner.copies;
        }
        affected_partners
    }

    /// The classes as the gateways' settings state them, in the order of their names; all without order, and with
    /// repeats dropped at all endpoints.
    pub fn classes(&self) -> Vec<Class> {
        let load_balanced = |class| Class { group: Group::All, ordered: false, ..class };
        classes(&self.class).into_iter().map(load_balanced).collect()
    }

    /// The server profile of an endpoint of this capacity factor; without the limit of its partner.
    pub fn server_profile(&self, partner: &PartnerSpec, capacity_factor: f64) -> ServerProfile {
        ServerProfile {
            servers: ((partner.servers as f64 * capacity_factor).round() as usize).max(1),
            queue: partner.queue,
            min_service_time: duration_from_secs(partner.service_ms[0] / 1e3),
            mean_extra_service_time: duration_from_secs(partner.service_ms[1] / 1e3),
            limit: None,
            sends_retry_after: false,
            repeat_window: longest_retry_window(&self.class),
            initial_capacity_share: self.rules.warm_up_capacity,
            warm_up_time: duration_from_secs(self.rules.warm_up_time),
            collapse_multiple: self.rules.overload_multiple,
            collapse_window: duration_from_secs(self.rules.overload_window),
        }
    }

    /// Settings of a partner's limit of so many calls a second.
    pub fn limit_settings(&self, partner: &PartnerSpec, rate: f64) -> LimitSettings {
        LimitSettings {
            rate,
            kind: partner.limit_window.map_or(LimitKind::TokenBucket, |seconds| {
                LimitKind::FixedWindow(duration_from_secs(seconds))
            }),
            counts_rejected: partner.counts_rejected,
            refresh: duration_from_secs(self.report_interval_ms / 1e3),
        }
    }
}
