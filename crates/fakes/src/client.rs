//! A client program on sockets: submits messages over AS2 by a plan, waits for each final outcome, and submits
//! again where that is safe.
//!
//! | module | holds |
//! | --- | --- |
//! | `messages` | the plan, what is due when, and the order within a key |
//! | `gateways` | addresses of the gateways and the choice of one |
//! | `connections` | sockets and HTTP framing |
//! | `exchange` | the bytes of a submission and the outcome in its response |

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

/// The longest wait for socket events, so that a stop and a gateway's death are noticed.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time until a gateway is looked for again, where none runs.
const NO_GATEWAY_DELAY: Duration = Duration::from_millis(50);
/// Time until the resubmission, where the client drops its own connection.
const DISCONNECT_DELAY: Duration = Duration::from_millis(30);
/// Time until the resubmission, where a gateway that still runs closed the connection.
const CLOSED_BY_RUNNING_DELAY: Duration = Duration::from_millis(20);
/// Time until the resubmission, where the gateway stopped.
const CLOSED_BY_STOPPED_DELAY: Duration = Duration::from_millis(100);

/// How a client behaves.
#[derive(Clone, Debug)]
pub struct ClientBehaviour {
    /// Protection of its messages.
    pub security: Security,
    /// Receipts come on connections of their own.
    pub deferred_receipts: bool,
    /// How often a rejected message is submitted again.
    pub max_resubmissions: u32,
    /// Time until a resubmission, where the response has no `Retry-After`.
    pub retry_delay: Duration,
    /// How long after its deadline a message's outcome is waited for.
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

/// How far a client has come; shared with other threads.
#[derive(Default)]
pub struct Progress {
    /// Messages with their final outcome, or waited for no longer.
    pub completed: AtomicUsize,
    /// Ends the run when set.
    pub stop: AtomicBool,
}

/// One client.
pub struct Client<'a> {
    identity: &'a Identity,
    behaviour: ClientBehaviour,
    gateways: &'a GatewaySet,
    recorder: Recorder,
    progress: &'a Progress,
    connections: Connections,
    messages: MessageTable,
    selector: GatewaySelector,
    /// URL for deferred receipts.
    receipt_url: Option<String>,
}

impl<'a> Client<'a> {
    /// A client with its plan.
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

    /// Submits all messages of the plan; returns once each has its outcome or is waited for no longer.
    ///
    /// # Errors
    ///
    /// If the sockets can't be polled.
    pub fn run(&mut self) -> io::Result<()> {
        while self.messages.has_unfinished() && !self.progress.stop.load(Ordering::Relaxed) {
            let now = self.recorder.now();
            let next = self.messages.next_time().map(|at| at.saturating_sub(now));
            let timeout = next.unwrap_or(POLL_INTERVAL).min(POLL_INTERVAL);
            for event in self.connections.poll(timeout)? {
                for event in self.connections.on_event(event, self.recorder.now()) {
                    self.on_event(event);
                }
            }
            self.resubmit_after_gateway_stops();
            let now = self.recorder.now();
            while let Some(index) = self.messages.pop_due(now) {
                self.begin(index);
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

    /// Submits again what waits for a deferred receipt of a gateway that stopped: no connection tells of its death.
    fn resubmit_after_gateway_stops(&mut self) {
        for gateway in self.selector.newly_stopped(self.gateways) {
            let awaited = self.connections.awaited_messages();
            let mut lost = self.messages.waiting_for(gateway);
            lost.retain(|index| !awaited.contains(index));
            for index in lost {
                self.record_loss(index, gateway);
                self.messages.get_mut(index).after_loss = true;
                self.messages.schedule(self.recorder.now() + self.behaviour.retry_delay, index);
            }
        }
    }

    fn record_loss(&self, index: MessageIndex, gateway: usize) {
        let id = self.messages.get(index).planned.id.clone();
        self.recorder.record(ObservedEvent::ConnectionLost { id, gateway });
    }

    /// Submits a message now, or leaves it behind the one before of the same key.
    fn begin(&mut self, index: MessageIndex) {
        if !self.messages.get(index).finished && self.messages.join_key_queue(index) {
            self.submit(index);
        }
    }

    /// Submits the next message of the key, if this one held it up.
    fn release_next(&mut self, index: MessageIndex) {
        if let Some(next) = self.messages.leave_key_queue(index) {
            self.submit(next);
        }
    }

    fn finish(&mut self, index: MessageIndex) {
        if self.messages.mark_finished(index) {
            self.progress.completed.fetch_add(1, Ordering::Relaxed);
        }
        self.release_next(index);
    }

    /// A running gateway; messages of one key stay with theirs while it runs.
    fn select_gateway(&self, index: MessageIndex) -> Option<usize> {
        let message = self.messages.get(index);
        let hash = message.planned.key.as_deref().map_or(index.position(), key_hash);
        self.selector.select(self.gateways, self.recorder.now(), message.gateway, hash)
    }

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
            // A message is composed for one gateway, and another gateway does not know what the previous one did with it.
            message.composed = None;
            message.after_loss |= message.possibly_accepted;
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
            // Submits again at once, on another connection: the gateway may or may not have accepted it.
            self.messages.schedule(now + DISCONNECT_DELAY, index);
        }
    }

    /// Composes a message for its gateway, unless that was done for an earlier submission.
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

    /// A connection ended before its response came. `sent`: the gateway may have the message.
    fn on_lost(&mut self, gateway: usize, index: MessageIndex, sent: bool) {
        if self.messages.get(index).finished {
            return;
        }
        self.record_loss(index, gateway);
        let is_running = self.gateways.is_running(gateway);
        if !sent {
            self.selector.avoid(gateway, self.recorder.now());
        }
        let message = self.messages.get_mut(index);
        message.possibly_accepted |= sent;
        if sent && !is_running {
            // What the gateway did with it was lost with its process.
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
            return self.release_next(index);
        }
        let outcome = self.read_outcome(index, gateway, response);
        self.on_outcome(index, gateway, outcome, response);
    }

    /// A deferred receipt came.
    fn on_receipt(&mut self, message: &Message) {
        let sender = message.headers.get("as2-from").map(cloverstile_as2::unquote_name).unwrap_or_default();
        let Some(gateway) = self.gateways.names.iter().position(|name| *name == sender) else { return };
        let certificate = &self.gateways.certificates[gateway];
        let Ok(receipt) = read_receipt(&message.headers, &message.body, certificate) else { return };
        let Some(index) = self.messages.index_of(&receipt.original_id) else { return };
        let outcome = self.read_outcome(index, gateway, message);
        if self.messages.get(index).finished {
            // A repeated receipt is recorded too: it may report another outcome.
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
                self.messages.schedule(now + retry_after, index);
            }
            _ => self.finish(index),
        }
    }
}
