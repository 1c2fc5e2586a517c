//! A client program on sockets: hands messages in over AS2 by a plan, waits for each final answer, and hands in
//! again where that is safe.

use crate::partner::is_success;
use crate::record::{micros, ObservedEvent, Recorder, ReportedOutcome};
use cloverstile_as2::{
    compose, read_receipt, Addressee, Certificate, Composed, Digest, Identity, Outcome, Outgoing, Part,
    ReceiptRequest, Security,
};
use cloverstile_http::{request, response, Decoder, Headers, Item, Limits, Message, Start};
use cloverstile_net::{ConnId, Net, NetEvent};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// A message to be handed in.
#[derive(Clone, Debug)]
pub struct PlannedMessage {
    /// When, from the start of the run.
    pub at: Duration,
    /// Message-ID.
    pub id: String,
    /// Class, as the couriers' settings name it.
    pub class: String,
    /// Partner, as the couriers' settings name it.
    pub partner: String,
    /// What it is about, for classes in order; those of one key go to one courier, one after another.
    pub key: Option<String>,
    /// Given up so long after its first hand-in.
    pub deadline: Duration,
    /// What is carried.
    pub body: Vec<u8>,
    /// The client drops its connection right after the first hand-in, and hands in again.
    pub disconnects_after_submission: bool,
}

/// How a client behaves.
#[derive(Clone, Debug)]
pub struct ClientBehaviour {
    /// Protection of its messages.
    pub security: Security,
    /// Receipts come on connections of their own.
    pub deferred_receipts: bool,
    /// How often a message is handed in again after a refusal.
    pub max_resubmissions: u32,
    /// ... and after how long, where no time is told.
    pub retry_delay: Duration,
    /// How long after its deadline a client waits for an answer.
    pub answer_timeout: Duration,
}

impl Default for ClientBehaviour {
    fn default() -> Self {
        let receipt = Some(ReceiptRequest { deliver_to: None, signed: vec![Digest::Sha256] });
        ClientBehaviour {
            security: Security { encrypt: None, receipt, ..Security::default() },
            deferred_receipts: false,
            max_resubmissions: 1,
            retry_delay: Duration::from_millis(300),
            answer_timeout: Duration::from_secs(3),
        }
    }
}

/// Where the couriers are, and who they are; shared with whoever starts and kills them.
pub struct GatewaySet {
    /// Addresses of their fronts.
    pub addresses: Vec<SocketAddr>,
    /// AS2 names.
    pub names: Vec<String>,
    /// Certificates.
    pub certificates: Vec<Certificate>,
    /// Which of them take work, as far as is known.
    pub running: Vec<AtomicBool>,
}

/// How far a client has come, for others to watch.
#[derive(Default)]
pub struct Progress {
    /// Messages with their last answer.
    pub completed: AtomicUsize,
    /// End the run now.
    pub stop: AtomicBool,
}

struct Job {
    planned: PlannedMessage,
    composed: Option<Composed>,
    courier: Option<usize>,
    deadline: Option<Duration>,
    refused: u32,
    /// Its courier has it, or may have it.
    sent: bool,
    after_loss: bool,
    handed_in: u32,
    done: bool,
}

struct Conn {
    courier: usize,
    decoder: Decoder,
    job: Option<usize>,
    /// Bytes to be sent once it is there.
    first: Option<Vec<u8>>,
}

/// One client.
pub struct Client<'a> {
    identity: &'a Identity,
    habits: ClientBehaviour,
    couriers: &'a GatewaySet,
    recorder: Recorder,
    progress: &'a Progress,
    net: Net,
    jobs: Vec<Job>,
    by_id: HashMap<String, usize>,
    /// What is to be handed in when.
    due: BTreeMap<(Duration, usize), ()>,
    /// Until when an answer is waited for.
    patience: BTreeMap<(Duration, usize), ()>,
    conns: HashMap<ConnId, Conn>,
    idle: HashMap<usize, Vec<ConnId>>,
    /// Connections on which receipts come.
    inbound: HashMap<ConnId, Decoder>,
    receipts_at: Option<SocketAddr>,
    /// Messages of a key that wait until the one before was taken.
    lines: HashMap<String, VecDeque<usize>>,
    left: usize,
    /// Gateways that just took no connection or no work, and until when they are passed over.
    shunned: HashMap<usize, Duration>,
    /// Gateways that ran when last looked at.
    ran: Vec<bool>,
}

