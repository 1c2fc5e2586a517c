//! Client connections, the commands that clients send, and the replies to them.

use crate::client_log::{ClientAccounts, ClientLog};
use crate::client_replies::{busy, undeliverable, ClientReplies, EncodedReplies, Reply};
use crate::delivery::DeliveryState;
use crate::message_record;
use crate::sockets::socket_id;
use cloverstile::{Class, Time};
use cloverstile_engine::{Admission, FinalOutcome};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_net::Net;
use cloverstile_platform::client_request::{self, ClientRequest, PutRequest, RequestClasses};
use cloverstile_platform::client_sessions::{ClientSessions, ClientTurn, Disconnect};
use cloverstile_platform::ConnectionId;
use cloverstile_resp::{encode_error, encode_simple_string};
use cloverstile_wal::Record;
use std::time::Duration;
use tracing::debug;

/// A client's connection is closed when more than this many bytes of replies are unread.
const MAX_UNREAD_BYTES: usize = 64 << 10;

/// All clients of the gateway.
pub struct ClientCommands {
    sessions: ClientSessions,
    classes: Vec<Class>,
    class_names: Vec<String>,
    /// The replies of this turn.
    pub replies: ClientReplies,
    log: ClientLog,
}

impl ClientCommands {
    /// Creates the state for at most `max_clients` clients, whose received bytes take at most `max_input_bytes`. Clients may
    /// submit messages of `classes`, which they name by `class_names`.
    pub fn new(
        max_clients: usize,
        max_input_bytes: usize,
        classes: Vec<Class>,
        class_names: Vec<String>,
    ) -> Self {
        let sessions = ClientSessions::new(max_clients, max_input_bytes);
        let replies = ClientReplies::default();
        ClientCommands { sessions, classes, class_names, replies, log: ClientLog::default() }
    }

