//! Setup of a run: destinations, sites, faults and gateway instances.

use super::{time, Address, Event, ScheduledFault, Simulation, Site};
use crate::failover::scenario::SiteSpec;
use crate::failover::spillover_baseline::{HealthyShare, SpilloverPolicy};
use cloverstile::{DestinationId, Endpoint, EndpointId, EndpointState, KindId, ZoneId};
use cloverstile_engine::{Engine, ResultCacheLimits};
use cloverstile_failover::{FailoverPlanner, FleetParameters, TierConfig};
use cloverstile_fakes::model::PartnerModel;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn build_destinations(&mut self, rng: &mut ChaCha8Rng) {
        let scenario = self.scenario;
        let total: usize = scenario.destinations.values().map(|destination| destination.copies).sum();
        let mut next = total;
        let mut zones: HashMap<String, ZoneId> = HashMap::new();
        for (destination_name, destination) in &scenario.destinations {
            let mut tiers: Vec<(&String, &SiteSpec)> = destination.sites.iter().collect();
            tiers.sort_by_key(|(_, site)| site.tier);
            for _ in 0..destination.copies {
                let number = self.destinations.len();
                let further: Vec<usize> = (next..next + tiers.len() - 1).collect();
                next += further.len();
                let destinations: Vec<DestinationId> =
                    std::iter::once(number).chain(further).map(|id| DestinationId(id as u16)).collect();
                let mut sites = Vec::new();
                for (name, site) in &tiers {
                    let zone = site.zone.clone().unwrap_or_else(|| format!("{destination_name}/{name}"));
                    let next = ZoneId(zones.len() as u8);
                    let zone = *zones.entry(zone).or_insert(next);
                    let nature = scenario.server_profile(site);
                    let rate = nature.rate();
                    let id = self.sites.len() as u32;
                    let model = PartnerModel::new(nature, ChaCha8Rng::seed_from_u64(rng.random()));
                    self.sites.push(Site {
                        destination: number as u32,
                        tier: site.tier,
                        zone,
                        rate,
                        model,
                        returned: None,
                        returns: 0,
                        received: Vec::new(),
                    });
                    for _ in 0..site.endpoints {
                        self.addresses.push(Address { site: id, down: false, draining: None });
                    }
                    sites.push(id);
                }
                let instances = scenario.instances as f64;
                let rates = sites.iter().map(|site| self.sites[*site as usize].rate).collect();
                let tiers = TierConfig {
                    destinations,
                    zones: sites.iter().map(|site| self.sites[*site as usize].zone).collect(),
                    capacities: rates,
                    spill_share: destination.spill_share,
                    spill_rate: destination.spill_rate.map(|rate| rate / instances),
                    down_after: Duration::from_secs_f64(destination.down_after),
                    recovery_ramp: Duration::from_secs_f64(destination.recovery_ramp),
                };
                self.destinations.push((sites, tiers));
            }
        }
    }

    pub(super) fn schedule_faults(&mut self, rng: &mut ChaCha8Rng) {
        let mut first = 0;
        let mut ranges = HashMap::new();
        for (name, destination) in &self.scenario.destinations {
            ranges.insert(name, first..first + destination.copies);
            first += destination.copies;
        }
        for spec in self.scenario.faults.values() {
            let Some(act) = spec.fault_kind() else { continue };
            let affected_partners =
                spec.destination.as_ref().and_then(|name| ranges.get(name).cloned()).unwrap_or(0..first);
            let sites = affected_partners
                .filter_map(|destination| self.destinations[destination].0.get(spec.tier).copied())
                .collect();
            let place = self.scheduled_faults.len();
            self.scheduled_faults.push(ScheduledFault { spec: spec.clone(), act, sites });
            let sway = spec.jitter * rng.random::<f64>();
            for time in 0..spec.occurrences {
                let at = spec.at + sway + f64::from(time) * spec.interval;
                self.schedule(Duration::from_secs_f64(at), Event::Fault { place, begins: true });
                let end = Duration::from_secs_f64(at + spec.duration);
                self.schedule(end, Event::Fault { place, begins: false });
            }
        }
    }

    pub(super) fn engine(&self, instance: usize, seed: u64) -> Engine {
        let bounds = ResultCacheLimits { max_results: 1000, retention: Duration::from_secs(2) };
        let engine = Engine::new(self.settings.clone(), bounds, seed);
        let tiered = || self.destinations.iter().filter(|(sites, _)| sites.len() > 1);
        let with = |change: &dyn Fn(&mut TierConfig)| {
            let changed = tiered().map(|(_, tiers)| {
                let mut tiers = tiers.clone();
                change(&mut tiers);
                tiers
            });
            let (instances, place) = (self.settings.instance_count, instance as u32);
            let fleet = FleetParameters {
                instance_count: instances,
                instance_index: place,
                ..FleetParameters::for_rules(&self.settings.rules)
            };
            FailoverPlanner::new(time(self.now), fleet, changed.collect())
        };
        let mut engine = match self.policy {
            SpilloverPolicy::Planner => engine.with_failover_policy(with(&|_| {})),
            SpilloverPolicy::SpillAll => engine.with_failover_policy(with(&|tiers| {
                (tiers.spill_share, tiers.spill_rate, tiers.recovery_ramp) = (1.0, None, Duration::ZERO);
                tiers.capacities.clear();
            })),
            SpilloverPolicy::NoSpillover => engine.with_failover_policy(with(&|tiers| {
                tiers.spill_share = 0.0;
                tiers.capacities.clear();
            })),
            SpilloverPolicy::HealthyShare => {
                let addresses = |site: &u32| {
                    let of_site = self.addresses.iter().enumerate().filter(|(_, a)| a.site == *site);
                    of_site.map(|(id, _)| EndpointId(id as u32)).collect()
                };
                let destinations: Vec<_> = tiered()
                    .map(|(sites, tiers)| (tiers.clone(), sites.iter().map(addresses).collect()))
                    .collect();
                let slow_start =
                    destinations.first().map_or(Duration::ZERO, |(tiers, _)| tiers.recovery_ramp);
                engine.with_failover_policy(HealthyShare::new(self.checks.clone(), slow_start, destinations))
            }
        };
        engine.update_endpoints(time(self.now), self.list());
        engine
    }

    /// The endpoint list, as all instances receive it.
    pub(super) fn list(&self) -> Vec<Endpoint> {
        let entry = |(id, address): (usize, &Address)| {
            let site = &self.sites[address.site as usize];
            Endpoint {
                id: EndpointId(id as u32),
                zone: site.zone,
                kind: KindId(0),
                destination: self.destinations[site.destination as usize].1.destinations[site.tier],
                state: if address.draining.is_some() {
                    EndpointState::Draining
                } else {
                    EndpointState::Ready
                },
                weight: site.rate,
            }
        };
        self.addresses.iter().enumerate().map(entry).collect()
    }
}
