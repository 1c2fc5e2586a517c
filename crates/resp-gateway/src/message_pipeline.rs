//! The turn: what a poll's events lead to, in the order that makes it safe.
//!
//! The policy decides, the turn's records go to the log in one write, and only then do last bytes of requests, replies
//! and notifications leave.

use crate::client_commands::ClientCommands;
use crate::client_replies::{busy, undeliverable};
use crate::clock::Clock;
use crate::delivery::Delivery;
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

/// Rounds of decisions in one turn: what a decision leads to at once may lead to more.
const MAX_ROUNDS: usize = 16;

/// All that a message passes on its way: the clients, the engine with its log, and the requests to endpoints.
pub struct MessagePipeline {
    /// Clients and the replies to them.
    pub clients: ClientCommands,
    /// The messages that the gateway holds.
    pub delivery: Delivery,
    /// Requests to endpoints.
    pub outgoing: OutgoingRequests,
    /// A shutdown has gone so far that nothing new is sent.
    pub sending_ended: bool,
}

impl MessagePipeline {
    /// Whether there is something to decide or to report at once.
    pub fn has_pending_events(&self) -> bool {
        self.outgoing.requests.has_pending_events() || self.delivery.engine.has_pending_events()
    }

    /// What a shutdown waits for.
    pub fn pending_work(&self, net: &Net) -> PendingWork {
        PendingWork {
            messages: self.delivery.engine.pending_messages(),
            requests: self.outgoing.requests.in_flight(),
            notifications: self.delivery.notifications.len(),
            unstored_records: !self.delivery.log.is_stored(),
            clients: self.clients.len() + usize::from(net.has_unaccepted_connections()),
        }
    }

    /// Ends the attempts whose time is over. Call it ahead of a poll's events: what was read of a response meanwhile came
    /// behind the time that its request has told the endpoint, and counts for nothing but its `Retry-After`.
    pub fn time_out_attempts(&mut self, now: Time, net: &mut Net) {
        #[cfg(feature = "planted-defects")]
        if is_planted(PlantedDefect::LateResponses) {
            return;
        }
        for command in self.delivery.engine.time_out_attempts(now) {
            self.execute(now, command, net);
        }
    }

    /// Executes the commands that a client's bytes complete.
    pub fn on_client_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8]) {
        self.clients.on_bytes(now, connection, bytes, &mut self.delivery);
    }

    /// Handles the platform's response to notifications: requests that waited for one go on.
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

    /// Runs one turn: decides, writes the log, then sends. `clock` tells how long the log took.
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
        self.update_sending();
        self.outgoing.commit(clock.now(), &mut self.delivery, &mut Sockets(net));
        self.clients.send_replies(net);
        self.delivery.notifications.on_tick(now, &mut Sockets(net));
    }

    /// Ends sending: a shutdown waits for the requests in flight alone.
    pub fn end_sending(&mut self) {
        self.sending_ended = true;
        self.update_sending();
    }

    /// Lets the engine send unless the log can't be written, which must know of each attempt, or sending has ended.
    fn update_sending(&mut self) {
        let paused = self.sending_ended || !self.delivery.log.is_writable();
        if paused != self.delivery.engine.is_sending_paused() {
            self.delivery.engine.set_sending_paused(paused);
        }
    }

    /// Reports what happened to the engine and executes what it decides, until nothing more follows.
    fn decide(&mut self, now: Time, net: &mut Net) {
        for _ in 0..MAX_ROUNDS {
            self.outgoing.report_retry_after(now, &mut self.delivery.engine);
            self.outgoing.report_completed(now, &mut self.delivery);
            for command in self.delivery.engine.advance(now) {
                self.execute(now, command, net);
            }
            self.outgoing.send_connected(now, &mut self.delivery, &mut Sockets(net));
            self.outgoing.record_starts(now, &mut self.delivery, &mut Sockets(net));
            if !self.has_pending_events() {
                return;
            }
        }
    }

    /// Guards against effects that the log knows nothing of: without a log nothing is accepted and nothing sent.
    fn undo_unlogged(&mut self, now: Time, net: &mut Net) {
        self.outgoing.withdraw_uncommitted(now, &mut self.delivery, &mut Sockets(net));
        for id in self.clients.replies.reject_accepted(&busy(Duration::ZERO)) {
            let client_id = self.delivery.log.client_id(id);
            debug!(%client_id, message_id = id.0, "message refused, it could not be logged");
            // Guards against a "+OK" for a resubmission, as of a message that was accepted.
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

    /// Records a message's final outcome and reports it: to the client within the turn of its submission, to the platform
    /// later. A delivered message is not reported.
    fn complete(&mut self, now: Time, id: MessageId, outcome: FinalOutcome) {
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
        // What the log does not know may be delivered by the next process, but for a message whose time is over: the log
        // knows that. So its notification is not held back, it would be too late behind a disk that fails for long.
        let is_over = Time(message.deadline) <= now;
        let release = if is_over { Release::AtOnce } else { Release::OnceStored };
        debug!(client_id = %notification.message_id, message_id = id.0, ?state, ?release, "notification pending");
        self.delivery.notifications.enqueue(id.0, notification, release);
        self.delivery.log.record(Record::NotificationPending { message_number: id.0, state });
    }
}
