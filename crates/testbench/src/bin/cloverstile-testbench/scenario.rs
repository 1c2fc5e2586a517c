//! The commands `scenario`, `replay` and `check`, which run a fault scenario or check its record.

use crate::scenario_report::{write_record, ReportOptions};
use crate::{progress, scenario_files};
use clap::Args;
use cloverstile_fakes::record::RecordLine;
use cloverstile_testbench::invariants::{check_invariants, InvariantSettings};
use cloverstile_testbench::replay::{self, ReplayScale};
use cloverstile_testbench::scenario::{parse_scenario, FaultScenario, BUILT_IN_SCENARIOS};
use cloverstile_testbench::scenario_run::{run_scenario, GatewayCommand};
use std::path::PathBuf;

/// What is played.
#[derive(Args)]
pub struct ScenarioCommand {
    /// Name or file (HCL).
    #[arg(value_name = "SCENARIO")]
    scenario: String,
    #[command(flatten)]
    options: RunOptions,
}

/// The bench day that is played.
#[derive(Args)]
pub struct ReplayCommand {
    /// The day as the bench draws it (JSON).
    file: PathBuf,
    /// Messages a second.
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Bench seconds in one of the scenario.
    #[arg(long = "pace", default_value_t = 3.0)]
    speed: f64,
    #[command(flatten)]
    options: RunOptions,
}

/// The record that is checked.
#[derive(Args)]
pub struct CheckCommand {
    /// The scenario that it is of: name or file.
    scenario: String,
    /// The record (JSON lines).
    record: PathBuf,
}

/// How a scenario is played and reported.
#[derive(Args)]
struct RunOptions {
    /// Seed of chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs in a row, each with the next seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of gateway processes; the scenario's own where left out.
    #[arg(long = "couriers")]
    gateways: Option<usize>,
    /// Threads for cryptography in each gateway; the scenario's own number where left out.
    #[arg(long)]
    workers: Option<usize>,
    /// Number of messages; the scenario's own where left out.
    #[arg(long)]
    messages: Option<u32>,
    /// Writes all that was seen, as JSON lines.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Prints each window of 100 ms at recovering sites, as JSON lines.
    #[arg(long)]
    windows: bool,
    /// One line of JSON for each run.
    #[arg(long)]
    json: bool,
    /// What the gateways log on standard error.
    #[arg(long, default_value = "error")]
    log: String,
}

fn load_scenario(name: &str) -> Result<FaultScenario, String> {
    scenario_files::load(name, &BUILT_IN_SCENARIOS, parse_scenario)
}

impl ScenarioCommand {
    /// Runs the scenario once for each seed; true if no invariant was violated.
    pub fn run(&self) -> Result<bool, String> {
        self.options.run(load_scenario(&self.scenario)?)
    }
}

impl ReplayCommand {
    /// Converts the bench day and runs it once for each seed; true if no invariant was violated.
    pub fn run(&self) -> Result<bool, String> {
        let name = self.file.display();
        let text = std::fs::read_to_string(&self.file).map_err(|error| format!("{name}: {error}"))?;
        let scale = ReplayScale { rate: self.rate, speed: self.speed, ..ReplayScale::default() };
        let replay = replay::convert_bench_day(&text, scale).map_err(|error| format!("{name}: {error}"))?;
        for line in &replay.omissions {
            eprintln!("left out or changed: {line}");
        }
        self.options.run(replay.scenario)
    }
}

impl CheckCommand {
    /// Checks the record and prints the report as JSON; true if no invariant was violated.
    pub fn check(&self) -> Result<bool, String> {
        let scenario = load_scenario(&self.scenario)?;
        let name = self.record.display();
        let text = std::fs::read_to_string(&self.record).map_err(|error| format!("{name}: {error}"))?;
        let lines: Vec<RecordLine> = text
            .lines()
            .map(serde_json::from_str)
            .collect::<Result<_, _>>()
            .map_err(|error| format!("{name}: {error}"))?;
        let report = check_invariants(&lines, &InvariantSettings::from(&scenario));
        println!("{}", serde_json::to_string(&report).map_err(|error| error.to_string())?);
        Ok(report.violations.is_empty())
    }
}

impl RunOptions {
    fn run(&self, mut scenario: FaultScenario) -> Result<bool, String> {
        scenario.gateways = self.gateways.unwrap_or(scenario.gateways).max(1);
        scenario.workers = self.workers.unwrap_or(scenario.workers);
        scenario.messages = self.messages.unwrap_or(scenario.messages).max(1);
        let program = std::env::current_exe()
            .map_err(|error| format!("the path of this program can't be determined: {error}"))?;
        let command = GatewayCommand { program, log: self.log.clone() };
        let options = ReportOptions { windows: self.windows, json: self.json };
        let mut no_violation = true;
        for seed in self.seed..self.seed + self.seeds.max(1) {
            let folder =
                std::env::temp_dir().join(format!("cloverstile-testbench-{}-{seed}", std::process::id()));
            let bar = progress::bar(self.json, u64::from(scenario.messages), "answered");
            let result =
                run_scenario(&scenario, seed, &folder, &command, &|done| bar.set_position(done as u64));
            bar.finish_and_clear();
            let result = result.map_err(|error| error.to_string())?;
            options.print_windows(&scenario, &result);
            if let Some(path) = &self.record {
                write_record(path, &result.lines).map_err(|error| format!("{}: {error}", path.display()))?;
            }
            options.print_report(&scenario, seed, &result);
            no_violation &= result.report.violations.is_empty();
        }
        Ok(no_violation)
    }
}
