//! Outbound client: sends messages to partners in batches over pooled connections and reports the outcome of each
//! attempt to the engine.

mod batch;
mod connection_pool;
mod security;

use crate::context::Context;
use crate::identifiers::BatchId;
use crate::response_mapping::{outcome_of_receipt, outcome_of_status, rate_limit_status};
use crate::worker_result::{VerifiedResponse, WorkerResult};
use batch::{AttemptStage, Batch, BatchConnection};
use cloverstile::{EndpointId, MessageId, RateLimitStatus, Time};
use cloverstile_as2::{compose, read_receipt, As2Error, ComposedMessage, OutgoingMessage, Recipient};
use cloverstile_engine::{Attempt, TransportOutcome};
use cloverstile_http::{encode_request, DecodedItem, Message, StartLine};
use cloverstile_net::ConnId;
use cloverstile_settings::ReceiptMode;
use connection_pool::{ConnectionPool, ConnectionUse};
use security::security_for;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use tracing::{debug, warn};

/// Batches, attempts in progress and connections to the partners.
#[derive(Default)]
pub(crate) struct OutboundClient {
    batches: HashMap<BatchId, Batch>,
    /// The batch of each attempt whose outcome has not been reported.
    attempts: HashMap<Attempt, BatchId>,
    pool: ConnectionPool,
    /// The batch that waits for a message to be composed.
    awaiting_composition: HashMap<MessageId, BatchId>,
    last_batch_number: u64,
}

impl OutboundClient {
    /// Sends attempts one after another over one connection to an endpoint.
    pub fn send(&mut self, context: &mut Context, endpoint: EndpointId, attempts: Vec<Attempt>) {
        let mut queue = VecDeque::from(attempts);
        let Some(current) = queue.pop_front() else { return };
        self.last_batch_number += 1;
        let id = BatchId(self.last_batch_number);
        for attempt in std::iter::once(&current).chain(&queue) {
            self.attempts.insert(*attempt, id);
            context.engine.set_attempt_started(*attempt, false);
        }
        self.batches.insert(id, Batch::new(endpoint, current, queue));
        self.prepare_attempt(context, id);
    }

    /// Starts to compose the current message unless that is done, acquires a connection, and sends the request once
    /// both are ready.
    fn prepare_attempt(&mut self, context: &mut Context, id: BatchId) {
        let Some(batch) = self.batches.get(&id) else { return };
        let message = batch.current.message;
        // A late receipt or a shutdown may have completed the message since the decision to send it. Nothing may be
        // sent after the final outcome.
        if !context.engine.is_pending(message) {
            return self.end_attempt(context, id, TransportOutcome::Unsent, None);
        }
        let Some(in_flight) = context.messages.get(&message) else {
            return self.end_attempt(context, id, TransportOutcome::Unsent, None);
        };
        if in_flight.composed.is_none() {
            self.awaiting_composition.insert(message, id);
            start_composing(context, message);
        }
        if let Some(batch) = self.batches.get_mut(&id).filter(|batch| batch.connection.id().is_none()) {
            if let Some(connection) = self.pool.acquire(context, batch.endpoint, id) {
                batch.connection = connection;
            }
        }
        self.send_if_ready(context, id);
    }

    /// Takes a message that a worker thread composed and sends it if its batch has a connection.
    pub fn on_message_composed(
        &mut self,
        context: &mut Context,
        message: MessageId,
        composed: Result<Box<ComposedMessage>, As2Error>,
    ) {
        let batch = self.awaiting_composition.remove(&message);
        match composed {
            Ok(composed) => {
                if let Some(in_flight) = context.messages.get_mut(&message) {
                    in_flight.composed = Some(Arc::from(composed));
                }
                if let Some(id) = batch {
                    self.send_if_ready(context, id);
                }
            }
            Err(error) => {
                // Unexpected, because the settings were validated for it. Nothing was sent.
                warn!(message_id = context.idempotency_key(message), %error, "message could not be composed");
                if let Some(id) = batch {
                    self.end_attempt(context, id, TransportOutcome::Unsent, None);
                }
            }
        }
    }

