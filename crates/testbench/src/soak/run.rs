//! The run of one seed: gateways, clients and faults, and the check of the invariants.

use super::client_kinds::{ClientLoop, CLIENTS};
use super::config::{
    CAPACITY_PER_GATEWAY, DRAIN_GRACE, INITIAL_CAPACITY_SHARE, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW,
    REPEAT_WINDOW, SETTLE_TIME, WARM_UP_TIME,
};
use super::crowds::{occupy_cores, run_crowd};
use super::faults::{EndpointFault, Fault, HOLD_UP_INTERVAL, REPEATED_HOLD_UP};
use super::gateways::{destinations, Gateway};
use super::options::RunOptions;
use super::plan::{FaultPlan, PlannedFault};
use super::signals::SignalSeries;
use super::traffic::Traffic;
use cloverstile_fakes::platform::{
    find_violations, AgentBehaviour, EndpointBehaviour, InvariantRules, Platform, PlatformEvent,
    SlowStartRule, TimedEvent, Violation,
};
use cloverstile_fault_injection::Rule;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use std::{fs, io};

/// How long after its deadline a message may get its final outcome. The platform allows 300 ms for that, 50 ms on each time
/// limit, and a process pause of 150 ms.
const OUTCOME_SLACK: Duration = Duration::from_millis(500);
/// Longest pause of a process that the platform allows.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// How long after a restarted gateway is ready its messages may still get their final outcomes.
const RESTART_GRACE: Duration = Duration::from_millis(1500);
/// Slack that the platform allows on each time limit.
const WINDOW_SLACK: Duration = Duration::from_millis(50);
/// Share of a message's time to its deadline before which it may not be given up if no request was sent.
const MIN_GIVE_UP_SHARE: f64 = 0.7;
/// How long after the load to wait for the final outcomes of all messages: longer than the time to any deadline.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(8);
/// A response that stops within its status line.
const HALF_STATUS_LINE: &[u8] = b"HTTP/1.1 200 O";
/// Outages at least this long are recorded, so that the slow start rule is checked on the recovery.
const MIN_RECORDED_OUTAGE: Duration = Duration::from_secs(1);
/// Number of slots of a fault control for faults of system calls; restarts use the others.
const CALL_SLOTS: usize = 13;

/// Result of the run of a seed.
#[derive(Debug)]
pub struct SeedResult {
    /// The seed that gave the plan, and gives the same plan again.
    pub seed: u64,
    /// Number of messages that the clients created.
    pub messages: u64,
    /// Name of the kind of each planned fault.
    pub fault_kinds: Vec<&'static str>,
    /// Number of gateways.
    pub gateways: u64,
    /// Number of gateway processes started, including restarts.
    pub processes: u64,
    /// Violations of the delivery invariants.
    pub violations: Vec<Violation>,
    /// Processes that exited unexpectedly, were not ready in time, or did not shut down properly.
    pub crashes: u64,
    /// CPU time of the gateways' last processes, in seconds.
    pub cpu_seconds: f64,
    /// Most memory that a process was seen to have held, its files included, in bytes.
    pub peak_memory: u64,
    /// What passed between the gateways and the endpoints.
    pub traffic: Traffic,
}

impl SeedResult {
    /// Whether an invariant was violated or a process crashed.
    pub fn has_failed(&self) -> bool {
        !self.violations.is_empty() || self.crashes > 0
    }
}

/// Runs the plan of a seed and checks the invariants. The run's folder is kept if the run failed, and removed otherwise.
///
/// # Errors
/// An operation of the testbench itself on files, sockets or processes fails.
pub fn run_seed(seed: u64, options: &RunOptions) -> io::Result<SeedResult> {
    let plan = FaultPlan::new(seed, options.profile, destinations().len());
    let plan = if options.with_faults { plan } else { plan.without_faults() };
    let platform = Platform::start_with_gateways(destinations(), plan.gateways)?;
    let capacity = CAPACITY_PER_GATEWAY * plan.gateways as f64;
    platform.set_weight(capacity);
    let gateways: Vec<Gateway> = (0..plan.gateways)
        .map(|number| Gateway::new(number, plan.gateways, seed, &platform, options))
        .collect::<io::Result<_>>()?;
    gateways.iter().try_for_each(Gateway::start)?;
    let run = Run { plan: &plan, platform: &platform, gateways: &gateways };
    let messages = run.execute()?;
    let cpu_seconds = gateways.iter().map(Gateway::cpu_seconds).sum();
    run.finish()?;
    let rules = InvariantRules {
        repeat_window: REPEAT_WINDOW + WINDOW_SLACK,
        outcome_slack: OUTCOME_SLACK,
        restart_grace: RESTART_GRACE,
        min_give_up_share: MIN_GIVE_UP_SHARE,
        settle_time: SETTLE_TIME,
        drain_grace: DRAIN_GRACE + MAX_PAUSE,
        slow_start: Some(SlowStartRule {
            capacity,
            initial_capacity_share: INITIAL_CAPACITY_SHARE,
            warm_up_time: WARM_UP_TIME,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window: OVERLOAD_WINDOW,
        }),
    };
    let events = platform.events();
    let result = SeedResult {
        seed,
        messages,
        fault_kinds: plan.faults.iter().map(|planned| planned.kind).collect(),
        gateways: plan.gateways as u64,
        processes: gateways.iter().map(|gateway| gateway.starts() as u64).sum(),
        violations: find_violations(&events, rules),
        crashes: gateways.iter().map(Gateway::crashes).sum(),
        cpu_seconds,
        peak_memory: gateways.iter().map(Gateway::peak_memory).max().unwrap_or_default(),
        traffic: Traffic::count(&events),
    };
    let folder = options.folder(seed);
    if result.has_failed() {
        fs::write(folder.join("timeline.txt"), timeline(&plan, &events, &result))?;
    } else {
        fs::remove_dir_all(&folder)?;
    }
    Ok(result)
}

