//! The gateway processes of a run, each with its own fault control.

use super::config::{gateway_config, DESTINATIONS, MEMORY_LIMIT_MB};
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
/// Runs in parallel use distinct loopback addresses. The second octet and the upper half of the third come from the seed, the
/// lower half of the third is the gateway's number, and the last octet comes from the testbench's process id.
const FIRST_SECOND_OCTET: u8 = 200;
const SECOND_OCTETS: u64 = 50;
const THIRD_OCTET_SEEDS: u64 = 16;
const GATEWAYS_PER_SEED: u8 = 16;
const LAST_OCTETS: u32 = 250;
/// The platform sends SIGKILL this long after SIGTERM.
pub(super) const SHUTDOWN_KILL_DELAY: Duration = Duration::from_millis(3700);
/// How long a process may take to become ready, even while faults are active.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a process is polled for readiness or exit.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// Bytes in a megabyte of the memory limit.
const BYTES_PER_MB: u64 = 1_000_000;
/// Bytes in a unit of memory in `/proc` on Linux.
const BYTES_PER_KIB: u64 = 1024;
/// Unit of CPU time in `/proc` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// A gateway: its configuration, its faults, and its processes, one after another.
pub struct Gateway<'a> {
    pub(super) number: usize,
    pub(super) platform: &'a Platform,
    options: &'a RunOptions,
    folder: PathBuf,
    /// Address on which it listens for clients.
    pub address: SocketAddr,
    /// Control of the faults injected into its processes.
    pub faults: FaultControl,
    /// The order keys that its clients share.
    pub keys: SharedKeys,
    process: Mutex<Option<GatewayProcess>>,
    /// Held during a restart, so that restarts don't overlap.
    pub(super) lifecycle: Mutex<()>,
    /// Which of the gateway's discovery addresses the configuration names.
    discovery: Mutex<usize>,
    gateways: usize,
    /// Times just before and just after each kill.
    kills: Mutex<Vec<Instant>>,
    starts: Mutex<usize>,
    crashes: Mutex<u64>,
    /// Most memory that a process was seen to have held, its files included, in bytes.
    peak_memory: Mutex<u64>,
}