    /// Sends the request of the current attempt if its message is composed and its connection established.
    fn send_if_ready(&mut self, context: &mut Context, id: BatchId) {
        let now = context.now();
        let Some(batch) = self.batches.get_mut(&id) else { return };
        let attempt = batch.current;
        let (Some(connection), AttemptStage::Preparing) = (batch.connection.established(), batch.stage)
        else {
            return;
        };
        let in_flight = context.messages.get(&attempt.message);
        let Some(composed) = in_flight.and_then(|in_flight| in_flight.composed.clone()) else { return };
        if !context.engine.is_pending(attempt.message) {
            return self.end_attempt(context, id, TransportOutcome::Unsent, None);
        }
        // Catches what happened since the policy's decision, while the message was being composed or the connection
        // established: a Retry-After, a drain, an outage or the end of the retry window.
        if !context.engine.may_send_now(now, attempt) {
            return self.end_attempt(context, id, TransportOutcome::NotStarted, None);
        }
        // What a reused connection has received by now answers no request.
        if matches!(self.pool.use_of(connection), Some(ConnectionUse::Batch { is_reused: true, .. })) {
            let received = context.net.receive_now(connection);
            if !received.bytes.is_empty() || received.end.is_some() {
                return self.on_unsolicited_bytes(context, id, connection, received.bytes.len());
            }
        }
        let Some(endpoint) = context.endpoints.get(&batch.endpoint) else { return };
        context.engine.set_attempt_started(attempt, true);
        batch.stage = AttemptStage::AwaitingResponse;
        debug!(
            message_id = context.idempotency_key(attempt.message),
            attempt = attempt.number,
            partner = %context.config.partners[endpoint.partner].name,
            endpoint = %endpoint.name,
            "request sent"
        );
        let mut headers = composed.headers.clone();
        headers.add("Host", endpoint.address.to_string()).add("User-Agent", "cloverstile");
        let bytes = encode_request("POST", &endpoint.path, &headers, &composed.body);
        context.net.send(connection, &bytes);
    }

    /// Sends the request that waits for this connection, or ends the probe as successful.
    pub fn on_connected(&mut self, context: &mut Context, connection: ConnId) {
        match self.pool.use_of(connection) {
            Some(ConnectionUse::Batch { batch, .. }) => {
                let id = *batch;
                if let Some(batch) = self.batches.get_mut(&id) {
                    batch.connection = BatchConnection::Established(connection);
                }
                self.send_if_ready(context, id);
            }
            Some(&ConnectionUse::Probe { endpoint, started }) => {
                self.pool.close(context, connection);
                report_probe(context, endpoint, started, true);
            }
            Some(ConnectionUse::Idle(_)) | None => {}
        }
    }

    /// Ends the batch or the probe that the connection was opened for.
    pub fn on_connect_failed(&mut self, context: &mut Context, connection: ConnId) {
        match self.pool.remove(connection) {
            Some(ConnectionUse::Batch { batch, .. }) => self.fail_unconnected_batch(context, batch),
            Some(ConnectionUse::Probe { endpoint, started }) => {
                context.net.close(connection);
                report_probe(context, endpoint, started, false);
            }
            Some(ConnectionUse::Idle(_)) | None => {}
        }
    }

    /// Ends a batch whose connection could not be established; none of its remaining messages was sent.
    fn fail_unconnected_batch(&mut self, context: &mut Context, id: BatchId) {
        let Some(batch) = self.batches.remove(&id) else { return };
        for attempt in std::iter::once(batch.current).chain(batch.queue) {
            self.report_outcome(context, attempt, TransportOutcome::ConnectFailed, None);
        }
    }

    /// Treats a connection that is still not established as failed.
    pub fn on_connect_timeout(&mut self, context: &mut Context, connection: ConnId) {
        let connecting = match self.pool.use_of(connection) {
            Some(ConnectionUse::Batch { batch, .. }) => {
                self.batches.get(batch).is_some_and(|batch| batch.connection.established().is_none())
            }
            Some(ConnectionUse::Probe { .. }) => true,
            Some(ConnectionUse::Idle(_)) | None => false,
        };
        if connecting {
            context.net.close(connection);
            self.on_connect_failed(context, connection);
        }
    }

    // ---- Responses ----

