//! Failover scenarios, read from HCL: instances, destinations, classes and faults. Times are in seconds, rates
//! per second.

use crate::scenario::{
    default_one, duration_from_secs, longest_retry_window, ClassSpec, RuleSpec, ScenarioError,
};
use cloverstile_fakes::model::{Fault, ServerProfile};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A failover scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailoverScenario {
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
    /// Concurrency limit of an instance, in requests in flight.
    #[serde(default = "call_slots", rename = "call_slots")]
    pub concurrency_limit: usize,
    /// Most messages that an instance queues.
    #[serde(default = "most_held", rename = "most_held")]
    pub max_queued: usize,
    /// One-way network delay: its least value and the mean of its random part, in milliseconds.
    #[serde(default = "network_delay_ms", rename = "way_ms")]
    pub network_delay_ms: [f64; 2],
    /// Class blocks, by name.
    #[serde(rename = "class")]
    pub classes: BTreeMap<String, ClassSpec>,
    /// Destination blocks, by name.
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

fn call_slots() -> usize {
    32
}

fn most_held() -> usize {
    4000
}

fn network_delay_ms() -> [f64; 2] {
    [0.5, 0.5]
}

/// A destination, or several equal ones.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DestinationSpec {
    /// Number of equal ones.
    #[serde(default = "one_copy")]
    pub copies: usize,
    /// Share of the messages, of all copies together.
    #[serde(default = "default_one")]
    pub share: f64,
    /// Share of the messages for a lost tier that may spill.
    #[serde(default)]
    pub spill_share: f64,
    /// Messages a second, from all instances together, that may spill.
    #[serde(default)]
    pub spill_rate: Option<f64>,
    /// A tier counts as lost only after so long without an answer.
    #[serde(default = "default_one", rename = "lost_after")]
    pub down_after: f64,
    /// From a lost tier's first answer until nothing spills any more.
    #[serde(default = "ramp", rename = "ramp")]
    pub recovery_ramp: f64,
    /// Its sites.
    #[serde(rename = "site")]
    pub sites: BTreeMap<String, SiteSpec>,
}

fn one_copy() -> usize {
    1
}

fn ramp() -> f64 {
    10.0
}

/// A site of a destination.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSpec {
    /// Its tier in the destination's order of preference, from 0; two sites may not share one.
    pub tier: usize,
    /// Its zone, shared by all sites of that zone name; left out, the sites of this block, of all
    /// copies of the destination, are in a zone of their own.
    #[serde(default)]
    pub zone: Option<String>,
    /// Number of its endpoints.
    #[serde(default = "two")]
    pub endpoints: usize,
    /// Requests served concurrently.
    pub servers: usize,
    /// Requests that may queue.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Service time: its least value and the mean of its random part, in milliseconds.
    #[serde(default = "service")]
    pub service_ms: [f64; 2],
    /// Rate limit over all instances together, in requests per second.
    #[serde(default, rename = "limit")]
    pub rate_limit: Option<f64>,
    /// Rejections carry a `Retry-After`.
    #[serde(default, rename = "tells_wait")]
    pub sends_retry_after: bool,
}

fn two() -> usize {
    2
}

fn queue() -> usize {
    40
}

fn service() -> [f64; 2] {
    [8.0, 12.0]
}

/// A fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailoverFaultSpec {
    /// Beginning; delayed at random within `jitter`.
    pub at: f64,
    /// How long it lasts.
    #[serde(default = "default_one", rename = "lasts")]
    pub duration: f64,
    /// Most by which the beginning is delayed at random, in seconds.
    #[serde(default, rename = "sway")]
    pub jitter: f64,
    /// Number of its occurrences.
    #[serde(default = "once", rename = "times")]
    pub occurrences: u32,
    /// Time from the beginning of one occurrence to that of the next.
    #[serde(default, rename = "every")]
    pub interval: f64,
    /// Destination block that it affects, all copies together. None: every destination that has the tier.
    #[serde(default)]
    #[serde(rename = "bank")]
    pub destination: Option<String>,
    /// Tier affected.
    #[serde(default)]
    pub tier: usize,
    /// Number of the site's endpoints that `part` and `drain` affect.
    #[serde(default = "one_copy")]
    pub endpoints: usize,
    /// Gateways that `restart` affects, from the first.
    #[serde(default = "one_copy")]
    #[serde(rename = "couriers")]
    pub instances: usize,
    /// A fault of a partner (`refuse`, `silent`, `reset`, `slow` ...), `part` (some endpoints refuse
    /// connections), `drain`, `restart` or `burst`.
    pub kind: String,
    /// How much: a share, a factor, a rate or seconds.
    #[serde(default = "default_one", rename = "size")]
    pub magnitude: f64,
}

