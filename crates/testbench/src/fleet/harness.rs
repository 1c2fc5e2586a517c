//! The ground that a fleet stands on: endpoints, discovery and clients in one loop over sockets.

mod faults;

use super::endpoint_list::{query, List};
use super::invariants::{End, InvariantTracker};
use super::supervisor::{FleetError, ProcessSupervisor};
use cloverstile_fakes::limit::Told;
use cloverstile_fakes::model::Reply;
use cloverstile_http::{response, Decoder, Headers, Item, Limits, Message, Start};
use cloverstile_load_metrics::{Call, Outcome, Partner};
use cloverstile_net::{ConnId, ListenerId, Net, NetEvent, SignalKind};
use cloverstile_simulator::{Drawn, Scene, Sites, SpreadRun, Traffic};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// A client that can't connect tries again after so long: its courier is being started.
const RECONNECT: Duration = Duration::from_millis(100);
/// What is left after the last hand-in and its deadline is lost by then.
const AFTER: Duration = Duration::from_secs(2);
/// Couriers that ended by themselves are looked for so often.
const LOOK: Duration = Duration::from_millis(250);
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// What a connection is for.
enum Line {
    Endpoint { place: usize, decoder: Decoder, call: Option<usize> },
    Discovery { decoder: Decoder },
    Client { courier: usize, up: bool, read: Vec<u8>, asked: Option<usize> },
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Submission,
    Again {
        number: usize,
    },
    Response {
        call: usize,
    },
    /// A watch hears of what is newer, or that nothing is.
    Watch {
        conn: ConnId,
        asked: u64,
    },
    Strike {
        place: usize,
        begins: bool,
    },
    Start {
        courier: usize,
    },
    Look,
}

/// A call at an endpoint.
struct CallAt {
    conn: ConnId,
    place: usize,
    number: usize,
    recorded: usize,
    reply: Reply,
    told: Option<Told>,
    /// It was taken in hand, and leaves it with its answer.
    in_hand: bool,
    over: bool,
}

struct LoadHarness<'a> {
    scene: &'a Scene,
    net: Net,
    started: Instant,
    rng: ChaCha8Rng,
    sites: Sites,
    list: List,
    /// A watch that waits: which of the answers of its connection.
    watching: HashMap<ConnId, u64>,
    watches: u64,
    listeners: HashMap<ListenerId, Option<usize>>,
    by_place: Vec<Option<ListenerId>>,
    lines: HashMap<ConnId, Line>,
    /// Idle connections of clients, by courier.
    idle: Vec<Vec<ConnId>>,
    agenda: BinaryHeap<Reverse<(Duration, u64, Due)>>,
    entered: u64,
    calls: Vec<CallAt>,
    books: InvariantTracker,
    processes: Option<ProcessSupervisor>,
    traffic: Traffic,
    /// Couriers struck by `slow-for` while it lasts.
    far: usize,
    failed: Option<FleetError>,
}

/// Plays a scene with real processes of `program`, which takes `node`. Wall time is the scene's own.
pub fn play_fleet(scene: &Scene, program: &Path, seed: u64) -> Result<SpreadRun, FleetError> {
    let mut ground = LoadHarness::new(scene, seed)?;
    let (discovery, known) = ground.listen()?;
    ground.processes = Some(ProcessSupervisor::start(program, scene, discovery, &known, seed)?);
    ground.play()
}

impl<'a> LoadHarness<'a> {
    fn new(scene: &'a Scene, seed: u64) -> Result<Self, FleetError> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sites = Sites::new(scene, &mut rng);
        let mut net = Net::new().map_err(FleetError::io("event loop"))?;
        // Guards against couriers that outlive the laboratory: told to end, it ends them first.
        net.watch_signals(&[SignalKind::SIGINT, SignalKind::SIGTERM]).map_err(FleetError::io("signals"))?;
        Ok(LoadHarness {
            net,
            started: Instant::now(),
            list: List::new(Vec::new()),
            watching: HashMap::new(),
            watches: 0,
            listeners: HashMap::new(),
            by_place: Vec::new(),
            lines: HashMap::new(),
            idle: vec![Vec::new(); scene.couriers],
            agenda: BinaryHeap::new(),
            entered: 0,
            calls: Vec::new(),
            books: InvariantTracker::new(scene.classes()),
            processes: None,
            traffic: Traffic::new(scene),
            far: 0,
            failed: None,
            scene,
            rng,
            sites,
        })
    }

