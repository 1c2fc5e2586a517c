//! Faults of a scenario, applied to the fake endpoints, the traffic and the gateway processes.

use super::harness_state::HarnessState;
use super::timers::Timer;
use cloverstile_simulator::{EndpointFault, LoadBalanceFault};
use std::time::Duration;

/// By so much later the first endpoint of each partner responds to the affected gateways of a `slow-for` fault.
pub(super) const SLOW_PATH_DELAY: Duration = Duration::from_millis(500);
/// A change of limits reaches each gateway within this time.
const LIMIT_PROPAGATION: Duration = Duration::from_secs(2);
/// A killed gateway is started again after this time.
const RESTART_DELAY: Duration = Duration::from_millis(600);

impl HarnessState<'_> {
    /// Begins or ends the fault at a position of the scenario.
    pub(super) fn apply_fault(&mut self, now: Duration, position: usize, begins: bool) {
        let Some(fault) = self.scenario.faults.values().nth(position) else { return };
        let Some(kind) = fault.fault_kind() else { return };
        let partners = self.scenario.affected_partners(fault);
        let endpoints: Vec<usize> =
            partners.iter().flat_map(|partner| self.sites.part(*partner, fault.size)).collect();
        match kind {
            LoadBalanceFault::Errors => self.fail_endpoints(now, &endpoints, EndpointFault::Errors, begins),
            LoadBalanceFault::Silent => self.fail_endpoints(now, &endpoints, EndpointFault::Silent, begins),
            LoadBalanceFault::Slow => self.fail_endpoints(now, &endpoints, EndpointFault::Slow, begins),
            LoadBalanceFault::Burst => {
                self.traffic.multiply(&partners, if begins { fault.size } else { 1.0 });
            }
            LoadBalanceFault::Limit => {
                self.multiply_limits(now, &partners, if begins { fault.size } else { 1.0 });
            }
            LoadBalanceFault::Still => self.sites.freeze_reports(begins),
            LoadBalanceFault::SlowFor => {
                self.delayed_gateways = if begins { self.share_of_gateways(fault.size) } else { 0 };
            }
            LoadBalanceFault::Replace if begins => {
                self.begin_replacement(now, &endpoints, Duration::from_secs_f64(fault.lasts));
            }
            LoadBalanceFault::Replace => self.shut_replaced_endpoints(now),
            LoadBalanceFault::Restart if begins => {
                self.kill_gateways(now, self.share_of_gateways(fault.size));
            }
            LoadBalanceFault::Restart => {}
        }
    }

    fn share_of_gateways(&self, share: f64) -> usize {
        (self.scenario.instances as f64 * share) as usize
    }

    fn fail_endpoints(&mut self, now: Duration, endpoints: &[usize], fault: EndpointFault, begins: bool) {
        for endpoint in endpoints {
            self.sites.wrong(now, *endpoint, fault, begins);
        }
    }

    fn multiply_limits(&mut self, now: Duration, partners: &[usize], factor: f64) {
        for partner in partners {
            self.sites.partners[*partner].multiply_limits(now, factor);
            self.record_limit(now, *partner);
        }
        self.endpoint_list.weights_changed();
        self.notify_watches(now, LIMIT_PROPAGATION);
    }

    fn kill_gateways(&mut self, now: Duration, count: usize) {
        for gateway in 0..count {
            if let Some(supervisor) = &mut self.supervisor {
                supervisor.kill(gateway);
            }
            self.tracker.on_gateway_killed(gateway);
            self.timers.schedule(now + RESTART_DELAY, Timer::StartGateway { gateway });
        }
    }

    /// Starts a cold endpoint for each that drains. Every gateway has heard of it after `duration`.
    fn begin_replacement(&mut self, now: Duration, endpoints: &[usize], duration: Duration) {
        let end = now + duration;
        for draining in endpoints.iter().copied() {
            let old = &self.sites.endpoints[draining];
            let (partner, pace) = (old.partner, old.pace);
            let added = self.sites.add(self.scenario, partner, pace, now, &mut self.rng);
            if let Err(error) = self.open_endpoint(added) {
                self.failure = Some(error);
                return;
            }
            self.endpoint_list.drain(draining);
            self.sites.endpoints[draining].until = end;
            self.tracker.run.record.endpoints[draining].until = end;
            self.tracker.on_drain(end, draining);
        }
        self.notify_watches(now, duration);
    }

    fn shut_replaced_endpoints(&mut self, now: Duration) {
        for (endpoint, listener) in self.endpoint_listeners.iter_mut().enumerate() {
            if self.sites.endpoints[endpoint].until <= now {
                if let Some(listener) = listener.take() {
                    self.net.stop_listening(listener);
                }
            }
        }
    }
}
