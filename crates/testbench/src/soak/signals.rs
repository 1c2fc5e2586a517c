//! Rounds of signals: a gateway is told to end, signalled further at any stage, killed at the platform's earliest moment, and
//! started again.

use super::client::Client;
use super::config::{DESTINATIONS, KEYED_CLASS};
use super::faults::{SignalRound, SignalStep};
use super::gateways::{lock, Gateway, KILL_AFTER};
use cloverstile_fakes::platform::{PlatformEvent, PutCommand};
use rustix::process::Signal;
use std::io;
use std::time::{Duration, Instant};

/// A process is started this long behind the kill of the one before (protocol page).
const START_AFTER_KILL: Duration = Duration::from_millis(600);
/// Connections of a burst.
const BURST: usize = 16;
/// Time of the messages of a burst, in milliseconds.
const BURST_TIME_LEFT_MS: u64 = 4000;

/// The gateway that rounds are played on.
pub struct SignalSeries<'a> {
    pub gateway: &'a Gateway<'a>,
}

impl SignalSeries<'_> {
    /// Plays the rounds one after another.
    ///
    /// # Errors
    /// A process can't be started, or a file of the testbench's can't be written.
    pub fn play(&self, rounds: &[SignalRound]) -> io::Result<()> {
        let _lifecycle = lock(&self.gateway.lifecycle);
        rounds.iter().enumerate().try_for_each(|(place, round)| self.play_round(place, round))
    }

    fn play_round(&self, place: usize, round: &SignalRound) -> io::Result<()> {
        std::thread::sleep(round.after_ready);
        if self.gateway.has_exited() {
            self.gateway.count_crash("ended by itself");
        }
        self.gateway.platform.record(PlatformEvent::GatewayDown { gateway: self.gateway.number });
        if round.is_graceful {
            self.terminate(place, round)?;
        }
        self.kill();
        for bytes in &round.kills_in_recovery {
            self.gateway.start_and_kill_in_recovery(*bytes)?;
            std::thread::sleep(START_AFTER_KILL);
        }
        if round.terminated_at_exec {
            self.gateway.start_and_terminate()?;
            std::thread::sleep(START_AFTER_KILL);
        }
        self.gateway.start()
    }

    /// SIGTERM and the steps behind it, until the platform's kill is due.
    fn terminate(&self, place: usize, round: &SignalRound) -> io::Result<()> {
        let signalled = Instant::now();
        self.gateway.signal(Signal::TERM);
        for (number, (at, step)) in round.steps.iter().enumerate() {
            std::thread::sleep(at.saturating_sub(signalled.elapsed()));
            self.take_step(*step, &format!("b{place}s{number}"))?;
        }
        std::thread::sleep(KILL_AFTER.saturating_sub(signalled.elapsed()));
        if !self.gateway.has_exited() {
            self.gateway.count_crash("did not end when told to");
        }
        Ok(())
    }

    fn take_step(&self, step: SignalStep, name: &str) -> io::Result<()> {
        match step {
            SignalStep::Terminate => self.gateway.signal(Signal::TERM),
            SignalStep::Interrupt => self.gateway.signal(Signal::INT),
            SignalStep::Reload => self.gateway.reload(false)?,
            SignalStep::ReloadElsewhere => self.gateway.reload(true)?,
            SignalStep::HoldUp(time) => self.gateway.hold_up(time),
            SignalStep::ConnectBurst => self.connect_burst(name),
        }
        Ok(())
    }

    fn kill(&self) {
        self.gateway.kill();
        std::thread::sleep(START_AFTER_KILL);
    }

    /// Clients connect together and submit a message each; those whose connection is taken get their replies.
    fn connect_burst(&self, name: &str) {
        let connect = |_| Client::connect(self.gateway.platform, self.gateway, self.gateway.number).ok();
        let clients: Vec<Client> = (0..BURST).filter_map(connect).collect();
        let mut waiting = Vec::new();
        let starts = self.gateway.starts();
        for (position, mut client) in clients.into_iter().enumerate() {
            let put = burst_message(format!("g{}{name}p{starts}n{position}", self.gateway.number), position);
            let sent = Instant::now();
            client.record_submission(&put);
            if client.write(&put.encode()) {
                waiting.push((client, put, sent));
            }
        }
        for (mut client, put, sent) in waiting {
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