impl<'a> Client<'a> {
    /// A client with its plan.
    pub fn new(
        identity: &'a Identity,
        habits: ClientBehaviour,
        couriers: &'a GatewaySet,
        plan: Vec<PlannedMessage>,
        recorder: Recorder,
        progress: &'a Progress,
    ) -> io::Result<Self> {
        let mut net = Net::new()?;
        let receipts_at = match habits.deferred_receipts {
            true => Some(net.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?.1),
            false => None,
        };
        let mut client = Client {
            identity,
            habits,
            couriers,
            recorder,
            progress,
            net,
            jobs: Vec::new(),
            by_id: HashMap::new(),
            due: BTreeMap::new(),
            patience: BTreeMap::new(),
            conns: HashMap::new(),
            idle: HashMap::new(),
            inbound: HashMap::new(),
            receipts_at,
            lines: HashMap::new(),
            left: plan.len(),
            shunned: HashMap::new(),
            ran: vec![true; couriers.running.len()],
        };
        for (place, planned) in plan.into_iter().enumerate() {
            client.by_id.insert(planned.id.clone(), place);
            client.due.insert((planned.at, place), ());
            client.jobs.push(Job {
                planned,
                composed: None,
                courier: None,
                deadline: None,
                refused: 0,
                sent: false,
                after_loss: false,
                handed_in: 0,
                done: false,
            });
        }
        Ok(client)
    }

    /// Plays the plan to its end.
    pub fn run(&mut self) -> io::Result<()> {
        while self.left > 0 && !self.progress.stop.load(Ordering::Relaxed) {
            let now = self.recorder.now();
            let next = [self.due.first_key_value(), self.patience.first_key_value()];
            let next = next.into_iter().flatten().map(|((at, _), ())| at.saturating_sub(now)).min();
            let timeout = next.unwrap_or(Duration::from_millis(100)).min(Duration::from_millis(100));
            for event in self.net.poll(Some(timeout))? {
                self.on_event(event);
            }
            self.note_deaths();
            let now = self.recorder.now();
            while let Some((&(at, place), ())) = self.due.first_key_value().filter(|((at, _), ())| *at <= now)
            {
                self.due.remove(&(at, place));
                self.begin(place);
            }
            while let Some((&(at, place), ())) =
                self.patience.first_key_value().filter(|((at, _), ())| *at <= now)
            {
                self.patience.remove(&(at, place));
                if !self.jobs[place].done {
                    self.finish(place);
                }
            }
        }
        Ok(())
    }

    /// Who waits for receipts on other connections learns of a courier's death by other means.
    fn note_deaths(&mut self) {
        for courier in 0..self.ran.len() {
            let runs = self.couriers.running[courier].load(Ordering::Relaxed);
            if std::mem::replace(&mut self.ran[courier], runs) && !runs {
                let waits = |job: &Job| !job.done && job.handed_in > 0 && job.courier == Some(courier);
                let on_wire: Vec<usize> = self.conns.values().filter_map(|conn| conn.job).collect();
                let lost: Vec<usize> = (0..self.jobs.len())
                    .filter(|place| waits(&self.jobs[*place]) && !on_wire.contains(place))
                    .collect();
                for place in lost {
                    self.recorder.record(ObservedEvent::ConnectionLost {
                        id: self.jobs[place].planned.id.clone(),
                        gateway: courier,
                    });
                    self.jobs[place].after_loss = true;
                    self.due.insert((self.recorder.now() + self.habits.retry_delay, place), ());
                }
            }
        }
    }

    /// Hands in now, or behind the one before of the same key.
    fn begin(&mut self, place: usize) {
        if self.jobs[place].done {
            return;
        }
        let Some(key) = self.jobs[place].planned.key.clone() else { return self.hand_in(place) };
        let line = self.lines.entry(key).or_default();
        if !line.contains(&place) {
            line.push_back(place);
        }
        if line.front() == Some(&place) {
            self.hand_in(place);
        }
    }

