//! HTTP connection to the discovery agent on the gateway's own machine: one request at a time, with timeouts.
//!
//! The endpoint watch and the notifications decide what to request and when.

use crate::transport::{ConnectionId, Transport};
use crate::unsolicited::{
    response_status, time_since, UnsolicitedBytes, UnsolicitedLog, UnsolicitedPhase, UnsolicitedSource,
};
use cloverstile::Time;
use cloverstile_http::{DecodedItem, Decoder, HttpError, Limits, Message};
use std::net::SocketAddr;
use std::time::Duration;

/// Delay before reconnecting after a failure. It is short, as the agent runs on the same machine.
pub(crate) const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// State of the connection, with its data.
enum State {
    /// Not connected, and not to be connected before `until`.
    Closed { until: Time },
    /// The connection is being established; it has failed if it is not established at `until`.
    Connecting { connection: ConnectionId, until: Time },
    /// No request is in flight; the idle connection times out at `until`.
    Idle { connection: ConnectionId, decoder: Box<Decoder>, until: Time },
    /// A request is in flight; it has failed if there is no response at `until`.
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

/// A connection to the discovery agent. It is not opened until [`DiscoveryConnection::connect`] is called.
pub(crate) struct DiscoveryConnection {
    address: SocketAddr,
    limits: Limits,
    state: State,
    /// What unsolicited bytes on this connection are recorded as.
    source: UnsolicitedSource,
    /// When the last complete response was read on the current connection.
    response_at: Option<Time>,
    unsolicited: UnsolicitedLog,
}

impl DiscoveryConnection {
    /// Creates the connection in the closed state. Response bodies are limited to `max_body_bytes`.
    pub fn new(address: SocketAddr, max_body_bytes: usize, source: UnsolicitedSource) -> Self {
        DiscoveryConnection {
            address,
            limits: Limits { max_body_bytes, ..Limits::default() },
            state: State::Closed { until: Time::ZERO },
            source,
            response_at: None,
            unsolicited: UnsolicitedLog::default(),
        }
    }

    /// Takes the bytes that answered no request, in the order in which they were read.
    pub fn take_unsolicited(&mut self) -> Vec<UnsolicitedBytes> {
        self.unsolicited.take()
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

    /// When the current state times out.
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

    /// Whether this is the connection with that id.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.connection() == Some(connection)
    }

    /// Closes the connection, if there is one. It is not to be connected again before `until`.
    pub fn close(&mut self, until: Time, transport: &mut impl Transport) {
        if let Some(connection) = self.connection() {
            transport.close(connection);
        }
        self.state = State::Closed { until };
    }

    /// Starts to establish a connection, which has failed if it is not established at `until`. An existing one is
    /// closed.
    pub fn connect(&mut self, until: Time, transport: &mut impl Transport) {
        self.close(until, transport);
        self.response_at = None;
        self.state = State::Connecting { connection: transport.connect(self.address), until };
    }

    /// Changes the agent's address. If it differs, closes the connection and returns true.
    pub fn set_address(&mut self, now: Time, address: SocketAddr, transport: &mut impl Transport) -> bool {
        if address == self.address {
            return false;
        }
        self.close(now, transport);
        self.address = address;
        true
    }

    /// A connection was established. If it is this one, it is idle with a timeout at `until`, and the result is true.
    pub fn on_connected(&mut self, connection: ConnectionId, until: Time) -> bool {
        let is_own = matches!(self.state, State::Connecting { connection: connecting, .. } if connecting == connection);
        if is_own {
            let decoder = Box::new(Decoder::client(self.limits));
            self.state = State::Idle { connection, decoder, until };
        }
        is_own
    }

    /// The connection failed or was closed. It is not to be connected again before `until`.
    pub fn on_closed(&mut self, until: Time) {
        self.state = State::Closed { until };
    }

    /// Sends a request if the connection is idle. The request has failed if there is no response at `until`.
    pub fn send(&mut self, request: &[u8], until: Time, transport: &mut impl Transport) {
        match std::mem::replace(&mut self.state, State::Closed { until }) {
            State::Idle { connection, decoder, .. } => {
                transport.write(connection, request);
                self.state = State::AwaitingResponse { connection, decoder, until };
            }
            other => self.state = other,
        }
    }

    /// Bytes were received. Returns the response once it is complete, or the error if it can't be decoded. After that
    /// the connection is idle with a timeout at `idle_until`, or closed if it can't be reused.
    pub fn on_bytes(
        &mut self,
        now: Time,
        bytes: &[u8],
        idle_until: Time,
        transport: &mut impl Transport,
    ) -> Option<Result<Message, HttpError>> {
        let clock = Duration::from_nanos(now.0);
        let State::AwaitingResponse { decoder, .. } = &mut self.state else {
            // No request is in flight: these bytes could be mistaken for the response to a later request.
            self.record_unsolicited(now, UnsolicitedPhase::Idle, bytes.len(), response_status(bytes));
            self.close(now, transport);
            return None;
        };
        decoder.feed(clock, bytes);
        let response = match decoder.next(clock) {
            Ok(None | Some(DecodedItem::ExpectsContinue)) => return None,
            Ok(Some(DecodedItem::Message(message))) => Ok(message),
            Err(error) => Err(error),
        };
        let (surplus, status) = (decoder.buffered_bytes(), decoder.status());
        self.response_at = Some(now);
        if response.is_ok() && surplus > 0 {
            self.record_unsolicited(now, UnsolicitedPhase::AfterResponse, surplus, status);
        }
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

    /// Records bytes that answer no request.
    fn record_unsolicited(
        &mut self,
        now: Time,
        phase: UnsolicitedPhase,
        byte_count: usize,
        status: Option<u16>,
    ) {
        let Some(connection) = self.connection() else { return };
        self.unsolicited.push(UnsolicitedBytes {
            connection,
            source: self.source,
            byte_count,
            status,
            since_response: time_since(now, self.response_at),
            phase,
            attempt: None,
        });
    }

    /// Whether unrequested bytes were received after the last response.
    pub fn has_surplus_bytes(&self) -> bool {
        matches!(&self.state, State::Idle { decoder, .. } if decoder.buffered_bytes() > 0)
    }
}
