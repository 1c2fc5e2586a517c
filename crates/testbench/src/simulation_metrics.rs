//! Metrics of a simulated run: delivered value, the worst ten seconds, time to full service, load of recovering sites,
//! spillover.

use cloverstile_engine::FinalOutcome;
use cloverstile_simulator::{FailoverRun, FailoverScenario, MessageHistory, RecoveryWindow};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Seconds of submissions in which the worst is looked for.
const WORST_SECONDS: usize = 10;
/// Service is full where this share of the submitted value is earned ...
const FULL_SERVICE_SHARE: f64 = 0.95;
/// ... in this many seconds in a row.
const FULL_SERVICE_SECONDS: usize = 3;
/// Seconds in which fewer messages are wanted say nothing of a share.
const MIN_WANTED: f64 = 50.0;

/// The metrics of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SimulationMetrics {
    /// Messages submitted.
    pub messages: usize,
    /// Share of them that was delivered.
    #[serde(rename = "delivered")]
    pub delivered_share: f64,
    /// Value earned, as a share of what all messages in time would have earned.
    #[serde(rename = "worth")]
    pub value_ratio: f64,
    /// The same of the messages submitted during the worst ten seconds in a row.
    #[serde(rename = "worst_ten_s")]
    pub worst_value_ratio: f64,
    /// From the last return of a site until full service, in seconds; none where there was no return or it never came.
    #[serde(rename = "full_service_s")]
    pub time_to_full_service_s: Option<f64>,
    /// Windows of 100 ms at recovering sites.
    pub windows: usize,
    /// ... that got more than the site survives.
    pub windows_over_bound: usize,
    /// Most that a window got, as a share of what the site survives.
    #[serde(rename = "worst_of_bound")]
    pub peak_bound_ratio: f64,
    /// Most that a window got, as a share of what the site can serve.
    #[serde(rename = "worst_of_capacity")]
    pub peak_capacity_ratio: f64,
    /// Most that spilled in a second, as a share of what was permitted: the spill share of the messages that were
    /// submitted then or waited for the destination.
    #[serde(rename = "worst_spill")]
    pub peak_spill_ratio: f64,
    /// Most by which what a gateway spilled was above its share of what it had accepted for a destination since the
    /// first fault, in messages. A message can't be split, so that one is allowed.
    pub spill_excess: f64,
    /// Messages that first reached a tier behind the preferred one.
    #[serde(rename = "spilt")]
    pub spilled: u64,
    /// Violations of the delivery invariants.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Violations by kind: no single outcome, late or untrue outcome, repeated effect, order, send to a draining
    /// endpoint, overloaded site, `Retry-After` ignored.
    #[serde(rename = "broken_by_kind")]
    pub violations_by_kind: [u64; 7],
    /// Requests at the sites.
    pub requests: u64,
}

/// Value of messages: what they would earn in time, and what they earned.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Value {
    /// Sum of the priority weights.
    pub offered: f64,
    /// Sum of the values of those delivered, by their age then.
    pub earned: f64,
}

fn value_of(scenario: &FailoverScenario, message: &MessageHistory) -> Value {
    // Classes are numbered in the order of their names.
    let Some(class) = scenario.classes.values().nth(usize::from(message.class)) else {
        return Value::default();
    };
    let earned = match message.outcome {
        Some((FinalOutcome::Delivered, at)) => {
            class.value_at(at.saturating_sub(message.submitted_at).as_secs_f64())
        }
        _ => 0.0,
    };
    Value { offered: class.priority_weight, earned }
}

/// Value of the messages by the second of their submission.
pub fn value_by_second(scenario: &FailoverScenario, run: &FailoverRun) -> Vec<Value> {
    let mut seconds = vec![Value::default(); scenario.seconds.ceil() as usize];
    for message in &run.messages {
        if let Some(sum) = seconds.get_mut(message.submitted_at.as_secs() as usize) {
            let value = value_of(scenario, message);
            sum.offered += value.offered;
            sum.earned += value.earned;
        }
    }
    seconds
}

/// Earned over offered value; 1 where nothing was offered.
fn ratio(seconds: &[Value]) -> f64 {
    let offered = seconds.iter().fold(0.0, |sum, second| sum + second.offered);
    let earned = seconds.iter().fold(0.0, |sum, second| sum + second.earned);
    if offered > 0.0 {
        earned / offered
    } else {
        1.0
    }
}

/// Seconds from a time until full service begins.
fn time_to_full_service(seconds: &[Value], since: Duration) -> Option<f64> {
    let first = since.as_secs() as usize;
    let rest = seconds.get(first..).unwrap_or_default();
    let begin = rest.windows(FULL_SERVICE_SECONDS).position(|part| ratio(part) >= FULL_SERVICE_SHARE)?;
    Some(((first + begin) as f64 - since.as_secs_f64()).max(0.0))
}

