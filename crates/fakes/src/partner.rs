//! Partners on sockets: AS2 receivers that behave as their [`model`](crate::model) says.

use crate::model::{Fault, PartnerModel, Reply, ServerProfile};
use crate::record::{ObservedEvent, Recorder, RequestEnd};
use cloverstile_as2::{
    compose_receipt, open, Certificate, Composed, Digest, Disposition, Envelope, Identity, ReceiptFacts,
};
use cloverstile_http::{read_url, request, response, Decoder, Headers, Item, Limits, Message, Start};
use cloverstile_net::{ConnId, ListenerId, Net, NetEvent, Waker};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// A partner to be stood in for.
pub struct FakePartner {
    /// Name in the records and in the couriers' settings.
    pub name: String,
    /// Its station.
    pub identity: Arc<Identity>,
    /// What it is like.
    pub profile: ServerProfile,
    /// Endpoints to listen on.
    pub endpoints: usize,
    /// Which endpoints drop repeats of one another: one group number each.
    pub deduplication_groups: Vec<usize>,
}

/// Something wrong with a receipt, on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// Its integrity check is another's.
    WrongMic,
    /// It is signed by another station.
    WrongSigner,
    /// It comes twice.
    Duplicate,
    /// It comes so many milliseconds late.
    Delay(u64),
}

/// A command to the running thread of partners.
pub enum PartnerCommand {
    /// A fault begins and ends by itself.
    Fault {
        /// Place of the partner.
        partner: usize,
        /// What.
        fault: Fault,
        /// Group of endpoints that is struck; all of them where there is none.
        zone: Option<usize>,
        /// For how long.
        duration: Duration,
    },
    /// All receipts of a partner are twisted from now on.
    SetResponseFault {
        /// Place of the partner.
        partner: usize,
        /// How; none: no longer.
        fault: Option<ResponseFault>,
    },
    /// Ends the thread.
    Stop,
}

/// A running thread of partners.
pub struct Partners {
    /// Addresses, by partner and endpoint.
    pub addresses: Vec<Vec<SocketAddr>>,
    orders: Sender<PartnerCommand>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl Partners {
    /// Starts partners on loopback addresses of their own. `couriers` are the stations that may send, by AS2 name.
    pub fn start(
        plans: Vec<FakePartner>,
        couriers: HashMap<String, Certificate>,
        recorder: Recorder,
        seed: u64,
    ) -> io::Result<Partners> {
        let (orders, inbox) = channel();
        let (ready, started) = channel();
        let thread = std::thread::Builder::new().name("partners".into()).spawn(move || {
            let shell = Shell::new(plans, couriers, recorder, seed);
            match shell {
                Ok((mut shell, addresses)) => {
                    let _ = ready.send(Ok((addresses, shell.net.waker())));
                    shell.run(&inbox);
                }
                Err(error) => {
                    let _ = ready.send(Err(error));
                }
            }
        })?;
        let (addresses, waker) = started.recv().map_err(io::Error::other)??;
        Ok(Partners { addresses, orders, waker, thread: Some(thread) })
    }

    /// Tells the thread something.
    pub fn send(&self, order: PartnerCommand) {
        if self.orders.send(order).is_ok() {
            self.waker.wake();
        }
    }
}

impl Drop for Partners {
    fn drop(&mut self) {
        self.send(PartnerCommand::Stop);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed; there is nothing to add.
            let _ = thread.join();
        }
    }
}

struct Served {
    plan: FakePartner,
    /// One for each group of endpoints.
    model: Vec<PartnerModel>,
    listeners: Vec<(Option<ListenerId>, SocketAddr)>,
    twist: Option<ResponseFault>,
    fault_ends: Option<Duration>,
    /// The group that the fault strikes; all of them where there is none.
    struck: Option<usize>,
}

struct Conn {
    partner: usize,
    endpoint: usize,
    decoder: Decoder,
    /// The call that waits for its answer.
    call: Option<u64>,
    /// When its last answer left.
    used: Option<Duration>,
}

/// An answer on its way out.
struct Due {
    conn: Option<ConnId>,
    partner: usize,
    call: u64,
    message: Option<Message>,
    reply: Reply,
    effect: bool,
}

