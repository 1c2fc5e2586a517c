//! Checks that a gateway sends the messages of one order key in the order in which it accepted them.

use super::history::{MessageHistory, RunHistory, TimedEnd};
use super::report::{Invariant, InvariantReport};
use super::settings::{InvariantSettings, CLOCK_SKEW_US};
use cloverstile_fakes::record::RequestEnd;
use std::collections::HashMap;

/// A message with an order key. The gateway accepted it between `submitted_at` and `known_accepted_at`.
struct KeyedMessage<'a> {
    submitted_at: u64,
    known_accepted_at: u64,
    id: &'a str,
    history: &'a MessageHistory<'a>,
}

/// Messages by gateway and order key.
type KeyQueues<'a> = HashMap<(usize, &'a str), Vec<KeyedMessage<'a>>>;

/// Checks each pair of messages that have the same order key and gateway.
pub(super) fn check(run: &RunHistory, settings: &InvariantSettings, report: &mut InvariantReport) {
    for queue in key_queues(run, settings).values_mut() {
        queue.sort_by_key(|message| message.submitted_at);
        for (position, earlier) in queue.iter().enumerate() {
            for later in &queue[position + 1..] {
                // The order is known only if the gateway had accepted one message before the other was submitted.
                if earlier.known_accepted_at <= later.submitted_at {
                    check_pair(earlier, later, settings, report);
                }
            }
        }
    }
}

fn key_queues<'a>(run: &'a RunHistory, settings: &InvariantSettings) -> KeyQueues<'a> {
    let mut queues = KeyQueues::new();
    for (id, history) in &run.messages {
        let ordered = settings.classes.get(history.class).is_some_and(|class| class.ordered);
        // Only a message that was submitted once has a definite position in one queue.
        let (Some(key), true, [submission]) = (history.key, ordered, &history.submissions[..]) else {
            continue;
        };
        let answered_at = history.answers.first().map(|answer| answer.at);
        if let Some(known_accepted_at) = history.accepted_at.first().copied().or(answered_at) {
            let message = KeyedMessage { submitted_at: submission.at, known_accepted_at, id, history };
            queues.entry((submission.gateway, key)).or_default().push(message);
        }
    }
    queues
}

fn check_pair(
    earlier: &KeyedMessage,
    later: &KeyedMessage,
    settings: &InvariantSettings,
    report: &mut InvariantReport,
) {
    let (Some(first), Some(last)) = (later.history.requests.first(), earlier.history.requests.last()) else {
        return;
    };
    let problem = if last.at > first.at + CLOCK_SKEW_US {
        Some(format!("sent before {}, which was accepted earlier", earlier.id))
    } else if let Some(TimedEnd { at, end }) = last.end {
        let cooldown = match end {
            RequestEnd::ClientClosed | RequestEnd::Broken => settings.order_settle,
            RequestEnd::Processed | RequestEnd::Error | RequestEnd::Rejected(_) | RequestEnd::Deferred => 0,
        };
        let too_soon = first.at + CLOCK_SKEW_US < at + cooldown;
        too_soon.then(|| format!("sent too soon after {}: {end:?}", earlier.id))
    } else {
        Some(format!("sent while {} was in flight", earlier.id))
    };
    if let Some(problem) = problem {
        report.violation(Invariant::KeyOrder, later.id, first.at, problem);
    }
}
