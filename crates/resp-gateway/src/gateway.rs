//! The node's turn: events in, the module's decisions, the log, bytes out.

use crate::clock::Clock;
use crate::descriptor_limits::DescriptorLimits;
use crate::sockets::Sockets;
use crate::startup::{load, Environment, GatewayError};
use crate::{message_record, name_table};
use cloverstile::{Class, MessageId, Time};
use cloverstile_engine::{
    Admission, Attempt, Command, Engine, FinalOutcome, ResultCacheLimits, TransportOutcome,
};
use cloverstile_net::{ConnId, ListenerId, Net, NetEvent, SignalKind};
use cloverstile_platform::client_request::{self, ClientRequest, PutRequest, RequestClasses};
use cloverstile_platform::client_sessions::{ClientSessions, DisconnectReason};
use cloverstile_platform::config::{Config, SettingNames};
use cloverstile_platform::endpoint_list::EndpointList;
use cloverstile_platform::endpoint_list_response::EndpointListResponse;
use cloverstile_platform::endpoint_watch::EndpointWatch;
use cloverstile_platform::notifications::Notifications;
use cloverstile_platform::requests::{CompletedAttempt, ConnectionLimits, Requests, RetryAfter};
use cloverstile_platform::response::ReportFields;
use cloverstile_platform::shutdown::{GracefulShutdown, PendingWork, ShutdownPhase, FINAL_FLUSH_TIMEOUT};
use cloverstile_platform::ConnectionId;
use cloverstile_resp::{error, simple};
use cloverstile_wal::store::DirectoryStore;
use cloverstile_wal::{AttemptStart, LiveMessage, Log, Record, TerminalState, UNKNOWN_INDEX};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use tracing::{debug, info, trace, warn};

/// Answers kept for a message that comes again under its id: longer than a client sends one once more.
const ANSWERS: ResultCacheLimits = ResultCacheLimits { max_results: 4096, retention: Duration::from_secs(2) };
/// Answers that a client has not read, in bytes, above which it is closed.
const UNREAD: usize = 256 << 10;
/// Rounds of one turn: what a decision leads to at once may lead to more.
const ROUNDS: usize = 16;

/// An answer to a client's command, in the order of its commands.
enum Reply {
    Bytes(Vec<u8>),
    /// Of a message that this turn took.
    Of(MessageId),
}

/// A call that waits until a notice of its key is answered.
struct AwaitingNotification {
    attempt: Attempt,
    endpoint: cloverstile::EndpointId,
}

/// A running courier.
pub struct Gateway {
    clock: Clock,
    net: Net,
    listener: Option<ListenerId>,
    path: PathBuf,
    names: SettingNames,
    classes: Vec<Class>,
    engine: Engine,
    log: Log<DirectoryStore>,
    log_works: bool,
    list: EndpointList,
    guests: ClientSessions,
    calls: Requests,
    parked: Vec<AwaitingNotification>,
    watch: EndpointWatch,
    notices: Notifications,
    leaving: Option<GracefulShutdown>,
    /// All is over but for what clients have not read yet; the process ends then at the latest.
    ends: Option<Time>,
    /// Answers of this turn, and what the messages that it took are answered where they ended at once.
    replies: Vec<(ConnectionId, Reply)>,
    fresh: BTreeMap<MessageId, Option<Vec<u8>>>,
    launching: Vec<Attempt>,
    closing: Vec<ConnectionId>,
}

fn busy(again: Duration) -> Vec<u8> {
    match again.as_millis() {
        0 => error("BUSY"),
        ms => error(&format!("BUSY {ms}")),
    }
}

fn given_up() -> Vec<u8> {
    error("ERR given up: it can't be delivered")
}

