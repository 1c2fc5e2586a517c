//! The watch of the endpoint list: one long poll of the discovery agent after another, on one connection.

use crate::discovery_connection::{ConnectionStatus, DiscoveryConnection, RECONNECT_DELAY};
use crate::endpoint_list_response::EndpointListResponse;
use crate::transport::{ConnectionId, Transport};
use cloverstile::Time;
use cloverstile_http::{Headers, HttpError, Message, Start};
use std::net::SocketAddr;
use std::time::Duration;

/// How long the agent may hold a request until the list changes. The platform counts what discovery knows as known to
/// the gateway two seconds later.
const LONG_POLL: Duration = Duration::from_secs(4);
/// How long a connection may take to be established, and a response beyond [`LONG_POLL`], before it has failed.
const GRACE_PERIOD: Duration = Duration::from_millis(500);
/// A response without a change that comes sooner than this was no long poll: the next request waits for
/// [`RECONNECT_DELAY`], well inside the 200 ms that keep a watch. Guards against an agent that is asked as quickly as it
/// answers.
const MIN_LONG_POLL: Duration = Duration::from_secs(2);
/// Largest response body that is read, in bytes.
const MAX_LIST_BYTES: usize = 2 << 20;

/// Why a response of the discovery agent is no endpoint list.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum EndpointListError {
    /// It is not HTTP.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// It has another status than 200.
    #[error("answered {0:?}")]
    UnexpectedStatus(Start),
    /// Its body is not an endpoint list; the text says where and why.
    #[error("{0}")]
    Json(String),
}

/// The watch of the endpoint list. It asks again as soon as a response was read, so that no change is missed.
pub struct EndpointWatch {
    agent: DiscoveryConnection,
    /// Version of the list that was read last.
    version: u64,
    /// When the last request was sent.
    requested_at: Time,
}

impl EndpointWatch {
    /// A watch, by the agent at this address, of what is newer than a version.
    pub fn new(address: SocketAddr, version: u64) -> Self {
        let agent = DiscoveryConnection::new(address, MAX_LIST_BYTES);
        EndpointWatch { agent, version, requested_at: Time::ZERO }
    }

    /// When [`EndpointWatch::on_tick`] must be called at the latest.
    pub fn next_timeout(&self) -> Time {
        self.agent.next_timeout()
    }

    /// Connects or asks again where it is time. Guards against an agent that went silent: a request without a response
    /// must not keep us from the list.
    pub fn on_tick(&mut self, now: Time, transport: &mut impl Transport) {
        if self.next_timeout() > now {
            return;
        }
        match self.agent.status() {
            ConnectionStatus::Idle => self.request(now, transport),
            _ => self.agent.connect(now + GRACE_PERIOD, transport),
        }
    }

    /// Changes the agent's address; it is asked there at once.
    pub fn set_address(&mut self, now: Time, address: SocketAddr, transport: &mut impl Transport) {
        if self.agent.set_address(now, address, transport) {
            self.on_tick(now, transport);
        }
    }

    /// Whether a connection is this watch's.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.agent.owns(connection)
    }

    /// A connection was established; the watch asks if it is its own.
    pub fn on_connected(&mut self, now: Time, connection: ConnectionId, transport: &mut impl Transport) {
        if self.agent.on_connected(connection, now) {
            self.request(now, transport);
        }
    }

    fn request(&mut self, now: Time, transport: &mut impl Transport) {
        self.requested_at = now;
        let target = format!("/registry/instances?after={}&wait_ms={}", self.version, LONG_POLL.as_millis());
        let headers = Headers::new().with("Host", self.agent.address().to_string());
        let request = cloverstile_http::request("GET", &target, &headers, b"");
        self.agent.send(&request, now + LONG_POLL + GRACE_PERIOD, transport);
    }

    /// A connection failed or ended; the watch connects again if it is its own.
    pub fn on_closed(&mut self, now: Time, connection: ConnectionId) {
        if self.owns(connection) {
            self.agent.on_closed(now + RECONNECT_DELAY);
        }
    }

    /// Bytes were received on a connection: the response, once it is whole.
    ///
    /// # Errors
    ///
    /// A response that is no endpoint list. The connection is closed, and the watch asks again on a new one.
    pub fn on_bytes(
        &mut self,
        now: Time,
        connection: ConnectionId,
        bytes: &[u8],
        transport: &mut impl Transport,
    ) -> Result<Option<EndpointListResponse>, EndpointListError> {
        if !self.owns(connection) {
            return Ok(None);
        }
        let Some(response) = self.agent.on_bytes(now, bytes, now + RECONNECT_DELAY, transport) else {
            return Ok(None);
        };
        match response.map_err(EndpointListError::from).and_then(|message| parse_list(&message)) {
            Ok(list) => {
                self.continue_watch(now, &list, transport);
                Ok(Some(list))
            }
            Err(error) => {
                self.agent.close(now + RECONNECT_DELAY, transport);
                Err(error)
            }
        }
    }

    /// Asks for what is newer than the list that was read.
    fn continue_watch(&mut self, now: Time, list: &EndpointListResponse, transport: &mut impl Transport) {
        let is_early = list.version == self.version && now < self.requested_at + MIN_LONG_POLL;
        self.version = list.version;
        match self.agent.status() {
            // The next tick asks again.
            ConnectionStatus::Idle | ConnectionStatus::Closed if is_early => {}
            ConnectionStatus::Idle => self.request(now, transport),
            _ => self.agent.connect(now + GRACE_PERIOD, transport),
        }
    }
}

fn parse_list(message: &Message) -> Result<EndpointListResponse, EndpointListError> {
    match message.start {
        Start::Response { status: 200 } => {
            serde_json::from_slice(&message.body).map_err(|error| EndpointListError::Json(error.to_string()))
        }
        ref other => Err(EndpointListError::UnexpectedStatus(other.clone())),
    }
}
