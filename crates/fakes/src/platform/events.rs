//! What passed on the sockets of a fake platform.

use std::time::Duration;

/// Something that passed on a socket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformEvent {
    /// A client read that its message is accepted.
    Accepted {
        /// Message id.
        id: String,
        /// Order key, 0 for none.
        key: u64,
        /// It has no idempotency key: it must not be sent again once it may have run.
        unrepeatable: bool,
    },
    /// The last byte of a request came.
    RequestReceived {
        /// Message id.
        id: String,
        /// Idempotency key.
        idempotency: Option<String>,
        /// Index of the endpoint.
        endpoint: usize,
        /// Body.
        body: Vec<u8>,
    },
    /// A response with status 200 was written to the gateway.
    Delivered {
        /// Message id.
        id: String,
    },
    /// A response was written that proves that the request was not executed.
    NotExecuted {
        /// Message id.
        id: String,
    },
    /// A notification was acknowledged.
    Notification {
        /// Message id.
        id: String,
        /// `undeliverable` or `deferred`.
        status: String,
        /// Index of the discovery address that it came to.
        address: usize,
    },
    /// The endpoint list was requested.
    DiscoveryRequested {
        /// Index of the discovery address.
        address: usize,
    },
}

/// An event with its time from the start of the platform.
pub type TimedEvent = (Duration, PlatformEvent);
