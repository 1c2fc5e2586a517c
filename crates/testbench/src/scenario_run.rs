//! Runs a fault scenario with gateway processes, fake partners and clients on loopback, and applies its faults at their
//! scheduled times.

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

/// Delay between the start of the gateways and the first message.
const LEAD_TIME: Duration = Duration::from_millis(200);
/// Interval at which due fault events, processes and clients are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time to wait for each gateway to exit at the end of the run.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// Clients are stopped after this multiple of the expected length of the traffic ...
const TIME_LIMIT_FACTOR: f64 = 1.5;
/// ... plus the longest deadline and this many seconds.
const TIME_LIMIT_SLACK_S: f64 = 10.0;

/// The record of a scenario run and the result of its check.
pub struct RunResult {
    /// The events recorded by the fake partners and clients.
    pub lines: Vec<RecordLine>,
    /// The result of the invariant check.
    pub report: InvariantReport,
    /// Wall-clock time of the whole run, with set-up and shutdown.
    pub elapsed: Duration,
}

/// Called regularly with the number of answered messages, to show progress.
pub type ProgressCallback<'a> = &'a (dyn Fn(usize) + Sync);

/// Runs a scenario with its files in `folder`, and checks its record against the invariants.
///
/// # Errors
/// The test cluster can't be set up, a gateway does not start or exits unexpectedly, or a client fails.
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
    // The earliest step comes last, so that it can be popped.
    steps.reverse();
    let longest_deadline = scenario.classes.values().map(|class| class.deadline).fold(0.0, f64::max);
    let expected_length = f64::from(scenario.messages) / scenario.rate;
    let time_limit = start
        + Duration::from_secs_f64(
            expected_length * TIME_LIMIT_FACTOR + longest_deadline + TIME_LIMIT_SLACK_S,
        );
    let run = ScenarioRun { steps, time_limit, recorder: recorder.clone(), on_progress };
    run.run(&mut gateways, plans)?;
    gateways.shut_down(SHUTDOWN_TIMEOUT);
    let lines = recorder.lines();
    let report = check_invariants(&lines, &InvariantSettings::from(scenario));
    Ok(RunResult { lines, report, elapsed: began.elapsed() })
}

/// The scheduled beginning or end of a fault.
struct FaultStep {
    at: Duration,
    begins: bool,
    duration: Duration,
    event: FaultEvent,
}

/// The beginnings and ends of all faults with their random delays, the earliest first.
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
    /// Remaining steps, the earliest last.
    steps: Vec<FaultStep>,
    /// Time at which the clients are stopped even if messages are unanswered.
    time_limit: Duration,
    recorder: Recorder,
    on_progress: ProgressCallback<'a>,
}

impl ScenarioRun<'_> {
    fn run(
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
                    let behaviour =
                        ClientBehaviour { deferred_receipts: number == 1, ..ClientBehaviour::default() };
                    Client::new(identity, behaviour, addresses, plan, recorder, progress)?.run()
                }));
            }
            while clients.iter().any(|client| !client.is_finished()) {
                if let Err(error) = self.apply_due_steps(gateways, &addresses) {
                    progress.stop.store(true, Ordering::Relaxed);
                    return Err(error);
                }
                // Stops clients that would wait forever, so that the check can report the unanswered messages.
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

    /// Applies the steps that are due, records gateways that have stopped, and fails if one exited unexpectedly.
    fn apply_due_steps(
        &mut self,
        gateways: &mut ScenarioGateways,
        clients: &GatewaySet,
    ) -> Result<(), RunError> {
        while self.steps.last().is_some_and(|step| step.at <= self.recorder.now()) {
            if let Some(step) = self.steps.pop() {
                apply_step(&step, gateways, clients)?;
            }
        }
        gateways.record_stopped(clients);
        match gateways.find_unexpected_exit() {
            Some(gateway) => Err(RunError::GatewayExited(gateway)),
            None => Ok(()),
        }
    }
}

fn apply_step(
    step: &FaultStep,
    gateways: &mut ScenarioGateways,
    clients: &GatewaySet,
) -> Result<(), RunError> {
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
