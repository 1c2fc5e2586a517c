//! Plays a fault scenario: gateway processes, fake partners and clients on loopback, fault events by the clock.

mod error;
mod gateway_command;
mod gateways;

pub use error::RunError;
pub use gateway_command::GatewayCommand;

use crate::invariants::{check_invariants, InvariantReport, InvariantSettings};
use crate::scenario::{FaultEvent, FaultScenario};
use cloverstile_as2_gateway::test_cluster::TestCluster;
use cloverstile_fakes::client::{Client, ClientBehaviour, GatewaySet, PlannedMessage, Progress};
use cloverstile_fakes::record::{RecordLine, Recorder};
use gateways::ScenarioGateways;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The first message comes this long after everything is started.
const LEAD_TIME: Duration = Duration::from_millis(200);
/// Fault events, processes and clients are looked at in this interval.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Told to stop, each gateway is waited for this long.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// Clients are stopped after this multiple of the scenario's mean length ...
const TIME_LIMIT_FACTOR: f64 = 1.5;
/// ... and the longest deadline and this many seconds.
const TIME_LIMIT_SLACK_S: f64 = 10.0;

/// What came of a scenario.
pub struct RunResult {
    /// The record of fake partners and clients.
    pub lines: Vec<RecordLine>,
    /// What the check of the invariants found.
    pub report: InvariantReport,
    /// Wall time.
    pub elapsed: Duration,
}

/// Called now and then with the number of answered messages, for people who wait.
pub type ProgressCallback<'a> = &'a (dyn Fn(usize) + Sync);

/// Plays a scenario in a folder of its own, and checks its record.
///
/// # Errors
/// The test cluster can't be set up, a gateway does not start or exits by itself, or a client fails.
pub fn run_scenario(
    scenario: &FaultScenario,
    seed: u64,
    folder: &Path,
    command: &GatewayCommand,
    on_progress: ProgressCallback,
) -> Result<RunResult, RunError> {
    let began = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let recorder = Recorder::default();
    let cluster = TestCluster::build(folder, scenario.cluster_spec(), recorder.clone(), seed)?;
    let mut gateways = ScenarioGateways::start(cluster, command, scenario.gateways, recorder.clone())?;
    let start = recorder.now() + LEAD_TIME;
    let plans = scenario.plan_messages(&mut rng, seed, start);
    let mut steps = fault_steps(scenario, &mut rng, start)?;
    // The earliest step is taken from the back.
    steps.reverse();
    let longest = scenario.classes.values().map(|class| class.deadline).fold(0.0, f64::max);
    let mean_length = f64::from(scenario.messages) / scenario.rate;
    let time_limit =
        start + Duration::from_secs_f64(mean_length * TIME_LIMIT_FACTOR + longest + TIME_LIMIT_SLACK_S);
    let run = ScenarioRun { steps, time_limit, recorder: recorder.clone(), on_progress };
    run.play(&mut gateways, plans)?;
    gateways.shut_down(SHUTDOWN_TIMEOUT);
    let lines = recorder.lines();
    let report = check_invariants(&lines, &InvariantSettings::from(scenario));
    Ok(RunResult { lines, report, elapsed: began.elapsed() })
}

/// The beginning or the end of a fault.
struct FaultStep {
    at: Duration,
    begins: bool,
    duration: Duration,
    event: FaultEvent,
}

/// The steps of all faults, the earliest first.
fn fault_steps(
    scenario: &FaultScenario,
    rng: &mut ChaCha8Rng,
    start: Duration,
) -> Result<Vec<FaultStep>, RunError> {
    let mut steps = Vec::new();
    for fault in scenario.fault_schedule()? {
        let delay = if fault.jitter > 0.0 { rng.random_range(0.0..fault.jitter) } else { 0.0 };
        let at = start + Duration::from_secs_f64((fault.at + delay).max(0.0));
        let duration = Duration::from_secs_f64(fault.duration.max(0.0));
        let event = fault.event;
        steps.push(FaultStep { at, begins: true, duration, event });
        steps.push(FaultStep { at: at + duration, begins: false, duration, event });
    }
    steps.sort_by_key(|step| step.at);
    Ok(steps)
}

struct ScenarioRun<'a> {
    /// Steps that are still to be taken, the earliest last.
    steps: Vec<FaultStep>,
    /// When the clients are stopped.
    time_limit: Duration,
    recorder: Recorder,
    on_progress: ProgressCallback<'a>,
}

impl ScenarioRun<'_> {
    fn play(
        mut self,
        gateways: &mut ScenarioGateways,
        plans: [Vec<PlannedMessage>; 2],
    ) -> Result<(), RunError> {
        let addresses = gateways.client_view();
        let identities = gateways.client_identities();
        let (progress, recorder) = (Progress::default(), self.recorder.clone());
        std::thread::scope(|scope| {
            let mut clients = Vec::new();
            for (number, plan) in plans.into_iter().enumerate() {
                let (addresses, progress, recorder) = (&addresses, &progress, recorder.clone());
                let identity = &identities[number];
                clients.push(scope.spawn(move || {
                    let habits =
                        ClientBehaviour { deferred_receipts: number == 1, ..ClientBehaviour::default() };
                    Client::new(identity, habits, addresses, plan, recorder, progress)?.run()
                }));
            }
            while clients.iter().any(|client| !client.is_finished()) {
                if let Err(error) = self.advance(gateways, &addresses) {
                    progress.stop.store(true, Ordering::Relaxed);
                    return Err(error);
                }
                // A client that never ends must not keep the check from saying what was not answered.
                if self.recorder.now() > self.time_limit {
                    progress.stop.store(true, Ordering::Relaxed);
                }
                (self.on_progress)(progress.completed.load(Ordering::Relaxed));
                std::thread::sleep(POLL_INTERVAL);
            }
            for client in clients {
                client.join().unwrap_or_else(|_| Err(std::io::Error::other("a client panicked")))?;
            }
            Ok(())
        })
    }

    /// Takes the steps that are due, and looks after the gateway processes.
    fn advance(&mut self, gateways: &mut ScenarioGateways, clients: &GatewaySet) -> Result<(), RunError> {
        while self.steps.last().is_some_and(|step| step.at <= self.recorder.now()) {
            if let Some(step) = self.steps.pop() {
                apply(&step, gateways, clients)?;
            }
        }
        gateways.record_stopped(clients);
        match gateways.find_exited() {
            Some(gateway) => Err(RunError::GatewayExited(gateway)),
            None => Ok(()),
        }
    }
}

fn apply(step: &FaultStep, gateways: &mut ScenarioGateways, clients: &GatewaySet) -> Result<(), RunError> {
    match (step.event, step.begins) {
        (FaultEvent::Partner { partner, fault, zone }, true) => {
            gateways.begin_partner_fault(partner, fault, zone, step.duration);
        }
        (FaultEvent::Receipts { partner, fault }, begins) => {
            gateways.set_receipt_fault(partner, begins.then_some(fault));
        }
        (FaultEvent::Drain { partner, endpoint }, begins) => {
            gateways.set_draining(partner, endpoint, begins)?;
        }
        (FaultEvent::Kill { gateway }, true) => gateways.kill(gateway, clients),
        (FaultEvent::Stop { gateway }, true) => gateways.stop(gateway),
        (FaultEvent::Kill { gateway } | FaultEvent::Stop { gateway }, false) => {
            gateways.restart(gateway, clients)?;
        }
        (FaultEvent::Partner { .. }, false) | (FaultEvent::Burst { .. }, _) => {}
    }
    Ok(())
}
