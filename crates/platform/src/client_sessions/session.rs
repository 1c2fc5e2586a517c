//! One client connection: what was received on it, and how far its client has got.

use super::disconnect::DisconnectReason;
use cloverstile::Time;
use cloverstile_resp::{Command, Decoder, Limits};
use std::time::Duration;

/// Maximum time from accepting a connection to the first byte of a command. Some well-behaved clients connect seconds
/// before their first request, which fails if the connection is closed first. Connections that never send anything must
/// be closed within 3 s.
const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(2800);
/// Maximum time from the first byte of a command to its last.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(1200);
/// Maximum time that a connection may be idle after the last bytes that it received.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Maximum number of commands of a connection that wait for their execution. A well-behaved client waits for replies
/// before it sends this many.
pub(super) const MAX_PIPELINED_COMMANDS: usize = 128;
/// Age from which an incomplete command counts as slow. Commands that are written at once arrive faster.
const SLOW_COMMAND_AGE: Duration = Duration::from_millis(20);

/// How far a client has got in sending commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionState {
    /// No command yet, not even part of one.
    AwaitingFirstCommand,
    /// It sent complete commands, and nothing after them.
    Idle,
    /// It sent part of a command, and all commands before it are executed.
    ReceivingCommand {
        /// When the first byte of the command was received.
        since: Time,
    },
    /// Commands wait for their execution, or it must be disconnected.
    HasWork,
}

/// Which of several sessions is closed first, for lack of connections; the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// In the middle of a command for longer than a command takes that is written at once.
    SlowCommand,
    /// Its client can send the next request on a new connection.
    Idle,
    /// Its first request would fail.
    AwaitingFirstCommand,
    /// In the middle of a command.
    ReceivingCommand,
    /// Commands were read that are not answered yet.
    HasWork,
}

/// A client connection and what was received on it.
pub(super) struct Session {
    decoder: Decoder,
    accepted_at: Time,
    /// When bytes were last received; before that, when the connection was accepted.
    last_byte_at: Time,
    has_sent_command: bool,
    /// When the first byte of the incomplete command was received, if there is one.
    partial_command_since: Option<Time>,
    /// Commands behind those in the decoder that must not be executed, because there are too many.
    surplus_commands: usize,
    /// Why the client must be disconnected once its commands are executed.
    ending: Option<DisconnectReason>,
    /// The client closed its sending side: it has left, or waits for its last replies.
    has_peer_finished: bool,
    /// It waits for its turn to have commands executed.
    pub is_queued: bool,
}

impl Session {
    /// Creates the session of a connection that was just accepted.
    pub fn new(now: Time) -> Self {
        Session {
            decoder: Decoder::new(Limits::default()),
            accepted_at: now,
            last_byte_at: now,
            has_sent_command: false,
            partial_command_since: None,
            surplus_commands: 0,
            ending: None,
            has_peer_finished: false,
            is_queued: false,
        }
    }

    /// Adds received bytes.
    pub fn on_bytes(&mut self, now: Time, bytes: &[u8]) {
        if self.ending.is_some() {
            return;
        }
        self.last_byte_at = now;
        let complete_before = self.decoder.complete_commands();
        self.decoder.feed(bytes);
        if self.decoder.complete_commands() > complete_before {
            self.has_sent_command = true;
            self.partial_command_since = None;
        }
        let since = self.partial_command_since.unwrap_or(now);
        self.partial_command_since = self.decoder.has_partial_command().then_some(since);
        if let Some(surplus) = self.decoder.complete_commands().checked_sub(MAX_PIPELINED_COMMANDS + 1) {
            // The error reply answers the first command above the limit.
            self.surplus_commands = surplus + usize::from(self.decoder.has_partial_command());
            self.decoder.keep_first(MAX_PIPELINED_COMMANDS);
            self.ending = Some(DisconnectReason::TooManyCommands);
        } else if let Some(error) = self.decoder.error() {
            self.ending = Some(DisconnectReason::ProtocolError(error.clone()));
        }
    }

    /// The client closed its sending side.
    pub fn on_peer_finished(&mut self) {
        self.has_peer_finished = true;
        let reason = self.reason_or_interruption(DisconnectReason::ClientFinished);
        self.ending.get_or_insert(reason);
    }

