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
    pub answer_slack: f64,
    /// No new request to a draining endpoint so long after it was listed as draining.
    pub drain_grace: f64,
    /// Cooldown of an order key after an attempt of unknown outcome.
    pub order_settle: f64,
    /// Share of its capacity with which a site recovers.
    pub cold_from: f64,
    /// Time until a recovering site is warmed up.
    pub cold: f64,
    /// Load that a site survives while it warms up, as a multiple of its capacity.
    pub tip_multiple: f64,
    /// Time over which that load is measured.
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

impl RuleSpec {
    /// The rules as the gateways' settings state them.
    pub(crate) fn rules(&self) -> Rules {
        Rules {
            outcome_grace: span(self.answer_slack),
            warm_up_capacity: self.cold_from,
            warm_up_time: span(self.cold),
            overload_multiple: self.tip_multiple,
            overload_window: span(self.fall),
            key_cooldown: span(self.order_settle),
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
    #[serde(default)]
    pub in_order: bool,
    /// Order keys of each destination, for ordered classes.
    #[serde(default = "keys")]
    pub keys: u32,
    /// Latency objective.
    pub aim: f64,
    /// Messages expire after so long.
    pub deadline: f64,
    /// Time in which partners drop repeats.
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
    /// Worth of a message delivered at this age, in seconds: all of it within the latency objective, then falling
    /// linearly to `late_share` at the deadline.
    pub fn worth_at(&self, age: f64) -> f64 {
        let late = ((age - self.aim) / (self.deadline - self.aim).max(0.001)).clamp(0.0, 1.0);
        self.worth * (1.0 - (1.0 - self.late_share) * late)
    }

    /// The class as the gateways' settings state it.
    fn class(&self) -> Class {
        Class {
            latency_objective: span(self.aim),
            deadline: span(self.deadline),
            effect: match self.effect.as_str() {
                "safe" => Effect::Safe,
                "keyed" => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            group: if self.group == "zone" { Group::Zone } else { Group::All },
            retry_window: span(self.window),
            ordered: self.in_order,
            priority_weight: self.worth,
            late_value_ratio: self.late_share,
        }
    }
}

/// The classes as the gateways' settings state them, in the order of their names.
pub(crate) fn classes(specs: &BTreeMap<String, ClassSpec>) -> Vec<Class> {
    specs.values().map(ClassSpec::class).collect()
}

/// The longest time in which a partner drops repeats, over all classes.
pub(crate) fn longest_retry_window(specs: &BTreeMap<String, ClassSpec>) -> Duration {
    span(specs.values().map(|class| class.window).fold(0.0, f64::max))
}

/// A time setting as a duration; negative ones are zero.
pub(crate) fn span(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
}

fn all() -> String {
    "all".into()
}

fn keys() -> u32 {
    200
}

pub(crate) fn one() -> f64 {
    1.0
}

fn late_share() -> f64 {
    0.3
}
