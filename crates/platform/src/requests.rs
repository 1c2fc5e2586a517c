//! Requests to endpoints: from an attempt that the policy decided on to its result.
//!
//! An attempt takes a connection of the pool, or a new one ([`Requests::connect`]). When it is established
//! ([`Requests::take_connected`]) all but the last byte is written ([`Requests::send_all_but_last_byte`]). The last byte
//! follows a moment later ([`Requests::take_ready_to_commit`]), once the log has the attempt ([`Requests::commit`]): an
//! endpoint begins to process a request with its last byte, so what fails before never ran.

use crate::connection_pool::{ActiveRequest, Connection, ConnectionPool, ConnectionState, RequestPhase};
use crate::response::{AttemptResult, ConnectionReuse, LoadReportFields, ResponseProgress, ResponseReader};
use crate::transport::{ConnectionId, Transport};
use cloverstile::{EndpointId, Time};
use cloverstile_engine::{Attempt, TransportOutcome};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long the last byte of a request is held back behind the others. Guards against a connection that was closed
/// meanwhile: it answers the others with a reset.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(1);
/// Reused connections that one attempt may find closed before it counts as failed.
const MAX_STALE_CONNECTIONS: u8 = 2;
/// How long the rest of a response may take whose outcome is known, and one that nobody waits for any longer.
const REST_TIMEOUT: Duration = Duration::from_secs(1);

/// What the platform allows of connections to endpoints.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Time after which a connection that is not established has failed.
    pub connect_timeout: Duration,
    /// Time after which the endpoint closes an idle connection.
    pub idle_timeout: Duration,
    /// Most connections to endpoints at once; a request that would need one more is not sent.
    pub max_connections: usize,
    /// Fields of the load reports in responses.
    pub report_fields: LoadReportFields,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedAttempt {
    /// The attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub result: AttemptResult,
}

/// A `Retry-After` that an endpoint sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Time to wait, from now on.
    pub delay: Duration,
}

/// All requests in flight. Events are kept until they are taken.
pub struct Requests {
    pool: ConnectionPool,
    connect_timeout: Duration,
    report_fields: LoadReportFields,
    /// Connections of the attempts without an outcome.
    attempts: HashMap<Attempt, ConnectionId>,
    connected: Vec<Attempt>,
    ready_to_commit: Vec<Attempt>,
    completed: Vec<CompletedAttempt>,
    retry_after: Vec<RetryAfter>,
}

impl Requests {
    /// No requests.
    pub fn new(limits: ConnectionLimits) -> Self {
        Requests {
            pool: ConnectionPool::new(limits.idle_timeout, limits.max_connections),
            connect_timeout: limits.connect_timeout,
            report_fields: limits.report_fields,
            attempts: HashMap::new(),
            connected: Vec::new(),
            ready_to_commit: Vec::new(),
            completed: Vec::new(),
            retry_after: Vec::new(),
        }
    }

    /// Number of attempts without an outcome.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Number of connections open or being established.
    pub fn connections(&self) -> usize {
        self.pool.len()
    }

    /// Attempts whose connection is established: their bytes are awaited.
    pub fn take_connected(&mut self) -> Vec<Attempt> {
        std::mem::take(&mut self.connected)
    }

    /// Attempts whose last byte may be written once the log has them.
    pub fn take_ready_to_commit(&mut self) -> Vec<Attempt> {
        std::mem::take(&mut self.ready_to_commit)
    }

    /// Attempts that ended, in order.
    pub fn take_completed(&mut self) -> Vec<CompletedAttempt> {
        std::mem::take(&mut self.completed)
    }

    /// `Retry-After` of responses, each as soon as its head was read.
    pub fn take_retry_after(&mut self) -> Vec<RetryAfter> {
        std::mem::take(&mut self.retry_after)
    }

    /// Whether an attempt was connected, became ready to commit or ended, and was not taken.
    pub fn has_pending_events(&self) -> bool {
        !self.connected.is_empty() || !self.ready_to_commit.is_empty() || !self.completed.is_empty()
    }

