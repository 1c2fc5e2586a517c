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
        let endpoints: Vec<usize> = partners
            .iter()
            .flat_map(|partner| self.sites.first_in_service(*partner, fault.magnitude))
            .collect();
        match kind {
            LoadBalanceFault::Errors => self.fail_endpoints(now, &endpoints, EndpointFault::Errors, begins),
            LoadBalanceFault::Silent => self.fail_endpoints(now, &endpoints, EndpointFault::Silent, begins),
            LoadBalanceFault::Slow => self.fail_endpoints(now, &endpoints, EndpointFault::Slow, begins),
            LoadBalanceFault::TrafficBurst => {
                self.traffic.set_factor(&partners, if begins { fault.magnitude } else { 1.0 });
            }
            LoadBalanceFault::LimitChange => {
                self.multiply_limits(now, &partners, if begins { fault.magnitude } else { 1.0 });
            }
            LoadBalanceFault::FrozenReports => self.sites.freeze_reports(begins),
            LoadBalanceFault::SlowPath => {
                self.delayed_gateways = if begins { self.share_of_gateways(fault.magnitude) } else { 0 };
            }
            LoadBalanceFault::EndpointReplacement if begins => {
                self.begin_replacement(now, &endpoints, Duration::from_secs_f64(fault.duration));
            }
            LoadBalanceFault::EndpointReplacement => self.shut_replaced_endpoints(now),
            LoadBalanceFault::InstanceRestart if begins => {
                self.kill_gateways(now, self.share_of_gateways(fault.magnitude));
            }
            LoadBalanceFault::InstanceRestart => {}
        }
    }

    fn share_of_gateways(&self, share: f64) -> usize {
        (self.scenario.instances as f64 * share) as usize
    }

    fn fail_endpoints(&mut self, now: Duration, endpoints: &[usize], fault: EndpointFault, begins: bool) {
        for endpoint in endpoints {
            self.sites.set_fault(now, *endpoint, fault, begins);
        }
    }

    fn multiply_limits(&mut self, now: Duration, partners: &[usize], factor: f64) {
        for partner in partners {
            self.sites.partners[*partner].set_limit_factor(now, factor);
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
            let (partner, pace) = (old.partner, old.capacity_factor);
            let added = self.sites.add_endpoint(self.scenario, partner, pace, now, &mut self.rng);
            if let Err(error) = self.open_endpoint(added) {
                self.failure = Some(error);
                return;
            }
            self.endpoint_list.drain(draining);
            self.sites.endpoints[draining].in_service_until = end;
            self.tracker.run.record.endpoints[draining].until = end;
            self.tracker.on_drain(end, draining);
        }
        self.notify_watches(now, duration);
    }

    fn shut_replaced_endpoints(&mut self, now: Duration) {
        for (endpoint, listener) in self.endpoint_listeners.iter_mut().enumerate() {
            if self.sites.endpoints[endpoint].in_service_until <= now {
                if let Some(listener) = listener.take() {
                    self.net.stop_listening(listener);
                }
            }
        }
    }
}
