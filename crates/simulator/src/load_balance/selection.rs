//! Published rules of endpoint selection.

use super::partners::LoadReport;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Rule of endpoint selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointSelection {
    /// Uniformly at random.
    Random,
    /// Round robin; all instances begin at the same endpoint.
    RoundRobin,
    /// Fewest own requests in flight, the first listed of equals.
    LeastInFlight,
    /// Power of two choices by own requests in flight.
    TwoChoices,
    /// Fewest requests in flight by the last load report.
    LeastReported,
    /// Round robin within a deterministic subset of two: each round of instances shares one shuffle.
    Subsets,
    /// Power of two choices within a slice of a ring, two endpoints wide, at a position by instance number.
    Ring,
    /// Weighted random by served requests over requests in flight, as last reported.
    WeightedByReports,
    /// Probing with a pool of recent responses: lowest latency of those not hot by requests in flight, else
    /// fewest in flight.
    Probed,
}

impl EndpointSelection {
    /// All of them.
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

    /// The name that command lines use.
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

/// Width of subsets and slices, in endpoints.
const SLICE: usize = 2;
/// Probe responses that are kept.
const POOL: usize = 16;
/// A probe response is used no longer than this.
const FRESH: Duration = Duration::from_secs(1);
/// Endpoints with requests in flight above this quantile of the pool are hot.
const HOT: f64 = 0.8;
/// Least requests in flight that weights are computed with.
const MIN_IN_FLIGHT: f64 = 0.5;

/// Client-side state of an endpoint.
#[derive(Default)]
pub(super) struct EndpointState {
    /// Own requests in flight.
    pub(super) in_flight: u32,
    /// The last load report.
    pub(super) load: LoadReport,
    /// Moving average of the latency, in seconds.
    pub(super) latency: f64,
}

/// A response to a probe.
struct ProbeResponse {
    endpoint: usize,
    in_flight: f64,
    latency: f64,
    at: Duration,
}

/// Recent probe responses.
#[derive(Default)]
pub(super) struct ProbePool(VecDeque<ProbeResponse>);

impl ProbePool {
    /// Adds a response, in place of the oldest where the pool is full. The latency is in seconds.
    pub(super) fn add(&mut self, at: Duration, endpoint: usize, in_flight: f64, latency: f64) {
        self.0.push_back(ProbeResponse { endpoint, in_flight, latency, at });
        if self.0.len() > POOL {
            self.0.pop_front();
        }
    }

    /// The endpoint with the lowest latency of those that are not hot, else the one with the fewest requests in flight.
    /// A response is used once.
    pub(super) fn choose(&mut self, now: Duration, endpoints: &[usize]) -> Option<usize> {
        self.0.retain(|response| now.saturating_sub(response.at) < FRESH);
        let mut candidates: Vec<&ProbeResponse> =
            self.0.iter().filter(|response| endpoints.contains(&response.endpoint)).collect();
        candidates.sort_by(|a, b| a.in_flight.total_cmp(&b.in_flight));
        let quantile = (candidates.len() as f64 * HOT) as usize;
        let hot = candidates.get(quantile.min(candidates.len().saturating_sub(1)));
        let hot = hot.map_or(f64::INFINITY, |response| response.in_flight);
        let cold = candidates.iter().filter(|response| response.in_flight < hot);
        let coldest = cold.min_by(|a, b| a.latency.total_cmp(&b.latency));
        let endpoint = coldest.or(candidates.first()).map(|response| response.endpoint)?;
        if let Some(used) = self.0.iter().position(|response| response.endpoint == endpoint) {
            self.0.remove(used);
        }
        Some(endpoint)
    }
}

/// The instance that selects, among all of them.
#[derive(Clone, Copy)]
pub(super) struct InstancePosition {
    pub(super) index: usize,
    pub(super) count: usize,
}

/// One selection among the endpoints of a partner; there is at least one.
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

    /// Uniformly at random.
    pub(super) fn random(&mut self) -> usize {
        self.endpoints[self.rng.random_range(0..self.endpoints.len())]
    }

    /// Round robin among these endpoints.
    pub(super) fn round_robin(&mut self, among: &[usize]) -> usize {
        *self.position += 1;
        among[(*self.position - 1) % among.len()]
    }

    /// Fewest own requests in flight; the first listed of equals.
    pub(super) fn least_in_flight(&self) -> Option<usize> {
        self.endpoints.iter().copied().min_by_key(|endpoint| self.in_flight(*endpoint))
    }

    /// Power of two choices among these endpoints.
    pub(super) fn two_choices(&mut self, among: &[usize]) -> usize {
        let first = among[self.rng.random_range(0..among.len())];
        let second = among[self.rng.random_range(0..among.len())];
        if self.in_flight(second) < self.in_flight(first) {
            second
        } else {
            first
        }
    }

    /// Fewest requests in flight by the last load report; a random one of equals.
    pub(super) fn least_reported(&mut self) -> usize {
        let reported = |endpoint: usize| self.load(endpoint).in_flight;
        let least = self.endpoints.iter().map(|endpoint| reported(*endpoint)).fold(f64::INFINITY, f64::min);
        let equal: Vec<usize> =
            self.endpoints.iter().copied().filter(|endpoint| reported(*endpoint) <= least).collect();
        equal[self.rng.random_range(0..equal.len())]
    }

    /// The deterministic subset of this instance: so many instances share out all endpoints, and each such round is
    /// shuffled by its number.
    pub(super) fn subset(&self) -> Vec<usize> {
        let parts = (self.endpoints.len() / SLICE).max(1);
        let (round, part) = (self.instance.index / parts, self.instance.index % parts);
        let mut order = self.endpoints.to_vec();
        order.shuffle(&mut ChaCha8Rng::seed_from_u64(round as u64));
        order.into_iter().skip(part * SLICE).take(SLICE).collect()
    }

    /// The slice of the ring at the position of this instance.
    pub(super) fn ring_slice(&self) -> Vec<usize> {
        let count = self.endpoints.len();
        let start = self.instance.index * count / self.instance.count.max(1);
        (0..SLICE.min(count)).map(|offset| self.endpoints[(start + offset) % count]).collect()
    }

    /// Random by weight: requests served over requests in flight, as last reported. An endpoint without a report counts
    /// as the mean of the others.
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