    /// Opens all endpoints and discovery; where it is, and the list.
    fn listen(&mut self) -> Result<(SocketAddr, serde_json::Value), FleetError> {
        let (listener, discovery) = self.net.listen(ANY).map_err(FleetError::io("discovery"))?;
        self.listeners.insert(listener, None);
        for place in 0..self.sites.endpoints.len() {
            self.open_endpoint(place)?;
        }
        self.books.run.record.partners = vec![Partner::default(); self.sites.partners.len()];
        for partner in 0..self.sites.partners.len() {
            self.note_limit(Duration::ZERO, partner);
        }
        Ok((discovery, self.list.json(&mut self.sites)))
    }

    fn open_endpoint(&mut self, place: usize) -> Result<(), FleetError> {
        let (listener, address) = self.net.listen(ANY).map_err(FleetError::io("endpoint"))?;
        self.listeners.insert(listener, Some(place));
        self.by_place.push(Some(listener));
        self.list.add(address);
        self.books.run.record.endpoints.push(self.sites.endpoints[place].entry());
        Ok(())
    }

    fn note_limit(&mut self, now: Duration, partner: usize) {
        if let Some(limit) = self.sites.partners[partner].limit() {
            self.books.run.record.partners[partner].limit.push((now, limit));
        }
    }

    fn enter(&mut self, at: Duration, due: Due) {
        self.entered += 1;
        self.agenda.push(Reverse((at, self.entered, due)));
    }

    fn play(mut self) -> Result<SpreadRun, FleetError> {
        self.started = Instant::now();
        for (place, strike) in self.scene.trouble.values().enumerate() {
            self.enter(Duration::from_secs_f64(strike.at), Due::Strike { place, begins: true });
            let end = Duration::from_secs_f64(strike.at + strike.lasts);
            self.enter(end, Due::Strike { place, begins: false });
        }
        self.enter(Duration::ZERO, Due::Submission);
        self.enter(LOOK, Due::Look);
        let handed = Duration::from_secs_f64(self.scene.seconds);
        let longest = self.scene.class.values().map(|class| class.deadline).fold(0.0, f64::max);
        let end = handed + Duration::from_secs_f64(longest) + AFTER;
        loop {
            let now = self.started.elapsed();
            if let Some(error) = self.failed.take() {
                return Err(error);
            }
            if now > end || (now > handed && self.books.open() == 0) {
                break;
            }
            while let Some(Reverse((at, _, due))) = self.agenda.peek().copied() {
                if at > now {
                    break;
                }
                self.agenda.pop();
                self.happen(now, due);
            }
            let next = self.agenda.peek().map_or(LOOK, |Reverse((at, ..))| at.saturating_sub(now));
            let events = self.net.poll(Some(next.min(LOOK))).map_err(FleetError::io("event loop"))?;
            let now = self.started.elapsed();
            for event in events {
                self.event(now, event);
            }
        }
        let now = self.started.elapsed();
        if let Some(processes) = &mut self.processes {
            // What is no longer wanted is stopped in order, and each process must end so.
            if !processes.stop() {
                self.books.audit().unanswered += 1;
            }
        }
        let mut run = self.books.finish(now);
        run.record.calls.sort_by_key(|call| call.at);
        Ok(run)
    }

