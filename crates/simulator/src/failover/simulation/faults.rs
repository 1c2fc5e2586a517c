//! Start and end of faults of sites, endpoints and gateway instances, and the restart of crashed instances.

use super::{time, Event, ScheduledFault, Simulation, RESTART_DELAY};
use crate::failover::scenario::FailoverFault;
use cloverstile::EndpointId;
use rand::Rng;
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn apply_fault(&mut self, index: usize, begins: bool) {
        let ScheduledFault { spec, kind, sites } = &self.scheduled_faults[index];
        let (spec, kind, sites) = (spec.clone(), *kind, sites.clone());
        match kind {
            FailoverFault::Site(fault) => {
                for site in sites {
                    self.set_health(site, !begins || !fault.is_outage());
                    let site = &mut self.sites[site as usize];
                    if begins {
                        let until = self.now + Duration::from_secs_f64(spec.duration);
                        site.model.begin_fault(fault, until);
                    } else {
                        site.model.end_fault(self.now);
                        if fault.is_outage() {
                            site.close_windows(self.now, &mut self.run.windows);
                            site.recovered_at = Some(self.now);
                            site.recoveries += 1;
                        }
                    }
                }
            }
            FailoverFault::PartialOutage | FailoverFault::Drain => {
                for site in sites {
                    let of_site =
                        self.endpoints.iter_mut().enumerate().filter(|(_, endpoint)| endpoint.site == site);
                    for (id, endpoint) in of_site.take(spec.endpoints) {
                        match kind {
                            FailoverFault::PartialOutage => {
                                endpoint.down = begins;
                                self.health_checks.record(time(self.now), EndpointId(id as u32), !begins);
                            }
                            _ => endpoint.draining_since = begins.then_some(self.now),
                        }
                    }
                }
                if kind == FailoverFault::Drain {
                    let list = self.endpoint_list();
                    for instance in 0..self.gateways.len() {
                        self.gateways[instance].engine.update_endpoints(time(self.now), list.clone());
                        self.advance(instance as u32);
                    }
                }
            }
            FailoverFault::Restart if begins => {
                for instance in 0..spec.instances.min(self.gateways.len()) {
                    let gateway = &mut self.gateways[instance];
                    (gateway.down, gateway.timeout_at) = (true, None);
                    gateway.epoch += 1;
                    gateway.retry_after_until.clear();
                    let at = self.now + RESTART_DELAY;
                    self.schedule(at, Event::Restart { instance: instance as u32 });
                }
            }
            FailoverFault::Restart => {}
            FailoverFault::Burst => self.burst_factor = if begins { spec.magnitude } else { 1.0 },
        }
    }

    /// Sets the result of health checks of all endpoints of a site from now on.
    fn set_health(&self, site: u32, up: bool) {
        for (id, _) in self.endpoints.iter().enumerate().filter(|(_, endpoint)| endpoint.site == site) {
            self.health_checks.record(time(self.now), EndpointId(id as u32), up);
        }
    }

    /// Restarts a crashed instance without its state; its clients resubmit the messages that it had not completed.
    pub(super) fn restart(&mut self, instance: u32) {
        let seed = self.rng.random();
        let engine = self.new_engine(instance as usize, seed);
        let gateway = &mut self.gateways[instance as usize];
        (gateway.engine, gateway.down) = (engine, false);
        let mut unfinished: Vec<u32> = std::mem::take(&mut gateway.held_messages).into_values().collect();
        unfinished.retain(|number| self.run.messages[*number as usize].outcome.is_none());
        unfinished.sort_unstable();
        for number in unfinished {
            self.submit(instance, number, true);
        }
        self.advance(instance);
    }
}
