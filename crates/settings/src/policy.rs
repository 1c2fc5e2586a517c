//! Reads the settings of the delivery policy: classes, tenants, kinds and rules.

use crate::read::Block;
use cloverstile::{
    Class, Decay, Discovery, Effect, Group, Kind, Rules, Settings, Tenant, WeightSource, ZoneId,
};
use std::time::Duration;

/// All classes with their names; having none is a problem.
pub(crate) fn read_classes(root: &Block) -> Vec<(String, Class)> {
    let blocks = root.labelled_blocks("class").into_iter();
    let classes: Vec<_> = blocks.map(|(name, block)| (name, read_class(&block))).collect();
    if classes.is_empty() {
        root.report(0, "class", "is missing", "add a block such as class \"salary-payment\" { ... }");
    }
    classes
}

/// All tenants with their names; without a quota it is unlimited.
pub(crate) fn read_tenants(root: &Block) -> Vec<(String, Tenant)> {
    let read = |(name, block): (String, Block)| {
        let quota = block.number("quota", 0.001, 1e9, f64::INFINITY);
        block.report_unknown();
        (name, Tenant { quota })
    };
    root.labelled_blocks("tenant").into_iter().map(read).collect()
}

/// One class. Its latency objective may not exceed its deadline, and a keyed class needs a retry window: the time for
/// which partners recognise repeats.
fn read_class(block: &Block) -> Class {
    let base = Class::default();
    let class = Class {
        latency_objective: block.duration("aim", base.latency_objective),
        deadline: block.duration("deadline", base.deadline),
        effect: block.choice(
            "effect",
            &[("safe", Effect::Safe), ("keyed", Effect::Keyed), ("unsafe", Effect::Unsafe)],
            Effect::Unsafe,
        ),
        group: block.choice("group", &[("all", Group::All), ("zone", Group::Zone)], Group::Zone),
        retry_window: block.duration("repeat_window", Duration::ZERO),
        ordered: block.boolean("in_order", false),
        priority_weight: block.number("worth", 0.0, 1e6, base.priority_weight),
        late_value_ratio: block.number("late_share", 0.0, 1.0, 0.0),
    };
    if class.latency_objective > class.deadline {
        block.report_attribute("aim", "is longer than the deadline", "make it at most as long as 'deadline'");
    }
    if class.effect == Effect::Keyed && class.retry_window.is_zero() {
        let description = "is missing: partners drop repeats of a keyed message for some time only";
        block.report_attribute("repeat_window", description, "set it to that time, such as \"10s\"");
    }
    block.report_unknown();
    class
}

/// The kinds of partners, in the order of `kinds`.
pub(crate) fn read_kinds(kinds: &[(String, Block)]) -> Vec<Kind> {
    kinds
        .iter()
        .map(|(_, block)| {
            let kind = Kind {
                max_batch: block.number("batch", 1, 1_000, 1),
                per_endpoint_limits: block.boolean("own_limits", false),
            };
            block.report_unknown();
            kind
        })
        .collect()
}

/// The settings of the delivery policy, with default kinds if none are defined; `None` if the gateway's zone is
/// not defined.
pub(crate) fn read_policy(
    root: &Block,
    gateway_block: &Block,
    zones: &[String],
    classes: &[(String, Class)],
    tenants: &[(String, Tenant)],
    kinds: Vec<Kind>,
    weights: WeightSource,
) -> Option<Settings> {
    let base = Settings::default();
    let rules = read_rules(root, &base.rules);
    let zone =
        gateway_block.string("zone").map_or(Some(0), |name| gateway_block.index_of("zone", &name, zones));
    let max_retry_after: Duration = gateway_block.duration("stay_away_most", Duration::ZERO);
    Some(Settings {
        instance_count: gateway_block.number("couriers", 1, 100_000, 1),
        zone: ZoneId(zone? as u8),
        classes: classes.iter().map(|(_, class)| class.clone()).collect(),
        tenants: tenants.iter().map(|(_, tenant)| tenant.clone()).collect(),
        kinds: if kinds.is_empty() { base.kinds } else { kinds },
        weights,
        discovery: Discovery::Push,
        decay: gateway_block.choice(
            "decay",
            &[("line", Decay::Linear), ("halves", Decay::Halving)],
            Decay::Linear,
        ),
        clients_mark_resubmissions: true,
        max_retry_after: (!max_retry_after.is_zero()).then_some(max_retry_after),
        concurrency_limit: gateway_block.number("call_slots", 1, 100_000, 64),
        max_queued: gateway_block.number("most_held", 1, 1_000_000, 2_000),
        max_attempts: gateway_block.number("send_cap", 1, 100, base.max_attempts),
        can_abandon: gateway_block.boolean("cancel", true),
        allows_hedging: false,
        over_quota_weight: gateway_block.number("over_share_worth", 0.0, 1.0, base.over_quota_weight),
        connect_timeout: gateway_block.duration("connect_timeout", base.connect_timeout),
        connection_idle_timeout: gateway_block.duration("idle_timeout", base.connection_idle_timeout),
        rules,
    })
}

/// The rules that all gateways of a partner follow; `base` where the block or a field is missing.
fn read_rules(root: &Block, base: &Rules) -> Rules {
    let Some(block) = root.single_block("rules") else { return base.clone() };
    let rules = Rules {
        outcome_grace: block.duration("answer_slack", base.outcome_grace),
        warm_up_capacity: block.number("cold_from", 0.01, 1.0, base.warm_up_capacity),
        warm_up_time: block.duration("cold", base.warm_up_time),
        overload_multiple: block.number("tip_multiple", 1.0, 100.0, base.overload_multiple),
        overload_window: block.duration("fall", base.overload_window),
        key_cooldown: block.duration("order_settle", base.key_cooldown),
        discovery_interval: base.discovery_interval,
    };
    block.report_unknown();
    rules
}
