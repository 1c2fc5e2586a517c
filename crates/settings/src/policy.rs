//! The settings of the delivery policy: classes, tenants, kinds and rules.

use crate::read::Block;
use cloverstile::{
    Class, Decay, Discovery, Effect, Group, Kind, Rules, Settings, Tenant, WeightSource, ZoneId,
};
use std::time::Duration;

/// All classes by name; at least one is required.
pub(crate) fn read_classes(root: &Block) -> Vec<(String, Class)> {
    let blocks = root.labelled("class").into_iter();
    let classes: Vec<_> = blocks.map(|(name, block)| (name, read_class(&block))).collect();
    if classes.is_empty() {
        root.problem(0, "class", "is missing", "add a block such as class \"salary-payment\" { ... }");
    }
    classes
}

/// All tenants by name.
pub(crate) fn read_tenants(root: &Block) -> Vec<(String, Tenant)> {
    let read = |(name, block): (String, Block)| {
        let quota = block.number("quota", 0.001, 1e9, f64::INFINITY);
        block.finish();
        (name, Tenant { quota })
    };
    root.labelled("tenant").into_iter().map(read).collect()
}

/// One class of messages.
fn read_class(block: &Block) -> Class {
    let base = Class::default();
    let class = Class {
        latency_objective: block.span("aim", base.latency_objective),
        deadline: block.span("deadline", base.deadline),
        effect: block.choice(
            "effect",
            &[("safe", Effect::Safe), ("keyed", Effect::Keyed), ("unsafe", Effect::Unsafe)],
            Effect::Unsafe,
        ),
        group: block.choice("group", &[("all", Group::All), ("zone", Group::Zone)], Group::Zone),
        retry_window: block.span("repeat_window", Duration::ZERO),
        ordered: block.flag("in_order", false),
        priority_weight: block.number("worth", 0.0, 1e6, base.priority_weight),
        late_value_ratio: block.number("late_share", 0.0, 1.0, 0.0),
    };
    if class.latency_objective > class.deadline {
        block.problem_at("aim", "is longer than the deadline", "make it at most as long as 'deadline'");
    }
    if class.effect == Effect::Keyed && class.retry_window.is_zero() {
        let description = "is missing: partners drop repeats of a keyed message for some time only";
        block.problem_at("repeat_window", description, "set it to that time, such as \"10s\"");
    }
    block.finish();
    class
}

/// The kinds of partners.
pub(crate) fn read_kinds(kinds: &[(String, Block)]) -> Vec<Kind> {
    kinds
        .iter()
        .map(|(_, block)| {
            let kind = Kind {
                max_batch: block.number("batch", 1, 1_000, 1),
                per_endpoint_limits: block.flag("own_limits", false),
            };
            block.finish();
            kind
        })
        .collect()
}

/// The settings of the delivery policy.
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
        gateway_block.text("zone").map_or(Some(0), |name| gateway_block.index_of("zone", &name, zones));
    let stay_away: Duration = gateway_block.span("stay_away_most", Duration::ZERO);
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
        max_retry_after: (!stay_away.is_zero()).then_some(stay_away),
        concurrency_limit: gateway_block.number("call_slots", 1, 100_000, 64),
        max_queued: gateway_block.number("most_held", 1, 1_000_000, 2_000),
        max_attempts: gateway_block.number("send_cap", 1, 100, base.max_attempts),
        can_abandon: gateway_block.flag("cancel", true),
        allows_hedging: false,
        over_quota_weight: gateway_block.number("over_share_worth", 0.0, 1.0, base.over_quota_weight),
        connect_timeout: gateway_block.span("connect_timeout", base.connect_timeout),
        connection_idle_timeout: gateway_block.span("idle_timeout", base.connection_idle_timeout),
        rules,
    })
}

/// The rules that all gateways of a partner keep; their defaults where the block or a field is missing.
fn read_rules(root: &Block, base: &Rules) -> Rules {
    let Some(block) = root.only("rules") else { return base.clone() };
    let rules = Rules {
        outcome_grace: block.span("answer_slack", base.outcome_grace),
        warm_up_capacity: block.number("cold_from", 0.01, 1.0, base.warm_up_capacity),
        warm_up_time: block.span("cold", base.warm_up_time),
        overload_multiple: block.number("tip_multiple", 1.0, 100.0, base.overload_multiple),
        overload_window: block.span("fall", base.overload_window),
        key_cooldown: block.span("order_settle", base.key_cooldown),
        discovery_interval: base.discovery_interval,
    };
    block.finish();
    rules
}
