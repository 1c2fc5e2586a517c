//! Notices: what ended undelivered is told to the platform until it has answered.

use crate::discovery_connection::{DiscoveryConnection, Doing, RETRY};
use crate::{ConnectionId, Transport, MAX_BODY_BYTES};
use cloverstile::{OrderKey, Time};
use cloverstile_http::{Headers, Start};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Most notices in one request: a body holds 64 KiB at most.
const MOST_AT_ONCE: usize = 256;
/// How long an answer may take: the agent answers at once.
const PATIENCE: Duration = Duration::from_millis(500);
/// A connection without a notice is closed after this.
const IDLE: Duration = Duration::from_secs(10);

/// How a message ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotificationStatus {
    /// The message may have taken effect.
    Undeliverable,
    /// The message never took effect.
    Deferred {
        /// Time after which it may be submitted again, in milliseconds, if there is one.
        retry_after_ms: Option<u64>,
    },
}

/// A message of which the platform must be told that it was not delivered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification {
    /// The client's id of the message.
    pub message_id: String,
    /// How it ended.
    pub status: NotificationStatus,
    /// Its order key: the key's next message waits until the platform has acknowledged this notification.
    pub order_key: Option<OrderKey>,
}

/// Notifications that a response of the platform settles, by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettledNotifications {
    /// Acknowledged.
    pub acknowledged: Vec<u32>,
    /// Rejected for good; they are not sent again.
    pub rejected: Vec<u32>,
}

/// All that is owed. Numbers are the log's.
pub struct Notifications {
    agent: DiscoveryConnection,
    owed: BTreeMap<u32, Notification>,
    keys: HashMap<OrderKey, usize>,
    /// What the question that is out tells.
    told: Vec<u32>,
    /// The last request was refused: one at a time, so that a bad one is found and the others pass.
    singly: bool,
}

impl Notifications {
    /// Nothing owed.
    pub fn new(to: SocketAddr) -> Self {
        let (agent, told) = (DiscoveryConnection::new(to, MAX_BODY_BYTES), Vec::new());
        Notifications { agent, owed: BTreeMap::new(), keys: HashMap::new(), told, singly: false }
    }

    /// One more is owed.
    pub fn enqueue(&mut self, number: u32, notice: Notification) {
        if let Some(key) = notice.order_key {
            *self.keys.entry(key).or_default() += 1;
        }
        self.owed.insert(number, notice);
    }

    /// Whether a message of this key has ended by a notice that is not answered yet.
    pub fn is_key_blocked(&self, key: OrderKey) -> bool {
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

    /// When [`Notifications::on_tick`] must be called, if at all.
    pub fn next_timeout(&self) -> Option<Time> {
        match (self.agent.doing(), self.owed.is_empty()) {
            (Doing::Closed, true) => None,
            (Doing::Idle, false) => Some(Time::ZERO),
            _ => Some(self.agent.until()),
        }
    }

    /// Sends what is owed, or connects for it. Call it after the turn's records are in the log.
    pub fn on_tick(&mut self, now: Time, wires: &mut impl Transport) {
        if self.next_timeout().is_none_or(|at| at > now) {
            return;
        }
        match self.agent.doing() {
            Doing::Closed => self.agent.connect(now + PATIENCE, wires),
            Doing::Connecting | Doing::AwaitingResponse => self.agent.close(now + RETRY, wires),
            Doing::Idle if self.owed.is_empty() => self.agent.close(now, wires),
            Doing::Idle => self.tell(now, wires),
        }
    }

    fn tell(&mut self, now: Time, wires: &mut impl Transport) {
        let most = if self.singly { 1 } else { MOST_AT_ONCE };
        let mut body = Vec::new();
        self.told = self.owed.keys().copied().take(most).collect();
        for notice in self.owed.values().take(most) {
            let (status, again_ms) = match notice.status {
                NotificationStatus::Undeliverable => ("undeliverable", None),
                NotificationStatus::Deferred { retry_after_ms } => ("deferred", retry_after_ms),
            };
            let mut line = serde_json::json!({ "id": notice.message_id, "status": status });
            if let Some(milliseconds) = again_ms {
                line["again_ms"] = milliseconds.into();
            }
            body.extend_from_slice(line.to_string().as_bytes());
            body.push(b'\n');
        }
        let host = self.agent.address().to_string();
        let headers = Headers::new().with("Host", host).with("Content-Type", "application/x-ndjson");
        let request = cloverstile_http::request("POST", "/v1/notices", &headers, &body);
        self.agent.ask(&request, now + PATIENCE, wires);
    }

    /// Discovery is at another address: notices go there from now on, those not answered again.
    pub fn set_address(&mut self, now: Time, to: SocketAddr, wires: &mut impl Transport) {
        self.agent.moved(now, to, wires);
    }

    /// Whether a connection is theirs.
    pub fn owns(&self, wire: ConnectionId) -> bool {
        self.agent.owns(wire)
    }

    /// Their connection is there.
    pub fn on_connected(&mut self, now: Time, wire: ConnectionId) {
        self.agent.connected(wire, now + IDLE);
    }

    /// Their connection failed or ended; what was told and not answered is told again.
    pub fn on_closed(&mut self, now: Time, wire: ConnectionId) {
        if self.owns(wire) {
            let idle = self.agent.doing() == Doing::Idle;
            self.agent.lost(if idle { now } else { now + RETRY });
        }
    }

    /// Bytes came; the numbers of those that are answered now, and of those that were refused for good.
    pub fn on_bytes(
        &mut self,
        now: Time,
        wire: ConnectionId,
        bytes: &[u8],
        wires: &mut impl Transport,
    ) -> SettledNotifications {
        let nothing = SettledNotifications::default();
        if !self.owns(wire) {
            return nothing;
        }
        let Some(answer) = self.agent.bytes(now, bytes, now + IDLE, wires) else { return nothing };
        if self.agent.has_surplus() {
            self.agent.close(now + RETRY, wires);
        }
        let told = std::mem::take(&mut self.told);
        match answer.map(|answer| answer.start) {
            Ok(Start::Response { status: 200..=299 }) => {
                self.singly = false;
                told.iter().for_each(|number| self.settle(*number));
                SettledNotifications { acknowledged: told, rejected: Vec::new() }
            }
            // It can't be read, alone: telling it for ever would keep all others from being told.
            Ok(Start::Response { status: 400..=499 }) if told.len() == 1 => {
                told.iter().for_each(|number| self.settle(*number));
                SettledNotifications { acknowledged: Vec::new(), rejected: told }
            }
            _ => {
                // Not at once again: what refuses everything would be asked without a pause.
                self.agent.close(now + RETRY, wires);
                self.singly = true;
                nothing
            }
        }
    }

    fn settle(&mut self, number: u32) {
        let Some(key) = self.owed.remove(&number).and_then(|notice| notice.order_key) else { return };
        if let Some(count) = self.keys.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.keys.remove(&key);
            }
        }
    }
}
