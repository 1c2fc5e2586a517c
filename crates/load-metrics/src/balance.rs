//! Balance metrics: the load of endpoints relative to their expected load.

use crate::idle::idle_share;
use crate::record::{LoadRecord, Outcome};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// A window counts only if its partner received at least this number of calls per endpoint on average. With fewer, a
/// single call would be a peak.
const MIN_CALLS_PER_ENDPOINT: f64 = 4.0;

/// Load and expected load of one endpoint in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLoad {
    /// Start of the window, since the beginning of the run.
    pub window_start: Duration,
    /// Index of the endpoint in [`LoadRecord::endpoints`].
    pub endpoint: usize,
    /// Calls that reached the endpoint in the window.
    pub calls: u32,
    /// Its share, by weight and time in service, of the calls that reached its partner in the window.
    pub expected_load: f64,
}

impl WindowLoad {
    /// Calls over expected calls; 1 is perfect balance.
    fn ratio(&self) -> f64 {
        f64::from(self.calls) / self.expected_load.max(1e-9)
    }
}

/// Balance of the load of all endpoints in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct BalanceMetrics {
    /// Highest load of a partner's endpoints in a window relative to the expected load: the mean over windows,
    /// weighted by their calls.
    pub peak_over_mean: f64,
    /// 99th percentile of the load of an endpoint in a window relative to its expected load, weighted by expected load.
    pub p99: f64,
    /// Jain's fairness index of load over expected load in the whole run: the mean over partners, weighted by their
    /// calls.
    pub jain: f64,
    /// Share of the endpoints' time in service in gaps between calls of more than ten times the mean gap, measured in
    /// calls to the partner, from 0 to 1.
    pub idle_share: f64,
    /// Share of the calls that reach an endpoint less than a mean response time after a call of another instance.
    #[serde(rename = "together")]
    pub collision_share: f64,
}

/// Computes the balance metrics of a record, with windows of this length.
pub(crate) fn balance(record: &LoadRecord, window: Duration) -> BalanceMetrics {
    let loads = window_loads(record, window);
    let mut ratios: Vec<WeightedValue> =
        loads.iter().map(|load| WeightedValue { value: load.ratio(), weight: load.expected_load }).collect();
    ratios.sort_by(|a, b| a.value.total_cmp(&b.value));
    BalanceMetrics {
        peak_over_mean: peak_over_mean(record, &loads),
        p99: weighted_quantile(&ratios, 0.99),
        jain: jain_index(record),
        idle_share: idle_share(record),
        collision_share: collision_share(record),
    }
}

/// Loads by endpoint and window. Partners with fewer than two endpoints in service and windows with too few calls are
/// left out.
pub fn window_loads(record: &LoadRecord, window: Duration) -> Vec<WindowLoad> {
    let mut counts: BTreeMap<(usize, usize), BTreeMap<usize, u32>> = BTreeMap::new();
    for call in &record.calls {
        let partner = record.endpoints[call.endpoint].partner;
        let window_index = (call.at.as_nanos() / window.as_nanos().max(1)) as usize;
        *counts.entry((partner, window_index)).or_default().entry(call.endpoint).or_default() += 1;
    }
    let partners = record.endpoints_by_partner();
    let mut loads = Vec::new();
    for ((partner, window_index), counts) in counts {
        let (from, until) = (window * window_index as u32, window * (window_index as u32 + 1));
        // Weighted by the time within the window in which the endpoint was in service.
        let weighted_time = |index: usize| {
            let endpoint = &record.endpoints[index];
            let in_service = endpoint.until.min(until).saturating_sub(endpoint.from.max(from));
            endpoint.weight * in_service.as_secs_f64()
        };
        let in_service: Vec<usize> =
            partners[partner].iter().copied().filter(|index| weighted_time(*index) > 0.0).collect();
        let total: f64 = in_service.iter().map(|index| weighted_time(*index)).sum();
        let calls: u32 = counts.values().sum();
        if in_service.len() < 2 || f64::from(calls) < MIN_CALLS_PER_ENDPOINT * in_service.len() as f64 {
            continue;
        }
        loads.extend(in_service.into_iter().map(|endpoint| WindowLoad {
            window_start: from,
            endpoint,
            calls: counts.get(&endpoint).copied().unwrap_or(0),
            expected_load: f64::from(calls) * weighted_time(endpoint) / total,
        }));
    }
    loads
}

