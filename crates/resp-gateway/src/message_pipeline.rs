//! One turn of the event loop, in the order that keeps the log ahead of all output.
//!
//! The delivery policy decides, the turn's records are written to the log in a single write, and only then are the last
//! bytes of requests, the replies and the notifications sent.

use crate::client_commands::ClientCommands;
use crate::client_replies::{busy, undeliverable};
use crate::clock::Clock;
use crate::delivery::DeliveryState;
use crate::health_log::HealthLog;
use crate::message_record;
use crate::outgoing_requests::OutgoingRequests;
use crate::sockets::Sockets;
use cloverstile::{MessageId, Time};
use cloverstile_engine::{Command, FinalOutcome};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_net::Net;
use cloverstile_platform::notifications::Release;
use cloverstile_platform::shutdown::PendingWork;
use cloverstile_platform::ConnectionId;
use cloverstile_wal::{Record, TerminalState};
use std::time::Duration;
use tracing::{debug, info, warn};

/// Maximum rounds of decisions in one turn: events that follow at once from a decision may lead to further decisions.
const MAX_ROUNDS: usize = 16;

/// The stages that a message passes through: client commands, the engine with its log, and requests to endpoints.
pub struct MessagePipeline {
    /// Clients and the replies to them.
    pub clients: ClientCommands,
    /// The messages that the gateway holds.
    pub delivery: DeliveryState,
    /// Requests to endpoints.
    pub outgoing: OutgoingRequests,
    /// Logs changes of the health of destinations.
    pub health_log: HealthLog,
    /// Whether a shutdown has reached the phase in which no new request is sent.
    pub sending_ended: bool,
}

impl MessagePipeline {
    /// Whether the engine or the requests have events, or clients commands, that must be handled at once.
    pub fn has_pending_events(&self) -> bool {
        self.has_decisions_pending() || self.clients.has_work()
    }

    /// Whether the engine or the requests have events that lead to further decisions in this turn.
    fn has_decisions_pending(&self) -> bool {
        self.outgoing.requests.has_pending_events() || self.delivery.engine.has_pending_events()
    }

    /// The work that a shutdown waits for.
    pub fn pending_work(&self, net: &Net) -> PendingWork {
        PendingWork {
            messages: self.delivery.engine.pending_messages(),
            requests: self.outgoing.requests.in_flight(),
            notifications: self.delivery.notifications.len(),
            unstored_records: !self.delivery.log.is_stored(),
            clients: self.clients.len() + usize::from(net.has_unaccepted_connections()),
        }
    }

    /// Ends the attempts whose deadline has passed. Call it before the bytes of a poll are handled: response bytes read by
    /// then arrived after the deadline that the request gave the endpoint, so only their `Retry-After` counts.
    pub fn time_out_attempts(&mut self, now: Time, net: &mut Net) {
        #[cfg(feature = "planted-defects")]
        if is_planted(PlantedDefect::LateResponses) {
            return;
        }
        for command in self.delivery.engine.time_out_attempts(now) {
            self.execute(now, command, net);
        }
    }

    /// Credits the responses that are held, before the process ends.
    pub fn credit_held_responses(&mut self, now: Time, net: &mut Net) {
        for command in self.delivery.engine.credit_held_responses(now) {
            self.execute(now, command, net);
        }
    }

    /// Executes the client commands of this turn. Call it once the turn's events are handled.
    pub fn execute_commands(&mut self, now: Time) {
        self.clients.execute_turn(now, &mut self.delivery);
    }

    /// Handles the platform's responses to notifications and continues requests that waited for one.
    pub fn on_notification_bytes(
        &mut self,
        now: Time,
        connection: ConnectionId,
        bytes: &[u8],
        net: &mut Net,
    ) {
        let delivery = &mut self.delivery;
        let settled = delivery.notifications.on_bytes(now, connection, bytes, &mut Sockets(net));
        for message_number in &settled.rejected {
            warn!(message_id = message_number, "notification rejected by the platform, not sent again");
        }
        for message_number in settled.acknowledged.into_iter().chain(settled.rejected) {
            let id = MessageId(message_number);
            debug!(client_id = %delivery.log.client_id(id), message_id = id.0, "notification settled");
            delivery.log.record_completed(message_number);
        }
        self.outgoing.connect_unblocked(now, delivery, &mut Sockets(net));
    }

    /// Runs one turn: decides, writes the log, then sends. `now` is the start of the turn; `clock` gives the time after the
    /// log write, which may take long.
    pub fn run_turn(&mut self, now: Time, clock: &Clock, net: &mut Net) {
        self.decide(now, net);
        #[cfg(feature = "planted-defects")]
        if is_planted(PlantedDefect::ReplyBeforeLog) {
            self.clients.send_replies(net);
        }
        if self.delivery.log.commit(now).is_ok() {
            self.delivery.notifications.release_held();
        } else {
            self.undo_unlogged(now, net);
        }
        self.health_log.log_new(now, &mut self.delivery.engine);
        self.update_sending_paused();
        self.outgoing.commit(clock.now(), &mut self.delivery, &mut Sockets(net));
        self.clients.send_replies(net);
        self.delivery.notifications.on_tick(now, &mut Sockets(net));
    }

