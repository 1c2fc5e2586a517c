//! Client connections: decoding of commands, turns in which they are executed, timeouts, and eviction above the limits on
//! connections and memory. Nothing here may delay well-behaved clients.

mod disconnect;
mod session;

pub use disconnect::{Disconnect, DisconnectReason};

use crate::transport::ConnectionId;
use cloverstile::Time;
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_memory_budget::Account;
use cloverstile_resp::Command;
use session::Session;
use std::collections::{BTreeMap, VecDeque};

/// Commands of one client that are executed in one turn.
const COMMANDS_PER_CLIENT: usize = 16;
/// Commands of all clients that are executed in one turn. The rest waits, so that responses, timeouts and notifications are
/// looked at in between.
const COMMANDS_PER_TURN: usize = 256;

/// What is due for one client in a turn.
#[derive(Debug, PartialEq, Eq)]
pub struct ClientTurn {
    /// The client's connection.
    pub connection: ConnectionId,
    /// Commands to execute, in order.
    pub commands: Vec<Command>,
    /// Set if the client must be disconnected after the replies to these commands.
    pub disconnect: Option<Disconnect>,
}

/// The connections of all clients.
pub struct ClientSessions {
    sessions: BTreeMap<ConnectionId, Session>,
    max_sessions: usize,
    /// Buffers with received bytes.
    input: Account,
    /// Clients that wait for their turn, the one that waited longest first.
    queue: VecDeque<ConnectionId>,
}

impl ClientSessions {
    /// Creates an empty set of sessions. [`ClientSessions::evict_surplus`] cuts it down to `max_sessions`, and their
    /// received bytes to `max_input_bytes`.
    pub fn new(max_sessions: usize, max_input_bytes: usize) -> Self {
        let input = Account::new(max_input_bytes);
        ClientSessions { sessions: BTreeMap::new(), max_sessions, input, queue: VecDeque::new() }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// The account of received bytes that are not executed yet.
    pub fn input(&mut self) -> &mut Account {
        &mut self.input
    }

    /// The most recently accepted of the current connections.
    pub fn newest(&self) -> Option<ConnectionId> {
        self.sessions.keys().next_back().copied()
    }

    /// Whether a connection is one of these clients'.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.sessions.contains_key(&connection)
    }

    /// Adds a connection that was just accepted.
    pub fn accept(&mut self, now: Time, connection: ConnectionId) {
        self.sessions.insert(connection, Session::new(now));
    }

