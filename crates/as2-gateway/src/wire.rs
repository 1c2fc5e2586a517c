//! The outbound wire: calls to partners over pooled connections.

use crate::meaning::{allowance, of_receipt, of_status};
use crate::service::{Done, Service, Timer};
use cloverstile::{EndpointId, MessageId, RateLimitStatus, Time};
use cloverstile_as2::{
    compose, read_receipt, Addressee, As2Error, Cipher, Composed, Digest, Outgoing, ReceiptRequest, Security,
};
use cloverstile_engine::{Attempt, TransportOutcome};
use cloverstile_http::{request, Decoder, Item, Limits, Message, Start};
use cloverstile_net::ConnId;
use cloverstile_settings::{self as settings, Partner, Receipt};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, warn};

/// Where a call stands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its message is being composed, or its connection made: nothing of it has been sent.
    Preparing,
    /// The request is out.
    Waiting,
    /// The answer is being checked.
    Judging,
}

/// A call: its messages travel one after another over one connection.
struct Call {
    endpoint: EndpointId,
    current: Attempt,
    queue: VecDeque<Attempt>,
    conn: Option<ConnId>,
    connected: bool,
    stage: Stage,
    allowance: Option<RateLimitStatus>,
    keep_alive: bool,
}

/// What an outbound connection is for.
enum Use {
    Call(u64, Box<Decoder>),
    Idle(EndpointId),
    Probe(EndpointId, Time),
}

/// State of the wire.
#[derive(Default)]
pub(crate) struct Wire {
    calls: HashMap<u64, Call>,
    /// The call that an attempt belongs to.
    attempts: HashMap<Attempt, u64>,
    conns: HashMap<ConnId, Use>,
    /// Idle connections, the one used last behind.
    idle: HashMap<EndpointId, Vec<ConnId>>,
    idle_count: usize,
    /// Calls that wait for a message to be composed.
    composing: HashMap<MessageId, u64>,
    last_call: u64,
}

impl Service {
    pub(crate) fn wire_send(&mut self, endpoint: EndpointId, attempts: Vec<Attempt>) {
        let mut queue = VecDeque::from(attempts);
        let Some(current) = queue.pop_front() else { return };
        self.wire.last_call += 1;
        let number = self.wire.last_call;
        for attempt in std::iter::once(&current).chain(&queue) {
            self.wire.attempts.insert(*attempt, number);
            self.engine.set_attempt_started(*attempt, false);
        }
        let call = Call {
            endpoint,
            current,
            queue,
            conn: None,
            connected: false,
            stage: Stage::Preparing,
            allowance: None,
            keep_alive: true,
        };
        self.wire.calls.insert(number, call);
        self.prepare(number);
    }

    /// Composes the current message if that was not done, gets a connection, and sends once both are there.
    fn prepare(&mut self, number: u64) {
        let Some(call) = self.wire.calls.get(&number) else { return };
        let attempt = call.current;
        // A late receipt or a stop may have answered it since: nothing is sent after the final answer.
        if !self.engine.is_pending(attempt.message) {
            return self.end_attempt(number, TransportOutcome::Unsent, None);
        }
        let composed = match self.held.get_mut(&attempt.message) {
            None => return self.end_attempt(number, TransportOutcome::Unsent, None),
            Some(held) => held.composed.clone(),
        };
        if composed.is_none() {
            self.begin_compose(number, attempt.message);
        }
        let Some(call) = self.wire.calls.get(&number) else { return };
        if call.conn.is_none() {
            self.get_connection(number);
        }
        self.send_if_ready(number);
    }

    fn begin_compose(&mut self, number: u64, message: MessageId) {
        self.wire.composing.insert(message, number);
        let receipts_url = self.front.receipts_url(&self.config.front.path);
        let Some(held) = self.held.get_mut(&message).filter(|held| !held.composing) else { return };
        let Some(payload) = held.payload.take() else { return };
        held.composing = true;
        let partner = &self.config.partners[held.partner];
        let security = security_for(partner, receipts_url);
        let certificate = self.directory.partners[held.partner].clone();
        let (me, to) = (self.directory.me.clone(), partner.as2_name.clone());
        let id = self.engine.idempotency_key(message).unwrap_or_default().to_owned();
        self.pool.run(move || {
            let outgoing = Outgoing { message_id: &id, payload: &payload, subject: None };
            let addressee = Addressee { name: &to, certificate: &certificate };
            let composed = compose(&outgoing, &me, addressee, &security).map(Box::new);
            Done::Composed { message, composed }
        });
    }

