//! Notifications: the platform is told of each message that ended undelivered, until it has acknowledged that.

use crate::discovery_connection::{ConnectionStatus, DiscoveryConnection, RECONNECT_DELAY};
use crate::limits::MAX_BODY_BYTES;
use crate::transport::{ConnectionId, Transport};
use cloverstile::{OrderKey, Time};
use cloverstile_http::{Headers, Start};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Most notifications in one request, which keeps its body under [`MAX_BODY_BYTES`].
const MAX_BATCH: usize = 256;
/// How long a connection may take to be established: the agent is on this machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a response is waited for.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after its sending a notification goes out again on another connection: an end may be 0.3 s late, and the agent
/// answers at once.
const RESEND_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of simultaneous connections to the discovery agent for notifications.
pub const MAX_AGENT_CONNECTIONS: usize = 3;
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

/// One connection to the agent, with what its request holds.
struct Channel {
    agent: DiscoveryConnection,
    /// Numbers in the request in flight.
    in_flight: Vec<u32>,
    /// When the request in flight gives way to notifications that were never sent, where no other connection is free.
    yields_at: Time,
}

impl Channel {
    fn new(address: SocketAddr) -> Self {
        let agent = DiscoveryConnection::new(address, MAX_BODY_BYTES);
        Channel { agent, in_flight: Vec::new(), yields_at: Time::ZERO }
    }

    fn is_waiting(&self) -> bool {
        matches!(self.agent.status(), ConnectionStatus::Connecting | ConnectionStatus::AwaitingResponse)
    }

    fn close(&mut self, now: Time, transport: &mut impl Transport) {
        self.in_flight.clear();
        self.agent.close(now, transport);
    }
}

/// A notification that was not acknowledged.
struct PendingNotification {
    notification: Notification,
    /// It may not be sent yet.
    is_held: bool,
    /// When it may be sent again; none if it was never sent.
    resend_at: Option<Time>,
}

impl PendingNotification {
    /// When it may be sent; none if not before it is released.
    fn sendable_at(&self) -> Option<Time> {
        (!self.is_held).then(|| self.resend_at.unwrap_or(Time::ZERO))
    }
}

/// All notifications that were not acknowledged, by the log's number of the message.
///
/// Each goes out at once, on another connection where a request is waited for: an agent that leaves one unanswered must not
/// hold up the others, whose time may be over. One that is not acknowledged in time goes out again.
pub struct Notifications {
    channels: Vec<Channel>,
    pending: BTreeMap<u32, PendingNotification>,
    /// Number of pending notifications by order key.
    blocked_keys: HashMap<OrderKey, usize>,
    /// How many the next request may hold: one after a rejection, so that the bad one is found and the others pass.
    batch_limit: usize,
    /// No connection is opened before.
    connect_at: Time,
}

impl Notifications {
    /// Nothing pending; the agent is at this address.
    pub fn new(address: SocketAddr) -> Self {
        Notifications {
            channels: (0..MAX_AGENT_CONNECTIONS).map(|_| Channel::new(address)).collect(),
            pending: BTreeMap::new(),
            blocked_keys: HashMap::new(),
            batch_limit: MAX_BATCH,
            connect_at: Time::ZERO,
        }
    }

    /// Adds a notification.
    pub fn enqueue(&mut self, number: u32, notification: Notification, release: Release) {
        if let Some(key) = notification.order_key {
            *self.blocked_keys.entry(key).or_default() += 1;
        }
        let is_held = release == Release::OnceStored;
        self.pending.insert(number, PendingNotification { notification, is_held, resend_at: None });
    }

    /// Lets all be sent that were held back.
    pub fn release_held(&mut self) {
        self.pending.values_mut().for_each(|pending| pending.is_held = false);
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
        let has_status =
            |wanted: ConnectionStatus| self.channels.iter().any(|channel| channel.agent.status() == wanted);
        let sendable_at = self.pending.values().filter_map(PendingNotification::sendable_at).min();
        let send_at = sendable_at.and_then(|at| {
            if has_status(ConnectionStatus::Idle) {
                return Some(at);
            }
            if has_status(ConnectionStatus::Connecting) {
                return None;
            }
            if has_status(ConnectionStatus::Closed) {
                return Some(at.max(self.connect_at));
            }
            let yields_at = self.channels.iter().map(|channel| channel.yields_at).min();
            yields_at.filter(|_| self.has_unsent()).map(|yields_at| at.max(yields_at))
        });
        let open = self.channels.iter().filter(|channel| channel.agent.status() != ConnectionStatus::Closed);
        open.map(|channel| channel.agent.next_timeout()).chain(send_at).min()
    }

    /// Sends what is pending, or connects for it. Must be called after the turn's records are in the log.
    pub fn on_tick(&mut self, now: Time, transport: &mut impl Transport) {
        for channel in &mut self.channels {
            let is_open = channel.agent.status() != ConnectionStatus::Closed;
            if is_open && channel.agent.next_timeout() <= now {
                if channel.is_waiting() {
                    self.connect_at = now + RECONNECT_DELAY;
                }
                channel.close(now, transport);
            }
        }
        let is_sendable = |pending: &PendingNotification| pending.sendable_at().is_some_and(|at| at <= now);
        if !self.pending.values().any(is_sendable) {
            return;
        }
        let with_status = |channels: &[Channel], wanted: ConnectionStatus| {
            channels.iter().position(|channel| channel.agent.status() == wanted)
        };
        if let Some(idle) = with_status(&self.channels, ConnectionStatus::Idle) {
            return self.send_batch(now, idle, transport);
        }
        if with_status(&self.channels, ConnectionStatus::Connecting).is_some() || now < self.connect_at {
            return;
        }
        let free = with_status(&self.channels, ConnectionStatus::Closed);
        if let Some(free) = free.or_else(|| self.free_channel(now, transport)) {
            self.channels[free].agent.connect(now + CONNECT_TIMEOUT, transport);
        }
    }