    /// Gets a connection for an attempt; it is connected at once where a connection is idle.
    pub fn connect(
        &mut self,
        now: Time,
        attempt: Attempt,
        endpoint: EndpointId,
        address: SocketAddr,
        transport: &mut impl Transport,
    ) {
        let idle = self.pool.take_idle(now, endpoint, address, transport);
        if let Some((id, connection)) = idle.and_then(|id| Some((id, self.pool.get_mut(id)?))) {
            let phase = RequestPhase::Connected;
            connection.state =
                ConnectionState::Active(ActiveRequest { attempt, phase, stale_connections: 0 });
            connection.reader = ResponseReader::new();
            self.attempts.insert(attempt, id);
            self.connected.push(attempt);
        } else if self.pool.ensure_room(transport) {
            let until = now + self.connect_timeout;
            let phase = RequestPhase::Connecting { until };
            let request = ActiveRequest { attempt, phase, stale_connections: 0 };
            self.open_connection(request, endpoint, address, transport);
        } else {
            self.complete(attempt, TransportOutcome::Unsent.into());
        }
    }

    fn open_connection(
        &mut self,
        request: ActiveRequest,
        endpoint: EndpointId,
        address: SocketAddr,
        transport: &mut impl Transport,
    ) {
        let id = transport.connect(address);
        self.attempts.insert(request.attempt, id);
        let state = ConnectionState::Active(request);
        let reader = ResponseReader::new();
        self.pool.insert(id, Connection { endpoint, address, state, reader, is_reused: false });
    }

    /// Writes the request of a connected attempt but for its last byte.
    pub fn send_all_but_last_byte(
        &mut self,
        now: Time,
        attempt: Attempt,
        bytes: &[u8],
        transport: &mut impl Transport,
    ) {
        let Some((last_byte, first_bytes)) = bytes.split_last() else { return };
        let Some(&id) = self.attempts.get(&attempt) else { return };
        let Some(request) = self.pool.get_mut(id).and_then(Connection::active) else { return };
        if let RequestPhase::Connected = request.phase {
            let until = now + LAST_BYTE_DELAY;
            request.phase = RequestPhase::LastByteHeld { last_byte: *last_byte, until };
            transport.write(id, first_bytes);
        }
    }

    /// Writes the last byte of an attempt that is ready to commit. The log must have the attempt.
    pub fn commit(&mut self, attempt: Attempt, transport: &mut impl Transport) {
        let Some(&id) = self.attempts.get(&attempt) else { return };
        let Some(request) = self.pool.get_mut(id).and_then(Connection::active) else { return };
        if let RequestPhase::ReadyToCommit { last_byte } = request.phase {
            request.phase = RequestPhase::Committed { flushed: false };
            transport.write(id, &[last_byte]);
        }
    }

    /// Takes back an attempt that is not committed and may not be sent any more: it ends as if it had never been decided
    /// on. Its connection is reused where nothing was written on it and its endpoint is listed at its address.
    pub fn abort_before_send(
        &mut self,
        now: Time,
        attempt: Attempt,
        is_listed: bool,
        transport: &mut impl Transport,
    ) {
        let Some(id) = self.detach(attempt) else { return };
        let request = self.pool.get_mut(id).and_then(Connection::active);
        let is_clean = request.is_some_and(|request| matches!(request.phase, RequestPhase::Connected));
        if is_clean && is_listed {
            self.pool.make_idle(now, id);
        } else {
            self.pool.close(id, transport);
        }
        self.complete(attempt, TransportOutcome::NotStarted.into());
    }

    /// Abandons an attempt: no result of it is reported. Its connection is closed, as its response must not be taken for
    /// another's; after a whole request only our side is shut down at first. Guards against a `Retry-After` that is on
    /// its way at this moment: it binds from its writing on, whoever still reads it.
    pub fn abandon(&mut self, now: Time, attempt: Attempt, transport: &mut impl Transport) {
        let Some(id) = self.detach(attempt) else { return };
        match self.pool.get_mut(id) {
            Some(Connection { state, .. }) if is_request_sent(state) => {
                *state = ConnectionState::Abandoned { until: now + REST_TIMEOUT };
                transport.shutdown_write(id);
            }
            _ => self.pool.close(id, transport),
        }
    }

