//! Notifications to the platform about messages that ended undelivered. Each is sent through the discovery agent and
//! repeated until the platform acknowledges or rejects it.

use crate::discovery_connection::{ConnectionStatus, DiscoveryConnection, RECONNECT_DELAY};
use crate::limits::MAX_BODY_BYTES;
use crate::transport::{ConnectionId, Transport};
use crate::unsolicited::{UnsolicitedBytes, UnsolicitedSource};
use cloverstile::{OrderKey, Time};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_http::{Headers, StartLine};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of notifications in one request; keeps the request body under [`MAX_BODY_BYTES`].
const MAX_BATCH_SIZE: usize = 256;
/// Time limit for establishing a connection; short, as the agent is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the response to a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after which an unacknowledged notification is sent again on another connection. The agent normally answers at
/// once, and the platform allows the end of a message to be reported at most 0.3 s late.
const RESEND_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of simultaneous connections to the discovery agent for notifications.
pub const MAX_AGENT_CONNECTIONS: usize = 3;
/// How long a connection that has carried no request is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How an undelivered message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotificationStatus {
    /// The message may have taken effect.
    Undeliverable,
    /// The message never took effect.
    Deferred {
        /// Delay in milliseconds after which the message may be submitted again, if one is known.
        retry_after_ms: Option<u64>,
    },
}

/// Tells the platform that a message was not delivered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification {
    /// The message id assigned by the client.
    pub message_id: String,
    /// Whether the message may have taken effect.
    pub status: NotificationStatus,
    /// The message's order key. The next message with this key waits until this notification is settled.
    pub order_key: Option<OrderKey>,
}

/// When a notification may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// With the next [`Notifications::on_tick`], even if its record is not stored in the log yet.
    AtOnce,
    /// After the next [`Notifications::release_held`], that is, once its record is stored in the log.
    OnceStored,
}

/// Numbers of the messages whose notifications a response of the platform settles.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettledNotifications {
    /// Acknowledged by the platform: a response with status 2xx.
    pub acknowledged: Vec<u32>,
    /// Permanently rejected by the platform, by a response with status 4xx to this notification alone; not sent again.
    pub rejected: Vec<u32>,
}

/// A connection to the agent and the notifications in its current request.
struct AgentConnection {
    connection: DiscoveryConnection,
    /// Message numbers of the notifications in the request in flight.
    in_flight: Vec<u32>,
    /// When the request in flight may be dropped in favour of notifications that were never sent, if all connections
    /// are in use.
    droppable_at: Time,
}

impl AgentConnection {
    fn new(address: SocketAddr) -> Self {
        let connection = DiscoveryConnection::new(address, MAX_BODY_BYTES, UnsolicitedSource::Notifications);
        AgentConnection { connection, in_flight: Vec::new(), droppable_at: Time::ZERO }
    }

    fn is_waiting(&self) -> bool {
        matches!(self.connection.status(), ConnectionStatus::Connecting | ConnectionStatus::AwaitingResponse)
    }

    fn close(&mut self, now: Time, transport: &mut impl Transport) {
        self.in_flight.clear();
        self.connection.close(now, transport);
    }
}

/// A notification that has not been settled.
struct PendingNotification {
    notification: Notification,
    /// Whether it must not be sent until [`Notifications::release_held`].
    is_held: bool,
    /// When it may be sent again; none if it was never sent or must be resent at once.
    resend_at: Option<Time>,
}

impl PendingNotification {
    /// The earliest time at which it may be sent; none while it is held.
    fn sendable_at(&self) -> Option<Time> {
        (!self.is_held).then(|| self.resend_at.unwrap_or(Time::ZERO))
    }
}

/// All notifications that have not been settled, by the number that the log assigned to the message.
///
/// Each is sent as soon as possible, on another connection if a request is still unanswered: an agent that leaves one
/// request unanswered must not delay the other notifications, whose messages may be past their deadline. A notification
/// that is not acknowledged in time is sent again. A connection carries one request and is closed with its response.
pub struct Notifications {
    agent_connections: Vec<AgentConnection>,
    pending: BTreeMap<u32, PendingNotification>,
    /// Number of pending notifications by order key.
    blocked_keys: HashMap<OrderKey, usize>,
    /// Maximum number of notifications in the next request. It is 1 after a failed request, so that an invalid
    /// notification is identified and the others are accepted.
    batch_limit: usize,
    /// The earliest time at which a connection may be opened.
    connect_at: Time,
}

impl Notifications {
    /// Creates an empty set of notifications for the agent at this address.
    pub fn new(address: SocketAddr) -> Self {
        Notifications {
            agent_connections: (0..MAX_AGENT_CONNECTIONS).map(|_| AgentConnection::new(address)).collect(),
            pending: BTreeMap::new(),
            blocked_keys: HashMap::new(),
            batch_limit: MAX_BATCH_SIZE,
            connect_at: Time::ZERO,
        }
    }

