//! The subcommands `experiment`, which runs a grid of simulations, and `report`, which renders its record as HTML.

use crate::progress;
use crate::simulate::load_scenario;
use clap::Args;
use cloverstile_simulator::SpilloverPolicy;
use cloverstile_testbench::experiment::{run_experiment, Experiment, ExperimentRecord, NamedScenario};
use cloverstile_testbench::html_report::{self, PAGE_FILE, RECORD_FILES};
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use std::path::PathBuf;

/// What is played.
#[derive(Args)]
pub struct ExperimentCommand {
    /// The experiment (HCL): seeds, policies, scenario blocks.
    file: PathBuf,
    /// Folder for the record (Parquet).
    #[arg(long, default_value = "experiment")]
    out: PathBuf,
    /// Threads; as many as there are cores where left out.
    #[arg(long)]
    threads: Option<usize>,
    /// One line of JSON for each scenario and policy.
    #[arg(long)]
    json: bool,
}

/// What is reported.
#[derive(Args)]
pub struct ReportCommand {
    /// Folder of an experiment's record.
    folder: PathBuf,
}

impl ExperimentCommand {
    /// Runs the experiment and writes its record. Returns true if the planner violated no invariant; other policies
    /// may.
    pub fn run(&self) -> Result<bool, String> {
        let name = self.file.display();
        let text = std::fs::read_to_string(&self.file).map_err(|error| format!("{name}: {error}"))?;
        let experiment = Experiment::parse(&text).map_err(|error| format!("{name}: {error}"))?;
        let policies = experiment.policy_kinds().map_err(|error| format!("{name}: {error}"))?;
        let scenarios = load_scenarios(&experiment)?;
        let bar = progress::bar(self.json, 0, "runs");
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let threads = self.threads.unwrap_or(cores);
        let record = run_experiment(&scenarios, &policies, experiment.seeds, threads, &|done, all| {
            bar.set_length(all as u64);
            bar.set_position(done as u64);
        });
        bar.finish_and_clear();
        self.write(&record)?;
        for scenario in &scenarios {
            if self.json {
                print_json(&record, &scenario.name);
            } else {
                print_table(&record, &scenario.name, experiment.seeds);
            }
        }
        let mut violations =
            record.runs.text_column("policy").iter().zip(record.runs.number_column("broken"));
        Ok(violations.all(|(policy, count)| policy != SpilloverPolicy::Planner.name() || *count == 0.0))
    }

    fn write(&self, record: &ExperimentRecord) -> Result<(), String> {
        std::fs::create_dir_all(&self.out).map_err(|error| format!("{}: {error}", self.out.display()))?;
        let tables = [&record.runs, &record.seconds, &record.windows, &record.classes];
        for (table, file) in tables.into_iter().zip(RECORD_FILES) {
            table.write(&self.out.join(file)).map_err(|error| error.to_string())?;
        }
        Ok(())
    }
}

fn load_scenarios(experiment: &Experiment) -> Result<Vec<NamedScenario>, String> {
    let mut scenarios = Vec::new();
    for (name, overrides) in &experiment.scenarios {
        let mut scenario = load_scenario(name)?;
        overrides.apply(&mut scenario);
        scenarios.push(NamedScenario { name: name.clone(), scenario });
    }
    Ok(scenarios)
}

fn print_json(record: &ExperimentRecord, scenario: &str) {
    for row in html_report::summary_rows(&record.runs, scenario) {
        let headings = html_report::summary_headings().into_iter().map(str::to_owned);
        let cells = headings.zip(row.into_iter().map(Into::into));
        let mut line: serde_json::Map<String, serde_json::Value> = cells.collect();
        line.insert("scenario".into(), scenario.into());
        println!("{}", serde_json::Value::Object(line));
    }
}

fn print_table(record: &ExperimentRecord, scenario: &str, seeds: u64) {
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY).set_header(html_report::summary_headings());
    table.add_rows(html_report::summary_rows(&record.runs, scenario));
    println!("{scenario}, {seeds} seeds\n{table}");
}

impl ReportCommand {
    /// Writes the HTML page and its plots into the folder of the record.
    pub fn write(&self) -> Result<bool, String> {
        let page = html_report::write_report(&self.folder).map_err(|error| error.to_string())?;
        println!("{}: {} bytes", self.folder.join(PAGE_FILE).display(), page.len());
        Ok(true)
    }
}
