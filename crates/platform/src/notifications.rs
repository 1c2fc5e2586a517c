//! Notifications: the platform is told of each message that ended undelivered, until it has acknowledged that.

use crate::discovery_connection::{ConnectionStatus, DiscoveryConnection, RECONNECT_DELAY};
use crate::limits::MAX_BODY_BYTES;
use crate::transport::{ConnectionId, Transport};
use cloverstile::{OrderKey, Time};
use cloverstile_http::{Headers, Start};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Most notifications in one request, which keeps its body under [`MAX_BODY_BYTES`].
const MAX_BATCH: usize = 256;
/// How long a connection may take to be established, and a response to arrive: the agent answers at once.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection without a request is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

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

/// When a notification may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// At once.
    AtOnce,
    /// After the next [`Notifications::release_held`].
    OnceStored,
}

/// Notifications that a response of the platform settles, by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettledNotifications {
    /// Acknowledged.
    pub acknowledged: Vec<u32>,
    /// Rejected for good; they are not sent again.
    pub rejected: Vec<u32>,
}

/// All notifications that were not acknowledged, by the log's number of the message.
pub struct Notifications {
    agent: DiscoveryConnection,
    pending: BTreeMap<u32, Notification>,
    /// Those of the pending ones that may not be sent yet.
    held: BTreeSet<u32>,
    /// Number of pending notifications by order key.
    blocked_keys: HashMap<OrderKey, usize>,
    /// Numbers in the request in flight.
    in_flight: Vec<u32>,
    /// How many the next request may hold: one after a rejection, so that the bad one is found and the others pass.
    batch_limit: usize,
}

impl Notifications {
    /// Nothing pending; the agent is at this address.
    pub fn new(address: SocketAddr) -> Self {
        Notifications {
            agent: DiscoveryConnection::new(address, MAX_BODY_BYTES),
            pending: BTreeMap::new(),
            held: BTreeSet::new(),
            blocked_keys: HashMap::new(),
            in_flight: Vec::new(),
            batch_limit: MAX_BATCH,
        }
    }

    /// Adds a notification.
    pub fn enqueue(&mut self, number: u32, notification: Notification, release: Release) {
        if release == Release::OnceStored {
            self.held.insert(number);
        }
        if let Some(key) = notification.order_key {
            *self.blocked_keys.entry(key).or_default() += 1;
        }
        self.pending.insert(number, notification);
    }

    /// Lets all be sent that were held back.
    pub fn release_held(&mut self) {
        self.held.clear();
    }

    fn has_sendable(&self) -> bool {
        self.pending.len() > self.held.len()
    }

    /// Whether a notification of a message with this order key is pending.
    pub fn is_key_blocked(&self, key: OrderKey) -> bool {
        self.blocked_keys.contains_key(&key)
    }

    /// Number of pending notifications.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether none is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// When [`Notifications::on_tick`] must be called, if at all.
    pub fn next_timeout(&self) -> Option<Time> {
        match (self.agent.status(), self.has_sendable()) {
            (ConnectionStatus::Closed, false) => None,
            (ConnectionStatus::Idle, true) => Some(Time::ZERO),
            _ => Some(self.agent.next_timeout()),
        }
    }

    /// Sends what is pending, or connects for it. Must be called after the turn's records are in the log.
    pub fn on_tick(&mut self, now: Time, transport: &mut impl Transport) {
        if self.next_timeout().is_none_or(|at| at > now) {
            return;
        }
        match self.agent.status() {
            ConnectionStatus::Closed => self.agent.connect(now + RESPONSE_TIMEOUT, transport),
            ConnectionStatus::Connecting | ConnectionStatus::AwaitingResponse => {
                self.agent.close(now + RECONNECT_DELAY, transport);
            }
            ConnectionStatus::Idle if !self.has_sendable() => self.agent.close(now, transport),
            ConnectionStatus::Idle => self.send_batch(now, transport),
        }
    }

    fn send_batch(&mut self, now: Time, transport: &mut impl Transport) {
        let is_sendable = |(number, _): &(&u32, &Notification)| !self.held.contains(number);
        let batch = || self.pending.iter().filter(is_sendable).take(self.batch_limit);
        let body: Vec<u8> = batch().flat_map(|(_, notification)| json_line(notification)).collect();
        self.in_flight = batch().map(|(number, _)| *number).collect();
        let host = self.agent.address().to_string();
        let headers = Headers::new().with("Host", host).with("Content-Type", "application/x-ndjson");
        let request = cloverstile_http::request("POST", "/v1/notices", &headers, &body);
        self.agent.send(&request, now + RESPONSE_TIMEOUT, transport);
    }

    /// Changes the agent's address: notifications go there from now on, pending ones again.
    pub fn set_address(&mut self, now: Time, address: SocketAddr, transport: &mut impl Transport) {
        self.agent.set_address(now, address, transport);
    }

    /// Whether a connection is that of the notifications.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.agent.owns(connection)
    }

    /// A connection was established.
    pub fn on_connected(&mut self, now: Time, connection: ConnectionId) {
        self.agent.on_connected(connection, now + IDLE_TIMEOUT);
    }

    /// A connection failed or ended; what was sent and not acknowledged is sent again.
    pub fn on_closed(&mut self, now: Time, connection: ConnectionId) {
        if self.owns(connection) {
            let is_idle = self.agent.status() == ConnectionStatus::Idle;
            self.agent.on_closed(if is_idle { now } else { now + RECONNECT_DELAY });
        }
    }

    /// Bytes were received on a connection; which notifications they settle.
    pub fn on_bytes(
        &mut self,
        now: Time,
        connection: ConnectionId,
        bytes: &[u8],
        transport: &mut impl Transport,
    ) -> SettledNotifications {
        let mut settled = SettledNotifications::default();
        if !self.owns(connection) {
            return settled;
        }
        let Some(response) = self.agent.on_bytes(now, bytes, now + IDLE_TIMEOUT, transport) else {
            return settled;
        };
        if self.agent.has_surplus_bytes() {
            self.agent.close(now + RECONNECT_DELAY, transport);
        }
        let sent = std::mem::take(&mut self.in_flight);
        match response.map(|response| response.start) {
            Ok(Start::Response { status: 200..=299 }) => {
                self.batch_limit = MAX_BATCH;
                sent.iter().for_each(|number| self.remove(*number));
                settled.acknowledged = sent;
            }
            // It can't be read, alone: sending it again for ever would keep all others from being sent.
            Ok(Start::Response { status: 400..=499 }) if sent.len() == 1 => {
                sent.iter().for_each(|number| self.remove(*number));
                settled.rejected = sent;
            }
            _ => {
                // Not again at once: an agent that rejects everything would be asked without a pause.
                self.agent.close(now + RECONNECT_DELAY, transport);
                self.batch_limit = 1;
            }
        }
        settled
    }

    fn remove(&mut self, number: u32) {
        let Some(key) = self.pending.remove(&number).and_then(|notification| notification.order_key) else {
            return;
        };
        if let Some(count) = self.blocked_keys.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.blocked_keys.remove(&key);
            }
        }
    }
}

/// A notification as a line of newline-delimited JSON.
fn json_line(notification: &Notification) -> Vec<u8> {
    let (status, again_ms) = match notification.status {
        NotificationStatus::Undeliverable => ("undeliverable", None),
        NotificationStatus::Deferred { retry_after_ms } => ("deferred", retry_after_ms),
    };
    let mut line = serde_json::json!({ "id": notification.message_id, "status": status });
    if let Some(milliseconds) = again_ms {
        line["again_ms"] = milliseconds.into();
    }
    format!("{line}\n").into_bytes()
}
