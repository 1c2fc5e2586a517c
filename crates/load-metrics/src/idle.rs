//! Share of the time in which endpoints idle while their partner is busy.

use crate::record::{Call, Endpoint, LoadRecord};
use std::collections::BTreeMap;
use std::time::Duration;

/// An endpoint idles where a gap between its calls is longer than so many of its mean gaps.
const IDLE_GAPS: f64 = 10.0;

/// Idle and total time of endpoints, in seconds.
#[derive(Clone, Copy, Default)]
struct IdleTime {
    idle: f64,
    total: f64,
}

/// Share of the endpoints' time in service in which they idle, from 0 to 1. Gaps are counted in calls: an endpoint idles
/// from one call to its next if so many calls reach its partner meanwhile that ten of them were its own by weight. Time
/// in which the whole partner waits is therefore not idle time of an endpoint.
pub(crate) fn idle_share(record: &LoadRecord) -> f64 {
    let mut calls: Vec<Vec<&Call>> = vec![Vec::new(); record.partners.len()];
    record.calls.iter().for_each(|call| calls[record.endpoints[call.endpoint].partner].push(call));
    let mut time = IdleTime::default();
    for (endpoints, calls) in record.endpoints_by_partner().into_iter().zip(calls) {
        add_partner(&mut time, record, &endpoints, &calls);
    }
    time.idle / f64::max(time.total, 1e-9)
}

fn add_partner(time: &mut IdleTime, record: &LoadRecord, endpoints: &[usize], calls: &[&Call]) {
    let (Some(first), Some(last)) = (calls.first(), calls.last()) else { return };
    let expected = expected_by_weight(record, endpoints, calls);
    let mut own_calls: BTreeMap<usize, Vec<usize>> = endpoints.iter().map(|e| (*e, Vec::new())).collect();
    for (index, call) in calls.iter().enumerate() {
        own_calls.entry(call.endpoint).or_default().push(index);
    }
    for (endpoint, own) in own_calls {
        let endpoint = &record.endpoints[endpoint];
        let (from, until) = (endpoint.from.max(first.at), endpoint.until.min(last.at));
        time.idle = add_idle_gaps(time.idle, endpoint, calls, &own, &expected, (from, until));
        time.total += until.saturating_sub(from).as_secs_f64();
    }
}

/// Running sums, in the order of the calls: calls expected at an endpoint over its weight.
fn expected_by_weight(record: &LoadRecord, endpoints: &[usize], calls: &[&Call]) -> Vec<f64> {
    let mut expected = vec![0.0];
    for call in calls {
        let in_service = endpoints.iter().map(|index| &record.endpoints[*index]);
        let in_service = in_service.filter(|endpoint| endpoint.in_service(call.at));
        let weights: f64 = in_service.map(|endpoint| endpoint.weight).sum();
        expected.push(expected[expected.len() - 1] + 1.0 / weights.max(1e-9));
    }
    expected
}

/// Adds the idle gaps of one endpoint, in seconds, to the idle time so far.
fn add_idle_gaps(
    mut idle: f64,
    endpoint: &Endpoint,
    calls: &[&Call],
    own: &[usize],
    expected: &[f64],
    (from, until): (Duration, Duration),
) -> f64 {
    let index_at = |at: Duration| calls.partition_point(|call| call.at < at);
    let (mut since, mut at) = (index_at(from), from);
    let ends = own.iter().map(|index| (*index, calls[*index].at)).chain([(index_at(until), until)]);
    for (next, next_at) in ends.filter(|(_, next_at)| from <= *next_at && *next_at <= until) {
        if endpoint.weight * (expected[next.max(since)] - expected[since]) > IDLE_GAPS {
            idle += next_at.saturating_sub(at).as_secs_f64();
        }
        (since, at) = (next, next_at);
    }
    idle
}
