//! Turns a day of the users' bench (the JSON that it draws) into a script for real couriers, scaled to one
//! machine. What can't be played is said.

use crate::scenario::{ClassSettings, FaultScenario, PartnerSettings, Rules, ScenarioError, Trouble};
use serde::Deserialize;
use std::collections::BTreeMap;

/// What is kept of a bench day's size.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Partners, those with the most traffic.
    pub partners: usize,
    /// Couriers.
    pub couriers: usize,
    /// Messages a second.
    pub rate: f64,
    /// Bench seconds in one of ours.
    pub pace: f64,
}

impl Default for Scale {
    fn default() -> Self {
        Scale { partners: 10, couriers: 3, rate: 200.0, pace: 3.0 }
    }
}

#[derive(Deserialize)]
struct Drawn {
    length: f64,
    #[serde(default)]
    drain_grace: f64,
    #[serde(default)]
    fall_multiple: f64,
    #[serde(default)]
    fall_for: f64,
    #[serde(default)]
    order_settle: f64,
    traffic: Traffic,
    classes: Vec<DrawnClass>,
    tiers: Vec<Tier>,
    servers: Vec<Server>,
    balancers: Vec<serde_json::Value>,
    troubles: Vec<DrawnTrouble>,
    fam: Fam,
}

#[derive(Deserialize)]
struct Traffic {
    load: f64,
}

#[derive(Deserialize)]
struct DrawnClass {
    name: String,
    share: f64,
    aim: f64,
    deadline: f64,
    worth: f64,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window: f64,
    #[serde(default)]
    in_order: bool,
}

#[derive(Deserialize)]
struct Tier {
    kinds: Vec<DrawnKind>,
}

#[derive(Deserialize)]
struct DrawnKind {
    cold_from: f64,
    cold: f64,
}

#[derive(Deserialize)]
struct Server {
    cell: usize,
}

#[derive(Deserialize)]
struct DrawnTrouble {
    kind: String,
    at: f64,
    len: f64,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    extra: f64,
    #[serde(default)]
    on: Vec<usize>,
}

#[derive(Deserialize)]
struct Fam {
    capacity: f64,
    gates: Vec<Gate>,
    habits: Vec<Habit>,
    kind: Vec<usize>,
    share: Vec<f64>,
}

#[derive(Deserialize)]
struct Gate {
    dest: usize,
    limit: f64,
    room: f64,
}

#[derive(Deserialize)]
struct Habit {
    batch: u32,
    limit: String,
    tells_wait: f64,
}

/// A script, and what of the bench day it leaves out.
pub struct Replay {
    /// To be played.
    pub day: FaultScenario,
    /// In words, one a line.
    pub left_out: Vec<String>,
}

/// Reads a bench day.
pub fn read(text: &str, scale: Scale) -> Result<Replay, ScenarioError> {
    let drawn: Drawn = serde_json::from_str(text).map_err(|error| ScenarioError::Read(error.to_string()))?;
    let mut left_out = vec![format!(
        "size: {} couriers, {} destinations and {:.0} messages a second become {}, {} and {:.0}; times are \
         divided by {}",
        drawn.balancers.len(),
        drawn.fam.share.len(),
        drawn.fam.capacity * drawn.traffic.load,
        scale.couriers,
        scale.partners.min(drawn.fam.share.len()),
        scale.rate,
        scale.pace,
    )];
    let mut by_share: Vec<usize> = (0..drawn.fam.share.len()).collect();
    by_share.sort_by(|a, b| drawn.fam.share[*b].total_cmp(&drawn.fam.share[*a]));
    by_share.truncate(scale.partners);
    let length = drawn.length / 1e6 / scale.pace;
    let partner = partners(&drawn, &by_share, scale);
    let mut trouble = BTreeMap::new();
    for (number, told) in drawn.troubles.iter().enumerate() {
        let played = play(&drawn, told, number, &by_share, scale, &mut left_out);
        trouble.extend(played);
    }
    let kind = drawn.tiers.first().and_then(|tier| tier.kinds.first());
    let ms = |micros: f64| (micros / 1000.0 / scale.pace) as u64;
    let rules = Rules {
        drain_grace_ms: (drawn.drain_grace / 1000.0) as u64,
        order_settle_ms: (drawn.order_settle / 1000.0) as u64,
        cold_from: kind.map_or(0.2, |kind| kind.cold_from),
        cold_ms: kind.map_or(4000, |kind| ms(kind.cold)),
        tip_multiple: drawn.fall_multiple.max(1.2),
        fall_ms: ms(drawn.fall_for).max(300),
        ..Rules::default()
    };
    let class = drawn.classes.iter().map(|class| (class.name.clone(), read_class(class, scale))).collect();
    left_out.push("traffic's shape, clumps, patience of clients and delays of the network".into());
    let day = FaultScenario {
        messages: (scale.rate * length) as u32,
        rate: scale.rate,
        couriers: scale.couriers,
        class,
        partner,
        trouble,
        rules,
        drops: 0.0,
        workers: 0,
    };
    day.acts()?;
    Ok(Replay { day, left_out })
}

fn read_class(class: &DrawnClass, scale: Scale) -> ClassSettings {
    let seconds = |micros: f64| micros / 1e6 / scale.pace;
    ClassSettings {
        share: class.share,
        effect: class.effect.clone(),
        group: if class.group == "zone" { "zone" } else { "all" }.into(),
        in_order: class.in_order,
        keys: 200,
        aim: seconds(class.aim).max(0.3),
        deadline: seconds(class.deadline).max(2.0),
        window: if class.effect == "keyed" { seconds(class.window).max(0.5) } else { 0.0 },
        worth: class.worth,
    }
}

