//! Checks that every message gets one final outcome in time, and that no request follows it.

use super::history::{Answer, MessageHistory, RunHistory};
use super::report::{Invariant, InvariantReport};
use super::settings::{InvariantSettings, CLOCK_SKEW_US};
use cloverstile_fakes::record::ReportedOutcome;

/// Checks the outcomes reported for a message and counts the last one in the report.
pub(super) fn check(
    id: &str,
    history: &MessageHistory,
    run: &RunHistory,
    settings: &InvariantSettings,
    report: &mut InvariantReport,
) {
    for answer in history.answers.iter().filter(|answer| answer.outcome == ReportedOutcome::Unclear) {
        let problem = "an answer that does not count as one";
        report.violation(Invariant::SingleOutcome, id, answer.at, problem);
    }
    match history.answers.iter().rev().find(|answer| answer.outcome != ReportedOutcome::NotAccepted) {
        Some(last) => count_outcome(last.outcome, report),
        None => check_missing_outcome(id, history, run, report),
    }
    check_in_time(id, history, run, settings, report);
    check_single_outcome(id, history, run, report);
}

fn count_outcome(outcome: ReportedOutcome, report: &mut InvariantReport) {
    report.answered += 1;
    match outcome {
        ReportedOutcome::Delivered => report.delivered += 1,
        ReportedOutcome::Rejected => report.rejected += 1,
        ReportedOutcome::Failed | ReportedOutcome::NotAccepted | ReportedOutcome::Unclear => {
            report.failed += 1;
        }
    }
}

fn check_missing_outcome(id: &str, history: &MessageHistory, run: &RunHistory, report: &mut InvariantReport) {
    let was_accepted = !history.accepted_at.is_empty() || !history.requests.is_empty();
    if run.any_gateway_killed(history) {
        report.lost_with_gateway += 1;
    } else if !was_accepted && !history.answers.is_empty() {
        report.never_accepted += 1;
    } else {
        report.violation(Invariant::SingleOutcome, id, history.deadline, "no final answer");
    }
}

/// Only the first outcome has to be in time: later ones answer resubmissions.
fn check_in_time(
    id: &str,
    history: &MessageHistory,
    run: &RunHistory,
    settings: &InvariantSettings,
    report: &mut InvariantReport,
) {
    let Some(first) = history.answers.iter().find(|answer| answer.outcome != ReportedOutcome::NotAccepted)
    else {
        return;
    };
    let latest = history.deadline + settings.answer_slack + CLOCK_SKEW_US;
    if first.at > latest && !run.any_gateway_killed(history) {
        report.late_answers += 1;
        let late_ms = (first.at - history.deadline) / 1000;
        let problem = format!("answered {late_ms} ms after the deadline by gateway {}", first.gateway);
        report.violation(Invariant::SingleOutcome, id, first.at, problem);
    }
}

/// No request may follow an outcome unless the message was resubmitted, and the same gateway may not change a
/// `delivered` or `failed` outcome.
fn check_single_outcome(id: &str, history: &MessageHistory, run: &RunHistory, report: &mut InvariantReport) {
    for (position, answer) in history.answers.iter().enumerate() {
        let resubmitted_at =
            history.submissions.iter().find(|submission| submission.at > answer.at).map(|s| s.at);
        let request = history.requests.iter().find(|request| {
            request.at > answer.at + CLOCK_SKEW_US && resubmitted_at.is_none_or(|again| request.at < again)
        });
        if let (Some(request), true) = (request, answer.outcome != ReportedOutcome::NotAccepted) {
            let problem = format!("sent after it was answered as {:?}", answer.outcome);
            report.violation(Invariant::SingleOutcome, id, request.at, problem);
        }
        if matches!(answer.outcome, ReportedOutcome::Delivered | ReportedOutcome::Failed) {
            check_not_changed(id, answer, &history.answers[position + 1..], run, report);
        }
    }
}

fn check_not_changed(
    id: &str,
    answer: &Answer,
    later: &[Answer],
    run: &RunHistory,
    report: &mut InvariantReport,
) {
    let changed =
        later.iter().find(|later| later.gateway == answer.gateway && later.outcome != answer.outcome);
    // The process that replaces a killed gateway does not know the outcomes reported before.
    let was_restarted = run.kills.iter().any(|kill| kill.gateway == answer.gateway && kill.at > answer.at);
    if let (Some(other), false) = (changed, was_restarted) {
        let problem = format!("answered as {:?}, later as {:?}", answer.outcome, other.outcome);
        report.violation(Invariant::SingleOutcome, id, other.at, problem);
    }
}
