//! The courier's loop: events in, the engine's turn, commands out.

use crate::directory::{load, load_config, Directory, LoadError};
use crate::front::{Front, Waiter};
use crate::pool::Pool;
use crate::wire::Wire;
use cloverstile::{DestinationId, Endpoint, EndpointId, KindId, MessageId, Time, ZoneId};
use cloverstile_as2::{As2Error, Composed, Envelope, Opened, Part, Receipt};
use cloverstile_engine::{
    Attempt, Command, Counters, Engine, FinalOutcome, ResultCacheLimits, TransportOutcome,
};
use cloverstile_failover::{FailoverPlanner, FleetParameters, TierConfig};
use cloverstile_http::Headers;
use cloverstile_net::{ConnId, Net, NetEvent, SignalKind, Waker};
use cloverstile_settings::Config;
use std::collections::{BTreeSet, HashMap};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, error, info, warn};

/// Why a courier could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// The system refused.
    #[error("{what}: {error}")]
    Io {
        /// What was tried.
        what: String,
        /// Why not.
        error: io::Error,
    },
    /// Settings that can't be used.
    #[error(transparent)]
    Load(#[from] LoadError),
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> ServiceError {
    let what = what.into();
    move |error| ServiceError::Io { what, error }
}

/// How a run ended.
#[derive(Clone, Copy, Debug)]
pub struct RunSummary {
    /// Running sums of the engine.
    pub counts: Counters,
    /// Messages without an answer at the end; zero unless it was told twice to stop.
    pub unanswered: usize,
    /// Time spent in the module and its table.
    pub decision_time: Duration,
    /// Time spent in the loop without waiting.
    pub busy_time: Duration,
}

/// A message, from its hand-in until its answer is forgotten.
pub(crate) struct Held {
    pub partner: usize,
    /// What is carried; gone once it is composed.
    pub payload: Option<Part>,
    pub composed: Option<Arc<Composed>>,
    /// Its composition has begun.
    pub composing: bool,
    pub waiters: Vec<Waiter>,
}

/// What a thread for cryptography returns.
pub(crate) enum Done {
    /// A client's message was opened, or not.
    Opened {
        conn: ConnId,
        request: u64,
        client: usize,
        envelope: Box<Envelope>,
        http: Headers,
        opened: Result<Box<Opened>, As2Error>,
    },
    /// A message for a partner was composed.
    Composed { message: MessageId, composed: Result<Box<Composed>, As2Error> },
    /// A partner's receipt in an answer was read.
    Judged { call: u64, attempt: Attempt, reported: TransportOutcome, why: Option<As2Error> },
    /// A partner's receipt on a connection of its own was read.
    Receipt { conn: ConnId, request: u64, partner: usize, receipt: Result<Box<Receipt>, As2Error> },
    /// A receipt for a client was composed.
    Told { waiter: Box<Waiter>, answer: FinalOutcome, receipt: Result<Box<Composed>, As2Error> },
    /// A receipt that says why a message was rejected was composed.
    Rejected { conn: ConnId, request: u64, status: u16, why: String, receipt: Option<Box<Composed>> },
}

/// Something due at a moment; whether it still matters is looked at then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A message is coming in too slowly.
    Inbound(ConnId),
    /// An outbound connection takes too long.
    Connect(ConnId),
    /// An outbound connection has been idle for long.
    Idle(ConnId),
    /// A receipt for a client is tried again.
    Redeliver(u64),
}

/// An endpoint as the shell needs it.
#[derive(Clone)]
pub(crate) struct Place {
    pub partner: usize,
    pub name: String,
    pub address: SocketAddr,
    pub path: String,
}

/// A running courier.
pub struct Service {
    pub(crate) config: Config,
    pub(crate) directory: Arc<Directory>,
    pub(crate) engine: Engine,
    pub(crate) net: Net,
    pub(crate) pool: Pool<Done>,
    pub(crate) front: Front,
    pub(crate) wire: Wire,
    pub(crate) held: HashMap<MessageId, Held>,
    pub(crate) places: HashMap<EndpointId, Place>,
    pub(crate) timers: BTreeSet<(Time, Timer)>,
    endpoint_ids: HashMap<(String, String), EndpointId>,
    file: Option<PathBuf>,
    clock: Instant,
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    stopping: Option<Time>,
    deciding: Duration,
    working: Duration,
}

