//! One seed: its gateways, clients and faults, and what was broken.

use super::client_kinds::{ClientLoop, CLIENTS};
use super::config::{
    CAPACITY_OF_A_GATEWAY, COLD_SHARE, DRAIN_GRACE, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, REPEAT_WINDOW,
    SETTLE_TIME, WARM_UP_TIME,
};
use super::crowds::{crowd, take_cores};
use super::faults::{EndpointFault, Fault};
use super::gateways::{destinations, Gateway};
use super::options::RunOptions;
use super::plan::{FaultPlan, PlannedFault};
use super::signals::SignalSeries;
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

/// What the platform allows: 300 ms for an end, 50 ms for each limit, and a hold-up of 0.15 s.
const OUTCOME_SLACK: Duration = Duration::from_millis(500);
const HOLD_UP: Duration = Duration::from_millis(150);
const RESTART_GRACE: Duration = Duration::from_millis(1500);
const WINDOW_SLACK: Duration = Duration::from_millis(50);
const GIVEN_UP_SHARE: f64 = 0.7;
/// How long behind the load the ends of all messages are waited for: longer than any message has.
const END_TIMEOUT: Duration = Duration::from_secs(8);
/// A response that stops in its status line.
const HALF_STATUS_LINE: &[u8] = b"HTTP/1.1 200 O";
/// An outage at least this long is one that an endpoint recovers from.
const SHORTEST_OUTAGE: Duration = Duration::from_secs(1);
/// Places of a control for faults of calls; the others are those of restarts.
const CALL_PLACES: usize = 13;

/// What a seed came to.
#[derive(Debug)]
pub struct SeedResult {
    /// The seed.
    pub seed: u64,
    /// Messages submitted.
    pub messages: u64,
    /// Kind of each fault.
    pub fault_kinds: Vec<&'static str>,
    /// Gateways.
    pub gateways: u64,
    /// Processes started.
    pub processes: u64,
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Processes that ended by themselves, were not ready in time or did not end when told to.
    pub crashes: u64,
    /// Processor time of the gateways' last processes, in seconds.
    pub cpu_seconds: f64,
}

impl SeedResult {
    /// Whether anything was broken.
    pub fn is_broken(&self) -> bool {
        !self.violations.is_empty() || self.crashes > 0
    }
}

/// Plays a seed.
///
/// # Errors
/// Files, sockets or processes of the testbench itself fail.
pub fn play_seed(seed: u64, options: &RunOptions) -> io::Result<SeedResult> {
    let plan = FaultPlan::new(seed, options.profile, destinations().len());
    let plan = if options.with_faults { plan } else { plan.without_faults() };
    let platform = Platform::start_with_gateways(destinations(), plan.gateways)?;
    let capacity = CAPACITY_OF_A_GATEWAY * plan.gateways as f64;
    platform.set_weight(capacity);
    let gateways: Vec<Gateway> = (0..plan.gateways)
        .map(|number| Gateway::new(number, plan.gateways, seed, &platform, options))
        .collect::<io::Result<_>>()?;
    gateways.iter().try_for_each(Gateway::start)?;
    let run = Run { plan: &plan, platform: &platform, gateways: &gateways };
    let messages = run.play()?;
    let cpu_seconds = gateways.iter().map(Gateway::cpu_seconds).sum();
    run.finish()?;
    let rules = InvariantRules {
        repeat_window: REPEAT_WINDOW + WINDOW_SLACK,
        outcome_slack: OUTCOME_SLACK,
        restart_grace: RESTART_GRACE,
        min_give_up_share: GIVEN_UP_SHARE,
        settle_time: SETTLE_TIME,
        drain_grace: DRAIN_GRACE + HOLD_UP,
        slow_start: Some(SlowStartRule {
            capacity,
            initial_capacity_share: COLD_SHARE,
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
    };
    let folder = options.folder(seed);
    if result.is_broken() {
        fs::write(folder.join("timeline.txt"), timeline(&plan, &events, &result))?;
    } else {
        fs::remove_dir_all(&folder)?;
    }
    Ok(result)
}

struct Run<'a> {
    plan: &'a FaultPlan,
    platform: &'a Platform,
    gateways: &'a [Gateway<'a>],
}

