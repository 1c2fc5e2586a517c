//! Requests to endpoints, from an attempt that the policy decided on to its result.
//!
//! An attempt uses an idle connection of the pool or opens a new one ([`Requests::connect`]). Once the connection is
//! established ([`Requests::take_connected`]), all but the last byte of the request is written
//! ([`Requests::send_all_but_last_byte`]). After a short delay the attempt is ready to commit
//! ([`Requests::take_ready_to_commit`]), and the last byte is written when the attempt is recorded in the log
//! ([`Requests::commit`]). An endpoint starts to process a request only when it has the last byte, so an attempt that
//! fails before then was never processed.

mod responses;

use crate::connection_pool::{ActiveRequest, Connection, ConnectionPool, ConnectionState, RequestPhase};
use crate::connection_reuse::{Repeatability, ReusePolicy};
use crate::doubted_responses::{DoubtEnd, DoubtedResponse, HeldResponse};
use crate::response::{AttemptResult, LoadReportFields, ResponseReader};
use crate::transport::{ConnectionId, Transport};
use crate::unsolicited::{UnsolicitedBytes, UnsolicitedLog};
use cloverstile::{EndpointId, Time};
use cloverstile_engine::{Attempt, TransportOutcome};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay between the last byte of a request and the bytes before it. If the endpoint has already closed the connection,
/// it answers the earlier bytes with a reset, and the delay lets that reset arrive before the request can run.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(1);
/// Maximum number of reused connections that one attempt may find closed before the attempt fails.
const MAX_STALE_CONNECTIONS: u8 = 2;
/// Time limit for the remainder of a response whose outcome is already known, and for the response to an abandoned
/// attempt.
const REMAINDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on connections to endpoints, and the load report fields to read from responses.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// Time after which the endpoint closes an idle connection.
    pub idle_timeout: Duration,
    /// Maximum number of simultaneous connections to endpoints; a request that would exceed it is not sent.
    pub max_connections: usize,
    /// Names of the load report fields that are read from responses.
    pub report_fields: LoadReportFields,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedAttempt {
    /// The message, and the number of this attempt at it.
    pub attempt: Attempt,
    /// The connection that it used last; none if it never had one.
    pub connection: Option<ConnectionId>,
    /// The outcome, and the rate limit that the response reported.
    pub result: AttemptResult,
}

/// Where a request goes, and what may become of its message.
#[derive(Clone, Copy, Debug)]
pub struct RequestTarget {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address in the endpoint list.
    pub address: SocketAddr,
    /// Whether the message may be sent again after an attempt that may have taken effect.
    pub repeatability: Repeatability,
}

/// A `Retry-After` received from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter {
    /// The endpoint whose response contained it.
    pub endpoint: EndpointId,
    /// Time to wait, counted from the moment this event is reported.
    pub delay: Duration,
}

/// All requests in flight. Events are queued until the caller takes them with one of the `take_` methods.
pub struct Requests {
    pool: ConnectionPool,
    reuse: ReusePolicy,
    connect_timeout: Duration,
    report_fields: LoadReportFields,
    /// Connection of each attempt that has no outcome yet.
    attempts: HashMap<Attempt, ConnectionId>,
    connected: Vec<Attempt>,
    ready_to_commit: Vec<Attempt>,
    completed: Vec<CompletedAttempt>,
    retry_after: Vec<RetryAfter>,
    unsolicited: UnsolicitedLog,
    doubted: Vec<DoubtedResponse>,
    held: Vec<HeldResponse>,
}

impl Requests {
    /// Creates an empty set of requests.
    pub fn new(limits: ConnectionLimits) -> Self {
        Requests {
            pool: ConnectionPool::new(limits.idle_timeout, limits.max_connections),
            reuse: ReusePolicy::default(),
            connect_timeout: limits.connect_timeout,
            report_fields: limits.report_fields,
            attempts: HashMap::new(),
            connected: Vec::new(),
            ready_to_commit: Vec::new(),
            completed: Vec::new(),
            retry_after: Vec::new(),
            unsolicited: UnsolicitedLog::default(),
            doubted: Vec::new(),
            held: Vec::new(),
        }
    }

    /// Number of attempts that have no outcome yet.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Number of connections that are open or being established.
    pub fn connections(&self) -> usize {
        self.pool.len()
    }

    /// Takes the attempts whose connection is established and whose request can now be written.
    pub fn take_connected(&mut self) -> Vec<Attempt> {
        std::mem::take(&mut self.connected)
    }

    /// Takes the attempts whose last byte may be written as soon as they are recorded in the log.
    pub fn take_ready_to_commit(&mut self) -> Vec<Attempt> {
        std::mem::take(&mut self.ready_to_commit)
    }

