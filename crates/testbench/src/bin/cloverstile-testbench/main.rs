//! The command line of the testbench; `cloverstile-testbench --help` lists the commands.
#![forbid(unsafe_code)]

mod benchmark;
mod experiment;
mod fleet;
mod gateway;
mod progress;
mod scale;
mod scenario;
mod scenario_files;
mod scenario_report;
mod simulate;
mod soak;

use clap::{Parser, Subcommand};
use cloverstile_testbench::soak::Profile;
use std::process::ExitCode;

/// Exit code if an invariant was violated.
const EXIT_VIOLATION: u8 = 1;
/// Exit code if the command could not be carried out.
const EXIT_FAILURE: u8 = 3;

/// Plays fault scenarios through real gateways on loopback and checks the delivery invariants.
#[derive(Parser)]
#[command(
    name = "cloverstile-testbench",
    version,
    after_help = "Exit codes: 0 no invariant violated, 1 an invariant was violated, 2 wrong command line, 3 the scenario can't be played."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a fault scenario: the name of a built-in one (payday, quiet, zone, receipts), or a file.
    #[command(alias = "day")]
    Scenario(scenario::ScenarioCommand),
    /// Plays the kinds of faults of a bench day, scaled to this machine.
    Replay(scenario::ReplayCommand),
    /// Plays a scenario on virtual time: hundreds of gateways and thousands of endpoints in one process.
    #[command(alias = "emulate")]
    Simulate(simulate::Simulation),
    /// Plays a grid of scenarios, policies and seeds on virtual time, and keeps its record as Parquet.
    Experiment(experiment::ExperimentCommand),
    /// Plays many gateways at once.
    #[command(subcommand)]
    Fleet(fleet::FleetCommand),
    /// Plays seeds of all troubles through real gateways.
    Soak(soak::SoakCommand),
    /// Plays seeds of machine faults alone through real gateways.
    MachineFaults(soak::SoakCommand),
    /// Makes one HTML page and SVG plots of an experiment's record.
    Report(experiment::ReportCommand),
    /// Measures speed, memory and the cost of a decision as endpoints grow.
    Scale(scale::ScaleCommand),
    /// Checks the invariants of a record that was written before.
    #[command(alias = "judge")]
    Check(scenario::CheckCommand),
    /// Measures what a gateway costs; one line of JSON for each part.
    Bench(benchmark::BenchmarkCommand),
    /// Runs one gateway on the users' platform, as `cloverstile node` does; used by the testbench itself.
    #[command(hide = true, alias = "node")]
    RespGateway(gateway::RespGatewayCommand),
    /// Runs one AS2 gateway; used by the testbench itself.
    #[command(hide = true, alias = "courier", name = "as2-gateway")]
    As2Gateway(gateway::As2GatewayCommand),
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Scenario(command) => command.run(),
        Command::Replay(command) => command.run(),
        Command::Simulate(command) => command.run(),
        Command::Experiment(command) => command.run(),
        Command::Fleet(command) => command.run(),
        Command::Soak(command) => command.play(Profile::Soak),
        Command::MachineFaults(command) => command.play(Profile::MachineFaults),
        Command::Report(command) => command.write(),
        Command::Scale(command) => command.measure(),
        Command::Check(command) => command.check(),
        Command::Bench(command) => command.measure(),
        Command::RespGateway(command) => command.run(),
        Command::As2Gateway(command) => command.run(),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_VIOLATION),
        Err(reason) => {
            eprintln!("cloverstile-testbench: {reason}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