impl Gateway {
    /// Takes on what an earlier process left, and listens.
    pub fn start(config: Config, variables: &Environment) -> Result<Gateway, GatewayError> {
        let clock = Clock::new();
        let now = clock.now();
        let failed = |what: String| move |error| GatewayError::Io { what, error };
        let mut net = Net::new().map_err(failed("event loop".into()))?;
        net.watch_signals(&[SignalKind::SIGTERM, SignalKind::SIGINT, SignalKind::SIGHUP])
            .map_err(failed("signals".into()))?;
        let parsed = &config.parsed;
        let mut settings = parsed.settings.clone();
        settings.classes.push(name_table::fallback_class(&settings.classes));
        let field =
            |place: Option<usize>| place.and_then(|place| config.names.report_fields.get(place)).cloned();
        let descriptors = DescriptorLimits::new(config.limits.sockets);
        net.set_max_lingering(descriptors.lingering);
        let terms = ConnectionLimits {
            connect_timeout: settings.connect_timeout,
            idle_timeout: settings.connection_idle_timeout,
            max_connections: descriptors.endpoints,
            report_fields: ReportFields {
                remaining: field(parsed.remaining_field),
                limit: field(parsed.limit_field),
            },
        };
        let bound = (config.limits.disk_mb * 1e6) as u64;
        let state = variables.state.display().to_string();
        let (log, recovered) =
            Log::open(DirectoryStore::new(&variables.state), bound).map_err(failed(state))?;
        if recovered.discarded_bytes > 0 {
            warn!(
                bytes = recovered.discarded_bytes,
                "the log's last record was torn or damaged and is given up"
            );
        }
        let seed = config.seed.unwrap_or_else(rand::random);
        let mut node = Gateway {
            classes: settings.classes.clone(),
            engine: Engine::new(settings, ANSWERS, seed),
            clock,
            net,
            listener: None,
            path: variables.config.clone(),
            names: config.names,
            log,
            log_works: true,
            list: EndpointList::default(),
            guests: ClientSessions::new(descriptors.clients),
            calls: Requests::new(terms),
            parked: Vec::new(),
            watch: EndpointWatch::new(
                config.discovery,
                config.known_endpoints.as_ref().map_or(0, |known| known.version),
            ),
            notices: Notifications::new(config.discovery),
            leaving: None,
            ends: None,
            replies: Vec::new(),
            fresh: BTreeMap::new(),
            launching: Vec::new(),
            closing: Vec::new(),
        };
        if let Some(known) = &config.known_endpoints {
            node.take_list(now, known);
        }
        let found = recovered.messages.len();
        let names = name_table::name_table(&node.names, &node.classes);
        node.log.record(Record::NameTable(names.clone()));
        for (place, mut living) in recovered.messages.into_iter().enumerate() {
            name_table::remap(&mut living, &recovered.names, &names);
            node.recover(now, place, living);
        }
        node.turn(now);
        let listening = node.net.listen(config.listen);
        let (listener, address) = listening.map_err(failed(format!("listen on {}", config.listen)))?;
        node.listener = Some(listener);
        info!(name = %config.name, %address, recovered = found, "ready");
        Ok(node)
    }

    /// Takes a message on again that an earlier process owes.
    fn recover(&mut self, now: Time, place: usize, mut living: LiveMessage) {
        if let Some(ending) = living.pending_notification {
            // Numbers from the far end: those of the engine begin at one.
            let number = u32::MAX - u32::try_from(place).unwrap_or(0);
            self.notices.enqueue(number, message_record::notification(&living, ending));
            return self.log.record(Record::Submitted { message_number: number, message: Box::new(living) });
        }
        let class = self.classes.get(usize::from(living.class));
        let message_record::RecoveredSubmission { request: hand_in, attempts: past } =
            message_record::recover(&mut living, class);
        let (left, to) = (hand_in.deadline - now, living.destination);
        let id = self.engine.recover(now, hand_in, past);
        trace!(id = id.0, to, attempts = past.attempts, ran = ?past.may_have_run, ?left, "recovered");
        self.log.record(Record::Submitted { message_number: id.0, message: Box::new(living) });
    }

    /// Runs until told to stop and done.
    pub fn run(mut self) -> Result<(), GatewayError> {
        loop {
            let now = self.clock.now();
            if self.leave(now) {
                info!(held = self.engine.pending_messages(), "ends; what is held stays in the log");
                return Ok(());
            }
            let timeout = self.next_wake(now).map(|at| at - now);
            let events = self
                .net
                .poll(timeout)
                .map_err(|error| GatewayError::Io { what: "event loop".into(), error })?;
            let now = self.clock.now();
            for event in events {
                self.on_event(now, event);
            }
            self.tick(now);
            self.turn(now);
        }
    }

    fn next_wake(&self, now: Time) -> Option<Time> {
        if self.calls.has_pending_events() || self.engine.has_pending_events() {
            return Some(now);
        }
        let dues = [
            self.engine.next_timeout(),
            self.calls.next_timeout(),
            self.guests.next_timeout(),
            Some(self.watch.next_timeout()),
            self.notices.next_timeout(),
            self.leaving.map(|leaving| leaving.next_timeout(now)).filter(|_| self.ends.is_none()),
            self.ends,
        ];
        dues.into_iter().flatten().min()
    }