    /// Decodes bytes of a response and handles the response once it is complete.
    pub fn on_bytes(&mut self, context: &mut Context, connection: ConnId, bytes: &[u8]) {
        let now = context.since_start();
        let Some(ConnectionUse::Batch { batch, decoder, .. }) = self.pool.use_of_mut(connection) else {
            // The endpoint sent bytes without a request, so the connection can't be used again.
            log_unsolicited(connection, bytes.len(), "idle");
            self.on_closed(context, connection);
            return context.net.close(connection);
        };
        let id = *batch;
        let stage = self.batches.get(&id).map(|batch| batch.stage);
        if stage != Some(AttemptStage::AwaitingResponse) {
            return self.on_unsolicited_bytes(context, id, connection, bytes.len());
        }
        decoder.feed(now, bytes);
        match decoder.next(now) {
            Ok(Some(DecodedItem::Message(mut message))) => {
                let surplus = decoder.buffered_bytes();
                if surplus > 0 {
                    log_unsolicited(connection, surplus, "after the response");
                    message.keep_alive = false;
                }
                self.on_response(context, id, message);
            }
            Ok(_) => {}
            Err(error) => {
                debug!(%error, "invalid response");
                self.pool.close(context, connection);
                self.on_connection_lost(context, id, TransportOutcome::Error);
            }
        }
    }

    /// Handles bytes, or the end if there are none, on the connection of a batch that awaits no response. Bytes would be
    /// taken for the response to the next request, so the connection carries no further one; a request that was not sent
    /// goes out on another connection.
    fn on_unsolicited_bytes(
        &mut self,
        context: &mut Context,
        id: BatchId,
        connection: ConnId,
        byte_count: usize,
    ) {
        if byte_count > 0 {
            log_unsolicited(connection, byte_count, "no response awaited");
        }
        let Some(batch) = self.batches.get_mut(&id) else { return self.pool.close(context, connection) };
        if batch.stage == AttemptStage::Preparing {
            batch.connection = BatchConnection::None;
            self.pool.close(context, connection);
            self.prepare_attempt(context, id);
        } else {
            batch.keep_alive = false;
        }
    }

    fn on_response(&mut self, context: &mut Context, id: BatchId, message: Message) {
        let is_awaiting_response = |batch: &&mut Batch| batch.stage == AttemptStage::AwaitingResponse;
        let Some(batch) = self.batches.get_mut(&id).filter(is_awaiting_response) else { return };
        let StartLine::Response { status } = message.start_line else { return };
        let attempt = batch.current;
        batch.rate_limit = rate_limit_status(&message.headers);
        batch.keep_alive = message.keep_alive;
        if let Some(outcome) = outcome_of_status(status, &message.headers) {
            return self.end_attempt(context, id, outcome, None);
        }
        let Some(in_flight) = context.messages.get(&attempt.message) else {
            return self.end_attempt(context, id, TransportOutcome::Error, None);
        };
        let receipt = context.config.partners[in_flight.partner].receipt_mode;
        match (message.body.is_empty(), receipt) {
            (true, ReceiptMode::Async) => self.detach_attempt(context, id),
            (true, _) => {
                let error = As2Error::Missing("receipt");
                self.end_attempt(context, id, TransportOutcome::Error, Some(error));
            }
            (false, _) if in_flight.composed.is_none() => {}
            (false, _) => {
                batch.stage = AttemptStage::VerifyingReceipt;
                start_verifying_receipt(context, id, attempt, message);
            }
        }
    }

    /// Ends the attempt whose receipt a worker thread verified.
    pub fn on_response_verified(&mut self, context: &mut Context, verified: VerifiedResponse) {
        let VerifiedResponse { batch: id, attempt, outcome, error } = verified;
        let is_verifying =
            |batch: &Batch| batch.stage == AttemptStage::VerifyingReceipt && batch.current == attempt;
        if let Some(batch) = self.batches.get_mut(&id).filter(|batch| is_verifying(batch)) {
            // A receipt for another message is a copy, behind which the receipt for this one may follow.
            batch.keep_alive &= error.is_none();
            self.end_attempt(context, id, outcome, error);
        } else if outcome == TransportOutcome::Processed {
            // The attempt was abandoned while its receipt was being verified; the receipt still counts for the message.
            context.engine.on_receipt(context.now(), attempt.message, outcome);
        }
    }

