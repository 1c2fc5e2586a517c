//! Bytes that answer no request, on connections on which the gateway is the client, as events for the log.
//!
//! A response carries nothing that names its request, so bytes that arrive while no response is due, such as a second
//! copy of the previous response, could be taken for the response to the next request.

use crate::transport::ConnectionId;
use cloverstile::{EndpointId, Time};
use cloverstile_engine::Attempt;
use cloverstile_http::{Decoder, Limits};
use std::time::Duration;

/// The peer that sent unsolicited bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsolicitedSource {
    /// An endpoint.
    Endpoint(EndpointId),
    /// The discovery agent, on the connection of the endpoint watch.
    EndpointWatch,
    /// The discovery agent, on a connection for notifications.
    Notifications,
}

/// State of a connection when unsolicited bytes arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsolicitedPhase {
    /// No request was assigned to the connection.
    Idle,
    /// A request was assigned to the connection, but its last byte was not written.
    BeforeLastByte,
    /// The bytes followed a complete response in the same read.
    AfterResponse,
}

/// Unsolicited bytes on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnsolicitedBytes {
    /// The connection, which is closed.
    pub connection: ConnectionId,
    /// The peer that sent them.
    pub source: UnsolicitedSource,
    /// Number of bytes read.
    pub byte_count: usize,
    /// Status in the status line, if the bytes begin with one.
    pub status: Option<u16>,
    /// Time since the last complete response on the connection; none if there was none.
    pub since_response: Option<Duration>,
    /// State of the connection when they arrived.
    pub phase: UnsolicitedPhase,
    /// The attempt that a connection to an endpoint carries, or that it carried last. In the phases [`UnsolicitedPhase::Idle`] and
    /// [`UnsolicitedPhase::AfterResponse`] the response credited to it is in doubt.
    pub attempt: Option<Attempt>,
}

/// Unsolicited bytes that were not taken for the log yet.
#[derive(Default)]
pub(crate) struct UnsolicitedLog {
    events: Vec<UnsolicitedBytes>,
}

impl UnsolicitedLog {
    pub fn push(&mut self, event: UnsolicitedBytes) {
        self.events.push(event);
    }

    /// Takes the events since the last call, in the order in which they occurred.
    pub fn take(&mut self) -> Vec<UnsolicitedBytes> {
        std::mem::take(&mut self.events)
    }
}

/// The status in a response's status line; none if the bytes do not begin with a complete one.
pub(crate) fn response_status(bytes: &[u8]) -> Option<u16> {
    let mut decoder = Decoder::client(Limits::default());
    decoder.feed(Duration::ZERO, bytes);
    decoder.status()
}

/// The time since `response_at`, if there was a response.
pub(crate) fn time_since(now: Time, response_at: Option<Time>) -> Option<Duration> {
    response_at.map(|at| now - at)
}
