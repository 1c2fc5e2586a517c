//! Faults of partners, endpoints, reports and gateways: their beginning and their end.

use super::{EndpointRemoval, Event, Simulation, UPDATE_SPREAD};
use crate::load_balance::partners::EndpointFault;
use crate::load_balance::scenario::{LoadBalanceFault, LoadBalanceFaultSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

impl Simulation<'_> {
    /// Begins or ends the fault at this place of the scenario.
    pub(super) fn apply_fault(&mut self, place: usize, begins: bool) {
        let Some(spec) = self.scenario.faults.values().nth(place) else { return };
        let Some(kind) = spec.fault_kind() else { return };
        let partners = self.scenario.affected_partners(spec);
        let factor = if begins { spec.magnitude } else { 1.0 };
        match kind {
            LoadBalanceFault::Errors => self.set_endpoint_fault(spec, EndpointFault::Errors, begins),
            LoadBalanceFault::Silent => self.set_endpoint_fault(spec, EndpointFault::Silent, begins),
            LoadBalanceFault::Slow => self.set_endpoint_fault(spec, EndpointFault::Slow, begins),
            LoadBalanceFault::TrafficBurst => self.traffic.set_factor(&partners, factor),
            LoadBalanceFault::LimitChange => self.multiply_limits(&partners, factor),
            LoadBalanceFault::FrozenReports => self.sites.freeze_reports(begins),
            LoadBalanceFault::SlowPath => {
                let count = (self.gateways.len() as f64 * spec.magnitude) as usize;
                self.slow_for_instances = begins.then_some(count);
            }
            LoadBalanceFault::EndpointReplacement if begins => self.replace_endpoints(spec),
            LoadBalanceFault::EndpointReplacement => self.remove_replaced(spec),
            LoadBalanceFault::InstanceRestart if begins => {
                let count = (self.gateways.len() as f64 * spec.magnitude) as u32;
                (0..count).for_each(|instance| self.lose(instance));
            }
            LoadBalanceFault::InstanceRestart => {}
        }
    }

    /// The endpoints that a fault affects: its share of those of each affected partner.
    fn affected_endpoints(&self, spec: &LoadBalanceFaultSpec) -> Vec<usize> {
        let partners = self.scenario.affected_partners(spec);
        partners.iter().flat_map(|partner| self.sites.first_in_service(*partner, spec.magnitude)).collect()
    }

    fn set_endpoint_fault(&mut self, spec: &LoadBalanceFaultSpec, fault: EndpointFault, begins: bool) {
        for endpoint in self.affected_endpoints(spec) {
            self.sites.set_fault(self.now, endpoint, fault, begins);
            if fault == EndpointFault::Silent && !begins {
                self.returned.push(endpoint);
            }
        }
    }

    fn multiply_limits(&mut self, partners: &[usize], factor: f64) {
        for partner in partners.iter().copied() {
            self.sites.partners[partner].set_limit_factor(self.now, factor);
            self.note_limit(partner);
        }
        self.schedule_list_updates(UPDATE_SPREAD);
    }

    /// Adds a new endpoint for each affected one, and removes those from the endpoint list.
    fn replace_endpoints(&mut self, spec: &LoadBalanceFaultSpec) {
        for gone in self.affected_endpoints(spec) {
            let replaced = &self.sites.endpoints[gone];
            let (partner, pace) = (replaced.partner, replaced.capacity_factor);
            let mut rng = ChaCha8Rng::seed_from_u64(self.rng.random());
            let added = self.sites.add_endpoint(self.scenario, partner, pace, self.now, &mut rng);
            self.note_endpoint(added);
            self.removals.push(EndpointRemoval { gone, at: self.now });
        }
        self.schedule_list_updates(Duration::from_secs_f64(spec.duration));
    }

    /// Takes replaced endpoints out of service once all instances have received the update.
    fn remove_replaced(&mut self, spec: &LoadBalanceFaultSpec) {
        let until = self.now;
        for EndpointRemoval { gone, at } in self.removals.clone() {
            if at + Duration::from_secs_f64(spec.duration) <= self.now {
                self.sites.endpoints[gone].removed = true;
                self.sites.endpoints[gone].in_service_until = until;
                self.run.record.endpoints[gone].until = until;
            }
        }
    }

    /// Each instance receives the current endpoint list within so long.
    fn schedule_list_updates(&mut self, within: Duration) {
        for instance in 0..self.gateways.len() as u32 {
            let at = self.now + within.mul_f64(self.rng.random::<f64>());
            self.schedule(at, Event::ListUpdate { instance });
        }
    }
}
