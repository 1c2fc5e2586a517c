//! Experiments: simulations of all combinations of scenarios, policies and seeds, run on several threads.

mod record;
mod statistics;

pub use record::ExperimentRecord;
pub use statistics::{column_values, confidence_interval, ConfidenceInterval};

use cloverstile_simulator::{simulate_failover, FailoverScenario, SpilloverPolicy};
use record::record_run;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Mutex, PoisonError};

/// The contents of an experiment file (HCL).
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Number of seeds; each combination runs with the seeds from 1 to this number.
    pub seeds: u64,
    /// Names of the policies; all policies if empty.
    #[serde(default)]
    pub policies: Vec<String>,
    /// Overrides by scenario, which is given by its built-in name or its file.
    #[serde(rename = "scenario")]
    pub scenarios: BTreeMap<String, ScenarioOverrides>,
}

/// Settings of a scenario that an experiment replaces; absent ones keep their values.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ScenarioOverrides {
    /// Number of gateway instances, at least 1.
    #[serde(rename = "couriers")]
    pub gateways: Option<usize>,
    /// Messages per second from all clients together.
    pub rate: Option<f64>,
    /// Time during which messages are submitted, in seconds.
    pub seconds: Option<f64>,
    /// Spill share of every destination, limited to the range from 0 to 1.
    pub spill_share: Option<f64>,
}

impl ScenarioOverrides {
    /// Applies the overrides to a scenario.
    pub fn apply(&self, scenario: &mut FailoverScenario) {
        scenario.instances = self.gateways.unwrap_or(scenario.instances).max(1);
        scenario.rate = self.rate.unwrap_or(scenario.rate);
        scenario.seconds = self.seconds.unwrap_or(scenario.seconds);
        for destination in scenario.destinations.values_mut() {
            destination.spill_share = self.spill_share.unwrap_or(destination.spill_share).clamp(0.0, 1.0);
        }
    }
}

/// The reason why an experiment file is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The text is not valid HCL or does not have the structure of an experiment.
    #[error("experiment: {0}")]
    Syntax(#[from] hcl::Error),
    /// The experiment names an unknown policy.
    #[error("experiment: unknown policy '{name}'; expected one of: {}", known.join(", "))]
    UnknownPolicy {
        /// The unknown name.
        name: String,
        /// Names of all policies.
        known: Vec<&'static str>,
    },
    /// The number of seeds is zero, or there is no scenario.
    #[error(
        "experiment: 'seeds' must be above zero, and at least one block scenario \"name\" {{}} is required"
    )]
    Empty,
}

impl Experiment {
    /// Parses and validates an experiment file.
    ///
    /// # Errors
    /// The text is not a valid experiment, has no seeds or no scenario, or names an unknown policy.
    pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = hcl::from_str(text)?;
        experiment.policy_kinds()?;
        if experiment.seeds == 0 || experiment.scenarios.is_empty() {
            return Err(ExperimentError::Empty);
        }
        Ok(experiment)
    }

    /// The policies to run; all if none is named.
    ///
    /// # Errors
    /// A policy name is unknown.
    pub fn policy_kinds(&self) -> Result<Vec<SpilloverPolicy>, ExperimentError> {
        if self.policies.is_empty() {
            return Ok(SpilloverPolicy::ALL.to_vec());
        }
        let parse = |name: &String| {
            SpilloverPolicy::from_name(name).ok_or_else(|| ExperimentError::UnknownPolicy {
                name: name.clone(),
                known: SpilloverPolicy::ALL.into_iter().map(SpilloverPolicy::name).collect(),
            })
        };
        self.policies.iter().map(parse).collect()
    }
}

/// One simulation of the grid.
struct Job<'a> {
    scenario_name: &'a str,
    scenario: &'a FailoverScenario,
    policy: SpilloverPolicy,
    seed: u64,
}

/// A scenario with overrides applied, and the name under which it is recorded.
pub struct NamedScenario {
    /// Value of the column `scenario` in the record.
    pub name: String,
    /// The scenario to simulate.
    pub scenario: FailoverScenario,
}

/// Runs the whole grid on the given number of threads, which does not affect the record. `on_progress` is called after
/// each run with the number of completed runs and of all runs.
pub fn run_experiment(
    scenarios: &[NamedScenario],
    policies: &[SpilloverPolicy],
    seeds: u64,
    threads: usize,
    on_progress: &dyn Fn(usize, usize),
) -> ExperimentRecord {
    let mut jobs = Vec::new();
    for NamedScenario { name, scenario } in scenarios {
        for seed in 1..=seeds {
            jobs.extend(policies.iter().map(|policy| Job {
                scenario_name: name,
                scenario,
                policy: *policy,
                seed,
            }));
        }
    }
    let next = AtomicUsize::new(0);
    let (completion_sender, completions) = mpsc::channel();
    let records: Vec<Mutex<Option<ExperimentRecord>>> = jobs.iter().map(|_| Mutex::default()).collect();
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            let (completion_sender, next, jobs, records) =
                (completion_sender.clone(), &next, &jobs, &records);
            scope.spawn(move || loop {
                let position = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(position) else { return };
                let run = simulate_failover(job.scenario, job.policy, job.seed);
                let record = record_run(job.scenario_name, job.scenario, job.policy, job.seed, &run);
                *records[position].lock().unwrap_or_else(PoisonError::into_inner) = Some(record);
                // Sending fails only if the receiving thread has panicked.
                let _ = completion_sender.send(());
            });
        }
        drop(completion_sender);
        for (completed, ()) in completions.iter().enumerate() {
            on_progress(completed + 1, jobs.len());
        }
    });
    let mut all = ExperimentRecord::default();
    for record in records {
        if let Some(record) = record.into_inner().unwrap_or_else(PoisonError::into_inner) {
            all.append(record);
        }
    }
    all
}

#[cfg(test)]
mod tests;
