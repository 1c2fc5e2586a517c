//! Notifications to the platform about messages that ended undelivered. Each is sent through the discovery agent and
//! repeated until the platform acknowledges or rejects it.

mod pending;

use crate::discovery_connection::{ConnectionStatus, DiscoveryConnection, RECONNECT_DELAY};
use crate::limits::MAX_BODY_BYTES;
use crate::transport::{ConnectionId, Transport};
use crate::unsolicited::{UnsolicitedBytes, UnsolicitedSource};
use cloverstile::{OrderKey, Time};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_http::{Headers, StartLine};
use pending::PendingNotifications;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of notifications in one request; keeps the request body under [`MAX_BODY_BYTES`].
const MAX_BATCH_SIZE: usize = 256;
/// Time limit for establishing a connection; short, as the agent is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the response to a request. It is longer than an agent takes that is merely slow: a response that comes
/// behind it is lost, and with it the request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest delay after which an unanswered notification is sent a second time. The agent normally answers at once, and the
/// platform allows the end of a message to be reported at most 0.3 s late.
const MIN_COPY_DELAY: Duration = Duration::from_millis(200);
/// The second request follows after the measured response time times this.
const COPY_DELAY_MULTIPLE: u32 = 2;
/// Weight of the newest response time in the measured one, if it is shorter; a longer one counts at once.
const LATENCY_GAIN: f64 = 0.125;
/// Number of requests that may be unanswered without a delay of the next one.
const PROMPT_REQUESTS: usize = 3;
/// Delay between two further requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of simultaneous connections to the discovery agent for notifications: as many as can be opened at that
/// interval until the first request is answered or times out, so that one is always free.
pub const MAX_AGENT_CONNECTIONS: usize =
    PROMPT_REQUESTS + (RESPONSE_TIMEOUT.as_millis() / REQUEST_INTERVAL.as_millis()) as usize;
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
    /// When the request in flight was sent.
    sent_at: Time,
}

impl AgentConnection {
    fn new(address: SocketAddr) -> Self {
        let connection = DiscoveryConnection::new(address, MAX_BODY_BYTES, UnsolicitedSource::Notifications);
        AgentConnection { connection, in_flight: Vec::new(), sent_at: Time::ZERO }
    }

    fn has_status(&self, status: ConnectionStatus) -> bool {
        self.connection.status() == status
    }

    fn is_waiting(&self) -> bool {
        self.has_status(ConnectionStatus::Connecting) || self.has_status(ConnectionStatus::AwaitingResponse)
    }
}

/// All notifications that have not been settled, by the number that the log assigned to the message.
///
/// Each is sent as soon as possible, on another connection if a request is still unanswered: an agent that leaves one
/// request unanswered must not delay the other notifications, whose messages may be past their deadline. A request that is out
/// is not given up for others. A notification whose request is unanswered for longer than usual is sent once more. A
/// connection carries one request and is closed with its response.
pub struct Notifications {
    agent_connections: Vec<AgentConnection>,
    pending: PendingNotifications,
    /// Maximum number of notifications in the next request. It is 1 after a failed request, so that an invalid
    /// notification is identified and the others are accepted.
    batch_limit: usize,
    /// The earliest time at which a connection may be opened.
    connect_at: Time,
    /// Measured time to a response; zero before the first.
    latency: Duration,
}

impl Notifications {
    /// Creates an empty set of notifications for the agent at this address.
    pub fn new(address: SocketAddr) -> Self {
        Notifications {
            agent_connections: (0..MAX_AGENT_CONNECTIONS).map(|_| AgentConnection::new(address)).collect(),
            pending: PendingNotifications::default(),
            batch_limit: MAX_BATCH_SIZE,
            connect_at: Time::ZERO,
            latency: Duration::ZERO,
        }
    }

    /// Adds a notification of the message with this number.
    pub fn enqueue(&mut self, message_number: u32, notification: Notification, release: Release) {
        self.pending.insert(message_number, notification, release == Release::OnceStored);
    }

    /// Allows all held notifications to be sent.
    pub fn release_held(&mut self) {
        self.pending.release_held();
    }

    /// Whether a notification with this order key is pending, which blocks the key's next message.
    pub fn is_key_blocked(&self, key: OrderKey) -> bool {
        self.pending.is_key_blocked(key)
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
        self.pending.len() == 0
    }

    /// The latest time at which [`Notifications::on_tick`] must be called, if there is one.
    pub fn next_timeout(&self) -> Option<Time> {
        let open = self.agent_connections.iter().filter(|agent| !agent.has_status(ConnectionStatus::Closed));
        open.map(|agent| agent.connection.next_timeout()).chain(self.next_send_at()).min()
    }

    /// When the next request can be sent or a connection opened for it; none if that waits for an event on a connection.
    fn next_send_at(&self) -> Option<Time> {
        let at = self.pending.sendable_at()?;
        if self.position(ConnectionStatus::Idle).is_some() {
            return Some(at);
        }
        if self.position(ConnectionStatus::Connecting).is_some() {
            return None;
        }
        self.position(ConnectionStatus::Closed)?;
        Some(at.max(self.connect_at).max(self.next_request_at()))
    }

    /// The first connection with this status.
    fn position(&self, status: ConnectionStatus) -> Option<usize> {
        self.agent_connections.iter().position(|agent| agent.has_status(status))
    }

