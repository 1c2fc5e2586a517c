//! A fake client program: submits planned messages to the gateways over AS2, waits for the final outcome of each, and
//! resubmits where that is safe.
//!
//! | module | contents |
//! | --- | --- |
//! | `messages` | planned messages, due times, and the order within an order key |
//! | `gateways` | addresses of the gateways and the selection of one |
//! | `connections` | sockets and HTTP framing |
//! | `exchange` | encoding of submissions and decoding of outcomes |

mod connections;
mod exchange;
mod gateways;
mod messages;

pub use gateways::GatewaySet;
pub use messages::PlannedMessage;

use crate::record::{micros, ObservedEvent, Recorder, ReportedOutcome};
use cloverstile_as2::{read_receipt, Digest, Identity, ReceiptRequest, Recipient, Security};
use cloverstile_http::Message;
use connections::{ConnectionEvent, Connections};
use gateways::{key_hash, GatewaySelector};
use messages::{MessageIndex, MessageTable};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Maximum wait for socket events; bounds the time until a request to stop or a stopped gateway is noticed.
const MAX_POLL_WAIT: Duration = Duration::from_millis(100);
/// Delay before selecting a gateway again when none is running.
const NO_GATEWAY_DELAY: Duration = Duration::from_millis(50);
/// Delay before resubmitting a message whose connection the client itself drops.
const DISCONNECT_DELAY: Duration = Duration::from_millis(30);
/// Delay before resubmitting after a connection to a gateway that is still running was lost.
const CLOSED_BY_RUNNING_DELAY: Duration = Duration::from_millis(20);
/// Delay before resubmitting after a connection was lost because the gateway stopped.
const CLOSED_BY_STOPPED_DELAY: Duration = Duration::from_millis(100);

/// Configuration of a client's protocol options, resubmissions and timeouts.
#[derive(Clone, Debug)]
pub struct ClientBehaviour {
    /// Signing and encryption of messages, and the receipts requested for them.
    pub security: Security,
    /// Whether gateways deliver receipts later, on separate connections to the client.
    pub deferred_receipts: bool,
    /// Maximum number of resubmissions of a rejected message; messages with an order key are not resubmitted.
    pub max_resubmissions: u32,
    /// Delay before a resubmission if the response has no `Retry-After`, the gateway did not accept the message, or a
    /// gateway that owed a deferred receipt stopped.
    pub retry_delay: Duration,
    /// How long after a message's deadline the client stops waiting for its outcome.
    pub outcome_timeout: Duration,
}

impl Default for ClientBehaviour {
    fn default() -> Self {
        let receipt = Some(ReceiptRequest { deliver_to: None, signed: vec![Digest::Sha256] });
        ClientBehaviour {
            security: Security { encrypt: None, receipt, ..Security::default() },
            deferred_receipts: false,
            max_resubmissions: 1,
            retry_delay: Duration::from_millis(300),
            outcome_timeout: Duration::from_secs(3),
        }
    }
}

/// Progress of a client and a flag to stop it; shared with other threads.
#[derive(Default)]
pub struct Progress {
    /// Number of messages that have their final outcome or were given up on by the client.
    pub completed: AtomicUsize,
    /// Makes [`Client::run`] return when set.
    pub stop: AtomicBool,
}

/// A client that submits its planned messages from a single thread.
pub struct Client<'a> {
    identity: &'a Identity,
    behaviour: ClientBehaviour,
    gateways: &'a GatewaySet,
    recorder: Recorder,
    progress: &'a Progress,
    connections: Connections,
    messages: MessageTable,
    selector: GatewaySelector,
    /// URL to which gateways deliver deferred receipts; `None` if receipts are part of the response.
    receipt_url: Option<String>,
}

impl<'a> Client<'a> {
    /// Creates a client that will submit the messages of `plan`.
    ///
    /// # Errors
    ///
    /// If its sockets can't be created.
    pub fn new(
        identity: &'a Identity,
        behaviour: ClientBehaviour,
        gateways: &'a GatewaySet,
        plan: Vec<PlannedMessage>,
        recorder: Recorder,
        progress: &'a Progress,
    ) -> io::Result<Self> {
        let mut connections = Connections::new()?;
        let receipt_url = if behaviour.deferred_receipts {
            Some(format!("http://{}/receipts", connections.listen()?))
        } else {
            None
        };
        Ok(Client {
            identity,
            behaviour,
            gateways,
            recorder,
            progress,
            connections,
            messages: MessageTable::new(plan),
            selector: GatewaySelector::new(gateways.running.len()),
            receipt_url,
        })
    }

