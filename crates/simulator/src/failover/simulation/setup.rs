//! Setup of a run: builds destinations and sites, schedules faults and creates the engines of gateway instances.

use super::{time, Event, ScheduledFault, Simulation, Site, SiteEndpoint};
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
        let destination_count: usize =
            scenario.destinations.values().map(|destination| destination.copies).sum();
        let mut next_lower_tier_id = destination_count;
        let mut zones: HashMap<String, ZoneId> = HashMap::new();
        for (destination_name, destination) in &scenario.destinations {
            let mut tiers: Vec<(&String, &SiteSpec)> = destination.sites.iter().collect();
            tiers.sort_by_key(|(_, site)| site.tier);
            for _ in 0..destination.copies {
                let number = self.destinations.len();
                let lower_tier_ids: Vec<usize> =
                    (next_lower_tier_id..next_lower_tier_id + tiers.len() - 1).collect();
                next_lower_tier_id += lower_tier_ids.len();
                let destinations: Vec<DestinationId> = std::iter::once(number)
                    .chain(lower_tier_ids)
                    .map(|id| DestinationId(id as u16))
                    .collect();
                let mut sites = Vec::new();
                for (name, site) in &tiers {
                    let zone = site.zone.clone().unwrap_or_else(|| format!("{destination_name}/{name}"));
                    let new_zone = ZoneId(zones.len() as u8);
                    let zone = *zones.entry(zone).or_insert(new_zone);
                    let profile = scenario.server_profile(site);
                    let rate = profile.rate();
                    let id = self.sites.len() as u32;
                    let model = PartnerModel::new(profile, ChaCha8Rng::seed_from_u64(rng.random()));
                    self.sites.push(Site {
                        destination: number as u32,
                        tier: site.tier,
                        zone,
                        rate,
                        model,
                        recovered_at: None,
                        recoveries: 0,
                        received: Vec::new(),
                    });
                    for _ in 0..site.endpoints {
                        self.endpoints.push(SiteEndpoint { site: id, down: false, draining_since: None });
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
        let mut next_index = 0;
        let mut index_ranges = HashMap::new();
        for (name, destination) in &self.scenario.destinations {
            index_ranges.insert(name, next_index..next_index + destination.copies);
            next_index += destination.copies;
        }
        for spec in self.scenario.faults.values() {
            let Some(kind) = spec.fault_kind() else { continue };
            let affected_destinations = spec
                .destination
                .as_ref()
                .and_then(|name| index_ranges.get(name).cloned())
                .unwrap_or(0..next_index);
            let sites = affected_destinations
                .filter_map(|destination| self.destinations[destination].0.get(spec.tier).copied())
                .collect();
            let index = self.scheduled_faults.len();
            self.scheduled_faults.push(ScheduledFault { spec: spec.clone(), kind, sites });
            let delay = spec.jitter * rng.random::<f64>();
            for occurrence in 0..spec.occurrences {
                let at = spec.at + delay + f64::from(occurrence) * spec.interval;
                self.schedule(Duration::from_secs_f64(at), Event::Fault { index, begins: true });
                let end = Duration::from_secs_f64(at + spec.duration);
                self.schedule(end, Event::Fault { index, begins: false });
            }
        }
    }

    pub(super) fn new_engine(&self, instance: usize, seed: u64) -> Engine {
        let cache_limits = ResultCacheLimits { max_results: 1000, retention: Duration::from_secs(2) };
        let engine = Engine::new(self.settings.clone(), cache_limits, seed);
        let multi_tier = || self.destinations.iter().filter(|(sites, _)| sites.len() > 1);
        let planner = |change: &dyn Fn(&mut TierConfig)| {
            let changed = multi_tier().map(|(_, tiers)| {
                let mut tiers = tiers.clone();
                change(&mut tiers);
                tiers
            });
            let (instances, index) = (self.settings.instance_count, instance as u32);
            let fleet = FleetParameters {
                instance_count: instances,
                instance_index: index,
                ..FleetParameters::for_rules(&self.settings.rules)
            };
            FailoverPlanner::new(time(self.now), fleet, changed.collect())
        };
        let mut engine = match self.policy {
            SpilloverPolicy::Planner => engine.with_failover_policy(planner(&|_| {})),
            SpilloverPolicy::SpillAll => engine.with_failover_policy(planner(&|tiers| {
                (tiers.spill_share, tiers.spill_rate, tiers.recovery_ramp) = (1.0, None, Duration::ZERO);
                tiers.capacities.clear();
            })),
            SpilloverPolicy::NoSpillover => engine.with_failover_policy(planner(&|tiers| {
                tiers.spill_share = 0.0;
                tiers.capacities.clear();
            })),
            SpilloverPolicy::HealthyShare => {
                let endpoints = |site: &u32| {
                    let of_site =
                        self.endpoints.iter().enumerate().filter(|(_, endpoint)| endpoint.site == *site);
                    of_site.map(|(id, _)| EndpointId(id as u32)).collect()
                };
                let destinations: Vec<_> = multi_tier()
                    .map(|(sites, tiers)| (tiers.clone(), sites.iter().map(endpoints).collect()))
                    .collect();
                let slow_start =
                    destinations.first().map_or(Duration::ZERO, |(tiers, _)| tiers.recovery_ramp);
                engine.with_failover_policy(HealthyShare::new(
                    self.health_checks.clone(),
                    slow_start,
                    destinations,
                ))
            }
        };
        engine.update_endpoints(time(self.now), self.endpoint_list());
        engine
    }

    /// Current endpoint list, the same for all instances.
    pub(super) fn endpoint_list(&self) -> Vec<Endpoint> {
        let entry = |(id, endpoint): (usize, &SiteEndpoint)| {
            let site = &self.sites[endpoint.site as usize];
            Endpoint {
                id: EndpointId(id as u32),
                zone: site.zone,
                kind: KindId(0),
                destination: self.destinations[site.destination as usize].1.destinations[site.tier],
                state: if endpoint.draining_since.is_some() {
                    EndpointState::Draining
                } else {
                    EndpointState::Ready
                },
                weight: site.rate,
            }
        };
        self.endpoints.iter().enumerate().map(entry).collect()
    }
}