    /// Takes the attempts that ended, in the order in which they did.
    pub fn take_completed(&mut self) -> Vec<CompletedAttempt> {
        std::mem::take(&mut self.completed)
    }

    /// Takes the `Retry-After` values of responses; each is reported as soon as the response head is read.
    pub fn take_retry_after(&mut self) -> Vec<RetryAfter> {
        std::mem::take(&mut self.retry_after)
    }

    /// Takes the bytes that answered no request, in the order in which they were read.
    pub fn take_unsolicited(&mut self) -> Vec<UnsolicitedBytes> {
        self.unsolicited.take()
    }

    /// Takes the responses that were read and are held since the last call.
    pub fn take_held(&mut self) -> Vec<HeldResponse> {
        std::mem::take(&mut self.held)
    }

    /// Takes the responses that were held and about which the doubt has ended.
    pub fn take_doubted(&mut self) -> Vec<DoubtedResponse> {
        std::mem::take(&mut self.doubted)
    }

    /// Whether any attempt that connected, became ready to commit or ended has not been taken yet.
    pub fn has_pending_events(&self) -> bool {
        !self.connected.is_empty() || !self.ready_to_commit.is_empty() || !self.completed.is_empty()
    }

    /// Assigns a connection to an attempt: an idle one, which counts as connected at once, or a new one, which
    /// replaces one that can't be used yet where endpoints are short of room. If the connection limit leaves no room, the attempt ends as unsent.
    pub fn connect(
        &mut self,
        now: Time,
        attempt: Attempt,
        target: RequestTarget,
        transport: &mut impl Transport,
    ) {
        let RequestTarget { endpoint, address, repeatability } = target;
        let quiet_period = self.reuse.quiet_period(now);
        let idle = if self.reuse.allows_reuse(now, endpoint, repeatability) {
            self.pool.take_idle(now, endpoint, address, quiet_period, transport)
        } else {
            None
        };
        if let Some((id, connection)) = idle.and_then(|id| Some((id, self.pool.get_mut(id)?))) {
            let phase = RequestPhase::Connected;
            connection.state =
                ConnectionState::Active(ActiveRequest { attempt, phase, stale_connections: 0 });
            connection.reader = ResponseReader::new();
            connection.last_attempt = attempt;
            self.attempts.insert(attempt, id);
            self.connected.push(attempt);
        } else {
            if self.reuse.replaces_resting_connections(now) {
                self.pool.close_one_idle(endpoint, transport);
            }
            self.open_or_fail(now, attempt, target, transport);
        }
    }

