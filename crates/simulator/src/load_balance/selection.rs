//! Published algorithms for endpoint selection, which baseline clients use.

use super::partners::LoadReport;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Algorithm for endpoint selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointSelection {
    /// Uniform random choice.
    Random,
    /// Round robin. All instances start at the same endpoint.
    RoundRobin,
    /// Fewest own requests in flight. Ties go to the endpoint listed first, so idle instances all pick the same one.
    LeastInFlight,
    /// Power of two choices: the one of two random endpoints with fewer own requests in flight.
    TwoChoices,
    /// Fewest requests in flight according to the last load report.
    LeastReported,
    /// Round robin within a deterministic subset of two endpoints. The instances of a round split one shuffled list.
    Subsets,
    /// Power of two choices within two neighbouring endpoints of a ring, at a position that depends on the instance.
    Ring,
    /// Weighted random choice. The weight is served requests per second over requests in flight, as last reported.
    WeightedByReports,
    /// Choice from a pool of recent probe responses: the lowest latency among endpoints that are not hot (few requests
    /// in flight), or the fewest requests in flight if all are hot.
    Probed,
}

impl EndpointSelection {
    /// All algorithms, in the order of declaration.
    pub const ALL: [EndpointSelection; 9] = [
        EndpointSelection::Random,
        EndpointSelection::RoundRobin,
        EndpointSelection::LeastInFlight,
        EndpointSelection::TwoChoices,
        EndpointSelection::LeastReported,
        EndpointSelection::Subsets,
        EndpointSelection::Ring,
        EndpointSelection::WeightedByReports,
        EndpointSelection::Probed,
    ];

    /// The name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            EndpointSelection::Random => "random",
            EndpointSelection::RoundRobin => "round-robin",
            EndpointSelection::LeastInFlight => "least-out",
            EndpointSelection::TwoChoices => "two-choices",
            EndpointSelection::LeastReported => "least-reported",
            EndpointSelection::Subsets => "subsets",
            EndpointSelection::Ring => "ring",
            EndpointSelection::WeightedByReports => "weighted-by-reports",
            EndpointSelection::Probed => "probed",
        }
    }
}

/// Number of endpoints in a subset or a ring slice.
const SUBSET_SIZE: usize = 2;
/// Most probe responses in the pool.
const MAX_PROBE_RESPONSES: usize = 16;
/// Age at which a probe response is discarded.
const MAX_PROBE_AGE: Duration = Duration::from_secs(1);
/// Endpoints whose requests in flight reach this quantile of the pool are hot.
const HOT_QUANTILE: f64 = 0.8;
/// Lower bound of the requests in flight in a weight; avoids division by zero for idle endpoints.
const MIN_IN_FLIGHT: f64 = 0.5;

/// What a client knows of an endpoint.
#[derive(Default)]
pub(super) struct EndpointState {
    /// Own requests in flight.
    pub(super) in_flight: u32,
    /// The last load report.
    pub(super) load: LoadReport,
    /// Moving average of the latency, in seconds.
    pub(super) latency: f64,
}

/// A response to a probe. `latency` is the average of the client, in seconds.
struct ProbeResponse {
    endpoint: usize,
    in_flight: f64,
    latency: f64,
    received_at: Duration,
}

/// Recent probe responses, the oldest first.
#[derive(Default)]
pub(super) struct ProbePool(VecDeque<ProbeResponse>);

impl ProbePool {
    /// Adds a response; if the pool is full, the oldest one is dropped. The latency is in seconds.
    pub(super) fn add(&mut self, received_at: Duration, endpoint: usize, in_flight: f64, latency: f64) {
        self.0.push_back(ProbeResponse { endpoint, in_flight, latency, received_at });
        if self.0.len() > MAX_PROBE_RESPONSES {
            self.0.pop_front();
        }
    }

    /// The endpoint with the lowest latency among those that are not hot, or the one with the fewest requests in flight
    /// if all are hot. Removes the response that it used; `None` if the pool has no recent response of `endpoints`.
    pub(super) fn choose(&mut self, now: Duration, endpoints: &[usize]) -> Option<usize> {
        self.0.retain(|response| now.saturating_sub(response.received_at) < MAX_PROBE_AGE);
        let mut candidates: Vec<&ProbeResponse> =
            self.0.iter().filter(|response| endpoints.contains(&response.endpoint)).collect();
        candidates.sort_by(|a, b| a.in_flight.total_cmp(&b.in_flight));
        let quantile = (candidates.len() as f64 * HOT_QUANTILE) as usize;
        let hot_threshold = candidates.get(quantile.min(candidates.len().saturating_sub(1)));
        let hot_threshold = hot_threshold.map_or(f64::INFINITY, |response| response.in_flight);
        let not_hot = candidates.iter().filter(|response| response.in_flight < hot_threshold);
        let fastest = not_hot.min_by(|a, b| a.latency.total_cmp(&b.latency));
        let endpoint = fastest.or(candidates.first()).map(|response| response.endpoint)?;
        if let Some(used) = self.0.iter().position(|response| response.endpoint == endpoint) {
            self.0.remove(used);
        }
        Some(endpoint)
    }
}