    fn tick(&mut self, now: Time) {
        let mut sockets = Sockets(&mut self.net);
        self.watch.on_tick(now, &mut sockets);
        self.calls.on_tick(now, &mut sockets);
        for client in self.guests.on_tick(now) {
            self.dismiss(client.connection, &client.reason);
        }
    }

    /// What is still done after a signal to stop; true once the process should end.
    fn leave(&mut self, now: Time) -> bool {
        let Some(leaving) = self.leaving else { return false };
        if let Some(ends) = self.ends {
            return ends <= now || self.net.lingering_count() == 0;
        }
        if self.listener.is_none() {
            for wire in self.guests.take_idle() {
                self.net.close_after_flush(ConnId(wire.0));
            }
        }
        let (held, out, notices) =
            (self.engine.pending_messages(), self.calls.in_flight(), self.notices.len());
        let left =
            PendingWork { messages: held, requests: out, notifications: notices, clients: self.guests.len() };
        let stage = leaving.phase(now, left);
        if stage >= ShutdownPhase::Draining {
            if let Some(listener) = self.listener.take() {
                info!(?left, "stops listening");
                // Guards against clients that are closed with a request in the system's buffers: those that the system
                // took for us are welcomed, and all are read once more, before anyone is closed.
                self.net.stop_listening(listener);
                // No client comes any more: all that are closed now may be read from until they have their answers.
                self.net.set_max_lingering(usize::MAX);
                self.net.waker().wake();
                return false;
            }
        }
        if stage >= ShutdownPhase::AwaitingResponses {
            self.engine.set_sending_paused(true);
        }
        if stage == ShutdownPhase::Finished {
            for wire in self.guests.take_all() {
                self.net.close_after_flush(ConnId(wire.0));
            }
            self.ends = Some(now + FINAL_FLUSH_TIMEOUT);
            return self.net.lingering_count() == 0;
        }
        false
    }

    fn on_event(&mut self, now: Time, event: NetEvent) {
        match event {
            NetEvent::Accepted { conn, .. } => {
                trace!(?conn, clients = self.guests.len(), "connected");
                if let Some(leaves) = self.guests.accept(now, ConnectionId(conn.0)) {
                    self.dismiss(leaves, &DisconnectReason::ConnectionLimit);
                }
            }
            NetEvent::Connected(conn) => {
                let wire = ConnectionId(conn.0);
                self.calls.on_connected(wire);
                self.notices.on_connected(now, wire);
                self.watch.on_connected(now, wire, &mut Sockets(&mut self.net));
            }
            NetEvent::ConnectFailed(conn, _) => self.lost(now, ConnectionId(conn.0), false),
            NetEvent::Closed { conn, clean } => self.lost(now, ConnectionId(conn.0), clean),
            NetEvent::Flushed(conn) => self.calls.on_flushed(ConnectionId(conn.0)),
            NetEvent::Bytes(conn, bytes) => self.on_bytes(now, ConnectionId(conn.0), &bytes),
            NetEvent::Signal(SignalKind::SIGHUP) => self.reload(now),
            NetEvent::Signal(signal) => {
                info!(?signal, held = self.engine.pending_messages(), "told to stop");
                self.leaving.get_or_insert(GracefulShutdown::new(now));
            }
            NetEvent::Woken => {}
        }
    }

    fn lost(&mut self, now: Time, wire: ConnectionId, clean: bool) {
        self.guests.remove(wire);
        self.calls.on_closed(now, wire, clean, &mut Sockets(&mut self.net));
        self.watch.on_closed(now, wire);
        self.notices.on_closed(now, wire);
    }