    /// Adds bytes received on a connection. The commands that they complete wait for the client's turn. Returns whether more
    /// may be read from the connection.
    pub fn on_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8]) -> bool {
        let add = |session: &mut Session| {
            session.on_bytes(now, bytes);
            session.is_receiving()
        };
        self.update(connection, add).unwrap_or(false)
    }

    /// The client closed its sending side: it is disconnected once its commands are executed.
    pub fn on_peer_finished(&mut self, connection: ConnectionId) {
        self.update(connection, Session::on_peer_finished);
    }

    /// Changes a session, charges its memory, and queues it if it has work.
    fn update<T>(&mut self, connection: ConnectionId, change: impl FnOnce(&mut Session) -> T) -> Option<T> {
        let session = self.sessions.get_mut(&connection)?;
        let held = session.allocated_bytes();
        let result = change(session);
        self.input.resize(held, session.allocated_bytes());
        if session.has_work() && !session.is_queued {
            session.is_queued = true;
            self.queue.push_back(connection);
        }
        Some(result)
    }

    /// Whether a client waits for its turn.
    pub fn has_work(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Takes the commands that are executed in this turn, a few of each client that has some, and the clients that must be
    /// disconnected after their last one.
    pub fn take_turn(&mut self) -> Vec<ClientTurn> {
        let mut turns = Vec::new();
        let mut commands_left = COMMANDS_PER_TURN;
        for _ in 0..self.queue.len() {
            if commands_left == 0 {
                break;
            }
            let Some(connection) = self.queue.pop_front() else { break };
            let most = commands_left.min(COMMANDS_PER_CLIENT);
            let Some(turn) = self.take_client_turn(connection, most) else { continue };
            commands_left -= turn.commands.len();
            turns.push(turn);
        }
        turns
    }

    fn take_client_turn(&mut self, connection: ConnectionId, most: usize) -> Option<ClientTurn> {
        let take = |session: &mut Session| {
            session.is_queued = false;
            session.take_commands(most)
        };
        let commands = self.update(connection, take)?;
        let ending = self.sessions.get(&connection).and_then(|session| session.due_ending().cloned());
        let disconnect = ending.and_then(|reason| self.disconnect(connection, reason));
        Some(ClientTurn { connection, commands, disconnect })
    }

    /// Removes and returns connections until no more than the maximum are left and their received bytes are within the
    /// limit. Call it only after all received bytes have been passed to [`ClientSessions::on_bytes`]: a connection with
    /// unprocessed bytes is not idle.
    ///
    /// Above the connection limit, clients in the middle of a command that has taken long go first, then idle ones, the
    /// longest idle before the others, as their clients can send the next request on a new connection; then those that
    /// have sent nothing yet, and last those whose command may be on its way.
    pub fn evict_surplus(&mut self, now: Time) -> Vec<Disconnect> {
        let mut evicted = Vec::new();
        while self.sessions.len() > self.max_sessions {
            let lowest = self.sessions.iter().min_by_key(|(_, session)| session.eviction_rank(now));
            let Some(connection) = lowest.map(|(connection, _)| *connection) else { break };
            evicted.extend(self.disconnect(connection, DisconnectReason::ConnectionLimit));
        }
        #[cfg(feature = "planted-defects")]
        if is_planted(PlantedDefect::UnboundedInput) {
            return evicted;
        }
        while self.input.is_over_limit() {
            let Some(connection) = self.largest_holder() else { break };
            evicted.extend(self.disconnect(connection, DisconnectReason::MemoryLimit));
        }
        evicted
    }

    /// The client to disconnect for its memory: of those that hold more than an equal share of the limit the one whose
    /// command has taken longest. Clients with small commands never pay for the others.
    fn largest_holder(&self) -> Option<ConnectionId> {
        let equal_share = self.input.limit() / self.sessions.len().max(1);
        let holders = self.sessions.iter().filter(|(_, session)| session.allocated_bytes() > equal_share);
        holders.min_by_key(|(_, session)| session.memory_eviction_rank()).map(|(connection, _)| *connection)
    }

    /// Removes and returns all connections, for the shutdown of the gateway.
    pub fn take_all(&mut self) -> Vec<Disconnect> {
        let connections: Vec<ConnectionId> = self.sessions.keys().copied().collect();
        connections
            .into_iter()
            .filter_map(|connection| self.disconnect(connection, DisconnectReason::Shutdown))
            .collect()
    }

    /// Removes a connection for a reason that none of its client's commands caused.
    fn disconnect(&mut self, connection: ConnectionId, reason: DisconnectReason) -> Option<Disconnect> {
        let session = self.remove_session(connection)?;
        let refused_commands = session.unexecuted_commands();
        Some(Disconnect { connection, refused_commands, reason: session.reason_or_interruption(reason) })
    }

    /// Removes a connection that was closed. Its commands that were not executed are dropped, as nobody waits for their
    /// replies; returns their number.
    pub fn remove(&mut self, connection: ConnectionId) -> usize {
        self.remove_session(connection).map_or(0, |session| session.unexecuted_commands())
    }

    /// Removes a session, and its buffer from the account.
    fn remove_session(&mut self, connection: ConnectionId) -> Option<Session> {
        let session = self.sessions.remove(&connection)?;
        self.input.resize(session.allocated_bytes(), 0);
        if session.is_queued {
            self.queue.retain(|queued| *queued != connection);
        }
        Some(session)
    }

    /// When [`ClientSessions::on_tick`] must be called next; `None` if no client can time out.
    pub fn next_timeout(&self) -> Option<Time> {
        self.sessions.values().filter_map(Session::timeout_at).min()
    }

    /// Removes and returns the clients that have timed out.
    pub fn on_tick(&mut self, now: Time) -> Vec<Disconnect> {
        let is_due = |session: &Session| session.timeout_at().is_some_and(|timeout_at| timeout_at <= now);
        let due: Vec<ConnectionId> = self.connections(is_due);
        let time_out = |connection| {
            let session = self.remove_session(connection)?;
            Some(Disconnect { connection, refused_commands: 0, reason: session.timeout_reason() })
        };
        due.into_iter().filter_map(time_out).collect()
    }

    /// Removes and returns the idle connections, which may be closed at any time. Connections that have sent nothing
    /// yet stay: their first request may already be in transit, and would fail if the connection were closed.
    pub fn take_idle(&mut self) -> Vec<ConnectionId> {
        let idle = self.connections(Session::is_idle);
        idle.iter().for_each(|connection| drop(self.remove_session(*connection)));
        idle
    }

    /// The connections whose session satisfies a condition.
    fn connections(&self, condition: impl Fn(&Session) -> bool) -> Vec<ConnectionId> {
        let matching = self.sessions.iter().filter(|(_, session)| condition(session));
        matching.map(|(connection, _)| *connection).collect()
    }
}
