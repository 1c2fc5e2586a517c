//! The subcommand `fleet`: load balance scenarios with many gateways, as processes or simulated.

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
    /// Runs the subcommand. Returns true if the gateways' own policy violated no invariant; violations by baselines
    /// don't count.
    pub fn run(&self) -> Result<bool, String> {
        match self {
            FleetCommand::Spread(command) => command.run(),
        }
    }
}

/// All policies that are compared: the gateways' own, every endpoint selection with the AIMD limiter, and every other
/// limiter with random selection.
fn all_policies() -> Vec<ClientPolicy> {
    let selections =
        EndpointSelection::ALL.into_iter().map(|selection| ClientPolicy::Baseline(selection, Limiter::Aimd));
    let limiters = Limiter::ALL.into_iter().filter(|limiter| *limiter != Limiter::Aimd);
    let limiters = limiters.map(|limiter| ClientPolicy::Baseline(EndpointSelection::Random, limiter));
    std::iter::once(ClientPolicy::Delivery).chain(selections).chain(limiters).collect()
}

fn parse_policies(name: &str) -> Result<Vec<ClientPolicy>, String> {
    if name == "all" {
        return Ok(all_policies());
    }
    if name == "module" {
        return Ok(vec![ClientPolicy::Delivery]);
    }
    let (selection, limiter) = name.split_once('+').unwrap_or((name, "aimd"));
    let selection = EndpointSelection::ALL.into_iter().find(|known| known.name() == selection);
    let limiter = Limiter::ALL.into_iter().find(|known| known.name() == limiter);
    if let (Some(selection), Some(limiter)) = (selection, limiter) {
        return Ok(vec![ClientPolicy::Baseline(selection, limiter)]);
    }
    let selections: Vec<&str> = EndpointSelection::ALL.into_iter().map(EndpointSelection::name).collect();
    let limiters: Vec<&str> = Limiter::ALL.into_iter().map(Limiter::name).collect();
    Err(format!(
        "--who {name}: expected module, all, or SELECTION+LIMITER with SELECTION one of {} and LIMITER one of {}",
        selections.join(", "),
        limiters.join(", ")
    ))
}

impl SpreadCommand {
    fn program(&self) -> Result<PathBuf, String> {
        if let Some(program) = &self.program {
            return Ok(program.clone());
        }
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let sibling = own.with_file_name("cloverstile");
        Ok(if sibling.is_file() { sibling } else { own })
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
        let mut policies = Vec::new();
        for name in &self.deciders {
            policies.extend(parse_policies(name)?);
        }
        if !self.simulate && policies != [ClientPolicy::Delivery] {
            return Err(
                "--who: gateway processes support only module; add --emulate for other policies".into()
            );
        }
        let mut passed = true;
        let mut table = Table::new();
        table.load_preset(UTF8_BORDERS_ONLY);
        table.set_header(HEADINGS);
        for policy in policies {
            let reports = self.run_seeds(&scenario, policy)?;
            let mean = LoadReport::mean(&reports);
            passed &= policy != ClientPolicy::Delivery || mean.violations == 0;
            if self.json {
                println!("{}", json_line(&policy.name(), &mean, format!("{} seeds", reports.len()).into()));
            }
            table.add_row(row(&policy.name(), reports.len(), &mean));
        }
        if !self.json {
            println!("{table}");
        }
        Ok(passed)
    }

    /// Runs all seeds of one policy and prints the requested details of each run.
    fn run_seeds(
        &self,
        scenario: &LoadBalanceScenario,
        policy: ClientPolicy,
    ) -> Result<Vec<LoadReport>, String> {
        let mut reports = Vec::new();
        for seed in self.seed..self.seed + self.seeds.max(1) {
            let started = Instant::now();
            let run = if self.simulate {
                simulate_load_balance(scenario, policy, seed)
            } else {
                run_fleet(scenario, &self.program()?, seed).map_err(|error| error.to_string())?
            };
            let report = LoadReport::new(scenario, &run, seed, started.elapsed());
            if self.partners {
                print_partners(scenario, &run, seed);
            }
            if self.limits {
                print_limits(&run);
            }
            if self.json {
                println!("{}", json_line(&policy.name(), &report, seed.into()));
            }
            reports.push(report);
        }
        Ok(reports)
    }
}

/// Prints the load balance metrics of each partner.
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

/// Requests at a partner in one second, by outcome. Failed requests are not counted.
#[derive(Default)]
struct RequestCount {
    served: u32,
    rejected: u32,
}

/// Prints the use of rate limits, by partner and second.
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
    let limit_uses = limit_use(&run.record);
    for ((partner, second), RequestCount { served, rejected }) in counts {
        let Some(limit) = run.record.partners[partner].limit_at(Duration::from_secs(second)) else {
            continue;
        };
        let possible =
            limit_uses.get(&(partner, second)).map_or("-".into(), |used| format!("{:.0}", used.possible));
        println!(
            "partner {partner} second {second}: limit {limit:.0} served {served} rejected {rejected} possible {possible}"
        );
    }
}

fn json_line(policy: &str, report: &LoadReport, seed: serde_json::Value) -> serde_json::Value {
    let mut line = serde_json::json!(report);
    line["who"] = policy.into();
    line["seed"] = seed;
    line
}

fn row(policy: &str, seeds: usize, report: &LoadReport) -> Vec<String> {
    vec![
        policy.to_owned(),
        seeds.to_string(),
        format!("{:.3}", report.value_ratio),
        format!("{:.2}", report.peak_over_mean),
        format!("{:.2}", report.central_peak_over_mean),
        format!("{:.2}", report.random_peak_over_mean),
        format!("{:.3}", report.idle_share),
        format!("{:.3}", report.limit_use_while_waiting),
        format!("{:.2}", report.herding_ratio),
        format!("{:.2}", report.new_connections_per_message),
        format!("{:.3}", report.rejections_per_message),
        format!("{:.2}", report.requests_per_message),
        report.failed.to_string(),
        report.rejected.to_string(),
        report.violations.to_string(),
        format!("{:.1}", report.seconds),
    ]
}
