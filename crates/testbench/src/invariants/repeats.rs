//! Checks that a message takes effect at most once, and that it is sent again only if its class permits.

use super::history::{MessageHistory, Request};
use super::report::{Invariant, InvariantReport};
use super::settings::{ClassRule, InvariantSettings, CLOCK_SKEW_US};
use crate::repeat_rule::RepeatRule;
use std::time::Duration;

/// Checks the effects and requests of a message against the rules of its class.
pub(super) fn check(
    id: &str,
    history: &MessageHistory,
    settings: &InvariantSettings,
    report: &mut InvariantReport,
) {
    let class = settings.classes.get(history.class);
    if !class.is_none_or(ClassRule::is_safe) {
        check_effects(id, history, report);
    }
    if let Some(class) = class {
        check_attempts(id, history, class, settings, report);
    }
}

fn check_effects(id: &str, history: &MessageHistory, report: &mut InvariantReport) {
    if history.effects.len() > 1 {
        report.repeated_effects += 1;
        let problem = format!("took effect {} times", history.effects.len());
        report.violation(Invariant::AtMostOnce, id, history.effects[1], problem);
    }
    if let Some(rejected_at) = history.rejected_at() {
        if history.effects.iter().any(|effect| *effect < rejected_at) {
            let problem = "rejected as safe to submit again, after it took effect";
            report.violation(Invariant::AtMostOnce, id, rejected_at, problem);
        }
    }
}

/// Repeated requests must stay inside the group and the retry window, and only one may be in flight at a time.
fn check_attempts(
    id: &str,
    history: &MessageHistory,
    class: &ClassRule,
    settings: &InvariantSettings,
    report: &mut InvariantReport,
) {
    let mut first_run: Option<&Request> = None;
    for (position, request) in history.requests.iter().enumerate() {
        let in_flight = history.requests[..position]
            .iter()
            .any(|earlier| earlier.end.is_none_or(|end| end.at > request.at + CLOCK_SKEW_US));
        if in_flight {
            let problem = "sent while an earlier attempt was in flight";
            report.violation(Invariant::AtMostOnce, id, request.at, problem);
        }
        if let Some(first) = first_run {
            check_repeat(id, first, request, class, settings, report);
        } else if request.may_have_run() {
            first_run = Some(request);
        }
    }
    if let Some(rejected_at) = history.rejected_at() {
        let ran = history.requests.iter().any(|request| request.at < rejected_at && request.may_have_run());
        if ran && !class.is_safe() {
            let problem = "rejected as safe to submit again, though it may have run";
            report.violation(Invariant::AtMostOnce, id, rejected_at, problem);
        }
    }
}

fn check_repeat(
    id: &str,
    first: &Request,
    repeat: &Request,
    class: &ClassRule,
    settings: &InvariantSettings,
    report: &mut InvariantReport,
) {
    let since_first = Duration::from_micros(repeat.at.saturating_sub(first.at + CLOCK_SKEW_US));
    if !class.repeats.permits(since_first) {
        let problem = match class.repeats {
            RepeatRule::Forbidden => "an unsafe message sent again though it may have run",
            RepeatRule::Always | RepeatRule::Within(_) => "repeated after its window",
        };
        report.violation(Invariant::AtMostOnce, id, repeat.at, problem);
    }
    let zone =
        |request: &Request| settings.partners.get(request.partner)?.zones.get(request.endpoint).copied();
    let is_bound_to_zone = class.same_zone_only && matches!(class.repeats, RepeatRule::Within(_));
    if is_bound_to_zone && zone(first) != zone(repeat) {
        report.violation(Invariant::AtMostOnce, id, repeat.at, "repeated outside its group");
    }
}
