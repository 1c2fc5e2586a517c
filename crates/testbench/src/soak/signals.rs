//! Rounds of signals: a gateway gets SIGTERM, further signals at any stage of its shutdown, SIGKILL as early as the platform
//! may send it, and is started again.

use super::client::Client;
use super::config::{DESTINATIONS, KEYED_CLASS};
use super::faults::{SignalRound, SignalStep};
use super::gateways::{lock, Gateway, SHUTDOWN_KILL_DELAY};
use cloverstile_fakes::platform::{PlatformEvent, PutCommand};
use rustix::process::Signal;
use std::io;
use std::time::{Duration, Instant};

/// Delay from the kill of a process to the start of the next one (protocol page).
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Number of connections in a burst.
const BURST_CONNECTIONS: usize = 16;
/// Time until the deadline of the messages of a burst, in milliseconds.
const BURST_TIME_LEFT_MS: u64 = 4000;

/// Runs rounds of signals on a gateway.
pub struct SignalSeries<'a> {
    /// The gateway that gets the signals.
    pub gateway: &'a Gateway<'a>,
}

impl SignalSeries<'_> {
    /// Runs the rounds one after another; no other restart of the gateway happens meanwhile.
    ///
    /// # Errors
    /// A process can't be started, or a file of the testbench can't be written.
    pub fn run(&self, rounds: &[SignalRound]) -> io::Result<()> {
        let _lifecycle = lock(&self.gateway.lifecycle);
        rounds.iter().enumerate().try_for_each(|(number, round)| self.run_round(number, round))
    }

    /// Runs one round; `number` is its position in the sequence.
    fn run_round(&self, number: usize, round: &SignalRound) -> io::Result<()> {
        std::thread::sleep(round.after_ready);
        if self.gateway.has_exited() {
            self.gateway.count_crash("exited unexpectedly");
        }
        self.gateway.platform.record(PlatformEvent::GatewayDown { gateway: self.gateway.number });
        if round.is_graceful {
            self.terminate(number, round)?;
        }
        self.kill();
        for bytes in &round.kills_in_recovery {
            self.gateway.start_and_kill_in_recovery(*bytes)?;
            std::thread::sleep(RESTART_DELAY);
        }
        if round.terminated_at_exec {
            self.gateway.start_and_terminate()?;
            std::thread::sleep(RESTART_DELAY);
        }
        self.gateway.start()
    }

    /// Sends SIGTERM and takes the steps that follow, until the platform's kill is due. A process that still runs then
    /// counts as a crash.
    fn terminate(&self, number: usize, round: &SignalRound) -> io::Result<()> {
        let signalled = Instant::now();
        self.gateway.signal(Signal::TERM);
        for (step_number, (at, step)) in round.steps.iter().enumerate() {
            std::thread::sleep(at.saturating_sub(signalled.elapsed()));
            self.take_step(*step, &format!("b{number}s{step_number}"))?;
        }
        std::thread::sleep(SHUTDOWN_KILL_DELAY.saturating_sub(signalled.elapsed()));
        if !self.gateway.has_exited() {
            self.gateway.count_crash("did not exit on SIGTERM");
        }
        Ok(())
    }

    fn take_step(&self, step: SignalStep, name: &str) -> io::Result<()> {
        match step {
            SignalStep::Terminate => self.gateway.signal(Signal::TERM),
            SignalStep::Interrupt => self.gateway.signal(Signal::INT),
            SignalStep::Reload => self.gateway.reload(false)?,
            SignalStep::ReloadElsewhere => self.gateway.reload(true)?,
            SignalStep::HoldUp(time) => self.gateway.pause(time),
            SignalStep::ConnectBurst => self.connect_burst(name),
        }
        Ok(())
    }

    /// Kills the process, and waits until the next one may start.
    fn kill(&self) {
        self.gateway.kill();
        std::thread::sleep(RESTART_DELAY);
    }

    /// Connects several clients at once, each of which submits a message; those that the gateway accepts must get replies.
    fn connect_burst(&self, name: &str) {
        let connect = |_| Client::connect(self.gateway.platform, self.gateway, self.gateway.number).ok();
        let clients: Vec<Client> = (0..BURST_CONNECTIONS).filter_map(connect).collect();
        let mut submitted = Vec::new();
        let starts = self.gateway.starts();
        for (position, mut client) in clients.into_iter().enumerate() {
            let put = burst_message(format!("g{}{name}p{starts}n{position}", self.gateway.number), position);
            let sent = Instant::now();
            client.record_submission(&put);
            if client.write(&put.encode()) {
                submitted.push((client, put, sent));
            }
        }
        for (mut client, put, sent) in submitted {
            client.read_reply(&put, sent);
        }
    }
}

fn burst_message(id: String, position: usize) -> PutCommand {
    PutCommand {
        key: 0,
        class: KEYED_CLASS.to_owned(),
        time_left_ms: BURST_TIME_LEFT_MS,
        destination: DESTINATIONS[position % DESTINATIONS.len()],
        idempotency: Some(format!("k-{id}")),
        body: b"burst".to_vec(),
        id,
    }
}
