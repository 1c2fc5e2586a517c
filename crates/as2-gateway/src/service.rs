//! The gateway's event loop: handles socket events and worker results, advances the engine and executes its commands.

use crate::as2_server::As2Server;
use crate::context::{Context, EndpointAddress, Timer};
use crate::crypto_pool::CryptoPool;
use crate::directory::{load, load_config, Directory, LoadError};
use crate::failover_setup::{new_failover_planner, tier_destination};
use crate::outbound_client::OutboundClient;
use crate::worker_result::WorkerResult;
use cloverstile::{Endpoint, EndpointId, KindId, MessageId, Time, ZoneId};
use cloverstile_engine::{Command, Counters, Engine, FinalOutcome, ResultCacheLimits};
use cloverstile_net::{ListenerId, Net, NetEvent, SignalKind, Waker};
use cloverstile_settings::Config;
use std::collections::{BTreeSet, HashMap};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, error, info, warn};

/// Fraction of the shutdown timeout in which messages are still delivered; the rest is left for signing and sending
/// receipts.
const DELIVERY_FRACTION_OF_SHUTDOWN: f64 = 0.8;

/// Why a gateway could not start or continue.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// A system call or another operation of the operating system failed.
    #[error("{operation}: {error}")]
    Io {
        /// What the gateway tried to set up or to use, such as "event loop".
        operation: String,
        /// The operating system's error.
        error: io::Error,
    },
    /// The settings, keys or certificates are invalid.
    #[error(transparent)]
    Load(#[from] LoadError),
}

fn io_error(operation: impl Into<String>) -> impl FnOnce(io::Error) -> ServiceError {
    let operation = operation.into();
    move |error| ServiceError::Io { operation, error }
}

/// Totals of a completed run.
#[derive(Clone, Copy, Debug)]
pub struct RunSummary {
    /// Counters of the engine.
    pub counts: Counters,
    /// Messages without a final outcome; zero unless the shutdown timed out or a second signal interrupted it.
    pub unanswered: usize,
    /// Time spent in the policy and the engine.
    pub decision_time: Duration,
    /// Time in which the event loop was not waiting for events.
    pub busy_time: Duration,
}

/// Runs a gateway from its settings file until it is shut down. With `announce` it prints the address that it listens
/// on to standard output as a line of JSON, for the program that started it. `seed` seeds the policy's random choices.
///
/// # Errors
/// Returns an error if the settings are invalid or a socket, a signal handler or a thread can't be set up.
pub fn serve(file: &Path, announce: bool, seed: u64) -> Result<RunSummary, ServiceError> {
    let (config, directory) = load(file)?;
    let mut service = Service::start(config, directory, Some(file), seed)?;
    if announce {
        println!("{{\"listening\":\"{}\"}}", service.address());
        // A failed flush is not an error of the gateway: the reader of a pipe may have closed it.
        let _ = io::stdout().flush();
    }
    service.run()
}

/// Shuts down a running gateway from another thread.
#[derive(Clone)]
pub struct ShutdownHandle {
    requested: Arc<AtomicBool>,
    waker: Waker,
}

impl ShutdownHandle {
    /// Starts a graceful shutdown, as SIGTERM does.
    pub fn shut_down(&self) {
        self.requested.store(true, Ordering::SeqCst);
        self.waker.wake();
    }
}

/// Whether the event loop continues after an event.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LoopControl {
    Continue,
    Exit,
}

/// Identifies an endpoint across reloads of the settings, so that it keeps its [`EndpointId`] while the process runs.
#[derive(PartialEq, Eq, Hash)]
struct EndpointKey {
    partner: String,
    endpoint: String,
}

/// A gateway instance, with its sockets, its engine and its worker threads.
pub struct Service {
    context: Context,
    server: As2Server,
    client: OutboundClient,
    listener: ListenerId,
    endpoint_ids: HashMap<EndpointKey, EndpointId>,
    settings_file: Option<PathBuf>,
    shutdown_requested: Arc<AtomicBool>,
    /// When the graceful shutdown ends at the latest; none until it begins.
    shutdown_deadline: Option<Time>,
    decision_time: Duration,
    busy_time: Duration,
}

