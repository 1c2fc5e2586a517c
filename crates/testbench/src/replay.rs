//! Converts a bench day (JSON of the users' simulator) to a fault scenario, scaled to one machine. Lists what can't be
//! reproduced.

mod bench_day;
mod faults;
mod scale;

pub use scale::ReplayScale;

use crate::scenario::{ClassSettings, FaultScenario, PartnerSettings, RuleSettings, ScenarioError};
use bench_day::{BenchClass, BenchDay, RouteLimits};
use faults::FaultConverter;
use scale::{partner_name, US_PER_MS};
use std::collections::BTreeMap;

/// Mean service time of a request at a partner, in milliseconds: the sum of [`SERVICE_MS`].
const MEAN_SERVICE_MS: f64 = 25.0;
/// Minimum service time and mean of the random extra time, in milliseconds.
const SERVICE_MS: [u64; 2] = [10, 15];

/// A scenario converted from a bench day, and a list of what it leaves out.
pub struct Replay {
    /// The converted scenario.
    pub scenario: FaultScenario,
    /// Parts of the bench day that were left out or changed, one line each.
    pub omissions: Vec<String>,
}

/// Parses a bench day and converts it to a scenario at the given scale.
///
/// # Errors
/// The text is not a valid bench day, or a fault of the converted scenario is invalid.
pub fn convert_bench_day(text: &str, scale: ReplayScale) -> Result<Replay, ScenarioError> {
    let day: BenchDay =
        serde_json::from_str(text).map_err(|error| ScenarioError::Invalid(error.to_string()))?;
    let mut omissions = vec![describe_scaling(&day, scale)];
    let partners = busiest_partners(&day, scale.partners);
    let mut faults = BTreeMap::new();
    let mut converter = FaultConverter { day: &day, partners: &partners, scale, omissions: &mut omissions };
    for (number, fault) in day.faults.iter().enumerate() {
        faults.extend(converter.convert(number, fault));
    }
    omissions.push("traffic's shape, bursts, patience of clients and delays of the network".into());
    let classes = day.classes.iter().map(|class| (class.name.clone(), class_settings(class, scale)));
    let scenario = FaultScenario {
        messages: (scale.rate * scale.seconds(day.length)) as u32,
        rate: scale.rate,
        gateways: scale.gateways,
        classes: classes.collect(),
        partners: partner_settings(&day, &partners, scale),
        faults,
        rules: rule_settings(&day, scale),
        dropped_connection_share: 0.0,
        workers: 0,
    };
    scenario.fault_schedule()?;
    Ok(Replay { scenario, omissions })
}

fn describe_scaling(day: &BenchDay, scale: ReplayScale) -> String {
    format!(
        "size: {} gateways, {} destinations and {:.0} messages a second become {}, {} and {:.0}; times are \
         divided by {}",
        day.gateways.len(),
        day.family.share.len(),
        day.family.capacity * day.traffic.load,
        scale.gateways,
        scale.partners.min(day.family.share.len()),
        scale.rate,
        scale.speed,
    )
}

/// Positions of the `count` destinations with the most traffic, the busiest first.
fn busiest_partners(day: &BenchDay, count: usize) -> Vec<usize> {
    let share = &day.family.share;
    let mut by_share: Vec<usize> = (0..share.len()).collect();
    by_share.sort_by(|one, other| share[*other].total_cmp(&share[*one]));
    by_share.truncate(count);
    by_share
}

fn rule_settings(day: &BenchDay, scale: ReplayScale) -> RuleSettings {
    let kind = day.tiers.first().and_then(|tier| tier.server_kinds.first());
    RuleSettings {
        drain_grace_ms: (day.drain_grace / US_PER_MS) as u64,
        order_settle_ms: (day.order_settle / US_PER_MS) as u64,
        initial_capacity_share: kind.map_or(0.2, |kind| kind.initial_capacity_share),
        warm_up_ms: kind.map_or(4000, |kind| scale.milliseconds(kind.warm_up)),
        overload_multiple: day.overload_multiple.max(1.2),
        overload_window_ms: scale.milliseconds(day.overload_window).max(300),
        ..RuleSettings::default()
    }
}

fn class_settings(class: &BenchClass, scale: ReplayScale) -> ClassSettings {
    let is_keyed = class.effect == "keyed";
    ClassSettings {
        share: class.share,
        effect: class.effect.clone(),
        group: if class.group == "zone" { "zone" } else { "all" }.into(),
        ordered: class.ordered,
        keys: 200,
        latency_objective: scale.seconds(class.latency_objective).max(0.3),
        deadline: scale.seconds(class.deadline).max(2.0),
        retry_window: if is_keyed { scale.seconds(class.retry_window).max(0.5) } else { 0.0 },
        priority_weight: class.priority_weight,
    }
}

fn partner_settings(
    day: &BenchDay,
    positions: &[usize],
    scale: ReplayScale,
) -> BTreeMap<String, PartnerSettings> {
    let kept_share: f64 = positions.iter().map(|position| day.family.share[*position]).sum();
    let settings = |position: &usize| {
        let rate = scale.rate * day.family.share[*position] / kept_share.max(1e-6);
        (partner_name(*position), partner_from_destination(day, *position, rate))
    };
    positions.iter().map(settings).collect()
}

/// Settings of the partner for one destination, which gets `rate` messages per second in the scenario.
fn partner_from_destination(day: &BenchDay, position: usize, rate: f64) -> PartnerSettings {
    let family = &day.family;
    let share = family.share[position];
    let destination_kind =
        family.kind_of_destination.get(position).and_then(|kind| family.destination_kinds.get(*kind));
    // A destination with separate routes has limits for each; a partner has one limit for all of them, so they are added.
    let routes: Vec<&RouteLimits> =
        family.routes.iter().filter(|route| route.destination == position).collect();
    let sum = |of: fn(&RouteLimits) -> f64| routes.iter().map(|route| of(route)).sum::<f64>();
    // The ratio of capacity to traffic is kept at every scale.
    let bench_rate = (share * family.capacity * day.traffic.load).max(1e-6);
    let capacity = if routes.is_empty() { 1.5 } else { sum(|route| route.capacity) / bench_rate } * rate;
    let is_limited = destination_kind.is_some_and(|kind| kind.rate_limit != "none");
    PartnerSettings {
        share,
        endpoints: day.servers.iter().filter(|server| server.destination == position).count().clamp(1, 4),
        servers: ((capacity * MEAN_SERVICE_MS / 1000.0).ceil() as usize).max(1),
        queue: ((capacity * 0.4) as usize).max(4),
        service_ms: SERVICE_MS,
        limit: is_limited.then(|| (sum(|route| route.rate_limit) / bench_rate * rate).max(3.0)),
        sends_retry_after: destination_kind.is_some_and(|kind| kind.sends_retry_after > 0.5),
        encrypted: false,
        deferred: false,
        certificate_mismatch: false,
        spill_share: None,
        zones: Vec::new(),
        deduplication_s: 60.0,
        batch: destination_kind.map_or(1, |kind| kind.batch.max(1)),
    }
}
