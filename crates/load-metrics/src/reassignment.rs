//! Baselines for comparison: the same calls at the same times, assigned to endpoints by another load balancer.

use crate::record::{Endpoint, LoadRecord};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Lower bound of an endpoint's weight, to prevent division by zero.
const MIN_WEIGHT: f64 = 1e-9;

/// Load balancer that assigns the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Balancer {
    /// A central balancer that sees all calls and assigns each to the endpoint with the fewest calls relative to its
    /// weight: the upper bound of balance.
    Central,
    /// Weighted random choice: the lower bound of balance.
    Random {
        /// Seed of the random choice.
        seed: u64,
    },
}

/// Reassigns the calls of a record to endpoints. Times, partners, instances and outcomes stay the same. A call at a
/// time when no endpoint of its partner is in service keeps its endpoint.
pub fn reassign(record: &LoadRecord, balancer: Balancer) -> LoadRecord {
    let partners = record.endpoints_by_partner();
    let mut assignment = Assignment::new(record, balancer);
    let mut calls = record.calls.clone();
    for call in &mut calls {
        let partner = record.endpoints[call.endpoint].partner;
        let candidates = in_service(&record.endpoints, &partners[partner], call.at);
        if let Some(endpoint) = assignment.choose(balancer, partner, &candidates) {
            call.endpoint = endpoint;
            assignment.assigned[endpoint] += 1.0;
        }
    }
    LoadRecord { calls, ..record.clone() }
}

/// Filters a partner's endpoints for those in service at this time.
fn in_service(endpoints: &[Endpoint], partner_endpoints: &[usize], at: Duration) -> Vec<usize> {
    partner_endpoints.iter().copied().filter(|index| endpoints[*index].in_service(at)).collect()
}

/// State of a reassignment.
struct Assignment<'a> {
    endpoints: &'a [Endpoint],
    /// Calls assigned to each endpoint. For the central balancer, a new endpoint starts at the level of the least
    /// loaded.
    assigned: Vec<f64>,
    /// Endpoints of each partner that have been candidates of the central balancer.
    known: Vec<Vec<usize>>,
    rng: ChaCha8Rng,
}

impl<'a> Assignment<'a> {
    fn new(record: &'a LoadRecord, balancer: Balancer) -> Self {
        let seed = match balancer {
            Balancer::Random { seed } => seed,
            Balancer::Central => 0,
        };
        Assignment {
            endpoints: &record.endpoints,
            assigned: vec![0.0; record.endpoints.len()],
            known: vec![Vec::new(); record.partners.len()],
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn weight(&self, endpoint: usize) -> f64 {
        self.endpoints[endpoint].weight.max(MIN_WEIGHT)
    }

    /// Selects the endpoint of the next call; `None` without a candidate.
    fn choose(&mut self, balancer: Balancer, partner: usize, candidates: &[usize]) -> Option<usize> {
        match balancer {
            _ if candidates.is_empty() => None,
            Balancer::Central => {
                self.initialize_new_endpoints(partner, candidates);
                self.least_loaded(candidates)
            }
            Balancer::Random { .. } => self.weighted_random(candidates),
        }
    }

    /// Sets the count of new endpoints to the lowest level of the known ones. From zero they would get all calls until
    /// they caught up.
    fn initialize_new_endpoints(&mut self, partner: usize, candidates: &[usize]) {
        let known = candidates.iter().filter(|endpoint| self.known[partner].contains(endpoint));
        let levels = known.map(|endpoint| self.assigned[*endpoint] / self.weight(*endpoint));
        let lowest = levels.fold(f64::INFINITY, f64::min);
        for endpoint in candidates.iter().copied() {
            if self.known[partner].contains(&endpoint) {
                continue;
            }
            self.assigned[endpoint] = if lowest.is_finite() { lowest * self.weight(endpoint) } else { 0.0 };
            self.known[partner].push(endpoint);
        }
    }

    fn least_loaded(&self, candidates: &[usize]) -> Option<usize> {
        let level_after_call = |endpoint: &usize| (self.assigned[*endpoint] + 1.0) / self.weight(*endpoint);
        candidates.iter().copied().min_by(|a, b| level_after_call(a).total_cmp(&level_after_call(b)))
    }

    fn weighted_random(&mut self, candidates: &[usize]) -> Option<usize> {
        let total = candidates.iter().map(|endpoint| self.weight(*endpoint)).sum::<f64>();
        let mut remaining = self.rng.random::<f64>() * total;
        let drawn = candidates.iter().copied().find(|endpoint| {
            remaining -= self.weight(*endpoint);
            remaining <= 0.0
        });
        drawn.or(candidates.last().copied())
    }
}
