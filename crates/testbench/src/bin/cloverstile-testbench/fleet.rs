//! `cloverstile-testbench fleet`: many couriers at once.

use clap::{Args, Subcommand};
use cloverstile_load_metrics::{limit_use, measure, Outcome};
use cloverstile_simulator::{play_spread, read_spread, Choice, Limiter, Scene, SpreadRun, Who, SCENES};
use cloverstile_testbench::fleet::play_fleet;
use cloverstile_testbench::load_report::{figures, mean_of, Told};
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Many couriers at once.
#[derive(Subcommand)]
pub enum Fleet {
    /// How even hundreds of couriers load endpoints and shared limits, with the same calls by one dispatcher and by chance
    /// beside it.
    Spread(Spread),
}

/// What is played.
#[derive(Args)]
pub struct Spread {
    /// Name of a scene that comes along, or a file (HCL).
    #[arg(default_value = "calm")]
    scene: String,
    /// Couriers; the scene's own number where left out. The load of each stays the same.
    #[arg(long)]
    couriers: Option<usize>,
    /// Seed of chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs in a row, each with the next seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// On virtual time, in this process; else with real processes of the program on loopback, in the scene's own time.
    #[arg(long)]
    emulate: bool,
    /// The program whose `node` is a courier; where left out, `cloverstile` beside this one, or this one's own build of it.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Who decides, on virtual time: module, or a choice of endpoint and a limiter such as random+aimd; `all` for all of them.
    #[arg(long, default_value = "module")]
    who: Vec<String>,
    /// Prints each partner's limit by second: calls served, turned away, and what could have been served.
    #[arg(long)]
    limits: bool,
    /// Prints the figures of each partner by itself.
    #[arg(long)]
    partners: bool,
    /// One line of JSON for each run, and a last one for all.
    #[arg(long)]
    json: bool,
}

impl Fleet {
    /// Does it; true if no rule was broken by the module.
    pub fn play(&self) -> Result<bool, String> {
        match self {
            Fleet::Spread(spread) => spread.play(),
        }
    }
}

fn find(scene: &str) -> Result<Scene, String> {
    let text = match SCENES.iter().find(|(name, _)| *name == scene) {
        Some((_, text)) => (*text).to_owned(),
        None => std::fs::read_to_string(scene).map_err(|error| {
            let names: Vec<&str> = SCENES.iter().map(|(name, _)| *name).collect();
            format!("{scene}: {error}; scenes that come along: {}", names.join(", "))
        })?,
    };
    read_spread(&text).map_err(|error| format!("{scene}: {error}"))
}

/// Every choice with additive increase, and every limiter with choice by chance.
fn everybody() -> Vec<Who> {
    let choices = Choice::ALL.into_iter().map(|choice| Who::Plain(choice, Limiter::Aimd));
    let limiters = Limiter::ALL.into_iter().filter(|limiter| *limiter != Limiter::Aimd);
    let limiters = limiters.map(|limiter| Who::Plain(Choice::Random, limiter));
    std::iter::once(Who::Module).chain(choices).chain(limiters).collect()
}

fn named(name: &str) -> Result<Vec<Who>, String> {
    if name == "all" {
        return Ok(everybody());
    }
    if name == "module" {
        return Ok(vec![Who::Module]);
    }
    let (choice, limiter) = name.split_once('+').unwrap_or((name, "aimd"));
    let choice = Choice::ALL.into_iter().find(|known| known.name() == choice);
    let limiter = Limiter::ALL.into_iter().find(|known| known.name() == limiter);
    match (choice, limiter) {
        (Some(choice), Some(limiter)) => Ok(vec![Who::Plain(choice, limiter)]),
        _ => {
            let choices: Vec<&str> = Choice::ALL.into_iter().map(Choice::name).collect();
            let limiters: Vec<&str> = Limiter::ALL.into_iter().map(Limiter::name).collect();
            Err(format!(
                "--who {name}: allowed are module, all, or one of {} with + and one of {}",
                choices.join(", "),
                limiters.join(", ")
            ))
        }
    }
}

impl Spread {
    fn program(&self) -> Result<PathBuf, String> {
        if let Some(program) = &self.program {
            return Ok(program.clone());
        }
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let beside = own.with_file_name("cloverstile");
        Ok(if beside.is_file() { beside } else { own })
    }

