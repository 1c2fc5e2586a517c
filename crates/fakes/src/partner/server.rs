//! Event loop of the fake partners: receives requests, and sends responses and deferred receipts at the times that the
//! model determines.

use super::config::{FakePartner, PartnerCommand, ReceiptFault};
use super::receipts::{self, ReceiptSigner};
use super::served::{EndpointListener, ServedPartner};
use crate::model::{Fault, Reply};
use crate::record::{ObservedEvent, Recorder, RequestEnd};
use cloverstile_as2::{Certificate, ComposedMessage, Envelope};
use cloverstile_http::{encode_request, encode_response, DecodedItem, Decoder, Headers, Limits, Message};
use cloverstile_net::{ConnId, ListenerId, Net, NetEvent, Waker};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Time between the copies of a duplicated receipt, in milliseconds.
const DUPLICATE_SPACING_MS: u64 = 20;

/// Indexes of a partner and of one of its endpoints.
#[derive(Clone, Copy)]
struct EndpointRef {
    partner: usize,
    endpoint: usize,
}

/// An incoming connection from a gateway.
struct Connection {
    endpoint_ref: EndpointRef,
    decoder: Decoder,
    /// Number of the request that waits for its response.
    request: Option<u64>,
    /// When the last response was sent.
    last_used: Option<Duration>,
}

/// A response that is scheduled for a later time.
struct PendingResponse {
    connection: ConnId,
    partner: usize,
    request: u64,
    message: Message,
    reply: Reply,
    takes_effect: bool,
}

/// The second copy of a response.
struct RepeatedResponse {
    connection: ConnId,
    bytes: Vec<u8>,
}

/// A receipt that is sent on a separate connection.
struct DeferredReceipt {
    address: SocketAddr,
    bytes: Vec<u8>,
}

/// Server of all fake partners, run by one thread.
pub(super) struct Server {
    net: Net,
    partners: Vec<ServedPartner>,
    /// Certificates of the gateways, by AS2 name.
    gateways: HashMap<String, Certificate>,
    recorder: Recorder,
    connections: HashMap<ConnId, Connection>,
    listeners: HashMap<ListenerId, EndpointRef>,
    /// Scheduled responses, by time and request number.
    pending_responses: BTreeMap<(Duration, u64), PendingResponse>,
    /// Bytes of deferred receipts whose connection is not established yet.
    unsent_receipts: HashMap<ConnId, Vec<u8>>,
    /// Scheduled deferred receipts, by time and sequence number.
    deferred_receipts: BTreeMap<(Duration, u64), DeferredReceipt>,
    /// Second copies of responses, by time and sequence number.
    repeated_responses: BTreeMap<(Duration, u64), RepeatedResponse>,
    /// Last number given to a request or a deferred receipt.
    last_sequence_number: u64,
}

impl Server {
    /// Creates a server that listens on a free port of the loopback address for each endpoint.
    pub(super) fn new(
        partners: Vec<FakePartner>,
        gateways: HashMap<String, Certificate>,
        recorder: Recorder,
        seed: u64,
    ) -> io::Result<Self> {
        let mut server = Server {
            net: Net::new()?,
            partners: Vec::new(),
            gateways,
            recorder,
            connections: HashMap::new(),
            listeners: HashMap::new(),
            pending_responses: BTreeMap::new(),
            unsent_receipts: HashMap::new(),
            deferred_receipts: BTreeMap::new(),
            repeated_responses: BTreeMap::new(),
            last_sequence_number: 0,
        };
        for (partner, config) in partners.into_iter().enumerate() {
            let mut listeners = Vec::new();
            for endpoint in 0..config.endpoints {
                let (listener, address) = server.net.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
                server.listeners.insert(listener, EndpointRef { partner, endpoint });
                listeners.push(EndpointListener { listener: Some(listener), address });
            }
            let seed = seed ^ ((partner as u64) << 8);
            server.partners.push(ServedPartner::new(config, listeners, seed));
        }
        Ok(server)
    }

    /// Listening addresses, indexed by partner and endpoint.
    pub(super) fn addresses(&self) -> Vec<Vec<SocketAddr>> {
        let of_partner = |partner: &ServedPartner| {
            partner.listeners.iter().map(|endpoint| endpoint.address).collect::<Vec<_>>()
        };
        self.partners.iter().map(of_partner).collect()
    }

    pub(super) fn waker(&self) -> Waker {
        self.net.waker()
    }