impl Service {
    /// Creates a gateway and starts to listen; [`Service::run`] serves. `seed` seeds the policy's random choices. With
    /// a settings `file` the gateway handles the signals of its process: SIGTERM and SIGINT shut it down, SIGHUP
    /// reloads the endpoints and rates from the file.
    ///
    /// # Errors
    /// Returns an error if a socket, a signal handler or a thread can't be set up.
    pub fn start(
        config: Config,
        directory: Directory,
        file: Option<&Path>,
        seed: u64,
    ) -> Result<Service, ServiceError> {
        let mut net = Net::new().map_err(io_error("event loop"))?;
        if file.is_some() {
            // Signals are set up before any thread starts: a thread that exists already doesn't have them blocked, and
            // a signal delivered to it would terminate the process.
            net.watch_signals(&[SignalKind::SIGTERM, SignalKind::SIGINT, SignalKind::SIGHUP])
                .map_err(io_error("signals"))?;
        }
        let listen = config.listener.address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let (listener, address) = net.listen(listen).map_err(io_error(format!("listening on {listen}")))?;
        let crypto_pool =
            CryptoPool::new(config.limits.crypto_threads, &net.waker()).map_err(io_error("threads"))?;
        let context = Context {
            engine: new_engine(&config, seed),
            directory: Arc::new(directory),
            net,
            crypto_pool,
            messages: HashMap::new(),
            endpoints: HashMap::new(),
            timers: BTreeSet::new(),
            address,
            started_at: Instant::now(),
            config,
        };
        let mut service = Service {
            context,
            server: As2Server::default(),
            client: OutboundClient::default(),
            listener,
            endpoint_ids: HashMap::new(),
            settings_file: file.map(Path::to_owned),
            shutdown_requested: Arc::default(),
            shutdown_deadline: None,
            decision_time: Duration::ZERO,
            busy_time: Duration::ZERO,
        };
        service.update_endpoints();
        info!(%address, partners = service.context.config.partners.len(), "listening");
        Ok(service)
    }

    /// The address that the gateway listens on, with the port that the system chose if the settings leave it open.
    pub fn address(&self) -> SocketAddr {
        self.context.address
    }

    /// Returns a handle that shuts down the gateway from another thread.
    pub fn shutdown_handle(&self) -> ShutdownHandle {
        ShutdownHandle { requested: self.shutdown_requested.clone(), waker: self.context.net.waker() }
    }

    /// Serves until a shutdown is complete or a second signal interrupts it.
    ///
    /// # Errors
    /// Returns an error if the event loop can't wait for events.
    pub fn run(&mut self) -> Result<RunSummary, ServiceError> {
        loop {
            let timeout = self.next_timeout();
            let events = self.context.net.poll(timeout).map_err(io_error("event loop"))?;
            let woken_at = Instant::now();
            for event in events {
                if self.on_event(event) == LoopControl::Exit {
                    return Ok(self.summary());
                }
            }
            if self.shutdown_requested.load(Ordering::SeqCst) {
                self.start_shutdown();
            }
            self.fire_timers();
            self.advance();
            self.busy_time += woken_at.elapsed();
            if self.is_shutdown_complete() {
                return Ok(self.summary());
            }
        }
    }

    fn next_timeout(&self) -> Option<Duration> {
        let now = self.context.now();
        let next_timer = self.context.timers.first().map(|(at, _)| *at);
        let next = [self.context.engine.next_timeout(), next_timer, self.shutdown_deadline];
        next.into_iter().flatten().min().map(|at| at - now)
    }

