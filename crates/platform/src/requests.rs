//! Calls out and the connections that they travel on: one call at a time on each.

use crate::response::{AttemptResult, ConnectionReuse, ReportFields, ResponseReader};
use crate::{ConnectionId, Transport};
use cloverstile::{EndpointId, Time};
use cloverstile_engine::{Attempt, TransportOutcome};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// An idle connection is closed by us after this part of the time after which the other side may close it: a
/// request that crosses its close would end as a reset, which may have run.
const IDLE_PART: f64 = 0.7;
/// A call's last byte is held back for so long behind the others: a connection that was closed meanwhile answers them
/// with a reset, and an endpoint begins a call with its last byte. What breaks before it never ran.
const HELD_BACK: Duration = Duration::from_millis(1);
/// Kept connections that one attempt may find closed before it counts as failed.
const MOST_STALE: u8 = 2;
/// How long the rest of an answer may take whose outcome is known already, and one that nobody waits for any more.
const REST: Duration = Duration::from_secs(1);

enum State {
    Connecting {
        until: Time,
    },
    /// Connected, for an attempt whose bytes are asked for.
    Ready,
    /// All but its last byte is written.
    Held {
        last: u8,
        until: Time,
    },
    /// Time for its last byte, which waits for the log.
    Due {
        last: u8,
    },
    /// Bytes were handed over; whether all of them are with the system.
    Sent {
        written: bool,
    },
    /// The outcome is told, the answer not over.
    Finishing {
        until: Time,
    },
    /// Given up, and told so by the end of our sending: only a wait that the answer tells still counts.
    GivenUp {
        until: Time,
    },
    Idle {
        until: Time,
    },
}

impl State {
    /// When it has taken long enough, where that is for us to say.
    fn until(&self) -> Option<Time> {
        match self {
            State::Connecting { until }
            | State::Held { until, .. }
            | State::Finishing { until }
            | State::GivenUp { until }
            | State::Idle { until } => Some(*until),
            State::Ready | State::Due { .. } | State::Sent { .. } => None,
        }
    }
}

struct Conn {
    endpoint: EndpointId,
    address: SocketAddr,
    attempt: Option<Attempt>,
    state: State,
    reader: ResponseReader,
    /// It carried a call before.
    kept: bool,
    /// Kept connections that this attempt found closed.
    stale: u8,
}

/// What the platform allows of connections.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Time after which a connection that is not established has failed.
    pub connect_timeout: Duration,
    /// Time after which the endpoint closes an idle connection.
    pub idle_timeout: Duration,
    /// Most connections to endpoints at once; a request that would need one more is not sent.
    pub max_connections: usize,
    /// Fields of the load reports in responses.
    pub report_fields: ReportFields,
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

/// All calls out.
pub struct Requests {
    terms: ConnectionLimits,
    conns: BTreeMap<ConnectionId, Conn>,
    attempts: HashMap<Attempt, ConnectionId>,
    /// Idle ones of an endpoint, the one used last behind.
    idle: HashMap<EndpointId, Vec<ConnectionId>>,
    ready: Vec<Attempt>,
    due: Vec<Attempt>,
    ended: Vec<CompletedAttempt>,
    waits: Vec<RetryAfter>,
}

impl Requests {
    /// No calls.
    pub fn new(terms: ConnectionLimits) -> Self {
        let (conns, attempts, idle) = (BTreeMap::new(), HashMap::new(), HashMap::new());
        let (ready, due, ended, waits) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        Requests { terms, conns, attempts, idle, ready, due, ended, waits }
    }

    /// Attempts that are out or on their way.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Connections open or coming up.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// Attempts whose connection is there: their bytes are wanted.
    pub fn take_connected(&mut self) -> Vec<Attempt> {
        std::mem::take(&mut self.ready)
    }

    /// Attempts whose last byte is due, once the log has their beginning.
    pub fn take_ready_to_commit(&mut self) -> Vec<Attempt> {
        std::mem::take(&mut self.due)
    }

    /// Attempts that ended, in order.
    pub fn take_completed(&mut self) -> Vec<CompletedAttempt> {
        std::mem::take(&mut self.ended)
    }

    /// Waits that heads of answers told, from now on.
    pub fn take_retry_after(&mut self) -> Vec<RetryAfter> {
        std::mem::take(&mut self.waits)
    }