    /// Whether a notification may be sent that never was.
    fn has_unsent(&self) -> bool {
        self.pending.values().any(|pending| !pending.is_held && pending.resend_at.is_none())
    }

    /// Closes the connection whose request has been unanswered the longest, where it gives way; all are taken.
    fn free_channel(&mut self, now: Time, transport: &mut impl Transport) -> Option<usize> {
        let channels = self.channels.iter().enumerate();
        let (place, _) = channels.min_by_key(|(_, channel)| channel.yields_at)?;
        if !self.has_unsent() || now < self.channels[place].yields_at {
            return None;
        }
        self.channels[place].close(now, transport);
        Some(place)
    }

    fn send_batch(&mut self, now: Time, channel: usize, transport: &mut impl Transport) {
        let is_sendable = |pending: &PendingNotification| pending.sendable_at().is_some_and(|at| at <= now);
        let batch = self.pending.iter_mut().filter(|(_, pending)| is_sendable(pending));
        let (mut numbers, mut body) = (Vec::new(), Vec::new());
        for (number, pending) in batch.take(self.batch_limit) {
            pending.resend_at = Some(now + RESEND_DELAY);
            numbers.push(*number);
            body.extend(json_line(&pending.notification));
        }
        let channel = &mut self.channels[channel];
        let host = channel.agent.address().to_string();
        let headers = Headers::new().with("Host", host).with("Content-Type", "application/x-ndjson");
        let request = cloverstile_http::request("POST", "/v1/notices", &headers, &body);
        channel.in_flight = numbers;
        channel.yields_at = now + RESEND_DELAY;
        channel.agent.send(&request, now + RESPONSE_TIMEOUT, transport);
    }

    /// Changes the agent's address: notifications go there from now on, pending ones again.
    pub fn set_address(&mut self, now: Time, address: SocketAddr, transport: &mut impl Transport) {
        let mut has_moved = false;
        for channel in &mut self.channels {
            has_moved |= channel.agent.set_address(now, address, transport);
            channel.in_flight.clear();
        }
        if has_moved {
            self.connect_at = now;
            self.pending.values_mut().for_each(|pending| pending.resend_at = None);
        }
    }

    fn channel_of(&self, connection: ConnectionId) -> Option<usize> {
        self.channels.iter().position(|channel| channel.agent.owns(connection))
    }

    /// Whether a connection is one of the notifications.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.channel_of(connection).is_some()
    }

    /// A connection was established.
    pub fn on_connected(&mut self, now: Time, connection: ConnectionId) {
        if let Some(channel) = self.channel_of(connection) {
            self.channels[channel].agent.on_connected(connection, now + IDLE_TIMEOUT);
        }
    }

    /// A connection failed or ended; what was sent and not acknowledged is sent again.
    pub fn on_closed(&mut self, now: Time, connection: ConnectionId) {
        let Some(channel) = self.channel_of(connection) else { return };
        if self.channels[channel].is_waiting() {
            self.connect_at = now + RECONNECT_DELAY;
        }
        self.channels[channel].agent.on_closed(now);
        self.resend_in_flight(channel);
    }

    /// Lets the notifications of a request that has failed be sent again.
    fn resend_in_flight(&mut self, channel: usize) {
        for number in std::mem::take(&mut self.channels[channel].in_flight) {
            if let Some(pending) = self.pending.get_mut(&number) {
                pending.resend_at = None;
            }
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
        let Some(place) = self.channel_of(connection) else { return settled };
        let channel = &mut self.channels[place];
        let Some(response) = channel.agent.on_bytes(now, bytes, now + IDLE_TIMEOUT, transport) else {
            return settled;
        };
        if channel.agent.has_surplus_bytes() {
            channel.agent.close(now, transport);
        }
        match response.map(|response| response.start) {
            Ok(Start::Response { status: 200..=299 }) => {
                self.batch_limit = MAX_BATCH;
                settled.acknowledged = self.settle_in_flight(place);
            }
            // It can't be read, alone: sending it again for ever would keep all others from being sent.
            Ok(Start::Response { status: 400..=499 }) if channel.in_flight.len() == 1 => {
                settled.rejected = self.settle_in_flight(place);
            }
            _ => {
                // Not again at once: an agent that rejects everything would be asked without a pause.
                channel.agent.close(now, transport);
                self.connect_at = now + RECONNECT_DELAY;
                self.batch_limit = 1;
                self.resend_in_flight(place);
            }
        }
        settled
    }

    /// Removes the notifications of a request that has its response; returns those that were still pending.
    fn settle_in_flight(&mut self, channel: usize) -> Vec<u32> {
        let sent = std::mem::take(&mut self.channels[channel].in_flight);
        sent.into_iter().filter(|number| self.remove(*number)).collect()
    }

    /// Removes a notification; whether it was pending.
    fn remove(&mut self, number: u32) -> bool {
        let Some(pending) = self.pending.remove(&number) else { return false };
        let Some(key) = pending.notification.order_key else { return true };
        if let Some(count) = self.blocked_keys.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.blocked_keys.remove(&key);
            }
        }
        true
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
