//! Starts AS2 gateway processes.

use super::error::RunError;
use crate::process::GatewayProcess;
use cloverstile_as2_gateway::test_cluster::TestClusterError;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The command line that starts a gateway process.
#[derive(Clone, Debug)]
pub struct GatewayCommand {
    /// Program that accepts `as2-gateway FILE` and prints its listening address as a line of JSON.
    pub program: PathBuf,
    /// Log filter of the gateways, which log to standard error.
    pub log: String,
}

/// A gateway process that is ready for connections.
pub(crate) struct StartedGateway {
    /// The running process.
    pub(crate) process: GatewayProcess,
    /// The address on which the gateway listens.
    pub(crate) address: SocketAddr,
}

impl GatewayCommand {
    /// Starts gateway `number` with a settings file and waits until it prints its listening address.
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
        let address = parse_announcement(&line).ok_or(RunError::Cluster(TestClusterError::Start(number)))?;
        Ok(StartedGateway { process, address })
    }
}

/// Parses the address from the line of JSON that a gateway prints once it listens.
fn parse_announcement(line: &str) -> Option<SocketAddr> {
    let announcement: serde_json::Value = serde_json::from_str(line).ok()?;
    announcement.get("listening")?.as_str()?.parse().ok()
}
