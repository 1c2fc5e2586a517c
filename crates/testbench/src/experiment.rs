//! Experiments: a grid of scenarios, policies and seeds on virtual time, run on several threads.

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

/// An experiment's file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Number of seeds, from 1 on.
    pub seeds: u64,
    /// Names of policies; all where left out.
    #[serde(default)]
    pub policies: Vec<String>,
    /// Scenarios by their names or files, with what is other in them.
    #[serde(rename = "scenario")]
    pub scenarios: BTreeMap<String, ScenarioOverrides>,
}

/// What an experiment changes of a scenario.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ScenarioOverrides {
    /// Number of gateways.
    #[serde(rename = "couriers")]
    pub gateways: Option<usize>,
    /// Messages a second.
    pub rate: Option<f64>,
    /// Length in seconds.
    pub seconds: Option<f64>,
    /// Share that spills, of all destinations.
    pub spill_share: Option<f64>,
}

impl ScenarioOverrides {
    /// Changes a scenario.
    pub fn apply(&self, scenario: &mut FailoverScenario) {
        scenario.instances = self.gateways.unwrap_or(scenario.instances).max(1);
        scenario.rate = self.rate.unwrap_or(scenario.rate);
        scenario.seconds = self.seconds.unwrap_or(scenario.seconds);
        for destination in scenario.destinations.values_mut() {
            destination.spill_share = self.spill_share.unwrap_or(destination.spill_share).clamp(0.0, 1.0);
        }
    }
}

/// Why an experiment can't be run.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The text is no HCL, or not in the form of an experiment.
    #[error("experiment: {0}")]
    Syntax(#[from] hcl::Error),
    /// A policy that does not exist.
    #[error("experiment: there is no policy '{name}'; one of: {}", known.join(", "))]
    UnknownPolicy {
        /// The name.
        name: String,
        /// Names that exist.
        known: Vec<&'static str>,
    },
    /// Nothing to run.
    #[error("experiment: seeds above zero and a block scenario \"name\" {{}} are needed")]
    Empty,
}

impl Experiment {
    /// Reads an experiment's text.
    ///
    /// # Errors
    /// The text is not in the form of an experiment, has no seeds or no scenario, or names an unknown policy.
    pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = hcl::from_str(text)?;
        experiment.policy_kinds()?;
        if experiment.seeds == 0 || experiment.scenarios.is_empty() {
            return Err(ExperimentError::Empty);
        }
        Ok(experiment)
    }

    /// The policies; all where none is named.
    ///
    /// # Errors
    /// A policy is unknown.
    pub fn policy_kinds(&self) -> Result<Vec<SpilloverPolicy>, ExperimentError> {
        if self.policies.is_empty() {
            return Ok(SpilloverPolicy::ALL.to_vec());
        }
        let kind = |name: &String| {
            SpilloverPolicy::from_name(name).ok_or_else(|| ExperimentError::UnknownPolicy {
                name: name.clone(),
                known: SpilloverPolicy::ALL.into_iter().map(SpilloverPolicy::name).collect(),
            })
        };
        self.policies.iter().map(kind).collect()
    }
}

/// One run of the grid.
struct Job<'a> {
    scenario_name: &'a str,
    scenario: &'a FailoverScenario,
    policy: SpilloverPolicy,
    seed: u64,
}

/// A scenario and its name in the record.
pub struct NamedScenario {
    /// The name.
    pub name: String,
    /// The scenario.
    pub scenario: FailoverScenario,
}

/// Runs the whole grid on so many threads. The record does not depend on their number. `on_progress` gets the number
/// of runs done and of all runs.
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
    let (done, completions) = mpsc::channel();
    let records: Vec<Mutex<Option<ExperimentRecord>>> = jobs.iter().map(|_| Mutex::default()).collect();
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            let (done, next, jobs, records) = (done.clone(), &next, &jobs, &records);
            scope.spawn(move || loop {
                let position = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(position) else { return };
                let run = simulate_failover(job.scenario, job.policy, job.seed);
                let record = record_run(job.scenario_name, job.scenario, job.policy, job.seed, &run);
                *records[position].lock().unwrap_or_else(PoisonError::into_inner) = Some(record);
                // The receiver is gone only if the caller has panicked.
                let _ = done.send(());
            });
        }
        drop(done);
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