    /// Whether something ended or is ready and was not taken.
    pub fn has_pending_events(&self) -> bool {
        !self.ready.is_empty() || !self.due.is_empty() || !self.ended.is_empty()
    }

    /// Gets a connection for an attempt; it is ready at once where one is idle.
    pub fn connect(
        &mut self,
        now: Time,
        attempt: Attempt,
        endpoint: EndpointId,
        address: SocketAddr,
        wires: &mut impl Transport,
    ) {
        while let Some(wire) = self.idle.get_mut(&endpoint).and_then(Vec::pop) {
            let Some(conn) = self.conns.get_mut(&wire) else { continue };
            // Past its time by now: the other side may be closing it at this moment.
            let late = matches!(conn.state, State::Idle { until } if until <= now);
            if late || conn.address != address {
                self.close(wire, wires);
                continue;
            }
            (conn.attempt, conn.state, conn.reader) = (Some(attempt), State::Ready, ResponseReader::new());
            conn.stale = 0;
            self.attempts.insert(attempt, wire);
            self.ready.push(attempt);
            return;
        }
        if self.conns.len() >= self.terms.max_connections && !self.close_longest_idle(wires) {
            self.completed(attempt, TransportOutcome::Unsent.into());
            return;
        }
        self.open_connection(now, attempt, (endpoint, address), 0, wires);
    }

    fn open_connection(
        &mut self,
        now: Time,
        attempt: Attempt,
        (endpoint, address): (EndpointId, SocketAddr),
        stale: u8,
        wires: &mut impl Transport,
    ) {
        let wire = wires.connect(address);
        let state = State::Connecting { until: now + self.terms.connect_timeout };
        self.attempts.insert(attempt, wire);
        let (attempt, reader, kept) = (Some(attempt), ResponseReader::new(), false);
        self.conns.insert(wire, Conn { endpoint, address, attempt, state, reader, kept, stale });
    }

    fn close_longest_idle(&mut self, wires: &mut impl Transport) -> bool {
        let until = |conn: &Conn| match conn.state {
            State::Idle { until } | State::Finishing { until } | State::GivenUp { until } => Some(until),
            _ => None,
        };
        let longest = self.conns.iter().filter_map(|(wire, conn)| Some((until(conn)?, *wire))).min();
        longest.map(|(_, wire)| self.close(wire, wires)).is_some()
    }

    /// Writes a ready attempt's call but for its last byte.
    pub fn send_all_but_last_byte(
        &mut self,
        now: Time,
        attempt: Attempt,
        bytes: &[u8],
        wires: &mut impl Transport,
    ) {
        let Some(wire) = self.attempts.get(&attempt).copied() else { return };
        let Some((last, first)) = bytes.split_last() else { return };
        if let Some(conn) = self.conns.get_mut(&wire).filter(|conn| matches!(conn.state, State::Ready)) {
            conn.state = State::Held { last: *last, until: now + HELD_BACK };
            wires.write(wire, first);
        }
    }

    /// Writes an attempt's last byte. The log has its beginning.
    pub fn commit(&mut self, attempt: Attempt, wires: &mut impl Transport) {
        let Some(wire) = self.attempts.get(&attempt).copied() else { return };
        let Some(conn) = self.conns.get_mut(&wire) else { return };
        if let State::Due { last } = conn.state {
            conn.state = State::Sent { written: false };
            wires.write(wire, &[last]);
        }
    }

    /// An attempt that is ready or due may not go: it is as if it had never been decided on. Its connection stays for
    /// the next one, where nothing was written on it and its endpoint is listed there.
    pub fn abort_before_send(
        &mut self,
        now: Time,
        attempt: Attempt,
        listed: bool,
        wires: &mut impl Transport,
    ) {
        self.forget(attempt);
        let Some(wire) = self.attempts.remove(&attempt) else { return };
        match self.conns.get(&wire).map(|conn| &conn.state) {
            Some(State::Ready) if listed => self.rest(now, wire),
            _ => self.close(wire, wires),
        }
        self.completed(attempt, TransportOutcome::NotStarted.into());
    }

    fn conn_of(&self, attempt: Attempt) -> Option<&Conn> {
        self.attempts.get(&attempt).and_then(|wire| self.conns.get(wire))
    }

