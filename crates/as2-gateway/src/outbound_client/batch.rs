//! A batch: attempts that are sent one after another over one connection, and how far the current one is.

use cloverstile::{EndpointId, RateLimitStatus};
use cloverstile_engine::Attempt;
use cloverstile_net::ConnId;
use std::collections::VecDeque;

/// How far the current attempt of a batch is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptStage {
    /// Its message is being composed, or its connection established: nothing of it has been sent.
    Preparing,
    /// The request is sent; the response is awaited.
    AwaitingResponse,
    /// The receipt in the response is being verified.
    VerifyingReceipt,
}

/// The connection of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchConnection {
    /// None: one is acquired before the next request.
    None,
    /// Being established.
    Connecting(ConnId),
    /// Ready for a request.
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

/// Attempts that share a connection to an endpoint.
pub(crate) struct Batch {
    pub endpoint: EndpointId,
    pub current: Attempt,
    /// Attempts that follow the current one.
    pub queue: VecDeque<Attempt>,
    pub connection: BatchConnection,
    pub stage: AttemptStage,
    /// Rate limit advertised in the response to the current attempt.
    pub rate_limit: Option<RateLimitStatus>,
    /// Whether the partner lets the connection be used again.
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

    /// Detaches the connection from the batch.
    pub fn take_connection(&mut self) -> Option<ConnId> {
        std::mem::replace(&mut self.connection, BatchConnection::None).id()
    }
}
