//! `cloverstile-testbench simulate`: scenarios on virtual time.

use clap::Args;
use cloverstile_simulator::{play, read, PolicyKind, Run, Scenario, BUILT_IN};
use cloverstile_testbench::simulation_metrics::{figures, worth_by_second, Figures};
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use std::time::{Duration, Instant};

/// What is emulated.
#[derive(Args)]
pub struct Options {
    /// Name of a scenario that comes along, or a file (HCL).
    scenario: String,
    /// Who spreads messages over tiers: planner, everything, stays or healthy-share; all four where left out.
    #[arg(long, value_parser = policy)]
    policy: Vec<PolicyKind>,
    /// Seed of chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs in a row, each with the next seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Couriers; the scenario's own number where left out.
    #[arg(long)]
    couriers: Option<usize>,
    /// Prints every second of each run.
    #[arg(long)]
    seconds: bool,
    /// Prints every window of 100 ms at returning sites.
    #[arg(long)]
    windows: bool,
    /// One line of JSON for each run.
    #[arg(long)]
    json: bool,
}

fn policy(name: &str) -> Result<PolicyKind, String> {
    let names: Vec<&str> = PolicyKind::ALL.into_iter().map(PolicyKind::name).collect();
    PolicyKind::named(name).ok_or_else(|| format!("one of these is allowed: {}", names.join(", ")))
}

/// Reads a scenario by its name or from its file.
pub fn find(scenario: &str) -> Result<Scenario, String> {
    let text = match BUILT_IN.iter().find(|(name, _)| *name == scenario) {
        Some((_, text)) => (*text).to_owned(),
        None => std::fs::read_to_string(scenario).map_err(|error| {
            let names: Vec<&str> = BUILT_IN.iter().map(|(name, _)| *name).collect();
            format!("{scenario}: {error}; scenarios that come along: {}", names.join(", "))
        })?,
    };
    read(&text).map_err(|error| format!("{scenario}: {error}"))
}

/// Plays all that is asked for; true if no run of the planner broke a rule.
pub fn simulate(options: &Options) -> Result<bool, String> {
    let mut scenario = find(&options.scenario)?;
    scenario.couriers = options.couriers.unwrap_or(scenario.couriers).max(1);
    let policies = if options.policy.is_empty() { PolicyKind::ALL.to_vec() } else { options.policy.clone() };
    let mut kept = true;
    let mut rows = Vec::new();
    for seed in options.seed..options.seed + options.seeds.max(1) {
        for policy in &policies {
            let began = Instant::now();
            let run = play(&scenario, *policy, seed);
            let (took, told) = (began.elapsed(), figures(&scenario, &run));
            kept &= *policy != PolicyKind::Planner || told.broken == 0;
            if options.json {
                let mut line = serde_json::json!(told);
                line["policy"] = policy.name().into();
                line["seed"] = seed.into();
                line["emulated_messages_per_s"] = (told.messages as f64 / took.as_secs_f64()).into();
                println!("{line}");
            }
            details(options, &scenario, &run);
            rows.push((*policy, seed, told, took));
        }
    }
    if !options.json {
        println!("{}", table(&rows));
    }
    Ok(kept)
}

fn details(options: &Options, scenario: &Scenario, run: &Run) {
    if options.seconds {
        for (place, ((offered, earned), second)) in
            worth_by_second(scenario, run).into_iter().zip(&run.seconds).enumerate()
        {
            println!(
                "second {place}: handed {} earned {:.2} spilt {} lost {} requests {}",
                second.handed,
                earned / offered.max(1e-9),
                second.spilt,
                second.lost,
                second.requests
            );
        }
    }
    if options.windows {
        for w in &run.windows {
            println!(
                "site {} return {} after {} ms: received {} capacity {:.1} bound {:.1}",
                w.site,
                w.spell,
                w.after.as_millis(),
                w.received,
                w.capacity,
                w.bound
            );
        }
    }
}

fn table(rows: &[(PolicyKind, u64, Figures, Duration)]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY);
    table.set_header([
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
        "spilt",
        "broken",
        "messages/s",
    ]);
    for (policy, seed, told, took) in rows {
        table.add_row([
            policy.name().to_owned(),
            seed.to_string(),
            format!("{:.3}", told.worth),
            format!("{:.3}", told.worst_ten_s),
            told.full_service_s.map_or("-".into(), |s| format!("{s:.1}")),
            format!("{}/{}", told.windows_over_bound, told.windows),
            format!("{:.2}", told.worst_of_bound),
            format!("{:.2}", told.worst_of_capacity),
            format!("{:.2}", told.worst_spill),
            format!("{:.2}", told.spill_excess),
            told.spilt.to_string(),
            format!("{:?}", told.broken_by_kind),
            format!("{:.0}", told.messages as f64 / took.as_secs_f64()),
        ]);
    }
    table
}