impl Run<'_> {
    /// Plays load and faults; returns the number of messages.
    fn play(&self) -> io::Result<u64> {
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
            let play = |(place, planned)| scope.spawn(move || self.play_fault(started, place, planned));
            let results: Vec<_> = faults.map(play).collect();
            let failed = results.into_iter().filter_map(|thread| thread.join().ok()?.err()).next();
            std::thread::sleep(self.plan.load.saturating_sub(started.elapsed()));
            stopped.store(true, Ordering::Relaxed);
            failed.map_or(Ok(()), Err)
        })?;
        Ok(messages.load(Ordering::Relaxed))
    }

    fn play_fault(&self, started: Instant, place: usize, planned: &PlannedFault) -> io::Result<()> {
        std::thread::sleep(planned.at.saturating_sub(started.elapsed()));
        self.describe(planned);
        self.apply(planned, place % CALL_PLACES)
    }

    fn describe(&self, planned: &PlannedFault) {
        let gateway = planned.fault.is_of_gateway().then_some(planned.gateway);
        let description = planned.fault.to_string();
        self.platform.record(PlatformEvent::Fault { gateway, description });
    }

    fn apply(&self, planned: &PlannedFault, place: usize) -> io::Result<()> {
        let gateway = &self.gateways[planned.gateway];
        match &planned.fault {
            Fault::WallClock { ahead, offset } => gateway.faults.set_wall_clock(*ahead, *offset),
            Fault::Calls { call, effect, count, lasts } => {
                let rule = Rule { count: *count, ..Rule::always(*call, *effect) };
                gateway.faults.set_rule(place, &rule)?;
                std::thread::sleep(*lasts);
                gateway.faults.clear_rule(place)
            }
            Fault::HoldUp(time) => {
                gateway.hold_up(*time);
                Ok(())
            }
            Fault::Restart(restart) => gateway.restart(*restart),
            Fault::Signals(rounds) => SignalSeries { gateway }.play(rounds),
            Fault::Reload => gateway.reload(true),
            Fault::Endpoint { endpoint, fault, lasts } => {
                let is_outage = fault.is_outage() && *lasts >= SHORTEST_OUTAGE;
                if is_outage {
                    self.platform.record(PlatformEvent::EndpointFailed { endpoint: *endpoint });
                }
                self.fail_endpoint(*endpoint, *fault);
                std::thread::sleep(*lasts);
                self.heal_endpoint(*endpoint);
                if is_outage {
                    self.platform.record(PlatformEvent::EndpointReturned { endpoint: *endpoint });
                }
                Ok(())
            }
            Fault::Agent { behaviour, lasts } => {
                gateway.agents().for_each(|agent| self.platform.set_agent_behaviour(agent, *behaviour));
                std::thread::sleep(*lasts);
                self.heal_agents(gateway);
                Ok(())
            }
            Fault::Crowd { crowd: kind, lasts } => {
                crowd(gateway, *kind, *lasts);
                Ok(())
            }
            Fault::BusyCores { threads, lasts } => {
                take_cores(*threads, *lasts);
                Ok(())
            }
        }
    }

    fn heal_agents(&self, gateway: &Gateway) {
        gateway.agents().for_each(|agent| self.platform.set_agent_behaviour(agent, AgentBehaviour::Prompt));
    }

    fn fail_endpoint(&self, endpoint: usize, fault: EndpointFault) {
        let behaviour = match fault {
            EndpointFault::Hangs => EndpointBehaviour::Silent,
            EndpointFault::Disconnects => EndpointBehaviour::Disconnect,
            EndpointFault::Resets(after) => EndpointBehaviour::Reset(after),
            EndpointFault::Rejects(wait) => EndpointBehaviour::Respond(rejection(wait)),
            EndpointFault::RespondsWith(status) => EndpointBehaviour::Respond(empty_response(status)),
            EndpointFault::StopsInStatusLine => EndpointBehaviour::Respond(HALF_STATUS_LINE.to_vec()),
            EndpointFault::RespondsLate(behind) => EndpointBehaviour::DeliverLate(behind),
            EndpointFault::ClosesIdle => EndpointBehaviour::DeliverAndClose,
            EndpointFault::AcceptsLate => return self.platform.set_accepting(endpoint, false),
            EndpointFault::Drains => return self.platform.set_lifecycle(endpoint, "DRAINING"),
        };
        self.platform.set_behaviour(endpoint, behaviour);
    }

    fn heal_endpoint(&self, endpoint: usize) {
        self.platform.set_behaviour(endpoint, EndpointBehaviour::Deliver(Duration::from_millis(2)));
        self.platform.set_lifecycle(endpoint, "SERVING");
        self.platform.set_accepting(endpoint, true);
    }

    /// Ends all faults, waits for the ends of all messages, and ends the gateways.
    fn finish(&self) -> io::Result<()> {
        (0..destinations().len()).for_each(|endpoint| self.heal_endpoint(endpoint));
        for gateway in self.gateways {
            self.heal_agents(gateway);
            gateway.clear_faults()?;
            gateway.revive()?;
        }
        self.platform.wait_until(END_TIMEOUT, all_have_ended);
        for gateway in self.gateways {
            self.platform
                .record(PlatformEvent::Fault { gateway: None, description: "end of the run".into() });
            if !gateway.shut_down() {
                gateway.revive()?;
            }
        }
        Ok(())
    }
}

/// A rejection that asks to wait.
fn rejection(wait: Duration) -> Vec<u8> {
    let seconds = wait.as_secs_f64();
    format!("HTTP/1.1 429 Wait\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

fn empty_response(status: u16) -> Vec<u8> {
    format!("HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

fn all_have_ended(events: &[TimedEvent]) -> bool {
    let mut open = BTreeSet::new();
    for (_, event) in events {
        if let PlatformEvent::Accepted { id, .. } = event {
            open.insert(id.as_str());
        }
    }
    for (_, event) in events {
        if let PlatformEvent::Delivered { id }
        | PlatformEvent::Released { id }
        | PlatformEvent::Notification { id, .. } = event
        {
            open.remove(id.as_str());
        }
    }
    open.is_empty()
}

/// The events of a run in order, those of the violated messages marked, behind what was violated.
fn timeline(plan: &FaultPlan, events: &[TimedEvent], result: &SeedResult) -> String {
    let mut text = format!("seed {}, {} gateways\n", plan.seed, plan.gateways);
    let broken: BTreeSet<&str> = result.violations.iter().map(|violation| violation.id.as_str()).collect();
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
        let is_marked = broken.iter().any(|id| {
            description.contains(&format!("\"{id}\"")) || description.contains(&format!("request {id} "))
        });
        let mark = if is_marked { ">" } else { " " };
        let _ = writeln!(text, "{mark}{:9.4} {description}", at.as_secs_f64());
    }
    text
}
