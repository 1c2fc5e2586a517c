//! Share of their time in service in which endpoints idle while their partner is busy.

use crate::record::{Call, Endpoint, LoadRecord};
use std::collections::BTreeMap;
use std::time::Duration;

/// A gap between an endpoint's calls counts as idle if more than this number of calls was expected in it.
const MAX_EXPECTED_CALLS_IN_GAP: f64 = 10.0;

/// Idle and total time of endpoints, in seconds.
#[derive(Clone, Copy, Default)]
struct IdleTime {
    idle: f64,
    total: f64,
}

/// Share of the endpoints' time in service in which they idle, from 0 to 1. Gaps are measured in calls: an endpoint
/// idles from one call to its next if its share by weight of the calls that reach its partner meanwhile exceeds
/// [`MAX_EXPECTED_CALLS_IN_GAP`]. Time in which the whole partner receives no calls is therefore not idle time.
pub(crate) fn idle_share(record: &LoadRecord) -> f64 {
    let mut calls: Vec<Vec<&Call>> = vec![Vec::new(); record.partners.len()];
    record.calls.iter().for_each(|call| calls[record.endpoints[call.endpoint].partner].push(call));
    let mut time = IdleTime::default();
    for (endpoints, calls) in record.endpoints_by_partner().into_iter().zip(calls) {
        add_partner_idle_time(&mut time, record, &endpoints, &calls);
    }
    time.idle / f64::max(time.total, 1e-9)
}

/// Adds the idle time and the time in service of one partner's endpoints, between the partner's first and last call.
fn add_partner_idle_time(time: &mut IdleTime, record: &LoadRecord, endpoints: &[usize], calls: &[&Call]) {
    let (Some(first), Some(last)) = (calls.first(), calls.last()) else { return };
    let expected = expected_calls_per_weight(record, endpoints, calls);
    let mut calls_by_endpoint: BTreeMap<usize, Vec<usize>> =
        endpoints.iter().map(|e| (*e, Vec::new())).collect();
    for (index, call) in calls.iter().enumerate() {
        calls_by_endpoint.entry(call.endpoint).or_default().push(index);
    }
    for (endpoint, own_calls) in calls_by_endpoint {
        let endpoint = &record.endpoints[endpoint];
        let (from, until) = (endpoint.from.max(first.at), endpoint.until.min(last.at));
        time.idle = add_idle_gaps(time.idle, endpoint, calls, &own_calls, &expected, (from, until));
        time.total += until.saturating_sub(from).as_secs_f64();
    }
}

/// Running sum, in the order of the calls, of the calls expected at an endpoint per unit of its weight. Entry `n`
/// covers the first `n` calls.
fn expected_calls_per_weight(record: &LoadRecord, endpoints: &[usize], calls: &[&Call]) -> Vec<f64> {
    let mut expected = vec![0.0];
    for call in calls {
        let in_service = endpoints.iter().map(|index| &record.endpoints[*index]);
        let in_service = in_service.filter(|endpoint| endpoint.in_service(call.at));
        let weights: f64 = in_service.map(|endpoint| endpoint.weight).sum();
        expected.push(expected[expected.len() - 1] + 1.0 / weights.max(1e-9));
    }
    expected
}

/// Adds the idle gaps of one endpoint to `idle`, in seconds. `own_calls` holds the indices of its calls in `calls`.
fn add_idle_gaps(
    mut idle: f64,
    endpoint: &Endpoint,
    calls: &[&Call],
    own_calls: &[usize],
    expected: &[f64],
    (from, until): (Duration, Duration),
) -> f64 {
    let index_at = |at: Duration| calls.partition_point(|call| call.at < at);
    let (mut previous, mut previous_at) = (index_at(from), from);
    let ends = own_calls.iter().map(|index| (*index, calls[*index].at)).chain([(index_at(until), until)]);
    for (next, next_at) in ends.filter(|(_, next_at)| from <= *next_at && *next_at <= until) {
        if endpoint.weight * (expected[next.max(previous)] - expected[previous]) > MAX_EXPECTED_CALLS_IN_GAP {
            idle += next_at.saturating_sub(previous_at).as_secs_f64();
        }
        (previous, previous_at) = (next, next_at);
    }
    idle
}
