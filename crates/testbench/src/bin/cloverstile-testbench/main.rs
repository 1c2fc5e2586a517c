//! The laboratory's command line. See `cloverstile-testbench --help`.
#![forbid(unsafe_code)]

mod experiment;
mod fleet;
mod simulate;

use clap::{Args, Parser, Subcommand};
use cloverstile_fakes::record::{Line, Seen};
use cloverstile_testbench::benchmark;
use cloverstile_testbench::recovery_windows;
use cloverstile_testbench::replay::{self, Scale};
use cloverstile_testbench::scenario::{read, FaultScenario, BUILT_IN};
use cloverstile_testbench::scenario_run::{play, GatewayCommand, RunResult};
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use std::collections::HashMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Plays bad days through real couriers on loopback and judges the six rules.
#[derive(Parser)]
#[command(
    name = "cloverstile-testbench",
    version,
    after_help = "Exit codes: 0 no rule broken, 1 a rule was broken, 2 wrong command line, 3 the day can't be played."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a day: the name of one that comes along (payday, quiet, receipts), or a file.
    FaultScenario {
        /// Name or file (HCL).
        day: String,
        #[command(flatten)]
        options: Options,
    },
    /// Plays the kinds of trouble of a bench day, scaled to this machine.
    Replay {
        /// The day as the bench draws it (JSON).
        file: PathBuf,
        /// Messages a second.
        #[arg(long, default_value_t = 200.0)]
        rate: f64,
        /// Bench seconds in one of ours.
        #[arg(long, default_value_t = 3.0)]
        pace: f64,
        #[command(flatten)]
        options: Options,
    },
    /// Plays a scenario on virtual time: hundreds of couriers and thousands of endpoints in one process.
    Emulate(simulate::Options),
    /// Plays a grid of scenarios, policies and seeds on virtual time, and keeps its record as Parquet.
    Experiment(experiment::Experiment),
    /// Plays many couriers at once.
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Makes one HTML page and SVG plots of an experiment's record.
    Report(experiment::Report),
    /// Measures speed, memory and the cost of a decision as endpoints grow.
    Scale(experiment::Scale),
    /// Judges a record that was written before.
    InvariantChecker {
        /// The day that it is of: name or file.
        day: String,
        /// The record (JSON lines).
        record: PathBuf,
    },
    /// Measures what a courier costs; one line of JSON for each part.
    Bench {
        /// Messages of the path without sockets.
        #[arg(long, default_value_t = 1000)]
        messages: u32,
        /// Messages over sockets.
        #[arg(long, default_value_t = 3000)]
        socket_messages: u32,
        /// Messages held for the measurement of memory.
        #[arg(long, default_value_t = 10_000)]
        held: u32,
    },
    /// Runs one courier on the users' platform, as `cloverstile node` does; used by the laboratory itself.
    #[command(hide = true)]
    Node,
    /// Runs one courier; used by the laboratory itself.
    #[command(hide = true)]
    Courier {
        /// Settings.
        file: PathBuf,
        /// What is logged.
        #[arg(long, default_value = "error")]
        log: String,
    },
}

#[derive(Args)]
struct Options {
    /// Seed of chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Days in a row, each with the next seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Courier processes; the day's own number where left out.
    #[arg(long)]
    couriers: Option<usize>,
    /// Threads for cryptography in each courier; the day's own number where left out.
    #[arg(long)]
    workers: Option<usize>,
    /// Messages; the day's own number where left out.
    #[arg(long)]
    messages: Option<u32>,
    /// Writes all that was seen, as JSON lines.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Prints each window of 100 ms at returning sites, as JSON lines.
    #[arg(long)]
    windows: bool,
    /// One line of JSON for each day.
    #[arg(long)]
    json: bool,
    /// What the couriers log on standard error.
    #[arg(long, default_value = "error")]
    log: String,
}