    pub(crate) fn wire_composed(&mut self, message: MessageId, composed: Result<Box<Composed>, As2Error>) {
        let number = self.wire.composing.remove(&message);
        match composed {
            Ok(composed) => {
                if let Some(held) = self.held.get_mut(&message) {
                    held.composed = Some(Arc::from(composed));
                }
                if let Some(number) = number {
                    self.send_if_ready(number);
                }
            }
            Err(error) => {
                // The settings are checked for this; nothing was sent.
                let id = self.engine.idempotency_key(message).unwrap_or_default();
                warn!(message = id, %error, "a message could not be composed");
                if let Some(number) = number {
                    self.end_attempt(number, TransportOutcome::Unsent, None);
                }
            }
        }
    }

    fn get_connection(&mut self, number: u64) {
        let Some(call) = self.wire.calls.get_mut(&number) else { return };
        let endpoint = call.endpoint;
        let idle = self.wire.idle.get_mut(&endpoint).and_then(Vec::pop);
        let conn = match idle {
            Some(conn) => {
                self.wire.idle_count -= 1;
                call.connected = true;
                conn
            }
            None => {
                let Some(place) = self.places.get(&endpoint) else { return };
                call.connected = false;
                let conn = self.net.connect(place.address);
                let at = self.now() + self.config.module.connect_timeout;
                self.set_timer(at, Timer::Connect(conn));
                conn
            }
        };
        if let Some(call) = self.wire.calls.get_mut(&number) {
            call.conn = Some(conn);
        }
        let limits = Limits { message_time: Duration::MAX, head_time: Duration::MAX, ..Limits::default() };
        self.wire.conns.insert(conn, Use::Call(number, Box::new(Decoder::client(limits))));
    }

    fn send_if_ready(&mut self, number: u64) {
        let now = self.now();
        let Some(call) = self.wire.calls.get_mut(&number) else { return };
        let attempt = call.current;
        let (Some(conn), true, Stage::Preparing) = (call.conn, call.connected, call.stage) else { return };
        let Some(composed) = self.held.get(&attempt.message).and_then(|held| held.composed.clone()) else {
            return;
        };
        if !self.engine.is_pending(attempt.message) {
            return self.end_attempt(number, TransportOutcome::Unsent, None);
        }
        // Guards against what came since it was decided on, while its message was composed or its connection came up: a
        // wait, a drain, an outage, the end of its window.
        if !self.engine.may_send_now(now, attempt) {
            return self.end_attempt(number, TransportOutcome::NotStarted, None);
        }
        let Some(place) = self.places.get(&call.endpoint) else { return };
        self.engine.set_attempt_started(attempt, true);
        call.stage = Stage::Waiting;
        let partner = &self.config.partners[place.partner].name;
        let id = self.engine.idempotency_key(attempt.message).unwrap_or_default();
        debug!(message = id, attempt = attempt.number, partner = %partner, endpoint = %place.name, "sent");
        let mut headers = composed.headers.clone();
        headers.add("Host", place.address.to_string()).add("User-Agent", "cloverstile");
        let bytes = request("POST", &place.path, &headers, &composed.body);
        self.net.send(conn, &bytes);
    }

    pub(crate) fn wire_connected(&mut self, conn: ConnId) {
        match self.wire.conns.get(&conn) {
            Some(Use::Call(number, _)) => {
                let number = *number;
                if let Some(call) = self.wire.calls.get_mut(&number) {
                    call.connected = true;
                }
                self.send_if_ready(number);
            }
            Some(Use::Probe(endpoint, began)) => {
                let (endpoint, began) = (*endpoint, *began);
                self.end_probe(conn, endpoint, began, true);
            }
            _ => {}
        }
    }

