//! Converts a day of the users' bench (the JSON that it draws) into a fault scenario, scaled to one machine. What can't
//! be played is listed.

mod bench_day;
mod faults;
mod scale;

pub use scale::ReplayScale;

use crate::scenario::{ClassSettings, FaultScenario, PartnerSettings, RuleSettings, ScenarioError};
use bench_day::{BenchClass, BenchDay, Gate};
use faults::FaultConverter;
use scale::{partner_name, US_PER_MS};
use std::collections::BTreeMap;

/// Mean time of a request at a partner, in milliseconds.
const MEAN_SERVICE_MS: f64 = 25.0;
/// Least time of a request and the mean of what chance adds, in milliseconds.
const SERVICE_MS: [u64; 2] = [10, 15];

/// A scenario, and what of the bench day it leaves out.
pub struct Replay {
    /// The scenario.
    pub scenario: FaultScenario,
    /// What was left out or changed, one sentence each.
    pub omissions: Vec<String>,
}

/// Reads a bench day and converts it.
///
/// # Errors
/// The text is not a day of the bench, or the converted scenario is invalid.
pub fn convert_bench_day(text: &str, scale: ReplayScale) -> Result<Replay, ScenarioError> {
    let day: BenchDay =
        serde_json::from_str(text).map_err(|error| ScenarioError::Invalid(error.to_string()))?;
    let mut omissions = vec![describe_scaling(&day, scale)];
    let partners = busiest_partners(&day, scale.partners);
    let mut faults = BTreeMap::new();
    let mut converter = FaultConverter { day: &day, partners: &partners, scale, omissions: &mut omissions };
    for (number, fault) in day.troubles.iter().enumerate() {
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
        day.balancers.len(),
        day.family.share.len(),
        day.family.capacity * day.traffic.load,
        scale.gateways,
        scale.partners.min(day.family.share.len()),
        scale.rate,
        scale.speed,
    )
}

/// Positions of the destinations with the most traffic.
fn busiest_partners(day: &BenchDay, count: usize) -> Vec<usize> {
    let share = &day.family.share;
    let mut by_share: Vec<usize> = (0..share.len()).collect();
    by_share.sort_by(|one, other| share[*other].total_cmp(&share[*one]));
    by_share.truncate(count);
    by_share
}

fn rule_settings(day: &BenchDay, scale: ReplayScale) -> RuleSettings {
    let kind = day.tiers.first().and_then(|tier| tier.kinds.first());
    RuleSettings {
        drain_grace_ms: (day.drain_grace / US_PER_MS) as u64,
        order_settle_ms: (day.order_settle / US_PER_MS) as u64,
        initial_capacity_share: kind.map_or(0.2, |kind| kind.cold_from),
        warm_up_ms: kind.map_or(4000, |kind| scale.milliseconds(kind.cold)),
        overload_multiple: day.fall_multiple.max(1.2),
        overload_window_ms: scale.milliseconds(day.fall_for).max(300),
        ..RuleSettings::default()
    }
}

fn class_settings(class: &BenchClass, scale: ReplayScale) -> ClassSettings {
    let is_keyed = class.effect == "keyed";
    ClassSettings {
        share: class.share,
        effect: class.effect.clone(),
        group: if class.group == "zone" { "zone" } else { "all" }.into(),
        ordered: class.in_order,
        keys: 200,
        latency_objective: scale.seconds(class.aim).max(0.3),
        deadline: scale.seconds(class.deadline).max(2.0),
        retry_window: if is_keyed { scale.seconds(class.window).max(0.5) } else { 0.0 },
        priority_weight: class.worth,
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
        (partner_name(*position), one_partner(day, *position, rate))
    };
    positions.iter().map(settings).collect()
}

/// Settings of a partner that is sent so many messages a second by the scenario.
fn one_partner(day: &BenchDay, position: usize, rate: f64) -> PartnerSettings {
    let family = &day.family;
    let share = family.share[position];
    let habit = family.kind.get(position).and_then(|kind| family.habits.get(*kind));
    // Where routes are apart, a destination has a gate for each; a partner of ours has one for all of them.
    let gates: Vec<&Gate> = family.gates.iter().filter(|gate| gate.dest == position).collect();
    let sum = |of: fn(&Gate) -> f64| gates.iter().map(|gate| of(gate)).sum::<f64>();
    // What it takes over what it is sent on this day is kept, whatever the size.
    let bench_rate = (share * family.capacity * day.traffic.load).max(1e-6);
    let capacity = if gates.is_empty() { 1.5 } else { sum(|gate| gate.room) / bench_rate } * rate;
    let is_limited = habit.is_some_and(|habit| habit.limit != "none");
    PartnerSettings {
        share,
        endpoints: day.servers.iter().filter(|server| server.cell == position).count().clamp(1, 4),
        servers: ((capacity * MEAN_SERVICE_MS / 1000.0).ceil() as usize).max(1),
        queue: ((capacity * 0.4) as usize).max(4),
        service_ms: SERVICE_MS,
        limit: is_limited.then(|| (sum(|gate| gate.limit) / bench_rate * rate).max(3.0)),
        sends_retry_after: habit.is_some_and(|habit| habit.tells_wait > 0.5),
        encrypted: false,
        deferred: false,
        certificate_mismatch: false,
        spill_share: None,
        zones: Vec::new(),
        deduplication_s: 60.0,
        batch: habit.map_or(1, |habit| habit.batch.max(1)),
    }
}
