//! Failover scenarios in HCL: gateway instances, destinations, classes and faults. Times are in seconds unless a
//! name says otherwise, rates are per second.

use crate::scenario::{
    default_one, duration_from_secs, longest_retry_window, ClassSpec, RuleSpec, ScenarioError,
};
use cloverstile_fakes::model::{Fault, ServerProfile};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Contents of a failover scenario file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailoverScenario {
    /// Number of gateway instances.
    #[serde(rename = "couriers")]
    pub instances: usize,
    /// Time during which messages are submitted; the run continues until the last deadline has passed.
    pub seconds: f64,
    /// Mean number of messages per second of all clients together.
    pub rate: f64,
    /// Skew of the load over the instances: instance n, from 0, gets a share proportional to `1 / (n + 1) ^ skew`.
    #[serde(default)]
    pub skew: f64,
    /// Most requests in flight per instance.
    #[serde(default = "default_concurrency_limit", rename = "call_slots")]
    pub concurrency_limit: usize,
    /// Most messages in the queue of an instance.
    #[serde(default = "default_max_queued", rename = "most_held")]
    pub max_queued: usize,
    /// One-way network delay in milliseconds: minimum, and mean of the exponential part added to it.
    #[serde(default = "default_network_delay_ms", rename = "way_ms")]
    pub network_delay_ms: [f64; 2],
    /// Message classes, by name.
    #[serde(rename = "class")]
    pub classes: BTreeMap<String, ClassSpec>,
    /// Destinations, by name.
    #[serde(rename = "bank")]
    pub destinations: BTreeMap<String, DestinationSpec>,
    /// Faults, by a descriptive name.
    #[serde(default)]
    #[serde(rename = "trouble")]
    pub faults: BTreeMap<String, FailoverFaultSpec>,
    /// Parameters of the platform's rules.
    #[serde(default)]
    pub rules: RuleSpec,
}

fn default_concurrency_limit() -> usize {
    32
}

fn default_max_queued() -> usize {
    4000
}

fn default_network_delay_ms() -> [f64; 2] {
    [0.5, 0.5]
}

/// Destination block of a scenario; stands for one or more identical destinations.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DestinationSpec {
    /// Number of identical destinations.
    #[serde(default = "default_count")]
    pub copies: usize,
    /// Weight among all messages, for all copies together; the weights need not add up to 1.
    #[serde(default = "default_one")]
    pub share: f64,
    /// Share of the messages for a tier that is down which may spill to the next tier, from 0 to 1.
    #[serde(default)]
    pub spill_share: f64,
    /// Most messages per second of all instances together that may spill; `None` if only the share limits them.
    #[serde(default)]
    pub spill_rate: Option<f64>,
    /// Minimum time without a response before a tier counts as down.
    #[serde(default = "default_one", rename = "lost_after")]
    pub down_after: f64,
    /// Time from the first response of a tier that was down until its messages no longer spill.
    #[serde(default = "default_recovery_ramp", rename = "ramp")]
    pub recovery_ramp: f64,
    /// Sites by name, each in a tier of its own.
    #[serde(rename = "site")]
    pub sites: BTreeMap<String, SiteSpec>,
}

fn default_count() -> usize {
    1
}

fn default_recovery_ramp() -> f64 {
    10.0
}

/// Site block of a destination.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSpec {
    /// Tier in the destination's order of preference, from 0; unique within the destination.
    pub tier: usize,
    /// Zone name, shared by all sites that state the same one. `None` puts the sites of this block, in all copies of
    /// the destination, into a zone of their own.
    #[serde(default)]
    pub zone: Option<String>,
    /// Number of endpoints of the site.
    #[serde(default = "default_endpoints")]
    pub endpoints: usize,
    /// Number of requests that the site serves concurrently.
    pub servers: usize,
    /// Number of requests that may wait for a server.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// Service time in milliseconds: minimum, and mean of the exponential part added to it.
    #[serde(default = "default_service_ms")]
    pub service_ms: [f64; 2],
    /// Rate limit for all instances together, in requests per second; `None` for no limit.
    #[serde(default, rename = "limit")]
    pub rate_limit: Option<f64>,
    /// Whether rejections carry `Retry-After`.
    #[serde(default, rename = "tells_wait")]
    pub sends_retry_after: bool,
}

fn default_endpoints() -> usize {
    2
}

fn default_queue() -> usize {
    40
}

fn default_service_ms() -> [f64; 2] {
    [8.0, 12.0]
}

/// Fault block of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailoverFaultSpec {
    /// Start of the first occurrence, before the random delay of up to `jitter`.
    pub at: f64,
    /// Duration of each occurrence.
    #[serde(default = "default_one", rename = "lasts")]
    pub duration: f64,
    /// Upper bound of the random delay, drawn once and added to the start of every occurrence.
    #[serde(default, rename = "sway")]
    pub jitter: f64,
    /// Number of occurrences.
    #[serde(default = "default_occurrences", rename = "times")]
    pub occurrences: u32,
    /// Time from the start of one occurrence to the start of the next.
    #[serde(default, rename = "every")]
    pub interval: f64,
    /// Name of the affected destination, in all its copies; `None` affects every destination that has the tier.
    #[serde(default)]
    #[serde(rename = "bank")]
    pub destination: Option<String>,
    /// Affected tier.
    #[serde(default)]
    pub tier: usize,
    /// Number of endpoints of each site that `part` and `drain` affect.
    #[serde(default = "default_count")]
    pub endpoints: usize,
    /// Number of gateway instances that `restart` affects, starting with the first.
    #[serde(default = "default_count")]
    #[serde(rename = "couriers")]
    pub instances: usize,
    /// A fault of a partner (`refuse`, `silent`, `reset`, `slow` ...), `part` (some endpoints refuse
    /// connections), `drain`, `restart` or `burst`.
    pub kind: String,
    /// Magnitude of the fault: a share, a factor, a rate or seconds, depending on `kind`.
    #[serde(default = "default_one", rename = "size")]
    pub magnitude: f64,
}