fn once() -> u32 {
    1
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailoverFault {
    /// A fault of the whole site.
    Site(Fault),
    /// Some endpoints refuse connections.
    PartialOutage,
    /// Some endpoints are listed as draining.
    Drain,
    /// Some instances are lost and restart without their state.
    Restart,
    /// Traffic is multiplied.
    Burst,
}

impl FailoverFaultSpec {
    /// Its kind; none if the kind is not known.
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

/// Reads and validates a failover scenario.
///
/// # Errors
/// If the text is not a scenario, or a block has a missing reference or a value that is not allowed.
pub fn read_failover_scenario(text: &str) -> Result<FailoverScenario, ScenarioError> {
    let scenario: FailoverScenario =
        hcl::from_str(text).map_err(|error| ScenarioError::Read(error.to_string()))?;
    scenario.check()?;
    Ok(scenario)
}

impl FailoverScenario {
    fn check(&self) -> Result<(), ScenarioError> {
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
            let wrong = |what: &str| ScenarioError::Block {
                block: "class",
                name: name.clone(),
                what: what.to_owned(),
            };
            if !["safe", "keyed", "unsafe"].contains(&class.effect.as_str()) {
                return Err(wrong("effect may be safe, keyed or unsafe"));
            }
            if !["all", "zone"].contains(&class.group.as_str()) {
                return Err(wrong("group may be all or zone"));
            }
        }
        for (name, bank) in &self.destinations {
            let wrong = |what: String| ScenarioError::Block { block: "bank", name: name.clone(), what };
            let mut tiers: Vec<usize> = bank.sites.values().map(|site| site.tier).collect();
            tiers.sort_unstable();
            if tiers.is_empty() || tiers != (0..tiers.len()).collect::<Vec<_>>() {
                return Err(wrong("its sites' tiers must be 0, 1, 2 ... each once".into()));
            }
            if !(0.0..=1.0).contains(&bank.spill_share) {
                return Err(wrong("spill_share must be from 0 to 1".into()));
            }
        }
        for (name, fault) in &self.faults {
            let wrong = |what: String| ScenarioError::Block { block: "trouble", name: name.clone(), what };
            if fault.fault_kind().is_none() {
                return Err(wrong(format!("the kind '{}' is not known", fault.kind)));
            }
            if let Some(bank) =
                fault.destination.as_ref().filter(|bank| !self.destinations.contains_key(*bank))
            {
                return Err(wrong(format!("there is no bank '{bank}'")));
            }
        }
        Ok(())
    }

    /// Number of endpoints of all destinations together.
    pub fn endpoint_count(&self) -> usize {
        self.destinations
            .values()
            .map(|b| b.copies * b.sites.values().map(|s| s.endpoints).sum::<usize>())
            .sum()
    }

    /// The server profile of a site.
    pub fn server_profile(&self, site: &SiteSpec) -> ServerProfile {
        ServerProfile {
            servers: site.servers,
            queue: site.queue,
            min_service_time: duration_from_secs(site.service_ms[0] / 1e3),
            mean_extra_service_time: duration_from_secs(site.service_ms[1] / 1e3),
            limit: site.rate_limit,
            sends_retry_after: site.sends_retry_after,
            repeat_window: longest_retry_window(&self.classes),
            initial_capacity_share: self.rules.warm_up_capacity,
            warm_up_time: duration_from_secs(self.rules.warm_up_time),
            collapse_multiple: self.rules.overload_multiple,
            collapse_window: duration_from_secs(self.rules.overload_window),
        }
    }
}
