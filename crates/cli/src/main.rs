//! The program `cloverstile`: runs gateways, checks settings, plans capacity, generates keys, sends messages and runs a
//! demo.
#![forbid(unsafe_code)]

mod check;
mod demo;
mod exit_status;
mod gateways;
mod keys;
mod plan;
mod send;

use clap::{Parser, Subcommand, ValueEnum};
use exit_status::ExitStatus;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;

/// Delivers messages to partners, each exactly once.
#[derive(Parser)]
#[command(
    name = "cloverstile",
    version,
    after_help = "Exit codes: 0 success, 1 failure, 2 invalid command line, 3 settings or keys can't be used,\n\
    4 stopped with messages unanswered, 5 capacity exceeded after a loss (plan); send: 10 refused (safe to retry),\n\
    11 failed (may have taken effect), 12 rejected, 13 no valid receipt."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// Format of the log.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    /// Log level (error, warn, info, debug), or a filter such as `cloverstile_as2_gateway=debug`.
    #[arg(long, global = true, default_value = "info")]
    log: String,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a gateway with AS2 clients until SIGTERM or SIGINT; SIGHUP reloads endpoints and rates.
    #[command(name = "as2-gateway", alias = "serve")]
    As2Gateway {
        /// Settings (HCL).
        file: PathBuf,
        /// Prints the address listened on as a line of JSON, for programs that start gateways.
        #[arg(long)]
        announce: bool,
    },
    /// Checks settings, keys and certificates; starts nothing.
    Check(check::Check),
    /// Computes whether the capacity suffices after the loss of a zone, and which spill shares would be best.
    Plan(plan::Plan),
    /// Makes a key and a certificate for an AS2 station.
    Keys(keys::Keys),
    /// Submits one message and prints the verified receipt.
    Send(Box<send::Send>),
    /// Runs a gateway with RESP2 clients, configured by `ROUTER_CONFIG` and `ROUTER_STATE`, until SIGTERM; SIGHUP reloads
    /// the configuration.
    #[command(name = "resp-gateway", alias = "node")]
    RespGateway,
    /// Runs gateways, fake partners and clients with fresh keys on loopback, with faults.
    Demo(demo::Demo),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Err(error) = init_logging(&arguments) {
        eprintln!("cloverstile: --log: {error}");
        return ExitStatus::Usage.into();
    }
    let status = match arguments.command {
        Command::As2Gateway { file, announce } => gateways::run_as2(&file, announce),
        Command::Check(check) => check.run(),
        Command::Plan(plan) => plan.run(),
        Command::Keys(keys) => keys.run(),
        Command::Send(send) => send.run(),
        Command::Demo(demo) => demo.run(),
        Command::RespGateway => gateways::run_resp(),
    };
    status.into()
}

/// Sends logs to standard error; fails if the filter of `--log` is invalid.
fn init_logging(arguments: &Arguments) -> Result<(), String> {
    let filter = tracing_subscriber::EnvFilter::try_new(&arguments.log).map_err(|error| error.to_string())?;
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match arguments.log_format {
        LogFormat::Text => subscriber.with_ansi(std::io::stderr().is_terminal()).init(),
        LogFormat::Json => subscriber.json().init(),
    }
    Ok(())
}
