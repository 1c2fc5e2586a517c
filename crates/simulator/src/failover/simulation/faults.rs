//! Faults of sites, endpoints and gateways: their beginning, their end and the restart of lost gateways.

use super::{time, Event, ScheduledFault, Simulation, RESTARTED_AFTER};
use crate::failover::scenario::FailoverFault;
use cloverstile::EndpointId;
use rand::Rng;
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn apply_fault(&mut self, place: usize, begins: bool) {
        let ScheduledFault { spec, act, sites } = &self.scheduled_faults[place];
        let (spec, act, sites) = (spec.clone(), *act, sites.clone());
        match act {
            FailoverFault::Site(fault) => {
                for site in sites {
                    self.check(site, !begins || !fault.is_outage());
                    let site = &mut self.sites[site as usize];
                    if begins {
                        let until = self.now + Duration::from_secs_f64(spec.duration);
                        site.model.begin_fault(fault, until);
                    } else {
                        site.model.end_fault(self.now);
                        if fault.is_outage() {
                            site.close_windows(self.now, &mut self.run.windows);
                            site.returned = Some(self.now);
                            site.returns += 1;
                        }
                    }
                }
            }
            FailoverFault::PartialOutage | FailoverFault::Drain => {
                for site in sites {
                    let of_site =
                        self.addresses.iter_mut().enumerate().filter(|(_, address)| address.site == site);
                    for (id, address) in of_site.take(spec.endpoints) {
                        match act {
                            FailoverFault::PartialOutage => {
                                address.down = begins;
                                self.checks.record(time(self.now), EndpointId(id as u32), !begins);
                            }
                            _ => address.draining = begins.then_some(self.now),
                        }
                    }
                }
                if act == FailoverFault::Drain {
                    let list = self.list();
                    for instance in 0..self.gateways.len() {
                        self.gateways[instance].engine.update_endpoints(time(self.now), list.clone());
                        self.advance(instance as u32);
                    }
                }
            }
            FailoverFault::Restart if begins => {
                for instance in 0..spec.instances.min(self.gateways.len()) {
                    let gateway = &mut self.gateways[instance];
                    (gateway.down, gateway.wake) = (true, None);
                    gateway.epoch += 1;
                    gateway.waits.clear();
                    let at = self.now + RESTARTED_AFTER;
                    self.schedule(at, Event::Restarted { instance: instance as u32 });
                }
            }
            FailoverFault::Restart => {}
            FailoverFault::Burst => self.burst = if begins { spec.magnitude } else { 1.0 },
        }
    }

    /// Sets what health checks of a site's addresses find from now on.
    fn check(&self, site: u32, up: bool) {
        for (id, _) in self.addresses.iter().enumerate().filter(|(_, address)| address.site == site) {
            self.checks.record(time(self.now), EndpointId(id as u32), up);
        }
    }

    /// Restarts a lost instance without its state; its clients resubmit the messages that it had not completed.
    pub(super) fn restarted(&mut self, instance: u32) {
        let seed = self.rng.random();
        let engine = self.engine(instance as usize, seed);
        let gateway = &mut self.gateways[instance as usize];
        (gateway.engine, gateway.down) = (engine, false);
        let mut held: Vec<u32> = std::mem::take(&mut gateway.held).into_values().collect();
        held.retain(|number| self.run.messages[*number as usize].outcome.is_none());
        held.sort_unstable();
        for number in held {
            self.submit(instance, number, true);
        }
        self.advance(instance);
    }
}