/// The module's destination for a partner's tier: the first one has the partner's own number, further ones come
/// behind those of all partners.
fn destination(config: &Config, partner: usize, tier: usize) -> DestinationId {
    if tier == 0 {
        return DestinationId(partner as u16);
    }
    let before: usize =
        config.partners[..partner].iter().map(|partner| partner.tiers.len().saturating_sub(1)).sum();
    DestinationId((config.partners.len() + before + tier - 1) as u16)
}

fn planner(config: &Config, seed: u64) -> FailoverPlanner {
    let couriers = config.module.instance_count.max(1);
    let tiered = config.partners.iter().enumerate().filter(|(_, partner)| partner.tiers.len() > 1);
    let tiers = tiered.map(|(number, partner)| TierConfig {
        destinations: (0..partner.tiers.len()).map(|tier| destination(config, number, tier)).collect(),
        zones: partner.tiers.iter().map(|tier| ZoneId(tier.zone)).collect(),
        capacities: partner.tiers.iter().map(|tier| tier.rate).collect(),
        spill_share: partner.spill_share,
        // Couriers share nothing: each keeps to an even part of what all may spill together.
        spill_rate: partner.spill_rate.map(|rate| rate / f64::from(couriers)),
        down_after: partner.lost_after,
        recovery_ramp: partner.ramp,
    });
    let fleet = FleetParameters {
        instance_count: couriers,
        instance_index: config.station.place.unwrap_or((seed % u64::from(couriers)) as u32),
        // Slots go by the time of day, which machines agree on as well as their clocks are kept.
        epoch: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        ..FleetParameters::for_rules(&config.module.rules)
    };
    FailoverPlanner::new(Time::ZERO, fleet, tiers.collect())
}

/// Runs a program's own courier from its settings to its end. With `announce` the address that it listens on is
/// printed as a line of JSON, for whoever started the program.
pub fn serve(file: &Path, announce: bool, seed: u64) -> Result<RunSummary, ServiceError> {
    let (config, directory) = load(file)?;
    let mut service = Service::start(config, directory, Some(file), seed)?;
    if announce {
        println!("{{\"listening\":\"{}\"}}", service.address());
        // Whoever waits for the line reads it from a pipe.
        let _ = io::stdout().flush();
    }
    service.run()
}

/// Tells a running courier to stop, from another thread.
#[derive(Clone)]
pub struct ShutdownHandle {
    flag: Arc<AtomicBool>,
    waker: Waker,
}

impl ShutdownHandle {
    /// As a signal would.
    pub fn shut_down(&self) {
        self.flag.store(true, Ordering::SeqCst);
        self.waker.wake();
    }
}

