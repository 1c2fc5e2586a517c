//! The record of an experiment as tables. Column names are part of the stored format, which other programs read, and
//! must not change.

use crate::simulation_metrics::{value_by_second, SimulationMetrics};
use crate::table::Table;
use cloverstile_engine::FinalOutcome;
use cloverstile_simulator::{FailoverRun, FailoverScenario, SpilloverPolicy};
use std::collections::BTreeMap;

/// The tables of an experiment, each of which is stored as a Parquet file.
#[derive(Clone, Debug, Default)]
pub struct ExperimentRecord {
    /// One row per run: its metrics.
    pub runs: Table,
    /// One row per second of a run: value and spillover.
    pub seconds: Table,
    /// One row per 100 ms window after a recovery, over all destinations of a run: the highest load ratios and the sum
    /// of the requests.
    pub windows: Table,
    /// One row per message class of a run: age at delivery, late and undelivered messages.
    pub classes: Table,
}

impl ExperimentRecord {
    /// Appends the rows of another record.
    pub(super) fn append(&mut self, other: ExperimentRecord) {
        self.runs.append(other.runs);
        self.seconds.append(other.seconds);
        self.windows.append(other.windows);
        self.classes.append(other.classes);
    }
}

/// The columns that identify a run in each table.
struct RunKey<'a> {
    texts: [(&'static str, &'a str); 2],
    seed: (&'static str, f64),
}

/// Builds the record of one run.
pub(super) fn record_run(
    scenario_name: &str,
    scenario: &FailoverScenario,
    policy: SpilloverPolicy,
    seed: u64,
    run: &FailoverRun,
) -> ExperimentRecord {
    let key = RunKey {
        texts: [("scenario", scenario_name), ("policy", policy.name())],
        seed: ("seed", seed as f64),
    };
    let mut record = ExperimentRecord::default();
    record_metrics(&mut record.runs, &key, scenario, run);
    record_seconds(&mut record.seconds, &key, scenario, run);
    record_windows(&mut record.windows, &key, run);
    record_classes(&mut record.classes, &key, scenario, run);
    record
}

fn record_metrics(table: &mut Table, key: &RunKey, scenario: &FailoverScenario, run: &FailoverRun) {
    let metrics = SimulationMetrics::new(scenario, run);
    table.push_row(
        &key.texts,
        &[
            key.seed,
            ("messages", metrics.messages as f64),
            ("delivered", metrics.delivered_share),
            ("worth", metrics.value_ratio),
            ("worst_ten_s", metrics.worst_value_ratio),
            ("full_service_s", metrics.time_to_full_service_s.unwrap_or(f64::NAN)),
            ("windows", metrics.windows as f64),
            ("windows_over_bound", metrics.windows_over_bound as f64),
            ("worst_of_bound", metrics.peak_bound_ratio),
            ("worst_of_capacity", metrics.peak_capacity_ratio),
            ("worst_spill", metrics.peak_spill_ratio),
            ("spilt", metrics.spilled as f64),
            ("broken", metrics.violations as f64),
        ],
    );
}

fn record_seconds(table: &mut Table, key: &RunKey, scenario: &FailoverScenario, run: &FailoverRun) {
    let values = value_by_second(scenario, run);
    for (number, (value, second)) in values.iter().zip(&run.seconds).enumerate() {
        let spill_share = f64::from(second.spilled) / f64::from(second.multi_tier.max(1));
        table.push_row(
            &key.texts,
            &[
                key.seed,
                ("second", number as f64),
                ("offered", value.offered),
                ("earned", value.earned),
                ("worth_delivered", second.delivered_value),
                ("spilt_of_handed", spill_share),
            ],
        );
    }
}

/// Load of all recovering destinations in one window after a recovery.
#[derive(Default)]
struct WindowLoad {
    peak_bound_ratio: f64,
    peak_capacity_ratio: f64,
    received: f64,
}

fn record_windows(table: &mut Table, key: &RunKey, run: &FailoverRun) {
    let mut windows: BTreeMap<u128, WindowLoad> = BTreeMap::new();
    for window in &run.windows {
        let received = f64::from(window.received);
        let load = windows.entry(window.since_recovery.as_millis()).or_default();
        load.peak_bound_ratio = load.peak_bound_ratio.max(received / window.collapse_bound.max(1.0));
        load.peak_capacity_ratio = load.peak_capacity_ratio.max(received / window.capacity.max(1.0));
        load.received += received;
    }
    for (after_ms, load) in windows {
        table.push_row(
            &key.texts,
            &[
                key.seed,
                ("after_ms", after_ms as f64),
                ("fullest_of_bound", load.peak_bound_ratio),
                ("fullest_of_capacity", load.peak_capacity_ratio),
                ("received", load.received),
            ],
        );
    }
}

fn record_classes(table: &mut Table, key: &RunKey, scenario: &FailoverScenario, run: &FailoverRun) {
    for (number, (name, class)) in scenario.classes.iter().enumerate() {
        let mut messages = 0.0_f64;
        let mut ages: Vec<f64> = Vec::new();
        for message in run.messages.iter().filter(|message| usize::from(message.class) == number) {
            messages += 1.0;
            if let Some((FinalOutcome::Delivered, at)) = message.outcome {
                ages.push(at.saturating_sub(message.submitted_at).as_secs_f64());
            }
        }
        ages.sort_by(f64::total_cmp);
        let late = ages.iter().filter(|age| **age > class.latency_objective).count() as f64;
        table.push_row(
            &[key.texts[0], key.texts[1], ("class", name)],
            &[
                key.seed,
                ("p50_s", quantile(&ages, 0.5)),
                ("p99_s", quantile(&ages, 0.99)),
                ("late", late / messages.max(1.0)),
                ("not_delivered", 1.0 - ages.len() as f64 / messages.max(1.0)),
            ],
        );
    }
}

/// A quantile of sorted values; NaN without values.
fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let position = ((sorted.len() as f64 * quantile) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(position).copied().unwrap_or(f64::NAN)
}
