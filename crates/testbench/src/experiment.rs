//! Experiments: a grid of scenarios, policies and seeds on virtual time, its record as Parquet, and intervals.

use crate::simulation_metrics::{figures, worth_by_second, Figures};
use crate::table::Table;
use cloverstile_engine::FinalOutcome;
use cloverstile_simulator::{play, PolicyKind, Run, Scenario};
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, PoisonError};

/// An experiment's file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Seeds, from 1.
    pub seeds: u64,
    /// Names of policies; all where left out.
    #[serde(default)]
    pub policies: Vec<String>,
    /// Scenarios by their names or files, with what is other in them.
    pub scenario: BTreeMap<String, ScenarioOverrides>,
}

/// What an experiment changes of a scenario.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ScenarioOverrides {
    /// Couriers.
    pub couriers: Option<usize>,
    /// Messages a second.
    pub rate: Option<f64>,
    /// Seconds.
    pub seconds: Option<f64>,
    /// Share that spills, of all banks.
    pub spill_share: Option<f64>,
}

/// Reads an experiment's text.
///
/// # Errors
/// What is wrong with it, as a sentence.
pub fn read(text: &str) -> Result<(Experiment, Vec<PolicyKind>), String> {
    let experiment: Experiment = hcl::from_str(text).map_err(|error| format!("experiment: {error}"))?;
    let named = |name: &String| {
        let known: Vec<&str> = PolicyKind::ALL.into_iter().map(PolicyKind::name).collect();
        PolicyKind::named(name)
            .ok_or_else(|| format!("experiment: there is no policy '{name}'; one of: {}", known.join(", ")))
    };
    let policies: Vec<PolicyKind> = experiment.policies.iter().map(named).collect::<Result<_, _>>()?;
    if experiment.seeds == 0 || experiment.scenario.is_empty() {
        return Err("experiment: seeds above zero and a block scenario \"name\" {} are needed".into());
    }
    Ok((experiment, if policies.is_empty() { PolicyKind::ALL.to_vec() } else { policies }))
}

/// Changes a scenario as an experiment wants it.
pub fn apply(scenario: &mut Scenario, changes: &ScenarioOverrides) {
    scenario.couriers = changes.couriers.unwrap_or(scenario.couriers).max(1);
    scenario.rate = changes.rate.unwrap_or(scenario.rate);
    scenario.seconds = changes.seconds.unwrap_or(scenario.seconds);
    for bank in scenario.bank.values_mut() {
        bank.spill_share = changes.spill_share.unwrap_or(bank.spill_share).clamp(0.0, 1.0);
    }
}

/// The record of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// One row for each run.
    pub runs: Table,
    /// One for each second of a run.
    pub seconds: Table,
    /// One for each 100 ms after a return, over all sites of a run: the fullest of them.
    pub windows: Table,
    /// One for each class of a run.
    pub classes: Table,
}

struct Job<'a> {
    name: &'a str,
    scenario: &'a Scenario,
    policy: PolicyKind,
    seed: u64,
}

/// Plays the whole grid on so many threads. The record does not depend on their number.
pub fn run(
    scenarios: &[(String, Scenario)],
    policies: &[PolicyKind],
    seeds: u64,
    threads: usize,
    progress: &dyn Fn(usize, usize),
) -> Record {
    let mut jobs = Vec::new();
    for (name, scenario) in scenarios {
        for seed in 1..=seeds {
            jobs.extend(policies.iter().map(|policy| Job { name, scenario, policy: *policy, seed }));
        }
    }
    let next = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::channel();
    let parts: Vec<std::sync::Mutex<Option<Record>>> =
        jobs.iter().map(|_| std::sync::Mutex::default()).collect();
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            let (sender, next, jobs, parts) = (sender.clone(), &next, &jobs, &parts);
            scope.spawn(move || loop {
                let place = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(place) else { return };
                let part = record(job, &play(job.scenario, job.policy, job.seed));
                *parts[place].lock().unwrap_or_else(PoisonError::into_inner) = Some(part);
                // Nobody is left to tell where the caller has gone.
                let _ = sender.send(());
            });
        }
        drop(sender);
        for done in 1.. {
            if receiver.recv().is_err() {
                break;
            }
            progress(done, jobs.len());
        }
    });
    let mut all = Record::default();
    for part in parts {
        if let Some(part) = part.into_inner().unwrap_or_else(PoisonError::into_inner) {
            append(&mut all.runs, part.runs);
            append(&mut all.seconds, part.seconds);
            append(&mut all.windows, part.windows);
            append(&mut all.classes, part.classes);
        }
    }
    all
}

fn append(all: &mut Table, part: Table) {
    for (name, column) in part.texts {
        all.texts.entry(name).or_default().extend(column);
    }
    for (name, column) in part.numbers {
        all.numbers.entry(name).or_default().extend(column);
    }
}

