//! The AS2 front: clients' connections, hand-ins, receipts.

use crate::admission::admit;
use crate::meaning::of_answer;
use crate::service::{Done, Held, Service, Timer};
use cloverstile::Time;
use cloverstile_as2::{
    compose_receipt, open, read_receipt, sender, As2Error, Composed, Digest, Disposition, Envelope, Mic,
    Opened, Receipt, ReceiptFacts,
};
use cloverstile_engine::{Admission, FinalOutcome};
use cloverstile_http::{
    read_url, request, response, Decoder, Headers, Item, Limits, Message, Start, CONTINUE,
};
use cloverstile_net::{ConnId, ListenerId, Net};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{debug, warn};

/// Tries to hand a receipt to a client's own address, and the first gap between them; it doubles.
const DELIVERY_TRIES: u32 = 6;
const DELIVERY_GAP: Duration = Duration::from_millis(500);
/// Receipts on their way to clients' own addresses, at most.
const MOST_DELIVERIES: usize = 10_000;

/// Bytes of answers that a client may leave unread before nothing more is read from it.
const MOST_UNREAD: usize = 256 << 10;

/// Somebody who waits for a message's final answer.
pub(crate) struct Waiter {
    /// The connection and request that wait; none: the receipt goes to an address.
    pub conn: Option<(ConnId, u64)>,
    pub envelope: Envelope,
    pub mic: Mic,
}

struct Inbound {
    decoder: Decoder,
    /// The request being worked on; the next one of the connection waits.
    busy: Option<u64>,
    keep_alive: bool,
    /// A timer for slow messages is set.
    timed: bool,
}

/// A receipt on its way to a client's own address.
struct Delivery {
    address: SocketAddr,
    bytes: Vec<u8>,
    tries: u32,
}

/// State of the front.
pub(crate) struct Front {
    pub listener: ListenerId,
    address: SocketAddr,
    conns: HashMap<ConnId, Inbound>,
    deliveries: HashMap<u64, Delivery>,
    /// Connections of deliveries, with their decoders.
    delivering: HashMap<ConnId, (u64, Decoder)>,
    last_request: u64,
    last_delivery: u64,
    /// The connection whose requests are being read just now.
    reading: Option<ConnId>,
    /// Requests being opened, answered or signed.
    working: usize,
}

impl Front {
    pub fn new(listener: ListenerId, address: SocketAddr) -> Self {
        Front {
            listener,
            address,
            conns: HashMap::new(),
            deliveries: HashMap::new(),
            delivering: HashMap::new(),
            last_request: 0,
            last_delivery: 0,
            reading: None,
            working: 0,
        }
    }

    pub fn owns(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn) || self.delivering.contains_key(&conn)
    }

    /// Whether anything is being opened, signed or delivered.
    pub fn is_busy(&self) -> bool {
        self.working > 0 || !self.deliveries.is_empty()
    }

    /// Bytes of answers that the system has not taken.
    pub fn unsent(&self, net: &Net) -> usize {
        self.conns.keys().map(|conn| net.unsent_bytes(*conn)).sum()
    }

    /// Where partners send receipts that come on connections of their own.
    pub fn receipts_url(&self, path: &str) -> String {
        format!("http://{}{path}/receipts", self.address)
    }
}

impl Service {
    fn since_start(&self) -> Duration {
        self.now() - Time::ZERO
    }

    pub(crate) fn front_accepted(&mut self, conn: ConnId) {
        if self.front.conns.len() >= self.config.front.connections {
            let headers = Headers::new().with("Connection", "close").with("Retry-After", "1");
            self.net.send(conn, &response(503, "Service Unavailable", &headers, b"too many connections\n"));
            self.net.close_after_flush(conn);
            return;
        }
        let front = &self.config.front;
        let limits = Limits {
            max_head_bytes: front.head,
            max_body_bytes: front.body,
            head_time: front.head_time,
            message_time: front.message_time,
            ..Limits::default()
        };
        let decoder = Decoder::server(limits);
        self.front.conns.insert(conn, Inbound { decoder, busy: None, keep_alive: true, timed: false });
    }

