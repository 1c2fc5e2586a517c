//! How AS2 gateway processes are started.

use super::error::RunError;
use crate::process::GatewayProcess;
use cloverstile_as2_gateway::test_cluster::TestClusterError;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The command that starts a gateway.
#[derive(Clone, Debug)]
pub struct GatewayCommand {
    /// Program that takes `as2-gateway FILE` and prints where it listens.
    pub program: PathBuf,
    /// Filter of what the gateways log on standard error.
    pub log: String,
}

/// A gateway that listens.
pub(crate) struct StartedGateway {
    /// Its process.
    pub(crate) process: GatewayProcess,
    /// Where it listens.
    pub(crate) address: SocketAddr,
}

impl GatewayCommand {
    /// Starts a gateway on its settings file and waits until it listens.
    pub(crate) fn start(&self, file: &Path, number: usize) -> Result<StartedGateway, RunError> {
        let mut command = Command::new(&self.program);
        command
            .arg("as2-gateway")
            .arg(file)
            .args(["--log", &self.log])
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        let mut process = GatewayProcess::spawn(&mut command)?;
        let mut line = String::new();
        if let Some(stdout) = process.take_stdout() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let address = read_announcement(&line).ok_or(RunError::Cluster(TestClusterError::Start(number)))?;
        Ok(StartedGateway { process, address })
    }
}

/// The address in the line of JSON that a gateway prints once it listens.
fn read_announcement(line: &str) -> Option<SocketAddr> {
    let announcement: serde_json::Value = serde_json::from_str(line).ok()?;
    announcement.get("listening")?.as_str()?.parse().ok()
}
