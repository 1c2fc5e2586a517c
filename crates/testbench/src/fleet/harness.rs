//! Load harness of a fleet: the event loop that runs fake endpoints, fake service discovery and clients on sockets.

use super::discovery::parse_final_outcomes;
use super::endpoint_list::query_number;
use super::endpoints::Service;
use super::error::FleetError;
use super::gateway_config::GatewayConfig;
use super::harness_state::HarnessState;
use super::supervisor::ProcessSupervisor;
use super::timers::Timer;
use cloverstile_http::{encode_response, Headers, Message, StartLine};
use cloverstile_net::{ConnId, NetEvent};
use cloverstile_simulator::{LoadBalanceRun, LoadBalanceScenario};
use std::path::Path;
use std::time::{Duration, Instant};

/// The run ends this long after the latest possible deadline; messages without a final outcome are then lost.
const OUTCOME_GRACE: Duration = Duration::from_secs(2);
/// Interval at which the harness checks for gateways that exited unexpectedly.
const PROCESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// HTTP path of service discovery on which gateways report final outcomes.
const NOTICES_PATH: &str = "/v1/notices";

/// Runs a scenario in real time, with one process of `program node` per gateway.
///
/// # Errors
/// A socket, file or process operation fails, the scenario has too many gateways, a gateway isn't ready in time or
/// exits unexpectedly, or the run is interrupted.
pub fn run_fleet(
    scenario: &LoadBalanceScenario,
    program: &Path,
    seed: u64,
) -> Result<LoadBalanceRun, FleetError> {
    let mut state = HarnessState::new(scenario, seed)?;
    let discovery = state.listen()?;
    let endpoint_list = state.endpoint_list.to_json(&mut state.model);
    let config = GatewayConfig { scenario, discovery, endpoint_list: &endpoint_list, seed };
    state.supervisor = Some(ProcessSupervisor::start(program, &config)?);
    let mut harness = LoadHarness { state };
    harness.schedule_scenario();
    harness.run_until_complete()?;
    Ok(harness.finish())
}

struct LoadHarness<'a> {
    state: HarnessState<'a>,
}

