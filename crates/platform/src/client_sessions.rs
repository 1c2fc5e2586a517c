//! Clients' connections: their commands, and who is closed when. None of it may slow the usual clients.

use crate::ConnectionId;
use cloverstile::Time;
use cloverstile_resp::{Command, Decoder, Limits, RespError};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a connection may say nothing from its start on. Some usual clients connect seconds ahead of their first
/// request, and what is closed before it has failed; those who never say anything must be closed within 3 s.
const SILENT: Duration = Duration::from_millis(2800);
/// How long a command may take from its first byte to its last.
const HALF: Duration = Duration::from_millis(1200);
/// How long a connection may rest after its last answer.
const RESTING: Duration = Duration::from_millis(3000);
/// Commands that one connection may hand over in one turn: a usual client waits for its answers.
const AT_ONCE: usize = 128;

struct Guest {
    decoder: Decoder,
    since: Time,
    /// Its last byte.
    last: Time,
    /// It has sent a whole command.
    spoke: bool,
    /// Since when it is in the middle of a command.
    half: Option<Time>,
}

impl Guest {
    /// When it is closed if nothing more comes.
    fn due(&self) -> Time {
        match self.half {
            Some(since) => since + HALF,
            None if self.spoke => self.last + RESTING,
            None => self.since + SILENT,
        }
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
    /// There are too many connections, and another client connected.
    ConnectionLimit,
}

/// What the bytes of a client held.
#[derive(Debug)]
pub struct ReceivedCommands {
    /// Complete commands, in order.
    pub commands: Vec<Command>,
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

impl DisconnectReason {
    /// The error line that goes ahead of the close.
    pub fn error_text(&self) -> Option<String> {
        Some(match self {
            DisconnectReason::ProtocolError(error) => format!("ERR protocol: {error}"),
            DisconnectReason::TooManyCommands => format!("ERR more than {AT_ONCE} commands at once"),
            DisconnectReason::CommandTimeout => format!("ERR a command took longer than {HALF:?}"),
            DisconnectReason::IdleTimeout | DisconnectReason::ConnectionLimit => return None,
        })
    }
}

/// All clients' connections.
pub struct ClientSessions {
    all: BTreeMap<ConnectionId, Guest>,
    most: usize,
    limits: Limits,
}

impl ClientSessions {
    /// At most so many.
    pub fn new(most: usize) -> Self {
        ClientSessions { all: BTreeMap::new(), most, limits: Limits::default() }
    }

    /// Connections.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether a connection is a client's.
    pub fn owns(&self, wire: ConnectionId) -> bool {
        self.all.contains_key(&wire)
    }

    /// A client connected. Where there are too many, who must go for it: those that rest between two requests, the
    /// longest first, as their next one only needs another connection; then those that never spoke, whose first one
    /// is lost with it.
    pub fn accept(&mut self, now: Time, wire: ConnectionId) -> Option<ConnectionId> {
        let decoder = Decoder::new(self.limits);
        self.all.insert(wire, Guest { decoder, since: now, last: now, spoke: false, half: None });
        if self.all.len() <= self.most {
            return None;
        }
        let order = |guest: &Guest| {
            let place = match (guest.half.is_some(), guest.spoke) {
                (true, _) => 2,
                (false, true) => 0,
                (false, false) => 1,
            };
            (place, guest.last)
        };
        let leaves = self.all.iter().min_by_key(|(_, guest)| order(guest)).map(|(wire, _)| *wire)?;
        self.all.remove(&leaves);
        Some(leaves)
    }

    /// All of them; they are let go of.
    pub fn take_all(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.all).into_keys().collect()
    }

    /// A connection is gone.
    pub fn remove(&mut self, wire: ConnectionId) {
        self.all.remove(&wire);
    }

    /// Bytes came: the whole commands among them, and whether the client must be closed after their answers.
    pub fn on_bytes(&mut self, now: Time, wire: ConnectionId, bytes: &[u8]) -> ReceivedCommands {
        let Some(guest) = self.all.get_mut(&wire) else {
            return ReceivedCommands { commands: Vec::new(), disconnect: None };
        };
        guest.last = now;
        guest.decoder.feed(bytes);
        let mut commands = Vec::new();
        let disconnect = loop {
            match guest.decoder.take() {
                Ok(Some(_)) if commands.len() == AT_ONCE => break Some(DisconnectReason::TooManyCommands),
                Ok(Some(command)) => commands.push(command),
                Ok(None) => break None,
                Err(error) => break Some(DisconnectReason::ProtocolError(error)),
            }
        };
        if !commands.is_empty() {
            guest.spoke = true;
            guest.half = None;
        }
        let half = guest.half.unwrap_or(now);
        guest.half = (guest.decoder.held() > 0).then_some(half);
        if disconnect.is_some() {
            self.all.remove(&wire);
        }
        ReceivedCommands { commands, disconnect }
    }

    /// When [`ClientSessions::on_tick`] has something to do next.
    pub fn next_timeout(&self) -> Option<Time> {
        self.all.values().map(Guest::due).min()
    }

    /// Who has to go now, and why.
    pub fn on_tick(&mut self, now: Time) -> Vec<Disconnect> {
        let late: Vec<Disconnect> = self
            .all
            .iter()
            .filter(|(_, guest)| guest.due() <= now)
            .map(|(connection, guest)| Disconnect {
                connection: *connection,
                reason: match guest.half {
                    Some(_) => DisconnectReason::CommandTimeout,
                    None => DisconnectReason::IdleTimeout,
                },
            })
            .collect();
        late.iter().for_each(|client| self.remove(client.connection));
        late
    }

    /// Those between two requests, who may be closed at any time; they are let go of. Not those who never spoke: their
    /// first request is on its way, and would fail with its connection.
    pub fn take_idle(&mut self) -> Vec<ConnectionId> {
        let rests = |guest: &Guest| guest.spoke && guest.half.is_none();
        let resting: Vec<ConnectionId> =
            self.all.iter().filter(|(_, guest)| rests(guest)).map(|(wire, _)| *wire).collect();
        resting.iter().for_each(|wire| self.remove(*wire));
        resting
    }
}
