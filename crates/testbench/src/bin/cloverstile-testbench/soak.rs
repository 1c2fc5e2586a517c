//! The subcommands `soak` and `machine-faults`, which run gateways under the fault plans of a series of seeds.

use clap::Args;
use cloverstile_testbench::soak::{run_seed, Profile, RunOptions, SeedResult, Summary};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// Plays seeds of troubles through real gateways.
///
/// A seed on which something is broken is named, and its logs and timeline are kept.
#[derive(Args)]
pub struct SoakCommand {
    /// Number of seeds.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Seeds played beside each other.
    #[arg(long, default_value_t = 8)]
    jobs: usize,
    /// The gateway program, which takes `node --log FILTER`; this program itself, unless given.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Filter of the gateways' logs.
    #[arg(long, default_value = "cloverstile_resp_gateway=debug,cloverstile_net=debug,info")]
    log: String,
    /// Plays the load of the seeds alone, for what it costs the gateways.
    #[arg(long)]
    no_faults: bool,
    /// Where logs and timelines of failed seeds are kept.
    #[arg(long, alias = "directory", default_value = "found/soak")]
    keep: PathBuf,
    /// Prints the summary as one JSON object in the last line.
    #[arg(long)]
    json: bool,
}

impl SoakCommand {
    /// Runs the seeds in parallel and prints the summary; true if no seed failed.
    pub fn play(&self, profile: Profile) -> Result<bool, String> {
        let own_path = || {
            std::env::current_exe()
                .map_err(|error| format!("can't determine the path of this program: {error}"))
        };
        let directory =
            std::path::absolute(&self.keep).map_err(|error| format!("{}: {error}", self.keep.display()))?;
        let program = self.program.clone().map_or_else(own_path, Ok)?;
        let with_faults = !self.no_faults;
        let options = RunOptions { program, profile, log: self.log.clone(), with_faults, directory };
        let started = Instant::now();
        let summary = Mutex::new(Summary::default());
        let failure = Mutex::new(None);
        let next = AtomicU64::new(self.first_seed);
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| self.run_next_seeds(&next, &options, &summary, &failure));
            }
        });
        if let Some(error) = failure.into_inner().ok().flatten() {
            return Err(error);
        }
        let mut summary = summary.into_inner().map_err(|error| error.to_string())?;
        summary.failed_seeds.sort_unstable();
        summary.seconds = started.elapsed().as_secs_f64();
        self.print(&summary)?;
        Ok(summary.failed_seeds.is_empty())
    }

    /// Runs seeds, taking the next one each time, until none is left or the testbench itself fails.
    fn run_next_seeds(
        &self,
        next: &AtomicU64,
        options: &RunOptions,
        summary: &Mutex<Summary>,
        failure: &Mutex<Option<String>>,
    ) {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= self.first_seed + self.seeds {
                return;
            }
            match run_seed(seed, options) {
                Ok(result) => {
                    report(&result, options);
                    if let Ok(mut summary) = summary.lock() {
                        summary.add(&result);
                    }
                }
                Err(error) => {
                    if let Ok(mut failure) = failure.lock() {
                        *failure = Some(format!("seed {seed}: {error}"));
                    }
                    return;
                }
            }
        }
    }

    /// Prints the summary, as one line of JSON or in readable form.
    fn print(&self, summary: &Summary) -> Result<(), String> {
        let text = if self.json {
            serde_json::to_string(summary).map_err(|error| error.to_string())?
        } else {
            format!("{summary:#?}")
        };
        println!("{text}");
        Ok(())
    }
}

/// Prints how to repeat a failed seed, and its violations; nothing if it passed.
fn report(result: &SeedResult, options: &RunOptions) {
    if !result.has_failed() {
        return;
    }
    println!(
        "seed {} failed, replay with --first-seed {} --seeds 1; logs and timeline kept in {}",
        result.seed,
        result.seed,
        options.folder(result.seed).display()
    );
    for violation in &result.violations {
        println!("  {:?}: {violation}", violation.kind);
    }
    if result.crashes > 0 {
        println!("  crashes: {}", result.crashes);
    }
}
