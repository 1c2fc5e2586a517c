//! The watch of the list: one question after another on one connection, and when discovery counts as silent.

use crate::list::ListAnswer;
use crate::{Wire, Wires};
use cloverstile::Time;
use cloverstile_http::{Decoder, Headers, Item, Limits, Start};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a question may wait for news. What discovery has to tell counts as told two seconds after it.
const WAIT: Duration = Duration::from_secs(4);
/// How long after that an answer may take before the connection counts as dead.
const GRACE: Duration = Duration::from_millis(500);
/// Gap before a new connection after one that failed: the agent is on this machine.
const RETRY: Duration = Duration::from_millis(50);
/// Largest list that is read.
const LARGEST: usize = 2 << 20;

enum State {
    /// No connection until then.
    Waiting(Time),
    Connecting(Wire, Time),
    /// A question is out, and must be answered by then.
    Asked(Wire, Box<Decoder>, Time),
}

/// The watch. It asks again in the turn of each answer, so that no change falls between two questions.
pub struct Watch {
    to: SocketAddr,
    after: u64,
    state: State,
}

fn decoder() -> Box<Decoder> {
    Box::new(Decoder::client(Limits { body: LARGEST, ..Limits::default() }))
}

impl Watch {
    /// A watch of what is newer than a version.
    pub fn new(to: SocketAddr, after: u64) -> Self {
        Watch { to, after, state: State::Waiting(Time::ZERO) }
    }

    /// When [`Watch::tick`] must be called at the latest.
    pub fn due(&self) -> Time {
        match &self.state {
            State::Waiting(at) | State::Connecting(_, at) | State::Asked(_, _, at) => *at,
        }
    }

    /// Connects where it is time, and gives up what is silent.
    pub fn tick(&mut self, now: Time, wires: &mut impl Wires) {
        if self.due() > now {
            return;
        }
        match &self.state {
            State::Waiting(_) => {}
            // Guards against an agent that went silent: a question that it never answers must not blind us.
            State::Connecting(wire, _) | State::Asked(wire, ..) => wires.close(*wire),
        }
        self.state = State::Connecting(wires.connect(self.to), now + GRACE);
    }

    /// Discovery is at another address: it is asked there at once.
    pub fn moved(&mut self, now: Time, to: SocketAddr, wires: &mut impl Wires) {
        if to == self.to {
            return;
        }
        if let State::Connecting(wire, _) | State::Asked(wire, ..) = &self.state {
            wires.close(*wire);
        }
        self.to = to;
        self.state = State::Waiting(now);
        self.tick(now, wires);
    }

    /// Whether a connection is this watch's.
    pub fn owns(&self, wire: Wire) -> bool {
        matches!(&self.state, State::Connecting(own, _) | State::Asked(own, ..) if *own == wire)
    }

    /// Its connection is there.
    pub fn connected(&mut self, now: Time, wire: Wire, wires: &mut impl Wires) {
        if matches!(self.state, State::Connecting(own, _) if own == wire) {
            self.ask(now, wire, decoder(), wires);
        }
    }

    fn ask(&mut self, now: Time, wire: Wire, decoder: Box<Decoder>, wires: &mut impl Wires) {
        let target = format!("/registry/instances?after={}&wait_ms={}", self.after, WAIT.as_millis());
        let headers = Headers::new().with("Host", self.to.to_string());
        wires.write(wire, &cloverstile_http::request("GET", &target, &headers, b""));
        self.state = State::Asked(wire, decoder, now + WAIT + GRACE);
    }

    /// Its connection failed or ended.
    pub fn lost(&mut self, now: Time, wire: Wire) {
        if self.owns(wire) {
            self.state = State::Waiting(now + RETRY);
        }
    }

    /// Bytes came; the answer, once it is whole. What can't be read ends the connection, and is told.
    pub fn bytes(
        &mut self,
        now: Time,
        wire: Wire,
        bytes: &[u8],
        wires: &mut impl Wires,
    ) -> Result<Option<ListAnswer>, String> {
        let State::Asked(own, decoder, _) = &mut self.state else { return Ok(None) };
        if *own != wire {
            return Ok(None);
        }
        let clock = Duration::from_nanos(now.0);
        decoder.feed(clock, bytes);
        let read = match decoder.next(clock) {
            Ok(None | Some(Item::ExpectsContinue)) => return Ok(None),
            Ok(Some(Item::Message(message))) => match message.start {
                Start::Response { status: 200 } => serde_json::from_slice::<ListAnswer>(&message.body)
                    .map(|answer| (answer, message.keep_alive))
                    .map_err(|error| error.to_string()),
                other => Err(format!("answered {other:?}")),
            },
            Err(error) => Err(error.to_string()),
        };
        let (answer, keep_alive) = match read {
            Ok(read) => read,
            Err(error) => {
                wires.close(wire);
                self.state = State::Waiting(now + RETRY);
                return Err(error);
            }
        };
        self.after = answer.generation;
        let State::Asked(_, decoder, _) = std::mem::replace(&mut self.state, State::Waiting(now)) else {
            return Ok(Some(answer));
        };
        match keep_alive {
            true => self.ask(now, wire, decoder, wires),
            false => {
                wires.close(wire);
                self.tick(now, wires);
            }
        }
        Ok(Some(answer))
    }
}