    fn play(&self) -> Result<bool, String> {
        let mut scene = find(&self.scene)?;
        if let Some(couriers) = self.couriers {
            scene = scene.scaled(couriers);
        }
        let mut who = Vec::new();
        for name in &self.who {
            who.extend(named(name)?);
        }
        if !self.emulate && who != [Who::Module] {
            return Err("--who: real processes decide by the module alone; add --emulate for others".into());
        }
        let mut kept = true;
        let mut table = Table::new();
        table.load_preset(UTF8_BORDERS_ONLY);
        table.set_header([
            "who",
            "seeds",
            "worth",
            "peak",
            "central",
            "random",
            "idle",
            "limit use",
            "herds",
            "new conns",
            "refusals",
            "calls",
            "ran out",
            "refused",
            "broken",
            "s",
        ]);
        for who in who {
            let mut all = Vec::new();
            for seed in self.seed..self.seed + self.seeds.max(1) {
                let began = Instant::now();
                let run = match self.emulate {
                    true => play_spread(&scene, who, seed),
                    false => play_fleet(&scene, &self.program()?, seed).map_err(|error| error.to_string())?,
                };
                let told = figures(&scene, &run, seed, began.elapsed());
                if self.partners {
                    partners(&scene, &run, seed);
                }
                if self.limits {
                    limits(&run);
                }
                if self.json {
                    println!("{}", line(&who.name(), &told, seed.into()));
                }
                all.push(told);
            }
            let told = mean_of(&all);
            kept &= who != Who::Module || told.rules_broken == 0;
            if self.json {
                println!("{}", line(&who.name(), &told, format!("{} seeds", all.len()).into()));
            }
            table.add_row(row(&who.name(), all.len(), &told));
        }
        if !self.json {
            println!("{table}");
        }
        Ok(kept)
    }
}

/// How even the load of each partner is.
fn partners(scene: &Scene, run: &SpreadRun, seed: u64) {
    for partner in 0..run.record.partners.len() {
        let record = run.record.of(partner);
        let told = measure(&record, Duration::from_secs_f64(scene.window), seed);
        println!(
            "partner {partner}: calls {} peak {:.2} central {:.2} random {:.2} jain {:.3} (random {:.3}) idle {:.3} limit use {:.3}",
            record.calls.len(),
            told.own.peak_over_mean,
            told.central.peak_over_mean,
            told.random.peak_over_mean,
            told.own.jain,
            told.random.jain,
            told.own.idle_share,
            told.limit_use_while_waiting
        );
    }
}

/// Each partner that has a limit, by second.
fn limits(run: &SpreadRun) {
    let mut counts: BTreeMap<(usize, u64), [u32; 2]> = BTreeMap::new();
    for call in &run.record.calls {
        let partner = run.record.endpoints[call.endpoint].partner;
        let count = counts.entry((partner, call.at.as_secs())).or_default();
        match call.outcome {
            Outcome::Served => count[0] += 1,
            Outcome::TurnedAway => count[1] += 1,
            Outcome::Failed => {}
        }
    }
    let uses = limit_use(&run.record);
    for ((partner, second), [served, away]) in counts {
        let Some(limit) = run.record.partners[partner].limit_at(Duration::from_secs(second)) else {
            continue;
        };
        let possible =
            uses.get(&(partner, second)).map_or("-".into(), |used| format!("{:.0}", used.possible));
        println!(
            "partner {partner} second {second}: limit {limit:.0} served {served} turned away {away} possible {possible}"
        );
    }
}

fn line(who: &str, told: &Told, seed: serde_json::Value) -> serde_json::Value {
    let mut line = serde_json::json!(told);
    line["who"] = who.into();
    line["seed"] = seed;
    line
}

fn row(who: &str, seeds: usize, told: &Told) -> Vec<String> {
    vec![
        who.to_owned(),
        seeds.to_string(),
        format!("{:.3}", told.worth),
        format!("{:.2}", told.peak_over_mean),
        format!("{:.2}", told.central_peak_over_mean),
        format!("{:.2}", told.random_peak_over_mean),
        format!("{:.3}", told.idle_share),
        format!("{:.3}", told.limit_use_while_waiting),
        format!("{:.2}", told.herds),
        format!("{:.2}", told.new_connections_a_message),
        format!("{:.3}", told.refusals_a_message),
        format!("{:.2}", told.calls_a_message),
        told.failed.to_string(),
        told.refused.to_string(),
        told.rules_broken.to_string(),
        format!("{:.1}", told.seconds),
    ]
}