    /// Opens a connection for an attempt; if the connection limit leaves no room, the attempt ends as unsent.
    fn open_or_fail(
        &mut self,
        now: Time,
        attempt: Attempt,
        target: RequestTarget,
        transport: &mut impl Transport,
    ) {
        if self.pool.ensure_capacity(transport) {
            let timeout_at = now + self.connect_timeout;
            let phase = RequestPhase::Connecting { timeout_at };
            let request = ActiveRequest { attempt, phase, stale_connections: 0 };
            self.open_connection(request, target.endpoint, target.address, transport);
        } else {
            self.complete(attempt, None, TransportOutcome::Unsent.into());
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
        let last_attempt = request.attempt;
        self.attempts.insert(last_attempt, id);
        let connection = Connection {
            endpoint,
            address,
            state: ConnectionState::Active(request),
            reader: ResponseReader::new(),
            is_reused: false,
            response_at: None,
            previous_response: None,
            previous_status: None,
            last_attempt,
        };
        self.pool.insert(id, connection);
    }

    /// Writes the request of a connected attempt except for its last byte, unless its connection turns out to be unusable
    /// (see [`Requests::check_connection`]).
    pub fn send_all_but_last_byte(
        &mut self,
        now: Time,
        attempt: Attempt,
        bytes: &[u8],
        transport: &mut impl Transport,
    ) {
        let Some((last_byte, first_bytes)) = bytes.split_last() else { return };
        if !self.check_connection(now, attempt, transport) {
            return;
        }
        let Some(&id) = self.attempts.get(&attempt) else { return };
        let Some(request) = self.pool.get_mut(id).and_then(Connection::active) else { return };
        if let RequestPhase::Connected = request.phase {
            let timeout_at = now + LAST_BYTE_DELAY;
            request.phase = RequestPhase::LastByteHeld { last_byte: *last_byte, timeout_at };
            transport.write(id, first_bytes);
        }
    }

    /// Checks that a reused connection has received nothing since its last response, as far as the socket tells in this very
    /// moment; a new connection always passes. Bytes on it are not the response to a request that is not written yet, but
    /// would be taken for it later. If there are any, or the connection has ended, the attempt continues on a new
    /// connection or ends as a failed connect; if its start is in the log, that has to be withdrawn.
    pub fn check_connection(&mut self, now: Time, attempt: Attempt, transport: &mut impl Transport) -> bool {
        let Some(&id) = self.attempts.get(&attempt) else { return true };
        #[cfg(feature = "planted-defects")]
        if is_planted(PlantedDefect::ReuseAtOnce) {
            return true;
        }
        if !self.is_connection_reused(attempt) {
            return true;
        }
        let received = transport.receive_now(id);
        if !received.bytes.is_empty() {
            self.on_bytes(now, id, &received.bytes, transport);
            return false;
        }
        if received.has_ended {
            transport.close(id);
            self.on_closed(now, id, false, transport);
        }
        !received.has_ended
    }

    /// Writes the last byte of an attempt that is ready to commit. The attempt must already be recorded in the log.
    pub fn commit(&mut self, now: Time, attempt: Attempt, transport: &mut impl Transport) {
        let Some(&id) = self.attempts.get(&attempt) else { return };
        let Some(request) = self.pool.get_mut(id).and_then(Connection::active) else { return };
        if let RequestPhase::ReadyToCommit { last_byte } = request.phase {
            request.phase = RequestPhase::Committed { flushed: false, committed_at: now };
            transport.write(id, &[last_byte]);
        }
    }

    /// Aborts an attempt that is not committed and may no longer be sent; its outcome is that it was not started. Its
    /// connection returns to the pool if nothing was written on it and the endpoint is still listed at its address
    /// (`is_listed`), and is closed otherwise.
    pub fn abort_before_send(
        &mut self,
        now: Time,
        attempt: Attempt,
        is_listed: bool,
        transport: &mut impl Transport,
    ) {
        let Some(id) = self.detach(attempt) else { return };
        let request = self.pool.get_mut(id).and_then(Connection::active);
        let is_unwritten = request.is_some_and(|request| matches!(request.phase, RequestPhase::Connected));
        if is_unwritten && is_listed {
            self.pool.make_idle(now, id);
        } else {
            self.pool.close(id, transport);
        }
        self.complete(attempt, Some(id), TransportOutcome::NotStarted.into());
    }

    /// Abandons an attempt without reporting a result; a held response of it counts (see [`Requests::take_held`]). Its connection is not reused, because the late response would be
    /// taken for that of the next request. If the whole request was sent, only the write side is shut down for now: a
    /// `Retry-After` or the end of the message may be on its way, and it applies from the moment the endpoint sends it,
    /// whether or not the response is still awaited.
    pub fn abandon(&mut self, now: Time, attempt: Attempt, transport: &mut impl Transport) {
        let Some(id) = self.detach(attempt) else { return };
        if let Some(held) = self.pool.get(id).and_then(Connection::held_outcome) {
            self.record_doubt_end(now, id, DoubtEnd::AttemptEnded, Some(held));
            return self.pool.close(id, transport);
        }
        match self.pool.get_mut(id) {
            Some(Connection { state, .. }) if is_request_sent(state) => {
                *state = ConnectionState::Abandoned { timeout_at: now + REMAINDER_TIMEOUT };
                transport.shutdown_write(id);
            }
            _ => self.pool.close(id, transport),
        }
    }

    /// Removes an attempt and its queued events, and returns its connection, if it has one.
    fn detach(&mut self, attempt: Attempt) -> Option<ConnectionId> {
        self.connected.retain(|connected| *connected != attempt);
        self.ready_to_commit.retain(|ready| *ready != attempt);
        self.attempts.remove(&attempt)
    }

    fn complete(&mut self, attempt: Attempt, connection: Option<ConnectionId>, result: AttemptResult) {
        self.completed.push(CompletedAttempt { attempt, connection, result });
    }

    fn connection_of(&self, attempt: Attempt) -> Option<&Connection> {
        self.attempts.get(&attempt).and_then(|id| self.pool.get(*id))
    }

    /// The connection of an attempt that has no outcome yet.
    pub fn connection(&self, attempt: Attempt) -> Option<ConnectionId> {
        self.attempts.get(&attempt).copied()
    }

    /// Whether the connection of an attempt has carried an earlier request.
    pub fn is_connection_reused(&self, attempt: Attempt) -> bool {
        self.connection_of(attempt).is_some_and(|connection| connection.is_reused)
    }

    /// The endpoint of an attempt that has no outcome yet.
    pub fn endpoint(&self, attempt: Attempt) -> Option<EndpointId> {
        self.connection_of(attempt).map(|connection| connection.endpoint)
    }

    /// Whether an attempt's endpoint is still listed at the address that its connection leads to.
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

    /// Closes connections without an active attempt to endpoints that a new endpoint list no longer has at the
    /// connection's address.
    pub fn retain_listed(
        &mut self,
        address: impl Fn(EndpointId) -> Option<SocketAddr>,
        transport: &mut impl Transport,
    ) {
        self.reuse.retain_listed(|endpoint| address(endpoint).is_some());
        self.pool.retain_listed(address, transport);
    }

    /// Whether a connection is one of the connections to endpoints.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.pool.contains(connection)
    }