    /// Where an attempt goes.
    pub fn endpoint(&self, attempt: Attempt) -> Option<EndpointId> {
        self.conn_of(attempt).map(|conn| conn.endpoint)
    }

    /// Whether an attempt's endpoint is still listed where its connection leads.
    pub fn targets_listed_endpoint(
        &self,
        attempt: Attempt,
        address: impl Fn(EndpointId) -> Option<SocketAddr>,
    ) -> bool {
        self.conn_of(attempt).is_some_and(|conn| address(conn.endpoint) == Some(conn.address))
    }

    /// An attempt is not sent after all. Its connection goes: it may hold the better part of a call.
    pub fn discard_uncommitted(&mut self, attempt: Attempt, wires: &mut impl Transport) {
        if let Some(wire) = self.attempts.remove(&attempt) {
            self.forget(attempt);
            self.close(wire, wires);
            self.completed(attempt, TransportOutcome::Unsent.into());
        }
    }

    /// Nobody waits for an attempt any longer. Its answer must not be taken for another's, so its connection goes; where
    /// the call left whole, only our side of it at first. Guards against a wait that is on its way at this moment: it
    /// binds from its writing on, whoever still reads it.
    pub fn abandon(&mut self, now: Time, attempt: Attempt, wires: &mut impl Transport) {
        self.forget(attempt);
        let Some(wire) = self.attempts.remove(&attempt) else { return };
        match self.conns.get_mut(&wire) {
            Some(conn) if matches!(conn.state, State::Sent { written: true }) => {
                (conn.attempt, conn.state) = (None, State::GivenUp { until: now + REST });
                wires.shutdown_write(wire);
            }
            _ => self.close(wire, wires),
        }
    }

    fn completed(&mut self, attempt: Attempt, result: AttemptResult) {
        self.ended.push(CompletedAttempt { attempt, result });
    }

    fn forget(&mut self, attempt: Attempt) {
        self.ready.retain(|ready| *ready != attempt);
        self.due.retain(|due| *due != attempt);
    }

    fn close(&mut self, wire: ConnectionId, wires: &mut impl Transport) {
        self.remove(wire);
        wires.close(wire);
    }

    fn remove(&mut self, wire: ConnectionId) -> Option<Conn> {
        let conn = self.conns.remove(&wire)?;
        if let Some(idle) = self.idle.get_mut(&conn.endpoint) {
            idle.retain(|other| *other != wire);
            if idle.is_empty() {
                self.idle.remove(&conn.endpoint);
            }
        }
        Some(conn)
    }

    /// A connection becomes idle.
    fn rest(&mut self, now: Time, wire: ConnectionId) {
        if let Some(conn) = self.conns.get_mut(&wire) {
            (conn.attempt, conn.state) =
                (None, State::Idle { until: now + self.terms.idle_timeout.mul_f64(IDLE_PART) });
            (conn.reader, conn.kept) = (ResponseReader::new(), true);
            self.idle.entry(conn.endpoint).or_default().push(wire);
        }
    }

    /// Idle connections to an endpoint are closed.
    pub fn close_idle(&mut self, endpoint: EndpointId, wires: &mut impl Transport) {
        for wire in self.idle.remove(&endpoint).unwrap_or_default() {
            self.conns.remove(&wire);
            wires.close(wire);
        }
    }

    /// The list has changed: idle connections to what is gone, or elsewhere now, are closed.
    pub fn retain_listed(
        &mut self,
        address: impl Fn(EndpointId) -> Option<SocketAddr>,
        wires: &mut impl Transport,
    ) {
        let moved = |conn: &Conn| {
            let listens = matches!(conn.state, State::GivenUp { .. });
            conn.attempt.is_none() && !listens && address(conn.endpoint) != Some(conn.address)
        };
        let gone: Vec<ConnectionId> =
            self.conns.iter().filter(|(_, conn)| moved(conn)).map(|(wire, _)| *wire).collect();
        gone.into_iter().for_each(|wire| self.close(wire, wires));
    }

    /// Whether a connection is one of these.
    pub fn owns(&self, wire: ConnectionId) -> bool {
        self.conns.contains_key(&wire)
    }