    /// Handles worker results and executes the engine's commands until the engine has none left.
    fn advance(&mut self) {
        loop {
            while let Some(result) = self.context.crypto_pool.next_result() {
                self.on_worker_result(result);
            }
            let decision_started_at = Instant::now();
            let now = self.context.now();
            let commands = self.context.engine.advance(now);
            self.decision_time += decision_started_at.elapsed();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.execute(command);
            }
        }
    }

    fn on_event(&mut self, event: NetEvent) -> LoopControl {
        let context = &mut self.context;
        match event {
            NetEvent::Signal(SignalKind::SIGHUP) => self.reload(),
            NetEvent::Signal(_) if self.shutdown_deadline.is_some() => return LoopControl::Exit,
            NetEvent::Signal(_) => self.start_shutdown(),
            NetEvent::Accepted { conn, .. } => self.server.on_accepted(context, conn),
            NetEvent::Bytes(conn, bytes) if self.server.owns(conn) => {
                self.server.on_bytes(context, conn, &bytes);
            }
            NetEvent::Bytes(conn, bytes) => self.client.on_bytes(context, conn, &bytes),
            NetEvent::Connected(conn) => self.client.on_connected(context, conn),
            NetEvent::ConnectFailed(conn, _) if self.server.owns(conn) => {
                self.server.on_delivery_failed(context, conn);
            }
            NetEvent::ConnectFailed(conn, _) => self.client.on_connect_failed(context, conn),
            NetEvent::Closed { conn, .. } if self.server.owns(conn) => self.server.on_closed(context, conn),
            NetEvent::Closed { conn, .. } => self.client.on_closed(context, conn),
            NetEvent::Flushed(conn) if self.server.owns(conn) => self.server.on_flushed(context, conn),
            NetEvent::PeerHalfClosed(_) | NetEvent::Flushed(_) | NetEvent::Woken => {}
        }
        LoopControl::Continue
    }

    fn on_worker_result(&mut self, result: WorkerResult) {
        let context = &mut self.context;
        match result {
            WorkerResult::SubmissionOpened(submission) => {
                self.server.on_submission_opened(context, submission);
            }
            WorkerResult::MessageComposed { message, composed } => {
                self.client.on_message_composed(context, message, composed);
            }
            WorkerResult::ResponseVerified(verified) => self.client.on_response_verified(context, verified),
            WorkerResult::PartnerReceiptRead { request, partner, receipt } => {
                self.server.on_partner_receipt_read(context, request, partner, receipt);
            }
            WorkerResult::FinalReceiptSigned { waiter, outcome, receipt } => {
                self.server.on_final_receipt_signed(context, *waiter, outcome, receipt);
            }
            WorkerResult::RejectionSigned(rejection) => self.server.on_rejection_signed(context, rejection),
        }
    }

    fn execute(&mut self, command: Command) {
        let context = &mut self.context;
        match command {
            Command::Send { endpoint, attempts } => self.client.send(context, endpoint, attempts),
            Command::Abandon { attempt, .. } => self.client.abandon(context, attempt),
            Command::Complete { message, outcome, attempts } => self.complete(message, outcome, attempts),
            Command::LateReceipt { message, outcome } => {
                let in_flight = context.messages.get(&message);
                let partner = in_flight.map(|in_flight| &context.config.partners[in_flight.partner].name);
                let message_id = context.idempotency_key(message);
                warn!(message_id, ?partner, ?outcome, "receipt arrived after the final outcome");
            }
            Command::Evicted { message } => {
                context.messages.remove(&message);
            }
            Command::CloseIdle { endpoint } => self.client.close_idle(context, endpoint),
            Command::Probe { endpoint } => self.client.probe(context, endpoint),
            Command::Log { text } => info!(detail = %text, "engine event"),
        }
    }

    /// Sends a message's final outcome to all clients that wait for it.
    fn complete(&mut self, message: MessageId, outcome: FinalOutcome, attempts: u32) {
        let context = &mut self.context;
        let Some(in_flight) = context.messages.get_mut(&message) else { return };
        let waiters = in_flight.complete();
        let partner = &context.config.partners[in_flight.partner].name;
        let message_id = context.engine.idempotency_key(message).unwrap_or_default();
        debug!(message_id, %partner, attempts, ?outcome, "message completed");
        for waiter in waiters {
            self.server.send_outcome(context, waiter, outcome);
        }
    }

    fn fire_timers(&mut self) {
        let now = self.context.now();
        while let Some(timer) = self.context.pop_due_timer(now) {
            let context = &mut self.context;
            match timer {
                Timer::RequestDeadline(conn) => self.server.on_request_deadline(context, conn),
                Timer::ConnectTimeout(conn) if self.server.owns(conn) => {
                    self.server.on_delivery_failed(context, conn);
                }
                Timer::ConnectTimeout(conn) => self.client.on_connect_timeout(context, conn),
                Timer::IdleTimeout(conn) => self.client.on_idle_timeout(context, conn),
                Timer::RetryDelivery(delivery) => self.server.retry_delivery(context, delivery),
            }
        }
    }

    // ---- Endpoints and reloading of the settings ----

    /// Passes the endpoints in the settings to the engine.
    fn update_endpoints(&mut self) {
        let config = &self.context.config;
        let mut endpoints = Vec::new();
        for (partner_index, partner) in config.partners.iter().enumerate() {
            for endpoint in &partner.endpoints {
                let next_id = EndpointId(self.endpoint_ids.len() as u32);
                let key = EndpointKey { partner: partner.name.clone(), endpoint: endpoint.name.clone() };
                let id = *self.endpoint_ids.entry(key).or_insert(next_id);
                let tier = partner.tiers.iter().position(|tier| tier.zone == endpoint.zone).unwrap_or(0);
                let address = EndpointAddress {
                    partner: partner_index,
                    name: endpoint.name.clone(),
                    address: endpoint.address,
                    path: endpoint.path.clone(),
                };
                self.context.endpoints.insert(id, address);
                endpoints.push(Endpoint {
                    id,
                    zone: ZoneId(endpoint.zone),
                    kind: KindId(partner.kind),
                    destination: tier_destination(config, partner_index, tier),
                    state: endpoint.state,
                    weight: partner.tiers.get(tier).map_or(partner.rate, |tier| tier.rate),
                });
            }
        }
        let now = self.context.now();
        self.context.engine.update_endpoints(now, endpoints);
    }

    /// Reloads the partners' endpoints and rates from the settings file; all of them, or none if the file is invalid or
    /// adds a partner. A partner that is no longer in the file loses its endpoints.
    fn reload(&mut self) {
        let Some(file) = self.settings_file.clone() else { return };
        let new_config = match load_config(&file) {
            Ok(new_config) => new_config,
            Err(error) => {
                return error!(%error, "settings reload failed, the previous settings stay in force")
            }
        };
        let current = &self.context.config.partners;
        let is_known = |name: &str| current.iter().any(|partner| partner.name == name);
        if let Some(added) = new_config.partners.iter().find(|partner| !is_known(&partner.name)) {
            return error!(
                partner = %added.name,
                "settings reload failed, the previous settings stay in force: a new partner needs a restart"
            );
        }
        for partner in &mut self.context.config.partners {
            match new_config.partners.iter().find(|new| new.name == partner.name) {
                Some(new) => (partner.endpoints, partner.rate) = (new.endpoints.clone(), new.rate),
                None => partner.endpoints.clear(),
            }
        }
        self.update_endpoints();
        info!("settings reloaded: endpoints and rates; all else needs a restart");
    }

    // ---- Shutdown ----

    fn start_shutdown(&mut self) {
        if self.shutdown_deadline.is_some() {
            return;
        }
        let context = &mut self.context;
        let now = context.now();
        let within = context.config.limits.shutdown_timeout;
        info!(pending_messages = context.engine.pending_messages(), ?within, "graceful shutdown started");
        context.engine.shut_down_by(now + within.mul_f64(DELIVERY_FRACTION_OF_SHUTDOWN));
        self.shutdown_deadline = Some(now + within);
        context.net.stop_listening(self.listener);
    }

    fn is_shutdown_complete(&self) -> bool {
        let Some(deadline) = self.shutdown_deadline else { return false };
        self.context.now() >= deadline
            || (self.context.engine.pending_messages() == 0
                && !self.server.is_busy()
                && self.server.unsent_bytes(&self.context.net) == 0)
    }

    fn summary(&self) -> RunSummary {
        let counts = self.context.engine.counters();
        let unanswered = self.context.engine.pending_messages();
        info!(?counts, unanswered, "gateway stopped");
        RunSummary { counts, unanswered, decision_time: self.decision_time, busy_time: self.busy_time }
    }
}

fn new_engine(config: &Config, seed: u64) -> Engine {
    let result_limits = ResultCacheLimits {
        max_results: config.limits.max_kept_outcomes,
        retention: config.limits.outcome_retention,
    };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Engine::new(config.policy.clone(), result_limits, seed).with_failover_policy(new_failover_planner(
        config,
        seed,
        since_epoch,
    ))
}