    /// Whether further bytes may be read: not once it is certain that the client will be disconnected, as nobody would answer
    /// the commands in them.
    pub fn is_receiving(&self) -> bool {
        self.ending.is_none()
    }

    /// Whether it needs a turn: commands may be executed, or the client must be disconnected.
    pub fn has_work(&self) -> bool {
        self.decoder.complete_commands() > 0 || self.ending.is_some()
    }

    /// Takes the commands to execute in one turn, at most `most`.
    ///
    /// A client that closed its sending side gets one command executed at a time: if it has left, the reply meets a closed
    /// socket, and the reset that comes back ends the session before the next one.
    pub fn take_commands(&mut self, most: usize) -> Vec<Command> {
        let most = if self.has_peer_finished { most.min(1) } else { most };
        // An error that follows the commands is reported by `due_ending`.
        (0..most).map_while(|_| self.decoder.next_command().ok().flatten()).collect()
    }

    /// The reason to disconnect the client, if all commands before it are executed.
    pub fn due_ending(&self) -> Option<&DisconnectReason> {
        self.ending.as_ref().filter(|_| self.decoder.complete_commands() == 0)
    }

    /// Number of commands that were read and are refused if the client is disconnected now.
    pub fn unexecuted_commands(&self) -> usize {
        self.decoder.complete_commands() + self.surplus_commands
    }

    /// The reason to report when the client is disconnected for `reason`, which none of its commands caused: what ends the
    /// session anyway and an incomplete command take precedence, as they have to get an error reply.
    pub fn reason_or_interruption(&self, reason: DisconnectReason) -> DisconnectReason {
        match &self.ending {
            Some(ending) => ending.clone(),
            None if self.partial_command_since.is_some() => DisconnectReason::CommandInterrupted,
            None => reason,
        }
    }

    fn state(&self) -> SessionState {
        match self.partial_command_since {
            _ if self.has_work() => SessionState::HasWork,
            Some(since) => SessionState::ReceivingCommand { since },
            None if self.has_sent_command => SessionState::Idle,
            None => SessionState::AwaitingFirstCommand,
        }
    }

    /// Whether the client waits for nothing, so that its connection may be closed.
    pub fn is_idle(&self) -> bool {
        self.state() == SessionState::Idle
    }

    /// When the client is disconnected unless more is received; `None` while it waits for its turn.
    pub fn timeout_at(&self) -> Option<Time> {
        match self.state() {
            SessionState::HasWork => None,
            SessionState::ReceivingCommand { since } => Some(since + COMMAND_TIMEOUT),
            SessionState::Idle => Some(self.last_byte_at + IDLE_TIMEOUT),
            SessionState::AwaitingFirstCommand => Some(self.accepted_at + FIRST_COMMAND_TIMEOUT),
        }
    }

    /// The reason to report when the client is disconnected at [`Session::timeout_at`].
    pub fn timeout_reason(&self) -> DisconnectReason {
        match self.state() {
            SessionState::ReceivingCommand { .. } => DisconnectReason::CommandTimeout,
            SessionState::Idle | SessionState::AwaitingFirstCommand | SessionState::HasWork => {
                DisconnectReason::IdleTimeout
            }
        }
    }

    /// Order of eviction above the connection limit, and among equals the time of the last byte.
    pub fn eviction_rank(&self, now: Time) -> (EvictionRank, Time) {
        let rank = match self.state() {
            SessionState::ReceivingCommand { since } if since + SLOW_COMMAND_AGE <= now => {
                EvictionRank::SlowCommand
            }
            SessionState::ReceivingCommand { .. } => EvictionRank::ReceivingCommand,
            SessionState::Idle => EvictionRank::Idle,
            SessionState::AwaitingFirstCommand => EvictionRank::AwaitingFirstCommand,
            SessionState::HasWork => EvictionRank::HasWork,
        };
        (rank, self.partial_command_since.unwrap_or(self.last_byte_at))
    }

    /// Order of eviction among sessions that hold much memory: the oldest incomplete command first, and last those with
    /// commands that wait for their execution.
    pub fn memory_eviction_rank(&self) -> (bool, Time) {
        (self.has_work(), self.partial_command_since.unwrap_or(self.last_byte_at))
    }

    /// Memory that the received bytes hold.
    pub fn allocated_bytes(&self) -> usize {
        self.decoder.allocated_bytes()
    }
}
