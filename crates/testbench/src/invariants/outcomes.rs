//! Every message has one final outcome, in time, and nothing is sent after it.

use super::history::{Answer, MessageHistory, RunHistory};
use super::report::{Invariant, InvariantReport};
use super::settings::{InvariantSettings, CLOCK_SKEW_US};
use cloverstile_fakes::record::ReportedOutcome;

/// Checks the final outcome of a message.
pub(super) fn check(
    id: &str,
    history: &MessageHistory,
    run: &RunHistory,
    settings: &InvariantSettings,
    report: &mut InvariantReport,
) {
    for answer in history.answers.iter().filter(|answer| answer.outcome == ReportedOutcome::Unclear) {
        let what = "an answer that does not count as one";
        report.violation(Invariant::SingleOutcome, id, answer.at, what);
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
    if run.lost_a_gateway_of(history) {
        report.lost_with_gateway += 1;
    } else if !was_accepted && !history.answers.is_empty() {
        report.never_accepted += 1;
    } else {
        report.violation(Invariant::SingleOutcome, id, history.deadline, "no final answer");
    }
}

/// The first answer must be in time; what is asked for again later is a repeat.
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
    if first.at > latest && !run.lost_a_gateway_of(history) {
        report.late_answers += 1;
        let late_ms = (first.at - history.deadline) / 1000;
        let what = format!("answered {late_ms} ms after the deadline by gateway {}", first.gateway);
        report.violation(Invariant::SingleOutcome, id, first.at, what);
    }
}

/// Delivered and failed are final: another answer later, or a request, violates the invariant.
fn check_single_outcome(id: &str, history: &MessageHistory, run: &RunHistory, report: &mut InvariantReport) {
    for (position, answer) in history.answers.iter().enumerate() {
        let resubmitted_at =
            history.submissions.iter().find(|submission| submission.at > answer.at).map(|s| s.at);
        let request = history.requests.iter().find(|request| {
            request.at > answer.at + CLOCK_SKEW_US && resubmitted_at.is_none_or(|again| request.at < again)
        });
        if let (Some(request), true) = (request, answer.outcome != ReportedOutcome::NotAccepted) {
            let what = format!("sent after it was answered as {:?}", answer.outcome);
            report.violation(Invariant::SingleOutcome, id, request.at, what);
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
    // A killed gateway's successor knows nothing of what was answered.
    let was_restarted = run.kills.iter().any(|kill| kill.gateway == answer.gateway && kill.at > answer.at);
    if let (Some(other), false) = (changed, was_restarted) {
        let what = format!("answered as {:?}, later as {:?}", answer.outcome, other.outcome);
        report.violation(Invariant::SingleOutcome, id, other.at, what);
    }
}
