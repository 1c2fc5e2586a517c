//! Restarts of a gateway: by signals, and by kills inside a call or on a disk that fails.

use super::faults::Restart;
use super::gateways::{lock, Gateway, POLL_INTERVAL, READY_TIMEOUT};
use cloverstile_fakes::platform::{read_line, PlatformEvent};
use cloverstile_fault_injection::{Call, Effect, Rule};
use rustix::process::Signal;
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A process is started again this long after the one before has ended.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// How long a kill inside a call is waited for before the process is killed from outside.
const KILLED_IN_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Places of the rules for restarts in the control; faults of calls take the others.
const KILL_PLACE: usize = 15;
const TRUNCATE_PLACE: usize = 14;
const ACCEPT_PLACE: usize = 13;
/// Accepts fail from shortly before the listener closes, 0.45 s behind the signal, until shortly behind it.
const BEFORE_LISTENER_CLOSES: Duration = Duration::from_millis(410);
const FAILING_ACCEPTS: Duration = Duration::from_millis(90);
/// Connections that the system takes meanwhile.
const CONNECTIONS_TAKEN: usize = 3;
/// How long the disk is torn ahead of a kill: one write is, and its clients have their replies.
const TORN_DISK_TIME: Duration = Duration::from_millis(60);
/// Linux's error number of a disk that fails.
const EIO: i32 = 5;
/// Linux's error number of a connection that was lost before it was accepted.
const ECONNABORTED: i32 = 103;

impl Gateway<'_> {
    /// Ends the process and starts the next one.
    ///
    /// # Errors
    /// The next process can't be started.
    pub fn restart(&self, restart: Restart) -> io::Result<()> {
        let _lifecycle = lock(&self.lifecycle);
        if self.has_exited() {
            self.count_crash("ended by itself");
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

    /// Signals the shutdown, and connects while accepts fail about the time at which the listener closes: connections that
    /// the system took have to be served all the same.
    fn fail_accepts_at_shutdown(&self) -> io::Result<()> {
        self.signal(Signal::TERM);
        std::thread::sleep(BEFORE_LISTENER_CLOSES);
        let errors = Rule::always(Call::Accept, Effect::Error(ECONNABORTED));
        self.faults.set_rule(ACCEPT_PLACE, &errors)?;
        let taken: Vec<TcpStream> =
            (0..CONNECTIONS_TAKEN).filter_map(|_| TcpStream::connect(self.address).ok()).collect();
        std::thread::sleep(FAILING_ACCEPTS);
        self.faults.clear_rule(ACCEPT_PLACE)?;
        for (position, mut stream) in taken.into_iter().enumerate() {
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

    fn kill_on_torn_disk(&self, bytes: u64) -> io::Result<()> {
        let torn = Effect::Torn { bytes, errno: EIO };
        self.faults.set_rule(TRUNCATE_PLACE, &Rule::always(Call::FileTruncate, Effect::Error(EIO)))?;
        self.faults.set_rule(KILL_PLACE, &Rule::always(Call::FileWrite, torn))?;
        std::thread::sleep(TORN_DISK_TIME);
        self.kill();
        self.faults.clear_rule(KILL_PLACE)?;
        self.faults.clear_rule(TRUNCATE_PLACE)
    }

    fn kill_in_call(&self, call: Call, bytes: u64) -> io::Result<()> {
        self.faults.set_rule(KILL_PLACE, &Rule::once(call, Effect::Kill { bytes }))?;
        self.await_kill()
    }

    /// Starts a process that is killed as it recovers, in a write to its log after so many bytes, or once it has replied.
    ///
    /// # Errors
    /// The process can't be started at all, or the control file can't be written.
    pub fn start_and_kill_in_recovery(&self, bytes: u64) -> io::Result<()> {
        self.faults.set_rule(KILL_PLACE, &Rule::once(Call::FileWrite, Effect::Kill { bytes }))?;
        self.spawn()?;
        self.await_kill()
    }

    /// Waits for the kill inside a call, and kills the process from outside if none comes.
    fn await_kill(&self) -> io::Result<()> {
        let end = Instant::now() + KILLED_IN_CALL_TIMEOUT;
        while !self.has_exited() && Instant::now() < end {
            std::thread::sleep(POLL_INTERVAL);
        }
        self.kill();
        self.faults.clear_rule(KILL_PLACE)
    }

    fn terminate(&self) {
        if !self.shut_down() {
            self.count_crash("did not end in order when told to");
        }
    }
}
