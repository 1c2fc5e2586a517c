//! Identifiers shared by the AS2 server, the outbound client and the worker threads.

use cloverstile_net::ConnId;

/// An HTTP request of a client or partner, from its arrival until its response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestId {
    /// The connection that the request arrived on.
    pub connection: ConnId,
    /// Sequence number across all connections; never reused.
    pub sequence: u64,
}

/// A batch of attempts that are sent one after another over one outbound connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct BatchId(pub u64);

/// The delivery of an asynchronous receipt to the address that a client named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct DeliveryId(pub u64);
