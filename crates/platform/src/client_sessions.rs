//! Clients' connections: the commands on them, and which are closed when. Nothing here may delay well-behaved clients.

use crate::transport::ConnectionId;
use cloverstile::Time;
use cloverstile_resp::{Command, Decoder, Limits, RespError};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a connection may send nothing after it was accepted. Some usual clients connect seconds ahead of their first
/// request, which fails if the connection is closed before it; connections that never send anything must be closed
/// within 3 s.
const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(2800);
/// How long a command may take from its first byte to its last.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long a connection may be idle after its last reply.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Most commands that one connection may send at once: a usual client waits for its replies.
const MAX_PIPELINED_COMMANDS: usize = 128;

/// What a client has sent.
enum SessionState {
    /// Nothing yet.
    AwaitingFirstCommand,
    /// Whole commands, and nothing after them.
    Idle,
    /// Part of a command.
    ReceivingCommand {
        /// Time of its first byte.
        since: Time,
    },
}

struct Session {
    decoder: Decoder,
    accepted_at: Time,
    /// Time of the last byte received, or when the connection was accepted.
    last_byte_at: Time,
    has_sent_command: bool,
    /// Time of the first byte of a command that is not complete.
    partial_command_since: Option<Time>,
}

impl Session {
    fn state(&self) -> SessionState {
        match self.partial_command_since {
            Some(since) => SessionState::ReceivingCommand { since },
            None if self.has_sent_command => SessionState::Idle,
            None => SessionState::AwaitingFirstCommand,
        }
    }

    /// When the client is disconnected if nothing more is received.
    fn timeout(&self) -> Time {
        match self.state() {
            SessionState::ReceivingCommand { since } => since + COMMAND_TIMEOUT,
            SessionState::Idle => self.last_byte_at + IDLE_TIMEOUT,
            SessionState::AwaitingFirstCommand => self.accepted_at + FIRST_COMMAND_TIMEOUT,
        }
    }

    /// Why it is disconnected for `reason`, which is not the client's doing.
    fn reason_or_interruption(&self, reason: DisconnectReason) -> DisconnectReason {
        match self.state() {
            SessionState::ReceivingCommand { .. } => DisconnectReason::CommandInterrupted,
            SessionState::Idle | SessionState::AwaitingFirstCommand => reason,
        }
    }

    fn timeout_reason(&self) -> DisconnectReason {
        match self.state() {
            SessionState::ReceivingCommand { .. } => DisconnectReason::CommandTimeout,
            SessionState::Idle | SessionState::AwaitingFirstCommand => DisconnectReason::IdleTimeout,
        }
    }

    /// Order in which clients are disconnected where there are too many: least first.
    fn eviction_rank(&self) -> (u8, Time) {
        let rank = match self.state() {
            SessionState::Idle => 0,
            SessionState::AwaitingFirstCommand => 1,
            SessionState::ReceivingCommand { .. } => 2,
        };
        (rank, self.last_byte_at)
    }
}

/// Why a client is disconnected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// Its bytes are not RESP.
    ProtocolError(RespError),
    /// It sent more commands at once than are answered.
    TooManyCommands,
    /// A command took too long from its first byte to its last.
    CommandTimeout,
    /// It sent nothing for too long.
    IdleTimeout,
    /// It has ended its sending.
    ClientFinished,
    /// There are too many connections, and another client connected.
    ConnectionLimit,
    /// The gateway ends.
    Shutdown,
    /// In the middle of a command, for another reason than the command: part of it was read, and gets a reply.
    CommandInterrupted,
}

impl DisconnectReason {
    /// Text of the error reply ahead of the close, if there is one.
    pub fn error_text(&self) -> Option<String> {
        match self {
            DisconnectReason::ProtocolError(error) => Some(format!("ERR protocol: {error}")),
            DisconnectReason::TooManyCommands => {
                Some(format!("ERR more than {MAX_PIPELINED_COMMANDS} commands at once"))
            }
            DisconnectReason::CommandTimeout => {
                Some(format!("ERR a command took longer than {COMMAND_TIMEOUT:?}"))
            }
            DisconnectReason::CommandInterrupted => Some("BUSY".to_owned()),
            DisconnectReason::IdleTimeout
            | DisconnectReason::ClientFinished
            | DisconnectReason::ConnectionLimit
            | DisconnectReason::Shutdown => None,
        }
    }
}

/// What the bytes of a client held.
#[derive(Debug)]
pub struct ReceivedCommands {
    /// Complete commands, in order.
    pub commands: Vec<Command>,
    /// Number of further commands that were read, beside the one that the disconnect's error answers: not to be executed.
    pub refused_commands: usize,
    /// Why the client must be disconnected after the replies to these commands, if it must.
    pub disconnect: Option<DisconnectReason>,
}

/// A client that must be disconnected now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disconnect {
    /// Its connection.
    pub connection: ConnectionId,
    /// Why.
    pub reason: DisconnectReason,
}

/// All clients' connections.
pub struct ClientSessions {
    sessions: BTreeMap<ConnectionId, Session>,
    max_sessions: usize,
    limits: Limits,
}

