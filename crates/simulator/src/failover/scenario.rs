//! Scenarios: HCL in, instances, banks, classes and troubles out. Times are in seconds, rates in a second.

use cloverstile::{Class, Effect, Group, Rules};
use cloverstile_fakes::model::{Fault, ServerProfile};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A scenario that can't be played.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// Not read.
    #[error("scenario: {0}; see docs/laboratory.md for what may stand there")]
    Read(String),
    /// A block names what is not there, or asks for what can't be.
    #[error("scenario: {block} \"{name}\": {what}")]
    Block {
        /// Kind of block.
        block: &'static str,
        /// Its name.
        name: String,
        /// Event is wrong.
        what: String,
    },
}

/// A scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailoverScenario {
    /// Gateways.
    #[serde(rename = "couriers")]
    pub instances: usize,
    /// Messages are submitted for so long; what is left is answered afterwards.
    pub seconds: f64,
    /// Messages a second from all clients together.
    pub rate: f64,
    /// Unevenness of the instances' load: instance n gets a part that goes by `1 / (n + 1) ^ skew`.
    #[serde(default)]
    pub skew: f64,
    /// Calls out at once from a instance.
    #[serde(default = "call_slots")]
    pub call_slots: usize,
    /// Messages that a instance holds.
    #[serde(default = "most_held")]
    pub most_held: usize,
    /// Least time on the way between instance and site, and the mean of what chance adds, in milliseconds.
    #[serde(default = "network_delay_ms", rename = "way_ms")]
    pub network_delay_ms: [f64; 2],
    /// Class blocks, by name.
    pub class: BTreeMap<String, ClassSpec>,
    /// Bank blocks, by name.
    #[serde(rename = "bank")]
    pub destinations: BTreeMap<String, DestinationSpec>,
    /// Event goes wrong, by a name for people.
    #[serde(default)]
    #[serde(rename = "trouble")]
    pub faults: BTreeMap<String, FailoverFaultSpec>,
    /// Figures of the rules.
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

/// Figures of the rules; see [`Rules`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleSpec {
    /// An answer counts so long after the deadline.
    pub answer_slack: f64,
    /// Nothing new to a draining endpoint so long after it was told.
    pub drain_grace: f64,
    /// A key rests so long after an attempt of unknown fate.
    pub order_settle: f64,
    /// A site comes back with this share of its capacity ...
    pub cold_from: f64,
    /// ... and is warm after so long.
    pub cold: f64,
    /// Event it survives meanwhile, as a multiple of what it can do ...
    pub tip_multiple: f64,
    /// ... over so long.
    pub fall: f64,
}

impl Default for RuleSpec {
    fn default() -> Self {
        RuleSpec {
            answer_slack: 0.2,
            drain_grace: 0.3,
            order_settle: 0.5,
            cold_from: 0.2,
            cold: 10.0,
            tip_multiple: 2.0,
            fall: 2.0,
        }
    }
}

/// A class of message.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Share of the messages.
    pub share: f64,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// `all` or `zone`.
    #[serde(default = "all")]
    pub group: String,
    /// Keeps its order by key.
    #[serde(default)]
    pub in_order: bool,
    /// Keys of each bank, for classes in order.
    #[serde(default = "keys")]
    pub keys: u32,
    /// Wanted within.
    pub aim: f64,
    /// Given up after.
    pub deadline: f64,
    /// Repeats are dropped for so long.
    #[serde(default)]
    pub window: f64,
    /// Worth of one on time.
    #[serde(default = "one")]
    pub worth: f64,
    /// Share of the worth that is left at the deadline.
    #[serde(default = "late_share")]
    pub late_share: f64,
}

impl ClassSpec {
    /// Worth of a message delivered at this age, in seconds: all of it within the aim, then falling evenly to
    /// `late_share` at the deadline.
    pub fn worth_at(&self, age: f64) -> f64 {
        let late = ((age - self.aim) / (self.deadline - self.aim).max(0.001)).clamp(0.0, 1.0);
        self.worth * (1.0 - (1.0 - self.late_share) * late)
    }
}

fn all() -> String {
    "all".into()
}

fn keys() -> u32 {
    200
}

fn one() -> f64 {
    1.0
}

fn late_share() -> f64 {
    0.3
}

/// A bank, or many that are alike.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DestinationSpec {
    /// So many of them.
    #[serde(default = "one_copy")]
    pub copies: usize,
    /// Share of the messages, of all copies together.
    #[serde(default = "one")]
    pub share: f64,
    /// Share of the messages for a lost tier that may spill.
    #[serde(default)]
    pub spill_share: f64,
    /// Messages a second, from all instances together, that may spill.
    #[serde(default)]
    pub spill_rate: Option<f64>,
    /// A tier counts as lost only after so long without an answer.
    #[serde(default = "one")]
    pub lost_after: f64,
    /// From a lost tier's first answer until nothing spills any more.
    #[serde(default = "ramp")]
    pub ramp: f64,
    /// Its sites.
    pub site: BTreeMap<String, SiteSpec>,
}

fn one_copy() -> usize {
    1
}

fn ramp() -> f64 {
    10.0
}