fn main() -> ExitCode {
    let code = match Arguments::parse().command {
        Command::FaultScenario { day, options } => match find(&day) {
            Ok(day) => play_all(day, &options),
            Err(why) => cant(&why),
        },
        Command::Replay { file, rate, pace, options } => replay_day(&file, rate, pace, &options),
        Command::Emulate(options) => verdict(simulate::simulate(&options)),
        Command::Experiment(experiment) => verdict(experiment.play()),
        Command::Fleet(fleet) => verdict(fleet.play()),
        Command::Report(report) => verdict(report.write()),
        Command::Scale(scale) => verdict(scale.measure()),
        Command::InvariantChecker { day, record } => judge_record(&day, &record),
        Command::Bench { messages, socket_messages, held } => {
            match measure(messages, socket_messages, held) {
                Ok(()) => 0,
                Err(why) => cant(&why),
            }
        }
        Command::Node => {
            match cloverstile_resp_gateway::Environment::from_env()
                .and_then(|v| cloverstile_resp_gateway::run(&v))
            {
                Ok(()) => 0,
                Err(error) => cant(&error.to_string()),
            }
        }
        Command::Courier { file, log } => courier(&file, &log),
    };
    ExitCode::from(code)
}

/// The exit code where the rules were kept or not, or nothing could be played.
fn verdict(kept: Result<bool, String>) -> u8 {
    kept.map_or_else(|why| cant(&why), |kept| u8::from(!kept))
}

fn cant(why: &str) -> u8 {
    eprintln!("cloverstile-testbench: {why}");
    3
}

fn find(day: &str) -> Result<FaultScenario, String> {
    let text = match BUILT_IN.iter().find(|(name, _)| *name == day) {
        Some((_, text)) => (*text).to_owned(),
        None => std::fs::read_to_string(day).map_err(|error| {
            let names: Vec<&str> = BUILT_IN.iter().map(|(name, _)| *name).collect();
            format!("{day}: {error}; days that come along: {}", names.join(", "))
        })?,
    };
    read(&text).map_err(|error| format!("{day}: {error}"))
}

fn replay_day(file: &Path, rate: f64, pace: f64, options: &Options) -> u8 {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return cant(&format!("{}: {error}", file.display())),
    };
    match replay::read(&text, Scale { rate, pace, ..Scale::default() }) {
        Ok(replay) => {
            for line in &replay.left_out {
                eprintln!("left out or changed: {line}");
            }
            play_all(replay.day, options)
        }
        Err(error) => cant(&format!("{}: {error}", file.display())),
    }
}

fn play_all(mut day: FaultScenario, options: &Options) -> u8 {
    day.couriers = options.couriers.unwrap_or(day.couriers).max(1);
    day.workers = options.workers.unwrap_or(day.workers);
    day.messages = options.messages.unwrap_or(day.messages).max(1);
    let Ok(program) = std::env::current_exe() else { return cant("the own program is not found") };
    let launch = GatewayCommand { program, log: options.log.clone() };
    let mut worst = 0;
    for seed in options.seed..options.seed + options.seeds.max(1) {
        let folder =
            std::env::temp_dir().join(format!("cloverstile-testbench-{}-{seed}", std::process::id()));
        let bar =
            if options.json { ProgressBar::hidden() } else { ProgressBar::new(u64::from(day.messages)) };
        let style = "{bar:40} {pos}/{len} answered, {elapsed} elapsed, {eta} to go";
        bar.set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
        let played = play(&day, seed, &folder, &launch, &|done| bar.set_position(done as u64));
        bar.finish_and_clear();
        match played {
            Ok(played) => worst = worst.max(report(&day, &played, seed, options)),
            Err(error) => return cant(&error.to_string()),
        }
    }
    worst
}

fn report(day: &FaultScenario, played: &RunResult, seed: u64, options: &Options) -> u8 {
    let windows = recovery_windows::recovery_windows(day, &played.lines);
    let over = windows.iter().filter(|window| recovery_windows::exceeds_bound(window)).count();
    if options.windows {
        for window in &windows {
            println!("{}", serde_json::json!(window));
        }
    }
    if let Some(path) = &options.record {
        if let Err(error) = write_record(path, &played.lines) {
            return cant(&format!("{}: {error}", path.display()));
        }
    }
    let verdict = &played.verdict;
    let times = answer_times(&played.lines);
    let ms = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1000.0;
    if options.json {
        let told = serde_json::json!({
            "seed": seed, "messages": verdict.messages, "answered": verdict.answered,
            "delivered": verdict.delivered, "refused": verdict.refused, "failed": verdict.failed,
            "lost_with_courier": verdict.lost_with_courier, "never_taken": verdict.never_taken,
            "late_answers": verdict.late_answers, "effects_twice": verdict.effects_twice,
            "requests": verdict.requests, "rules_broken": verdict.broken.len(), "return_windows": windows.len(), "return_windows_over": over, "broken": verdict.broken,
            "p50_ms": ms(0.5), "p99_ms": ms(0.99), "seconds": played.took.as_secs_f64(),
        });
        println!("{told}");
    } else {
        let mut table = Table::new();
        table.load_preset(UTF8_BORDERS_ONLY);
        table.set_header([
            "seed",
            "messages",
            "delivered",
            "refused",
            "failed",
            "lost",
            "late",
            "twice",
            "broken",
        ]);
        let numbers = [
            seed as usize,
            verdict.messages,
            verdict.delivered,
            verdict.refused,
            verdict.failed,
            verdict.lost_with_courier,
            verdict.late_answers,
            verdict.effects_twice,
            verdict.broken.len(),
        ];
        table.add_row(numbers.iter().map(usize::to_string));
        println!("{table}");
        println!("answers: half within {:.0} ms, 99 of 100 within {:.0} ms", ms(0.5), ms(0.99));
        for broken in verdict.broken.iter().take(20) {
            println!(
                "rule {}: {} at {:.3} s: {}",
                broken.rule,
                broken.who,
                broken.at as f64 / 1e6,
                broken.what
            );
        }
    }
    u8::from(!verdict.broken.is_empty())
}