fn default_occurrences() -> u32 {
    1
}

/// Kind of a fault, see [`FailoverFaultSpec::kind`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailoverFault {
    /// A fault of a whole site, as the partner model defines it.
    Site(Fault),
    /// Some endpoints refuse connections.
    PartialOutage,
    /// Some endpoints are listed as draining.
    Drain,
    /// Some instances crash and restart without their state.
    Restart,
    /// The submission rate is multiplied by the fault's magnitude.
    Burst,
}

impl FailoverFaultSpec {
    /// Parses `kind`; `None` if it is unknown.
    pub fn fault_kind(&self) -> Option<FailoverFault> {
        match self.kind.as_str() {
            "part" => Some(FailoverFault::PartialOutage),
            "drain" => Some(FailoverFault::Drain),
            "restart" => Some(FailoverFault::Restart),
            "burst" => Some(FailoverFault::Burst),
            other => Fault::from_name(other, self.magnitude).map(FailoverFault::Site),
        }
    }
}

/// Parses and validates a failover scenario.
///
/// # Errors
/// If the text cannot be parsed, or a block refers to a missing block or has an invalid value.
pub fn read_failover_scenario(text: &str) -> Result<FailoverScenario, ScenarioError> {
    let scenario: FailoverScenario =
        hcl::from_str(text).map_err(|error| ScenarioError::Read(error.to_string()))?;
    scenario.validate()?;
    Ok(scenario)
}

impl FailoverScenario {
    fn validate(&self) -> Result<(), ScenarioError> {
        let positive = |name: &str, ok: bool| match ok {
            true => Ok(()),
            false => Err(ScenarioError::Read(format!("{name} must be above zero"))),
        };
        positive("couriers", self.instances > 0)?;
        positive("seconds", self.seconds > 0.0)?;
        positive("rate", self.rate > 0.0)?;
        positive("the number of classes", !self.classes.is_empty())?;
        positive("the number of banks", !self.destinations.is_empty())?;
        for (name, class) in &self.classes {
            let invalid = |reason: &str| ScenarioError::Block {
                block: "class",
                name: name.clone(),
                reason: reason.to_owned(),
            };
            if !["safe", "keyed", "unsafe"].contains(&class.effect.as_str()) {
                return Err(invalid("effect must be safe, keyed or unsafe"));
            }
            if !["all", "zone"].contains(&class.group.as_str()) {
                return Err(invalid("group must be all or zone"));
            }
        }
        for (name, destination) in &self.destinations {
            let invalid = |reason: String| ScenarioError::Block { block: "bank", name: name.clone(), reason };
            let mut tiers: Vec<usize> = destination.sites.values().map(|site| site.tier).collect();
            tiers.sort_unstable();
            if tiers.is_empty() || tiers != (0..tiers.len()).collect::<Vec<_>>() {
                return Err(invalid(
                    "the tiers of its sites must be 0, 1, 2, ... without gaps or duplicates".into(),
                ));
            }
            if !(0.0..=1.0).contains(&destination.spill_share) {
                return Err(invalid("spill_share must be from 0 to 1".into()));
            }
        }
        for (name, fault) in &self.faults {
            let invalid =
                |reason: String| ScenarioError::Block { block: "trouble", name: name.clone(), reason };
            if fault.fault_kind().is_none() {
                return Err(invalid(format!("the kind '{}' is not known", fault.kind)));
            }
            if let Some(name) =
                fault.destination.as_ref().filter(|name| !self.destinations.contains_key(*name))
            {
                return Err(invalid(format!("there is no bank '{name}'")));
            }
        }
        Ok(())
    }

    /// Total number of endpoints of all destinations.
    pub fn endpoint_count(&self) -> usize {
        self.destinations
            .values()
            .map(|destination| {
                destination.copies * destination.sites.values().map(|site| site.endpoints).sum::<usize>()
            })
            .sum()
    }

    /// Server profile of a site, with the retry window and the warm-up rules of the scenario.
    pub fn server_profile(&self, site: &SiteSpec) -> ServerProfile {
        ServerProfile {
            servers: site.servers,
            queue: site.queue,
            min_service_time: duration_from_secs(site.service_ms[0] / 1e3),
            mean_extra_service_time: duration_from_secs(site.service_ms[1] / 1e3),
            rate_limit: site.rate_limit,
            sends_retry_after: site.sends_retry_after,
            deduplication_window: longest_retry_window(&self.classes),
            initial_capacity_share: self.rules.warm_up_capacity,
            warm_up_time: duration_from_secs(self.rules.warm_up_time),
            collapse_multiple: self.rules.overload_multiple,
            collapse_window: duration_from_secs(self.rules.overload_window),
        }
    }
}
