//! The subcommand `simulate`: failover scenarios in virtual time.

use crate::scenario_files;
use clap::Args;
use cloverstile_simulator::{
    read_failover_scenario, simulate_failover, FailoverRun, FailoverScenario, SpilloverPolicy,
    FAILOVER_SCENARIOS,
};
use cloverstile_testbench::simulation_metrics::{value_by_second, SimulationMetrics};
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use std::time::{Duration, Instant};

const HEADINGS: [&str; 13] = [
    "policy",
    "seed",
    "worth",
    "worst 10 s",
    "full after s",
    "windows over",
    "worst of bound",
    "of capacity",
    "of share",
    "excess",
    "spilled",
    "violations",
    "messages/s",
];

/// What is simulated.
#[derive(Args)]
pub struct Simulation {
    /// Name of a built-in scenario, or a file (HCL).
    scenario: String,
    /// Policy that spreads messages over tiers: planner, everything, stays or healthy-share; all four where left out.
    #[arg(long = "policy", value_parser = parse_policy)]
    policies: Vec<SpilloverPolicy>,
    /// Seed of chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs in a row, each with the next seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of gateways; the scenario's own where left out.
    #[arg(long = "couriers")]
    gateways: Option<usize>,
    /// Prints every second of each run.
    #[arg(long)]
    seconds: bool,
    /// Prints every window of 100 ms at recovering sites.
    #[arg(long)]
    windows: bool,
    /// One line of JSON for each run.
    #[arg(long)]
    json: bool,
}

/// Metrics of the simulation of one policy with one seed.
struct SimulatedRun {
    policy: SpilloverPolicy,
    seed: u64,
    metrics: SimulationMetrics,
    elapsed: Duration,
}

impl SimulatedRun {
    fn messages_per_second(&self) -> f64 {
        self.metrics.messages as f64 / self.elapsed.as_secs_f64()
    }
}

fn parse_policy(name: &str) -> Result<SpilloverPolicy, String> {
    let names: Vec<&str> = SpilloverPolicy::ALL.into_iter().map(SpilloverPolicy::name).collect();
    SpilloverPolicy::from_name(name).ok_or_else(|| format!("one of these is allowed: {}", names.join(", ")))
}

/// Reads a scenario by its name or from its file.
pub fn load_scenario(name: &str) -> Result<FailoverScenario, String> {
    scenario_files::load(name, &FAILOVER_SCENARIOS, read_failover_scenario)
}

impl Simulation {
    /// Plays all runs; true if no run of the planner violated an invariant.
    pub fn run(&self) -> Result<bool, String> {
        let mut scenario = load_scenario(&self.scenario)?;
        scenario.instances = self.gateways.unwrap_or(scenario.instances).max(1);
        let policies =
            if self.policies.is_empty() { SpilloverPolicy::ALL.to_vec() } else { self.policies.clone() };
        let mut passed = true;
        let mut runs = Vec::new();
        for seed in self.seed..self.seed + self.seeds.max(1) {
            for policy in policies.iter().copied() {
                let started = Instant::now();
                let run = simulate_failover(&scenario, policy, seed);
                let elapsed = started.elapsed();
                let metrics = SimulationMetrics::new(&scenario, &run);
                passed &= policy != SpilloverPolicy::Planner || metrics.violations == 0;
                let simulated = SimulatedRun { policy, seed, metrics, elapsed };
                if self.json {
                    print_json(&simulated);
                }
                self.print_details(&scenario, &run);
                runs.push(simulated);
            }
        }
        if !self.json {
            println!("{}", table(&runs));
        }
        Ok(passed)
    }

    fn print_details(&self, scenario: &FailoverScenario, run: &FailoverRun) {
        if self.seconds {
            print_seconds(scenario, run);
        }
        if self.windows {
            print_windows(run);
        }
    }
}

fn print_json(run: &SimulatedRun) {
    let mut line = serde_json::json!(run.metrics);
    line["policy"] = run.policy.name().into();
    line["seed"] = run.seed.into();
    line["emulated_messages_per_s"] = run.messages_per_second().into();
    println!("{line}");
}

fn print_seconds(scenario: &FailoverScenario, run: &FailoverRun) {
    let values = value_by_second(scenario, run);
    for (number, (value, second)) in values.into_iter().zip(&run.seconds).enumerate() {
        println!(
            "second {number}: submitted {} earned {:.2} spilled {} lost {} requests {}",
            second.submitted,
            value.earned / value.offered.max(1e-9),
            second.spilled,
            second.undelivered,
            second.requests
        );
    }
}

fn print_windows(run: &FailoverRun) {
    for window in &run.windows {
        println!(
            "site {} return {} after {} ms: received {} capacity {:.1} bound {:.1}",
            window.destination,
            window.recovery,
            window.since_recovery.as_millis(),
            window.received,
            window.capacity,
            window.collapse_bound
        );
    }
}

fn table(runs: &[SimulatedRun]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY);
    table.set_header(HEADINGS);
    for run in runs {
        let metrics = &run.metrics;
        table.add_row([
            run.policy.name().to_owned(),
            run.seed.to_string(),
            format!("{:.3}", metrics.value_ratio),
            format!("{:.3}", metrics.worst_value_ratio),
            metrics.time_to_full_service_s.map_or("-".into(), |seconds| format!("{seconds:.1}")),
            format!("{}/{}", metrics.windows_over_bound, metrics.windows),
            format!("{:.2}", metrics.peak_bound_ratio),
            format!("{:.2}", metrics.peak_capacity_ratio),
            format!("{:.2}", metrics.peak_spill_ratio),
            format!("{:.2}", metrics.spill_excess),
            metrics.spilled.to_string(),
            format!("{:?}", metrics.violations_by_kind),
            format!("{:.0}", run.messages_per_second()),
        ]);
    }
    table
}
