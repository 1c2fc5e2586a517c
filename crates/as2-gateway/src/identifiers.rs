//! Identifiers that the AS2 server, the outbound client and the worker threads share.

use cloverstile_net::ConnId;

/// An HTTP request of a client or partner, from its arrival until its response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestId {
    /// The connection that the request came on.
    pub connection: ConnId,
    /// Sequence number over all connections; never used again.
    pub sequence: u64,
}

/// Attempts that are sent one after another over one outbound connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct BatchId(pub u64);

/// A receipt on its way to an address that a client named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct DeliveryId(pub u64);
