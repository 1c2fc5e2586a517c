//! Settings of the invariant check: rules of classes, limits of partners, and bounds. Times are in microseconds.

use crate::repeat_rule::RepeatRule;
use crate::scenario::{ClassSettings, FaultScenario};
use std::collections::HashMap;
use std::time::Duration;

/// Tolerance at every bound, in microseconds: socket and scheduling delays, also on a busy machine.
pub const CLOCK_SKEW_US: u64 = 60_000;

const US_PER_MS: u64 = 1000;

/// The delivery rules of a message class.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// When a message that may have run may be sent again.
    pub repeats: RepeatRule,
    /// Whether repeated requests must stay within one zone.
    pub same_zone_only: bool,
    /// Whether messages of one order key must be sent in order.
    pub ordered: bool,
}

impl ClassRule {
    /// Whether a repeated request has no further effect.
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

/// Capacity and zones of a partner.
#[derive(Clone, Debug)]
pub struct PartnerRule {
    /// Requests per second at full capacity, after the warm-up.
    pub capacity: f64,
    /// Zone of each endpoint, by endpoint number.
    pub zones: Vec<usize>,
}

/// Class rules, partner limits and time bounds that a run is checked against.
#[derive(Clone, Debug)]
pub struct InvariantSettings {
    /// Rules of the classes, by class name.
    pub classes: HashMap<String, ClassRule>,
    /// Partners, by partner name.
    pub partners: HashMap<String, PartnerRule>,
    /// An outcome may arrive this long after the deadline.
    pub answer_slack: u64,
    /// New requests to a draining endpoint are tolerated for this long after the drain is announced.
    pub drain_grace: u64,
    /// Least time between an attempt of unknown outcome and the next message of the same order key.
    pub order_settle: u64,
    /// Share of its full capacity that a partner has at the start of its recovery.
    pub initial_capacity_share: f64,
    /// Time from the start of the recovery until the partner has its full capacity.
    pub warm_up: u64,
    /// A partner collapses if it gets more than this multiple of its current capacity ...
    pub overload_multiple: f64,
    /// ... within this time.
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
