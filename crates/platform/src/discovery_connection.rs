//! A connection to the agent on the courier's own machine, which answers for discovery: one question at a time, and
//! when it counts as dead. What is asked, and how soon again, is for the watch and the notices to say.

use crate::{ConnectionId, Transport};
use cloverstile::Time;
use cloverstile_http::{Decoder, HttpError, Item, Limits, Message};
use std::net::SocketAddr;
use std::time::Duration;

/// Gap before a new connection after one that failed: the agent is on this machine.
pub(crate) const RETRY: Duration = Duration::from_millis(50);

enum State {
    /// No connection; a new one not before then.
    Closed(Time),
    /// To be up by then.
    Connecting(ConnectionId, Time),
    /// Nothing is asked; of no use after then.
    Idle(ConnectionId, Box<Decoder>, Time),
    /// A question is out, and to be answered by then.
    AwaitingResponse(ConnectionId, Box<Decoder>, Time),
}

/// What the connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Doing {
    Closed,
    Connecting,
    Idle,
    AwaitingResponse,
}

/// The connection.
pub(crate) struct DiscoveryConnection {
    to: SocketAddr,
    limits: Limits,
    state: State,
}

impl DiscoveryConnection {
    /// Not connected; answers hold bodies of so many bytes at most.
    pub fn new(to: SocketAddr, body: usize) -> Self {
        DiscoveryConnection {
            to,
            limits: Limits { body, ..Limits::default() },
            state: State::Closed(Time::ZERO),
        }
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.to
    }

    pub fn doing(&self) -> Doing {
        match &self.state {
            State::Closed(_) => Doing::Closed,
            State::Connecting(..) => Doing::Connecting,
            State::Idle(..) => Doing::Idle,
            State::AwaitingResponse(..) => Doing::AwaitingResponse,
        }
    }

    /// When what it is doing has taken long enough.
    pub fn until(&self) -> Time {
        match &self.state {
            State::Closed(at)
            | State::Connecting(_, at)
            | State::Idle(_, _, at)
            | State::AwaitingResponse(_, _, at) => *at,
        }
    }

    fn wire(&self) -> Option<ConnectionId> {
        match &self.state {
            State::Closed(_) => None,
            State::Connecting(wire, _) | State::Idle(wire, ..) | State::AwaitingResponse(wire, ..) => {
                Some(*wire)
            }
        }
    }

    /// Whether a connection is this one.
    pub fn owns(&self, wire: ConnectionId) -> bool {
        self.wire() == Some(wire)
    }

    /// Gives up the connection, if there is one; no other before then.
    pub fn close(&mut self, again: Time, wires: &mut impl Transport) {
        if let Some(wire) = self.wire() {
            wires.close(wire);
        }
        self.state = State::Closed(again);
    }

    /// Begins a connection, in place of another.
    pub fn connect(&mut self, until: Time, wires: &mut impl Transport) {
        self.close(until, wires);
        self.state = State::Connecting(wires.connect(self.to), until);
    }

    /// It is elsewhere from now on; true where that is news.
    pub fn moved(&mut self, now: Time, to: SocketAddr, wires: &mut impl Transport) -> bool {
        if to == self.to {
            return false;
        }
        self.close(now, wires);
        self.to = to;
        true
    }

    /// Its connection is there; true if it is this one.
    pub fn connected(&mut self, wire: ConnectionId, until: Time) -> bool {
        let own = matches!(self.state, State::Connecting(own, _) if own == wire);
        if own {
            self.state = State::Idle(wire, Box::new(Decoder::client(self.limits)), until);
        }
        own
    }

    /// Its connection is gone; no other before then.
    pub fn lost(&mut self, again: Time) {
        self.state = State::Closed(again);
    }

    /// Asks, where nothing is asked.
    pub fn ask(&mut self, request: &[u8], until: Time, wires: &mut impl Transport) {
        match std::mem::replace(&mut self.state, State::Closed(until)) {
            State::Idle(wire, decoder, _) => {
                wires.write(wire, request);
                self.state = State::AwaitingResponse(wire, decoder, until);
            }
            other => self.state = other,
        }
    }

    /// Bytes came: the answer to the question, once it is whole, or why it can't be read. The connection is idle until
    /// then afterwards, or closed where it can't be used again.
    pub fn bytes(
        &mut self,
        now: Time,
        bytes: &[u8],
        until: Time,
        wires: &mut impl Transport,
    ) -> Option<Result<Message, HttpError>> {
        let clock = Duration::from_nanos(now.0);
        let State::AwaitingResponse(_, decoder, _) = &mut self.state else {
            // Nobody asked: what comes here could be taken for a later answer.
            self.close(now, wires);
            return None;
        };
        decoder.feed(clock, bytes);
        let answer = match decoder.next(clock) {
            Ok(None | Some(Item::ExpectsContinue)) => return None,
            Ok(Some(Item::Message(message))) => Ok(message),
            Err(error) => Err(error),
        };
        match std::mem::replace(&mut self.state, State::Closed(now + RETRY)) {
            State::AwaitingResponse(wire, decoder, _)
                if answer.as_ref().is_ok_and(|answer| answer.keep_alive) =>
            {
                self.state = State::Idle(wire, decoder, until);
            }
            State::AwaitingResponse(wire, ..) => wires.close(wire),
            _ => {}
        }
        Some(answer)
    }

    /// Whether bytes stand behind the last answer that nobody asked for.
    pub fn has_surplus(&self) -> bool {
        matches!(&self.state, State::Idle(_, decoder, _) if decoder.held() > 0)
    }
}