    /// The order of a key's hand-ins is only certain once the one before is known to have been taken.
    fn taken(&mut self, place: usize) {
        let Some(key) = &self.jobs[place].planned.key else { return };
        let Some(line) = self.lines.get_mut(key) else { return };
        if line.front() != Some(&place) {
            return;
        }
        line.pop_front();
        // What ended meanwhile must not hold up those behind it.
        while line.front().is_some_and(|next| self.jobs[*next].done) {
            line.pop_front();
        }
        if let Some(next) = line.front().copied() {
            self.hand_in(next);
        }
    }

    fn finish(&mut self, place: usize) {
        if !std::mem::replace(&mut self.jobs[place].done, true) {
            self.left -= 1;
            self.progress.completed.fetch_add(1, Ordering::Relaxed);
        }
        self.taken(place);
    }

    /// A courier that runs; messages of one key stay with theirs while it runs.
    fn choose(&self, place: usize) -> Option<usize> {
        let now = self.recorder.now();
        let running = |courier: &usize| self.couriers.running[*courier].load(Ordering::Relaxed);
        let welcome = |courier: &usize| self.shunned.get(courier).is_none_or(|until| *until <= now);
        let job = &self.jobs[place];
        if let Some(courier) = job.courier.filter(running).filter(welcome) {
            return Some(courier);
        }
        let mut up: Vec<usize> = (0..self.couriers.addresses.len()).filter(running).collect();
        if up.iter().any(welcome) {
            up.retain(welcome);
        }
        let number = match &job.planned.key {
            Some(key) => {
                key.bytes().fold(7_usize, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()))
            }
            None => place,
        };
        (!up.is_empty()).then(|| up[number % up.len()])
    }

    fn hand_in(&mut self, place: usize) {
        let now = self.recorder.now();
        let Some(courier) = self.choose(place) else {
            self.due.insert((now + Duration::from_millis(50), place), ());
            return;
        };
        let deferred = self.receipts_at.map(|address| format!("http://{address}/receipts"));
        let job = &mut self.jobs[place];
        if job.done {
            return;
        }
        if job.courier != Some(courier) {
            // Another courier is another addressee, and knows nothing of what the one before did.
            job.composed = None;
            job.after_loss |= job.sent;
        }
        job.courier = Some(courier);
        let deadline = *job.deadline.get_or_insert(now + job.planned.deadline);
        if now >= deadline {
            return self.finish(place);
        }
        if job.handed_in == 0 {
            self.patience.insert((deadline + self.habits.answer_timeout, place), ());
        }
        job.handed_in += 1;
        if job.composed.is_none() {
            let payload = Part {
                headers: Headers::new().with("Content-Type", "application/octet-stream"),
                body: job.planned.body.clone(),
            };
            let outgoing = Outgoing { message_id: &job.planned.id, payload: &payload, subject: None };
            let to = Addressee {
                name: &self.couriers.names[courier],
                certificate: &self.couriers.certificates[courier],
            };
            let mut security = self.habits.security.clone();
            if let Some(receipt) = &mut security.receipt {
                receipt.deliver_to = deferred;
            }
            job.composed = compose(&outgoing, self.identity, to, &security).ok();
        }
        let Some(composed) = &job.composed else { return self.finish(place) };
        let mut headers = composed.headers.clone();
        headers
            .add("Host", self.couriers.addresses[courier].to_string())
            .add("Cloverstile-Partner", job.planned.partner.as_str())
            .add("Cloverstile-Class", job.planned.class.as_str())
            .add("Cloverstile-Time-Left", (deadline - now).as_millis().to_string());
        if let Some(key) = &job.planned.key {
            headers.add("Cloverstile-Order-Key", key.as_str());
        }
        if job.after_loss {
            headers.add("Cloverstile-Handed-In", "after-loss");
        } else if job.refused > 0 {
            headers.add("Cloverstile-Handed-In", "again");
        }
        let bytes = request("POST", "/as2", &headers, &composed.body);
        self.recorder.record(ObservedEvent::Submitted {
            id: job.planned.id.clone(),
            gateway: courier,
            class: job.planned.class.clone(),
            partner: job.planned.partner.clone(),
            key: job.planned.key.clone(),
            deadline: micros(deadline),
            after_loss: job.after_loss,
        });
        let drops = job.planned.disconnects_after_submission && job.handed_in == 1;
        let conn = self.connection(courier);
        if let Some(known) = self.conns.get_mut(&conn) {
            known.job = Some(place);
            match known.first {
                Some(_) => known.first = Some(bytes),
                None => self.net.send(conn, &bytes),
            }
        }
        if drops {
            // Hands in again at once, on another connection: the courier may or may not have taken it.
            self.due.insert((now + Duration::from_millis(30), place), ());
        }
    }

    fn connection(&mut self, courier: usize) -> ConnId {
        while let Some(conn) = self.idle.get_mut(&courier).and_then(Vec::pop) {
            if self.conns.contains_key(&conn) {
                return conn;
            }
        }
        let conn = self.net.connect(self.couriers.addresses[courier]);
        let decoder = Decoder::client(Limits::default());
        self.conns.insert(conn, Conn { courier, decoder, job: None, first: Some(Vec::new()) });
        conn
    }

    fn on_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Accepted { conn, .. } => {
                self.inbound.insert(conn, Decoder::server(Limits::default()));
            }
            NetEvent::Connected(conn) => {
                let Some(known) = self.conns.get_mut(&conn) else { return };
                if let Some(bytes) = known.first.take() {
                    self.net.send(conn, &bytes);
                }
            }
            NetEvent::Flushed(conn) => self.drop_if_planned(conn),
            NetEvent::ConnectFailed(conn, _) => self.lost(conn, false),
            NetEvent::Closed { conn, .. } => {
                self.inbound.remove(&conn);
                self.lost(conn, true);
            }
            NetEvent::Bytes(conn, bytes) if self.inbound.contains_key(&conn) => {
                self.on_receipts(conn, &bytes)
            }
            NetEvent::Bytes(conn, bytes) => {
                let now = self.recorder.now();
                let Some(known) = self.conns.get_mut(&conn) else { return };
                known.decoder.feed(now, &bytes);
                let Some(known) = self.conns.get_mut(&conn) else { return };
                match known.decoder.next(now) {
                    Ok(Some(Item::Message(message))) => self.on_answer(conn, &message),
                    Ok(_) => {}
                    Err(_) => {
                        self.net.close(conn);
                        self.lost(conn, true);
                    }
                }
            }
            NetEvent::Signal(_) | NetEvent::Woken => {}
        }
    }

    fn drop_if_planned(&mut self, conn: ConnId) {
        let Some(known) = self.conns.get(&conn) else { return };
        let Some(place) = known.job else { return };
        let job = &self.jobs[place];
        if job.planned.disconnects_after_submission && job.handed_in == 1 {
            self.net.close(conn);
            self.conns.remove(&conn);
        }
    }

    /// A connection ended before its answer came. `sent`: the courier may have the message.
    fn lost(&mut self, conn: ConnId, sent: bool) {
        let Some(known) = self.conns.remove(&conn) else { return };
        let Some(place) = known.job else { return };
        let sent = sent && known.first.is_none();
        if self.jobs[place].done {
            return;
        }
        let courier = known.courier;
        self.recorder.record(ObservedEvent::ConnectionLost {
            id: self.jobs[place].planned.id.clone(),
            gateway: courier,
        });
        let running = self.couriers.running[courier].load(Ordering::Relaxed);
        if !sent {
            self.shunned.insert(courier, self.recorder.now() + Duration::from_millis(500));
        }
        let job = &mut self.jobs[place];
        job.sent |= sent;
        if sent && !running {
            // What the courier did with it died with it.
            job.after_loss = true;
        }
        let pause = Duration::from_millis(if running { 20 } else { 100 });
        self.due.insert((self.recorder.now() + pause, place), ());
    }

    fn on_answer(&mut self, conn: ConnId, message: &Message) {
        let Some(known) = self.conns.get_mut(&conn) else { return };
        let (courier, place) = (known.courier, known.job.take());
        if message.keep_alive {
            self.idle.entry(courier).or_default().push(conn);
        } else {
            self.net.close(conn);
            self.conns.remove(&conn);
        }
        let Some(place) = place.filter(|place| !self.jobs[*place].done) else { return };
        let told_answer = message.headers.get("cloverstile-answer").is_some();
        if self.receipts_at.is_some() && is_success(message) && !told_answer {
            let id = self.jobs[place].planned.id.clone();
            self.recorder.record(ObservedEvent::Accepted { id, gateway: courier });
            self.jobs[place].sent = true;
            return self.taken(place);
        }
        let told = self.read_answer(place, courier, message);
        self.answered(place, courier, told, message);
    }

    fn read_answer(&self, place: usize, courier: usize, message: &Message) -> ReportedOutcome {
        let status = match message.start {
            Start::Response { status } => status,
            Start::Request { .. } => 200,
        };
        let word = message.headers.get("cloverstile-answer");
        if message.body.is_empty()
            || !message.headers.get("content-type").is_some_and(|t| t.contains("multipart"))
        {
            return match (status, word) {
                (503, _) => ReportedOutcome::NotAccepted,
                _ => ReportedOutcome::Unclear,
            };
        }
        let job = &self.jobs[place];
        let Some(composed) = &job.composed else { return ReportedOutcome::Unclear };
        let receipt = read_receipt(&message.headers, &message.body, &self.couriers.certificates[courier]);
        let checked = receipt.and_then(|receipt| {
            receipt.check(&job.planned.id, &composed.mic, true)?;
            Ok(receipt.answer)
        });
        match checked {
            Ok(Some(Outcome::Delivered)) => ReportedOutcome::Delivered,
            Ok(Some(Outcome::Refused)) => ReportedOutcome::Rejected,
            Ok(Some(Outcome::Failed)) => ReportedOutcome::Failed,
            Ok(None) | Err(_) => ReportedOutcome::Unclear,
        }
    }

    fn answered(&mut self, place: usize, courier: usize, told: ReportedOutcome, message: &Message) {
        let now = self.recorder.now();
        self.recorder.record(ObservedEvent::Answered {
            id: self.jobs[place].planned.id.clone(),
            gateway: courier,
            outcome: told,
        });
        let seconds = message.headers.get("retry-after").and_then(|text| text.parse().ok());
        let wait = seconds.map_or(self.habits.retry_delay, Duration::from_secs);
        let job = &mut self.jobs[place];
        match told {
            ReportedOutcome::NotAccepted => {
                self.shunned.insert(courier, now + Duration::from_millis(500));
                self.due.insert((now + self.habits.retry_delay, place), ());
            }
            ReportedOutcome::Rejected
                if job.refused < self.habits.max_resubmissions && job.planned.key.is_none() =>
            {
                job.refused += 1;
                self.due.insert((now + wait, place), ());
            }
            _ => self.finish(place),
        }
    }

    /// Receipts on connections of their own.
    fn on_receipts(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.recorder.now();
        let Some(decoder) = self.inbound.get_mut(&conn) else { return };
        decoder.feed(now, bytes);
        while let Some(decoder) = self.inbound.get_mut(&conn) {
            match decoder.next(now) {
                Ok(Some(Item::Message(message))) => {
                    self.net.send(conn, &response(200, "OK", &Headers::new(), b""));
                    self.on_receipt(&message);
                }
                Ok(Some(Item::ExpectsContinue)) => self.net.send(conn, cloverstile_http::CONTINUE),
                Ok(None) => return,
                Err(_) => {
                    self.inbound.remove(&conn);
                    self.net.close(conn);
                }
            }
        }
    }

    fn on_receipt(&mut self, message: &Message) {
        let from = message.headers.get("as2-from").map(cloverstile_as2::unquote_name).unwrap_or_default();
        let Some(courier) = self.couriers.names.iter().position(|name| *name == from) else { return };
        let certificate = &self.couriers.certificates[courier];
        let Ok(receipt) = read_receipt(&message.headers, &message.body, certificate) else { return };
        let Some(&place) = self.by_id.get(&receipt.original_id) else { return };
        if self.jobs[place].done {
            // An answer that comes again is written down too: it may say something else.
            let told = self.read_answer(place, courier, message);
            self.recorder.record(ObservedEvent::Answered {
                id: receipt.original_id,
                gateway: courier,
                outcome: told,
            });
            return;
        }
        let told = self.read_answer(place, courier, message);
        self.answered(place, courier, told, message);
    }
}
