//! The gateway processes of a fleet: configuration files, start, loss and end.

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

/// A gateway answers a PING within this time of its start, also when hundreds start at once on two cores.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// A gateway that is not ready is asked again after this time.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Told to end, all gateways exit within this time.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// Second byte of the first loopback address of a gateway.
const FIRST_SECOND_BYTE: u8 = 96;
/// Gateways for each value of the second byte.
const GATEWAYS_PER_BYTE: usize = 200;
/// Values of the second byte for each fleet.
const BYTES_PER_FLEET: u8 = 8;
/// Fleets of one testbench process after which addresses are used again.
const DISTINCT_FLEETS: u8 = 12;
/// Most gateways of a fleet.
const MAX_GATEWAYS: usize = GATEWAYS_PER_BYTE * BYTES_PER_FLEET as usize;
/// The port on which gateways listen.
const GATEWAY_PORT: u16 = 6379;

/// All gateway processes of a fleet; killed where it is dropped, and their folder removed.
pub(super) struct ProcessSupervisor {
    program: PathBuf,
    folder: PathBuf,
    processes: Vec<Option<GatewayProcess>>,
    addresses: Vec<SocketAddr>,
}

impl Drop for ProcessSupervisor {
    fn drop(&mut self) {
        // No process may write to the folder any more when it is removed.
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The address of a gateway. The whole of it is one gateway's, so that its port can't be another's when it starts
/// again, nor that of a fleet beside it.
fn gateway_address(fleet: u8, gateway: usize) -> SocketAddr {
    let last = 1 + (std::process::id() % 250) as u8;
    let second =
        FIRST_SECOND_BYTE + fleet % DISTINCT_FLEETS * BYTES_PER_FLEET + (gateway / GATEWAYS_PER_BYTE) as u8;
    let third = (gateway % GATEWAYS_PER_BYTE) as u8;
    SocketAddr::from((Ipv4Addr::new(127, second, third, last), GATEWAY_PORT))
}

impl ProcessSupervisor {
    /// Starts all gateways of a scenario and waits until each answers.
    pub fn start(program: &Path, config: &GatewayConfig) -> Result<ProcessSupervisor, FleetError> {
        static FLEETS: AtomicU8 = AtomicU8::new(0);
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let gateways = config.scenario.instances;
        if gateways > MAX_GATEWAYS {
            return Err(FleetError::TooMany { gateways, max: MAX_GATEWAYS });
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

    /// Where a gateway listens.
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

    /// Starts one gateway on its folder.
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

    /// Kills one gateway at once; its folder stays.
    pub fn kill(&mut self, gateway: usize) {
        self.processes[gateway] = None;
    }

    /// The first gateway that exited without having been told to.
    pub fn find_exited(&mut self) -> Option<usize> {
        let exited =
            |process: &mut Option<GatewayProcess>| process.as_mut().is_some_and(GatewayProcess::has_exited);
        self.processes.iter_mut().position(exited)
    }

    /// Tells all gateways to end and waits for them; true if each exited successfully and in time.
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
