//! Parts of scenario files that both simulations share: errors, message classes and the platform's rules. Times are
//! in seconds, rates per second.

use cloverstile::{Class, Effect, Group, Rules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Upper bound of a time setting, in seconds; larger values are clamped.
const MAX_SECONDS: f64 = 1e9;
/// Interval within which gateways may expect updates of the endpoint list.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(10);

/// Reason why a scenario cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text cannot be parsed as a scenario, or a top-level value is invalid.
    #[error("scenario: {0}; see docs/testbench.md for the scenario format")]
    Read(String),
    /// A block refers to a missing block or has an invalid value.
    #[error("scenario: {block} \"{name}\": {reason}")]
    Block {
        /// Block type as written in the file, such as `class`.
        block: &'static str,
        /// Label of the block.
        name: String,
        /// The invalid value or reference, with the allowed values where they are known.
        reason: String,
    },
}

/// Parameters of the platform's rules, see [`Rules`], and of recovering sites. Times are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleSpec {
    /// Grace period after the deadline in which a final outcome still counts as on time.
    #[serde(rename = "answer_slack")]
    pub outcome_grace: f64,
    /// Time after an endpoint is listed as draining from which requests that reach it are violations.
    pub drain_grace: f64,
    /// Cooldown of an order key after an attempt with an unknown outcome.
    #[serde(rename = "order_settle")]
    pub key_cooldown: f64,
    /// Share of its capacity that a site has right after an outage, from 0 to 1.
    #[serde(rename = "cold_from")]
    pub warm_up_capacity: f64,
    /// Time after an outage until a site has its full capacity again.
    #[serde(rename = "cold")]
    pub warm_up_time: f64,
    /// Load above which a warming-up site collapses, as a multiple of its current capacity.
    #[serde(rename = "tip_multiple")]
    pub overload_multiple: f64,
    /// Window over which that load is measured.
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
    /// Converts the parameters to the rules in the gateways' settings.
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

/// Class block of a scenario. Times are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Weight of the class among all messages; the weights need not add up to 1.
    pub share: f64,
    /// Effect: `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// Group whose endpoints share idempotency keys: `all` or `zone`.
    #[serde(default = "default_group")]
    pub group: String,
    /// Whether messages of the same order key are delivered in order.
    #[serde(default, rename = "in_order")]
    pub ordered: bool,
    /// Number of order keys per destination, for ordered classes.
    #[serde(default = "default_order_keys", rename = "keys")]
    pub order_keys: u32,
    /// Message age up to which a delivery has its full value.
    #[serde(rename = "aim")]
    pub latency_objective: f64,
    /// Message age at which a message expires.
    pub deadline: f64,
    /// Time in which partners drop repeats of a message.
    #[serde(default, rename = "window")]
    pub retry_window: f64,
    /// Value of a message delivered within the latency objective.
    #[serde(default = "default_one", rename = "worth")]
    pub priority_weight: f64,
    /// Share of that value left at the deadline, from 0 to 1.
    #[serde(default = "default_late_value_ratio", rename = "late_share")]
    pub late_value_ratio: f64,
}

impl ClassSpec {
    /// Value of a message delivered at this age, in seconds: the priority weight within the latency objective, then
    /// falling linearly to its `late_value_ratio` at the deadline.
    pub fn value_at(&self, age: f64) -> f64 {
        let lateness = ((age - self.latency_objective) / (self.deadline - self.latency_objective).max(0.001))
            .clamp(0.0, 1.0);
        self.priority_weight * (1.0 - (1.0 - self.late_value_ratio) * lateness)
    }

    /// Converts the block to a class of the gateways' settings.
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

/// Converts class blocks to the classes of the gateways' settings, ordered by name.
pub(crate) fn classes(specs: &BTreeMap<String, ClassSpec>) -> Vec<Class> {
    specs.values().map(ClassSpec::class).collect()
}

/// Longest retry window of all classes; partners drop repeats for this time.
pub(crate) fn longest_retry_window(specs: &BTreeMap<String, ClassSpec>) -> Duration {
    duration_from_secs(specs.values().map(|class| class.retry_window).fold(0.0, f64::max))
}

/// Converts a time setting to a duration; negative values become zero.
pub(crate) fn duration_from_secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
}

fn default_group() -> String {
    "all".into()
}

fn default_order_keys() -> u32 {
    200
}

pub(crate) fn default_one() -> f64 {
    1.0
}

fn default_late_value_ratio() -> f64 {
    0.3
}
