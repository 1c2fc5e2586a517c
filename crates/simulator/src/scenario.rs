//! Parts of scenario files that both simulations share: errors, message classes and the rules of the platform.
//! Times are
//! in seconds, rates in a second.

use cloverstile::{Class, Effect, Group, Rules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time that a setting can state, in seconds; longer ones are cut.
const MAX_SECONDS: f64 = 1e9;
/// How soon gateways may expect news of the endpoint list.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(10);

/// A scenario that cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not a scenario.
    #[error("scenario: {0}; see docs/laboratory.md for what may stand there")]
    Read(String),
    /// A block refers to a missing block, or has a value that is not allowed.
    #[error("scenario: {block} \"{name}\": {what}")]
    Block {
        /// Kind of block.
        block: &'static str,
        /// Name of the block.
        name: String,
        /// What is wrong, and what is allowed.
        what: String,
    },
}

/// Parameters of the platform's rules; see [`Rules`]. Times are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleSpec {
    /// Grace period after the deadline in which a response still counts.
    #[serde(rename = "answer_slack")]
    pub outcome_grace: f64,
    /// No new request to a draining endpoint so long after it was listed as draining.
    pub drain_grace: f64,
    /// Cooldown of an order key after an attempt of unknown outcome.
    #[serde(rename = "order_settle")]
    pub key_cooldown: f64,
    /// Share of its capacity with which a site recovers.
    #[serde(rename = "cold_from")]
    pub warm_up_capacity: f64,
    /// Time until a recovering site is warmed up.
    #[serde(rename = "cold")]
    pub warm_up_time: f64,
    /// Load that a site survives while it warms up, as a multiple of its capacity.
    #[serde(rename = "tip_multiple")]
    pub overload_multiple: f64,
    /// Time over which that load is measured.
    #[serde(rename = "fall")]
    pub overload_window: f64,
}

impl Default for RuleSpec {
    fn default() -> Self {
        RuleSpec {
            outcome_grace: 0.2,
            drain_grace: 0.3,
            key_cooldown: 0.5,
            warm_up_capacity: 0.2,
            warm_up_time: 10.0,
            overload_multiple: 2.0,
            overload_window: 2.0,
        }
    }
}

impl RuleSpec {
    /// The rules as the gateways' settings state them.
    pub(crate) fn rules(&self) -> Rules {
        Rules {
            outcome_grace: duration_from_secs(self.outcome_grace),
            warm_up_capacity: self.warm_up_capacity,
            warm_up_time: duration_from_secs(self.warm_up_time),
            overload_multiple: self.overload_multiple,
            overload_window: duration_from_secs(self.overload_window),
            key_cooldown: duration_from_secs(self.key_cooldown),
            discovery_interval: DISCOVERY_INTERVAL,
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
    /// Messages of an order key are delivered in order.
    #[serde(default, rename = "in_order")]
    pub ordered: bool,
    /// Order keys of each destination, for ordered classes.
    #[serde(default = "keys", rename = "keys")]
    pub order_keys: u32,
    /// Latency objective.
    #[serde(rename = "aim")]
    pub latency_objective: f64,
    /// Messages expire after so long.
    pub deadline: f64,
    /// Time in which partners drop repeats.
    #[serde(default, rename = "window")]
    pub retry_window: f64,
    /// Worth of one on time.
    #[serde(default = "default_one", rename = "worth")]
    pub priority_weight: f64,
    /// Share of the worth that is left at the deadline.
    #[serde(default = "late_share", rename = "late_share")]
    pub late_value_ratio: f64,
}

impl ClassSpec {
    /// Worth of a message delivered at this age, in seconds: all of it within the latency objective, then falling
    /// linearly to `late_share` at the deadline.
    pub fn value_at(&self, age: f64) -> f64 {
        let late = ((age - self.latency_objective) / (self.deadline - self.latency_objective).max(0.001))
            .clamp(0.0, 1.0);
        self.priority_weight * (1.0 - (1.0 - self.late_value_ratio) * late)
    }

    /// The class as the gateways' settings state it.
    fn class(&self) -> Class {
        Class {
            latency_objective: duration_from_secs(self.latency_objective),
            deadline: duration_from_secs(self.deadline),
            effect: match self.effect.as_str() {
                "safe" => Effect::Safe,
                "keyed" => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            group: if self.group == "zone" { Group::Zone } else { Group::All },
            retry_window: duration_from_secs(self.retry_window),
            ordered: self.ordered,
            priority_weight: self.priority_weight,
            late_value_ratio: self.late_value_ratio,
        }
    }
}

/// The classes as the gateways' settings state them, in the order of their names.
pub(crate) fn classes(specs: &BTreeMap<String, ClassSpec>) -> Vec<Class> {
    specs.values().map(ClassSpec::class).collect()
}

/// The longest time in which a partner drops repeats, over all classes.
pub(crate) fn longest_retry_window(specs: &BTreeMap<String, ClassSpec>) -> Duration {
    duration_from_secs(specs.values().map(|class| class.retry_window).fold(0.0, f64::max))
}

/// A time setting as a duration; negative ones are zero.
pub(crate) fn duration_from_secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
}

fn all() -> String {
    "all".into()
}

fn keys() -> u32 {
    200
}

pub(crate) fn default_one() -> f64 {
    1.0
}

fn late_share() -> f64 {
    0.3
}
