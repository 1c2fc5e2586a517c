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
    /// A response with status 200 was written behind the time of its message: it is no delivery.
    LateResponse {
        /// Message id.
        id: String,
    },
    /// A response was written by which a message is over and nothing more is owed (status 410).
    Released {
        /// Message id.
        id: String,
    },
    /// Another whole response was written: the request is over, and may have run.
    Failed {
        /// Message id.
        id: String,
    },
    /// A connection ended under a request without a response to it: the request may still run.
    AttemptEnded {
        /// Message id.
        id: String,
    },
    /// A rejection was written that asks to wait.
    RetryAfter {
        /// Message id.
        id: String,
        /// Index of the endpoint.
        endpoint: usize,
        /// How long, from its writing on.
        wait: Duration,
    },
    /// A notification was received.
    Notification {
        /// Message id.
        id: String,
        /// `undeliverable` or `deferred`.
        status: String,
        /// Index of the discovery address that it came to.
        address: usize,
    },
    /// A notification was acknowledged.
    NotificationAnswered {
        /// Message id.
        id: String,
    },
    /// An endpoint is out of order from now on.
    EndpointFailed {
        /// Its index.
        endpoint: usize,
    },
    /// An endpoint that was out of order serves again.
    EndpointReturned {
        /// Its index.
        endpoint: usize,
    },
    /// An agent has written the endpoint list.
    ListSent {
        /// Index of the discovery address.
        address: usize,
        /// Indices of the endpoints that drain.
        draining: Vec<usize>,
    },
    /// A client has written the whole command that submits a message.
    Submitted {
        /// Message id.
        id: String,
        /// Number of the gateway.
        gateway: usize,
        /// How long the message may still be delivered.
        time_left: Duration,
    },
    /// A client read that its message is not accepted and may be submitted again.
    Refused {
        /// Message id.
        id: String,
    },
    /// A client got bytes that are no reply to its command, or more than the replies to its commands.
    WrongReply {
        /// Message id.
        id: String,
        /// What it read.
        line: String,
    },
    /// A command was read by its gateway, which ended the connection without a reply.
    Unanswered {
        /// Message id.
        id: String,
    },
    /// A gateway reset a connection that it, or the system for it, had taken, without having been killed.
    ConnectionDropped {
        /// What was sent on it.
        id: String,
    },
    /// A gateway process ended, or was told to.
    GatewayDown {
        /// Its number.
        gateway: usize,
    },
    /// A gateway process was started: what an earlier one was told it does not know.
    GatewayStarted {
        /// Its number.
        gateway: usize,
    },
    /// A gateway process replied to a PING.
    GatewayReady {
        /// Its number.
        gateway: usize,
    },
    /// A fault began or ended.
    Fault {
        /// Number of the gateway, if it is one's.
        gateway: Option<usize>,
        /// What it is.
        description: String,
    },
    /// The endpoint list was requested.
    DiscoveryRequested {
        /// Index of the discovery address.
        address: usize,
    },
}

/// An event with its time from the start of the platform.
pub type TimedEvent = (Duration, PlatformEvent);