struct Shell {
    net: Net,
    partners: Vec<Served>,
    couriers: HashMap<String, Certificate>,
    recorder: Recorder,
    conns: HashMap<ConnId, Conn>,
    listeners: HashMap<ListenerId, (usize, usize)>,
    due: BTreeMap<(Duration, u64), Due>,
    /// Receipts on connections of their own: bytes to send, and when to give up reading the answer.
    outbound: HashMap<ConnId, Vec<u8>>,
    later: BTreeMap<(Duration, u64), (SocketAddr, Vec<u8>)>,
    last: u64,
}

impl Shell {
    fn new(
        plans: Vec<FakePartner>,
        couriers: HashMap<String, Certificate>,
        recorder: Recorder,
        seed: u64,
    ) -> io::Result<(Shell, Vec<Vec<SocketAddr>>)> {
        let mut shell = Shell {
            net: Net::new()?,
            partners: Vec::new(),
            couriers,
            recorder,
            conns: HashMap::new(),
            listeners: HashMap::new(),
            due: BTreeMap::new(),
            outbound: HashMap::new(),
            later: BTreeMap::new(),
            last: 0,
        };
        let mut addresses = Vec::new();
        for (place, plan) in plans.into_iter().enumerate() {
            let mut listeners = Vec::new();
            for endpoint in 0..plan.endpoints {
                let (listener, address) = shell.net.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
                shell.listeners.insert(listener, (place, endpoint));
                listeners.push((Some(listener), address));
            }
            addresses.push(listeners.iter().map(|(_, address)| *address).collect());
            let groups = plan.deduplication_groups.iter().max().map_or(1, |most| most + 1);
            let model = (0..groups)
                .map(|group| {
                    let seed = seed ^ ((place as u64) << 8) ^ group as u64;
                    PartnerModel::new(plan.profile.clone(), ChaCha8Rng::seed_from_u64(seed))
                })
                .collect();
            shell.partners.push(Served {
                plan,
                model,
                listeners,
                twist: None,
                fault_ends: None,
                struck: None,
            });
        }
        Ok((shell, addresses))
    }