    /// Adds a notification of the message with this number.
    pub fn enqueue(&mut self, message_number: u32, notification: Notification, release: Release) {
        if let Some(key) = notification.order_key {
            *self.blocked_keys.entry(key).or_default() += 1;
        }
        let is_held = release == Release::OnceStored;
        self.pending.insert(message_number, PendingNotification { notification, is_held, resend_at: None });
    }

    /// Allows all held notifications to be sent.
    pub fn release_held(&mut self) {
        self.pending.values_mut().for_each(|pending| pending.is_held = false);
    }

    /// Whether a notification with this order key is pending, which blocks the key's next message.
    pub fn is_key_blocked(&self, key: OrderKey) -> bool {
        self.blocked_keys.contains_key(&key)
    }

    /// Takes the bytes that answered no request, by connection and in the order in which they were read.
    pub fn take_unsolicited(&mut self) -> Vec<UnsolicitedBytes> {
        self.agent_connections.iter_mut().flat_map(|agent| agent.connection.take_unsolicited()).collect()
    }

    /// Number of pending notifications.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no notification is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The latest time at which [`Notifications::on_tick`] must be called, if there is one.
    pub fn next_timeout(&self) -> Option<Time> {
        let has_status = |status: ConnectionStatus| {
            self.agent_connections.iter().any(|agent| agent.connection.status() == status)
        };
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
            let droppable_at = self.agent_connections.iter().map(|agent| agent.droppable_at).min();
            droppable_at.filter(|_| self.has_unsent()).map(|droppable_at| at.max(droppable_at))
        });
        let open = self
            .agent_connections
            .iter()
            .filter(|agent| agent.connection.status() != ConnectionStatus::Closed);
        open.map(|agent| agent.connection.next_timeout()).chain(send_at).min()
    }

    /// Sends pending notifications or opens a connection for them, and closes connections that timed out. Must be
    /// called after the records of the current event loop turn are written to the log.
    pub fn on_tick(&mut self, now: Time, transport: &mut impl Transport) {
        for agent in &mut self.agent_connections {
            let is_open = agent.connection.status() != ConnectionStatus::Closed;
            if is_open && agent.connection.next_timeout() <= now {
                if agent.is_waiting() {
                    self.connect_at = now + RECONNECT_DELAY;
                }
                agent.close(now, transport);
            }
        }
        let is_sendable = |pending: &PendingNotification| pending.sendable_at().is_some_and(|at| at <= now);
        if !self.pending.values().any(is_sendable) {
            return;
        }
        let position_with_status = |agents: &[AgentConnection], status: ConnectionStatus| {
            agents.iter().position(|agent| agent.connection.status() == status)
        };
        if let Some(idle) = position_with_status(&self.agent_connections, ConnectionStatus::Idle) {
            return self.send_batch(now, idle, transport);
        }
        if position_with_status(&self.agent_connections, ConnectionStatus::Connecting).is_some()
            || now < self.connect_at
        {
            return;
        }
        let free = position_with_status(&self.agent_connections, ConnectionStatus::Closed);
        if let Some(free) = free.or_else(|| self.close_longest_unanswered(now, transport)) {
            self.agent_connections[free].connection.connect(now + CONNECT_TIMEOUT, transport);
        }
    }

    /// Whether a notification that may be sent is still unsent, or must be resent at once.
    fn has_unsent(&self) -> bool {
        self.pending.values().any(|pending| !pending.is_held && pending.resend_at.is_none())
    }

    /// Closes the connection whose request has been unanswered the longest and returns its index, if that request may
    /// be dropped for unsent notifications. Called when all connections are in use.
    fn close_longest_unanswered(&mut self, now: Time, transport: &mut impl Transport) -> Option<usize> {
        let agents = self.agent_connections.iter().enumerate();
        let (index, _) = agents.min_by_key(|(_, agent)| agent.droppable_at)?;
        if !self.has_unsent() || now < self.agent_connections[index].droppable_at {
            return None;
        }
        self.agent_connections[index].close(now, transport);
        Some(index)
    }

    /// Sends the notifications that are due, up to the batch limit, on an idle connection.
    fn send_batch(&mut self, now: Time, index: usize, transport: &mut impl Transport) {
        let is_sendable = |pending: &PendingNotification| pending.sendable_at().is_some_and(|at| at <= now);
        let batch = self.pending.iter_mut().filter(|(_, pending)| is_sendable(pending));
        let (mut message_numbers, mut body) = (Vec::new(), Vec::new());
        for (message_number, pending) in batch.take(self.batch_limit) {
            pending.resend_at = Some(now + RESEND_DELAY);
            message_numbers.push(*message_number);
            body.extend(json_line(&pending.notification));
        }
        let agent = &mut self.agent_connections[index];
        let host = agent.connection.address().to_string();
        let headers = Headers::new().with("Host", host).with("Content-Type", "application/x-ndjson");
        let request = cloverstile_http::encode_request("POST", "/v1/notices", &headers, &body);
        agent.in_flight = message_numbers;
        agent.droppable_at = now + RESEND_DELAY;
        agent.connection.send(&request, now + RESPONSE_TIMEOUT, transport);
    }

    /// Changes the agent's address. Pending notifications are sent to the new address, again if they were sent before.
    pub fn set_address(&mut self, now: Time, address: SocketAddr, transport: &mut impl Transport) {
        let mut is_changed = false;
        for agent in &mut self.agent_connections {
            is_changed |= agent.connection.set_address(now, address, transport);
            agent.in_flight.clear();
        }
        if is_changed {
            self.connect_at = now;
            self.pending.values_mut().for_each(|pending| pending.resend_at = None);
        }
    }

    fn index_of(&self, connection: ConnectionId) -> Option<usize> {
        self.agent_connections.iter().position(|agent| agent.connection.owns(connection))
    }

    /// Whether a connection is one of those used for notifications.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.index_of(connection).is_some()
    }

    /// Handles a connection that was established.
    pub fn on_connected(&mut self, now: Time, connection: ConnectionId) {
        if let Some(index) = self.index_of(connection) {
            self.agent_connections[index].connection.on_connected(connection, now + IDLE_TIMEOUT);
        }
    }

    /// Handles a connection that failed or ended. The notifications in its request are sent again.
    pub fn on_closed(&mut self, now: Time, connection: ConnectionId) {
        let Some(index) = self.index_of(connection) else { return };
        if self.agent_connections[index].is_waiting() {
            self.connect_at = now + RECONNECT_DELAY;
        }
        self.agent_connections[index].connection.on_closed(now);
        self.resend_in_flight(index);
    }

    /// Makes the notifications in a failed request due again at once.
    fn resend_in_flight(&mut self, index: usize) {
        for message_number in std::mem::take(&mut self.agent_connections[index].in_flight) {
            if let Some(pending) = self.pending.get_mut(&message_number) {
                pending.resend_at = None;
            }
        }
    }

    /// Handles bytes received on a connection and returns the notifications that they settle.
    pub fn on_bytes(
        &mut self,
        now: Time,
        connection: ConnectionId,
        bytes: &[u8],
        transport: &mut impl Transport,
    ) -> SettledNotifications {
        let mut settled = SettledNotifications::default();
        let Some(index) = self.index_of(connection) else { return settled };
        let agent = &mut self.agent_connections[index];
        let Some(response) = agent.connection.on_bytes(now, bytes, now + IDLE_TIMEOUT, transport) else {
            return settled;
        };
        // A second copy of this response would acknowledge the next batch, so a connection carries a single one.
        if !keeps_connections() {
            agent.connection.close(now, transport);
        }
        match response.map(|response| response.start_line) {
            Ok(StartLine::Response { status: 200..=299 }) => {
                self.batch_limit = MAX_BATCH_SIZE;
                settled.acknowledged = self.settle_in_flight(index);
            }
            // The platform rejects this notification even on its own. Sending it again forever would block all others.
            Ok(StartLine::Response { status: 400..=499 }) if agent.in_flight.len() == 1 => {
                settled.rejected = self.settle_in_flight(index);
            }
            _ => {
                // Wait before reconnecting: an agent that rejects everything would otherwise get requests without
                // pause.
                self.connect_at = now + RECONNECT_DELAY;
                self.batch_limit = 1;
                self.resend_in_flight(index);
            }
        }
        settled
    }

    /// Removes the notifications in a request that was answered, and returns those that were still pending.
    fn settle_in_flight(&mut self, index: usize) -> Vec<u32> {
        let sent = std::mem::take(&mut self.agent_connections[index].in_flight);
        sent.into_iter().filter(|message_number| self.remove(*message_number)).collect()
    }

    /// Removes a notification and returns whether it was pending.
    fn remove(&mut self, message_number: u32) -> bool {
        let Some(pending) = self.pending.remove(&message_number) else { return false };
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

/// Whether connections are kept for the next batch, which is a planted defect.
fn keeps_connections() -> bool {
    #[cfg(feature = "planted-defects")]
    if is_planted(PlantedDefect::CopyAcknowledges) {
        return true;
    }
    false
}

/// Encodes a notification as a line of newline-delimited JSON.
fn json_line(notification: &Notification) -> Vec<u8> {
    let (status, retry_after_ms) = match notification.status {
        NotificationStatus::Undeliverable => ("undeliverable", None),
        NotificationStatus::Deferred { retry_after_ms } => ("deferred", retry_after_ms),
    };
    let mut line = serde_json::json!({ "id": notification.message_id, "status": status });
    if let Some(milliseconds) = retry_after_ms {
        line["again_ms"] = milliseconds.into();
    }
    format!("{line}\n").into_bytes()
}