fn record(job: &Job, run: &Run) -> Record {
    let told: Figures = figures(job.scenario, run);
    let who = [("scenario", job.name), ("policy", job.policy.name())];
    let seed = ("seed", job.seed as f64);
    let mut record = Record::default();
    record.runs.push(
        &who,
        &[
            seed,
            ("messages", told.messages as f64),
            ("delivered", told.delivered),
            ("worth", told.worth),
            ("worst_ten_s", told.worst_ten_s),
            ("full_service_s", told.full_service_s.unwrap_or(f64::NAN)),
            ("windows", told.windows as f64),
            ("windows_over_bound", told.windows_over_bound as f64),
            ("worst_of_bound", told.worst_of_bound),
            ("worst_of_capacity", told.worst_of_capacity),
            ("worst_spill", told.worst_spill),
            ("spilt", told.spilt as f64),
            ("broken", told.broken as f64),
        ],
    );
    for (place, (worth, second)) in worth_by_second(job.scenario, run).iter().zip(&run.seconds).enumerate() {
        let share = f64::from(second.spilt) / f64::from(second.tiered.max(1));
        record.seconds.push(
            &who,
            &[
                seed,
                ("second", place as f64),
                ("offered", worth.0),
                ("earned", worth.1),
                ("worth_delivered", second.worth),
                ("spilt_of_handed", share),
            ],
        );
    }
    let mut windows: BTreeMap<u128, (f64, f64, f64)> = BTreeMap::new();
    for window in &run.windows {
        let (of_bound, of_capacity, sum) = windows.entry(window.after.as_millis()).or_default();
        *of_bound = of_bound.max(f64::from(window.received) / window.bound.max(1.0));
        *of_capacity = of_capacity.max(f64::from(window.received) / window.capacity.max(1.0));
        *sum += f64::from(window.received);
    }
    for (after, (of_bound, of_capacity, received)) in windows {
        record.windows.push(
            &who,
            &[
                seed,
                ("after_ms", after as f64),
                ("fullest_of_bound", of_bound),
                ("fullest_of_capacity", of_capacity),
                ("received", received),
            ],
        );
    }
    for (place, (name, class)) in job.scenario.class.iter().enumerate() {
        let of_class = run.messages.iter().filter(|message| usize::from(message.class) == place);
        let mut ages: Vec<f64> = Vec::new();
        let mut all = 0.0_f64;
        for message in of_class {
            all += 1.0;
            if let Some((FinalOutcome::Delivered, at)) = message.answer {
                ages.push(at.saturating_sub(message.handed).as_secs_f64());
            }
        }
        ages.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let place = ((ages.len() as f64 * part) as usize).min(ages.len().saturating_sub(1));
            ages.get(place).copied().unwrap_or(f64::NAN)
        };
        let late = ages.iter().filter(|age| **age > class.aim).count() as f64;
        record.classes.push(
            &[who[0], who[1], ("class", name)],
            &[
                seed,
                ("p50_s", at(0.5)),
                ("p99_s", at(0.99)),
                ("late", late / all.max(1.0)),
                ("not_delivered", 1.0 - ages.len() as f64 / all.max(1.0)),
            ],
        );
    }
    record
}

/// A mean with the half width of its 95 % interval (Student's t).
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ConfidenceInterval {
    /// The mean.
    pub mean: f64,
    /// Half of the interval's width; zero for a single value.
    pub half: f64,
    /// Values.
    pub count: usize,
}

/// The mean of some values and its interval; values that are none are passed over.
pub fn confidence_interval(values: impl Iterator<Item = f64>) -> ConfidenceInterval {
    let values: Vec<f64> = values.filter(|value| value.is_finite()).collect();
    let count = values.len();
    let mean = values.iter().sum::<f64>() / count.max(1) as f64;
    let spread = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>();
    let half = match (count, StudentsT::new(0.0, 1.0, count.saturating_sub(1).max(1) as f64)) {
        (0 | 1, _) | (_, Err(_)) => 0.0,
        (_, Ok(t)) => t.inverse_cdf(0.975) * (spread / (count - 1) as f64 / count as f64).sqrt(),
    };
    ConfidenceInterval { mean, half, count }
}

/// Values of a column of the runs of one scenario and policy, in the order of seeds.
pub fn values(runs: &Table, scenario: &str, policy: &str, column: &str) -> Vec<f64> {
    let rows = runs.text("scenario").iter().zip(runs.text("policy")).zip(runs.number(column));
    rows.filter(|((s, p), _)| *s == scenario && *p == policy).map(|(_, value)| *value).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn intervals_are_students() {
        // Five values, mean 3, deviation sqrt(2.5): t of four degrees is 2.776.
        let told = confidence_interval([1.0, 2.0, 3.0, 4.0, 5.0, f64::NAN].into_iter());
        assert_eq!((told.mean, told.count), (3.0, 5));
        assert!((told.half - 2.776 * (2.5_f64 / 5.0).sqrt()).abs() < 1e-3, "{told:?}");
        assert_eq!(
            confidence_interval([7.0].into_iter()),
            ConfidenceInterval { mean: 7.0, half: 0.0, count: 1 }
        );
    }

    #[test]
    fn a_record_does_not_depend_on_threads_and_bad_files_say_why() {
        let (_, text) = cloverstile_simulator::BUILT_IN[0];
        let mut scenario = cloverstile_simulator::read(text).unwrap();
        apply(
            &mut scenario,
            &ScenarioOverrides { seconds: Some(4.0), rate: Some(100.0), ..ScenarioOverrides::default() },
        );
        let scenarios = [("surge".to_owned(), scenario)];
        let played = |threads| run(&scenarios, &PolicyKind::ALL, 2, threads, &|_, _| {});
        let (one, many) = (played(1), played(3));
        assert_eq!(one.runs.rows(), 8);
        assert_eq!(format!("{one:?}"), format!("{many:?}"));
        assert!(read("seeds = 0\nscenario \"surge\" {}").unwrap_err().contains("above zero"));
        assert!(read("seeds = 1\npolicies = [\"x\"]\nscenario \"surge\" {}").unwrap_err().contains("'x'"));
    }
}