    fn happen(&mut self, now: Duration, due: Due) {
        match due {
            Due::Submission => self.hand_in_next(now),
            Due::Again { number } => self.hand_in(now, number),
            Due::Response { call } => self.answer(now, call),
            Due::Watch { conn, asked } => self.tell_watch(conn, asked),
            Due::Strike { place, begins } => self.strike(now, place, begins),
            Due::Start { courier } => {
                if let Some(Err(error)) = self.processes.as_mut().map(|processes| processes.spawn(courier)) {
                    self.failed = Some(error);
                }
            }
            Due::Look => {
                if let Some(courier) = self.processes.as_mut().and_then(ProcessSupervisor::died) {
                    self.failed = Some(FleetError::Died(courier));
                }
                self.enter(now + LOOK, Due::Look);
            }
        }
    }

    fn event(&mut self, now: Duration, event: NetEvent) {
        match event {
            NetEvent::Accepted { listener, conn } => {
                let decoder = Decoder::server(Limits::default());
                let line = match self.listeners.get(&listener).copied().flatten() {
                    Some(place) => {
                        self.books.run.record.connections += 1;
                        Line::Endpoint { place, decoder, call: None }
                    }
                    None => Line::Discovery { decoder },
                };
                self.lines.insert(conn, line);
            }
            NetEvent::Connected(conn) => self.client_up(conn),
            NetEvent::Bytes(conn, bytes) => self.bytes(now, conn, &bytes),
            NetEvent::ConnectFailed(conn, _) | NetEvent::Closed { conn, .. } => self.closed(now, conn),
            NetEvent::Signal(_) => self.failed = Some(FleetError::Ended),
            NetEvent::Flushed(_) | NetEvent::Woken => {}
        }
    }

    fn bytes(&mut self, now: Duration, conn: ConnId, bytes: &[u8]) {
        let mut whole = Vec::new();
        let mut spoilt = false;
        match self.lines.get_mut(&conn) {
            Some(Line::Endpoint { decoder, .. } | Line::Discovery { decoder }) => {
                decoder.feed(now, bytes);
                loop {
                    match decoder.next(now) {
                        Ok(Some(Item::Message(message))) => whole.push(message),
                        Ok(Some(_)) => {}
                        Ok(None) => break,
                        Err(_) => {
                            spoilt = true;
                            break;
                        }
                    }
                }
            }
            Some(Line::Client { read, .. }) => {
                read.extend_from_slice(bytes);
                return self.client_reads(now, conn);
            }
            None => return,
        }
        for message in whole {
            match self.lines.get(&conn) {
                Some(Line::Endpoint { place, .. }) => self.reach(now, conn, *place, &message),
                Some(Line::Discovery { .. }) => self.discovery(now, conn, &message),
                _ => {}
            }
        }
        if spoilt {
            self.net.close(conn);
            self.closed(now, conn);
        }
    }

    fn closed(&mut self, now: Duration, conn: ConnId) {
        self.watching.remove(&conn);
        match self.lines.remove(&conn) {
            Some(Line::Endpoint { call: Some(call), .. }) => self.hung_up(now, call),
            Some(Line::Client { courier, asked, up, .. }) => {
                self.idle[courier].retain(|idle| *idle != conn);
                let Some(number) = asked else { return };
                let late = self.books.message(number).is_none_or(|m| now + RECONNECT >= m.deadline);
                if up || late {
                    // Handed in, and no answer came: a client can't tell what became of it, and gives it up here.
                    self.books.ended(now, number, End::Failed);
                } else {
                    self.enter(now + RECONNECT, Due::Again { number });
                }
            }
            _ => {}
        }
    }

    // ---- Clients ----

    fn hand_in_next(&mut self, now: Duration) {
        let next = now + self.traffic.gap(&mut self.rng);
        if next.as_secs_f64() < self.scene.seconds {
            self.enter(next, Due::Submission);
        }
        let Drawn { class, partner, courier } = self.traffic.draw(&mut self.rng);
        let number = self.books.handed(now, courier, partner, class);
        self.hand_in(now, number);
    }

