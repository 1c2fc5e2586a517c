//! Commands that run a gateway. The testbench starts its own program with them, so that it needs no other program.

use clap::Args;
use cloverstile_resp_gateway::Environment;
use std::path::PathBuf;

/// Runs one gateway on the users' platform, configured by the environment.
#[derive(Args)]
pub struct RespGatewayCommand {
    /// Filter of the log.
    #[arg(long, default_value = "error")]
    log: String,
}

impl RespGatewayCommand {
    /// Runs until it is told to stop.
    pub fn run(&self) -> Result<bool, String> {
        start_log(&self.log);
        let environment = Environment::from_env().map_err(|error| error.to_string())?;
        cloverstile_resp_gateway::run(&environment).map_err(|error| error.to_string())?;
        Ok(true)
    }
}

fn start_log(filter: &str) {
    let filter = tracing_subscriber::EnvFilter::new(filter);
    let log = tracing_subscriber::fmt().with_env_filter(filter);
    log.with_writer(std::io::stderr).with_ansi(false).init();
}

/// Runs one AS2 gateway, as `cloverstile serve --announce` does.
#[derive(Args)]
pub struct As2GatewayCommand {
    /// Settings.
    file: PathBuf,
    /// Filter of the log.
    #[arg(long, default_value = "error")]
    log: String,
}

impl As2GatewayCommand {
    /// Runs until it is told to stop; true if it answered all that it held.
    pub fn run(&self) -> Result<bool, String> {
        start_log(&self.log);
        let ending = cloverstile_as2_gateway::serve(&self.file, true, rand::random())
            .map_err(|error| error.to_string())?;
        Ok(ending.unanswered == 0)
    }
}
