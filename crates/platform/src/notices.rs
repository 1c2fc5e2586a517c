//! Notices: what ended undelivered is told to the platform until it has answered.

use crate::{Wire, Wires};
use cloverstile::{OrderKey, Time};
use cloverstile_http::{Decoder, Headers, Item, Limits, Start};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Most notices in one request: a body holds 64 KiB at most.
const MOST_AT_ONCE: usize = 256;
/// How long an answer may take: the agent answers at once.
const PATIENCE: Duration = Duration::from_millis(500);
/// Gap before the next try after one that failed.
const RETRY: Duration = Duration::from_millis(50);
/// A connection without a notice is closed after this.
const IDLE: Duration = Duration::from_secs(10);

/// One notice that is owed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The client's id of the message.
    pub id: String,
    /// The message may have taken effect: `undeliverable`; else `deferred`.
    pub failed: bool,
    /// When to come again, in milliseconds, if that is told.
    pub again_ms: Option<u64>,
    /// Its order key: the key's next message waits for the answer.
    pub key: Option<OrderKey>,
}

enum State {
    /// No connection; a new one not before then.
    Closed(Time),
    Connecting(Wire, Time),
    Idle(Wire, Box<Decoder>, Time),
    /// Told, and to be answered by then.
    Told(Wire, Box<Decoder>, Time, Vec<u32>),
}

/// All that is owed. Numbers are the log's.
pub struct Notices {
    to: SocketAddr,
    owed: BTreeMap<u32, Notice>,
    keys: HashMap<OrderKey, usize>,
    state: State,
    /// The last request was refused: one at a time, so that a bad one is found and the others pass.
    singly: bool,
}

impl Notices {
    /// Nothing owed.
    pub fn new(to: SocketAddr) -> Self {
        let state = State::Closed(Time::ZERO);
        Notices { to, owed: BTreeMap::new(), keys: HashMap::new(), state, singly: false }
    }

    /// One more is owed.
    pub fn owe(&mut self, number: u32, notice: Notice) {
        if let Some(key) = notice.key {
            *self.keys.entry(key).or_default() += 1;
        }
        self.owed.insert(number, notice);
    }

    /// Whether a message of this key has ended by a notice that is not answered yet.
    pub fn holds(&self, key: OrderKey) -> bool {
        self.keys.contains_key(&key)
    }

    /// Notices not answered.
    pub fn len(&self) -> usize {
        self.owed.len()
    }

    /// Whether all are answered.
    pub fn is_empty(&self) -> bool {
        self.owed.is_empty()
    }

    /// When [`Notices::tick`] must be called, if at all.
    pub fn due(&self) -> Option<Time> {
        match &self.state {
            State::Closed(at) => (!self.owed.is_empty()).then_some(*at),
            State::Connecting(_, at) | State::Told(_, _, at, _) => Some(*at),
            State::Idle(_, _, at) => Some(if self.owed.is_empty() { *at } else { Time::ZERO }),
        }
    }

    /// Sends what is owed, or connects for it. Call it after the turn's records are in the log.
    pub fn tick(&mut self, now: Time, wires: &mut impl Wires) {
        if self.due().is_none_or(|at| at > now) {
            return;
        }
        match std::mem::replace(&mut self.state, State::Closed(now)) {
            State::Closed(_) => self.state = State::Connecting(wires.connect(self.to), now + PATIENCE),
            State::Connecting(wire, _) | State::Told(wire, ..) => {
                wires.close(wire);
                self.state = State::Closed(now + RETRY);
            }
            State::Idle(wire, ..) if self.owed.is_empty() => wires.close(wire),
            State::Idle(wire, decoder, _) => self.tell(now, wire, decoder, wires),
        }
    }