    /// Reports the outcome of an attempt to the engine, unless that was done or the attempt abandoned.
    fn report_outcome(
        &mut self,
        context: &mut Context,
        attempt: Attempt,
        outcome: TransportOutcome,
        rate_limit: Option<RateLimitStatus>,
    ) {
        if self.attempts.remove(&attempt).is_some() {
            context.engine.on_attempt_completed(context.now(), attempt, outcome, rate_limit);
        }
    }

    /// Reports the outcome of a batch's current attempt and starts the next one. `error` is logged as the reason why
    /// the response was rejected.
    fn end_attempt(
        &mut self,
        context: &mut Context,
        id: BatchId,
        outcome: TransportOutcome,
        error: Option<As2Error>,
    ) {
        let Some(batch) = self.batches.get_mut(&id) else { return };
        let (attempt, rate_limit) = (batch.current, batch.rate_limit.take());
        if let Some(error) = error {
            let endpoint = context.endpoints.get(&batch.endpoint);
            let partner =
                endpoint.map_or("", |endpoint| context.config.partners[endpoint.partner].name.as_str());
            let message_id = context.idempotency_key(attempt.message);
            warn!(message_id, attempt = attempt.number, partner, %error, "response rejected");
        }
        self.report_outcome(context, attempt, outcome, rate_limit);
        self.start_next_attempt(context, id);
    }

    /// Starts the next attempt while the current one waits for its asynchronous receipt, which comes over another
    /// connection.
    fn detach_attempt(&mut self, context: &mut Context, id: BatchId) {
        if let Some(batch) = self.batches.get(&id) {
            self.attempts.remove(&batch.current);
        }
        self.start_next_attempt(context, id);
    }

    /// Starts the next attempt of a batch, or releases the connection after the last one. After a response the next attempt
    /// gets another connection, as a copy of the response may follow on this one.
    fn start_next_attempt(&mut self, context: &mut Context, id: BatchId) {
        let Some(batch) = self.batches.get_mut(&id) else { return };
        let stage = std::mem::replace(&mut batch.stage, AttemptStage::Preparing);
        let keep_alive = std::mem::replace(&mut batch.keep_alive, true);
        if !keep_alive {
            if let Some(connection) = batch.take_connection() {
                self.pool.close(context, connection);
            }
        } else if stage != AttemptStage::Preparing {
            let connection = std::mem::replace(&mut batch.connection, BatchConnection::None);
            self.pool.release(context, batch.endpoint, connection);
        }
        if let Some(next) = batch.queue.pop_front() {
            batch.current = next;
            self.prepare_attempt(context, id);
        } else if let Some(batch) = self.batches.remove(&id) {
            self.pool.release(context, batch.endpoint, batch.connection);
        }
    }

    // ---- Connections that end without a response ----

    /// Handles a connection that the endpoint closed or that broke.
    pub fn on_closed(&mut self, context: &mut Context, connection: ConnId) {
        match self.pool.remove(connection) {
            Some(ConnectionUse::Batch { batch: id, mut decoder, .. }) => match decoder.on_connection_end() {
                // The end of the connection completes a response that has no Content-Length.
                Ok(Some(message)) => {
                    if let Some(batch) = self.batches.get_mut(&id) {
                        batch.connection = BatchConnection::None;
                    }
                    self.on_response(context, id, message);
                }
                _ => self.on_connection_lost(context, id, TransportOutcome::Reset),
            },
            Some(ConnectionUse::Probe { endpoint, started }) => {
                context.net.close(connection);
                report_probe(context, endpoint, started, false);
            }
            Some(ConnectionUse::Idle(_)) | None => {}
        }
    }

    /// Handles the loss of a batch's connection: the request in flight is reported with `outcome`, requests that were
    /// not sent as unsent.
    fn on_connection_lost(&mut self, context: &mut Context, id: BatchId, outcome: TransportOutcome) {
        let Some(batch) = self.batches.get_mut(&id) else { return };
        batch.connection = BatchConnection::None;
        match batch.stage {
            // Nothing of this message was sent over it, so another connection is acquired.
            AttemptStage::Preparing => self.prepare_attempt(context, id),
            // The response has arrived completely; its receipt determines the outcome.
            AttemptStage::VerifyingReceipt => batch.keep_alive = true,
            AttemptStage::AwaitingResponse => {
                let Some(batch) = self.batches.remove(&id) else { return };
                // The policy acts on the last outcome of a batch, so the outcome of the request in flight, which tells
                // what happened, is reported last.
                for unsent in batch.queue {
                    self.report_outcome(context, unsent, TransportOutcome::Unsent, None);
                }
                self.report_outcome(context, batch.current, outcome, None);
            }
        }
    }

