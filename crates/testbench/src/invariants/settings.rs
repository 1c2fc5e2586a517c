//! What the checker needs to know of classes, partners and bounds. Times are in microseconds.

use crate::repeat_rule::RepeatRule;
use crate::scenario::{ClassSettings, FaultScenario};
use std::collections::HashMap;
use std::time::Duration;

/// Tolerance at every bound, in microseconds: sockets, threads and a busy machine.
pub const CLOCK_SKEW_US: u64 = 60_000;

const US_PER_MS: u64 = 1000;

/// What a class permits.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// When a message may be sent again.
    pub repeats: RepeatRule,
    /// Repeats must stay among endpoints of one zone.
    pub same_zone_only: bool,
    /// Messages of one key are delivered in order.
    pub ordered: bool,
}

impl ClassRule {
    /// A repeat has no further effect.
    pub(super) fn is_safe(&self) -> bool {
        self.repeats == RepeatRule::Always
    }
}

impl From<&ClassSettings> for ClassRule {
    fn from(class: &ClassSettings) -> ClassRule {
        ClassRule {
            repeats: match class.effect.as_str() {
                "safe" => RepeatRule::Always,
                "keyed" => RepeatRule::Within(Duration::from_micros((class.retry_window * 1e6) as u64)),
                _ => RepeatRule::Forbidden,
            },
            same_zone_only: class.group == "zone",
            ordered: class.ordered,
        }
    }
}

/// What a partner survives.
#[derive(Clone, Debug)]
pub struct PartnerRule {
    /// Requests a second when warmed up.
    pub capacity: f64,
    /// Zone of each endpoint.
    pub zones: Vec<usize>,
}

/// Classes, partners and bounds of a run.
#[derive(Clone, Debug)]
pub struct InvariantSettings {
    /// Classes by name.
    pub classes: HashMap<String, ClassRule>,
    /// Partners by name.
    pub partners: HashMap<String, PartnerRule>,
    /// A final outcome counts as in time until this long after the deadline.
    pub answer_slack: u64,
    /// Nothing new may be sent to a draining endpoint this long after the drain was announced.
    pub drain_grace: u64,
    /// Cooldown of a key after an attempt of unknown outcome.
    pub order_settle: u64,
    /// Share of its capacity with which a partner recovers.
    pub initial_capacity_share: f64,
    /// The time after which it has all of it.
    pub warm_up: u64,
    /// Sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over this time, a partner collapses.
    pub overload_window: u64,
}

impl From<&FaultScenario> for InvariantSettings {
    fn from(scenario: &FaultScenario) -> InvariantSettings {
        let classes = scenario.classes.iter().map(|(name, class)| (name.clone(), class.into()));
        let cluster = scenario.cluster_spec();
        let partners = cluster.partners.iter().map(|partner| {
            let capacity = partner.profile.capacity();
            let capacity = partner.profile.rate_limit.map_or(capacity, |limit| limit.min(capacity));
            (partner.name.clone(), PartnerRule { capacity, zones: partner.zones.clone() })
        });
        let rules = &scenario.rules;
        InvariantSettings {
            classes: classes.collect(),
            partners: partners.collect(),
            answer_slack: rules.answer_slack_ms * US_PER_MS,
            drain_grace: rules.drain_grace_ms * US_PER_MS,
            order_settle: rules.order_settle_ms * US_PER_MS,
            initial_capacity_share: rules.initial_capacity_share,
            warm_up: rules.warm_up_ms * US_PER_MS,
            overload_multiple: rules.overload_multiple,
            overload_window: rules.overload_window_ms * US_PER_MS,
        }
    }
}