    pub(crate) fn wire_connect_failed(&mut self, conn: ConnId) {
        if self.delivery_failed(conn) {
            return;
        }
        match self.wire.conns.remove(&conn) {
            Some(Use::Call(number, _)) => self.connect_failed(number),
            Some(Use::Probe(endpoint, began)) => self.end_probe(conn, endpoint, began, false),
            _ => {}
        }
    }

    /// No connection: none of the call's messages was sent, and all share that fate.
    fn connect_failed(&mut self, number: u64) {
        let Some(call) = self.wire.calls.get_mut(&number) else { return };
        call.conn = None;
        let all: Vec<Attempt> = std::iter::once(call.current).chain(call.queue.drain(..)).collect();
        self.wire.calls.remove(&number);
        for attempt in all {
            self.report(attempt, TransportOutcome::ConnectFailed, None);
        }
    }

    pub(crate) fn wire_connect_overdue(&mut self, conn: ConnId) {
        if self.front.owns(conn) {
            self.delivery_failed(conn);
            return;
        }
        let waits = match self.wire.conns.get(&conn) {
            Some(Use::Call(number, _)) => self.wire.calls.get(number).is_some_and(|call| !call.connected),
            Some(Use::Probe(..)) => true,
            _ => false,
        };
        if waits {
            self.net.close(conn);
            self.wire_connect_failed(conn);
        }
    }

    // ---- Answers ----

