//! The watch of the endpoint list: consecutive long polls of the discovery agent on one connection.

use crate::discovery_connection::{ConnectionStatus, DiscoveryConnection, RECONNECT_DELAY};
use crate::endpoint_list_response::EndpointListResponse;
use crate::transport::{ConnectionId, Transport};
use crate::unsolicited::{UnsolicitedBytes, UnsolicitedSource};
use cloverstile::Time;
use cloverstile_http::{Headers, HttpError, Message, StartLine};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum time that the agent may hold a request while the list does not change. The platform assumes that the gateway
/// knows a change two seconds after service discovery does.
const LONG_POLL: Duration = Duration::from_secs(4);
/// Timeout for establishing a connection, and time that a response may take beyond [`LONG_POLL`].
const GRACE_PERIOD: Duration = Duration::from_millis(500);
/// After a response without a change that arrives sooner than this, the next request is delayed by [`RECONNECT_DELAY`].
/// Guards against a busy loop with an agent that responds at once instead of holding the request. The delay is well
/// below the 200 ms within which a watch must ask again.
const MIN_LONG_POLL: Duration = Duration::from_secs(2);
/// Maximum size of a response body, in bytes.
const MAX_LIST_BYTES: usize = 2 << 20;

/// Why a response of the discovery agent can't be read as an endpoint list.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum EndpointListError {
    /// It is not valid HTTP.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// Its status is not 200.
    #[error("unexpected status: {0:?}")]
    UnexpectedStatus(StartLine),
    /// Its body is not an endpoint list; the error says where and why.
    #[error("{0}")]
    Json(String),
    /// The list is older than the version after which the request asked for changes. On a connection that has carried an
    /// earlier response this is a copy of one, not the response to the request.
    #[error("version {version} is older than version {known}, after which changes were requested")]
    Outdated {
        /// Version of the list.
        version: u64,
        /// Version of the list read before.
        known: u64,
    },
}

/// The watch of the endpoint list. It sends the next request as soon as it has read a response, so that no change is
/// missed.
pub struct EndpointWatch {
    agent: DiscoveryConnection,
    /// Version of the most recently read list.
    version: u64,
    /// When the last request was sent.
    requested_at: Time,
    /// Whether the connection has carried an earlier response.
    is_connection_reused: bool,
}

impl EndpointWatch {
    /// Creates a watch for changes after `version`, through the discovery agent at `address`.
    pub fn new(address: SocketAddr, version: u64) -> Self {
        let agent = DiscoveryConnection::new(address, MAX_LIST_BYTES, UnsolicitedSource::EndpointWatch);
        EndpointWatch { agent, version, requested_at: Time::ZERO, is_connection_reused: false }
    }

    /// Takes the bytes that answered no request, in the order in which they were read.
    pub fn take_unsolicited(&mut self) -> Vec<UnsolicitedBytes> {
        self.agent.take_unsolicited()
    }

    /// When [`EndpointWatch::on_tick`] must be called at the latest.
    pub fn next_timeout(&self) -> Time {
        self.agent.next_timeout()
    }

    /// Sends the next request or reconnects when the timeout has passed. Guards against an agent that stops responding:
    /// a request that times out is sent again on a new connection.
    pub fn on_tick(&mut self, now: Time, transport: &mut impl Transport) {
        if self.next_timeout() > now {
            return;
        }
        match self.agent.status() {
            ConnectionStatus::Idle => self.request(now, transport),
            _ => self.agent.connect(now + GRACE_PERIOD, transport),
        }
    }

    /// Changes the agent's address and connects to the new one at once.
    pub fn set_address(&mut self, now: Time, address: SocketAddr, transport: &mut impl Transport) {
        if self.agent.set_address(now, address, transport) {
            self.on_tick(now, transport);
        }
    }

    /// Whether a connection belongs to this watch.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.agent.owns(connection)
    }

    /// A connection was established. If it belongs to this watch, the watch sends a request.
    pub fn on_connected(&mut self, now: Time, connection: ConnectionId, transport: &mut impl Transport) {
        if self.agent.on_connected(connection, now) {
            self.is_connection_reused = false;
            self.request(now, transport);
        }
    }

    /// Sends a request for the changes after `version`.
    fn request(&mut self, now: Time, transport: &mut impl Transport) {
        self.requested_at = now;
        let target = format!("/registry/instances?after={}&wait_ms={}", self.version, LONG_POLL.as_millis());
        let headers = Headers::new().with("Host", self.agent.address().to_string());
        let request = cloverstile_http::encode_request("GET", &target, &headers, b"");
        self.agent.send(&request, now + LONG_POLL + GRACE_PERIOD, transport);
    }

    /// A connection failed or was closed. If it belongs to this watch, the watch reconnects after a short delay.
    pub fn on_closed(&mut self, now: Time, connection: ConnectionId) {
        if self.owns(connection) {
            self.agent.on_closed(now + RECONNECT_DELAY);
        }
    }

    /// Bytes were received on a connection. Returns the endpoint list once its response is complete.
    ///
    /// # Errors
    ///
    /// The response is not an endpoint list. The connection is closed, and the watch asks again on a new one.
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
        let list = response.map_err(EndpointListError::from).and_then(|message| parse_list(&message));
        match list.and_then(|list| self.check_version(list)) {
            Ok(list) => {
                self.is_connection_reused = true;
                self.continue_watch(now, &list, transport);
                Ok(Some(list))
            }
            Err(error) => {
                self.agent.close(now + RECONNECT_DELAY, transport);
                Err(error)
            }
        }
    }

    /// Checks that a list can be the response to the last request. On a new connection any version is accepted: service
    /// discovery may have started anew.
    fn check_version(&self, list: EndpointListResponse) -> Result<EndpointListResponse, EndpointListError> {
        if self.is_connection_reused && list.version < self.version {
            return Err(EndpointListError::Outdated { version: list.version, known: self.version });
        }
        Ok(list)
    }

    /// Requests the changes after the list that was just read. A connection with unsolicited bytes is closed, and one on
    /// which a response without a change came early: it may have been a copy, and the true response would be taken for that
    /// to the next request.
    fn continue_watch(&mut self, now: Time, list: &EndpointListResponse, transport: &mut impl Transport) {
        let is_early = list.version == self.version && now < self.requested_at + MIN_LONG_POLL;
        self.version = list.version;
        if is_early {
            // `on_tick` connects again.
            return self.agent.close(now + RECONNECT_DELAY, transport);
        }
        match self.agent.status() {
            ConnectionStatus::Idle if !self.agent.has_surplus_bytes() => self.request(now, transport),
            _ => self.agent.connect(now + GRACE_PERIOD, transport),
        }
    }
}

fn parse_list(message: &Message) -> Result<EndpointListResponse, EndpointListError> {
    match message.start_line {
        StartLine::Response { status: 200 } => {
            serde_json::from_slice(&message.body).map_err(|error| EndpointListError::Json(error.to_string()))
        }
        ref other => Err(EndpointListError::UnexpectedStatus(other.clone())),
    }
}
