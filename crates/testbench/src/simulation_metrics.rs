//! Metrics of a simulated failover run: delivered value, recovery time, load of recovering destinations, spillover.

use cloverstile_engine::FinalOutcome;
use cloverstile_simulator::{FailoverRun, FailoverScenario, MessageHistory, RecoveryWindow};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Length of the sliding window over which the lowest value ratio is computed, in seconds.
const WORST_WINDOW_SECONDS: usize = 10;
/// Service is full when at least this share of the submitted value is earned ...
const FULL_SERVICE_SHARE: f64 = 0.95;
/// ... over this many consecutive seconds.
const FULL_SERVICE_SECONDS: usize = 3;
/// Seconds with fewer pending messages are skipped, since a share of so few is not meaningful.
const MIN_PENDING: f64 = 50.0;

/// The metrics of one failover run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SimulationMetrics {
    /// Number of messages submitted.
    pub messages: usize,
    /// Share of the messages that was delivered.
    #[serde(rename = "delivered")]
    pub delivered_share: f64,
    /// Earned value as a share of the value of all messages, had each been delivered in time.
    #[serde(rename = "worth")]
    pub value_ratio: f64,
    /// The lowest value ratio of the messages submitted in any ten consecutive seconds.
    #[serde(rename = "worst_ten_s")]
    pub worst_value_ratio: f64,
    /// Seconds from the last recovery of a destination until full service; `None` without a recovery or if full service
    /// was never reached.
    #[serde(rename = "full_service_s")]
    pub time_to_full_service_s: Option<f64>,
    /// Number of 100 ms windows measured at recovering destinations.
    pub windows: usize,
    /// Number of those windows with more requests than the destination withstands.
    pub windows_over_bound: usize,
    /// Highest ratio of a window's requests to the number that the destination withstands.
    #[serde(rename = "worst_of_bound")]
    pub peak_bound_ratio: f64,
    /// Highest ratio of a window's requests to the number that the destination can serve.
    #[serde(rename = "worst_of_capacity")]
    pub peak_capacity_ratio: f64,
    /// Highest ratio, in any second, of spilled to permitted messages. Permitted is the spill share of the messages
    /// that were submitted or pending in that second.
    #[serde(rename = "worst_spill")]
    pub peak_spill_ratio: f64,
    /// Most messages that a gateway spilled for a destination beyond the spill share of those it had accepted for it
    /// since the first fault. Since a message can't be split, an excess of one is allowed.
    pub spill_excess: f64,
    /// Number of messages that reached a tier behind the preferred one; each counts once.
    #[serde(rename = "spilt")]
    pub spilled: u64,
    /// Number of violations of the delivery invariants.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Violations by kind: missing or extra outcome, late or wrong outcome, repeated effect, order, send to a draining
    /// endpoint, collapsed destination, `Retry-After` not honoured.
    #[serde(rename = "broken_by_kind")]
    pub violations_by_kind: [u64; 7],
    /// Number of requests at all destinations.
    pub requests: u64,
}

/// Offered and earned value of a set of messages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Value {
    /// Sum of the priority weights: the value if every message is delivered in time.
    pub offered: f64,
    /// Sum of the values of the delivered messages, each by its age at delivery.
    pub earned: f64,
}