/// Locks a mutex, ignoring poisoning.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<'a> Gateway<'a> {
    /// Creates a gateway's folder and configuration; no process is started.
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
            peak_memory: Mutex::new(0),
        };
        gateway.write_config()?;
        Ok(gateway)
    }

    /// Writes the configuration and replaces the old file atomically.
    fn write_config(&self) -> io::Result<()> {
        let agent = self.number * AGENTS_PER_GATEWAY + *lock(&self.discovery);
        let discovery = self.platform.discovery[agent];
        let list = self.platform.endpoint_list();
        let config = gateway_config(self.number, self.gateways, self.address, discovery, &list);
        let new = self.folder.join("config.new");
        fs::write(&new, config.to_string())?;
        fs::rename(new, self.folder.join("config.json"))
    }

    /// Makes the process reload its configuration, with its other discovery address if `switch_discovery` is set.
    ///
    /// # Errors
    /// The configuration can't be written.
    pub fn reload(&self, switch_discovery: bool) -> io::Result<()> {
        if switch_discovery {
            let mut discovery = lock(&self.discovery);
            *discovery = (*discovery + 1) % AGENTS_PER_GATEWAY;
            drop(discovery);
            self.write_config()?;
        }
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Sends a signal to the current process, if there is one.
    pub fn signal(&self, signal: Signal) {
        if let Some(process) = lock(&self.process).as_ref() {
            process.signal(signal);
        }
    }

    /// Indices of this gateway's discovery agents among those of the platform.
    pub fn agents(&self) -> std::ops::Range<usize> {
        self.number * AGENTS_PER_GATEWAY..(self.number + 1) * AGENTS_PER_GATEWAY
    }

    /// Number of processes started so far.
    pub fn starts(&self) -> usize {
        *lock(&self.starts)
    }

    /// Starts a process and waits until it answers a `PING`. One that is not ready in time counts as a crash.
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

    /// Starts a process and sends SIGTERM at once, and SIGKILL when the platform would.
    ///
    /// # Errors
    /// The process can't be started at all.
    pub fn start_and_terminate(&self) -> io::Result<()> {
        self.spawn()?;
        self.shut_down();
        Ok(())
    }

    /// Starts a process without waiting for it, with a log file of its own.
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

    /// Whether no process runs: the last one has exited, was killed, or none was started.
    pub(super) fn has_exited(&self) -> bool {
        lock(&self.process).as_mut().is_none_or(GatewayProcess::has_exited)
    }

    /// Counts a crash, and records it with its reason.
    pub(super) fn count_crash(&self, reason: &str) {
        *lock(&self.crashes) += 1;
        self.record_event(format!("crash: {reason}"));
    }

    fn record_event(&self, description: String) {
        self.platform.record(PlatformEvent::Fault { gateway: Some(self.number), description });
    }

    /// Number of processes that exited unexpectedly, were not ready in time, or did not shut down properly.
    pub fn crashes(&self) -> u64 {
        *lock(&self.crashes)
    }

    /// CPU time of the current process so far, in seconds; zero if there is none.
    pub fn cpu_seconds(&self) -> f64 {
        lock(&self.process).as_ref().and_then(|process| cpu_seconds(process.id())).unwrap_or_default()
    }

    /// Whether a process of this gateway was killed at or after `time`.
    pub fn was_killed_since(&self, time: Instant) -> bool {
        lock(&self.kills).iter().any(|at| *at >= time)
    }

    /// Pauses the process with SIGSTOP and SIGCONT.
    pub fn pause(&self, time: Duration) {
        self.signal(Signal::STOP);
        std::thread::sleep(time);
        self.signal(Signal::CONT);
    }

    /// Looks at how much memory the current process has held at most, and counts a crash if the platform would have killed it.
    pub fn check_memory(&self) {
        let process = lock(&self.process).as_ref().map(GatewayProcess::id);
        let Some(resident) = process.and_then(peak_resident_bytes) else { return };
        let held = resident + self.state_bytes();
        let mut peak = lock(&self.peak_memory);
        *peak = held.max(*peak);
        drop(peak);
        if held > MEMORY_LIMIT_MB * BYTES_PER_MB {
            self.count_crash(&format!("passed its memory limit: {held} bytes"));
        }
    }

    /// Size of the files in the state directory. A file that is being replaced is not counted.
    fn state_bytes(&self) -> u64 {
        let Ok(files) = fs::read_dir(self.folder.join("state")) else { return 0 };
        files.filter_map(|entry| entry.ok()?.metadata().ok()).map(|file| file.len()).sum()
    }

    /// Most memory that a process was seen to have held, its files included, in bytes.
    pub fn peak_memory(&self) -> u64 {
        *lock(&self.peak_memory)
    }

    /// Kills and reaps the process. The time is recorded before and after, so that clients see the kill either way.
    pub(super) fn kill(&self) {
        self.check_memory();
        lock(&self.kills).push(Instant::now());
        *lock(&self.process) = None;
        lock(&self.kills).push(Instant::now());
    }

    /// Sends SIGTERM, and SIGKILL when the platform would; true if the process exited with success after SIGTERM.
    pub fn shut_down(&self) -> bool {
        self.check_memory();
        self.signal(Signal::TERM);
        let end = Instant::now() + SHUTDOWN_KILL_DELAY;
        let status = lock(&self.process).as_mut().and_then(|process| process.wait_until(end));
        if status.is_none() {
            self.kill();
        }
        status.is_some_and(|status| status.success())
    }

    /// Clears all rules for system calls; a step of the wall clock stays.
    ///
    /// # Errors
    /// The control file can't be written.
    pub fn clear_faults(&self) -> io::Result<()> {
        (0..cloverstile_fault_injection::MAX_RULES).try_for_each(|slot| self.faults.clear_rule(slot))
    }

    /// Counts a crash if the process has exited, and starts another one, so that pending messages get their final outcomes.
    ///
    /// # Errors
    /// The next process can't be started.
    pub fn restart_if_exited(&self) -> io::Result<()> {
        if !self.has_exited() {
            return Ok(());
        }
        self.count_crash("exited unexpectedly");
        self.platform.record(PlatformEvent::GatewayDown { gateway: self.number });
        self.start()
    }
}

/// The loopback address of a gateway, distinct from those of runs in parallel.
fn gateway_address(seed: u64, number: usize) -> Ipv4Addr {
    let second = FIRST_SECOND_OCTET + (seed % SECOND_OCTETS) as u8;
    let third = (seed / SECOND_OCTETS % THIRD_OCTET_SEEDS) as u8 * GATEWAYS_PER_SEED + number as u8;
    let last = 1 + (std::process::id() % LAST_OCTETS) as u8;
    Ipv4Addr::new(127, second, third, last)
}

/// Largest resident memory of a process so far, from `/proc`.
fn peak_resident_bytes(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: u64 = peak.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}

/// CPU time of a process, in user and system mode, from `/proc` (fields 14 and 15 of `stat`, in ticks).
fn cpu_seconds(process: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Destination of each of the platform's endpoints, by index of the endpoint.
pub fn destinations() -> &'static [u16] {
    &DESTINATIONS
}