impl ClientSessions {
    /// No connections; at most so many at once.
    pub fn new(max_sessions: usize) -> Self {
        ClientSessions { sessions: BTreeMap::new(), max_sessions, limits: Limits::default() }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// The connection that was accepted last, of those that are left.
    pub fn newest(&self) -> Option<ConnectionId> {
        self.sessions.keys().next_back().copied()
    }

    /// Whether a connection is a client's.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.sessions.contains_key(&connection)
    }

    /// Adds a connection that was accepted.
    pub fn accept(&mut self, now: Time, connection: ConnectionId) {
        let session = Session {
            decoder: Decoder::new(self.limits),
            accepted_at: now,
            last_byte_at: now,
            has_sent_command: false,
            partial_command_since: None,
        };
        self.sessions.insert(connection, session);
    }

    /// Removes and returns connections until there are no more than allowed: of those between two requests the one idle
    /// the longest, as its next request only needs another connection; then of those that have sent nothing yet. Call it
    /// once all that was read is handled: a connection whose bytes are on their way here is not idle.
    pub fn evict_surplus(&mut self) -> Vec<Disconnect> {
        let mut evicted = Vec::new();
        while self.sessions.len() > self.max_sessions {
            let least = self.sessions.iter().min_by_key(|(_, session)| session.eviction_rank());
            let Some(connection) = least.map(|(connection, _)| *connection) else { break };
            evicted.extend(self.disconnect(connection, DisconnectReason::ConnectionLimit));
        }
        evicted
    }

    /// Removes and returns all connections, as the gateway ends.
    pub fn take_all(&mut self) -> Vec<Disconnect> {
        let connections: Vec<ConnectionId> = self.sessions.keys().copied().collect();
        connections
            .into_iter()
            .filter_map(|connection| self.disconnect(connection, DisconnectReason::Shutdown))
            .collect()
    }

    /// Removes a connection for a reason that is not its client's doing.
    fn disconnect(&mut self, connection: ConnectionId, reason: DisconnectReason) -> Option<Disconnect> {
        let session = self.sessions.remove(&connection)?;
        Some(Disconnect { connection, reason: session.reason_or_interruption(reason) })
    }

    /// The client has ended its sending: removes its connection, which is closed behind its replies.
    pub fn on_peer_finished(&mut self, connection: ConnectionId) -> Option<Disconnect> {
        self.disconnect(connection, DisconnectReason::ClientFinished)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.sessions.remove(&connection);
    }

    /// Bytes were received on a connection: the complete commands among them. A client that must be disconnected is
    /// removed.
    pub fn on_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8]) -> ReceivedCommands {
        let mut received = ReceivedCommands { commands: Vec::new(), refused_commands: 0, disconnect: None };
        let Some(session) = self.sessions.get_mut(&connection) else { return received };
        session.last_byte_at = now;
        session.decoder.feed(bytes);
        received.disconnect = loop {
            match session.decoder.next_command() {
                Ok(Some(_)) if received.commands.len() == MAX_PIPELINED_COMMANDS => {
                    break Some(DisconnectReason::TooManyCommands);
                }
                Ok(Some(command)) => received.commands.push(command),
                Ok(None) => break None,
                Err(error) => break Some(DisconnectReason::ProtocolError(error)),
            }
        };
        if !received.commands.is_empty() {
            session.has_sent_command = true;
            session.partial_command_since = None;
        }
        let since = session.partial_command_since.unwrap_or(now);
        session.partial_command_since = (session.decoder.buffered_bytes() > 0).then_some(since);
        if received.disconnect == Some(DisconnectReason::TooManyCommands) {
            received.refused_commands = count_commands(&mut session.decoder);
        }
        if received.disconnect.is_some() {
            self.sessions.remove(&connection);
        }
        received
    }

    /// When [`ClientSessions::on_tick`] has something to do next.
    pub fn next_timeout(&self) -> Option<Time> {
        self.sessions.values().map(Session::timeout).min()
    }

    /// Removes and returns the clients that have timed out.
    pub fn on_tick(&mut self, now: Time) -> Vec<Disconnect> {
        let timed_out: Vec<Disconnect> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.timeout() <= now)
            .map(|(connection, session)| Disconnect {
                connection: *connection,
                reason: session.timeout_reason(),
            })
            .collect();
        timed_out.iter().for_each(|client| self.remove(client.connection));
        timed_out
    }

    /// Removes and returns the connections between two requests, which may be closed at any time. Those that have sent
    /// nothing yet stay: their first request is on its way, and would fail with its connection.
    pub fn take_idle(&mut self) -> Vec<ConnectionId> {
        let is_idle = |session: &Session| matches!(session.state(), SessionState::Idle);
        let idle: Vec<ConnectionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_idle(session))
            .map(|(connection, _)| *connection)
            .collect();
        idle.iter().for_each(|connection| self.remove(*connection));
        idle
    }
}

/// How many commands a decoder holds, one that is not complete among them.
fn count_commands(decoder: &mut Decoder) -> usize {
    let mut complete = 0;
    while let Ok(Some(_)) = decoder.next_command() {
        complete += 1;
    }
    complete + usize::from(decoder.buffered_bytes() > 0)
}