/// Times from a message's first hand-in to its first answer, in microseconds.
fn answer_times(lines: &[Line]) -> Histogram<u64> {
    let mut handed: HashMap<&str, u64> = HashMap::new();
    let mut times = Histogram::new_with_bounds(1, 600_000_000, 3)
        .unwrap_or_else(|_| Histogram::new(3).expect("valid precision"));
    for line in lines {
        match &line.seen {
            Seen::HandIn { id, .. } => {
                handed.entry(id).or_insert(line.at);
            }
            Seen::Answer { id, .. } => {
                if let Some(from) = handed.remove(id.as_str()) {
                    times.saturating_record(line.at.saturating_sub(from).max(1));
                }
            }
            _ => {}
        }
    }
    times
}

fn write_record(path: &Path, lines: &[Line]) -> std::io::Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    for line in lines {
        serde_json::to_writer(&mut file, line)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

fn judge_record(day: &str, record: &Path) -> u8 {
    let day = match find(day) {
        Ok(day) => day,
        Err(why) => return cant(&why),
    };
    let text = match std::fs::read_to_string(record) {
        Ok(text) => text,
        Err(error) => return cant(&format!("{}: {error}", record.display())),
    };
    let lines: Result<Vec<Line>, _> = text.lines().map(serde_json::from_str).collect();
    match lines {
        Ok(lines) => {
            let verdict = cloverstile_testbench::invariants::judge(
                &lines,
                &cloverstile_testbench::scenario_run::figures(&day),
            );
            match serde_json::to_string(&verdict) {
                Ok(told) => println!("{told}"),
                Err(error) => return cant(&error.to_string()),
            }
            u8::from(!verdict.broken.is_empty())
        }
        Err(error) => cant(&format!("{}: {error}", record.display())),
    }
}

fn json(value: &impl serde::Serialize) -> Result<serde_json::Value, String> {
    serde_json::to_value(value).map_err(|error| error.to_string())
}

fn measure(messages: u32, socket_messages: u32, held: u32) -> Result<(), String> {
    let print = |name: &str, value: serde_json::Value| println!("{}", serde_json::json!({ name: value }));
    let folder =
        |name: &str| std::env::temp_dir().join(format!("cloverstile-bench-{}-{name}", std::process::id()));
    for body in [400, 20_000] {
        print("path", json(&benchmark::path(messages, body).map_err(|error| error.to_string())?)?);
    }
    for workers in [0, 2] {
        let cost = benchmark::sockets(socket_messages, workers, &folder("sockets"))
            .map_err(|error| error.to_string())?;
        print("sockets", json(&cost)?);
    }
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let launch = GatewayCommand { program, log: "error".into() };
    let cost =
        benchmark::memory(held, 4000, &folder("memory"), &launch).map_err(|error| error.to_string())?;
    print("memory", json(&cost)?);
    Ok(())
}

/// What `cloverstile serve --announce` does, in this program's own file: the laboratory needs no other one.
fn courier(file: &Path, log: &str) -> u8 {
    let filter = tracing_subscriber::EnvFilter::new(log);
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    match cloverstile_as2_gateway::serve(file, true, rand::random()) {
        Ok(ending) => u8::from(ending.unanswered > 0),
        Err(error) => cant(&error.to_string()),
    }
}