impl Service {
    /// Starts listening. `seed` is the module's chance. With a `file` it is a program's own courier: it heeds
    /// SIGTERM and SIGINT (stop) and SIGHUP (the file's endpoints and rates are read again).
    pub fn start(
        config: Config,
        directory: Directory,
        file: Option<&Path>,
        seed: u64,
    ) -> Result<Service, ServiceError> {
        let mut net = Net::new().map_err(io_error("event loop"))?;
        if file.is_some() {
            // Before any thread is started: one that was there already would take a signal by itself, and die
            // of it with the whole courier.
            net.watch_signals(&[SignalKind::SIGTERM, SignalKind::SIGINT, SignalKind::SIGHUP])
                .map_err(io_error("signals"))?;
        }
        let listen = config.front.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let (listener, address) = net.listen(listen).map_err(io_error(format!("listening on {listen}")))?;
        let pool = Pool::new(config.limits.workers, &net.waker()).map_err(io_error("threads"))?;
        let bounds = ResultCacheLimits {
            max_results: config.limits.remembered,
            retention: config.limits.answers_kept,
        };
        let mut service = Service {
            engine: Engine::new(config.module.clone(), bounds, seed)
                .with_failover_policy(planner(&config, seed)),
            directory: Arc::new(directory),
            net,
            pool,
            front: Front::new(listener, address),
            wire: Wire::default(),
            held: HashMap::new(),
            places: HashMap::new(),
            timers: BTreeSet::new(),
            endpoint_ids: HashMap::new(),
            file: file.map(Path::to_owned),
            clock: Instant::now(),
            address,
            stop: Arc::default(),
            stopping: None,
            deciding: Duration::ZERO,
            working: Duration::ZERO,
            config,
        };
        service.list();
        info!(address = %address, partners = service.config.partners.len(), "listening");
        Ok(service)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// For stopping it from another thread.
    pub fn shutdown_handle(&self) -> ShutdownHandle {
        ShutdownHandle { flag: self.stop.clone(), waker: self.net.waker() }
    }

    pub(crate) fn now(&self) -> Time {
        Time(u64::try_from(self.clock.elapsed().as_nanos()).unwrap_or(u64::MAX))
    }

    pub(crate) fn set_timer(&mut self, at: Time, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Serves until it is told to stop and all is answered.
    pub fn run(&mut self) -> Result<RunSummary, ServiceError> {
        loop {
            let now = self.now();
            let next = [self.engine.next_timeout(), self.timers.first().map(|(at, _)| *at), self.stopping];
            let timeout = next.into_iter().flatten().min().map(|at| at - now);
            let events = self.net.poll(timeout).map_err(io_error("event loop"))?;
            let began = Instant::now();
            for event in events {
                if self.on_event(event) {
                    return Ok(self.ending());
                }
            }
            if self.stop.load(Ordering::SeqCst) {
                self.begin_stop();
            }
            self.fire_timers();
            self.turn();
            self.working += began.elapsed();
            if self.is_finished() {
                return Ok(self.ending());
            }
        }
    }

    /// Lets results, the engine and its commands act on each other until nothing is left to do.
    fn turn(&mut self) {
        loop {
            while let Some(done) = self.pool.result() {
                self.on_done(done);
            }
            let began = Instant::now();
            let now = self.now();
            let commands = self.engine.advance(now);
            self.deciding += began.elapsed();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.carry_out(command);
            }
        }
    }

    /// True where the run must end at once.
    fn on_event(&mut self, event: NetEvent) -> bool {
        match event {
            NetEvent::Signal(SignalKind::SIGHUP) => self.reload(),
            NetEvent::Signal(_) if self.stopping.is_some() => return true,
            NetEvent::Signal(_) => self.begin_stop(),
            NetEvent::Accepted { conn, .. } => self.front_accepted(conn),
            NetEvent::Bytes(conn, bytes) if self.front.owns(conn) => self.front_bytes(conn, &bytes),
            NetEvent::Bytes(conn, bytes) => self.wire_bytes(conn, &bytes),
            NetEvent::Connected(conn) => self.wire_connected(conn),
            NetEvent::ConnectFailed(conn, _) => self.wire_connect_failed(conn),
            NetEvent::Closed { conn, .. } if self.front.owns(conn) => self.front_closed(conn),
            NetEvent::Closed { conn, .. } => self.wire_closed(conn),
            NetEvent::Flushed(conn) if self.front.owns(conn) => self.front_read(conn),
            NetEvent::Flushed(_) | NetEvent::Woken => {}
        }
        false
    }

    fn on_done(&mut self, done: Done) {
        match done {
            Done::Opened { conn, request, client, envelope, http, opened } => {
                self.front_opened(conn, request, client, *envelope, &http, opened);
            }
            Done::Composed { message, composed } => self.wire_composed(message, composed),
            Done::Judged { call, attempt, reported, why } => self.wire_judged(call, attempt, reported, why),
            Done::Receipt { conn, request, partner, receipt } => {
                self.front_receipt(conn, request, partner, receipt);
            }
            Done::Told { waiter, answer, receipt } => self.front_told(*waiter, answer, receipt),
            Done::Rejected { conn, request, status, why, receipt } => {
                self.front_rejected(conn, request, status, &why, receipt);
            }
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Send { endpoint, attempts } => self.wire_send(endpoint, attempts),
            Command::Abandon { attempt, .. } => self.wire_abandon(attempt),
            Command::Complete { message, outcome: answer, attempts } => {
                self.answer(message, answer, attempts)
            }
            Command::LateReceipt { message, outcome: answer } => {
                let partner = self.held.get(&message).map(|held| &self.config.partners[held.partner].name);
                let id = self.engine.idempotency_key(message).unwrap_or_default();
                warn!(message = id, ?partner, ?answer, "a receipt came after the final answer");
            }
            Command::Evicted { message } => {
                self.held.remove(&message);
            }
            Command::CloseIdle { endpoint } => self.wire_close_idle(endpoint),
            Command::Probe { endpoint } => self.wire_probe(endpoint),
            Command::Log { text } => info!("{text}"),
        }
    }

    fn answer(&mut self, message: MessageId, answer: FinalOutcome, attempts: u32) {
        let Some(held) = self.held.get_mut(&message) else { return };
        held.payload = None;
        let partner = &self.config.partners[held.partner].name;
        let id = self.engine.idempotency_key(message).unwrap_or_default();
        debug!(message = id, partner = %partner, attempts, ?answer, "answered");
        let waiters = std::mem::take(&mut held.waiters);
        // A composed message is kept for late receipts: their integrity check is compared with it. Its body is
        // not needed for that.
        if let Some(composed) = held.composed.take() {
            let (headers, body, mic) = (Headers::new(), Vec::new(), composed.mic.clone());
            held.composed = Some(Arc::new(Composed { headers, body, mic }));
        }
        for waiter in waiters {
            self.tell(waiter, answer);
        }
    }

    fn fire_timers(&mut self) {
        let now = self.now();
        while let Some(&(at, timer)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Inbound(conn) => self.front_overdue(conn),
                Timer::Connect(conn) => self.wire_connect_overdue(conn),
                Timer::Idle(conn) => self.wire_idle_overdue(conn),
                Timer::Redeliver(delivery) => self.redeliver(delivery),
            }
        }
    }