    /// Runs until [`PartnerCommand::Stop`] is received or polling the sockets fails.
    pub(super) fn run(&mut self, commands: &Receiver<PartnerCommand>) {
        loop {
            let timeout = self.next_time().map(|at| at.saturating_sub(self.recorder.now()));
            let Ok(events) = self.net.poll(timeout) else { return };
            for event in events {
                self.on_event(event);
            }
            while let Ok(command) = commands.try_recv() {
                match command {
                    PartnerCommand::Fault { partner, fault, group, duration } => {
                        self.begin_fault(partner, fault, group, duration);
                    }
                    PartnerCommand::SetReceiptFault { partner, fault } => {
                        self.partners[partner].receipt_fault = fault;
                    }
                    PartnerCommand::Stop => return,
                }
            }
            self.on_timer(self.recorder.now());
        }
    }

    /// Time of the next due response, deferred receipt or end of a fault.
    fn next_time(&self) -> Option<Duration> {
        let next = [
            self.pending_responses.first_key_value().map(|((at, _), _)| *at),
            self.deferred_receipts.first_key_value().map(|((at, _), _)| *at),
            self.repeated_responses.first_key_value().map(|((at, _), _)| *at),
            self.partners.iter().filter_map(|partner| partner.fault_ends_at).min(),
        ];
        next.into_iter().flatten().min()
    }

    /// Ends faults, and sends responses and deferred receipts, that are due.
    fn on_timer(&mut self, now: Duration) {
        for partner in 0..self.partners.len() {
            if self.partners[partner].fault_ends_at.is_some_and(|at| at <= now) {
                self.end_fault(partner);
            }
        }
        while let Some(due) = self.pending_responses.first_entry().filter(|entry| entry.key().0 <= now) {
            let due = due.remove();
            self.respond(&due);
        }
        while let Some(due) = self.repeated_responses.first_entry().filter(|entry| entry.key().0 <= now) {
            let RepeatedResponse { connection, bytes } = due.remove();
            self.net.send(connection, &bytes);
        }
        while let Some(due) = self.deferred_receipts.first_entry().filter(|entry| entry.key().0 <= now) {
            let receipt = due.remove();
            let connection = self.net.connect(receipt.address);
            self.unsent_receipts.insert(connection, receipt.bytes);
        }
    }

    fn begin_fault(&mut self, partner: usize, fault: Fault, group: Option<usize>, duration: Duration) {
        let until = self.recorder.now() + duration;
        let served = &mut self.partners[partner];
        served.begin_fault(fault, group, until);
        let closed = match fault {
            Fault::RefuseConnections => served.take_listeners(group),
            _ => Vec::new(),
        };
        if fault.is_outage() {
            self.record_outage(partner, true);
        }
        for listener in closed {
            self.net.stop_listening(listener);
        }
        if matches!(fault, Fault::RefuseConnections | Fault::ResetConnections) {
            self.reset_connections(partner, group);
        }
    }

    fn reset_connections(&mut self, partner: usize, group: Option<usize>) {
        let config = &self.partners[partner].config;
        let affected = |connection: &Connection| {
            connection.endpoint_ref.partner == partner
                && config.is_in_group(connection.endpoint_ref.endpoint, group)
        };
        let affected: Vec<ConnId> = self
            .connections
            .iter()
            .filter(|(_, connection)| affected(connection))
            .map(|(id, _)| *id)
            .collect();
        for id in affected {
            self.reset_connection(id);
        }
    }

    fn end_fault(&mut self, partner: usize) {
        let now = self.recorder.now();
        let was_outage = self.partners[partner].end_fault(now);
        for (endpoint, served) in self.partners[partner].listeners.iter_mut().enumerate() {
            if served.listener.is_some() {
                continue;
            }
            if let Ok((listener, _)) = self.net.listen(served.address) {
                served.listener = Some(listener);
                self.listeners.insert(listener, EndpointRef { partner, endpoint });
            }
        }
        if was_outage {
            self.record_outage(partner, false);
        }
    }

    fn record_outage(&self, partner: usize, began: bool) {
        let served = &self.partners[partner];
        let (zone, partner) = (served.affected_group, served.config.name.clone());
        self.recorder.record(ObservedEvent::Outage { partner, zone, began });
    }

    /// Resets a connection, which ends the request on it.
    fn reset_connection(&mut self, id: ConnId) {
        self.remove_broken_connection(id);
        self.net.reset(id);
    }