    pub(crate) fn wire_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.now() - Time::ZERO;
        let Some(Use::Call(number, decoder)) = self.wire.conns.get_mut(&conn) else {
            // Bytes that nobody asked for: the connection is of no further use.
            self.wire_closed(conn);
            return self.net.close(conn);
        };
        let number = *number;
        decoder.feed(now, bytes);
        match decoder.next(now) {
            Ok(Some(Item::Message(message))) => self.on_response(number, message),
            Ok(_) => {}
            Err(error) => {
                debug!(%error, "an answer that is none");
                self.net.close(conn);
                self.wire.conns.remove(&conn);
                self.break_call(number, TransportOutcome::Error);
            }
        }
    }

    fn on_response(&mut self, number: u64, message: Message) {
        let Some(call) = self.wire.calls.get_mut(&number).filter(|call| call.stage == Stage::Waiting) else {
            return;
        };
        let Start::Response { status } = message.start else { return };
        let attempt = call.current;
        call.allowance = allowance(&message.headers);
        call.keep_alive = message.keep_alive;
        if let Some(reported) = of_status(status, &message.headers) {
            return self.end_attempt(number, reported, None);
        }
        let Some(held) = self.held.get(&attempt.message) else {
            return self.end_attempt(number, TransportOutcome::Error, None);
        };
        let partner = &self.config.partners[held.partner];
        if message.body.is_empty() {
            return match partner.receipt {
                // The receipt comes by itself; the attempt goes on without the connection.
                Receipt::Async => self.leave_attempt(number),
                _ => self.end_attempt(number, TransportOutcome::Error, Some(As2Error::Missing("receipt"))),
            };
        }
        let Some(composed) = held.composed.clone() else { return };
        let certificate = self.directory.partners[held.partner].clone();
        let signed = partner.receipt != Receipt::Unsigned;
        let id = self.engine.idempotency_key(attempt.message).unwrap_or_default().to_owned();
        call.stage = Stage::Judging;
        self.pool.run(move || {
            let receipt = read_receipt(&message.headers, &message.body, &certificate);
            let judged = receipt.and_then(|receipt| {
                receipt.check(&id, &composed.mic, signed)?;
                Ok(of_receipt(&receipt))
            });
            let (reported, why) = match judged {
                Ok(reported) => (reported, None),
                Err(error) => (TransportOutcome::Error, Some(error)),
            };
            Done::Judged { call: number, attempt, reported, why }
        });
    }

    pub(crate) fn wire_judged(
        &mut self,
        number: u64,
        attempt: Attempt,
        reported: TransportOutcome,
        why: Option<As2Error>,
    ) {
        let waits = |call: &Call| call.stage == Stage::Judging && call.current == attempt;
        if self.wire.calls.get(&number).is_some_and(waits) {
            self.end_attempt(number, reported, why);
        } else if reported == TransportOutcome::Processed {
            // The connection broke or the time ran out while the receipt was being checked.
            let now = self.now();
            self.engine.on_receipt(now, attempt.message, reported);
        }
    }

    fn report(&mut self, attempt: Attempt, reported: TransportOutcome, allowance: Option<RateLimitStatus>) {
        if self.wire.attempts.remove(&attempt).is_some() {
            let now = self.now();
            self.engine.on_attempt_completed(now, attempt, reported, allowance);
        }
    }

    /// Ends the current attempt of a call and goes on with the next one.
    fn end_attempt(&mut self, number: u64, reported: TransportOutcome, why: Option<As2Error>) {
        let Some(call) = self.wire.calls.get_mut(&number) else { return };
        let (attempt, allowance) = (call.current, call.allowance.take());
        if let Some(error) = why {
            let place = self.places.get(&call.endpoint);
            let partner = place.map_or("", |place| &self.config.partners[place.partner].name);
            let id = self.engine.idempotency_key(attempt.message).unwrap_or_default();
            warn!(message = id, attempt = attempt.number, partner, %error, "an answer does not count");
        }
        self.report(attempt, reported, allowance);
        self.next_of_call(number);
    }

    /// The current attempt goes on without the connection.
    fn leave_attempt(&mut self, number: u64) {
        if let Some(call) = self.wire.calls.get(&number) {
            self.wire.attempts.remove(&call.current);
        }
        self.next_of_call(number);
    }

    fn next_of_call(&mut self, number: u64) {
        let Some(call) = self.wire.calls.get_mut(&number) else { return };
        call.stage = Stage::Preparing;
        if !call.keep_alive {
            if let Some(conn) = call.conn.take() {
                self.wire.conns.remove(&conn);
                self.net.close(conn);
            }
            call.keep_alive = true;
            call.connected = false;
        }
        match call.queue.pop_front() {
            Some(next) => {
                call.current = next;
                self.prepare(number);
            }
            None => self.release(number),
        }
    }

    fn release(&mut self, number: u64) {
        let Some(call) = self.wire.calls.remove(&number) else { return };
        let Some(conn) = call.conn else { return };
        let keep = call.connected && self.wire.idle_count < self.config.limits.idle_connections;
        if !keep || !self.net.is_open(conn) {
            self.wire.conns.remove(&conn);
            return self.net.close(conn);
        }
        self.wire.conns.insert(conn, Use::Idle(call.endpoint));
        self.wire.idle.entry(call.endpoint).or_default().push(conn);
        self.wire.idle_count += 1;
        let at = self.now() + self.config.module.connection_idle_timeout;
        self.set_timer(at, Timer::Idle(conn));
    }

    // ---- Endings that are no answers ----

    pub(crate) fn wire_closed(&mut self, conn: ConnId) {
        match self.wire.conns.remove(&conn) {
            Some(Use::Call(number, mut decoder)) => match decoder.on_connection_end() {
                // An answer whose length was not told ends with its connection.
                Ok(Some(message)) => {
                    if let Some(call) = self.wire.calls.get_mut(&number) {
                        call.conn = None;
                    }
                    self.on_response(number, message);
                }
                _ => self.break_call(number, TransportOutcome::Reset),
            },
            Some(Use::Idle(endpoint)) => self.drop_idle(endpoint, conn),
            Some(Use::Probe(endpoint, began)) => self.end_probe(conn, endpoint, began, false),
            None => {}
        }
    }

    /// A call's connection is gone. What was not sent goes on as such; the message that was out shares the fate.
    fn break_call(&mut self, number: u64, reported: TransportOutcome) {
        let Some(call) = self.wire.calls.get_mut(&number) else { return };
        call.conn = None;
        call.connected = false;
        match call.stage {
            // It had not been used for this message: a new one is made.
            Stage::Preparing => self.prepare(number),
            // The answer was there; what it says counts.
            Stage::Judging => call.keep_alive = true,
            Stage::Waiting => {
                let current = call.current;
                let unsent: Vec<Attempt> = call.queue.drain(..).collect();
                self.wire.calls.remove(&number);
                // The module goes by a call's last outcome: the one that says what happened comes last.
                for attempt in unsent {
                    self.report(attempt, TransportOutcome::Unsent, None);
                }
                self.report(current, reported, None);
            }
        }
    }

    pub(crate) fn wire_abandon(&mut self, attempt: Attempt) {
        let Some(number) = self.wire.attempts.remove(&attempt) else { return };
        let Some(call) = self.wire.calls.get_mut(&number) else { return };
        if call.current != attempt {
            return call.queue.retain(|queued| *queued != attempt);
        }
        // Its answer must not be taken for the next message's.
        if let Some(conn) = call.conn.take() {
            self.wire.conns.remove(&conn);
            self.net.close(conn);
        }
        call.connected = false;
        call.stage = Stage::Preparing;
        self.next_of_call(number);
    }

    // ---- Idle connections and probes ----

    fn drop_idle(&mut self, endpoint: EndpointId, conn: ConnId) {
        if let Some(idle) = self.wire.idle.get_mut(&endpoint) {
            let before = idle.len();
            idle.retain(|other| *other != conn);
            self.wire.idle_count -= before - idle.len();
        }
    }

    pub(crate) fn wire_idle_overdue(&mut self, conn: ConnId) {
        // One that was used since has a timer of its own; it is closed a little early at worst, never in use.
        if let Some(Use::Idle(endpoint)) = self.wire.conns.get(&conn) {
            let endpoint = *endpoint;
            self.wire.conns.remove(&conn);
            self.drop_idle(endpoint, conn);
            self.net.close(conn);
        }
    }

    pub(crate) fn wire_close_idle(&mut self, endpoint: EndpointId) {
        for conn in self.wire.idle.remove(&endpoint).unwrap_or_default() {
            self.wire.conns.remove(&conn);
            self.wire.idle_count -= 1;
            self.net.close(conn);
        }
    }

    pub(crate) fn wire_probe(&mut self, endpoint: EndpointId) {
        let Some(place) = self.places.get(&endpoint) else { return };
        let now = self.now();
        let conn = self.net.connect(place.address);
        self.wire.conns.insert(conn, Use::Probe(endpoint, now));
        let at = now + self.config.module.connect_timeout;
        self.set_timer(at, Timer::Connect(conn));
    }

    fn end_probe(&mut self, conn: ConnId, endpoint: EndpointId, began: Time, opened: bool) {
        self.wire.conns.remove(&conn);
        self.net.close(conn);
        let now = self.now();
        self.engine.on_probe_completed(now, endpoint, opened, now - began);
    }
}