/// A run in progress: its plan, the fake platform, and the gateways.
struct Run<'a> {
    plan: &'a FaultPlan,
    platform: &'a Platform,
    gateways: &'a [Gateway<'a>],
}

impl Run<'_> {
    /// Runs the clients and the faults; returns the number of messages.
    fn execute(&self) -> io::Result<u64> {
        let (stopped, messages) = (AtomicBool::new(false), AtomicU64::new(0));
        let started = Instant::now();
        std::thread::scope(|scope| {
            for (number, gateway) in self.gateways.iter().enumerate() {
                for position in 0..CLIENTS.len() {
                    let client = ClientLoop::new(self.platform, gateway, number, position, self.plan.seed);
                    let (stopped, messages) = (&stopped, &messages);
                    scope.spawn(move || messages.fetch_add(client.run(stopped), Ordering::Relaxed));
                }
            }
            let faults = self.plan.faults.iter().enumerate();
            let spawn = |(index, planned)| scope.spawn(move || self.run_fault(started, index, planned));
            let results: Vec<_> = faults.map(spawn).collect();
            let failed = results.into_iter().filter_map(|thread| thread.join().ok()?.err()).next();
            std::thread::sleep(self.plan.load.saturating_sub(started.elapsed()));
            stopped.store(true, Ordering::Relaxed);
            failed.map_or(Ok(()), Err)
        })?;
        Ok(messages.load(Ordering::Relaxed))
    }

    /// Waits for the start of a fault, records it, and applies it until it ends.
    fn run_fault(&self, started: Instant, index: usize, planned: &PlannedFault) -> io::Result<()> {
        std::thread::sleep(planned.at.saturating_sub(started.elapsed()));
        self.record_fault(planned);
        self.apply(planned, index % CALL_SLOTS)
    }

    fn record_fault(&self, planned: &PlannedFault) {
        let gateway = planned.fault.is_of_gateway().then_some(planned.gateway);
        let description = planned.fault.to_string();
        self.platform.record(PlatformEvent::Fault { gateway, description });
    }

    /// Applies a fault until it ends; `slot` is for the rule of a system call.
    fn apply(&self, planned: &PlannedFault, slot: usize) -> io::Result<()> {
        let gateway = &self.gateways[planned.gateway];
        match &planned.fault {
            Fault::WallClock { ahead, offset } => gateway.faults.set_wall_clock(*ahead, *offset),
            Fault::Calls { call, effect, count, lasts } => {
                let rule = Rule { count: *count, ..Rule::always(*call, *effect) };
                gateway.faults.set_rule(slot, &rule)?;
                std::thread::sleep(*lasts);
                gateway.faults.clear_rule(slot)
            }
            Fault::HoldUp(time) => {
                gateway.pause(*time);
                Ok(())
            }
            Fault::HoldUps(count) => {
                for _ in 0..*count {
                    gateway.pause(REPEATED_HOLD_UP);
                    std::thread::sleep(HOLD_UP_INTERVAL - REPEATED_HOLD_UP);
                }
                Ok(())
            }
            Fault::Restart(restart) => gateway.restart(*restart),
            Fault::Signals(rounds) => SignalSeries { gateway }.run(rounds),
            Fault::Reload => gateway.reload(true),
            Fault::Endpoint { endpoint, fault, lasts } => {
                let is_outage = fault.is_outage() && *lasts >= MIN_RECORDED_OUTAGE;
                if is_outage {
                    self.platform.record(PlatformEvent::EndpointFailed { endpoint: *endpoint });
                }
                self.fail_endpoint(*endpoint, fault);
                std::thread::sleep(*lasts);
                self.restore_endpoint(*endpoint);
                if is_outage {
                    self.platform.record(PlatformEvent::EndpointReturned { endpoint: *endpoint });
                }
                Ok(())
            }
            Fault::Agent { behaviour, lasts } => {
                gateway.agents().for_each(|agent| self.platform.set_agent_behaviour(agent, *behaviour));
                std::thread::sleep(*lasts);
                self.restore_agents(gateway);
                Ok(())
            }
            Fault::Crowd { crowd: kind, lasts } => {
                run_crowd(gateway, *kind, *lasts);
                Ok(())
            }
            Fault::BusyCores { threads, lasts } => {
                occupy_cores(*threads, *lasts);
                Ok(())
            }
        }
    }

    fn restore_agents(&self, gateway: &Gateway) {
        gateway.agents().for_each(|agent| self.platform.set_agent_behaviour(agent, AgentBehaviour::Prompt));
    }

    fn fail_endpoint(&self, endpoint: usize, fault: &EndpointFault) {
        let behaviour = match fault {
            EndpointFault::Hangs => EndpointBehaviour::Silent,
            EndpointFault::Disconnects => EndpointBehaviour::Disconnect,
            EndpointFault::Resets(after) => EndpointBehaviour::Reset(*after),
            EndpointFault::Rejects(wait) => EndpointBehaviour::Respond(rejection(*wait)),
            EndpointFault::RespondsWith(status) => EndpointBehaviour::Respond(empty_response(*status)),
            EndpointFault::StopsInStatusLine => EndpointBehaviour::Respond(HALF_STATUS_LINE.to_vec()),
            EndpointFault::RespondsLate(delay) => EndpointBehaviour::DeliverLate(*delay),
            EndpointFault::ClosesIdle => EndpointBehaviour::DeliverAndClose,
            EndpointFault::Mixed(mixed) => EndpointBehaviour::Mixed(mixed.clone()),
            EndpointFault::Repeats(repeat) => EndpointBehaviour::Repeat(repeat.clone()),
            EndpointFault::AcceptsLate => return self.platform.set_accepting(endpoint, false),
            EndpointFault::Drains => return self.platform.set_lifecycle(endpoint, "DRAINING"),
        };
        self.platform.set_behaviour(endpoint, behaviour);
    }

    fn restore_endpoint(&self, endpoint: usize) {
        self.platform.set_behaviour(endpoint, EndpointBehaviour::Deliver(Duration::from_millis(2)));
        self.platform.set_lifecycle(endpoint, "SERVING");
        self.platform.set_accepting(endpoint, true);
    }

    /// Ends all faults, waits for the final outcomes of all messages, and shuts the gateways down. A gateway that does not
    /// exit cleanly counts as crashed and is restarted, so that its pending messages get their final outcomes.
    fn finish(&self) -> io::Result<()> {
        (0..destinations().len()).for_each(|endpoint| self.restore_endpoint(endpoint));
        for gateway in self.gateways {
            self.restore_agents(gateway);
            gateway.clear_faults()?;
            gateway.restart_if_exited()?;
        }
        self.platform.wait_until(OUTCOME_TIMEOUT, all_have_outcomes);
        for gateway in self.gateways {
            self.platform
                .record(PlatformEvent::Fault { gateway: None, description: "end of the run".into() });
            if !gateway.shut_down() {
                gateway.restart_if_exited()?;
            }
        }
        Ok(())
    }
}

