//! Start and end of the faults of partners, endpoints, load reports and gateway instances.

use super::{EndpointRemoval, Event, Simulation, MAX_UPDATE_DELAY};
use crate::load_balance::partners::EndpointFault;
use crate::load_balance::scenario::{LoadBalanceFault, LoadBalanceFaultSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

impl Simulation<'_> {
    /// Starts or ends the fault at this index of the scenario.
    pub(super) fn apply_fault(&mut self, index: usize, starts: bool) {
        let Some(spec) = self.scenario.faults.values().nth(index) else { return };
        let Some(kind) = spec.fault_kind() else { return };
        let partners = self.scenario.affected_partners(spec);
        let factor = if starts { spec.magnitude } else { 1.0 };
        match kind {
            LoadBalanceFault::Errors => self.set_endpoint_fault(spec, EndpointFault::Errors, starts),
            LoadBalanceFault::Silent => self.set_endpoint_fault(spec, EndpointFault::Silent, starts),
            LoadBalanceFault::Slow => self.set_endpoint_fault(spec, EndpointFault::Slow, starts),
            LoadBalanceFault::TrafficBurst => self.traffic.set_factor(&partners, factor),
            LoadBalanceFault::LimitChange => self.multiply_limits(&partners, factor),
            LoadBalanceFault::FrozenReports => self.partner_models.freeze_reports(starts),
            LoadBalanceFault::SlowPath => {
                let count = (self.gateways.len() as f64 * spec.magnitude) as usize;
                self.slow_instance_count = starts.then_some(count);
            }
            LoadBalanceFault::EndpointReplacement if starts => self.replace_endpoints(spec),
            LoadBalanceFault::EndpointReplacement => self.remove_replaced(spec),
            LoadBalanceFault::InstanceRestart if starts => {
                let count = (self.gateways.len() as f64 * spec.magnitude) as u32;
                (0..count).for_each(|instance| self.stop_instance(instance));
            }
            LoadBalanceFault::InstanceRestart => {}
        }
    }

    /// The endpoints that a fault affects: the share `magnitude` of the endpoints of each affected partner.
    fn affected_endpoints(&self, spec: &LoadBalanceFaultSpec) -> Vec<usize> {
        let partners = self.scenario.affected_partners(spec);
        partners
            .iter()
            .flat_map(|partner| self.partner_models.first_in_service(*partner, spec.magnitude))
            .collect()
    }

    fn set_endpoint_fault(&mut self, spec: &LoadBalanceFaultSpec, fault: EndpointFault, starts: bool) {
        for endpoint in self.affected_endpoints(spec) {
            self.partner_models.set_fault(self.now, endpoint, fault, starts);
            if fault == EndpointFault::Silent && !starts {
                self.recovered_endpoints.push(endpoint);
            }
        }
    }

    /// Multiplies the usual limits of partners, and passes the new limits to the instances with the endpoint list.
    fn multiply_limits(&mut self, partners: &[usize], factor: f64) {
        for partner in partners.iter().copied() {
            self.partner_models.partners[partner].set_limit_factor(self.now, factor);
            self.record_limit(partner);
        }
        self.schedule_list_updates(MAX_UPDATE_DELAY);
    }

    /// Adds a new endpoint for each affected one, and removes the affected ones from the endpoint list.
    fn replace_endpoints(&mut self, spec: &LoadBalanceFaultSpec) {
        for endpoint in self.affected_endpoints(spec) {
            let replaced = &self.partner_models.endpoints[endpoint];
            let (partner, capacity_factor) = (replaced.partner, replaced.capacity_factor);
            let mut rng = ChaCha8Rng::seed_from_u64(self.rng.random());
            let added =
                self.partner_models.add_endpoint(self.scenario, partner, capacity_factor, self.now, &mut rng);
            self.record_endpoint(added);
            self.removals.push(EndpointRemoval { endpoint, at: self.now });
        }
        self.schedule_list_updates(Duration::from_secs_f64(spec.duration));
    }

    /// Takes replaced endpoints out of service once all instances have received the update.
    fn remove_replaced(&mut self, spec: &LoadBalanceFaultSpec) {
        let until = self.now;
        for EndpointRemoval { endpoint, at } in self.removals.clone() {
            if at + Duration::from_secs_f64(spec.duration) <= self.now {
                self.partner_models.endpoints[endpoint].removed = true;
                self.partner_models.endpoints[endpoint].in_service_until = until;
                self.run.record.endpoints[endpoint].until = until;
            }
        }
    }

    /// Schedules the update of the endpoint list for each instance, after a random delay of at most `within`.
    fn schedule_list_updates(&mut self, within: Duration) {
        for instance in 0..self.gateways.len() as u32 {
            let at = self.now + within.mul_f64(self.rng.random::<f64>());
            self.schedule(at, Event::EndpointListUpdate { instance });
        }
    }
}