    /// Handles a connection that was established.
    pub fn on_connected(&mut self, connection: ConnectionId) {
        let Some(request) = self.pool.get_mut(connection).and_then(Connection::active) else { return };
        if let RequestPhase::Connecting { .. } = request.phase {
            request.phase = RequestPhase::Connected;
            self.connected.push(request.attempt);
        }
    }

    /// Handles the report that all bytes written on a connection were passed to the operating system.
    pub fn on_flushed(&mut self, connection: ConnectionId) {
        let Some(request) = self.pool.get_mut(connection).and_then(Connection::active) else { return };
        if let RequestPhase::Committed { flushed, .. } = &mut request.phase {
            *flushed = true;
        }
    }

    /// Handles a connection that could not be established or has ended; `clean` means an orderly close by the endpoint.
    /// If it was a reused connection and ended before the request's last byte was written, the attempt continues on a
    /// new connection: the endpoint has not started to process the request and is not necessarily unhealthy.
    pub fn on_closed(
        &mut self,
        now: Time,
        connection: ConnectionId,
        clean: bool,
        transport: &mut impl Transport,
    ) {
        if let Some(credited) = self.pool.get(connection).and_then(Connection::held_outcome) {
            self.record_doubt_end(now, connection, DoubtEnd::ConnectionEnded, Some(credited));
        }
        let Some(mut closed) = self.pool.remove(connection) else { return };
        let request = match closed.state {
            ConnectionState::Active(request) => request,
            // The end of the connection is no further response.
            ConnectionState::Unconfirmed { attempt, result, .. } => {
                self.attempts.remove(&attempt);
                return self.complete(attempt, Some(connection), result);
            }
            _ => return,
        };
        let attempt = request.attempt;
        self.detach(attempt);
        let result = match request.phase {
            RequestPhase::Connected
            | RequestPhase::LastByteHeld { .. }
            | RequestPhase::ReadyToCommit { .. }
                if closed.is_reused && request.stale_connections < MAX_STALE_CONNECTIONS =>
            {
                let phase = RequestPhase::Connecting { timeout_at: now + self.connect_timeout };
                let stale_connections = request.stale_connections + 1;
                let request = ActiveRequest { attempt, phase, stale_connections };
                return self.open_connection(request, closed.endpoint, closed.address, transport);
            }
            RequestPhase::Committed { flushed: true, .. } => closed.reader.end(clean, &self.report_fields),
            // The request was not written completely, so it was never processed.
            _ => Some(TransportOutcome::ConnectFailed.into()),
        };
        if let Some(result) = result {
            self.complete(attempt, Some(connection), result);
        }
    }

    /// The latest time at which [`Requests::on_tick`] must be called, if any connection has a timeout.
    pub fn next_timeout(&self) -> Option<Time> {
        self.pool.next_timeout()
    }

    /// Marks attempts whose last byte was held long enough as ready to commit, and closes connections that timed out.
    pub fn on_tick(&mut self, now: Time, transport: &mut impl Transport) {
        for id in self.pool.timed_out(now) {
            if !self.release_last_byte(id) && !self.confirm(now, id) {
                transport.close(id);
                self.on_closed(now, id, false, transport);
            }
        }
    }

    /// Marks the attempt on a connection as ready to commit if its last byte is held; returns whether it was.
    fn release_last_byte(&mut self, connection: ConnectionId) -> bool {
        let Some(request) = self.pool.get_mut(connection).and_then(Connection::active) else { return false };
        let RequestPhase::LastByteHeld { last_byte, .. } = request.phase else { return false };
        request.phase = RequestPhase::ReadyToCommit { last_byte };
        self.ready_to_commit.push(request.attempt);
        true
    }
}

/// Whether the whole request on a connection was passed to the operating system.
fn is_request_sent(state: &ConnectionState) -> bool {
    match state {
        ConnectionState::Active(request) => {
            matches!(request.phase, RequestPhase::Committed { flushed: true, .. })
        }
        ConnectionState::Unconfirmed { .. }
        | ConnectionState::ReadingRemainder { .. }
        | ConnectionState::Abandoned { .. } => true,
        ConnectionState::Idle { .. } => false,
    }
}
