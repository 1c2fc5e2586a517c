//! Faults of partners, endpoints, reports and gateways: their beginning and their end.

use super::{Event, News, Simulation, NEWS};
use crate::load_balance::partners::EndpointFault;
use crate::load_balance::scenario::LoadBalanceFault;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn apply_fault(&mut self, place: usize, begins: bool) {
        let Some(spec) = self.scene.faults.values().nth(place) else { return };
        let Some(kind) = spec.fault_kind() else { return };
        let affected_partners = self.scene.affected_partners(spec);
        let part = |simulation: &Self, partner: &usize| simulation.sites.part(*partner, spec.size);
        let wrong = match kind {
            LoadBalanceFault::Errors => Some(EndpointFault::Errors),
            LoadBalanceFault::Silent => Some(EndpointFault::Silent),
            LoadBalanceFault::Slow => Some(EndpointFault::Slow),
            _ => None,
        };
        if let Some(wrong) = wrong {
            let endpoints: Vec<usize> =
                affected_partners.iter().flat_map(|partner| part(self, partner)).collect();
            for endpoint in endpoints {
                self.sites.wrong(self.now, endpoint, wrong, begins);
                if wrong == EndpointFault::Silent && !begins {
                    self.returned.push(endpoint);
                }
            }
            return;
        }
        match kind {
            LoadBalanceFault::Burst => {
                self.traffic.multiply(&affected_partners, if begins { spec.size } else { 1.0 })
            }
            LoadBalanceFault::Limit => {
                for partner in affected_partners {
                    let factor = if begins { spec.size } else { 1.0 };
                    self.sites.partners[partner].multiply_limits(self.now, factor);
                    self.note_limit(partner);
                }
                self.spread_news(NEWS);
            }
            LoadBalanceFault::Still => self.sites.freeze_reports(begins),
            LoadBalanceFault::SlowFor => {
                let count = (self.gateways.len() as f64 * spec.size) as usize;
                self.far = begins.then_some(count);
            }
            LoadBalanceFault::Replace if begins => {
                let old: Vec<usize> =
                    affected_partners.iter().flat_map(|partner| part(self, partner)).collect();
                for gone in old {
                    let (partner, pace) =
                        (self.sites.endpoints[gone].partner, self.sites.endpoints[gone].pace);
                    let mut rng = ChaCha8Rng::seed_from_u64(self.rng.random());
                    let added = self.sites.add(self.scene, partner, pace, self.now, &mut rng);
                    self.note_endpoint(added);
                    self.news.push(News { gone, at: self.now });
                }
                self.spread_news(Duration::from_secs_f64(spec.lasts));
            }
            LoadBalanceFault::Replace => {
                // All have heard of it: what was replaced goes.
                for News { gone, at } in self.news.clone() {
                    if at + Duration::from_secs_f64(spec.lasts) <= self.now {
                        let until = self.now;
                        self.sites.endpoints[gone].gone = true;
                        self.sites.endpoints[gone].until = until;
                        self.run.record.endpoints[gone].until = until;
                    }
                }
            }
            LoadBalanceFault::Restart if begins => {
                let count = (self.gateways.len() as f64 * spec.size) as u32;
                (0..count).for_each(|instance| self.lose(instance));
            }
            _ => {}
        }
    }

    /// Each instance hears of the list as it is now within so long.
    fn spread_news(&mut self, within: Duration) {
        for instance in 0..self.gateways.len() as u32 {
            let at = self.now + within.mul_f64(self.rng.random::<f64>());
            self.schedule(at, Event::Hear { instance });
        }
    }
}