    fn hand_in(&mut self, now: Duration, number: usize) {
        let Some(courier) = self.books.message(number).map(|message| message.courier) else { return };
        match self.idle[courier].pop() {
            Some(conn) => {
                if let Some(Line::Client { asked, .. }) = self.lines.get_mut(&conn) {
                    *asked = Some(number);
                }
                self.put(now, conn, number);
            }
            None => {
                let Some(to) = self.processes.as_ref().map(|p| p.addresses[courier]) else { return };
                let conn = self.net.connect(to);
                let line = Line::Client { courier, up: false, read: Vec::new(), asked: Some(number) };
                self.lines.insert(conn, line);
            }
        }
    }

    fn client_up(&mut self, conn: ConnId) {
        let now = self.started.elapsed();
        let Some(Line::Client { up, asked, .. }) = self.lines.get_mut(&conn) else { return };
        *up = true;
        if let Some(number) = *asked {
            self.put(now, conn, number);
        }
    }

    fn put(&mut self, now: Duration, conn: ConnId, number: usize) {
        let Some(message) = self.books.message(number) else { return };
        let Some((name, class)) = self.scene.class.iter().nth(message.class) else { return };
        let left = message.deadline.saturating_sub(now).as_millis();
        let key = if class.effect == "keyed" { format!(",k=k{number:x}") } else { String::new() };
        let fields = format!("c={name},d={left}{key},dest={}", message.partner);
        let id = format!("{number:016x}");
        let words: [&[u8]; 5] =
            [b"MSG.PUT", b"0000000000000000", id.as_bytes(), fields.as_bytes(), b"a payslip"];
        self.net.send(conn, &cloverstile_resp::command(&words));
    }

    fn client_reads(&mut self, now: Duration, conn: ConnId) {
        let Some(Line::Client { courier, read, asked, .. }) = self.lines.get_mut(&conn) else { return };
        let Some(end) = read.windows(2).position(|pair| pair == b"\r\n") else { return };
        let line: Vec<u8> = read.drain(..end + 2).collect();
        let (courier, number) = (*courier, asked.take());
        self.idle[courier].push(conn);
        let Some(number) = number else { return };
        if line.starts_with(b"+") {
            self.books.taken(now, number);
        } else if line.starts_with(b"-BUSY") {
            self.books.ended(now, number, End::Refused);
        } else {
            self.books.ended(now, number, End::Failed);
        }
    }

    // ---- Endpoints ----

    fn reach(&mut self, now: Duration, conn: ConnId, place: usize, message: &Message) {
        let number = message.headers.get("req-id").and_then(|id| usize::from_str_radix(id, 16).ok());
        let Some(number) = number.filter(|number| self.books.message(*number).is_some()) else {
            // A message that no client handed in.
            self.books.audit().twice += 1;
            return self.net.close(conn);
        };
        let partner = self.sites.endpoints[place].partner;
        let route = self.sites.partners[partner].spec.apart.then_some(place);
        self.books.call(now, number, place, route);
        let reached = self.sites.reach(now, place, &number.to_string());
        let (reply, answer_at) = (reached.verdict.reply, reached.verdict.answer_at);
        let outcome = reached.outcome();
        self.books.called(now, number, !matches!(reply, Reply::Full(_)), reached.verdict.effect);
        let took = answer_at.map_or(Duration::ZERO, |at| at.saturating_sub(now));
        let courier = self.books.message(number).map_or(0, |message| message.courier);
        let recorded = self.books.run.record.calls.len();
        let call = Call { at: now, endpoint: place, courier: courier as u32, outcome, took };
        self.books.run.record.calls.push(call);
        let call = self.calls.len();
        let in_hand = answer_at.is_some_and(|at| at > now);
        let told = reached.told;
        self.calls.push(CallAt { conn, place, number, recorded, reply, told, in_hand, over: false });
        if let Some(Line::Endpoint { call: of, .. }) = self.lines.get_mut(&conn) {
            *of = Some(call);
        }
        let first = self.sites.partners[partner].endpoints.first() == Some(&place);
        let far = if first && courier < self.far { faults::FAR } else { Duration::ZERO };
        match answer_at {
            Some(at) if at + far > now => self.enter(at + far, Due::Response { call }),
            Some(_) => self.answer(now, call),
            None => {}
        }
    }

