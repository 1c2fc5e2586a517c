//! Process management for the gateways of a fleet: configuration files, start, kill and shutdown.

use super::error::FleetError;
use super::gateway_config::GatewayConfig;
use crate::process::GatewayProcess;
use rustix::process::Signal;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// Time within which all gateways must answer a PING; enough for hundreds that start at once on two cores.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between PINGs to a gateway that is not ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which all gateways must exit after SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// Lowest value of the second byte of the gateways' loopback addresses.
const MIN_SECOND_BYTE: u8 = 96;
/// Number of gateways per value of the second address byte.
const GATEWAYS_PER_BYTE: usize = 200;
/// Number of values of the second address byte per fleet.
const BYTES_PER_FLEET: u8 = 8;
/// Number of fleets in one testbench process that get distinct addresses; a later fleet reuses those of an earlier one.
const DISTINCT_FLEETS: u8 = 12;
/// Maximum number of gateways in a fleet, as the address scheme allows.
const MAX_GATEWAYS: usize = GATEWAYS_PER_BYTE * BYTES_PER_FLEET as usize;
/// Port on which every gateway listens, each on its own address.
const GATEWAY_PORT: u16 = 6379;

/// Owns the gateway processes of a fleet and their folder. Dropping it kills the processes and removes the folder.
pub(super) struct ProcessSupervisor {
    program: PathBuf,
    folder: PathBuf,
    processes: Vec<Option<GatewayProcess>>,
    addresses: Vec<SocketAddr>,
}

impl Drop for ProcessSupervisor {
    fn drop(&mut self) {
        // Kill the processes first, so that none writes to the folder while it is being removed.
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The address of a gateway. No other gateway of this fleet, or of one that runs at the same time, uses the same IP
/// address, so its port is still free when it restarts.
fn gateway_address(fleet: u8, gateway: usize) -> SocketAddr {
    let last = 1 + (std::process::id() % 250) as u8;
    let second =
        MIN_SECOND_BYTE + fleet % DISTINCT_FLEETS * BYTES_PER_FLEET + (gateway / GATEWAYS_PER_BYTE) as u8;
    let third = (gateway % GATEWAYS_PER_BYTE) as u8;
    SocketAddr::from((Ipv4Addr::new(127, second, third, last), GATEWAY_PORT))
}

impl ProcessSupervisor {
    /// Starts all gateways of a scenario and waits until each answers a PING.
    pub fn start(program: &Path, config: &GatewayConfig) -> Result<ProcessSupervisor, FleetError> {
        static FLEETS: AtomicU8 = AtomicU8::new(0);
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let gateways = config.scenario.instances;
        if gateways > MAX_GATEWAYS {
            return Err(FleetError::TooManyGateways { gateways, max: MAX_GATEWAYS });
        }
        let folder = std::env::temp_dir().join(format!("cloverstile-fleet-{}-{fleet}", std::process::id()));
        let mut supervisor = ProcessSupervisor {
            program: program.to_owned(),
            folder,
            processes: (0..gateways).map(|_| None).collect(),
            addresses: (0..gateways).map(|gateway| gateway_address(fleet, gateway)).collect(),
        };
        for gateway in 0..gateways {
            supervisor.write_config(gateway, config)?;
            supervisor.start_gateway(gateway)?;
        }
        supervisor.wait_until_ready()?;
        Ok(supervisor)
    }

    /// The address on which a gateway listens.
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.addresses[gateway]
    }

    fn write_config(&self, gateway: usize, config: &GatewayConfig) -> Result<(), FleetError> {
        let state = self.state_folder(gateway);
        std::fs::create_dir_all(&state).map_err(FleetError::io(state.display().to_string()))?;
        let text = config.to_json(gateway, self.addresses[gateway]).to_string();
        let file = self.config_file(gateway);
        std::fs::write(&file, text).map_err(FleetError::io(file.display().to_string()))
    }

    fn wait_until_ready(&self) -> Result<(), FleetError> {
        let end = Instant::now() + READY_TIMEOUT;
        for (gateway, address) in self.addresses.iter().copied().enumerate() {
            while !answers_ping(address) {
                if Instant::now() > end {
                    return Err(FleetError::NotReady { gateway, address, timeout: READY_TIMEOUT });
                }
                std::thread::sleep(READY_POLL_INTERVAL);
            }
        }
        Ok(())
    }

    fn state_folder(&self, gateway: usize) -> PathBuf {
        self.folder.join(format!("n{gateway}/state"))
    }

    fn config_file(&self, gateway: usize) -> PathBuf {
        self.folder.join(format!("n{gateway}/config.json"))
    }

    /// Starts one gateway with its existing configuration and state.
    pub fn start_gateway(&mut self, gateway: usize) -> Result<(), FleetError> {
        let mut command = Command::new(&self.program);
        command
            .arg("node")
            .env("ROUTER_CONFIG", self.config_file(gateway))
            .env("ROUTER_STATE", self.state_folder(gateway))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        let process = GatewayProcess::spawn(&mut command)
            .map_err(FleetError::io(format!("{} node", self.program.display())))?;
        self.processes[gateway] = Some(process);
        Ok(())
    }

    /// Kills one gateway without a graceful shutdown. Its state stays on disk for a restart.
    pub fn kill(&mut self, gateway: usize) {
        self.processes[gateway] = None;
    }

    /// Index of the first gateway that exited unexpectedly, if any.
    pub fn find_exited(&mut self) -> Option<usize> {
        let exited =
            |process: &mut Option<GatewayProcess>| process.as_mut().is_some_and(GatewayProcess::has_exited);
        self.processes.iter_mut().position(exited)
    }

    /// Sends SIGTERM to all gateways and waits for them. Returns true if each exited successfully and in time.
    pub fn shut_down(&mut self) -> bool {
        for process in self.processes.iter().flatten() {
            process.signal(Signal::TERM);
        }
        let end = Instant::now() + SHUTDOWN_TIMEOUT;
        let mut clean = true;
        for mut process in self.processes.iter_mut().filter_map(Option::take) {
            clean &= process.wait_until(end).is_some_and(|status| status.success());
        }
        clean
    }
}

fn answers_ping(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let mut reply = [0; 7];
    stream.set_read_timeout(Some(Duration::from_secs(1))).is_ok()
        && stream.write_all(&cloverstile_resp::encode_command(&[b"PING"])).is_ok()
        && stream.read_exact(&mut reply).is_ok()
        && reply == *b"+PONG\r\n"
}
