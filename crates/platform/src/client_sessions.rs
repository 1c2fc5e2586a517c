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

/// Why a client is closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// What it sent can't be read.
    Unreadable(RespError),
    /// It handed over more commands at once than are answered.
    TooMany,
    /// It stayed in the middle of a command.
    Half,
    /// It said nothing for long.
    Silent,
    /// Another took its place.
    Crowded,
}

impl DisconnectReason {
    /// The error line that goes ahead of the close.
    pub fn error_text(&self) -> Option<String> {
        Some(match self {
            DisconnectReason::Unreadable(error) => format!("ERR protocol: {error}"),
            DisconnectReason::TooMany => format!("ERR more than {AT_ONCE} commands at once"),
            DisconnectReason::Half => format!("ERR a command took longer than {HALF:?}"),
            DisconnectReason::Silent | DisconnectReason::Crowded => return None,
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
    pub fn on_bytes(
        &mut self,
        now: Time,
        wire: ConnectionId,
        bytes: &[u8],
    ) -> (Vec<Command>, Option<DisconnectReason>) {
        let Some(guest) = self.all.get_mut(&wire) else { return (Vec::new(), None) };
        guest.last = now;
        guest.decoder.feed(bytes);
        let mut commands = Vec::new();
        let why = loop {
            match guest.decoder.take() {
                Ok(Some(_)) if commands.len() == AT_ONCE => break Some(DisconnectReason::TooMany),
                Ok(Some(command)) => commands.push(command),
                Ok(None) => break None,
                Err(error) => break Some(DisconnectReason::Unreadable(error)),
            }
        };
        if !commands.is_empty() {
            guest.spoke = true;
            guest.half = None;
        }
        let half = guest.half.unwrap_or(now);
        guest.half = (guest.decoder.held() > 0).then_some(half);
        if why.is_some() {
            self.all.remove(&wire);
        }
        (commands, why)
    }

    /// When [`ClientSessions::on_tick`] has something to do next.
    pub fn next_timeout(&self) -> Option<Time> {
        self.all.values().map(Guest::due).min()
    }

    /// Who has to go now, and why.
    pub fn on_tick(&mut self, now: Time) -> Vec<(ConnectionId, DisconnectReason)> {
        let late: Vec<(ConnectionId, DisconnectReason)> = self
            .all
            .iter()
            .filter(|(_, guest)| guest.due() <= now)
            .map(|(wire, guest)| {
                (*wire, if guest.half.is_some() { DisconnectReason::Half } else { DisconnectReason::Silent })
            })
            .collect();
        late.iter().for_each(|(wire, _)| self.remove(*wire));
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
