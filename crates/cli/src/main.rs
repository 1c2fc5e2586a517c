//! The command line of the courier. See `cloverstile --help`.
#![forbid(unsafe_code)]

mod demo;
mod keys;
mod plan;
mod send;

use clap::{Parser, Subcommand, ValueEnum};
use cloverstile_as2_gateway::{load, warnings, ServiceError};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing::error;

/// Exit codes, the same for all subcommands. The command line's own errors exit with 2.
pub mod exit {
    /// Done as asked.
    pub const OK: u8 = 0;
    /// It did not work; standard error says why.
    pub const FAILED: u8 = 1;
    /// Settings or keys can't be used.
    pub const SETTINGS: u8 = 3;
    /// `serve`: ended with messages unanswered.
    pub const UNANSWERED: u8 = 4;
    /// `plan`: a loss can't be carried.
    pub const NOT_CARRIED: u8 = 5;
    /// `send`: refused; handing it in again is safe.
    pub const REFUSED: u8 = 10;
    /// `send`: failed; it may have taken effect.
    pub const MAY_HAVE_RUN: u8 = 11;
    /// `send`: rejected for good; nothing was done.
    pub const REJECTED: u8 = 12;
    /// `send`: no answer that counts; nobody knows.
    pub const UNKNOWN: u8 = 13;
}

/// Delivers messages to partners, each once.
#[derive(Parser)]
#[command(
    name = "cloverstile",
    version,
    after_help = "Exit codes: 0 done, 1 did not work, 2 wrong command line, 3 settings or keys can't be used,\n\
    4 ended with messages unanswered, 5 a loss can't be carried (plan); send: 10 refused (safe to hand in again), 11 failed (may have taken\n\
    effect), 12 rejected, 13 no answer that counts."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// How logs are written.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    /// What is logged: error, warn, info, debug, or a filter such as cloverstile_as2_gateway=debug.
    #[arg(long, global = true, default_value = "info")]
    log: String,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a courier until SIGTERM or SIGINT; SIGHUP reads endpoints and rates again.
    Serve {
        /// Settings (HCL).
        file: PathBuf,
        /// Prints the address listened on as a line of JSON, for programs that start couriers.
        #[arg(long)]
        announce: bool,
    },
    /// Checks settings, keys and certificates; starts nothing.
    Check {
        /// Settings (HCL).
        file: PathBuf,
        /// For machines.
        #[arg(long)]
        json: bool,
    },
    /// Tells whether the loss of a zone can be carried, what binds, and which spill shares would carry most worth.
    Plan(plan::Plan),
    /// Makes a key and a certificate for a station.
    Keys(keys::Keys),
    /// Hands one message in and prints the verified receipt.
    Send(Box<send::Send>),
    /// Runs a courier on the users' platform, as ROUTER_CONFIG and ROUTER_STATE say, until SIGTERM; SIGHUP reads the
    /// configuration again.
    Node,
    /// Shows a payday on loopback: couriers, stand-in partners and clients with fresh keys.
    Demo(demo::Demo),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Err(error) = start_logs(&arguments) {
        eprintln!("cloverstile: --log: {error}");
        return ExitCode::from(2);
    }
    let code = match arguments.command {
        Command::Serve { file, announce } => serve(&file, announce),
        Command::Check { file, json } => check(&file, json),
        Command::Plan(plan) => plan.run(),
        Command::Keys(keys) => keys.run(),
        Command::Send(send) => send.run(),
        Command::Demo(demo) => demo.run(),
        Command::Node => node(),
    };
    ExitCode::from(code)
}

fn start_logs(arguments: &Arguments) -> Result<(), String> {
    let filter = tracing_subscriber::EnvFilter::try_new(&arguments.log).map_err(|error| error.to_string())?;
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match arguments.log_format {
        LogFormat::Text => logs.with_ansi(std::io::stderr().is_terminal()).init(),
        LogFormat::Json => logs.json().init(),
    }
    Ok(())
}

fn serve(file: &Path, announce: bool) -> u8 {
    match cloverstile_as2_gateway::serve(file, announce, rand::random()) {
        Ok(ending) if ending.unanswered == 0 => exit::OK,
        Ok(_) => exit::UNANSWERED,
        Err(ServiceError::Load(error)) => {
            eprintln!("{error}");
            exit::SETTINGS
        }
        Err(error) => {
            error!(%error, "the courier can't go on");
            exit::FAILED
        }
    }
}

fn node() -> u8 {
    match cloverstile_resp_gateway::Environment::from_env()
        .and_then(|variables| cloverstile_resp_gateway::run(&variables))
    {
        Ok(()) => exit::OK,
        Err(error @ cloverstile_resp_gateway::GatewayError::Io { .. }) => {
            error!(%error, "the courier can't go on");
            exit::FAILED
        }
        Err(error) => {
            eprintln!("cloverstile node: {error}");
            exit::SETTINGS
        }
    }
}

fn check(file: &Path, json: bool) -> u8 {
    match load(file) {
        Ok((config, _)) => {
            let warnings = warnings(&config).unwrap_or_else(|error| vec![error.to_string()]);
            let endpoints: usize = config.partners.iter().map(|partner| partner.endpoints.len()).sum();
            if json {
                let told = serde_json::json!({
                    "ok": true, "classes": config.classes, "clients": config.clients.len(),
                    "partners": config.partners.len(), "endpoints": endpoints, "warnings": warnings,
                });
                println!("{told}");
            } else {
                for warning in &warnings {
                    eprintln!("{}: warning: {warning}", file.display());
                }
                println!(
                    "{}: good: {} classes, {} clients, {} partners with {endpoints} endpoints",
                    file.display(),
                    config.classes.len(),
                    config.clients.len(),
                    config.partners.len(),
                );
            }
            exit::OK
        }
        Err(error) => {
            if json {
                let problems: Vec<String> = error.to_string().lines().map(str::to_owned).collect();
                println!("{}", serde_json::json!({ "ok": false, "problems": problems }));
            } else {
                eprintln!("{error}");
            }
            exit::SETTINGS
        }
    }
}