    /// A connection is there.
    pub fn on_connected(&mut self, wire: ConnectionId) {
        let Some(conn) = self.conns.get_mut(&wire) else { return };
        if let (State::Connecting { .. }, Some(attempt)) = (&conn.state, conn.attempt) {
            conn.state = State::Ready;
            self.ready.push(attempt);
        }
    }

    /// All bytes of a call are with the system.
    pub fn on_flushed(&mut self, wire: ConnectionId) {
        if let Some(State::Sent { written }) = self.conns.get_mut(&wire).map(|conn| &mut conn.state) {
            *written = true;
        }
    }

    /// A connection failed to come up, or ended. Where it was kept and broke before the call's last byte, the attempt
    /// goes on with a new one: nothing was begun, and the endpoint need not be worse for it.
    pub fn on_closed(&mut self, now: Time, wire: ConnectionId, clean: bool, wires: &mut impl Transport) {
        let Some(mut conn) = self.remove(wire) else { return };
        let Some(attempt) = conn.attempt else { return };
        self.forget(attempt);
        self.attempts.remove(&attempt);
        let told = match conn.state {
            State::Ready | State::Held { .. } | State::Due { .. } if conn.kept && conn.stale < MOST_STALE => {
                let to = (conn.endpoint, conn.address);
                return self.open_connection(now, attempt, to, conn.stale + 1, wires);
            }
            // What broke before the call's last byte was written never ran.
            State::Sent { written: true } => conn.reader.end(clean, &self.terms.report_fields),
            _ => Some(TransportOutcome::ConnectFailed.into()),
        };
        self.ended.extend(told.map(|result| CompletedAttempt { attempt, result }));
    }

    /// Bytes came.
    pub fn on_bytes(&mut self, now: Time, wire: ConnectionId, bytes: &[u8], wires: &mut impl Transport) {
        let Some(conn) = self.conns.get_mut(&wire) else { return };
        let sent = match conn.state {
            State::Sent { written } => Some(written),
            State::Finishing { .. } | State::GivenUp { .. } => Some(true),
            // Nothing was asked: a late copy or noise, which a later call would take for its answer.
            State::Idle { .. } => return self.close(wire, wires),
            State::Connecting { .. } | State::Ready | State::Held { .. } | State::Due { .. } => None,
        };
        let read = conn.reader.on_bytes(Duration::from_nanos(now.0), bytes, &self.terms.report_fields);
        self.waits.extend(read.retry_after.map(|delay| RetryAfter { endpoint: conn.endpoint, delay }));
        let Some(sent) = sent else {
            // What comes before the call is whole answers nothing: it is noise, or a refusal of the connection.
            wires.close(wire);
            return self.on_closed(now, wire, false, wires);
        };
        if let (Some(result), Some(attempt)) = (read.result, conn.attempt) {
            self.attempts.remove(&attempt);
            self.ended.push(CompletedAttempt { attempt, result });
            conn.state = State::Finishing { until: now + REST };
            conn.attempt = None;
        }
        let given_up = matches!(conn.state, State::GivenUp { .. });
        match read.reuse {
            // Its outcome is settled; what follows tells nothing more.
            _ if given_up && (read.result.is_some() || read.retry_after.is_some()) => self.close(wire, wires),
            ConnectionReuse::Incomplete => {}
            // An answer that came before the call was written whole leaves the rest of it in the way.
            ConnectionReuse::Reusable if sent => self.rest(now, wire),
            ConnectionReuse::Reusable | ConnectionReuse::Unusable => self.close(wire, wires),
        }
    }

    /// When [`Requests::on_tick`] must be called at the latest.
    pub fn next_timeout(&self) -> Option<Time> {
        self.conns.values().filter_map(|conn| conn.state.until()).min()
    }

    /// Ends what has taken too long, and tells whose last byte is due.
    pub fn on_tick(&mut self, now: Time, wires: &mut impl Transport) {
        let mut late = Vec::new();
        for (wire, conn) in &mut self.conns {
            if conn.state.until().is_none_or(|until| until > now) {
                continue;
            }
            if let State::Held { last, .. } = conn.state {
                conn.state = State::Due { last };
                self.due.extend(conn.attempt);
            } else {
                late.push(*wire);
            }
        }
        for wire in late {
            wires.close(wire);
            self.on_closed(now, wire, false, wires);
        }
    }
}