impl SimulationMetrics {
    /// The metrics of a run.
    pub fn new(scenario: &FailoverScenario, run: &FailoverRun) -> SimulationMetrics {
        let seconds = value_by_second(scenario, run);
        let last_return = run.windows.iter().map(|window| window.start - window.since_recovery).max();
        let is_delivered =
            |message: &&MessageHistory| matches!(message.outcome, Some((FinalOutcome::Delivered, _)));
        let delivered = run.messages.iter().filter(is_delivered).count();
        let most = |of: fn(&RecoveryWindow) -> f64| run.windows.iter().map(of).fold(0.0, f64::max);
        let is_over_bound =
            |window: &&RecoveryWindow| f64::from(window.received) > window.collapse_bound.max(1.0);
        let audit = &run.violations;
        SimulationMetrics {
            messages: run.messages.len(),
            delivered_share: delivered as f64 / run.messages.len().max(1) as f64,
            value_ratio: ratio(&seconds),
            worst_value_ratio: seconds.windows(WORST_SECONDS).map(ratio).fold(1.0, f64::min),
            time_to_full_service_s: last_return.and_then(|since| time_to_full_service(&seconds, since)),
            windows: run.windows.len(),
            windows_over_bound: run.windows.iter().filter(is_over_bound).count(),
            peak_bound_ratio: most(|window| f64::from(window.received) / window.collapse_bound.max(1.0)),
            peak_capacity_ratio: most(|window| f64::from(window.received) / window.capacity.max(1.0)),
            peak_spill_ratio: peak_spill_ratio(scenario, run),
            spill_excess: spill_excess(scenario, run),
            spilled: run.seconds.iter().map(|second| u64::from(second.spilled)).sum(),
            violations: audit.total(),
            violations_by_kind: [
                audit.missing_or_extra_outcomes,
                audit.late_or_wrong_outcomes,
                audit.repeated_effects,
                audit.out_of_order,
                audit.sends_after_drain,
                audit.collapsed_sites,
                audit.early_retries,
            ],
            requests: run.requests,
        }
    }
}

/// The spill share of each destination, in the order of their numbers.
fn spill_shares(scenario: &FailoverScenario) -> Vec<f64> {
    let destinations = scenario.destinations.values();
    destinations
        .flat_map(|destination| std::iter::repeat_n(destination.spill_share, destination.copies))
        .collect()
}

/// Spillover of one second.
#[derive(Clone, Copy, Default)]
struct SpillSecond {
    /// Sum of the spill shares of the messages that were wanted.
    permitted: f64,
    /// Messages that were submitted, or waited.
    wanted: f64,
    /// Messages that spilled.
    spilled: f64,
}

/// Spill of each second against the share of what was wanted then, over all destinations that spilled at all.
fn peak_spill_ratio(scenario: &FailoverScenario, run: &FailoverRun) -> f64 {
    let shares = spill_shares(scenario);
    let spilling: BTreeSet<u32> = run
        .messages
        .iter()
        .filter(|message| message.spilled_at.is_some())
        .map(|message| message.destination)
        .collect();
    let mut seconds = vec![SpillSecond::default(); run.seconds.len() + 1];
    for message in run.messages.iter().filter(|message| spilling.contains(&message.destination)) {
        let completed_at = message.outcome.map_or(message.deadline, |(_, at)| at);
        let until = message.spilled_at.map_or(completed_at, |at| at.min(completed_at));
        for second in message.submitted_at.as_secs()..=until.as_secs() {
            if let Some(second) = seconds.get_mut(second as usize) {
                second.permitted += shares[message.destination as usize];
                second.wanted += 1.0;
            }
        }
        if let Some(second) = message.spilled_at.and_then(|at| seconds.get_mut(at.as_secs() as usize)) {
            second.spilled += 1.0;
        }
    }
    let measured = seconds.iter().filter(|second| second.wanted >= MIN_WANTED && second.permitted > 0.0);
    measured.map(|second| second.spilled / second.permitted).fold(0.0, f64::max)
}

/// By how much a gateway's spill for a destination was above its share of what it accepted since the first fault.
fn spill_excess(scenario: &FailoverScenario, run: &FailoverRun) -> f64 {
    let shares = spill_shares(scenario);
    let first_fault = scenario.faults.values().map(|fault| fault.at).fold(f64::INFINITY, f64::min);
    let longest = scenario.classes.values().map(|class| class.deadline).fold(0.0, f64::max);
    // Times at which a message was submitted (false) or spilled (true), by gateway and destination.
    let mut events: BTreeMap<(u32, u32), Vec<(Duration, bool)>> = BTreeMap::new();
    for message in &run.messages {
        // What was submitted shortly before may have waited still.
        if message.submitted_at.as_secs_f64() >= first_fault - longest {
            let events = events.entry((message.instance, message.destination)).or_default();
            events.push((message.submitted_at, false));
            events.extend(message.spilled_at.map(|at| (at, true)));
        }
    }
    let mut most = 0.0_f64;
    for ((_, destination), mut events) in events {
        events.sort_unstable();
        let mut excess = 0.0;
        for (_, spilled) in events {
            excess += if spilled { 1.0 } else { -shares[destination as usize] };
            most = most.max(excess);
        }
    }
    most
}
