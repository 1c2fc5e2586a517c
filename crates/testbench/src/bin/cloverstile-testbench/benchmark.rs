//! The subcommand `bench`: CPU, throughput and memory of one gateway.

use clap::Args;
use cloverstile_testbench::benchmark::{measure_crypto_path, measure_memory, measure_sockets};
use cloverstile_testbench::scenario_run::GatewayCommand;
use serde::Serialize;
use std::path::PathBuf;

/// Content sizes for the measurement of the cryptographic path, in bytes.
const CONTENT_SIZES: [usize; 2] = [400, 20_000];
/// Numbers of cryptography threads for the measurement of throughput.
const WORKERS: [usize; 2] = [0, 2];
/// Number of idle connections for the measurement of memory per connection.
const IDLE_CONNECTIONS: usize = 4000;

/// What is measured.
#[derive(Args)]
pub struct BenchmarkCommand {
    /// Messages of the path without sockets.
    #[arg(long, default_value_t = 1000)]
    messages: u32,
    /// Messages over sockets.
    #[arg(long, default_value_t = 3000)]
    socket_messages: u32,
    /// Messages held for the measurement of memory.
    #[arg(long, default_value_t = 10_000)]
    held: u32,
}

fn print_json(name: &str, cost: &impl Serialize) -> Result<(), String> {
    let cost = serde_json::to_value(cost).map_err(|error| error.to_string())?;
    println!("{}", serde_json::json!({ name: cost }));
    Ok(())
}

fn temporary_folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("cloverstile-bench-{}-{name}", std::process::id()))
}

impl BenchmarkCommand {
    /// Runs all measurements and prints one line of JSON for each. Always returns true, since no invariant is checked.
    pub fn measure(&self) -> Result<bool, String> {
        for size in CONTENT_SIZES {
            let cost = measure_crypto_path(self.messages, size).map_err(|error| error.to_string())?;
            print_json("path", &cost)?;
        }
        for workers in WORKERS {
            let cost = measure_sockets(self.socket_messages, workers, &temporary_folder("sockets"))
                .map_err(|error| error.to_string())?;
            print_json("sockets", &cost)?;
        }
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let command = GatewayCommand { program, log: "error".into() };
        let cost = measure_memory(self.held, IDLE_CONNECTIONS, &temporary_folder("memory"), &command)
            .map_err(|error| error.to_string())?;
        print_json("memory", &cost)?;
        Ok(true)
    }
}
