//! Plays a day: courier processes, partners and clients on loopback, troubles by the clock.

use crate::invariants::{judge, ClassRule, Figures, InvariantReport, PartnerRule};
use crate::scenario::{FaultEvent, FaultScenario, ScenarioError};
use cloverstile_as2_gateway::rig::{Rig, RigError};
use cloverstile_fakes::client::{Client, Couriers, Habits, Progress};
use cloverstile_fakes::partner::Order;
use cloverstile_fakes::record::{Line, Recorder, Seen};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Why a day could not be played.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Its script.
    #[error(transparent)]
    FaultScenario(#[from] ScenarioError),
    /// Keys, files or partners.
    #[error(transparent)]
    Rig(#[from] RigError),
    /// A courier that nobody told to end.
    #[error("run: courier {0} ended by itself; its standard error says why")]
    Died(usize),
    /// Processes or sockets.
    #[error("run: {0}")]
    Io(#[from] std::io::Error),
}

/// How couriers are started.
#[derive(Clone, Debug)]
pub struct GatewayCommand {
    /// Program that takes `courier FILE` and prints where it listens.
    pub program: PathBuf,
    /// What their logs show on standard error.
    pub log: String,
}

/// What came of a day.
pub struct RunResult {
    /// All that was seen.
    pub lines: Vec<Line>,
    /// What the judge says.
    pub verdict: InvariantReport,
    /// Wall time.
    pub took: Duration,
}

/// How far a day is, for people who wait: answered messages.
pub type Watch<'a> = &'a (dyn Fn(usize) + Sync);

/// A courier process; killed where it is dropped.
pub(crate) struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Already ended in the ordinary course; this is for errors on the way.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a courier and waits until it listens.
    pub(crate) fn start(
        launch: &GatewayCommand,
        file: &Path,
        number: usize,
    ) -> Result<(Process, SocketAddr), RunError> {
        let mut child = Command::new(&launch.program)
            .arg("courier")
            .arg(file)
            .args(["--log", &launch.log])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let process = Process { child };
        let told: Option<SocketAddr> = serde_json::from_str::<serde_json::Value>(&line)
            .ok()
            .and_then(|value| value.get("listening")?.as_str()?.parse().ok());
        told.map(|address| (process, address)).ok_or(RunError::Rig(RigError::Start(number)))
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // One that has ended needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for the end; false if it took longer than `most`.
    fn ended(&mut self, most: Duration) -> bool {
        let began = Instant::now();
        loop {
            if matches!(self.child.try_wait(), Ok(Some(_)) | Err(_)) {
                return true;
            }
            if began.elapsed() >= most {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// What the judge needs to know of a day.
pub fn figures(day: &FaultScenario) -> Figures {
    let micros = |seconds: f64| (seconds * 1e6) as u64;
    let spec = day.spec();
    Figures {
        classes: day
            .class
            .iter()
            .map(|(name, class)| {
                let rule = ClassRule {
                    safe: class.effect == "safe",
                    window: (class.effect == "keyed").then(|| micros(class.window)),
                    by_zone: class.group == "zone",
                    in_order: class.in_order,
                };
                (name.clone(), rule)
            })
            .collect(),
        partners: spec
            .partners
            .iter()
            .map(|partner| {
                let capacity = partner.nature.capacity();
                let capacity = partner.nature.limit.map_or(capacity, |limit| limit.min(capacity));
                (partner.name.clone(), PartnerRule { capacity, zones: partner.zones.clone() })
            })
            .collect(),
        answer_slack: day.rules.answer_slack_ms * 1000,
        drain_grace: day.rules.drain_grace_ms * 1000,
        order_settle: day.rules.order_settle_ms * 1000,
        cold_from: day.rules.cold_from,
        cold: day.rules.cold_ms * 1000,
        tip_multiple: day.rules.tip_multiple,
        fall: day.rules.fall_ms * 1000,
    }
}

/// Something to do at a time.
struct Step {
    at: Duration,
    begins: bool,
    lasts: Duration,
    act: FaultEvent,
}

struct ScenarioRun<'a> {
    rig: Rig,
    launch: &'a GatewayCommand,
    processes: Vec<Option<Process>>,
    /// Told to stop, and still answering.
    stopping: Vec<(usize, Process)>,
    addresses: Vec<SocketAddr>,
    draining: BTreeSet<(usize, usize)>,
    recorder: Recorder,
}

/// Plays a day and judges it.
pub fn play(
    day: &FaultScenario,
    seed: u64,
    folder: &Path,
    launch: &GatewayCommand,
    watch: Watch,
) -> Result<RunResult, RunError> {
    let began = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let recorder = Recorder::default();
    let rig = Rig::build(folder, day.spec(), recorder.clone(), seed)?;
    let mut stage = ScenarioRun {
        rig,
        launch,
        processes: Vec::new(),
        stopping: Vec::new(),
        addresses: Vec::new(),
        draining: BTreeSet::new(),
        recorder: recorder.clone(),
    };
    for number in 0..day.couriers {
        let (process, address) = Process::start(launch, &stage.rig.files[number], number)?;
        stage.processes.push(Some(process));
        stage.addresses.push(address);
        // One that is started again must be found where it was.
        stage.rig.write_settings(number, address, &BTreeSet::new())?;
    }
    let couriers = stage.rig.couriers(stage.addresses.clone());
    let from = recorder.now() + Duration::from_millis(200);
    let plans = day.plan(&mut rng, seed, from);
    let steps = steps(day, &mut rng, from)?;
    let progress = Progress::default();
    let identities = stage.rig.clients.clone();
    std::thread::scope(|scope| -> Result<(), RunError> {
        let mut clients = Vec::new();
        for (number, plan) in plans.into_iter().enumerate() {
            let (couriers, progress, recorder) = (&couriers, &progress, recorder.clone());
            let identity = &identities[number];
            clients.push(scope.spawn(move || {
                let habits = Habits { deferred: number == 1, ..Habits::default() };
                Client::new(identity, habits, couriers, plan, recorder, progress)?.run()
            }));
        }
        let mut left = steps.into_iter().peekable();
        // A client that never ends must not keep the judge from saying what was not answered.
        let longest = day.class.values().map(|class| class.deadline).fold(0.0, f64::max);
        let most = from + Duration::from_secs_f64(f64::from(day.messages) / day.rate * 1.5 + longest + 10.0);
        while clients.iter().any(|client| !client.is_finished()) {
            while left.peek().is_some_and(|step| step.at <= recorder.now()) {
                if let Some(step) = left.next() {
                    if let Err(error) = stage.take(&step, &couriers) {
                        progress.stop.store(true, Ordering::Relaxed);
                        return Err(error);
                    }
                }
            }
            stage.note_stopped(&couriers);
            if let Some(number) = stage.died() {
                progress.stop.store(true, Ordering::Relaxed);
                return Err(RunError::Died(number));
            }
            if recorder.now() > most {
                progress.stop.store(true, Ordering::Relaxed);
            }
            watch(progress.done.load(Ordering::Relaxed));
            std::thread::sleep(Duration::from_millis(10));
        }
        for client in clients {
            client.join().unwrap_or_else(|_| Err(std::io::Error::other("a client panicked")))?;
        }
        Ok(())
    })?;
    for process in stage.processes.iter_mut().flatten() {
        process.signal(Signal::TERM);
    }
    for process in stage.processes.iter_mut().flatten() {
        process.ended(Duration::from_secs(10));
    }
    let lines = recorder.lines();
    let verdict = judge(&lines, &figures(day));
    Ok(RunResult { lines, verdict, took: began.elapsed() })
}

fn steps(day: &FaultScenario, rng: &mut ChaCha8Rng, from: Duration) -> Result<Vec<Step>, RunError> {
    let mut steps = Vec::new();
    for (at, lasts, sway, act) in day.acts()? {
        let moved = if sway > 0.0 { rng.random_range(0.0..sway) } else { 0.0 };
        let at = from + Duration::from_secs_f64((at + moved).max(0.0));
        let lasts = Duration::from_secs_f64(lasts.max(0.0));
        steps.push(Step { at, begins: true, lasts, act });
        steps.push(Step { at: at + lasts, begins: false, lasts, act });
    }
    steps.sort_by_key(|step| step.at);
    Ok(steps)
}

impl ScenarioRun<'_> {
    fn take(&mut self, step: &Step, couriers: &Couriers) -> Result<(), RunError> {
        match (step.act, step.begins) {
            (FaultEvent::Fault(partner, fault, zone), true) => {
                self.rig.partners.order(Order::Fault { partner, fault, zone, lasts: step.lasts });
            }
            (FaultEvent::Receipts(partner, twist), begins) => {
                self.rig.partners.order(Order::Twist { partner, twist: begins.then_some(twist) });
            }
            (FaultEvent::Drain(partner, endpoint), begins) => self.drain(partner, endpoint, begins)?,
            (FaultEvent::Kill(courier), true) => self.end(courier, true, couriers),
            (FaultEvent::Stop(courier), true) => self.end(courier, false, couriers),
            (FaultEvent::Kill(courier) | FaultEvent::Stop(courier), false) => {
                self.start_again(courier, couriers)?
            }
            (FaultEvent::Fault(..), false) | (FaultEvent::Burst(_), _) => {}
        }
        Ok(())
    }

    fn drain(&mut self, partner: usize, endpoint: usize, begins: bool) -> Result<(), RunError> {
        match begins {
            true => self.draining.insert((partner, endpoint)),
            false => self.draining.remove(&(partner, endpoint)),
        };
        for number in 0..self.processes.len() {
            self.rig.write_settings(number, self.addresses[number], &self.draining)?;
        }
        let name = self.rig.spec.partners[partner].name.clone();
        if !begins {
            // Whoever hears of it first may send at once.
            self.recorder.note(Seen::Listed { partner: name.clone(), endpoint, ready: true });
        }
        for process in self.processes.iter().flatten() {
            process.signal(Signal::HUP);
        }
        if begins {
            self.recorder.note(Seen::Listed { partner: name, endpoint, ready: false });
        }
        Ok(())
    }

    fn end(&mut self, courier: usize, killed: bool, couriers: &Couriers) {
        let Some(process) = self.processes[courier].take() else { return };
        if killed {
            // Clients learn first, so that a lost connection is not taken for a passing fault.
            self.note_end(courier, true, couriers);
            return drop(process);
        }
        // It answers what it holds; until it has ended, what it holds is in good hands.
        process.signal(Signal::TERM);
        self.stopping.push((courier, process));
    }

    fn note_end(&self, courier: usize, killed: bool, couriers: &Couriers) {
        couriers.running[courier].store(false, Ordering::Relaxed);
        self.recorder.note(Seen::Courier { courier, running: false, killed });
    }

    fn note_stopped(&mut self, couriers: &Couriers) {
        let mut left = Vec::new();
        for (courier, mut process) in std::mem::take(&mut self.stopping) {
            match process.ended(Duration::ZERO) {
                true => self.note_end(courier, false, couriers),
                false => left.push((courier, process)),
            }
        }
        self.stopping = left;
    }

    fn died(&mut self) -> Option<usize> {
        let ended = |process: &mut Option<Process>| process.as_mut().is_some_and(|p| p.ended(Duration::ZERO));
        self.processes.iter_mut().position(ended)
    }

    fn start_again(&mut self, courier: usize, couriers: &Couriers) -> Result<(), RunError> {
        let (process, _) = Process::start(self.launch, &self.rig.files[courier], courier)?;
        self.processes[courier] = Some(process);
        self.recorder.note(Seen::Courier { courier, running: true, killed: false });
        couriers.running[courier].store(true, Ordering::Relaxed);
        Ok(())
    }
}
