//! Clients: their connections, their commands and the replies to them.

use crate::client_replies::{busy, undeliverable, ClientReplies, EncodedReply, Reply};
use crate::delivery::Delivery;
use crate::message_record;
use crate::sockets::socket_id;
use cloverstile::{Class, Time};
use cloverstile_engine::{Admission, FinalOutcome};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_net::Net;
use cloverstile_platform::client_request::{self, ClientRequest, PutRequest, RequestClasses};
use cloverstile_platform::client_sessions::{ClientSessions, Disconnect};
use cloverstile_platform::ConnectionId;
use cloverstile_resp::{encode_error, encode_simple_string};
use cloverstile_wal::Record;
use std::time::Duration;
use tracing::debug;

/// Bytes of replies that a client has not read, above which its connection is closed.
const MAX_UNREAD_BYTES: usize = 256 << 10;

/// All clients of the gateway.
pub struct ClientCommands {
    sessions: ClientSessions,
    classes: Vec<Class>,
    class_names: Vec<String>,
    /// Replies of this turn.
    pub replies: ClientReplies,
}

impl ClientCommands {
    /// No clients yet, `max_clients` at most. `classes` and `class_names` are those under which they may submit.
    pub fn new(max_clients: usize, classes: Vec<Class>, class_names: Vec<String>) -> Self {
        let (sessions, replies) = (ClientSessions::new(max_clients), ClientReplies::default());
        ClientCommands { sessions, classes, class_names, replies }
    }

    /// Number of connected clients.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether a connection is a client's.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.sessions.owns(connection)
    }

    /// When [`ClientCommands::on_tick`] has something to do next.
    pub fn next_timeout(&self) -> Option<Time> {
        self.sessions.next_timeout()
    }

    /// A client connected.
    pub fn on_accepted(&mut self, now: Time, connection: ConnectionId) {
        debug!(connection = connection.0, clients = self.len(), "client connected");
        self.sessions.accept(now, connection);
    }

    /// A client's connection ended.
    pub fn on_closed(&mut self, connection: ConnectionId) {
        self.sessions.remove(connection);
    }

    /// A client has ended its sending: it is disconnected behind its replies.
    pub fn on_peer_finished(&mut self, connection: ConnectionId) {
        if let Some(finished) = self.sessions.on_peer_finished(connection) {
            self.disconnect(&finished);
        }
    }

    /// Disconnects clients whose time is over, and those that are too many. Call it once the turn's events are handled.
    pub fn on_tick(&mut self, now: Time) {
        for expired in self.sessions.on_tick(now) {
            self.disconnect(&expired);
        }
        for evicted in self.sessions.evict_surplus() {
            self.disconnect(&evicted);
        }
    }

    /// Disconnects a client that is no longer among the sessions, behind this turn's replies to it.
    fn disconnect(&mut self, Disconnect { connection, reason }: &Disconnect) {
        debug!(connection = connection.0, ?reason, clients = self.len(), "client disconnected");
        if let Some(text) = reason.error_text() {
            self.replies.push(*connection, Reply::Bytes(encode_error(&text)));
        }
        self.replies.close_after_replies(*connection);
    }

    /// Executes the commands that a client's bytes complete.
    pub fn on_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8], delivery: &mut Delivery) {
        let received = self.sessions.on_bytes(now, connection, bytes);
        for words in &received.commands {
            let reply = self.execute(now, connection, words, delivery);
            self.replies.push(connection, reply);
        }
        if let Some(reason) = received.disconnect {
            for _ in 0..received.refused_commands {
                self.replies.push(connection, Reply::Bytes(busy(Duration::ZERO)));
            }
            self.disconnect(&Disconnect { connection, reason });
        }
    }

    fn execute(
        &mut self,
        now: Time,
        connection: ConnectionId,
        words: &[Vec<u8>],
        delivery: &mut Delivery,
    ) -> Reply {
        let is_known = |destination| delivery.endpoints.has_destination(destination);
        let classes = RequestClasses { classes: &self.classes, names: &self.class_names };
        match client_request::parse(now, words, classes, is_known) {
            Ok(ClientRequest::Ping) => Reply::Bytes(encode_simple_string("PONG")),
            Ok(ClientRequest::Put(put)) => self.submit(now, *put, delivery),
            Err(problem) => {
                debug!(connection = connection.0, %problem, "request rejected");
                Reply::Bytes(encode_error(&problem.to_string()))
            }
        }
    }

    fn submit(&mut self, now: Time, put: PutRequest, delivery: &mut Delivery) -> Reply {
        // Guards against a refusal of what is held: a resubmission needs no room.
        let is_known = delivery.engine.message_id(&put.submission.idempotency_key).is_some();
        if !is_known && !delivery.log.can_accept(put.body.len()) {
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
                    "message accepted"
                );
                delivery.log.record(Record::Submitted { message_number: id.0, message: Box::new(message) });
                self.replies.add_submission(id);
                Reply::Submission(id)
            }
            known => {
                let client_id = String::from_utf8_lossy(&message.id);
                debug!(%client_id, reason = ?known, "message not accepted anew");
                self.reply_to_known(&known)
            }
        }
    }

    /// The reply to a message that is not new: it is held or completed, or there is no room for it.
    fn reply_to_known(&self, admission: &Admission) -> Reply {
        match *admission {
            // A resubmission: the first reply was lost on the way, or belongs to this very turn.
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

    /// Sends this turn's replies. Call it once the turn's records are in the log.
    pub fn send_replies(&mut self, net: &mut Net) {
        for EncodedReply { connection, bytes } in self.replies.take_replies() {
            #[cfg(feature = "planted-defects")]
            let connection = self.another_client(connection);
            let socket = socket_id(connection);
            net.send(socket, &bytes);
            if net.unsent_bytes(socket) > MAX_UNREAD_BYTES {
                debug!(connection = connection.0, "client closed, it does not read its replies");
                self.sessions.remove(connection);
                net.close(socket);
            }
        }
        for connection in self.replies.take_closing() {
            self.sessions.remove(connection);
            net.close_after_flush(socket_id(connection));
        }
    }

    /// The connection of another client in place of one that has left.
    #[cfg(feature = "planted-defects")]
    fn another_client(&self, connection: ConnectionId) -> ConnectionId {
        let has_left = is_planted(PlantedDefect::ReplyToAnother) && !self.owns(connection);
        let another = if has_left { self.sessions.newest() } else { None };
        another.unwrap_or(connection)
    }

    /// Disconnects clients that are between two requests.
    pub fn close_idle(&mut self, net: &mut Net) {
        for connection in self.sessions.take_idle() {
            debug!(connection = connection.0, "client disconnected, the gateway drains");
            net.close_after_flush(socket_id(connection));
        }
    }

    /// Disconnects all clients; one in the middle of a command may submit it again.
    pub fn close_all(&mut self, net: &mut Net) {
        for disconnect in self.sessions.take_all() {
            self.disconnect(&disconnect);
        }
        self.send_replies(net);
    }
}