fn value_of(scenario: &FailoverScenario, message: &MessageHistory) -> Value {
    // Class indices follow the order of the class names.
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

/// Offered and earned value, by the second in which the messages were submitted.
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

/// Ratio of earned to offered value; 1 if nothing was offered.
fn value_ratio(seconds: &[Value]) -> f64 {
    let offered = seconds.iter().fold(0.0, |sum, second| sum + second.offered);
    let earned = seconds.iter().fold(0.0, |sum, second| sum + second.earned);
    if offered > 0.0 {
        earned / offered
    } else {
        1.0
    }
}

/// Seconds from a time until full service begins; `None` if it never does.
fn time_to_full_service(seconds: &[Value], since: Duration) -> Option<f64> {
    let first = since.as_secs() as usize;
    let rest = seconds.get(first..).unwrap_or_default();
    let offset =
        rest.windows(FULL_SERVICE_SECONDS).position(|window| value_ratio(window) >= FULL_SERVICE_SHARE)?;
    Some(((first + offset) as f64 - since.as_secs_f64()).max(0.0))
}

impl SimulationMetrics {
    /// Computes the metrics from the record of a run.
    pub fn new(scenario: &FailoverScenario, run: &FailoverRun) -> SimulationMetrics {
        let seconds = value_by_second(scenario, run);
        let last_recovery = run.windows.iter().map(|window| window.start - window.since_recovery).max();
        let is_delivered =
            |message: &&MessageHistory| matches!(message.outcome, Some((FinalOutcome::Delivered, _)));
        let delivered = run.messages.iter().filter(is_delivered).count();
        let max_over_windows =
            |of: fn(&RecoveryWindow) -> f64| run.windows.iter().map(of).fold(0.0, f64::max);
        let is_over_bound =
            |window: &&RecoveryWindow| f64::from(window.received) > window.collapse_bound.max(1.0);
        let violations = &run.violations;
        SimulationMetrics {
            messages: run.messages.len(),
            delivered_share: delivered as f64 / run.messages.len().max(1) as f64,
            value_ratio: value_ratio(&seconds),
            worst_value_ratio: seconds.windows(WORST_WINDOW_SECONDS).map(value_ratio).fold(1.0, f64::min),
            time_to_full_service_s: last_recovery.and_then(|since| time_to_full_service(&seconds, since)),
            windows: run.windows.len(),
            windows_over_bound: run.windows.iter().filter(is_over_bound).count(),
            peak_bound_ratio: max_over_windows(|window| {
                f64::from(window.received) / window.collapse_bound.max(1.0)
            }),
            peak_capacity_ratio: max_over_windows(|window| {
                f64::from(window.received) / window.capacity.max(1.0)
            }),
            peak_spill_ratio: peak_spill_ratio(scenario, run),
            spill_excess: spill_excess(scenario, run),
            spilled: run.seconds.iter().map(|second| u64::from(second.spilled)).sum(),
            violations: violations.total(),
            violations_by_kind: [
                violations.missing_or_extra_outcomes,
                violations.late_or_wrong_outcomes,
                violations.repeated_effects,
                violations.out_of_order,
                violations.sends_after_drain,
                violations.collapsed_sites,
                violations.early_retries,
            ],
            requests: run.requests,
        }
    }
}

/// The spill share of each destination, by index; each copy has its own entry.
fn spill_shares(scenario: &FailoverScenario) -> Vec<f64> {
    let destinations = scenario.destinations.values();
    destinations
        .flat_map(|destination| std::iter::repeat_n(destination.spill_share, destination.copies))
        .collect()
}

/// Messages of one second that count towards spillover.
#[derive(Clone, Copy, Default)]
struct SpillSecond {
    /// Sum of the spill shares of the pending messages: how many were permitted to spill.
    permitted: f64,
    /// Messages that were submitted or still pending.
    pending: f64,
    /// Messages that spilled.
    spilled: f64,
}

/// Highest ratio of spilled to permitted messages in a second, over all destinations with any spilled message.
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
                second.pending += 1.0;
            }
        }
        if let Some(second) = message.spilled_at.and_then(|at| seconds.get_mut(at.as_secs() as usize)) {
            second.spilled += 1.0;
        }
    }
    let measured = seconds.iter().filter(|second| second.pending >= MIN_PENDING && second.permitted > 0.0);
    measured.map(|second| second.spilled / second.permitted).fold(0.0, f64::max)
}

/// Most messages by which a gateway's spill for a destination exceeded the spill share of the messages that it had
/// accepted since the first fault.
fn spill_excess(scenario: &FailoverScenario, run: &FailoverRun) -> f64 {
    let shares = spill_shares(scenario);
    let first_fault = scenario.faults.values().map(|fault| fault.at).fold(f64::INFINITY, f64::min);
    let longest_deadline = scenario.classes.values().map(|class| class.deadline).fold(0.0, f64::max);
    // Times of submissions (false) and spills (true), by gateway and destination.
    let mut events: BTreeMap<(u32, u32), Vec<(Duration, bool)>> = BTreeMap::new();
    for message in &run.messages {
        // Messages submitted less than the longest deadline before the fault may still have been pending.
        if message.submitted_at.as_secs_f64() >= first_fault - longest_deadline {
            let events = events.entry((message.instance, message.destination)).or_default();
            events.push((message.submitted_at, false));
            events.extend(message.spilled_at.map(|at| (at, true)));
        }
    }
    let mut max_excess = 0.0_f64;
    for ((_, destination), mut events) in events {
        events.sort_unstable();
        let mut excess = 0.0;
        for (_, spilled) in events {
            excess += if spilled { 1.0 } else { -shares[destination as usize] };
            max_excess = max_excess.max(excess);
        }
    }
    max_excess
}