/// A site of a bank.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSpec {
    /// Its place in the bank's order of preference, from 0; two sites may not share one.
    pub tier: usize,
    /// The place where it stands, shared by all sites of that name; left out, the sites of this block, of all
    /// copies of the bank, stand in a place of their own.
    #[serde(default)]
    pub zone: Option<String>,
    /// Its addresses.
    #[serde(default = "two")]
    pub endpoints: usize,
    /// Calls served at once.
    pub servers: usize,
    /// Calls that may wait.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Least time of a call and the mean of what chance adds, in milliseconds.
    #[serde(default = "service")]
    pub service_ms: [f64; 2],
    /// Calls a second that it takes from all instances together.
    #[serde(default)]
    pub limit: Option<f64>,
    /// Refusals tell how long to wait.
    #[serde(default)]
    pub tells_wait: bool,
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

/// Something that goes wrong.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailoverFaultSpec {
    /// When it begins; moved by chance within `sway`.
    pub at: f64,
    /// How long it lasts.
    #[serde(default = "one")]
    pub lasts: f64,
    /// Seconds by which chance may move its beginning.
    #[serde(default)]
    pub sway: f64,
    /// It comes so often ...
    #[serde(default = "once")]
    pub times: u32,
    /// ... at this distance from beginning to beginning.
    #[serde(default)]
    pub every: f64,
    /// Banks affected_partners; all copies together. None: every bank that has the tier.
    #[serde(default)]
    #[serde(rename = "bank")]
    pub destination: Option<String>,
    /// Tier affected_partners.
    #[serde(default)]
    pub tier: usize,
    /// Endpoints of the site that `part` and `drain` fault.
    #[serde(default = "one_copy")]
    pub endpoints: usize,
    /// Gateways that `restart` scheduled_faults, from the first.
    #[serde(default = "one_copy")]
    #[serde(rename = "couriers")]
    pub instances: usize,
    /// A fault of a partner (`refuse`, `silent`, `reset`, `slow` ...), `part` (some endpoints refuse
    /// connections), `drain`, `restart` or `burst`.
    pub kind: String,
    /// How much: a share, a factor, a rate or seconds.
    #[serde(default = "one")]
    pub size: f64,
}

fn once() -> u32 {
    1
}

/// Event a trouble does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailoverFault {
    /// A fault of the whole site.
    Fault(Fault),
    /// Some endpoints refuse connections.
    Part,
    /// Some endpoints are told as draining.
    Drain,
    /// Some instances are lost and start again, knowing nothing.
    Restart,
    /// Traffic is multiplied.
    Burst,
}

impl FailoverFaultSpec {
    /// Event it does; none if the kind is not known.
    pub fn fault_kind(&self) -> Option<FailoverFault> {
        match self.kind.as_str() {
            "part" => Some(FailoverFault::Part),
            "drain" => Some(FailoverFault::Drain),
            "restart" => Some(FailoverFault::Restart),
            "burst" => Some(FailoverFault::Burst),
            other => Fault::from_name(other, self.size).map(FailoverFault::Fault),
        }
    }
}

/// Reads a scenario and checks it.
pub fn read_failover_scenario(text: &str) -> Result<FailoverScenario, ScenarioError> {
    let scenario: FailoverScenario =
        hcl::from_str(text).map_err(|error| ScenarioError::Read(error.to_string()))?;
    scenario.check()?;
    Ok(scenario)
}

fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 1e9))
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
        positive("the number of classes", !self.class.is_empty())?;
        positive("the number of banks", !self.destinations.is_empty())?;
        for (name, class) in &self.class {
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
            let mut tiers: Vec<usize> = bank.site.values().map(|site| site.tier).collect();
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

    /// Endpoints of all banks together.
    pub fn endpoints(&self) -> usize {
        self.destinations
            .values()
            .map(|b| b.copies * b.site.values().map(|s| s.endpoints).sum::<usize>())
            .sum()
    }

    /// The classes as the module wants them, in the order of their names.
    pub fn classes(&self) -> Vec<Class> {
        let class = |spec: &ClassSpec| Class {
            latency_objective: span(spec.aim),
            deadline: span(spec.deadline),
            effect: match spec.effect.as_str() {
                "safe" => Effect::Safe,
                "keyed" => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            group: if spec.group == "zone" { Group::Zone } else { Group::All },
            retry_window: span(spec.window),
            ordered: spec.in_order,
            priority_weight: spec.worth,
            late_value_ratio: spec.late_share,
        };
        self.class.values().map(class).collect()
    }

    /// Event the instances are told of the rules.
    pub fn rules(&self) -> Rules {
        let rules = &self.rules;
        Rules {
            answer_grace: span(rules.answer_slack),
            warm_up_capacity: rules.cold_from,
            warm_up_time: span(rules.cold),
            overload_multiple: rules.tip_multiple,
            overload_window: span(rules.fall),
            key_cooldown: span(rules.order_settle),
            discovery_interval: span(10.0),
        }
    }

    /// Event a site is like.
    pub fn nature(&self, site: &SiteSpec) -> ServerProfile {
        let longest = self.class.values().map(|class| class.window).fold(0.0, f64::max);
        ServerProfile {
            servers: site.servers,
            queue: site.queue,
            service: (span(site.service_ms[0] / 1e3), span(site.service_ms[1] / 1e3)),
            limit: site.limit,
            sends_retry_after: site.tells_wait,
            repeat_window: span(longest),
            cold: (self.rules.cold_from, span(self.rules.cold)),
            collapse_multiple: self.rules.tip_multiple,
            collapse_window: span(self.rules.fall),
        }
    }
}
