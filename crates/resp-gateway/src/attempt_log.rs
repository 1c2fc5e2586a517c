//! Log lines that tell why a message was sent again, and what became of responses in doubt.
//!
//! Both are written at the default level, limited in number and counted.

use crate::delivery::DeliveryState;
use crate::log_limit::LogLimit;
use cloverstile::{MessageId, Time};
use cloverstile_engine::{Attempt, TransportOutcome};
use cloverstile_platform::doubted_responses::DoubtedResponse;
use std::collections::HashMap;
use tracing::{debug, info, warn};

/// How an attempt ended without a final outcome of its message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The transport reported this outcome.
    Completed(TransportOutcome),
    /// No response came in time, or the policy abandoned the attempt.
    Abandoned {
        /// Whether its last byte was sent.
        started: bool,
    },
}

/// The last attempt of a message that has ended.
struct LastAttempt {
    number: u16,
    end: AttemptEnd,
    ended_at: Time,
}

/// Logs each message that is sent again, and each response that was in doubt.
#[derive(Default)]
pub struct AttemptLog {
    /// The last attempt of each message that may be sent again.
    last_attempts: HashMap<MessageId, LastAttempt>,
    resent: LogLimit,
    doubted: LogLimit,
}

impl AttemptLog {
    /// Remembers how an attempt of a message without a final outcome ended. An attempt that was not started does not count.
    pub fn on_attempt_ended(
        &mut self,
        now: Time,
        attempt: Attempt,
        end: AttemptEnd,
        delivery: &DeliveryState,
    ) {
        let was_started = end != AttemptEnd::Completed(TransportOutcome::NotStarted);
        if was_started && delivery.engine.is_pending(attempt.message) {
            let last = LastAttempt { number: attempt.number, end, ended_at: now };
            self.last_attempts.insert(attempt.message, last);
        }
    }

    /// Forgets a message that has its final outcome.
    pub fn on_message_completed(&mut self, message: MessageId) {
        self.last_attempts.remove(&message);
    }

    /// Logs that an attempt was sent, if it is not the first of its message in this process.
    pub fn on_attempt_sent(&mut self, now: Time, attempt: Attempt, delivery: &DeliveryState) {
        let Some(last) = self.last_attempts.get(&attempt.message) else { return };
        if self.resent.allows_line(now) {
            info!(
                client_id = %delivery.log.client_id(attempt.message),
                message_id = attempt.message.0,
                attempt = attempt.number,
                previous_attempt = last.number,
                reason = ?last.end,
                since_previous = ?(now - last.ended_at),
                total = self.resent.total(),
                suppressed = self.resent.suppressed(),
                "message sent again"
            );
        }
    }

    /// Logs a response that was in doubt: a warning if it was dropped.
    pub fn on_doubted_response(&mut self, now: Time, doubted: &DoubtedResponse, delivery: &DeliveryState) {
        let DoubtedResponse { attempt, connection, endpoint, stated, credited, held_for, end } = *doubted;
        let address = delivery.endpoints.address(endpoint);
        let client_id = delivery.log.client_id(attempt.message);
        let (message_id, attempt, connection) = (attempt.message.0, attempt.number, connection.0);
        if credited.is_some() {
            self.doubted.count();
            debug!(
                %client_id, message_id, attempt, connection, ?address, ?stated, ?credited, ?held_for, ?end,
                "response in doubt credited"
            );
        } else if self.doubted.allows_line(now) {
            warn!(
                %client_id, message_id, attempt, connection, ?address, ?stated, ?held_for, ?end,
                total = self.doubted.total(),
                suppressed = self.doubted.suppressed(),
                "response in doubt dropped"
            );
        }
    }

    /// Number of messages sent again since the start of the process.
    pub fn resent(&self) -> u64 {
        self.resent.total()
    }

    /// Number of responses in doubt since the start of the process.
    pub fn doubted(&self) -> u64 {
        self.doubted.total()
    }
}
