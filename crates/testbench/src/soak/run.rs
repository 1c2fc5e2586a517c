//! One seed: its gateways, clients and faults, and what was broken.

use super::client_kinds::{ClientLoop, CLIENTS};
use super::config::REPEAT_WINDOW;
use super::gateways::{destinations, Gateway};
use super::plan::{EndpointFault, Fault, FaultPlan, PlannedFault};
use cloverstile_fakes::platform::{
    find_violations, EndpointBehaviour, InvariantRules, Platform, PlatformEvent, TimedEvent, Violation,
};
use cloverstile_fault_injection::Rule;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use std::{fs, io};

/// What the platform allows: 300 ms for an end, 50 ms for each limit, and a hold-up of 0.15 s.
const OUTCOME_SLACK: Duration = Duration::from_millis(500);
const RESTART_GRACE: Duration = Duration::from_millis(1500);
const WINDOW_SLACK: Duration = Duration::from_millis(50);
const GIVEN_UP_SHARE: f64 = 0.7;
/// How long behind the load the ends of all messages are waited for: longer than any message has.
const END_TIMEOUT: Duration = Duration::from_secs(8);
/// A rejection with a wait, in seconds.
const REJECTION: &[u8] = b"HTTP/1.1 429 Wait\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n";
/// Places of a control for faults of calls; the others are those of restarts.
const CALL_PLACES: usize = 13;

/// How runs are played.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The program, which takes `node --log FILTER`.
    pub program: PathBuf,
    /// Filter of the gateways' logs.
    pub log: String,
    /// Whether faults are played; without them a run shows what its load costs.
    pub with_faults: bool,
    /// Where the folders of runs lie; those of runs on which something was broken stay.
    pub directory: PathBuf,
}

impl RunOptions {
    /// The folder of a seed's run.
    pub fn folder(&self, seed: u64) -> PathBuf {
        self.directory.join(format!("seed-{seed}"))
    }
}

/// What a seed came to.
#[derive(Debug)]
pub struct SeedResult {
    /// The seed.
    pub seed: u64,
    /// Messages submitted.
    pub messages: u64,
    /// Kind of each fault.
    pub fault_kinds: Vec<String>,
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
    let plan = FaultPlan::new(seed, destinations().len());
    let plan = if options.with_faults { plan } else { plan.without_faults() };
    let platform = Platform::start(destinations())?;
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
        given_up_share: GIVEN_UP_SHARE,
    };
    let events = platform.events();
    let result = SeedResult {
        seed,
        messages,
        fault_kinds: plan.faults.iter().map(|planned| planned.fault.kind()).collect(),
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
            // Faults of one gateway follow one another; those of others go on beside them.
            let faults = (0..self.gateways.len()).map(|number| {
                scope.spawn(move || self.play_faults(started, |planned| planned.gateway == number))
            });
            let results: Vec<_> = faults.collect();
            let failed = results.into_iter().filter_map(|thread| thread.join().ok()?.err()).next();
            std::thread::sleep(self.plan.load.saturating_sub(started.elapsed()));
            stopped.store(true, Ordering::Relaxed);
            failed.map_or(Ok(()), Err)
        })?;
        Ok(messages.load(Ordering::Relaxed))
    }

    fn play_faults(&self, started: Instant, is_mine: impl Fn(&PlannedFault) -> bool) -> io::Result<()> {
        for (place, planned) in self.plan.faults.iter().filter(|planned| is_mine(planned)).enumerate() {
            std::thread::sleep(planned.at.saturating_sub(started.elapsed()));
            self.describe(planned);
            self.apply(planned, place % CALL_PLACES)?;
        }
        Ok(())
    }

    fn describe(&self, planned: &PlannedFault) {
        let gateway = (!matches!(planned.fault, Fault::Endpoint { .. })).then_some(planned.gateway);
        let description = planned.fault.to_string();
        self.platform.record(PlatformEvent::Fault { gateway, description });
    }

    fn apply(&self, planned: &PlannedFault, place: usize) -> io::Result<()> {
        let gateway = &self.gateways[planned.gateway];
        match planned.fault {
            Fault::WallClock { ahead, offset } => gateway.faults.set_wall_clock(ahead, offset),
            Fault::Calls { call, effect, count, lasts } => {
                gateway.faults.set_rule(place, &Rule { count, ..Rule::always(call, effect) })?;
                std::thread::sleep(lasts);
                gateway.faults.clear_rule(place)
            }
            Fault::HoldUp(time) => {
                gateway.hold_up(time);
                Ok(())
            }
            Fault::Restart(restart) => gateway.restart(restart),
            Fault::Endpoint { endpoint, fault, lasts } => {
                self.fail_endpoint(endpoint, fault);
                std::thread::sleep(lasts);
                self.heal_endpoint(endpoint);
                Ok(())
            }
        }
    }

    fn fail_endpoint(&self, endpoint: usize, fault: EndpointFault) {
        let behaviour = match fault {
            EndpointFault::Hangs => EndpointBehaviour::Silent,
            EndpointFault::Disconnects => EndpointBehaviour::Disconnect,
            EndpointFault::Rejects => EndpointBehaviour::Respond(REJECTION.to_vec()),
            EndpointFault::Drains => return self.platform.set_lifecycle(endpoint, "DRAINING"),
        };
        self.platform.set_behaviour(endpoint, behaviour);
    }

    fn heal_endpoint(&self, endpoint: usize) {
        self.platform.set_behaviour(endpoint, EndpointBehaviour::Deliver(Duration::from_millis(2)));
        self.platform.set_lifecycle(endpoint, "SERVING");
    }

    /// Ends all faults, waits for the ends of all messages, and ends the gateways.
    fn finish(&self) -> io::Result<()> {
        (0..destinations().len()).for_each(|endpoint| self.heal_endpoint(endpoint));
        for gateway in self.gateways {
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

fn all_have_ended(events: &[TimedEvent]) -> bool {
    let mut open = BTreeSet::new();
    for (_, event) in events {
        if let PlatformEvent::Accepted { id, .. } = event {
            open.insert(id.as_str());
        }
    }
    for (_, event) in events {
        if let PlatformEvent::Delivered { id } | PlatformEvent::Notification { id, .. } = event {
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