    // ---- The list of endpoints ----

    /// Hands the settings' endpoints to the engine. An endpoint keeps its id as long as the program runs.
    fn list(&mut self) {
        let mut listed = Vec::new();
        for (number, partner) in self.config.partners.iter().enumerate() {
            for endpoint in &partner.endpoints {
                let next = EndpointId(self.endpoint_ids.len() as u32);
                let name = (partner.name.clone(), endpoint.name.clone());
                let id = *self.endpoint_ids.entry(name).or_insert(next);
                let tier = partner.tiers.iter().position(|tier| tier.zone == endpoint.zone).unwrap_or(0);
                let place = Place {
                    partner: number,
                    name: endpoint.name.clone(),
                    address: endpoint.address,
                    path: endpoint.path.clone(),
                };
                self.places.insert(id, place);
                listed.push(Endpoint {
                    id,
                    zone: ZoneId(endpoint.zone),
                    kind: KindId(partner.kind),
                    destination: destination(&self.config, number, tier),
                    state: endpoint.mode,
                    weight: partner.tiers.get(tier).map_or(partner.rate, |tier| tier.rate),
                });
            }
        }
        let now = self.now();
        self.engine.update_endpoints(now, listed);
    }

    /// Takes a new version of the partners' endpoints and rates, whole or not at all.
    fn reload(&mut self) {
        let Some(file) = self.file.clone() else { return };
        let read = match load_config(&file) {
            Ok(read) => read,
            Err(error) => return error!("settings not taken, the old ones stay: {error}"),
        };
        let mut partners = self.config.partners.clone();
        for partner in &mut partners {
            match read.partners.iter().find(|new| new.name == partner.name) {
                Some(new) => (partner.endpoints, partner.rate) = (new.endpoints.clone(), new.rate),
                None => partner.endpoints.clear(),
            }
        }
        let known = |name: &str| self.config.partners.iter().any(|partner| partner.name == name);
        if let Some(new) = read.partners.iter().find(|partner| !known(&partner.name)) {
            return error!(partner = %new.name, "settings not taken, the old ones stay: a new partner needs a restart");
        }
        self.config.partners = partners;
        self.list();
        info!("endpoints and rates taken from the settings; all else needs a restart");
    }

    // ---- The end ----

    fn begin_stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        let now = self.now();
        let within = self.config.limits.stop_within;
        info!(held = self.engine.pending_messages(), ?within, "stopping: nothing more is taken");
        // The last fifth is for signing and sending what is answered at the end.
        self.engine.shut_down_by(now + within.mul_f64(0.8));
        self.stopping = Some(now + within);
        self.net.stop_listening(self.front.listener);
    }

    fn is_finished(&self) -> bool {
        let Some(until) = self.stopping else { return false };
        self.now() >= until
            || (self.engine.pending_messages() == 0
                && !self.front.is_busy()
                && self.front.unsent(&self.net) == 0)
    }

    fn ending(&self) -> RunSummary {
        let counts = self.engine.counters();
        let unanswered = self.engine.pending_messages();
        info!(?counts, unanswered, "ended");
        RunSummary { counts, unanswered, decision_time: self.deciding, busy_time: self.working }
    }
}