    fn answer(&mut self, now: Duration, call: usize) {
        let at = &mut self.calls[call];
        if std::mem::replace(&mut at.over, true) {
            return;
        }
        let (conn, place, number, reply, told) = (at.conn, at.place, at.number, at.reply, at.told);
        if at.in_hand {
            self.sites.answered(place);
        }
        if let Some(Line::Endpoint { call, .. }) = self.lines.get_mut(&conn) {
            *call = None;
        }
        let report = told.map(|told| format!("x0={:.4},x1={:.3}", told.left, told.limit));
        let mut headers = Headers::new();
        if let Some(report) = report {
            headers.add("Srv-Load", report);
        }
        let partner = self.sites.endpoints[place].partner;
        let route = self.sites.partners[partner].spec.apart.then_some(place);
        let bytes = match reply {
            Reply::Processed => response(200, "OK", &headers, b""),
            Reply::Full(Some(wait)) => {
                headers.add("Retry-After", format!("{:.4}", wait.as_secs_f64()));
                response(429, "Too Many Requests", &headers, b"")
            }
            Reply::Full(None) => response(503, "Service Unavailable", &headers, b""),
            _ => response(500, "Internal Server Error", &headers, b""),
        };
        self.net.send(conn, &bytes);
        self.books.answered(now, number);
        match reply {
            Reply::Processed => self.books.ended(now, number, End::Delivered),
            Reply::Full(Some(wait)) => self.books.told_to_wait(now, number, route, wait),
            _ => {}
        }
    }

    /// A courier gave a call up.
    fn hung_up(&mut self, now: Duration, call: usize) {
        let at = &mut self.calls[call];
        if !std::mem::replace(&mut at.over, true) {
            let (number, place, in_hand) = (at.number, at.place, at.in_hand);
            self.books.run.record.calls[at.recorded].outcome = Outcome::Failed;
            if in_hand {
                self.sites.answered(place);
            }
            self.books.answered(now, number);
        }
    }

    // ---- Discovery ----

    fn discovery(&mut self, now: Duration, conn: ConnId, message: &Message) {
        let Start::Request { target, .. } = &message.start else { return };
        if target.starts_with("/v1/notices") {
            for line in String::from_utf8_lossy(&message.body).lines() {
                let told: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
                let id = told["id"].as_str().and_then(|id| usize::from_str_radix(id, 16).ok());
                let end = if told["status"] == "deferred" { End::Refused } else { End::Failed };
                if let Some(number) = id.filter(|number| self.books.message(*number).is_some()) {
                    self.books.ended(now, number, end);
                }
            }
            return self.net.send(conn, &response(204, "No Content", &Headers::new(), b""));
        }
        self.watches += 1;
        self.watching.insert(conn, self.watches);
        let asked = self.watches;
        let newer = query(target, "after").is_none_or(|after| after < self.list.generation());
        let wait = Duration::from_millis(query(target, "wait_ms").unwrap_or(0));
        if newer || wait.is_zero() {
            self.tell_watch(conn, asked);
        } else {
            self.enter(now + wait, Due::Watch { conn, asked });
        }
    }

    /// Answers a watch, unless it has its answer.
    fn tell_watch(&mut self, conn: ConnId, asked: u64) {
        if self.watching.get(&conn) == Some(&asked) {
            self.watching.remove(&conn);
            let list = self.list.json(&mut self.sites).to_string();
            self.net.send(conn, &response(200, "OK", &Headers::new(), list.as_bytes()));
        }
    }

    /// Every open watch hears of the list as it is now, each within so long.
    fn spread_news(&mut self, now: Duration, within: Duration) {
        for (conn, asked) in self.watching.clone() {
            let at = now + within.mul_f64(self.rng.random::<f64>());
            self.enter(at, Due::Watch { conn, asked });
        }
    }
}