fn digest(digest: settings::Digest) -> Digest {
    match digest {
        settings::Digest::Sha1 => Digest::Sha1,
        settings::Digest::Sha256 => Digest::Sha256,
        settings::Digest::Sha384 => Digest::Sha384,
        settings::Digest::Sha512 => Digest::Sha512,
    }
}

/// How messages for a partner are protected, by the settings.
fn security_for(partner: &Partner, receipts_url: String) -> Security {
    let sign = partner.sign.map(digest);
    let mic = partner.mic.map(digest).or(sign).unwrap_or(Digest::Sha256);
    let cipher = |cipher| match cipher {
        settings::Cipher::Aes128Cbc => Cipher::Aes128Cbc,
        settings::Cipher::Aes256Cbc => Cipher::Aes256Cbc,
        settings::Cipher::Aes128Gcm => Cipher::Aes128Gcm,
        settings::Cipher::Aes256Gcm => Cipher::Aes256Gcm,
    };
    let receipt = ReceiptRequest {
        deliver_to: (partner.receipt == Receipt::Async).then_some(receipts_url),
        signed: if partner.receipt == Receipt::Unsigned { Vec::new() } else { vec![mic] },
    };
    Security {
        sign,
        encrypt: partner.encrypt.map(cipher),
        compress: partner.compress,
        receipt: Some(receipt),
    }
}