    fn run(&mut self, inbox: &Receiver<PartnerCommand>) {
        loop {
            let now = self.recorder.now();
            let next = [
                self.due.first_key_value().map(|((at, _), _)| *at),
                self.later.first_key_value().map(|((at, _), _)| *at),
                self.partners.iter().filter_map(|partner| partner.fault_ends).min(),
            ];
            let timeout = next.into_iter().flatten().min().map(|at| at.saturating_sub(now));
            let Ok(events) = self.net.poll(timeout) else { return };
            for event in events {
                self.on_event(event);
            }
            while let Ok(order) = inbox.try_recv() {
                match order {
                    PartnerCommand::Fault { partner, fault, zone, duration: lasts } => {
                        self.begin(partner, fault, zone, lasts)
                    }
                    PartnerCommand::SetResponseFault { partner, fault } => {
                        self.partners[partner].twist = fault
                    }
                    PartnerCommand::Stop => return,
                }
            }
            let now = self.recorder.now();
            for partner in 0..self.partners.len() {
                if self.partners[partner].fault_ends.is_some_and(|at| at <= now) {
                    self.end(partner);
                }
            }
            while self.due.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
                if let Some((_, due)) = self.due.pop_first() {
                    self.answer(due);
                }
            }
            while self.later.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
                if let Some((_, (address, bytes))) = self.later.pop_first() {
                    let conn = self.net.connect(address);
                    self.outbound.insert(conn, bytes);
                }
            }
        }
    }

    fn begin(&mut self, partner: usize, fault: Fault, zone: Option<usize>, lasts: Duration) {
        let until = self.recorder.now() + lasts;
        self.partners[partner].struck = zone;
        if fault.is_outage() {
            self.note_outage(partner, true);
        }
        let served = &mut self.partners[partner];
        let groups = served.plan.deduplication_groups.clone();
        let hit = |endpoint: usize| zone.is_none_or(|zone| groups.get(endpoint) == Some(&zone));
        served.fault_ends = Some(until);
        for (group, model) in served.model.iter_mut().enumerate() {
            if zone.is_none_or(|zone| zone == group) {
                model.begin_fault(fault, until);
            }
        }
        if fault == Fault::RefuseConnections {
            for (endpoint, (listener, _)) in served.listeners.iter_mut().enumerate() {
                if !hit(endpoint) {
                    continue;
                }
                if let Some(listener) = listener.take() {
                    self.net.stop_listening(listener);
                }
            }
        }
        if matches!(fault, Fault::RefuseConnections | Fault::ResetConnections) {
            let conns: Vec<ConnId> = self
                .conns
                .iter()
                .filter(|(_, conn)| conn.partner == partner && hit(conn.endpoint))
                .map(|(id, _)| *id)
                .collect();
            for conn in conns {
                self.drop_conn(conn, true);
            }
        }
    }

    fn end(&mut self, partner: usize) {
        let now = self.recorder.now();
        let served = &mut self.partners[partner];
        served.fault_ends = None;
        let outage = served.model.iter().filter_map(PartnerModel::fault).any(Fault::is_outage);
        for model in &mut served.model {
            model.end_fault(now);
        }
        for endpoint in 0..served.listeners.len() {
            let (listener, address) = self.partners[partner].listeners[endpoint];
            if listener.is_none() {
                if let Ok((listener, _)) = self.net.listen(address) {
                    self.partners[partner].listeners[endpoint].0 = Some(listener);
                    self.listeners.insert(listener, (partner, endpoint));
                }
            }
        }
        if outage {
            self.note_outage(partner, false);
        }
    }

    fn note_outage(&self, partner: usize, began: bool) {
        let (zone, partner) = (self.partners[partner].struck, self.partners[partner].plan.name.clone());
        self.recorder.record(ObservedEvent::Outage { partner, zone, began });
    }

    /// Breaks a connection; the call on it is over for the courier.
    fn drop_conn(&mut self, conn: ConnId, reset: bool) {
        if let Some(known) = self.conns.remove(&conn) {
            if let Some(call) = known.call {
                self.recorder.record(ObservedEvent::RequestEnded { request: call, end: RequestEnd::Broken });
            }
        }
        match reset {
            true => self.net.reset(conn),
            false => self.net.close(conn),
        }
    }

    fn on_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Accepted { listener, conn } => {
                let Some(&(partner, endpoint)) = self.listeners.get(&listener) else { return };
                let decoder = Decoder::server(Limits::default());
                self.conns.insert(conn, Conn { partner, endpoint, decoder, call: None, used: None });
            }
            NetEvent::Bytes(conn, bytes) => {
                let now = self.recorder.now();
                let Some(known) = self.conns.get_mut(&conn) else { return };
                known.decoder.feed(now, &bytes);
                loop {
                    let Some(known) = self.conns.get_mut(&conn) else { return };
                    match known.decoder.next(now) {
                        Ok(Some(Item::Message(message))) => self.on_request(conn, message),
                        Ok(Some(Item::ExpectsContinue)) => self.net.send(conn, cloverstile_http::CONTINUE),
                        Ok(None) => return,
                        Err(_) => return self.drop_conn(conn, true),
                    }
                }
            }
            NetEvent::Closed { conn, .. } => {
                self.outbound.remove(&conn);
                if let Some(Conn { call: Some(call), .. }) = self.conns.remove(&conn) {
                    self.recorder
                        .record(ObservedEvent::RequestEnded { request: call, end: RequestEnd::ClientClosed });
                }
            }
            NetEvent::Connected(conn) => {
                if let Some(bytes) = self.outbound.remove(&conn) {
                    self.net.send(conn, &bytes);
                    self.net.close_after_flush(conn);
                }
            }
            NetEvent::ConnectFailed(conn, _) => {
                self.outbound.remove(&conn);
            }
            NetEvent::Flushed(_) | NetEvent::Signal(_) | NetEvent::Woken => {}
        }
    }

    fn on_request(&mut self, conn: ConnId, message: Message) {
        let now = self.recorder.now();
        let Some(known) = self.conns.get_mut(&conn) else { return };
        let (partner, endpoint) = (known.partner, known.endpoint);
        let Ok(envelope) = Envelope::read(&message.headers) else {
            self.net.send(conn, &response(400, "Bad Request", &Headers::new(), b"not AS2"));
            return;
        };
        self.last += 1;
        let call = self.last;
        known.call = Some(call);
        let served = &mut self.partners[partner];
        let id = envelope.message_id.clone();
        self.recorder.record(ObservedEvent::RequestReceived {
            id: id.clone(),
            gateway: envelope.from.clone(),
            partner: served.plan.name.clone(),
            endpoint,
            request: call,
        });
        if let (Some(Fault::DropIdle(after)), Some(used)) = (
            served.model[served.plan.deduplication_groups.get(endpoint).copied().unwrap_or(0)].fault(),
            known.used,
        ) {
            if now.saturating_sub(used) > after {
                return self.drop_conn(conn, true);
            }
        }
        let group = served.plan.deduplication_groups.get(endpoint).copied().unwrap_or(0);
        let fell = served.model.iter().any(PartnerModel::has_collapsed);
        let verdict = served.model[group].handle_request(now, &id);
        if !fell && served.model[group].has_collapsed() {
            self.recorder.record(ObservedEvent::Collapsed { partner: served.plan.name.clone() });
        }
        let Some(at) = verdict.respond_at else {
            if verdict.takes_effect {
                self.note_effect(partner, &id);
            }
            return;
        };
        let due = Due {
            conn: Some(conn),
            partner,
            call,
            message: Some(message),
            reply: verdict.reply,
            effect: verdict.takes_effect,
        };
        self.due.insert((at, call), due);
    }

    fn note_effect(&self, partner: usize, id: &str) {
        let partner = self.partners[partner].plan.name.clone();
        self.recorder.record(ObservedEvent::EffectApplied { id: id.to_owned(), partner });
    }

    fn answer(&mut self, due: Due) {
        let Some(message) = due.message else { return };
        let Some(conn) =
            due.conn.filter(|conn| self.conns.get(conn).is_some_and(|c| c.call == Some(due.call)))
        else {
            // The courier left; a receipt on a connection of its own still goes out.
            self.deferred(due.partner, &message, due.reply, due.effect);
            return;
        };
        let deferred = Envelope::read(&message.headers)
            .ok()
            .and_then(|envelope| envelope.receipt)
            .is_some_and(|receipt| receipt.deliver_to.is_some());
        let headers = self.limit_fields(due.partner);
        let (bytes, how) = match due.reply {
            Reply::Rejected(wait) => {
                let mut headers = headers;
                // Whole seconds, rounded up: at the end of the wait there is room (RFC 9110, section 10.2.3).
                let seconds = wait.map(|wait| wait.as_secs_f64().ceil().max(1.0) as u64);
                if let Some(seconds) = seconds {
                    headers.add("Retry-After", seconds.to_string());
                }
                let bytes = response(503, "Service Unavailable", &headers, b"");
                (bytes, RequestEnd::Rejected(seconds.map(|seconds| seconds * 1000)))
            }
            Reply::Reset => return self.drop_conn(conn, true),
            Reply::Processed | Reply::Truncated | Reply::Error
                if deferred && due.reply != Reply::Truncated =>
            {
                self.deferred(due.partner, &message, due.reply, due.effect);
                (response(202, "Accepted", &headers, b""), RequestEnd::Deferred)
            }
            Reply::Processed | Reply::Truncated | Reply::Error => {
                let Some(receipt) = self.receipt(due.partner, &message, due.reply, due.effect) else {
                    return self.drop_conn(conn, true);
                };
                let mut all = headers;
                all.extend(&receipt.headers);
                let bytes = response(200, "OK", &all, &receipt.body);
                if due.reply == Reply::Truncated {
                    self.net.send(conn, &bytes[..bytes.len() / 2]);
                    if let Some(known) = self.conns.remove(&conn) {
                        let call = known.call.unwrap_or(due.call);
                        self.recorder
                            .record(ObservedEvent::RequestEnded { request: call, end: RequestEnd::Broken });
                    }
                    return self.net.close_after_flush(conn);
                }
                (bytes, if due.reply == Reply::Error { RequestEnd::Error } else { RequestEnd::Processed })
            }
        };
        let now = self.recorder.now();
        if let Some(known) = self.conns.get_mut(&conn) {
            known.call = None;
            known.used = Some(now);
        }
        self.recorder.record(ObservedEvent::RequestEnded { request: due.call, end: how });
        self.net.send(conn, &bytes);
    }

    /// What is told of the limit, in the standard fields.
    fn limit_fields(&self, partner: usize) -> Headers {
        let mut headers = Headers::new();
        if let Some((left, limit)) = self.partners[partner].model[0].allowance() {
            headers.add("RateLimit-Policy", format!("\"calls\";q={};w=1", limit.round()));
            headers.add("RateLimit", format!("\"calls\";r={};t=1", (left * limit).floor()));
        }
        headers
    }

    /// Opens a message, lets it take effect where it does, and composes its receipt.
    fn receipt(&self, partner: usize, message: &Message, reply: Reply, effect: bool) -> Option<Composed> {
        let served = &self.partners[partner];
        let envelope = Envelope::read(&message.headers).ok()?;
        let sender = self.couriers.get(&envelope.from)?;
        let me = &served.plan.identity;
        let opened = open(&message.headers, &message.body, me, sender, envelope.receipt.as_ref());
        if effect && opened.is_ok() {
            self.note_effect(partner, &envelope.message_id);
        }
        let (disposition, mut mic) = match (opened, reply) {
            (_, Reply::Error) => (Disposition::Error("unexpected-processing-error".into()), None),
            (Ok(opened), _) => (Disposition::Processed, Some(opened.mic)),
            (Err(error), _) => (Disposition::Error(error.disposition_name().into()), None),
        };
        if let (Some(ResponseFault::WrongMic), Some(mic)) = (served.twist, &mut mic) {
            mic.value.reverse();
        }
        let wanted = envelope.receipt.and_then(|receipt| receipt.signed.first().copied());
        let sign = wanted.filter(|digest| *digest != Digest::Sha1);
        let receipt_id = format!("receipt.{}", envelope.message_id);
        let facts = ReceiptFacts {
            receipt_id: &receipt_id,
            to: &envelope.from,
            original_id: &envelope.message_id,
            disposition,
            mic: mic.as_ref(),
            text: "The message has been received.",
            answer: None,
        };
        let others = self.partners.iter().map(|other| &other.plan.identity);
        let other = others.into_iter().find(|other| other.name != me.name);
        let signer = if served.twist == Some(ResponseFault::WrongSigner) { other.unwrap_or(me) } else { me };
        compose_receipt(&facts, signer, sign).ok()
    }

    /// Sends a receipt to where the message wants it, on a connection of its own.
    fn deferred(&mut self, partner: usize, message: &Message, reply: Reply, effect: bool) {
        let Some(receipt) = self.receipt(partner, message, reply, effect) else { return };
        if !matches!(reply, Reply::Processed | Reply::Error) {
            return;
        }
        let request_for = Envelope::read(&message.headers).ok().and_then(|envelope| envelope.receipt);
        let Some((address, path)) = request_for.and_then(|r| r.deliver_to).as_deref().and_then(read_url)
        else {
            return;
        };
        let mut headers = receipt.headers.clone();
        headers.add("Host", address.to_string()).add("Connection", "close");
        let bytes = request("POST", &path, &headers, &receipt.body);
        let now = self.recorder.now();
        let (copies, wait) = match self.partners[partner].twist {
            Some(ResponseFault::Duplicate) => (2, 0),
            Some(ResponseFault::Delay(ms)) => (1, ms),
            _ => (1, 0),
        };
        for copy in 0..copies {
            self.last += 1;
            let at = now + Duration::from_millis(wait + copy * 20);
            self.later.insert((at, self.last), (address, bytes.clone()));
        }
    }
}

/// Whether an answer's status is one of success.
pub fn is_success(message: &Message) -> bool {
    matches!(message.start, Start::Response { status: 200..=299 })
}
