//! `cloverstile-testbench experiment`, `report` and `scale`.

use crate::simulate::find;
use clap::Args;
use cloverstile_simulator::{play, PolicyKind, Scenario};
use cloverstile_testbench::experiment::{apply, read, run};
use cloverstile_testbench::html_report::{self, FILES};
use cloverstile_testbench::table::Table as Columns;
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::PathBuf;
use std::time::Instant;

/// What is played.
#[derive(Args)]
pub struct Experiment {
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
pub struct Report {
    /// Folder of an experiment's record.
    folder: PathBuf,
}

/// What is measured.
#[derive(Args)]
pub struct Scale {
    /// Endpoints, several.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 300, 1000, 3000, 10_000])]
    endpoints: Vec<usize>,
    /// Seconds of virtual time.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Folder of a record, for the report's plot.
    #[arg(long)]
    out: Option<PathBuf>,
}

impl Experiment {
    /// Plays it; true if the planner broke no rule.
    pub fn play(&self) -> Result<bool, String> {
        let name = self.file.display();
        let text = std::fs::read_to_string(&self.file).map_err(|error| format!("{name}: {error}"))?;
        let (experiment, policies) = read(&text).map_err(|error| format!("{name}: {error}"))?;
        let mut scenarios = Vec::new();
        for (scenario, changes) in &experiment.scenario {
            let mut found = find(scenario)?;
            apply(&mut found, changes);
            scenarios.push((scenario.clone(), found));
        }
        let bar = if self.json { ProgressBar::hidden() } else { ProgressBar::new(0) };
        let style = "{bar:40} {pos}/{len} runs, {elapsed} elapsed, {eta} to go";
        bar.set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let record =
            run(&scenarios, &policies, experiment.seeds, self.threads.unwrap_or(cores), &|done, all| {
                bar.set_length(all as u64);
                bar.set_position(done as u64);
            });
        bar.finish_and_clear();
        std::fs::create_dir_all(&self.out).map_err(|error| format!("{}: {error}", self.out.display()))?;
        let tables = [&record.runs, &record.seconds, &record.windows, &record.classes];
        for (table, file) in tables.into_iter().zip(FILES) {
            table.write(&self.out.join(file)).map_err(|error| error.to_string())?;
        }
        for (scenario, _) in &scenarios {
            let rows = html_report::rows(&record.runs, scenario);
            if self.json {
                for row in rows {
                    let cells = html_report::headings()
                        .into_iter()
                        .map(str::to_owned)
                        .zip(row.into_iter().map(Into::into));
                    let mut line: serde_json::Map<String, serde_json::Value> = cells.collect();
                    line.insert("scenario".into(), scenario.as_str().into());
                    println!("{}", serde_json::Value::Object(line));
                }
                continue;
            }
            let mut table = Table::new();
            table.load_preset(UTF8_BORDERS_ONLY).set_header(html_report::headings());
            table.add_rows(rows);
            println!("{scenario}, {} seeds\n{table}", experiment.seeds);
        }
        let broken = record.runs.text("policy").iter().zip(record.runs.number("broken"));
        Ok(broken
            .filter(|(policy, _)| *policy == PolicyKind::Planner.name())
            .all(|(_, broken)| *broken == 0.0))
    }
}

impl Report {
    /// Writes the page.
    pub fn write(&self) -> Result<bool, String> {
        let page = html_report::report(&self.folder)?;
        println!("{}: {} bytes", self.folder.join("report.html").display(), page.len());
        Ok(true)
    }
}

/// The most memory that this process has had, in MiB.
fn most_memory() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    kib.unwrap_or(f64::NAN) / 1024.0
}

/// The scenario `many` with another number of endpoints and the same load.
fn sized(endpoints: usize) -> Result<Scenario, String> {
    let mut scenario = find("many")?;
    let factor = endpoints as f64 / scenario.endpoints() as f64;
    for bank in scenario.bank.values_mut() {
        bank.copies = ((bank.copies as f64 * factor).round() as usize).max(1);
    }
    Ok(scenario)
}

impl Scale {
    /// Measures each size, the smallest first.
    pub fn measure(&self) -> Result<bool, String> {
        let mut sizes = self.endpoints.clone();
        sizes.sort_unstable();
        let mut told = Columns::default();
        let mut table = Table::new();
        table.load_preset(UTF8_BORDERS_ONLY);
        table.set_header([
            "endpoints",
            "couriers",
            "messages/s of a core",
            "microseconds a turn",
            "most memory, MiB",
        ]);
        for size in sizes {
            let mut scenario = sized(size)?;
            scenario.seconds = self.seconds;
            let began = Instant::now();
            let run = play(&scenario, PolicyKind::Planner, 1);
            let took = began.elapsed().as_secs_f64();
            let (speed, turn) = (run.messages.len() as f64 / took, took * 1e6 / run.turns.max(1) as f64);
            let memory = most_memory();
            let endpoints = scenario.endpoints();
            table.add_row([
                endpoints.to_string(),
                scenario.couriers.to_string(),
                format!("{speed:.0}"),
                format!("{turn:.1}"),
                format!("{memory:.0}"),
            ]);
            told.push(
                &[],
                &[
                    ("endpoints", endpoints as f64),
                    ("messages_a_second", speed),
                    ("us_a_turn", turn),
                    ("memory_mib", memory),
                ],
            );
        }
        println!("{table}");
        if let Some(out) = &self.out {
            std::fs::create_dir_all(out).map_err(|error| format!("{}: {error}", out.display()))?;
            told.write(&out.join("scale.parquet")).map_err(|error| error.to_string())?;
        }
        Ok(true)
    }
}
