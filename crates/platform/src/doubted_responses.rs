//! Responses that were held because they may be copies of the response before, as events for the log.

use crate::transport::ConnectionId;
use cloverstile::EndpointId;
use cloverstile_engine::{Attempt, TransportOutcome};
use std::time::Duration;

/// A response that was read and is held. Its attempt ends with the stated outcome unless something contradicts it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeldResponse {
    /// The attempt in flight when it was read.
    pub attempt: Attempt,
    /// The outcome that it states.
    pub stated: TransportOutcome,
}

/// What ended the doubt about a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoubtEnd {
    /// Nothing followed the response in time.
    NothingFollowed,
    /// The connection ended without further bytes.
    ConnectionEnded,
    /// More bytes followed, with this status if they begin with a status line.
    Followed(Option<u16>),
    /// The attempt ended first: it timed out or was abandoned.
    AttemptEnded,
}

/// A response that was held, once the doubt about it has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DoubtedResponse {
    /// The attempt in flight when it was read.
    pub attempt: Attempt,
    /// The connection on which it was read.
    pub connection: ConnectionId,
    /// The endpoint that sent it.
    pub endpoint: EndpointId,
    /// The outcome that it states.
    pub stated: TransportOutcome,
    /// The outcome that the attempt got; none if the response was dropped.
    pub credited: Option<TransportOutcome>,
    /// How long it was held.
    pub held_for: Duration,
    /// What ended the doubt.
    pub end: DoubtEnd,
}