    /// Number of connected clients.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether a connection belongs to a client.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.sessions.owns(connection)
    }

    /// Whether commands wait for their turn.
    pub fn has_work(&self) -> bool {
        self.sessions.has_work()
    }

    /// The time at which [`ClientCommands::on_tick`] is next due.
    pub fn next_timeout(&self) -> Option<Time> {
        self.sessions.next_timeout()
    }

    /// Handles a new connection from a client.
    pub fn on_accepted(&mut self, now: Time, connection: ConnectionId) {
        debug!(connection = connection.0, clients = self.len(), "client connected");
        self.sessions.accept(now, connection);
    }

    /// Handles the end of a client's connection. Its commands that were not executed yet are dropped.
    pub fn on_closed(&mut self, connection: ConnectionId) {
        let dropped = self.sessions.remove(connection);
        self.log.on_dropped(dropped);
    }

    /// Handles the end of a client's stream: the client is disconnected after its replies.
    pub fn on_peer_finished(&mut self, connection: ConnectionId) {
        self.sessions.on_peer_finished(connection);
    }

    /// Disconnects clients that timed out and those above the connection limit. Call it once the turn's events are handled.
    pub fn on_tick(&mut self, now: Time) {
        for expired in self.sessions.on_tick(now) {
            self.disconnect(&expired);
        }
        for evicted in self.sessions.evict_surplus(now) {
            self.disconnect(&evicted);
        }
    }

    /// Disconnects a client, whose session has already been removed, after this turn's replies to it.
    fn disconnect(&mut self, disconnect: &Disconnect) {
        let Disconnect { connection, refused_commands, reason } = disconnect;
        debug!(connection = connection.0, ?reason, clients = self.len(), "client disconnected");
        self.log.on_disconnected(reason);
        if *refused_commands > 0 {
            self.log.on_refused(*refused_commands);
            self.replies.push(*connection, Reply::Refusals(*refused_commands));
        }
        if let Some(text) = reason.error_text() {
            self.replies.push(*connection, Reply::Bytes(encode_error(&text)));
        }
        self.replies.close_after_replies(*connection);
    }

    /// Adds bytes received from a client. The commands that they complete wait for [`ClientCommands::execute_turn`].
    pub fn on_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8], net: &mut Net) {
        if !self.sessions.on_bytes(now, connection, bytes) {
            net.set_read_paused(socket_id(connection), true);
        }
    }

    /// Executes the commands of this turn: a few of each client that has some. Call it once the turn's events are handled,
    /// so that the commands of a client that has left are not executed.
    pub fn execute_turn(&mut self, now: Time, delivery: &mut DeliveryState) {
        for ClientTurn { connection, commands, disconnect } in self.sessions.take_turn() {
            for arguments in &commands {
                let reply = self.execute(now, connection, arguments, delivery);
                self.replies.push(connection, reply);
            }
            if let Some(disconnect) = disconnect {
                self.disconnect(&disconnect);
            }
        }
    }

    fn execute(
        &mut self,
        now: Time,
        connection: ConnectionId,
        arguments: &[Vec<u8>],
        delivery: &mut DeliveryState,
    ) -> Reply {
        let is_known = |destination| delivery.endpoints.has_destination(destination);
        let classes = RequestClasses { classes: &self.classes, names: &self.class_names };
        match client_request::parse(now, arguments, classes, is_known) {
            Ok(ClientRequest::Ping) => Reply::Bytes(encode_simple_string("PONG")),
            Ok(ClientRequest::Put(put)) => self.submit(now, *put, delivery),
            Err(problem) => {
                debug!(connection = connection.0, %problem, "request rejected");
                self.log.on_rejected();
                Reply::Bytes(encode_error(&problem.to_string()))
            }
        }
    }

    fn submit(&mut self, now: Time, put: PutRequest, delivery: &mut DeliveryState) -> Reply {
        let is_resubmission = delivery.engine.message_id(&put.submission.idempotency_key).is_some();
        // A message that is held or completed needs no room in the log. One that was rejected before does, like a new one.
        let adds_message = delivery.engine.known_admission(&put.submission).is_none();
        if adds_message && !delivery.log.can_accept(put.body.len()) {
            debug!(client_id = %put.submission.idempotency_key, "message refused, the log has no room for it");
            return Reply::Bytes(busy(Duration::ZERO));
        }
        let PutRequest { submission, idempotency_key, body } = put;
        let time_left = submission.deadline - now;
        let message = message_record::from_submission(now, &submission, idempotency_key, body);
        match delivery.engine.submit(now, submission) {
            Admission::New(id) => {
                debug!(
                    client_id = %String::from_utf8_lossy(&message.id),
                    message_id = id.0,
                    destination = message.destination,
                    class = message.class,
                    order_key = %format_args!("{:016x}", message.order_key),
                    ?time_left,
                    resubmission = is_resubmission,
                    usage = ?delivery.log.usage(),
                    "message accepted"
                );
                delivery.log.record(Record::Submitted { message_number: id.0, message: Box::new(message) });
                self.replies.add_submission(id);
                Reply::Submission(id)
            }
            admission => {
                let client_id = String::from_utf8_lossy(&message.id);
                debug!(%client_id, reason = ?admission, "message not accepted anew");
                self.reply_to_admission(&admission)
            }
        }
    }

    /// The reply to a submission that adds no message: the message is held or completed, its id is in use, or the gateway
    /// accepts no more messages.
    fn reply_to_admission(&self, admission: &Admission) -> Reply {
        match *admission {
            // A resubmission whose first reply was lost, or is still to be sent at the end of this turn.
            Admission::InFlight(id) if self.replies.has_submission(id) => Reply::Submission(id),
            Admission::New(_)
            | Admission::InFlight(_)
            | Admission::Completed(_, FinalOutcome::Delivered | FinalOutcome::Cancelled) => {
                Reply::Bytes(encode_simple_string("OK"))
            }
            Admission::Completed(_, FinalOutcome::Rejected(retry_after)) => Reply::Bytes(busy(retry_after)),
            Admission::Completed(_, FinalOutcome::Failed) => Reply::Bytes(undeliverable()),
            Admission::Conflict => Reply::Bytes(encode_error("ERR id: in use for another message")),
            Admission::Overloaded | Admission::ShuttingDown => Reply::Bytes(busy(Duration::ZERO)),
        }
    }

    /// Sends this turn's replies and closes the connections that end with them. Call it once the turn's records are in the
    /// log.
    pub fn send_replies(&mut self, net: &mut Net) {
        for EncodedReplies { connection, bytes } in self.replies.take_replies() {
            #[cfg(feature = "planted-defects")]
            let connection = self.another_client(connection);
            let socket = socket_id(connection);
            net.send(socket, &bytes);
            if net.unsent_bytes(socket) > MAX_UNREAD_BYTES {
                debug!(connection = connection.0, "client closed, it does not read its replies");
                self.log.on_unread_replies();
                self.sessions.remove(connection);
                net.close(socket);
            }
        }
        for connection in self.replies.take_closing() {
            self.sessions.remove(connection);
            net.close_after_flush(socket_id(connection));
        }
    }

    /// Logs the memory that clients hold and what happened to them, if a line is due or the process `is_ending`.
    pub fn log(&mut self, now: Time, is_ending: bool, net: &mut Net) {
        let clients = self.sessions.len();
        let accounts = ClientAccounts { input: self.sessions.input(), replies: net.accepted_output() };
        if is_ending {
            self.log.log(clients, accounts);
        } else {
            self.log.log_if_due(now, clients, accounts);
        }
    }

    /// Planted defect: replaces the connection of a client that has disconnected with that of another client.
    #[cfg(feature = "planted-defects")]
    fn another_client(&self, connection: ConnectionId) -> ConnectionId {
        let has_left = is_planted(PlantedDefect::ReplyToAnother) && !self.owns(connection);
        let another = if has_left { self.sessions.newest() } else { None };
        another.unwrap_or(connection)
    }

    /// Disconnects clients that are idle between two requests; a client that has not sent its first request yet stays.
    pub fn close_idle(&mut self, net: &mut Net) {
        for connection in self.sessions.take_idle() {
            debug!(connection = connection.0, "client disconnected, the gateway drains");
            net.close_after_flush(socket_id(connection));
        }
    }

    /// Disconnects all clients. A client whose command is interrupted gets an error reply and may submit again.
    pub fn close_all(&mut self, net: &mut Net) {
        for disconnect in self.sessions.take_all() {
            self.disconnect(&disconnect);
        }
        self.send_replies(net);
    }
}
