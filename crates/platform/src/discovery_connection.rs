//! A connection to the discovery agent on the gateway's own machine: one request at a time, with deadlines.
//!
//! What is asked, and how soon again, is up to the endpoint watch and the notifications.

use crate::transport::{ConnectionId, Transport};
use cloverstile::Time;
use cloverstile_http::{Decoder, HttpError, Item, Limits, Message};
use std::net::SocketAddr;
use std::time::Duration;

/// Delay before a new connection after one that failed; short, as the agent is on this machine.
pub(crate) const RECONNECT_DELAY: Duration = Duration::from_millis(50);

enum State {
    /// No connection; the next one not before `until`.
    Closed { until: Time },
    /// Being established; failed at `until`.
    Connecting { connection: ConnectionId, until: Time },
    /// No request in flight; of no use after `until`.
    Idle { connection: ConnectionId, decoder: Box<Decoder>, until: Time },
    /// A request is in flight; failed at `until`.
    AwaitingResponse { connection: ConnectionId, decoder: Box<Decoder>, until: Time },
}

/// State of the connection, without its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionStatus {
    Closed,
    Connecting,
    Idle,
    AwaitingResponse,
}

/// The connection.
pub(crate) struct DiscoveryConnection {
    address: SocketAddr,
    limits: Limits,
    state: State,
}

impl DiscoveryConnection {
    /// Not connected; bodies of responses are limited to `max_body` bytes.
    pub fn new(address: SocketAddr, max_body: usize) -> Self {
        DiscoveryConnection {
            address,
            limits: Limits { max_body_bytes: max_body, ..Limits::default() },
            state: State::Closed { until: Time::ZERO },
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn status(&self) -> ConnectionStatus {
        match &self.state {
            State::Closed { .. } => ConnectionStatus::Closed,
            State::Connecting { .. } => ConnectionStatus::Connecting,
            State::Idle { .. } => ConnectionStatus::Idle,
            State::AwaitingResponse { .. } => ConnectionStatus::AwaitingResponse,
        }
    }

    /// When the state times out.
    pub fn next_timeout(&self) -> Time {
        match &self.state {
            State::Closed { until }
            | State::Connecting { until, .. }
            | State::Idle { until, .. }
            | State::AwaitingResponse { until, .. } => *until,
        }
    }

    fn connection(&self) -> Option<ConnectionId> {
        match &self.state {
            State::Closed { .. } => None,
            State::Connecting { connection, .. }
            | State::Idle { connection, .. }
            | State::AwaitingResponse { connection, .. } => Some(*connection),
        }
    }

    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.connection() == Some(connection)
    }

    /// Closes the connection, if there is one; the next one not before `until`.
    pub fn close(&mut self, until: Time, transport: &mut impl Transport) {
        if let Some(connection) = self.connection() {
            transport.close(connection);
        }
        self.state = State::Closed { until };
    }

    /// Starts to establish a connection, in place of another.
    pub fn connect(&mut self, until: Time, transport: &mut impl Transport) {
        self.close(until, transport);
        self.state = State::Connecting { connection: transport.connect(self.address), until };
    }

    /// Changes the agent's address; true where it is another one.
    pub fn set_address(&mut self, now: Time, address: SocketAddr, transport: &mut impl Transport) -> bool {
        if address == self.address {
            return false;
        }
        self.close(now, transport);
        self.address = address;
        true
    }

    /// A connection was established, and is of no use after `until`; true if it is this one.
    pub fn on_connected(&mut self, connection: ConnectionId, until: Time) -> bool {
        let is_own = matches!(self.state, State::Connecting { connection: connecting, .. } if connecting == connection);
        if is_own {
            let decoder = Box::new(Decoder::client(self.limits));
            self.state = State::Idle { connection, decoder, until };
        }
        is_own
    }

    /// The connection failed or ended; the next one not before `until`.
    pub fn on_closed(&mut self, until: Time) {
        self.state = State::Closed { until };
    }

    /// Sends a request if the connection is idle; it has failed without a response at `until`.
    pub fn send(&mut self, request: &[u8], until: Time, transport: &mut impl Transport) {
        match std::mem::replace(&mut self.state, State::Closed { until }) {
            State::Idle { connection, decoder, .. } => {
                transport.write(connection, request);
                self.state = State::AwaitingResponse { connection, decoder, until };
            }
            other => self.state = other,
        }
    }

    /// Bytes were received: the response, once it is whole, or why it can't be read. Afterwards the connection is idle
    /// until `idle_until`, or closed where it can't be used again.
    pub fn on_bytes(
        &mut self,
        now: Time,
        bytes: &[u8],
        idle_until: Time,
        transport: &mut impl Transport,
    ) -> Option<Result<Message, HttpError>> {
        let clock = Duration::from_nanos(now.0);
        let State::AwaitingResponse { decoder, .. } = &mut self.state else {
            // Nothing was asked: what comes here could be taken for a later response.
            self.close(now, transport);
            return None;
        };
        decoder.feed(clock, bytes);
        let response = match decoder.next(clock) {
            Ok(None | Some(Item::ExpectsContinue)) => return None,
            Ok(Some(Item::Message(message))) => Ok(message),
            Err(error) => Err(error),
        };
        let is_reusable = response.as_ref().is_ok_and(|response| response.keep_alive);
        match std::mem::replace(&mut self.state, State::Closed { until: now + RECONNECT_DELAY }) {
            State::AwaitingResponse { connection, decoder, .. } if is_reusable => {
                self.state = State::Idle { connection, decoder, until: idle_until };
            }
            State::AwaitingResponse { connection, .. } => transport.close(connection),
            _ => {}
        }
        Some(response)
    }

    /// Whether bytes follow the last response that belong to none.
    pub fn has_surplus_bytes(&self) -> bool {
        matches!(&self.state, State::Idle { decoder, .. } if decoder.buffered_bytes() > 0)
    }
}
