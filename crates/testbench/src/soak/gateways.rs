//! The gateway processes of a run, each under the control of its faults.

use super::config::{gateway_config, DESTINATIONS};
use super::keys::SharedKeys;
use super::options::RunOptions;
use crate::process::GatewayProcess;
use cloverstile_fakes::platform::{read_line, Platform, PlatformEvent, AGENTS_PER_GATEWAY};
use cloverstile_fault_injection::FaultControl;
use rustix::process::Signal;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The port on which gateways listen.
const GATEWAY_PORT: u16 = 6379;
/// Addresses of the gateways of all runs beside each other: the second byte and the upper half of the third are the seed's,
/// the lower half of the third is the gateway's number, the last byte is the testbench's.
const FIRST_SECOND_BYTE: u8 = 200;
const SECOND_BYTES: u64 = 50;
const SEED_HALVES: u64 = 16;
const GATEWAYS_OF_A_SEED: u8 = 16;
const LAST_BYTES: u32 = 250;
/// The platform kills a process this long after its shutdown signal.
pub(super) const KILL_AFTER: Duration = Duration::from_millis(3700);
/// How long a process may take to be ready, also while faults last.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(10);
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// Linux's ticks of processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// One gateway: its processes, one after another.
pub struct Gateway<'a> {
    pub(super) number: usize,
    pub(super) platform: &'a Platform,
    options: &'a RunOptions,
    folder: PathBuf,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its faults.
    pub faults: FaultControl,
    /// The order keys that its clients share.
    pub keys: SharedKeys,
    process: Mutex<Option<GatewayProcess>>,
    /// Held while the process is ended and started: one restart follows another.
    pub(super) lifecycle: Mutex<()>,
    /// Which of its discovery addresses the configuration names.
    discovery: Mutex<usize>,
    gateways: usize,
    /// When processes were killed.
    kills: Mutex<Vec<Instant>>,
    starts: Mutex<usize>,
    crashes: Mutex<u64>,
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<'a> Gateway<'a> {
    /// Prepares a gateway's folder and configuration; nothing runs yet.
    ///
    /// # Errors
    /// The folder can't be written.
    pub fn new(
        number: usize,
        gateways: usize,
        seed: u64,
        platform: &'a Platform,
        options: &'a RunOptions,
    ) -> io::Result<Gateway<'a>> {
        let folder = options.folder(seed).join(format!("n{number}"));
        fs::create_dir_all(folder.join("state"))?;
        let address = SocketAddr::from((gateway_address(seed, number), GATEWAY_PORT));
        let faults = FaultControl::create(&folder.join("faults"))?;
        let gateway = Gateway {
            number,
            platform,
            options,
            folder,
            address,
            faults,
            keys: SharedKeys::new(number),
            process: Mutex::new(None),
            lifecycle: Mutex::new(()),
            discovery: Mutex::new(0),
            gateways,
            kills: Mutex::new(Vec::new()),
            starts: Mutex::new(0),
            crashes: Mutex::new(0),
        };
        gateway.write_config()?;
        Ok(gateway)
    }

    /// Writes the configuration, and replaces the old one by it.
    fn write_config(&self) -> io::Result<()> {
        let agent = self.number * AGENTS_PER_GATEWAY + *lock(&self.discovery);
        let discovery = self.platform.discovery[agent];
        let list = self.platform.endpoint_list();
        let config = gateway_config(self.number, self.gateways, self.address, discovery, &list);
        let new = self.folder.join("config.new");
        fs::write(&new, config.to_string())?;
        fs::rename(new, self.folder.join("config.json"))
    }

    /// Tells the process to read its configuration again, with discovery at the other address where `elsewhere`.
    ///
    /// # Errors
    /// The configuration can't be written.
    pub fn reload(&self, elsewhere: bool) -> io::Result<()> {
        if elsewhere {
            let mut discovery = lock(&self.discovery);
            *discovery = (*discovery + 1) % AGENTS_PER_GATEWAY;
            drop(discovery);
            self.write_config()?;
        }
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Sends a signal to the process, if one runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(process) = lock(&self.process).as_ref() {
            process.signal(signal);
        }
    }

    /// Discovery addresses of this gateway, by their index.
    pub fn agents(&self) -> std::ops::Range<usize> {
        self.number * AGENTS_PER_GATEWAY..(self.number + 1) * AGENTS_PER_GATEWAY
    }

    /// Number of processes started.
    pub fn starts(&self) -> usize {
        *lock(&self.starts)
    }

    /// Starts a process and waits until it replies. One that is not ready in time counts as a crash.
    ///
    /// # Errors
    /// The process can't be started at all.
    pub fn start(&self) -> io::Result<()> {
        self.spawn()?;
        let end = Instant::now() + READY_TIMEOUT;
        while !self.answers_ping() {
            if Instant::now() > end || self.has_exited() {
                self.count_crash("not ready in time");
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.platform.record(PlatformEvent::GatewayReady { gateway: self.number });
        Ok(())
    }

    /// Starts a process and tells it to end at once; it is killed once the platform would.
    ///
    /// # Errors
    /// The process can't be started at all.
    pub fn start_and_terminate(&self) -> io::Result<()> {
        self.spawn()?;
        self.shut_down();
        Ok(())
    }

    /// Starts a process.
    pub(super) fn spawn(&self) -> io::Result<()> {
        let attempt = {
            let mut starts = lock(&self.starts);
            *starts += 1;
            *starts
        };
        let log = File::create(self.folder.join(format!("process-{attempt}.log")))?;
        let mut command = Command::new(&self.options.program);
        command
            .args(["node", "--log", &self.options.log])
            .env("ROUTER_CONFIG", self.folder.join("config.json"))
            .env("ROUTER_STATE", self.folder.join("state"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log));
        self.faults.attach(&mut command)?;
        self.platform.record(PlatformEvent::GatewayStarted { gateway: self.number });
        *lock(&self.process) = Some(GatewayProcess::spawn(&mut command)?);
        Ok(())
    }

    fn answers_ping(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        stream.set_read_timeout(Some(Duration::from_millis(500))).is_ok()
            && stream.write_all(&cloverstile_resp::encode_command(&[b"PING"])).is_ok()
            && read_line(&mut stream).is_ok_and(|line| line == "+PONG")
    }

    pub(super) fn has_exited(&self) -> bool {
        lock(&self.process).as_mut().is_none_or(GatewayProcess::has_exited)
    }

    pub(super) fn count_crash(&self, reason: &str) {
        *lock(&self.crashes) += 1;
        self.describe(format!("crash: {reason}"));
    }

    fn describe(&self, description: String) {
        self.platform.record(PlatformEvent::Fault { gateway: Some(self.number), description });
    }

    /// Number of processes that ended by themselves, did not get ready, or did not end when told to.
    pub fn crashes(&self) -> u64 {
        *lock(&self.crashes)
    }

    /// Processor time of the process so far, in seconds; zero where none runs.
    pub fn cpu_seconds(&self) -> f64 {
        lock(&self.process).as_ref().and_then(|process| cpu_seconds(process.id())).unwrap_or_default()
    }

    /// Whether a process of this gateway was killed at or after a moment.
    pub fn was_killed_since(&self, moment: Instant) -> bool {
        lock(&self.kills).iter().any(|at| *at >= moment)
    }

    /// Stops the process for a time.
    pub fn hold_up(&self, time: Duration) {
        self.signal(Signal::STOP);
        std::thread::sleep(time);
        self.signal(Signal::CONT);
    }

    pub(super) fn kill(&self) {
        lock(&self.kills).push(Instant::now());
        *lock(&self.process) = None;
        lock(&self.kills).push(Instant::now());
    }

    /// Tells the process to end, and kills it once the platform would; true if it ended by itself, in order.
    pub fn shut_down(&self) -> bool {
        self.signal(Signal::TERM);
        let end = Instant::now() + KILL_AFTER;
        let status = lock(&self.process).as_mut().and_then(|process| process.wait_until(end));
        if status.is_none() {
            self.kill();
        }
        status.is_some_and(|status| status.success())
    }

    /// Ends all faults.
    ///
    /// # Errors
    /// The control file can't be written.
    pub fn clear_faults(&self) -> io::Result<()> {
        (0..cloverstile_fault_injection::MAX_RULES).try_for_each(|place| self.faults.clear_rule(place))
    }

    /// Counts a process that has ended by itself, and starts another one, so that what it held gets its end.
    ///
    /// # Errors
    /// The next process can't be started.
    pub fn revive(&self) -> io::Result<()> {
        if !self.has_exited() {
            return Ok(());
        }
        self.count_crash("ended by itself");
        self.platform.record(PlatformEvent::GatewayDown { gateway: self.number });
        self.start()
    }
}

/// The loopback address of a gateway.
fn gateway_address(seed: u64, number: usize) -> Ipv4Addr {
    let second = FIRST_SECOND_BYTE + (seed % SECOND_BYTES) as u8;
    let third = (seed / SECOND_BYTES % SEED_HALVES) as u8 * GATEWAYS_OF_A_SEED + number as u8;
    let last = 1 + (std::process::id() % LAST_BYTES) as u8;
    Ipv4Addr::new(127, second, third, last)
}

/// Processor time of a process, in user and system mode, from `/proc` (fields 14 and 15 of `stat`, in ticks).
fn cpu_seconds(process: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let (_, behind_name) = stat.rsplit_once(')')?;
    let mut fields = behind_name.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Destinations of the platform's endpoints.
pub fn destinations() -> &'static [u16] {
    &DESTINATIONS
}