    pub(crate) fn front_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.since_start();
        if self.front.delivering.contains_key(&conn) {
            return self.delivery_bytes(conn, bytes);
        }
        let Some(inbound) = self.front.conns.get_mut(&conn) else { return };
        inbound.decoder.feed(now, bytes);
        self.front_read(conn);
    }

    /// Reads what is there, one request at a time.
    pub(crate) fn front_read(&mut self, conn: ConnId) {
        // Guards against requests sent by the thousand in one piece: each that is answered at once would read the
        // next one a few frames deeper, until the stack ends and the courier with it.
        if self.front.reading == Some(conn) {
            return;
        }
        self.front.reading = Some(conn);
        self.front_read_all(conn);
        self.front.reading = None;
    }

    fn front_read_all(&mut self, conn: ConnId) {
        let now = self.since_start();
        while let Some(inbound) = self.front.conns.get_mut(&conn) {
            // Guards against a client that asks on and on and never reads: its answers would pile up here.
            if self.net.unsent_bytes(conn) > MOST_UNREAD {
                return self.net.pause(conn, true);
            }
            if inbound.busy.is_some() {
                // What comes behind a request that is worked on waits in the peer's own buffers.
                let paused = inbound.decoder.buffered_bytes() > self.config.front.head;
                return self.net.pause(conn, paused);
            }
            match inbound.decoder.next(now) {
                Ok(Some(Item::Message(message))) => {
                    inbound.keep_alive = message.keep_alive;
                    self.front.last_request += 1;
                    let request = self.front.last_request;
                    inbound.busy = Some(request);
                    self.on_request(conn, request, message);
                }
                Ok(Some(Item::ExpectsContinue)) => self.net.send(conn, CONTINUE),
                Ok(None) => {
                    self.net.pause(conn, false);
                    break;
                }
                Err(error) => {
                    let status = match error {
                        cloverstile_http::HttpError::LimitExceeded("body", _) => (413, "Content Too Large"),
                        cloverstile_http::HttpError::LimitExceeded(..) => {
                            (431, "Request Header Fields Too Large")
                        }
                        _ => (400, "Bad Request"),
                    };
                    return self.front_broken(conn, status, &error.to_string());
                }
            }
        }
        self.set_inbound_timer(conn);
    }

    fn set_inbound_timer(&mut self, conn: ConnId) {
        let Some(inbound) = self.front.conns.get_mut(&conn) else { return };
        if let (false, Some(due)) = (inbound.timed, inbound.decoder.deadline()) {
            inbound.timed = true;
            self.set_timer(Time::ZERO + due, Timer::Inbound(conn));
        }
    }

    pub(crate) fn front_overdue(&mut self, conn: ConnId) {
        let now = self.since_start();
        let Some(inbound) = self.front.conns.get_mut(&conn) else { return };
        inbound.timed = false;
        if inbound.busy.is_some() {
            return;
        }
        match inbound.decoder.check_deadline(now) {
            Err(error) => self.front_broken(conn, (408, "Request Timeout"), &error.to_string()),
            Ok(()) => self.set_inbound_timer(conn),
        }
    }

    /// Answers what is no message, and closes.
    fn front_broken(&mut self, conn: ConnId, (status, reason): (u16, &str), why: &str) {
        debug!(status, why, "request refused");
        let headers = Headers::new().with("Connection", "close").with("Content-Type", "text/plain");
        self.net.send(conn, &response(status, reason, &headers, format!("{why}\n").as_bytes()));
        self.net.close_after_flush(conn);
        self.front.conns.remove(&conn);
    }

    /// The client may come again for its answer: nothing else changes.
    pub(crate) fn front_closed(&mut self, conn: ConnId) {
        self.front.conns.remove(&conn);
        self.delivery_failed(conn);
    }

    // ---- Requests ----

    fn on_request(&mut self, conn: ConnId, request: u64, message: Message) {
        let Start::Request { method, target } = &message.start else { return };
        let path = target.split('?').next().unwrap_or_default();
        let ours = path.strip_prefix(self.config.front.path.as_str());
        match (method.as_str(), ours) {
            ("POST", Some("")) => self.on_hand_in(conn, request, message),
            ("POST", Some("/receipts")) => self.on_partner_receipt(conn, request, message),
            (_, Some("" | "/receipts")) => {
                let headers = Headers::new().with("Allow", "POST");
                self.respond(
                    conn,
                    request,
                    (405, "Method Not Allowed"),
                    headers,
                    b"AS2 messages are posted\n",
                );
            }
            _ => self.respond(conn, request, (404, "Not Found"), Headers::new(), b"nothing here\n"),
        }
    }

    /// Answers a request, if its connection still waits for that, and reads the next one.
    fn respond(
        &mut self,
        conn: ConnId,
        request: u64,
        status: (u16, &str),
        mut headers: Headers,
        body: &[u8],
    ) {
        let Some(inbound) = self.front.conns.get_mut(&conn).filter(|c| c.busy == Some(request)) else {
            return;
        };
        inbound.busy = None;
        let keep_alive = inbound.keep_alive;
        if !keep_alive {
            headers.add("Connection", "close");
        }
        self.net.send(conn, &response(status.0, status.1, &headers, body));
        if keep_alive {
            self.front_read(conn);
        } else {
            self.front.conns.remove(&conn);
            self.net.close_after_flush(conn);
        }
    }

    fn on_hand_in(&mut self, conn: ConnId, request: u64, message: Message) {
        let envelope = match Envelope::read(&message.headers) {
            Ok(envelope) => envelope,
            Err(error) => return self.reject(conn, request, 400, error.to_string(), None, None),
        };
        let client = self.config.clients.iter().position(|client| client.as2_name == envelope.from);
        let Some(client) = client else {
            let why = format!("AS2-From '{}' is not known here", envelope.from);
            return self.reject(conn, request, 403, why, None, None);
        };
        if envelope.to != self.directory.me.name {
            let why = format!("AS2-To '{}' is not this station", envelope.to);
            return self.reject(conn, request, 422, why, Some(&envelope), None);
        }
        let (me, certificate) = (self.directory.me.clone(), self.directory.clients[client].clone());
        self.front.working += 1;
        self.pool.run(move || {
            let opened = open(&message.headers, &message.body, &me, &certificate, envelope.receipt.as_ref());
            let (envelope, http) = (Box::new(envelope), message.headers);
            Done::Opened { conn, request, client, envelope, http, opened: opened.map(Box::new) }
        });
    }

    pub(crate) fn front_opened(
        &mut self,
        conn: ConnId,
        request: u64,
        client: usize,
        envelope: Envelope,
        http: &Headers,
        opened: Result<Box<Opened>, As2Error>,
    ) {
        self.front.working -= 1;
        let opened = match opened {
            Ok(opened) => opened,
            Err(error) => {
                let name = error.disposition_name();
                return self.reject(conn, request, 400, error.to_string(), Some(&envelope), Some(name));
            }
        };
        let now = self.now();
        let (id, receipt) = (&envelope.message_id, envelope.receipt.as_ref());
        let hand_in = match admit(now, &self.config, client, id, http, &opened, receipt) {
            Ok(hand_in) => hand_in,
            Err(rejection) => {
                let name = match rejection {
                    crate::admission::Rejection::Unprotected(_) => "insufficient-message-security",
                    _ => "unexpected-processing-error",
                };
                return self.reject(conn, request, 422, rejection.to_string(), Some(&envelope), Some(name));
            }
        };
        let partner = usize::from(hand_in.destination.0);
        let taken = self.engine.submit(now, hand_in);
        let deferred = receipt.is_some_and(|receipt| receipt.deliver_to.is_some());
        let waits = (!deferred).then_some((conn, request));
        let waiter = Waiter { conn: waits, envelope, mic: opened.mic };
        match taken {
            Admission::New(message) => {
                let held = Held {
                    partner,
                    payload: Some(opened.payload),
                    composed: None,
                    composing: false,
                    waiters: vec![waiter],
                };
                self.held.insert(message, held);
            }
            Admission::InFlight(message) => {
                if let Some(held) = self.held.get_mut(&message) {
                    held.waiters.push(waiter);
                }
            }
            Admission::Completed(_, answer) => self.tell(waiter, answer),
            Admission::Conflict => {
                let why =
                    "this Message-ID was used for another message: with other content, of another class, \
                           for another partner or by another client";
                let envelope = waiter.envelope;
                return self.reject(conn, request, 409, why.to_owned(), Some(&envelope), None);
            }
            Admission::Overloaded | Admission::ShuttingDown => {
                let headers = Headers::new().with("Retry-After", "1").with("Cloverstile-Answer", "not-taken");
                let why =
                    if taken == Admission::Overloaded { "as much is held as may be\n" } else { "stopping\n" };
                return self.respond(conn, request, (503, "Service Unavailable"), headers, why.as_bytes());
            }
        }
        if deferred {
            self.respond(conn, request, (202, "Accepted"), Headers::new(), b"");
        }
    }

    // ---- Answers ----

    /// Answers what is not taken, for good: with a receipt where one was asked for and the sender is known.
    fn reject(
        &mut self,
        conn: ConnId,
        request: u64,
        status: u16,
        why: String,
        envelope: Option<&Envelope>,
        name: Option<&'static str>,
    ) {
        debug!(status, why, "message rejected");
        let wanted = envelope.and_then(|envelope| Some((envelope.clone(), envelope.receipt.clone()?)));
        let Some((envelope, receipt)) = wanted else {
            self.front.working += 1;
            return self.front_rejected(conn, request, status, &why, None);
        };
        let me = self.directory.me.clone();
        self.front.working += 1;
        self.pool.run(move || {
            let facts = ReceiptFacts {
                receipt_id: &format!("receipt.{}", envelope.message_id),
                to: &envelope.from,
                original_id: &envelope.message_id,
                disposition: Disposition::Error(name.unwrap_or("unexpected-processing-error").to_owned()),
                mic: None,
                text: &why,
                answer: None,
            };
            let composed = compose_receipt(&facts, &me, signing(&receipt.signed)).ok().map(Box::new);
            Done::Rejected { conn, request, status, why, receipt: composed }
        });
    }

    pub(crate) fn front_rejected(
        &mut self,
        conn: ConnId,
        request: u64,
        status: u16,
        why: &str,
        receipt: Option<Box<Composed>>,
    ) {
        self.front.working -= 1;
        let reason = match status {
            403 => "Forbidden",
            409 => "Conflict",
            422 => "Unprocessable Content",
            _ => "Bad Request",
        };
        let mut headers = Headers::new().with("Cloverstile-Answer", "rejected");
        match receipt {
            Some(receipt) => {
                headers.extend(&receipt.headers);
                self.respond(conn, request, (status, reason), headers, &receipt.body);
            }
            None => {
                headers.add("Content-Type", "text/plain");
                self.respond(conn, request, (status, reason), headers, format!("{why}\n").as_bytes());
            }
        }
    }

    /// Tells one who waits the final answer: a receipt is signed first, where one was asked for.
    pub(crate) fn tell(&mut self, waiter: Waiter, answer: FinalOutcome) {
        let me = self.directory.me.clone();
        self.front.working += 1;
        self.pool.run(move || {
            let told = of_answer(answer);
            let facts = ReceiptFacts {
                receipt_id: &format!("receipt.{}", waiter.envelope.message_id),
                to: &waiter.envelope.from,
                original_id: &waiter.envelope.message_id,
                disposition: told.disposition,
                mic: Some(&waiter.mic),
                text: told.text,
                answer: Some(told.outcome),
            };
            let signed = waiter.envelope.receipt.as_ref().map(|receipt| signing(&receipt.signed));
            let receipt = match signed {
                Some(digest) => compose_receipt(&facts, &me, digest).map(Box::new),
                None => Err(As2Error::Missing("Disposition-Notification-To")),
            };
            Done::Told { waiter: Box::new(waiter), answer, receipt }
        });
    }

    pub(crate) fn front_told(
        &mut self,
        waiter: Waiter,
        answer: FinalOutcome,
        receipt: Result<Box<Composed>, As2Error>,
    ) {
        self.front.working -= 1;
        let told = of_answer(answer);
        let mut headers = Headers::new().with("Cloverstile-Answer", told.outcome.name());
        if let Some(seconds) = told.retry_after {
            headers.add("Retry-After", seconds.to_string());
        }
        let wanted = waiter.envelope.receipt.is_some();
        let (mut status, mut body) = (told.status, Vec::new());
        match receipt {
            Ok(receipt) => {
                headers.extend(&receipt.headers);
                body = receipt.body;
            }
            Err(error) if wanted => warn!(%error, "a receipt could not be signed"),
            // Without a receipt only the status can tell.
            Err(_) if answer == FinalOutcome::Failed => status = (502, "Bad Gateway"),
            Err(_) => {}
        }
        match waiter.conn {
            Some((conn, request)) => self.respond(conn, request, status, headers, &body),
            None => {
                let url = waiter.envelope.receipt.and_then(|receipt| receipt.deliver_to).unwrap_or_default();
                self.deliver(&url, headers, &body);
            }
        }
    }

    // ---- Receipts to clients' own addresses ----

    fn deliver(&mut self, url: &str, mut headers: Headers, body: &[u8]) {
        let Some((address, path)) = read_url(url) else {
            return warn!(
                url,
                "a receipt can't be delivered: only http:// with a numeric address is supported"
            );
        };
        if self.front.deliveries.len() >= MOST_DELIVERIES {
            return warn!(
                url,
                "a receipt is not delivered: too many are on their way; it can be asked for again"
            );
        }
        headers.add("Host", address.to_string()).add("Connection", "close");
        let bytes = request("POST", &path, &headers, body);
        self.front.last_delivery += 1;
        let delivery = self.front.last_delivery;
        self.front.deliveries.insert(delivery, Delivery { address, bytes, tries: 0 });
        self.redeliver(delivery);
    }

    pub(crate) fn redeliver(&mut self, number: u64) {
        let Some(delivery) = self.front.deliveries.get_mut(&number) else { return };
        delivery.tries += 1;
        let conn = self.net.connect(delivery.address);
        let decoder = Decoder::client(Limits { max_body_bytes: 1 << 20, ..Limits::default() });
        self.net.send(conn, &delivery.bytes);
        self.front.delivering.insert(conn, (number, decoder));
        let at = self.now() + self.config.module.connect_timeout.saturating_mul(4);
        self.set_timer(at, Timer::Connect(conn));
    }

    fn delivery_bytes(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.since_start();
        let Some((number, decoder)) = self.front.delivering.get_mut(&conn) else { return };
        decoder.feed(now, bytes);
        let number = *number;
        match decoder.next(now) {
            Ok(Some(Item::Message(Message { start: Start::Response { status: 200..=299 }, .. }))) => {
                self.front.delivering.remove(&conn);
                self.front.deliveries.remove(&number);
                self.net.close(conn);
            }
            Ok(None) => {}
            _ => {
                self.delivery_failed(conn);
            }
        }
    }

    /// A delivery's connection failed, ended or took too long.
    pub(crate) fn delivery_failed(&mut self, conn: ConnId) -> bool {
        let Some((number, _)) = self.front.delivering.remove(&conn) else { return false };
        self.net.close(conn);
        let Some(delivery) = self.front.deliveries.get(&number) else { return true };
        if delivery.tries >= DELIVERY_TRIES {
            warn!(address = %delivery.address, "a receipt was not delivered; it can be asked for again");
            self.front.deliveries.remove(&number);
        } else {
            let gap = DELIVERY_GAP.saturating_mul(1 << (delivery.tries - 1));
            let at = self.now() + gap;
            self.set_timer(at, Timer::Redeliver(number));
        }
        true
    }

    // ---- Partners' receipts on connections of their own ----

    fn on_partner_receipt(&mut self, conn: ConnId, request: u64, message: Message) {
        let from = sender(&message.headers).unwrap_or_default();
        let partner = self.config.partners.iter().position(|partner| partner.as2_name == from);
        let Some(partner) = partner else {
            let why = format!("AS2-From '{from}' is not known here");
            return self.reject(conn, request, 403, why, None, None);
        };
        let certificate = self.directory.partners[partner].clone();
        self.front.working += 1;
        self.pool.run(move || {
            let receipt = read_receipt(&message.headers, &message.body, &certificate).map(Box::new);
            Done::Receipt { conn, request, partner, receipt }
        });
    }

    pub(crate) fn front_receipt(
        &mut self,
        conn: ConnId,
        request: u64,
        partner: usize,
        receipt: Result<Box<Receipt>, As2Error>,
    ) {
        self.front.working -= 1;
        let receipt = match receipt {
            Ok(receipt) => receipt,
            Err(error) => {
                warn!(partner = %self.config.partners[partner].name, %error, "a receipt does not count");
                return self.reject(conn, request, 400, error.to_string(), None, None);
            }
        };
        // Only a receipt of the very partner, for the very bytes, says anything of a message.
        let known = self.engine.message_id(&receipt.original_id);
        let held =
            known.and_then(|id| Some((id, self.held.get(&id).filter(|held| held.partner == partner)?)));
        let sent = held.and_then(|(id, held)| Some((id, held.composed.clone()?)));
        let Some((id, composed)) = sent else {
            // Nothing is known of it any more; the partner need not send it again.
            return self.respond(conn, request, (200, "OK"), Headers::new(), b"");
        };
        match receipt.check(&receipt.original_id, &composed.mic, true) {
            Ok(()) => {
                let now = self.now();
                self.engine.on_receipt(now, id, crate::meaning::of_receipt(&receipt));
                self.respond(conn, request, (200, "OK"), Headers::new(), b"");
            }
            Err(error) => {
                warn!(message = %receipt.original_id, partner = %self.config.partners[partner].name, %error, "a receipt does not count");
                self.reject(conn, request, 400, error.to_string(), None, None);
            }
        }
    }
}

/// The digest to sign a receipt with: the first one wanted that we sign with; none for an unsigned receipt.
fn signing(wanted: &[Digest]) -> Option<Digest> {
    let strong = wanted.iter().copied().find(|digest| *digest != Digest::Sha1);
    strong.or((!wanted.is_empty()).then_some(Digest::Sha256))
}