    fn tell(&mut self, now: Time, wire: Wire, decoder: Box<Decoder>, wires: &mut impl Wires) {
        let most = if self.singly { 1 } else { MOST_AT_ONCE };
        let mut told = Vec::new();
        let mut body = Vec::new();
        for (number, notice) in self.owed.iter().take(most) {
            let status = if notice.failed { "undeliverable" } else { "deferred" };
            let mut line = serde_json::json!({ "id": notice.id, "status": status });
            if let Some(ms) = notice.again_ms.filter(|_| !notice.failed) {
                line["again_ms"] = ms.into();
            }
            body.extend_from_slice(line.to_string().as_bytes());
            body.push(b'\n');
            told.push(*number);
        }
        let headers =
            Headers::new().with("Host", self.to.to_string()).with("Content-Type", "application/x-ndjson");
        wires.write(wire, &cloverstile_http::request("POST", "/v1/notices", &headers, &body));
        self.state = State::Told(wire, decoder, now + PATIENCE, told);
    }

    /// Discovery is at another address: notices go there from now on, those not answered again.
    pub fn moved(&mut self, now: Time, to: SocketAddr, wires: &mut impl Wires) {
        if to != self.to {
            if let State::Connecting(wire, _) | State::Idle(wire, ..) | State::Told(wire, ..) = &self.state {
                wires.close(*wire);
            }
            (self.to, self.state) = (to, State::Closed(now));
        }
    }

    /// Whether a connection is theirs.
    pub fn owns(&self, wire: Wire) -> bool {
        matches!(&self.state,
            State::Connecting(own, _) | State::Idle(own, ..) | State::Told(own, ..) if *own == wire)
    }

    /// Their connection is there.
    pub fn connected(&mut self, now: Time, wire: Wire) {
        if matches!(self.state, State::Connecting(own, _) if own == wire) {
            let limits = Limits { body: 64 << 10, ..Limits::default() };
            self.state = State::Idle(wire, Box::new(Decoder::client(limits)), now + IDLE);
        }
    }

    /// Their connection failed or ended; what was told and not answered is told again.
    pub fn lost(&mut self, now: Time, wire: Wire) {
        if self.owns(wire) {
            let again = if matches!(self.state, State::Idle(..)) { now } else { now + RETRY };
            self.state = State::Closed(again);
        }
    }

    /// Bytes came; the numbers of those that are answered now, and of those that were refused for good.
    pub fn bytes(
        &mut self,
        now: Time,
        wire: Wire,
        bytes: &[u8],
        wires: &mut impl Wires,
    ) -> (Vec<u32>, Vec<u32>) {
        let nothing = (Vec::new(), Vec::new());
        if !self.owns(wire) {
            return nothing;
        }
        let clock = Duration::from_nanos(now.0);
        let State::Told(_, decoder, _, _) = &mut self.state else {
            // Nobody asked: what comes here could be taken for a later answer.
            wires.close(wire);
            self.state = State::Closed(now);
            return nothing;
        };
        decoder.feed(clock, bytes);
        let answer = match decoder.next(clock) {
            Ok(None | Some(Item::ExpectsContinue)) => return nothing,
            Ok(Some(Item::Message(message))) => Some(message),
            Err(_) => None,
        };
        let State::Told(_, decoder, _, told) = std::mem::replace(&mut self.state, State::Closed(now)) else {
            return nothing;
        };
        let status = answer.as_ref().map_or(0, |answer| match answer.start {
            Start::Response { status } => status,
            Start::Request { .. } => 0,
        });
        if answer.is_some_and(|answer| answer.keep_alive) && decoder.held() == 0 {
            self.state = State::Idle(wire, decoder, now + IDLE);
        } else {
            wires.close(wire);
            self.state = State::Closed(now + RETRY);
        }
        match status {
            200..=299 => {
                self.singly = false;
                told.iter().for_each(|number| self.settle(*number));
                (told, Vec::new())
            }
            // It can't be read, alone: telling it for ever would keep all others from being told.
            400..=499 if told.len() == 1 => {
                told.iter().for_each(|number| self.settle(*number));
                (Vec::new(), told)
            }
            _ => {
                // Not at once again: what refuses everything would be asked without a pause.
                if let State::Idle(wire, ..) = &self.state {
                    wires.close(*wire);
                }
                (self.singly, self.state) = (true, State::Closed(now + RETRY));
                nothing
            }
        }
    }

    fn settle(&mut self, number: u32) {
        let Some(key) = self.owed.remove(&number).and_then(|notice| notice.key) else { return };
        if let Some(count) = self.keys.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.keys.remove(&key);
            }
        }
    }
}
