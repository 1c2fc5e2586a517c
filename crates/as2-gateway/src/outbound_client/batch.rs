//! Batches: attempts that are sent one after another over one connection, and the stage of the current one.

use cloverstile::{EndpointId, RateLimitStatus};
use cloverstile_engine::Attempt;
use cloverstile_net::ConnId;
use std::collections::VecDeque;

/// Stage of the current attempt of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptStage {
    /// The message is being composed or the connection established; nothing of the request has been sent.
    Preparing,
    /// The request has been sent, and its response has not arrived completely.
    AwaitingResponse,
    /// The response has arrived, and a worker thread is verifying its receipt.
    VerifyingReceipt,
}

/// The connection of a batch and whether it can carry requests yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchConnection {
    /// The batch has no connection; one is acquired before the next request.
    None,
    /// Being established.
    Connecting(ConnId),
    /// Established, and so ready for a request.
    Established(ConnId),
}

impl BatchConnection {
    /// The connection, whether it is established or not.
    pub fn id(self) -> Option<ConnId> {
        match self {
            BatchConnection::None => None,
            BatchConnection::Connecting(id) | BatchConnection::Established(id) => Some(id),
        }
    }

    /// The connection, if it is established.
    pub fn established(self) -> Option<ConnId> {
        match self {
            BatchConnection::Established(id) => Some(id),
            BatchConnection::None | BatchConnection::Connecting(_) => None,
        }
    }
}

/// Attempts that are sent to an endpoint one after another over one connection.
pub(crate) struct Batch {
    pub endpoint: EndpointId,
    pub current: Attempt,
    /// Attempts still to be sent after the current one.
    pub queue: VecDeque<Attempt>,
    pub connection: BatchConnection,
    pub stage: AttemptStage,
    /// Rate limit advertised in the response to the current attempt.
    pub rate_limit: Option<RateLimitStatus>,
    /// Whether the last response allows further requests on the connection.
    pub keep_alive: bool,
}

impl Batch {
    pub fn new(endpoint: EndpointId, current: Attempt, queue: VecDeque<Attempt>) -> Self {
        Batch {
            endpoint,
            current,
            queue,
            connection: BatchConnection::None,
            stage: AttemptStage::Preparing,
            rate_limit: None,
            keep_alive: true,
        }
    }

    /// Detaches the connection from the batch and returns it; it stays open.
    pub fn take_connection(&mut self) -> Option<ConnId> {
        std::mem::replace(&mut self.connection, BatchConnection::None).id()
    }
}