impl LoadHarness<'_> {
    fn schedule_scenario(&mut self) {
        self.state.started = Instant::now();
        let timers = &mut self.state.timers;
        for (fault_index, fault) in self.state.scenario.faults.values().enumerate() {
            let begin = Duration::from_secs_f64(fault.at);
            timers.schedule(begin, Timer::Fault { fault_index, begins: true });
            let end = Duration::from_secs_f64(fault.at + fault.duration);
            timers.schedule(end, Timer::Fault { fault_index, begins: false });
        }
        timers.schedule(Duration::ZERO, Timer::NextSubmission);
        timers.schedule(PROCESS_CHECK_INTERVAL, Timer::CheckProcesses);
    }

    fn run_until_complete(&mut self) -> Result<(), FleetError> {
        let scenario = self.state.scenario;
        let last_submission = Duration::from_secs_f64(scenario.seconds);
        let longest_deadline = scenario.class.values().map(|class| class.deadline).fold(0.0, f64::max);
        let end = last_submission + Duration::from_secs_f64(longest_deadline) + OUTCOME_GRACE;
        loop {
            let now = self.state.started.elapsed();
            if let Some(error) = self.state.failure.take() {
                return Err(error);
            }
            if now > end || (now > last_submission && self.state.tracker.incomplete() == 0) {
                return Ok(());
            }
            while let Some(timer) = self.state.timers.pop_due(now) {
                self.on_timer(now, timer);
            }
            let wait = self.state.timers.until_next(now).unwrap_or(PROCESS_CHECK_INTERVAL);
            let wait = wait.min(PROCESS_CHECK_INTERVAL);
            let events = self.state.net.poll(Some(wait)).map_err(FleetError::io("event loop"))?;
            let now = self.state.started.elapsed();
            for event in events {
                self.on_event(now, event);
            }
        }
    }

    /// Shuts down the gateways and returns the record. If any doesn't exit successfully in time, that counts as one
    /// violation.
    fn finish(mut self) -> LoadBalanceRun {
        let now = self.state.started.elapsed();
        let clean = self.state.supervisor.as_mut().is_none_or(ProcessSupervisor::shut_down);
        if !clean {
            self.state.tracker.violations_mut().missing_or_late_outcomes += 1;
        }
        let mut run = self.state.tracker.finish(now);
        run.record.calls.sort_by_key(|call| call.at);
        run
    }

    fn on_timer(&mut self, now: Duration, timer: Timer) {
        match timer {
            Timer::NextSubmission => self.state.submit_next(now),
            Timer::RetrySubmission { message } => self.state.submit(now, message),
            Timer::Response { request } => self.state.respond(now, request),
            Timer::WatchResponse { connection, watch } => self.answer_watch(connection, watch),
            Timer::Fault { fault_index, begins } => self.state.apply_fault(now, fault_index, begins),
            Timer::StartGateway { gateway } => self.start_gateway(gateway),
            Timer::CheckProcesses => self.check_processes(now),
        }
    }

    fn start_gateway(&mut self, gateway: usize) {
        let started = self.state.supervisor.as_mut().map(|supervisor| supervisor.start_gateway(gateway));
        if let Some(Err(error)) = started {
            self.state.failure = Some(error);
        }
    }

    fn check_processes(&mut self, now: Duration) {
        if let Some(gateway) = self.state.supervisor.as_mut().and_then(ProcessSupervisor::find_exited) {
            self.state.failure = Some(FleetError::UnexpectedExit(gateway));
        }
        self.state.timers.schedule(now + PROCESS_CHECK_INTERVAL, Timer::CheckProcesses);
    }

    fn on_event(&mut self, now: Duration, event: NetEvent) {
        match event {
            NetEvent::Accepted { listener, conn } => {
                if let Service::Endpoint(_) = self.state.servers.on_accepted(listener, conn) {
                    self.state.tracker.run.record.connections += 1;
                }
            }
            NetEvent::Connected(connection) => self.state.on_client_connected(connection),
            NetEvent::Bytes(connection, bytes) => self.on_bytes(now, connection, &bytes),
            NetEvent::ConnectFailed(connection, _) | NetEvent::Closed { conn: connection, .. } => {
                self.on_closed(now, connection);
            }
            NetEvent::Signal(_) => self.state.failure = Some(FleetError::Interrupted),
            NetEvent::PeerHalfClosed(_) | NetEvent::Flushed(_) | NetEvent::Woken => {}
        }
    }

    fn on_bytes(&mut self, now: Duration, connection: ConnId, bytes: &[u8]) {
        if self.state.clients.contains(connection) {
            return self.state.on_client_bytes(now, connection, bytes);
        }
        let Some(decoded) = self.state.servers.on_bytes(now, connection, bytes) else { return };
        for message in decoded.messages {
            match decoded.service {
                Service::Endpoint(endpoint) => {
                    self.state.on_endpoint_request(now, connection, endpoint, &message);
                }
                Service::Discovery => self.on_discovery_request(now, connection, &message),
            }
        }
        if decoded.malformed {
            self.state.net.close(connection);
            self.on_closed(now, connection);
        }
    }

    fn on_closed(&mut self, now: Duration, connection: ConnId) {
        self.state.watches.on_closed(connection);
        if self.state.clients.contains(connection) {
            self.state.on_client_closed(now, connection);
        } else if let Some(request) = self.state.servers.on_closed(connection) {
            self.state.on_request_abandoned(now, request);
        }
    }

    fn on_discovery_request(&mut self, now: Duration, connection: ConnId, message: &Message) {
        let StartLine::Request { target, .. } = &message.start_line else { return };
        if target.starts_with(NOTICES_PATH) {
            self.on_final_outcomes(now, &message.body);
            let reply = encode_response(204, "No Content", &Headers::new(), b"");
            return self.state.net.send(connection, &reply);
        }
        let watch = self.state.watches.open(connection);
        let version = self.state.endpoint_list.version();
        let is_outdated = query_number(target, "after").is_none_or(|after| after < version);
        let wait = Duration::from_millis(query_number(target, "wait_ms").unwrap_or(0));
        if is_outdated || wait.is_zero() {
            self.answer_watch(connection, watch);
        } else {
            self.state.timers.schedule(now + wait, Timer::WatchResponse { connection, watch });
        }
    }

    fn on_final_outcomes(&mut self, now: Duration, body: &[u8]) {
        for (message, outcome) in parse_final_outcomes(body) {
            if self.state.tracker.message(message).is_some() {
                self.state.tracker.on_final_outcome(now, message, outcome);
            }
        }
    }

    /// Answers a watch with the current endpoint list, unless it was already answered or replaced.
    fn answer_watch(&mut self, connection: ConnId, watch: u64) {
        if self.state.watches.complete(connection, watch) {
            let list = self.state.endpoint_list.to_json(&mut self.state.model).to_string();
            let reply = encode_response(200, "OK", &Headers::new(), list.as_bytes());
            self.state.net.send(connection, &reply);
        }
    }
}