    /// The earliest time of the next request, so that the connections last until the first unanswered request ends.
    fn next_request_at(&self) -> Time {
        let is_unanswered = |agent: &&AgentConnection| agent.has_status(ConnectionStatus::AwaitingResponse);
        let unanswered = self.agent_connections.iter().filter(is_unanswered);
        let newest = unanswered.clone().map(|agent| agent.sent_at).max();
        newest
            .filter(|_| unanswered.count() >= PROMPT_REQUESTS)
            .map_or(Time::ZERO, |newest| newest + REQUEST_INTERVAL)
    }

    /// Time without a response after which a notification is sent a second time.
    fn copy_delay(&self) -> Duration {
        MIN_COPY_DELAY.max(self.latency * COPY_DELAY_MULTIPLE)
    }

    /// Sends pending notifications or opens a connection for them, and closes connections that timed out. Must be
    /// called after the records of the current event loop turn are written to the log.
    pub fn on_tick(&mut self, now: Time, transport: &mut impl Transport) {
        self.close_timed_out(now, transport);
        #[cfg(feature = "planted-defects")]
        self.close_longest_unanswered(now, transport);
        if self.next_send_at().is_none_or(|at| at > now) {
            return;
        }
        if let Some(idle) = self.position(ConnectionStatus::Idle) {
            self.send_batch(now, idle, transport);
        } else if let Some(closed) = self.position(ConnectionStatus::Closed) {
            self.agent_connections[closed].connection.connect(now + CONNECT_TIMEOUT, transport);
        }
    }

    /// Closes connections that timed out. The notifications in their requests may be sent again.
    fn close_timed_out(&mut self, now: Time, transport: &mut impl Transport) {
        for index in 0..self.agent_connections.len() {
            let agent = &mut self.agent_connections[index];
            if agent.has_status(ConnectionStatus::Closed) || agent.connection.next_timeout() > now {
                continue;
            }
            if agent.is_waiting() {
                self.connect_at = now + RECONNECT_DELAY;
            }
            agent.connection.close(now, transport);
            self.on_request_failed(now, index);
        }
    }

    /// Planted defect: closes the connection that has waited longest for a response, for notifications that are unsent.
    #[cfg(feature = "planted-defects")]
    fn close_longest_unanswered(&mut self, now: Time, transport: &mut impl Transport) {
        let unanswered = self.agent_connections.iter().enumerate();
        let unanswered = unanswered.filter(|(_, agent)| agent.has_status(ConnectionStatus::AwaitingResponse));
        let is_crowded = unanswered.clone().count() >= PROMPT_REQUESTS;
        let longest = unanswered.min_by_key(|(_, agent)| agent.sent_at).map(|(index, _)| index);
        let Some(index) = longest.filter(|_| is_crowded && is_planted(PlantedDefect::UnansweredDropped))
        else {
            return;
        };
        let is_overdue = self.agent_connections[index].sent_at + MIN_COPY_DELAY <= now;
        if is_overdue && self.pending.sendable_at().is_some_and(|at| at <= now) {
            self.agent_connections[index].connection.close(now, transport);
            self.on_request_failed(now, index);
        }
    }

    /// Sends the notifications that are due, up to the batch limit, on an idle connection.
    fn send_batch(&mut self, now: Time, index: usize, transport: &mut impl Transport) {
        let batch = self.pending.take_batch(now, self.batch_limit, self.copy_delay());
        let body: Vec<u8> = batch.iter().flat_map(|(_, notification)| json_line(notification)).collect();
        let agent = &mut self.agent_connections[index];
        let host = agent.connection.address().to_string();
        let headers = Headers::new().with("Host", host).with("Content-Type", "application/x-ndjson");
        let request = cloverstile_http::encode_request("POST", "/v1/notices", &headers, &body);
        agent.in_flight = batch.into_iter().map(|(message_number, _)| message_number).collect();
        agent.sent_at = now;
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
            self.pending.reset();
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
        self.on_request_failed(now, index);
    }

    /// Allows the notifications in a failed request to be sent again.
    fn on_request_failed(&mut self, now: Time, index: usize) {
        let copy_delay = self.copy_delay();
        for message_number in std::mem::take(&mut self.agent_connections[index].in_flight) {
            self.pending.on_request_failed(now, message_number, copy_delay);
        }
    }

    /// Updates the measured response time with that of a request.
    fn record_latency(&mut self, latency: Duration) {
        let smoothed = self.latency.mul_f64(1.0 - LATENCY_GAIN) + latency.mul_f64(LATENCY_GAIN);
        self.latency = latency.max(smoothed);
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
        let latency = now - agent.sent_at;
        match response.map(|response| response.start_line) {
            Ok(StartLine::Response { status: 200..=299 }) => {
                self.record_latency(latency);
                self.batch_limit = MAX_BATCH_SIZE;
                settled.acknowledged = self.settle_in_flight(index);
            }
            // The platform rejects this notification even on its own. Sending it again forever would block all others.
            Ok(StartLine::Response { status: 400..=499 })
                if self.agent_connections[index].in_flight.len() == 1 =>
            {
                settled.rejected = self.settle_in_flight(index);
            }
            _ => {
                // Wait before reconnecting: an agent that rejects everything would otherwise get requests without
                // pause.
                self.connect_at = now + RECONNECT_DELAY;
                self.batch_limit = 1;
                self.on_request_failed(now, index);
            }
        }
        settled
    }

    /// Removes the notifications in a request that was answered, and returns those that were still pending.
    fn settle_in_flight(&mut self, index: usize) -> Vec<u32> {
        let sent = std::mem::take(&mut self.agent_connections[index].in_flight);
        sent.into_iter().filter(|message_number| self.pending.remove(*message_number)).collect()
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
