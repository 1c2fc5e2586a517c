//! Recovers the messages that an earlier process held.

use crate::delivery::DeliveryState;
use crate::message_record::{self, RecoveredSubmission};
use crate::name_table;
use cloverstile::{Class, Time};
use cloverstile_engine::FinalOutcome;
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_platform::notifications::Release;
use cloverstile_wal::{
    FinishedMessage, FinishedOutcome, LiveMessage, NameTable, Record, RecoveredState, TerminalState,
};
use tracing::debug;

/// Passes the messages from the log to the engine and the notifications, and records them again under the message numbers
/// of this process. `names` is the name table of this process's settings; `classes` are its classes, with the fallback
/// class last.
pub fn recover_messages(
    now: Time,
    recovered: RecoveredState,
    names: &NameTable,
    classes: &[Class],
    delivery: &mut DeliveryState,
) {
    delivery.log.record(Record::NameTable(names.clone()));
    let finished = recovered.finished;
    #[cfg(feature = "planted-defects")]
    let finished = if is_planted(PlantedDefect::FinishedForgotten) { Vec::new() } else { finished };
    finished.into_iter().for_each(|finished| recover_finished(now, finished, delivery));
    let messages = recovered.messages;
    #[cfg(feature = "planted-defects")]
    let messages = if is_planted(PlantedDefect::RecoveredInReverse) {
        messages.into_iter().rev().collect()
    } else {
        messages
    };
    for (index, mut message) in messages.into_iter().enumerate() {
        name_table::remap(&mut message, &recovered.names, names);
        recover_message(now, index, message, classes, delivery);
    }
}

/// Passes a message that ended in an earlier process to the engine, so that its id does not run a second time, and records it
/// again.
fn recover_finished(now: Time, finished: FinishedMessage, delivery: &mut DeliveryState) {
    let outcome = match finished.outcome {
        FinishedOutcome::Delivered => FinalOutcome::Delivered,
        FinishedOutcome::Undeliverable => FinalOutcome::Failed,
    };
    let request = message_record::completed_submission(&finished.id, Time(finished.deadline));
    delivery.engine.recover_completed(now, &request, outcome);
    delivery.log.record(Record::Finished(finished));
}

fn recover_message(
    now: Time,
    index: usize,
    mut message: LiveMessage,
    classes: &[Class],
    delivery: &mut DeliveryState,
) {
    if let Some(state) = message.pending_notification {
        // Numbered down from the maximum, because the engine numbers messages upwards from one.
        let message_number = u32::MAX - u32::try_from(index).unwrap_or(0);
        let notification = message_record::notification(&message, state);
        delivery.notifications.enqueue(message_number, notification, Release::AtOnce);
        if state == TerminalState::Undeliverable {
            let request = message_record::completed_submission(&message.id, Time(message.deadline));
            delivery.engine.recover_completed(now, &request, FinalOutcome::Failed);
        }
        return delivery.log.record(Record::Submitted { message_number, message: Box::new(message) });
    }
    let class = classes.get(usize::from(message.class));
    let RecoveredSubmission { request, attempts } = message_record::recover(&mut message, class);
    let time_left = request.deadline - now;
    let id = delivery.engine.recover(now, request, attempts);
    debug!(
        client_id = %String::from_utf8_lossy(&message.id),
        message_id = id.0,
        destination = message.destination,
        order_key = %format_args!("{:016x}", message.order_key),
        attempts = attempts.attempts,
        may_have_run = ?attempts.may_have_run,
        ?time_left,
        "message recovered"
    );
    delivery.log.record(Record::Submitted { message_number: id.0, message: Box::new(message) });
}
