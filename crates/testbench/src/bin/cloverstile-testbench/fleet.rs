//! `cloverstile-testbench fleet`: many gateways at once.

use crate::scenario_files;
use clap::{Args, Subcommand};
use cloverstile_load_metrics::{limit_use, measure, Outcome};
use cloverstile_simulator::{
    read_load_balance_scenario, simulate_load_balance, ClientPolicy, EndpointSelection, Limiter,
    LoadBalanceRun, LoadBalanceScenario, LOAD_BALANCE_SCENARIOS,
};
use cloverstile_testbench::fleet::run_fleet;
use cloverstile_testbench::load_report::LoadReport;
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const HEADINGS: [&str; 16] = [
    "who",
    "seeds",
    "worth",
    "peak",
    "central",
    "random",
    "idle",
    "limit use",
    "herding",
    "new conns",
    "rejections",
    "requests",
    "failed",
    "rejected",
    "violations",
    "s",
];

/// Many gateways at once.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// How evenly hundreds of gateways load endpoints and shared limits, beside the same requests by a central balancer
    /// and by chance.
    Spread(SpreadCommand),
}

/// What is played.
#[derive(Args)]
pub struct SpreadCommand {
    /// Name of a built-in scenario, or a file (HCL).
    #[arg(default_value = "calm")]
    scenario: String,
    /// Number of gateways; the scenario's own where left out. The load of each stays the same.
    #[arg(long = "couriers")]
    gateways: Option<usize>,
    /// Seed of chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs in a row, each with the next seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// On virtual time, in this process; else with real processes of the program on loopback, in the scenario's own time.
    #[arg(long = "emulate")]
    simulate: bool,
    /// The program whose `node` is a gateway; where left out, `cloverstile` beside this one, or this one's own build of it.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Who decides, on virtual time: module, or a choice of endpoint and a limiter such as random+aimd; `all` for all of them.
    #[arg(long = "who", default_value = "module")]
    deciders: Vec<String>,
    /// Prints each partner's limit by second: requests served, rejected, and what could have been served.
    #[arg(long)]
    limits: bool,
    /// Prints the metrics of each partner by itself.
    #[arg(long)]
    partners: bool,
    /// One line of JSON for each run, and a last one for all.
    #[arg(long)]
    json: bool,
}

impl FleetCommand {
    /// Plays it; true if the policy violated no invariant.
    pub fn run(&self) -> Result<bool, String> {
        match self {
            FleetCommand::Spread(command) => command.run(),
        }
    }
}

/// The policy, every choice of endpoint with additive increase, and every limiter with a random choice.
fn all_deciders() -> Vec<ClientPolicy> {
    let choices =
        EndpointSelection::ALL.into_iter().map(|choice| ClientPolicy::Baseline(choice, Limiter::Aimd));
    let limiters = Limiter::ALL.into_iter().filter(|limiter| *limiter != Limiter::Aimd);
    let limiters = limiters.map(|limiter| ClientPolicy::Baseline(EndpointSelection::Random, limiter));
    std::iter::once(ClientPolicy::Delivery).chain(choices).chain(limiters).collect()
}

fn parse_deciders(name: &str) -> Result<Vec<ClientPolicy>, String> {
    if name == "all" {
        return Ok(all_deciders());
    }
    if name == "module" {
        return Ok(vec![ClientPolicy::Delivery]);
    }
    let (choice, limiter) = name.split_once('+').unwrap_or((name, "aimd"));
    let choice = EndpointSelection::ALL.into_iter().find(|known| known.name() == choice);
    let limiter = Limiter::ALL.into_iter().find(|known| known.name() == limiter);
    if let (Some(choice), Some(limiter)) = (choice, limiter) {
        return Ok(vec![ClientPolicy::Baseline(choice, limiter)]);
    }
    let choices: Vec<&str> = EndpointSelection::ALL.into_iter().map(EndpointSelection::name).collect();
    let limiters: Vec<&str> = Limiter::ALL.into_iter().map(Limiter::name).collect();
    Err(format!(
        "--who {name}: allowed are module, all, or one of {} with + and one of {}",
        choices.join(", "),
        limiters.join(", ")
    ))
}

impl SpreadCommand {
    fn program(&self) -> Result<PathBuf, String> {
        if let Some(program) = &self.program {
            return Ok(program.clone());
        }
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let beside = own.with_file_name("cloverstile");
        Ok(if beside.is_file() { beside } else { own })
    }

    fn load_scenario(&self) -> Result<LoadBalanceScenario, String> {
        let scenario =
            scenario_files::load(&self.scenario, &LOAD_BALANCE_SCENARIOS, read_load_balance_scenario)?;
        Ok(match self.gateways {
            Some(gateways) => scenario.scaled(gateways),
            None => scenario,
        })
    }