    /// Submits all planned messages. Returns once each has its final outcome or timed out, or when asked to stop.
    ///
    /// # Errors
    ///
    /// If the sockets can't be polled.
    pub fn run(&mut self) -> io::Result<()> {
        while self.messages.has_unfinished() && !self.progress.stop.load(Ordering::Relaxed) {
            let now = self.recorder.now();
            let next = self.messages.next_time().map(|at| at.saturating_sub(now));
            let timeout = next.unwrap_or(MAX_POLL_WAIT).min(MAX_POLL_WAIT);
            for event in self.connections.poll(timeout)? {
                for event in self.connections.on_event(event, self.recorder.now()) {
                    self.on_event(event);
                }
            }
            self.resubmit_after_gateway_stops();
            let now = self.recorder.now();
            while let Some(index) = self.messages.pop_due(now) {
                self.submit_in_key_order(index);
            }
            while let Some(index) = self.messages.pop_timed_out(now) {
                if !self.messages.get(index).finished {
                    self.finish(index);
                }
            }
        }
        Ok(())
    }

    fn on_event(&mut self, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Flushed { connection, message } => {
                if self.messages.get(message).disconnects_now() {
                    self.messages.get_mut(message).possibly_accepted = true;
                    self.connections.close(connection);
                }
            }
            ConnectionEvent::Lost { gateway, message, sent } => self.on_lost(gateway, message, sent),
            ConnectionEvent::Response { gateway, message, response } => {
                self.on_response(gateway, message, &response);
            }
            ConnectionEvent::Receipt(message) => self.on_receipt(&message),
        }
    }

    /// Resubmits messages that a gateway which stopped may hold without an open connection, which would report the loss: those
    /// that wait for a deferred receipt, and those whose connection ended before. A message that the gateway did not accept is
    /// not lost with it.
    fn resubmit_after_gateway_stops(&mut self) {
        for gateway in self.selector.newly_stopped(self.gateways) {
            let awaited = self.connections.awaited_messages();
            let mut lost = self.messages.possibly_held_by(gateway);
            lost.retain(|index| !awaited.contains(index));
            for index in lost {
                self.record_connection_loss(index, gateway);
                self.messages.get_mut(index).after_loss = true;
                self.messages.schedule(self.recorder.now() + self.behaviour.retry_delay, index);
            }
        }
    }

    fn record_connection_loss(&self, index: MessageIndex, gateway: usize) {
        let id = self.messages.get(index).planned.id.clone();
        self.recorder.record(ObservedEvent::ConnectionLost { id, gateway });
    }

    /// Submits a message, unless it has to wait for an earlier message with the same order key.
    fn submit_in_key_order(&mut self, index: MessageIndex) {
        if !self.messages.get(index).finished && self.messages.join_key_queue(index) {
            self.submit(index);
        }
    }

    /// Submits the next message with the same order key, if it was waiting for this one.
    fn submit_next_of_key(&mut self, index: MessageIndex) {
        if let Some(next) = self.messages.leave_key_queue(index) {
            self.submit(next);
        }
    }

    /// Marks a message as finished and submits the one that was waiting for it.
    fn finish(&mut self, index: MessageIndex) {
        if self.messages.mark_finished(index) {
            self.progress.completed.fetch_add(1, Ordering::Relaxed);
        }
        self.submit_next_of_key(index);
    }

    /// Selects a running gateway. Messages with the same order key go to the same gateway while it runs.
    fn select_gateway(&self, index: MessageIndex) -> Option<usize> {
        let message = self.messages.get(index);
        let hash = message.planned.key.as_deref().map_or(index.position(), key_hash);
        self.selector.select(self.gateways, self.recorder.now(), message.gateway, hash)
    }

    /// Submits a message to a gateway, or schedules another try if none is running.
    fn submit(&mut self, index: MessageIndex) {
        let now = self.recorder.now();
        let Some(gateway) = self.select_gateway(index) else {
            return self.messages.schedule(now + NO_GATEWAY_DELAY, index);
        };
        let message = self.messages.get_mut(index);
        if message.finished {
            return;
        }
        if message.gateway != Some(gateway) {
            // The message was composed for the previous gateway, and the new one does not know whether that one
            // accepted it.
            message.composed = None;
            message.after_loss |= std::mem::take(&mut message.possibly_accepted);
        }
        message.gateway = Some(gateway);
        let deadline = *message.deadline.get_or_insert(now + message.planned.deadline);
        if now >= deadline {
            return self.finish(index);
        }
        message.submissions += 1;
        if message.submissions == 1 {
            self.messages.schedule_timeout(deadline + self.behaviour.outcome_timeout, index);
        }
        self.compose(index, gateway);
        let message = self.messages.get(index);
        let Some(composed) = &message.composed else { return self.finish(index) };
        let address = self.gateways.addresses[gateway];
        let bytes = exchange::submission_request(message, composed, address, deadline - now);
        self.recorder.record(ObservedEvent::Submitted {
            id: message.planned.id.clone(),
            gateway,
            class: message.planned.class.clone(),
            partner: message.planned.partner.clone(),
            key: message.planned.key.clone(),
            deadline: micros(deadline),
            after_loss: message.after_loss,
        });
        let disconnects = message.disconnects_now();
        self.connections.submit(gateway, address, index, bytes);
        if disconnects {
            // Resubmits on another connection without waiting: the gateway may or may not have accepted the message.
            self.messages.schedule(now + DISCONNECT_DELAY, index);
        }
    }

    /// Composes a message for its gateway, unless an earlier submission to it already did.
    fn compose(&mut self, index: MessageIndex, gateway: usize) {
        if self.messages.get(index).composed.is_some() {
            return;
        }
        let recipient = Recipient {
            name: &self.gateways.names[gateway],
            certificate: &self.gateways.certificates[gateway],
        };
        let mut security = self.behaviour.security.clone();
        if let Some(receipt) = &mut security.receipt {
            receipt.deliver_to.clone_from(&self.receipt_url);
        }
        let message = self.messages.get_mut(index);
        message.composed = exchange::compose_message(message, self.identity, recipient, &security);
    }

    /// Handles a connection that ended before its response. `sent`: the gateway may have received the message.
    fn on_lost(&mut self, gateway: usize, index: MessageIndex, sent: bool) {
        if self.messages.get(index).finished {
            return;
        }
        self.record_connection_loss(index, gateway);
        let is_running = self.gateways.is_running(gateway);
        if !sent {
            self.selector.avoid(gateway, self.recorder.now());
        }
        let message = self.messages.get_mut(index);
        message.possibly_accepted |= sent;
        if sent && !is_running {
            // Whether the gateway accepted the message was lost with its process.
            message.after_loss = true;
        }
        let delay = if is_running { CLOSED_BY_RUNNING_DELAY } else { CLOSED_BY_STOPPED_DELAY };
        self.messages.schedule(self.recorder.now() + delay, index);
    }

    fn on_response(&mut self, gateway: usize, index: Option<MessageIndex>, response: &Message) {
        let Some(index) = index.filter(|index| !self.messages.get(*index).finished) else { return };
        if self.receipt_url.is_some() && exchange::is_acceptance(response) {
            let id = self.messages.get(index).planned.id.clone();
            self.recorder.record(ObservedEvent::Accepted { id, gateway });
            self.messages.get_mut(index).possibly_accepted = true;
            return self.submit_next_of_key(index);
        }
        let outcome = self.read_outcome(index, gateway, response);
        self.on_outcome(index, gateway, outcome, response);
    }

    /// Handles a deferred receipt. Ignores it if its sender or its message is unknown, or if it can't be verified.
    fn on_receipt(&mut self, message: &Message) {
        let sender = message.headers.get("as2-from").map(cloverstile_as2::unquote_name).unwrap_or_default();
        let Some(gateway) = self.gateways.names.iter().position(|name| *name == sender) else { return };
        let certificate = &self.gateways.certificates[gateway];
        let Ok(receipt) = read_receipt(&message.headers, &message.body, certificate) else { return };
        let Some(index) = self.messages.index_of(&receipt.original_id) else { return };
        let outcome = self.read_outcome(index, gateway, message);
        if self.messages.get(index).finished {
            // Repeated receipts are recorded too, as they may report a different outcome.
            let id = receipt.original_id;
            return self.recorder.record(ObservedEvent::OutcomeReceived { id, gateway, outcome });
        }
        self.on_outcome(index, gateway, outcome, message);
    }

    fn read_outcome(&self, index: MessageIndex, gateway: usize, response: &Message) -> ReportedOutcome {
        exchange::read_outcome(self.messages.get(index), response, &self.gateways.certificates[gateway])
    }

    fn on_outcome(
        &mut self,
        index: MessageIndex,
        gateway: usize,
        outcome: ReportedOutcome,
        response: &Message,
    ) {
        let now = self.recorder.now();
        let message = self.messages.get_mut(index);
        let id = message.planned.id.clone();
        self.recorder.record(ObservedEvent::OutcomeReceived { id, gateway, outcome });
        let seconds = response.headers.get("retry-after").and_then(|text| text.parse().ok());
        let retry_after = seconds.map_or(self.behaviour.retry_delay, Duration::from_secs);
        let resubmissions = self.behaviour.max_resubmissions;
        match outcome {
            ReportedOutcome::NotAccepted => {
                self.selector.avoid(gateway, now);
                self.messages.schedule(now + self.behaviour.retry_delay, index);
            }
            ReportedOutcome::Rejected
                if message.rejections < resubmissions && message.planned.key.is_none() =>
            {
                message.rejections += 1;
                message.possibly_accepted = false;
                self.messages.schedule(now + retry_after, index);
            }
            _ => self.finish(index),
        }
    }
}