/// A response with status 429 and a Retry-After header.
fn rejection(wait: Duration) -> Vec<u8> {
    let seconds = wait.as_secs_f64();
    format!("HTTP/1.1 429 Wait\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

fn empty_response(status: u16) -> Vec<u8> {
    format!("HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

/// Whether every accepted message has a final outcome or a notification.
fn all_have_outcomes(events: &[TimedEvent]) -> bool {
    let mut pending = BTreeSet::new();
    for (_, event) in events {
        if let PlatformEvent::Accepted { id, .. } = event {
            pending.insert(id.as_str());
        }
    }
    for (_, event) in events {
        if let PlatformEvent::Delivered { id }
        | PlatformEvent::Released { id }
        | PlatformEvent::Notification { id, .. } = event
        {
            pending.remove(id.as_str());
        }
    }
    pending.is_empty()
}

/// The text of `timeline.txt`: the violations, then the events of the run in order, with those of the messages concerned
/// marked by `>`.
fn timeline(plan: &FaultPlan, events: &[TimedEvent], result: &SeedResult) -> String {
    let mut text = format!("seed {}, {} gateways\n", plan.seed, plan.gateways);
    let violated_ids: BTreeSet<&str> =
        result.violations.iter().map(|violation| violation.id.as_str()).collect();
    for violation in &result.violations {
        let _ = writeln!(text, "violated: {:?}: {violation}", violation.kind);
    }
    let _ = writeln!(text, "crashes: {}", result.crashes);
    for (at, event) in events {
        if matches!(event, PlatformEvent::DiscoveryRequested { .. }) {
            continue;
        }
        let description = match event {
            PlatformEvent::RequestReceived { id, endpoint, .. } => format!("request {id} at {endpoint}"),
            other => format!("{other:?}"),
        };
        let is_marked = violated_ids.iter().any(|id| {
            description.contains(&format!("\"{id}\"")) || description.contains(&format!("request {id} "))
        });
        let mark = if is_marked { ">" } else { " " };
        let _ = writeln!(text, "{mark}{:9.4} {description}", at.as_secs_f64());
    }
    text
}