    fn on_bytes(&mut self, now: Time, wire: ConnectionId, bytes: &[u8]) {
        if self.guests.owns(wire) {
            return self.client_bytes(now, wire, bytes);
        }
        let mut sockets = Sockets(&mut self.net);
        if self.calls.owns(wire) {
            self.calls.on_bytes(now, wire, bytes, &mut sockets);
        } else if self.watch.owns(wire) {
            match self.watch.on_bytes(now, wire, bytes, &mut sockets) {
                Ok(Some(answer)) => self.take_list(now, &answer),
                Ok(None) => {}
                Err(error) => warn!(%error, "the list of endpoints can't be read; asked again"),
            }
        } else if self.notices.owns(wire) {
            let settled = self.notices.on_bytes(now, wire, bytes, &mut sockets);
            for number in &settled.rejected {
                warn!(number, "the platform can't read a notice; it is not told again");
            }
            for number in settled.acknowledged.into_iter().chain(settled.rejected) {
                self.log.record(Record::Completed { message_number: number });
            }
            self.unpark(now);
        }
    }

    fn take_list(&mut self, now: Time, answer: &EndpointListResponse) {
        if answer.entries.is_empty() && !answer.is_snapshot {
            return;
        }
        for id in self.list.apply(answer, &self.names) {
            warn!(instance = %id, "an entry of the list can't be read and is left out");
        }
        debug!(
            generation = answer.version,
            whole = answer.is_snapshot,
            entries = answer.entries.len(),
            "list"
        );
        self.engine.update_endpoints(now, self.list.endpoints());
        let list = &self.list;
        self.calls.retain_listed(|id| list.address(id), &mut Sockets(&mut self.net));
    }

    fn reload(&mut self, now: Time) {
        match load(&self.path) {
            Ok(config) => {
                info!(discovery = %config.discovery, "configuration read anew");
                let mut sockets = Sockets(&mut self.net);
                self.watch.set_address(now, config.discovery, &mut sockets);
                self.notices.set_address(now, config.discovery, &mut sockets);
            }
            Err(error) => warn!(%error, "the new configuration can't be used; the old one stays"),
        }
    }

    // ---- Clients ----

    fn client_bytes(&mut self, now: Time, wire: ConnectionId, bytes: &[u8]) {
        let received = self.guests.on_bytes(now, wire, bytes);
        for words in received.commands {
            let known = |to| self.list.has_destination(to);
            let classes = RequestClasses { classes: &self.classes, names: &self.names.classes };
            let reply = match client_request::parse(now, &words, classes, known) {
                Ok(ClientRequest::Ping) => Reply::Bytes(simple("PONG")),
                Ok(ClientRequest::Put(put)) => self.take(now, *put),
                Err(wrong) => {
                    trace!(?wire, %wrong, "turned away");
                    Reply::Bytes(error(&wrong.to_string()))
                }
            };
            self.replies.push((wire, reply));
        }
        if let Some(why) = received.disconnect {
            trace!(?wire, ?why, "closed after its answers");
            if let Some(line) = why.error_text() {
                self.replies.push((wire, Reply::Bytes(error(&line))));
            }
            self.closing.push(wire);
        }
    }

    fn take(&mut self, now: Time, put: PutRequest) -> Reply {
        if !self.log_works || !self.log.has_room(put.body.len()) {
            trace!(works = self.log_works, body = put.body.len(), "no room in the log");
            return Reply::Bytes(busy(Duration::ZERO));
        }
        let PutRequest { submission: hand_in, idempotency_key, body } = put;
        let living = message_record::from_submission(now, &hand_in, idempotency_key, body);
        match self.engine.submit(now, hand_in) {
            Admission::New(id) => {
                trace!(id = id.0, to = living.destination, class = living.class, "taken");
                self.log.record(Record::Submitted { message_number: id.0, message: Box::new(living) });
                self.fresh.insert(id, None);
                Reply::Of(id)
            }
            // The same id once more: its first answer was lost on the way, or is in this very turn.
            Admission::InFlight(id) if self.fresh.contains_key(&id) => Reply::Of(id),
            Admission::InFlight(_)
            | Admission::Completed(_, FinalOutcome::Delivered | FinalOutcome::Cancelled) => {
                Reply::Bytes(simple("OK"))
            }
            Admission::Completed(_, FinalOutcome::Rejected(again)) => Reply::Bytes(busy(again)),
            Admission::Completed(_, FinalOutcome::Failed) => Reply::Bytes(given_up()),
            Admission::Conflict => Reply::Bytes(error("ERR id: in use for another message")),
            Admission::Overloaded | Admission::ShuttingDown => {
                trace!("no room for a message more");
                Reply::Bytes(busy(Duration::ZERO))
            }
        }
    }