    fn run(&self) -> Result<bool, String> {
        let scenario = self.load_scenario()?;
        let mut deciders = Vec::new();
        for name in &self.deciders {
            deciders.extend(parse_deciders(name)?);
        }
        if !self.simulate && deciders != [ClientPolicy::Delivery] {
            return Err("--who: real processes decide by the module alone; add --emulate for others".into());
        }
        let mut clean = true;
        let mut table = Table::new();
        table.load_preset(UTF8_BORDERS_ONLY);
        table.set_header(HEADINGS);
        for decider in deciders {
            let reports = self.run_seeds(&scenario, decider)?;
            let mean = LoadReport::mean(&reports);
            clean &= decider != ClientPolicy::Delivery || mean.violations == 0;
            if self.json {
                println!("{}", json_line(&decider.name(), &mean, format!("{} seeds", reports.len()).into()));
            }
            table.add_row(row(&decider.name(), reports.len(), &mean));
        }
        if !self.json {
            println!("{table}");
        }
        Ok(clean)
    }

    /// Plays all seeds of one decider and prints what is wanted of each.
    fn run_seeds(
        &self,
        scenario: &LoadBalanceScenario,
        decider: ClientPolicy,
    ) -> Result<Vec<LoadReport>, String> {
        let mut reports = Vec::new();
        for seed in self.seed..self.seed + self.seeds.max(1) {
            let began = Instant::now();
            let run = if self.simulate {
                simulate_load_balance(scenario, decider, seed)
            } else {
                run_fleet(scenario, &self.program()?, seed).map_err(|error| error.to_string())?
            };
            let report = LoadReport::new(scenario, &run, seed, began.elapsed());
            if self.partners {
                print_partners(scenario, &run, seed);
            }
            if self.limits {
                print_limits(&run);
            }
            if self.json {
                println!("{}", json_line(&decider.name(), &report, seed.into()));
            }
            reports.push(report);
        }
        Ok(reports)
    }
}

/// Prints how even the load of each partner is.
fn print_partners(scenario: &LoadBalanceScenario, run: &LoadBalanceRun, seed: u64) {
    for partner in 0..run.record.partners.len() {
        let record = run.record.for_partner(partner);
        let metrics = measure(&record, Duration::from_secs_f64(scenario.balance_window), seed);
        println!(
            "partner {partner}: requests {} peak {:.2} central {:.2} random {:.2} jain {:.3} (random {:.3}) idle {:.3} limit use {:.3}",
            record.calls.len(),
            metrics.observed.peak_over_mean,
            metrics.central.peak_over_mean,
            metrics.random.peak_over_mean,
            metrics.observed.jain,
            metrics.random.jain,
            metrics.observed.idle_share,
            metrics.limit_use_while_waiting
        );
    }
}

/// Requests at a partner in one second.
#[derive(Default)]
struct RequestCount {
    served: u32,
    rejected: u32,
}

/// Prints each partner that has a limit, by second.
fn print_limits(run: &LoadBalanceRun) {
    let mut counts: BTreeMap<(usize, u64), RequestCount> = BTreeMap::new();
    for call in &run.record.calls {
        let partner = run.record.endpoints[call.endpoint].partner;
        let count = counts.entry((partner, call.at.as_secs())).or_default();
        match call.outcome {
            Outcome::Served => count.served += 1,
            Outcome::Rejected => count.rejected += 1,
            Outcome::Failed => {}
        }
    }
    let uses = limit_use(&run.record);
    for ((partner, second), RequestCount { served, rejected }) in counts {
        let Some(limit) = run.record.partners[partner].limit_at(Duration::from_secs(second)) else {
            continue;
        };
        let possible =
            uses.get(&(partner, second)).map_or("-".into(), |used| format!("{:.0}", used.possible));
        println!(
            "partner {partner} second {second}: limit {limit:.0} served {served} rejected {rejected} possible {possible}"
        );
    }
}

fn json_line(decider: &str, report: &LoadReport, seed: serde_json::Value) -> serde_json::Value {
    let mut line = serde_json::json!(report);
    line["who"] = decider.into();
    line["seed"] = seed;
    line
}

fn row(decider: &str, seeds: usize, report: &LoadReport) -> Vec<String> {
    vec![
        decider.to_owned(),
        seeds.to_string(),
        format!("{:.3}", report.value_ratio),
        format!("{:.2}", report.peak_over_mean),
        format!("{:.2}", report.central_peak_over_mean),
        format!("{:.2}", report.random_peak_over_mean),
        format!("{:.3}", report.idle_share),
        format!("{:.3}", report.limit_use_while_waiting),
        format!("{:.2}", report.herding),
        format!("{:.2}", report.new_connections_per_message),
        format!("{:.3}", report.rejections_per_message),
        format!("{:.2}", report.requests_per_message),
        report.failed.to_string(),
        report.rejected.to_string(),
        report.violations.to_string(),
        format!("{:.1}", report.seconds),
    ]
}