    /// Takes an attempt out, with its events; its connection, if it has one.
    fn detach(&mut self, attempt: Attempt) -> Option<ConnectionId> {
        self.connected.retain(|connected| *connected != attempt);
        self.ready_to_commit.retain(|ready| *ready != attempt);
        self.attempts.remove(&attempt)
    }

    fn complete(&mut self, attempt: Attempt, result: AttemptResult) {
        self.completed.push(CompletedAttempt { attempt, result });
    }

    fn connection_of(&self, attempt: Attempt) -> Option<&Connection> {
        self.attempts.get(&attempt).and_then(|id| self.pool.get(*id))
    }

    /// The endpoint of an attempt without an outcome.
    pub fn endpoint(&self, attempt: Attempt) -> Option<EndpointId> {
        self.connection_of(attempt).map(|connection| connection.endpoint)
    }

    /// Whether an attempt's endpoint is still listed at the address of its connection.
    pub fn targets_listed_endpoint(
        &self,
        attempt: Attempt,
        address: impl Fn(EndpointId) -> Option<SocketAddr>,
    ) -> bool {
        self.connection_of(attempt)
            .is_some_and(|connection| address(connection.endpoint) == Some(connection.address))
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: EndpointId, transport: &mut impl Transport) {
        self.pool.close_idle(endpoint, transport);
    }

    /// Closes idle connections to endpoints that a new list does not have at their address.
    pub fn retain_listed(
        &mut self,
        address: impl Fn(EndpointId) -> Option<SocketAddr>,
        transport: &mut impl Transport,
    ) {
        self.pool.retain_listed(address, transport);
    }