    /// Closes a client that is no longer among the guests.
    fn dismiss(&mut self, wire: ConnectionId, why: &DisconnectReason) {
        trace!(?wire, ?why, clients = self.guests.len(), "dismissed");
        if let Some(line) = why.error_text() {
            self.net.send(ConnId(wire.0), &error(&line));
        }
        self.net.close_after_flush(ConnId(wire.0));
    }

    // ---- The turn ----

    fn turn(&mut self, now: Time) {
        for _ in 0..ROUNDS {
            for RetryAfter { endpoint, delay } in self.calls.take_retry_after() {
                self.engine.on_retry_after(now, endpoint, delay);
            }
            for CompletedAttempt { attempt, result } in self.calls.take_completed() {
                let (reported, allowance) = (result.outcome, result.rate_limit);
                if let Some(living) = self.log.message(attempt.message.0) {
                    let sent = living
                        .open_attempt
                        .map_or(0, |began| now.0.saturating_sub(began.started_at) / 1_000_000);
                    let (class, to) = (living.class, living.destination);
                    trace!(
                        id = attempt.message.0,
                        class,
                        to,
                        number = attempt.number,
                        ?reported,
                        ?allowance,
                        sent,
                        "ended"
                    );
                }
                self.log.record(Record::AttemptCompleted {
                    message_number: attempt.message.0,
                    may_have_run: reported.may_have_run(),
                });
                self.engine.on_attempt_completed(now, attempt, reported, allowance);
            }
            for command in self.engine.advance(now) {
                self.carry_out(now, command);
            }
            for attempt in self.calls.take_connected() {
                self.open(now, attempt);
            }
            for attempt in self.calls.take_ready_to_commit() {
                if self.is_withheld(now, attempt) {
                    continue;
                }
                let zone = self.calls.endpoint(attempt).and_then(|endpoint| self.list.zone(endpoint));
                let began =
                    AttemptStart { started_at: now.0, zone: zone.map_or(UNKNOWN_INDEX, |zone| zone.0) };
                self.log.record(Record::AttemptStarted { message_number: attempt.message.0, start: began });
                self.launching.push(attempt);
            }
            if !self.calls.has_pending_events() && !self.engine.has_pending_events() {
                break;
            }
        }
        match self.log.commit() {
            Ok(()) => {
                if !std::mem::replace(&mut self.log_works, true) {
                    info!("the log can be written again");
                }
            }
            Err(error) => self.undo(now, &error),
        }
        for attempt in std::mem::take(&mut self.launching) {
            self.engine.set_attempt_started(attempt, true);
            self.calls.commit(attempt, &mut Sockets(&mut self.net));
        }
        self.reply();
        self.notices.on_tick(now, &mut Sockets(&mut self.net));
    }

    /// Guards against effects that the log knows nothing of: without a log nothing is taken on and nothing sent.
    fn undo(&mut self, now: Time, error: &std::io::Error) {
        if std::mem::replace(&mut self.log_works, false) {
            warn!(%error, "the log can't be written: nothing is taken on or sent until it can");
        }
        for attempt in std::mem::take(&mut self.launching) {
            self.log
                .record(Record::AttemptCompleted { message_number: attempt.message.0, may_have_run: false });
            self.calls.discard_uncommitted(attempt, &mut Sockets(&mut self.net));
        }
        for (id, answer) in &mut self.fresh {
            if answer.is_none() {
                *answer = Some(busy(Duration::ZERO));
                // Guards against a "+OK" for the same id once more, as of one that was taken on.
                self.engine.reject(now, *id);
                self.log.record(Record::Completed { message_number: id.0 });
            }
        }
    }

    fn carry_out(&mut self, now: Time, command: Command) {
        match command {
            Command::Send { endpoint, attempts } => {
                for attempt in attempts {
                    self.engine.set_attempt_started(attempt, false);
                    self.parked.push(AwaitingNotification { attempt, endpoint });
                }
                self.unpark(now);
            }
            Command::Abandon { attempt, started: begun } => {
                trace!(id = attempt.message.0, number = attempt.number, "given up waiting");
                self.parked.retain(|parked| parked.attempt != attempt);
                self.launching.retain(|launching| *launching != attempt);
                self.log.record(Record::AttemptCompleted {
                    message_number: attempt.message.0,
                    may_have_run: begun,
                });
                self.calls.abandon(now, attempt, &mut Sockets(&mut self.net));
            }
            Command::Complete { message, outcome: answer, .. } => self.answered(message, answer),
            Command::CloseIdle { endpoint } => self.calls.close_idle(endpoint, &mut Sockets(&mut self.net)),
            Command::Log { text } => info!("{text}"),
            Command::LateReceipt { .. } | Command::Evicted { .. } | Command::Probe { .. } => {}
        }
    }

