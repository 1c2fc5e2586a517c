//! Checks that gateways that observed an outage do not overload the recovering partner.

use super::history::{Request, RunHistory};
use super::report::{Invariant, InvariantReport};
use super::settings::{InvariantSettings, PartnerRule};
use cloverstile_fakes::record::{ObservedEvent, RecordLine};
use std::collections::{HashMap, HashSet};

/// Requests allowed in every window on top of the capacity share, so that a few requests in a short window are no
/// violation.
const BURST_ALLOWANCE: f64 = 4.0;

/// An outage that has ended, from `from` to `until` in microseconds.
struct Outage<'a> {
    partner: &'a str,
    /// The zone that failed; `None` if all zones did.
    zone: Option<usize>,
    from: u64,
    until: u64,
}

/// Checks the warm-up period after each outage, and reports every recorded collapse of a partner.
pub(super) fn check(
    lines: &[RecordLine],
    run: &RunHistory,
    settings: &InvariantSettings,
    report: &mut InvariantReport,
) {
    let requests = requests_by_partner(run);
    let mut began_at: HashMap<&str, u64> = HashMap::new();
    for line in lines {
        match &line.event {
            ObservedEvent::Outage { partner, began: true, .. } => {
                began_at.insert(partner, line.at);
            }
            ObservedEvent::Collapsed { partner } => {
                let problem = "it was overloaded as it recovered";
                report.violation(Invariant::GentleRecovery, partner, line.at, problem);
            }
            ObservedEvent::Outage { partner, zone, began: false } => {
                let from = began_at.remove(partner.as_str()).unwrap_or(0);
                let outage = Outage { partner, zone: *zone, from, until: line.at };
                let requests = requests.get(partner.as_str()).map_or(&[][..], Vec::as_slice);
                check_recovery(&outage, requests, settings, report);
            }
            _ => {}
        }
    }
}

fn requests_by_partner<'a>(run: &'a RunHistory) -> HashMap<&'a str, Vec<&'a Request<'a>>> {
    let mut requests: HashMap<&str, Vec<&Request>> = HashMap::new();
    for request in run.messages.values().flat_map(|history| &history.requests) {
        requests.entry(request.partner).or_default().push(request);
    }
    requests.values_mut().for_each(|list| list.sort_by_key(|request| request.at));
    requests
}

fn check_recovery(
    outage: &Outage,
    requests: &[&Request],
    settings: &InvariantSettings,
    report: &mut InvariantReport,
) {
    let Some(partner) = settings.partners.get(outage.partner) else { return };
    // If a single zone failed, requests to the other zones do not count.
    let in_zone = |request: &&Request| {
        outage.zone.is_none_or(|zone| partner.zones.get(request.endpoint) == Some(&zone))
    };
    let requests: Vec<&Request> = requests.iter().copied().filter(in_zone).collect();
    // Refused connections are not recorded as requests. If no request was recorded during the outage, any gateway may
    // have been refused and so may know of it.
    let during = requests.iter().filter(|request| (outage.from..outage.until).contains(&request.at));
    let aware: HashSet<&str> = during.map(|request| request.gateway).collect();
    let is_aware = |request: &Request| aware.is_empty() || aware.contains(request.gateway);
    let warm_up = outage.until..outage.until + settings.warm_up;
    let after: Vec<&Request> =
        requests.iter().copied().filter(|request| warm_up.contains(&request.at)).collect();
    for (position, last) in after.iter().enumerate() {
        let window: Vec<&Request> = after[..=position]
            .iter()
            .copied()
            .filter(|request| last.at - request.at <= settings.overload_window)
            .collect();
        let budget = request_budget(last.at - outage.until, partner, settings);
        let from_aware = window.iter().filter(|request| is_aware(request)).count();
        if window.len() as f64 > budget && from_aware * 3 >= window.len() * 2 {
            let problem = format!(
                "{} requests where it survives {budget:.0}, {from_aware} of gateways that saw the outage",
                window.len()
            );
            report.violation(Invariant::GentleRecovery, outage.partner, last.at, problem);
            return;
        }
    }
}

/// Requests that a partner can take in one window, `since_recovery` microseconds after the end of its outage.
fn request_budget(since_recovery: u64, partner: &PartnerRule, settings: &InvariantSettings) -> f64 {
    let warm_up_progress = since_recovery as f64 / settings.warm_up.max(1) as f64;
    let initial = settings.initial_capacity_share;
    let share = initial + (1.0 - initial) * warm_up_progress;
    let seconds = settings.overload_window as f64 / 1e6;
    settings.overload_multiple * partner.capacity * share * seconds + BURST_ALLOWANCE
}