    /// Ends sending: from now on a shutdown waits only for requests in flight.
    pub fn end_sending(&mut self) {
        self.sending_ended = true;
        self.update_sending_paused();
    }

    /// Pauses the engine's sending while the log is not writable, because each attempt must be logged before it is sent,
    /// and once sending has ended.
    fn update_sending_paused(&mut self) {
        let paused = self.sending_ended || !self.delivery.log.is_writable();
        if paused != self.delivery.engine.is_sending_paused() {
            self.delivery.engine.set_sending_paused(paused);
        }
    }

    /// Reports events to the engine and executes its commands until no events are pending, in at most [`MAX_ROUNDS`] rounds.
    fn decide(&mut self, now: Time, net: &mut Net) {
        for _ in 0..MAX_ROUNDS {
            self.outgoing.report_retry_after(now, &mut self.delivery.engine);
            self.outgoing.report_completed(now, &mut self.delivery);
            for command in self.delivery.engine.advance(now) {
                self.execute(now, command, net);
            }
            self.outgoing.send_connected(now, &mut self.delivery, &mut Sockets(net));
            self.outgoing.record_starts(now, &mut self.delivery, &mut Sockets(net));
            if !self.has_decisions_pending() {
                return;
            }
        }
    }

    /// Undoes this turn's submissions and request starts after a failed commit: without a log record no message may be
    /// accepted and no request sent.
    fn undo_unlogged(&mut self, now: Time, net: &mut Net) {
        self.outgoing.withdraw_uncommitted(now, &mut self.delivery, &mut Sockets(net));
        for id in self.clients.replies.reject_accepted(&busy(Duration::ZERO)) {
            let client_id = self.delivery.log.client_id(id);
            debug!(%client_id, message_id = id.0, "message refused, it could not be logged");
            // Without this, a resubmission would get "+OK" as if the message had been accepted.
            self.delivery.engine.reject(now, id);
            self.delivery.log.record_completed(id.0);
        }
    }

    fn execute(&mut self, now: Time, command: Command, net: &mut Net) {
        let sockets = &mut Sockets(net);
        match command {
            Command::Send { endpoint, attempts } => {
                self.outgoing.schedule(now, endpoint, attempts, &mut self.delivery, sockets);
            }
            Command::Abandon { attempt, started } => {
                self.outgoing.abandon(now, attempt, started, &mut self.delivery, sockets);
            }
            Command::Complete { message, outcome, .. } => self.complete(now, message, outcome),
            Command::CloseIdle { endpoint } => self.outgoing.requests.close_idle(endpoint, sockets),
            Command::Log { text } => info!(text, "policy message"),
            Command::LateReceipt { .. } | Command::Evicted { .. } | Command::Probe { .. } => {}
        }
    }

    /// Records a message's final outcome and reports it: in the reply to the client if the message was submitted in this
    /// turn, otherwise as a notification to the platform. Delivered and cancelled messages are not reported.
    fn complete(&mut self, now: Time, id: MessageId, outcome: FinalOutcome) {
        self.outgoing.attempt_log.on_message_completed(id);
        let in_this_turn = self.clients.replies.has_submission(id);
        debug!(
            client_id = %self.delivery.log.client_id(id),
            message_id = id.0,
            ?outcome,
            in_this_turn,
            "message completed"
        );
        let (reply, state) = match outcome {
            FinalOutcome::Delivered | FinalOutcome::Cancelled => {
                return self.delivery.log.record_completed(id.0);
            }
            FinalOutcome::Rejected(retry_after) => {
                let milliseconds = u64::try_from(retry_after.as_millis()).ok().filter(|ms| *ms > 0);
                (busy(retry_after), TerminalState::Deferred(milliseconds))
            }
            FinalOutcome::Failed => (undeliverable(), TerminalState::Undeliverable),
        };
        if self.clients.replies.reject_submission(id, reply) {
            return self.delivery.log.record_completed(id.0);
        }
        let Some(message) = self.delivery.log.message(id) else { return };
        let notification = message_record::notification(message, state);
        // If the process ends before this record is stored, the next process may still deliver the message; so the
        // notification waits for the log. Past the deadline, which is in the log, no process delivers the message, and a
        // notification that waited for a disk that fails for long would be too late: it is released at once.
        let is_past_deadline = Time(message.deadline) <= now;
        let release = if is_past_deadline { Release::AtOnce } else { Release::OnceStored };
        debug!(client_id = %notification.message_id, message_id = id.0, ?state, ?release, "notification pending");
        self.delivery.notifications.enqueue(id.0, notification, release);
        self.delivery.log.record(Record::NotificationPending { message_number: id.0, state });
    }
}