    fn answered(&mut self, message: MessageId, answer: FinalOutcome) {
        trace!(id = message.0, ?answer, fresh = self.fresh.contains_key(&message), "answered");
        let (reply, ending) = match answer {
            FinalOutcome::Delivered | FinalOutcome::Cancelled => {
                return self.log.record(Record::Completed { message_number: message.0 })
            }
            FinalOutcome::Rejected(again) => {
                let ms = u64::try_from(again.as_millis()).ok().filter(|ms| *ms > 0);
                (busy(again), TerminalState::Deferred(ms))
            }
            FinalOutcome::Failed => (given_up(), TerminalState::Undeliverable),
        };
        // Refused in the turn of its hand-in: the client is told, and the platform need not be.
        if let Some(told) = self.fresh.get_mut(&message) {
            *told = Some(reply);
            return self.log.record(Record::Completed { message_number: message.0 });
        }
        let Some(living) = self.log.message(message.0) else { return };
        self.notices.enqueue(message.0, message_record::notification(living, ending));
        self.log.record(Record::NotificationPending { message_number: message.0, state: ending });
    }

    /// Gets connections for calls whose key has no notice out: until it is answered, the message before is not over.
    fn unpark(&mut self, now: Time) {
        for parked in std::mem::take(&mut self.parked) {
            let Some(living) = self.log.message(parked.attempt.message.0) else { continue };
            if message_record::order_key(living).is_some_and(|key| self.notices.is_key_blocked(key)) {
                self.parked.push(parked);
                continue;
            }
            let AwaitingNotification { attempt, endpoint } = parked;
            match self.list.address(endpoint) {
                Some(address) => {
                    self.calls.connect(now, attempt, endpoint, address, &mut Sockets(&mut self.net))
                }
                None => self.engine.on_attempt_completed(now, attempt, TransportOutcome::NotStarted, None),
            }
        }
    }

    /// Asks once more whether a call may go, and takes it back if not. Guards against what came since it was decided
    /// on, while its connection came up or a notice of its key was out: a wait, a drain, another address, an outage,
    /// the end of its window or its time, a stop (fleet day join, seed 2: 0.74 s for a connection, and inside them a
    /// wait of 0.67 s).
    fn is_withheld(&mut self, now: Time, attempt: Attempt) -> bool {
        let list = &self.list;
        let listed = self.calls.targets_listed_endpoint(attempt, |id| list.address(id));
        if listed && self.engine.may_send_now(now, attempt) {
            return false;
        }
        debug!(id = attempt.message.0, number = attempt.number, listed, "withheld");
        self.calls.abort_before_send(now, attempt, listed, &mut Sockets(&mut self.net));
        true
    }

    /// Writes a call but for its last byte.
    fn open(&mut self, now: Time, attempt: Attempt) {
        let until = self.engine.attempt_deadline(attempt);
        if self.is_withheld(now, attempt) {
            return;
        }
        let (Some(living), Some(until)) = (self.log.message(attempt.message.0), until) else { return };
        let left = until - now;
        trace!(id = attempt.message.0, to = living.destination, number = attempt.number, ?left, "sent");
        let bytes = message_record::http_request(living, left);
        self.calls.send_all_but_last_byte(now, attempt, &bytes, &mut Sockets(&mut self.net));
    }

    fn reply(&mut self) {
        let leaving = self.listener.is_none() && self.leaving.is_some();
        for (wire, reply) in std::mem::take(&mut self.replies) {
            let bytes = match reply {
                Reply::Bytes(bytes) => bytes,
                Reply::Of(id) => self.fresh.get(&id).cloned().flatten().unwrap_or_else(|| simple("OK")),
            };
            self.net.send(ConnId(wire.0), &bytes);
            if self.net.unsent_bytes(ConnId(wire.0)) > UNREAD {
                self.guests.remove(wire);
                self.net.close(ConnId(wire.0));
            } else if leaving {
                self.closing.push(wire);
            }
        }
        for wire in std::mem::take(&mut self.closing) {
            self.guests.remove(wire);
            self.net.close_after_flush(ConnId(wire.0));
        }
        self.fresh.clear();
    }
}