fn partners(drawn: &Drawn, by_share: &[usize], scale: Scale) -> BTreeMap<String, PartnerSettings> {
    let kept: f64 = by_share.iter().map(|place| drawn.fam.share[*place]).sum();
    let mut all = BTreeMap::new();
    for place in by_share {
        let share = drawn.fam.share[*place];
        let habit = drawn.fam.kind.get(*place).and_then(|kind| drawn.fam.habits.get(*kind));
        // Where routes are apart, a destination has a gate for each; ours has one for all of them.
        let gates: Vec<&Gate> = drawn.fam.gates.iter().filter(|gate| gate.dest == *place).collect();
        let sum = |of: fn(&Gate) -> f64| gates.iter().map(|gate| of(gate)).sum::<f64>();
        // What it takes, over what it is sent on this day: kept, whatever the size.
        let wanted = (share * drawn.fam.capacity * drawn.traffic.load).max(1e-6);
        let ours = scale.rate * share / kept.max(1e-6);
        let room = if gates.is_empty() { 1.5 } else { sum(|gate| gate.room) / wanted } * ours;
        let limited = habit.is_some_and(|habit| habit.limit != "none");
        let mean_ms = 25.0;
        let partner = PartnerSettings {
            share,
            endpoints: drawn.servers.iter().filter(|server| server.cell == *place).count().clamp(1, 4),
            servers: ((room * mean_ms / 1000.0).ceil() as usize).max(1),
            queue: ((room * 0.4) as usize).max(4),
            service_ms: [10, 15],
            limit: limited.then(|| (sum(|gate| gate.limit) / wanted * ours).max(3.0)),
            tells_wait: habit.is_some_and(|habit| habit.tells_wait > 0.5),
            encrypted: false,
            deferred: false,
            mismatched: false,
            spill_share: None,
            zones: Vec::new(),
            repeats_s: 60.0,
            batch: habit.map_or(1, |habit| habit.batch.max(1)),
        };
        all.insert(name(*place), partner);
    }
    all
}

fn name(place: usize) -> String {
    format!("dest-{place:03}")
}

/// A bench trouble as ours, one for each partner struck; or a line that says why it is left out.
fn play(
    drawn: &Drawn,
    told: &DrawnTrouble,
    number: usize,
    kept: &[usize],
    scale: Scale,
    left_out: &mut Vec<String>,
) -> BTreeMap<String, Trouble> {
    let at = told.at / 1e6 / scale.pace;
    let lasts = told.len / 1e6 / scale.pace;
    let struck: Vec<usize> = kept
        .iter()
        .copied()
        .filter(|place| {
            told.on.iter().any(|server| drawn.servers.get(*server).is_some_and(|s| s.cell == *place))
        })
        .collect();
    let plain = |kind: &str, size: f64| Trouble {
        at,
        lasts,
        sway: 0.0,
        partner: None,
        zone: None,
        endpoint: 0,
        courier: None,
        kind: kind.into(),
        size,
    };
    let on_each = |kind: &str, size: f64, who: &[usize]| -> BTreeMap<String, Trouble> {
        let one = |place: &usize| {
            let trouble = Trouble { partner: Some(name(*place)), ..plain(kind, size) };
            (format!("{number} {} at {}", told.kind, name(*place)), trouble)
        };
        who.iter().map(one).collect()
    };
    let played = match told.kind.as_str() {
        "hang" => on_each("silent", 1.0, &struck),
        "crash" | "preempt" | "peer_down" => on_each("refuse", 1.0, &struck),
        "vanish" => {
            left_out.push(format!("{number} vanish: played as refused connections, not as lost packets"));
            on_each("refuse", 1.0, &struck)
        }
        "fast_errors" if told.size >= 0.99 => on_each("shut", 1.0, &struck),
        "fast_errors" => on_each("errors", told.size, &struck),
        "slow" => on_each("slow", told.size.max(1.0), &struck),
        "shared_slow" => on_each("slow", told.size.max(1.0), kept),
        "answer_lost" => on_each("lose-answers", told.size.clamp(0.05, 0.9), &struck),
        "idle_reap" => on_each("reap", told.size / scale.pace, &struck),
        "pauses" => {
            let gap = (told.extra / scale.pace).max(0.3);
            left_out.push(format!("{number} pauses: played as answers {:.0} ms late", told.size));
            let mut all = BTreeMap::new();
            for (place, trouble) in on_each("late", told.size / 1000.0, &struck) {
                for (turn, start) in (0..40).map(|turn| (turn, at + f64::from(turn) * gap)) {
                    if start < at + lasts {
                        let lasts = (told.size / 1000.0).min(gap * 0.8);
                        all.insert(
                            format!("{place} {turn:02}"),
                            Trouble { at: start, lasts, ..trouble.clone() },
                        );
                    }
                }
            }
            all
        }
        "burst" | "tenant_burst" => {
            BTreeMap::from([(format!("{number} {}", told.kind), plain("burst", told.size.max(1.0)))])
        }
        "balancer_crash" | "balancer_roll" => {
            let courier = number % scale.couriers;
            let trouble =
                Trouble { courier: Some(courier), lasts: lasts.clamp(0.5, 2.0), ..plain("kill", 1.0) };
            left_out.push(format!("{number} {}: one courier is killed", told.kind));
            BTreeMap::from([(format!("{number} {}", told.kind), trouble)])
        }
        "deploy" => on_each("drain", 1.0, &struck),
        other => {
            left_out.push(format!("{number} {other}: not played"));
            return BTreeMap::new();
        }
    };
    if played.is_empty() {
        left_out.push(format!("{number} {}: strikes none of the partners that are kept", told.kind));
    }
    played
}
