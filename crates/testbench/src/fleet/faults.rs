//! Applies the faults of a scenario to the fake endpoints, the traffic and the gateway processes.

use super::harness_state::HarnessState;
use super::timers::Timer;
use cloverstile_simulator::{EndpointFault, LoadBalanceFault};
use std::time::Duration;

/// Delay that a `slow-for` fault adds to responses of each partner's first endpoint to the affected gateways.
pub(super) const SLOW_PATH_DELAY: Duration = Duration::from_millis(500);
/// Each gateway receives a change of limits at a random time within this period.
const LIMIT_PROPAGATION: Duration = Duration::from_secs(2);
/// Delay after which a killed gateway is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(600);

impl HarnessState<'_> {
    /// Begins or ends a fault, given by its index among the scenario's faults.
    pub(super) fn apply_fault(&mut self, now: Duration, fault_index: usize, begins: bool) {
        let Some(fault) = self.scenario.faults.values().nth(fault_index) else { return };
        let Some(kind) = fault.fault_kind() else { return };
        let partners = self.scenario.affected_partners(fault);
        let endpoints: Vec<usize> = partners
            .iter()
            .flat_map(|partner| self.model.first_in_service(*partner, fault.magnitude))
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
            LoadBalanceFault::FrozenReports => self.model.freeze_reports(begins),
            LoadBalanceFault::SlowPath => {
                self.delayed_gateways = if begins { self.share_of_gateways(fault.magnitude) } else { 0 };
            }
            LoadBalanceFault::EndpointReplacement if begins => {
                self.begin_replacement(now, &endpoints, Duration::from_secs_f64(fault.duration));
            }
            LoadBalanceFault::EndpointReplacement => self.close_replaced_endpoints(now),
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
            self.model.set_fault(now, *endpoint, fault, begins);
        }
    }

    fn multiply_limits(&mut self, now: Duration, partners: &[usize], factor: f64) {
        for partner in partners {
            self.model.partners[*partner].set_limit_factor(now, factor);
            self.record_limit(now, *partner);
        }
        self.endpoint_list.on_weights_changed();
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

    /// Marks endpoints as draining and adds one new endpoint, which has to warm up, for each. Each gateway receives the
    /// new endpoint list at a random time within `duration`.
    fn begin_replacement(&mut self, now: Duration, endpoints: &[usize], duration: Duration) {
        let end = now + duration;
        for draining in endpoints.iter().copied() {
            let old = &self.model.endpoints[draining];
            let (partner, capacity_factor) = (old.partner, old.capacity_factor);
            let added = self.model.add_endpoint(self.scenario, partner, capacity_factor, now, &mut self.rng);
            if let Err(error) = self.open_endpoint(added) {
                self.failure = Some(error);
                return;
            }
            self.endpoint_list.drain(draining);
            self.model.endpoints[draining].in_service_until = end;
            self.tracker.run.record.endpoints[draining].until = end;
            self.tracker.on_drain(end, draining);
        }
        self.notify_watches(now, duration);
    }

    fn close_replaced_endpoints(&mut self, now: Duration) {
        for (endpoint, listener) in self.endpoint_listeners.iter_mut().enumerate() {
            if self.model.endpoints[endpoint].in_service_until <= now {
                if let Some(listener) = listener.take() {
                    self.net.stop_listening(listener);
                }
            }
        }
    }
}