/// Highest load ratio of a partner's endpoints in a window, and the calls of the partner in it.
#[derive(Default)]
struct Peak {
    ratio: f64,
    calls: f64,
}

/// Mean over partners and windows, weighted by calls, of the highest load ratio.
fn peak_over_mean(record: &LoadRecord, loads: &[WindowLoad]) -> f64 {
    let mut peaks: BTreeMap<(usize, Duration), Peak> = BTreeMap::new();
    for load in loads {
        let peak = peaks.entry((record.endpoints[load.endpoint].partner, load.window_start)).or_default();
        peak.ratio = peak.ratio.max(load.ratio());
        peak.calls += f64::from(load.calls);
    }
    let calls: f64 = peaks.values().map(|peak| peak.calls).sum();
    peaks.values().map(|peak| peak.ratio * peak.calls).sum::<f64>() / calls.max(1e-9)
}

struct WeightedValue {
    value: f64,
    weight: f64,
}

/// The lowest value at which the cumulative weight reaches this share of the total; 0 without values. `values` are in
/// ascending order.
fn weighted_quantile(values: &[WeightedValue], share: f64) -> f64 {
    let total: f64 = values.iter().map(|entry| entry.weight).sum();
    let mut below = 0.0;
    let found = values.iter().find(|entry| {
        below += entry.weight;
        below >= total * share
    });
    found.map_or(0.0, |entry| entry.value)
}

/// Mean over partners, weighted by their calls, of Jain's fairness index of calls over weight and time in service; 1
/// without a partner that has several endpoints and calls.
fn jain_index(record: &LoadRecord) -> f64 {
    let mut counts = vec![0.0; record.endpoints.len()];
    record.calls.iter().for_each(|call| counts[call.endpoint] += 1.0);
    let end = record.calls.last().map_or(Duration::ZERO, |call| call.at);
    let (mut weighted_sum, mut total_calls) = (0.0, 0.0);
    for endpoints in record.endpoints_by_partner() {
        let expected = |index: &usize| {
            let endpoint = &record.endpoints[*index];
            endpoint.weight * endpoint.until.min(end).saturating_sub(endpoint.from).as_secs_f64()
        };
        let in_service = endpoints.iter().filter(|index| expected(index) > 0.0);
        let levels: Vec<f64> = in_service.map(|index| counts[*index] / expected(index)).collect();
        let (total, squares): (f64, f64) =
            (levels.iter().sum(), levels.iter().map(|level| level * level).sum());
        if levels.len() > 1 && squares > 0.0 {
            let partner_calls: f64 = endpoints.iter().map(|index| counts[*index]).sum();
            weighted_sum += partner_calls * total * total / (levels.len() as f64 * squares);
            total_calls += partner_calls;
        }
    }
    if total_calls > 0.0 {
        weighted_sum / total_calls
    } else {
        1.0
    }
}

/// Share of the calls that follow a call of another instance to the same endpoint within the mean response time of
/// served calls.
fn collision_share(record: &LoadRecord) -> f64 {
    let served = record.calls.iter().filter(|call| call.outcome == Outcome::Served);
    let (count, sum) =
        served.fold((0u32, Duration::ZERO), |(n, sum), call| (n + 1, sum + call.response_time));
    let mean_response_time = sum / count.max(1);
    let mut previous = vec![None; record.endpoints.len()];
    let mut collisions = 0u32;
    for call in &record.calls {
        let collides = previous[call.endpoint].replace(call).is_some_and(|previous| {
            previous.instance != call.instance && call.at - previous.at < mean_response_time
        });
        collisions += u32::from(collides);
    }
    f64::from(collisions) / record.calls.len().max(1) as f64
}