    /// Whether a connection leads to an endpoint.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.pool.contains(connection)
    }

    /// A connection was established.
    pub fn on_connected(&mut self, connection: ConnectionId) {
        let Some(request) = self.pool.get_mut(connection).and_then(Connection::active) else { return };
        if let RequestPhase::Connecting { .. } = request.phase {
            request.phase = RequestPhase::Connected;
            self.connected.push(request.attempt);
        }
    }

    /// All bytes written on a connection were passed to the operating system.
    pub fn on_flushed(&mut self, connection: ConnectionId) {
        let Some(request) = self.pool.get_mut(connection).and_then(Connection::active) else { return };
        if let RequestPhase::Committed { flushed } = &mut request.phase {
            *flushed = true;
        }
    }

    /// A connection could not be established, or ended; `clean` where the endpoint closed it in order. Where it was
    /// reused and ended before the request's last byte, the attempt goes on with a new one: the endpoint has not begun
    /// to process it, and need not be unhealthy.
    pub fn on_closed(
        &mut self,
        now: Time,
        connection: ConnectionId,
        clean: bool,
        transport: &mut impl Transport,
    ) {
        let Some(mut closed) = self.pool.remove(connection) else { return };
        let ConnectionState::Active(request) = closed.state else { return };
        let attempt = request.attempt;
        self.detach(attempt);
        let result = match request.phase {
            RequestPhase::Connected
            | RequestPhase::LastByteHeld { .. }
            | RequestPhase::ReadyToCommit { .. }
                if closed.is_reused && request.stale_connections < MAX_STALE_CONNECTIONS =>
            {
                let phase = RequestPhase::Connecting { until: now + self.connect_timeout };
                let stale_connections = request.stale_connections + 1;
                let request = ActiveRequest { attempt, phase, stale_connections };
                return self.open_connection(request, closed.endpoint, closed.address, transport);
            }
            RequestPhase::Committed { flushed: true } => closed.reader.end(clean, &self.report_fields),
            // What ended before the request's last byte was written never ran.
            _ => Some(TransportOutcome::ConnectFailed.into()),
        };
        self.completed.extend(result.map(|result| CompletedAttempt { attempt, result }));
    }

    /// Bytes were received on a connection.
    pub fn on_bytes(
        &mut self,
        now: Time,
        connection: ConnectionId,
        bytes: &[u8],
        transport: &mut impl Transport,
    ) {
        let Some(receiver) = self.pool.get_mut(connection) else { return };
        if let ConnectionState::Idle { .. } = receiver.state {
            // Nothing was asked: a late copy or noise, which a later request would take for its response.
            return self.pool.close(connection, transport);
        }
        let progress = receiver.reader.on_bytes(Duration::from_nanos(now.0), bytes, &self.report_fields);
        let endpoint = receiver.endpoint;
        self.retry_after.extend(progress.retry_after.map(|delay| RetryAfter { endpoint, delay }));
        match receiver.active().map(|request| &request.phase) {
            Some(RequestPhase::Committed { .. }) | None => {
                self.on_response(now, connection, &progress, transport);
            }
            // What comes before the request is whole answers nothing: it is noise, or a refusal of the connection.
            Some(_) => {
                transport.close(connection);
                self.on_closed(now, connection, false, transport);
            }
        }
    }

    /// Bytes of a response were read: reports the attempt's result, and closes or reuses the connection.
    fn on_response(
        &mut self,
        now: Time,
        connection: ConnectionId,
        progress: &ResponseProgress,
        transport: &mut impl Transport,
    ) {
        let Some(receiver) = self.pool.get_mut(connection) else { return };
        let is_request_sent = is_request_sent(&receiver.state);
        let is_abandoned = matches!(receiver.state, ConnectionState::Abandoned { .. });
        let attempt = receiver.active().map(|request| request.attempt);
        if let (Some(result), Some(attempt)) = (progress.result, attempt) {
            receiver.state = ConnectionState::ReadingRest { until: now + REST_TIMEOUT };
            self.attempts.remove(&attempt);
            self.complete(attempt, result);
        }
        match progress.reuse {
            // What follows can't tell anything more.
            _ if is_abandoned && (progress.result.is_some() || progress.retry_after.is_some()) => {
                self.pool.close(connection, transport);
            }
            ConnectionReuse::Incomplete => {}
            // After a response that came before the request was written whole, the rest of the request is in the way.
            ConnectionReuse::Reusable if is_request_sent => self.pool.make_idle(now, connection),
            ConnectionReuse::Reusable | ConnectionReuse::Unusable => self.pool.close(connection, transport),
        }
    }

    /// When [`Requests::on_tick`] must be called at the latest.
    pub fn next_timeout(&self) -> Option<Time> {
        self.pool.next_timeout()
    }

    /// Makes attempts ready to commit whose last byte was held back long enough, and ends what has timed out.
    pub fn on_tick(&mut self, now: Time, transport: &mut impl Transport) {
        for id in self.pool.timed_out(now) {
            if !self.release_last_byte(id) {
                transport.close(id);
                self.on_closed(now, id, false, transport);
            }
        }
    }

    /// Makes the attempt on a connection ready to commit, if its last byte is held back.
    fn release_last_byte(&mut self, connection: ConnectionId) -> bool {
        let Some(request) = self.pool.get_mut(connection).and_then(Connection::active) else { return false };
        let RequestPhase::LastByteHeld { last_byte, .. } = request.phase else { return false };
        request.phase = RequestPhase::ReadyToCommit { last_byte };
        self.ready_to_commit.push(request.attempt);
        true
    }
}

/// Whether the whole request of a connection was passed to the operating system.
fn is_request_sent(state: &ConnectionState) -> bool {
    match state {
        ConnectionState::Active(request) => {
            matches!(request.phase, RequestPhase::Committed { flushed: true })
        }
        ConnectionState::ReadingRest { .. } | ConnectionState::Abandoned { .. } => true,
        ConnectionState::Idle { .. } => false,
    }
}
