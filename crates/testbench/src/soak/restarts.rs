//! Restarts of a gateway: by signals, and by kills inside a system call or while the disk fails.

use super::faults::Restart;
use super::gateways::{lock, Gateway, POLL_INTERVAL, READY_TIMEOUT};
use cloverstile_fakes::platform::{read_line, PlatformEvent};
use cloverstile_fault_injection::{Call, Effect, Rule};
use rustix::process::Signal;
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Delay from the end of a process to the start of the next one.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// How long to wait for the kill inside a system call before SIGKILL is sent instead.
const KILL_TIMEOUT: Duration = Duration::from_millis(800);
/// Slot of the fault control for the rule that kills a process or tears its writes. Restarts use the slots from 13; faults
/// of system calls use the ones below.
const KILL_SLOT: usize = 15;
/// Slot for the rule that makes truncation fail.
const TRUNCATE_SLOT: usize = 14;
/// Slot for the rule that makes `accept` fail.
const ACCEPT_SLOT: usize = 13;
/// When `accept` begins to fail, after SIGTERM: shortly before the listener closes, which is 0.45 s after the signal.
const ACCEPT_FAILURE_DELAY: Duration = Duration::from_millis(410);
/// How long `accept` fails: until shortly after the listener closes.
const ACCEPT_FAILURE_TIME: Duration = Duration::from_millis(90);
/// Connections that the kernel completes while `accept` fails.
const CONNECTIONS_AT_SHUTDOWN: usize = 3;
/// How long writes are torn before the kill: long enough for one torn write and the replies to its clients.
const TORN_WRITE_TIME: Duration = Duration::from_millis(60);
/// Linux error number for an I/O error.
const EIO: i32 = 5;
/// Linux error number for a connection that was aborted before it was accepted.
const ECONNABORTED: i32 = 103;

impl Gateway<'_> {
    /// Ends the process in the given way and starts the next one. A process that has exited already counts as a crash.
    ///
    /// # Errors
    /// The next process can't be started.
    pub fn restart(&self, restart: Restart) -> io::Result<()> {
        let _lifecycle = lock(&self.lifecycle);
        if self.has_exited() {
            self.count_crash("exited unexpectedly");
        }
        self.platform.record(PlatformEvent::GatewayDown { gateway: self.number });
        match restart {
            Restart::Terminated => self.terminate(),
            Restart::TerminatedWhileAcceptsFail => {
                self.fail_accepts_at_shutdown()?;
                self.terminate();
            }
            Restart::Killed => self.kill(),
            Restart::KilledOnTornDisk(bytes) => self.kill_on_torn_disk(bytes)?,
            Restart::KilledInWrite(bytes) => self.kill_in_call(Call::FileWrite, bytes)?,
            Restart::KilledBehindSend => self.kill_in_call(Call::Send, u64::MAX)?,
        }
        std::thread::sleep(RESTART_DELAY);
        self.start()
    }

    /// Sends SIGTERM, and connects while `accept` fails around the time at which the listener closes. Connections that the
    /// kernel has completed have to be served all the same; one that is not is recorded as dropped.
    fn fail_accepts_at_shutdown(&self) -> io::Result<()> {
        self.signal(Signal::TERM);
        std::thread::sleep(ACCEPT_FAILURE_DELAY);
        let errors = Rule::always(Call::Accept, Effect::Error(ECONNABORTED));
        self.faults.set_rule(ACCEPT_SLOT, &errors)?;
        let connections: Vec<TcpStream> =
            (0..CONNECTIONS_AT_SHUTDOWN).filter_map(|_| TcpStream::connect(self.address).ok()).collect();
        std::thread::sleep(ACCEPT_FAILURE_TIME);
        self.faults.clear_rule(ACCEPT_SLOT)?;
        for (position, mut stream) in connections.into_iter().enumerate() {
            stream.set_read_timeout(Some(READY_TIMEOUT))?;
            let is_served = stream.write_all(&cloverstile_resp::encode_command(&[b"PING"])).is_ok()
                && read_line(&mut stream).is_ok();
            if !is_served {
                let id = format!("connection {position} to gateway {}", self.number);
                self.platform.record(PlatformEvent::ConnectionDropped { id });
            }
        }
        Ok(())
    }

    /// Tears writes to the log and makes truncation fail for a short time, then kills the process.
    fn kill_on_torn_disk(&self, bytes: u64) -> io::Result<()> {
        let torn = Effect::Torn { bytes, errno: EIO };
        self.faults.set_rule(TRUNCATE_SLOT, &Rule::always(Call::FileTruncate, Effect::Error(EIO)))?;
        self.faults.set_rule(KILL_SLOT, &Rule::always(Call::FileWrite, torn))?;
        std::thread::sleep(TORN_WRITE_TIME);
        self.kill();
        self.faults.clear_rule(KILL_SLOT)?;
        self.faults.clear_rule(TRUNCATE_SLOT)
    }

    /// Kills the process inside its next call of this kind, once that call has transferred at most this many bytes.
    fn kill_in_call(&self, call: Call, bytes: u64) -> io::Result<()> {
        self.faults.set_rule(KILL_SLOT, &Rule::once(call, Effect::Kill { bytes }))?;
        self.await_kill()
    }

    /// Starts a process that is killed inside the first write to its log, after this many bytes, which may be during its
    /// recovery; it is killed after a timeout if it writes nothing.
    ///
    /// # Errors
    /// The process can't be started at all, or the control file can't be written.
    pub fn start_and_kill_in_recovery(&self, bytes: u64) -> io::Result<()> {
        self.faults.set_rule(KILL_SLOT, &Rule::once(Call::FileWrite, Effect::Kill { bytes }))?;
        self.spawn()?;
        self.await_kill()
    }

    /// Waits for the kill inside a system call, and sends SIGKILL if it doesn't come in time.
    fn await_kill(&self) -> io::Result<()> {
        let end = Instant::now() + KILL_TIMEOUT;
        while !self.has_exited() && Instant::now() < end {
            std::thread::sleep(POLL_INTERVAL);
        }
        self.kill();
        self.faults.clear_rule(KILL_SLOT)
    }

    /// Shuts the process down; anything but a successful exit counts as a crash.
    fn terminate(&self) {
        if !self.shut_down() {
            self.count_crash("did not exit cleanly on SIGTERM");
        }
    }
}