    /// Removes a connection that the partner breaks, and records the end of the request on it.
    fn remove_broken_connection(&mut self, id: ConnId) {
        if let Some(request) = self.connections.remove(&id).and_then(|connection| connection.request) {
            self.recorder.record(ObservedEvent::RequestEnded { request, end: RequestEnd::Broken });
        }
    }

    fn on_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Accepted { listener, conn } => {
                let Some(&endpoint_ref) = self.listeners.get(&listener) else { return };
                let decoder = Decoder::server(Limits::default());
                self.connections
                    .insert(conn, Connection { endpoint_ref, decoder, request: None, last_used: None });
            }
            NetEvent::Bytes(id, bytes) => self.on_bytes(id, &bytes),
            NetEvent::Closed { conn, .. } => {
                self.unsent_receipts.remove(&conn);
                if let Some(request) =
                    self.connections.remove(&conn).and_then(|connection| connection.request)
                {
                    let end = RequestEnd::ClientClosed;
                    self.recorder.record(ObservedEvent::RequestEnded { request, end });
                }
            }
            NetEvent::Connected(id) => {
                if let Some(bytes) = self.unsent_receipts.remove(&id) {
                    self.net.send(id, &bytes);
                    self.net.close_after_flush(id);
                }
            }
            NetEvent::ConnectFailed(id, _) => {
                self.unsent_receipts.remove(&id);
            }
            NetEvent::PeerHalfClosed(_) | NetEvent::Flushed(_) | NetEvent::Signal(_) | NetEvent::Woken => {}
        }
    }

    fn on_bytes(&mut self, id: ConnId, bytes: &[u8]) {
        let now = self.recorder.now();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.decoder.feed(now, bytes);
        while let Some(connection) = self.connections.get_mut(&id) {
            match connection.decoder.next(now) {
                Ok(Some(DecodedItem::Message(message))) => self.on_request(id, message),
                Ok(Some(DecodedItem::ExpectsContinue)) => self.net.send(id, cloverstile_http::CONTINUE),
                Ok(None) => return,
                Err(_) => return self.reset_connection(id),
            }
        }
    }

    fn on_request(&mut self, id: ConnId, message: Message) {
        let now = self.recorder.now();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let EndpointRef { partner, endpoint } = connection.endpoint_ref;
        let Ok(envelope) = Envelope::parse(&message.headers) else {
            self.net.send(id, &encode_response(400, "Bad Request", &Headers::new(), b"not AS2"));
            return;
        };
        self.last_sequence_number += 1;
        let request = self.last_sequence_number;
        connection.request = Some(request);
        let served = &mut self.partners[partner];
        let message_id = envelope.message_id;
        self.recorder.record(ObservedEvent::RequestReceived {
            id: message_id.clone(),
            gateway: envelope.from,
            partner: served.config.name.clone(),
            endpoint,
            request,
        });
        if let (Some(Fault::DropIdle(after)), Some(last_used)) =
            (served.model(endpoint).fault(), connection.last_used)
        {
            if now.saturating_sub(last_used) > after {
                return self.reset_connection(id);
            }
        }
        let had_collapsed = served.has_collapsed();
        let decision = served.model(endpoint).handle_request(now, &message_id);
        if !had_collapsed && served.model(endpoint).has_collapsed() {
            self.recorder.record(ObservedEvent::Collapsed { partner: served.config.name.clone() });
        }
        let (reply, takes_effect) = (decision.reply, decision.takes_effect);
        match decision.respond_at {
            Some(at) => {
                let due = PendingResponse { connection: id, partner, request, message, reply, takes_effect };
                self.pending_responses.insert((at, request), due);
            }
            None if takes_effect => self.record_effect(partner, message_id),
            None => {}
        }
    }

    fn record_effect(&self, partner: usize, id: String) {
        let partner = self.partners[partner].config.name.clone();
        self.recorder.record(ObservedEvent::EffectApplied { id, partner });
    }

    fn respond(&mut self, due: &PendingResponse) {
        let is_waiting = |connection: &Connection| connection.request == Some(due.request);
        if !self.connections.get(&due.connection).is_some_and(is_waiting) {
            // The connection is closed, but a deferred receipt is still sent, on a separate connection.
            return self.defer_receipt(due);
        }
        let mut headers = self.partners[due.partner].limit_headers();
        let is_deferred = receipts::deferred_url(&due.message).is_some();
        let (bytes, end) = match due.reply {
            Reply::Rejected(wait) => {
                // Retry-After is in whole seconds (RFC 9110, section 10.2.3). It is rounded up, so that there is
                // capacity when the wait ends.
                let seconds = wait.map(|wait| wait.as_secs_f64().ceil().max(1.0) as u64);
                if let Some(seconds) = seconds {
                    headers.add("Retry-After", seconds.to_string());
                }
                let bytes = encode_response(503, "Service Unavailable", &headers, b"");
                (bytes, RequestEnd::Rejected(seconds.map(|seconds| seconds * 1000)))
            }
            Reply::Reset => return self.reset_connection(due.connection),
            Reply::Processed | Reply::Error if is_deferred => {
                self.defer_receipt(due);
                (encode_response(202, "Accepted", &headers, b""), RequestEnd::Deferred)
            }
            Reply::Processed | Reply::Truncated | Reply::Error => {
                let Some(receipt) = self.process_message(due) else {
                    return self.reset_connection(due.connection);
                };
                headers.extend(&receipt.headers);
                let bytes = encode_response(200, "OK", &headers, &receipt.body);
                match due.reply {
                    Reply::Truncated => return self.send_truncated(due.connection, &bytes),
                    Reply::Error => (bytes, RequestEnd::Error),
                    _ => (bytes, RequestEnd::Processed),
                }
            }
        };
        let now = self.recorder.now();
        if let Some(connection) = self.connections.get_mut(&due.connection) {
            connection.request = None;
            connection.last_used = Some(now);
        }
        self.recorder.record(ObservedEvent::RequestEnded { request: due.request, end });
        self.net.send(due.connection, &bytes);
        if let Some(ReceiptFault::RepeatedResponse(ms)) = self.partners[due.partner].receipt_fault {
            self.last_sequence_number += 1;
            let at = now + Duration::from_millis(ms);
            let repeated = RepeatedResponse { connection: due.connection, bytes };
            self.repeated_responses.insert((at, self.last_sequence_number), repeated);
        }
    }

    /// Sends the first half of a response and closes the connection.
    fn send_truncated(&mut self, id: ConnId, bytes: &[u8]) {
        self.net.send(id, &bytes[..bytes.len() / 2]);
        self.remove_broken_connection(id);
        self.net.close_after_flush(id);
    }

    /// Opens a message, records its effect if it has one, and composes its receipt. Returns `None` if the sender is
    /// unknown or the receipt can't be composed.
    fn process_message(&self, due: &PendingResponse) -> Option<ComposedMessage> {
        let served = &self.partners[due.partner];
        let from = Envelope::parse(&due.message.headers).ok()?.from;
        let sender = self.gateways.get(&from)?;
        let identity = &served.config.identity;
        let identities = self.partners.iter().map(|partner| &*partner.config.identity);
        let other_identity = identities.into_iter().find(|other| other.name != identity.name);
        let signer = ReceiptSigner { identity, other_identity, fault: served.receipt_fault };
        let composed = receipts::open_and_compose_receipt(&due.message, sender, due.reply, &signer)?;
        if due.takes_effect && composed.opened {
            self.record_effect(due.partner, composed.message_id);
        }
        composed.receipt
    }

    /// Schedules a deferred receipt to the URL that the message requests. Does nothing if it requests none.
    fn defer_receipt(&mut self, due: &PendingResponse) {
        let Some(receipt) = self.process_message(due) else { return };
        if !matches!(due.reply, Reply::Processed | Reply::Error) {
            return;
        }
        let Some((address, path)) = receipts::deferred_target(&due.message) else { return };
        let mut headers = receipt.headers;
        headers.add("Host", address.to_string()).add("Connection", "close");
        let bytes = encode_request("POST", &path, &headers, &receipt.body);
        let now = self.recorder.now();
        let (copies, delay_ms) = match self.partners[due.partner].receipt_fault {
            Some(ReceiptFault::Duplicate) => (2, 0),
            Some(ReceiptFault::Delay(ms)) => (1, ms),
            _ => (1, 0),
        };
        for copy in 0..copies {
            self.last_sequence_number += 1;
            let at = now + Duration::from_millis(delay_ms + copy * DUPLICATE_SPACING_MS);
            let deferred = DeferredReceipt { address, bytes: bytes.clone() };
            self.deferred_receipts.insert((at, self.last_sequence_number), deferred);
        }
    }
}
