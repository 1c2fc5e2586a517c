//! Checks that no request is sent to a draining endpoint, nor before a `Retry-After` period ends.

use super::history::{Request, RunHistory, TimedEnd};
use super::report::{Invariant, InvariantReport};
use super::settings::{InvariantSettings, CLOCK_SKEW_US};
use cloverstile_as2_gateway::test_cluster::gateway_name;
use cloverstile_fakes::record::{ObservedEvent, RecordLine, RequestEnd};
use std::collections::HashMap;

/// A change of an endpoint's state in the endpoint list.
struct ListChange {
    at: u64,
    ready: bool,
}

/// The period after a rejection with `Retry-After` in which the gateway must not send to the partner.
struct RetryAfter {
    from: u64,
    until: u64,
}

/// Checks every request against the endpoint list and the `Retry-After` periods.
pub(super) fn check(
    lines: &[RecordLine],
    run: &RunHistory,
    settings: &InvariantSettings,
    report: &mut InvariantReport,
) {
    let list_changes = list_changes(lines);
    let retry_afters = retry_afters(run);
    for (id, history) in &run.messages {
        for request in &history.requests {
            let changes = list_changes.get(&(request.partner, request.endpoint));
            if let Some(changes) = changes {
                check_drain(id, request, changes, settings, report);
            }
            let waits = retry_afters.get(&(request.gateway, request.partner));
            if let Some(waits) = waits {
                check_retry_after(id, request, waits, run, report);
            }
        }
    }
}

/// Changes of the endpoint list by partner and endpoint, the earliest first.
fn list_changes(lines: &[RecordLine]) -> HashMap<(&str, usize), Vec<ListChange>> {
    let mut changes: HashMap<(&str, usize), Vec<ListChange>> = HashMap::new();
    for line in lines {
        if let ObservedEvent::EndpointListed { partner, endpoint, ready } = &line.event {
            let change = ListChange { at: line.at, ready: *ready };
            changes.entry((partner, *endpoint)).or_default().push(change);
        }
    }
    changes
}

/// `Retry-After` periods by gateway and partner.
fn retry_afters<'a>(run: &'a RunHistory) -> HashMap<(&'a str, &'a str), Vec<RetryAfter>> {
    let mut waits: HashMap<(&str, &str), Vec<RetryAfter>> = HashMap::new();
    for request in run.messages.values().flat_map(|history| &history.requests) {
        if let Some(TimedEnd { at, end: RequestEnd::Rejected(Some(ms)) }) = request.end {
            let wait = RetryAfter { from: at, until: at + ms * 1000 };
            waits.entry((request.gateway, request.partner)).or_default().push(wait);
        }
    }
    waits
}

fn check_drain(
    id: &str,
    request: &Request,
    changes: &[ListChange],
    settings: &InvariantSettings,
    report: &mut InvariantReport,
) {
    let Some(latest) = changes.iter().rev().find(|change| change.at <= request.at) else { return };
    if !latest.ready && request.at > latest.at + settings.drain_grace + CLOCK_SKEW_US {
        let problem = format!("sent to draining {} e{}", request.partner, request.endpoint);
        report.violation(Invariant::NoSendToDraining, id, request.at, problem);
    }
}

fn check_retry_after(
    id: &str,
    request: &Request,
    waits: &[RetryAfter],
    run: &RunHistory,
    report: &mut InvariantReport,
) {
    let violated = waits
        .iter()
        // A gateway that was killed in between runs as a new process that never received the `Retry-After`.
        .filter(|wait| !was_killed_between(run, request.gateway, wait.from, request.at))
        .any(|wait| request.at > wait.from + CLOCK_SKEW_US && request.at + CLOCK_SKEW_US < wait.until);
    if violated {
        let problem =
            format!("{} sent to {} before the end of its Retry-After", request.gateway, request.partner);
        report.violation(Invariant::RetryAfterHonoured, id, request.at, problem);
    }
}

fn was_killed_between(run: &RunHistory, gateway: &str, from: u64, to: u64) -> bool {
    run.kills.iter().any(|kill| gateway_name(kill.gateway) == gateway && (from..to).contains(&kill.at))
}