    /// Abandons an attempt; its outcome is not reported.
    pub fn abandon(&mut self, context: &mut Context, attempt: Attempt) {
        let Some(id) = self.attempts.remove(&attempt) else { return };
        let Some(batch) = self.batches.get_mut(&id) else { return };
        if batch.current != attempt {
            return batch.queue.retain(|queued| *queued != attempt);
        }
        // The connection is closed so that a response to this attempt can't be taken for the next message's.
        if let Some(connection) = batch.take_connection() {
            self.pool.close(context, connection);
        }
        self.start_next_attempt(context, id);
    }

    // ---- Idle connections and probes ----

    /// Closes a connection whose idle timer fired, unless it is in use.
    pub fn on_idle_timeout(&mut self, context: &mut Context, connection: ConnId) {
        self.pool.on_idle_timeout(context, connection);
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle(&mut self, context: &mut Context, endpoint: EndpointId) {
        self.pool.close_idle(context, endpoint);
    }

    /// Opens a connection to learn whether the endpoint accepts it; the result is reported to the engine.
    pub fn probe(&mut self, context: &mut Context, endpoint: EndpointId) {
        self.pool.probe(context, endpoint);
    }
}

fn log_unsolicited(connection: ConnId, byte_count: usize, phase: &str) {
    warn!(connection = connection.0, byte_count, phase, "unsolicited bytes received, connection closed");
}

/// Starts to compose a message on a worker thread, unless that has begun already.
fn start_composing(context: &mut Context, message: MessageId) {
    let receipts_url = context.receipts_url();
    let message_id = context.idempotency_key(message).to_owned();
    let in_flight = context.messages.get_mut(&message).filter(|in_flight| !in_flight.composing);
    let Some(in_flight) = in_flight else { return };
    let Some(payload) = in_flight.payload.take() else { return };
    in_flight.composing = true;
    let partner = &context.config.partners[in_flight.partner];
    let security = security_for(partner, receipts_url);
    let certificate = context.directory.partners[in_flight.partner].clone();
    let (identity, recipient_name) = (context.directory.own_identity.clone(), partner.as2_name.clone());
    context.crypto_pool.submit(move || {
        let outgoing = OutgoingMessage { message_id: &message_id, payload: &payload, subject: None };
        let recipient = Recipient { name: &recipient_name, certificate: &certificate };
        let composed = compose(&outgoing, &identity, recipient, &security).map(Box::new);
        WorkerResult::MessageComposed { message, composed }
    });
}

/// Starts to verify the receipt in a response on a worker thread.
fn start_verifying_receipt(context: &mut Context, batch: BatchId, attempt: Attempt, response: Message) {
    let Some(in_flight) = context.messages.get(&attempt.message) else { return };
    let Some(composed) = in_flight.composed.clone() else { return };
    let certificate = context.directory.partners[in_flight.partner].clone();
    let requires_signature = context.config.partners[in_flight.partner].receipt_mode != ReceiptMode::Unsigned;
    let message_id = context.idempotency_key(attempt.message).to_owned();
    context.crypto_pool.submit(move || {
        let receipt = read_receipt(&response.headers, &response.body, &certificate);
        let verified = receipt.and_then(|receipt| {
            receipt.check(&message_id, &composed.mic, requires_signature)?;
            Ok(outcome_of_receipt(&receipt))
        });
        let (outcome, error) = match verified {
            Ok(outcome) => (outcome, None),
            Err(error) => (TransportOutcome::Error, Some(error)),
        };
        WorkerResult::ResponseVerified(VerifiedResponse { batch, attempt, outcome, error })
    });
}

/// Reports the result of a probe, and the time that it took, to the engine.
fn report_probe(context: &mut Context, endpoint: EndpointId, started: Time, connected: bool) {
    let now = context.now();
    context.engine.on_probe_completed(now, endpoint, connected, now - started);
}