/// The index of the selecting instance and the number of all instances.
#[derive(Clone, Copy)]
pub(super) struct InstancePosition {
    pub(super) index: usize,
    pub(super) count: usize,
}

/// One selection among the endpoints of a partner. `endpoints` must not be empty.
pub(super) struct Selection<'a> {
    pub(super) rng: &'a mut ChaCha8Rng,
    pub(super) endpoints: &'a [usize],
    pub(super) states: &'a BTreeMap<usize, EndpointState>,
    /// Round-robin position at this partner.
    pub(super) position: &'a mut usize,
    pub(super) instance: InstancePosition,
}

impl Selection<'_> {
    fn in_flight(&self, endpoint: usize) -> u32 {
        self.states.get(&endpoint).map_or(0, |state| state.in_flight)
    }

    fn load(&self, endpoint: usize) -> LoadReport {
        self.states.get(&endpoint).map_or(LoadReport::default(), |state| state.load)
    }

    /// Uniform random choice among all endpoints.
    pub(super) fn random(&mut self) -> usize {
        self.endpoints[self.rng.random_range(0..self.endpoints.len())]
    }

    /// Round robin among these endpoints; advances the position.
    pub(super) fn round_robin(&mut self, among: &[usize]) -> usize {
        *self.position += 1;
        among[(*self.position - 1) % among.len()]
    }

    /// The endpoint with the fewest own requests in flight; ties go to the one listed first.
    pub(super) fn least_in_flight(&self) -> Option<usize> {
        self.endpoints.iter().copied().min_by_key(|endpoint| self.in_flight(*endpoint))
    }

    /// Power of two choices among these endpoints, by own requests in flight. May draw the same endpoint twice.
    pub(super) fn two_choices(&mut self, among: &[usize]) -> usize {
        let first = among[self.rng.random_range(0..among.len())];
        let second = among[self.rng.random_range(0..among.len())];
        if self.in_flight(second) < self.in_flight(first) {
            second
        } else {
            first
        }
    }

    /// The endpoint with the fewest requests in flight according to its last load report; ties are broken at random.
    pub(super) fn least_reported(&mut self) -> usize {
        let reported = |endpoint: usize| self.load(endpoint).in_flight;
        let least = self.endpoints.iter().map(|endpoint| reported(*endpoint)).fold(f64::INFINITY, f64::min);
        let tied: Vec<usize> =
            self.endpoints.iter().copied().filter(|endpoint| reported(*endpoint) <= least).collect();
        tied[self.rng.random_range(0..tied.len())]
    }

    /// The deterministic subset of this instance. Consecutive instances form a round that splits all endpoints among
    /// its members; the order of the endpoints is shuffled with the number of the round as seed.
    pub(super) fn subset(&self) -> Vec<usize> {
        let subsets_per_round = (self.endpoints.len() / SUBSET_SIZE).max(1);
        let (round, subset) =
            (self.instance.index / subsets_per_round, self.instance.index % subsets_per_round);
        let mut order = self.endpoints.to_vec();
        order.shuffle(&mut ChaCha8Rng::seed_from_u64(round as u64));
        order.into_iter().skip(subset * SUBSET_SIZE).take(SUBSET_SIZE).collect()
    }

    /// The neighbouring endpoints of the ring at the position of this instance.
    pub(super) fn ring_slice(&self) -> Vec<usize> {
        let count = self.endpoints.len();
        let start = self.instance.index * count / self.instance.count.max(1);
        (0..SUBSET_SIZE.min(count)).map(|offset| self.endpoints[(start + offset) % count]).collect()
    }

    /// Weighted random choice by requests served over requests in flight, as last reported. An endpoint without a
    /// report gets the mean weight of the others.
    pub(super) fn weighted_by_reports(&mut self) -> usize {
        let weight = |endpoint: &usize| {
            let load = self.load(*endpoint);
            (load.served_per_second > 0.0)
                .then(|| load.served_per_second / load.in_flight.max(MIN_IN_FLIGHT))
                .filter(|w| w.is_finite())
        };
        let reported: Vec<f64> = self.endpoints.iter().filter_map(weight).collect();
        let mean =
            if reported.is_empty() { 1.0 } else { reported.iter().sum::<f64>() / reported.len() as f64 };
        let weights: Vec<f64> =
            self.endpoints.iter().map(|endpoint| weight(endpoint).unwrap_or(mean)).collect();
        let mut remaining = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        let drawn = self.endpoints.iter().zip(&weights).find(|(_, weight)| {
            remaining -= **weight;
            remaining <= 0.0
        });
        drawn.map_or(self.endpoints[self.endpoints.len() - 1], |(endpoint, _)| *endpoint)
    }
}
