//! Events that a fake platform records.

use std::time::Duration;

/// Something that passed on a socket of the platform or that a client or test recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformEvent {
    /// A client read the reply that its message is accepted.
    Accepted {
        /// Message id, chosen by the client.
        id: String,
        /// Order key, 0 for none.
        key: u64,
        /// Whether it has no idempotency key, so that it must not be sent again once it may have been processed.
        unrepeatable: bool,
    },
    /// An endpoint received the last byte of a request.
    RequestReceived {
        /// Message id, chosen by the client.
        id: String,
        /// Idempotency key, if the request has one.
        idempotency: Option<String>,
        /// Index of the endpoint in `Platform::endpoints`.
        endpoint: usize,
        /// Body of the request.
        body: Vec<u8>,
    },
    /// A response with status 200 was written to the gateway.
    Delivered {
        /// Message id, chosen by the client.
        id: String,
    },
    /// A response was written that proves that the request was not executed (status 429 or 503).
    NotExecuted {
        /// Message id, chosen by the client.
        id: String,
    },
    /// A response with status 200 was written after the deadline of its message, so it does not count as delivery.
    LateResponse {
        /// Message id, chosen by the client.
        id: String,
    },
    /// A response with status 410 was written: the message has its final outcome, and no notification is due.
    Released {
        /// Message id, chosen by the client.
        id: String,
    },
    /// A response with status 504 was written: the request was not executed and no other may follow; the message's final outcome
    /// is still due.
    AttemptsExhausted {
        /// Message id, chosen by the client.
        id: String,
    },
    /// Another complete response was written: the request has ended, and may have been executed.
    Failed {
        /// Message id, chosen by the client.
        id: String,
    },
    /// A connection ended before the response to its request: the request may still be executed.
    AttemptEnded {
        /// Message id, chosen by the client.
        id: String,
    },
    /// A response with `Retry-After` was written.
    RetryAfter {
        /// Message id, chosen by the client.
        id: String,
        /// Index of the endpoint in `Platform::endpoints`.
        endpoint: usize,
        /// Time to wait, from the writing of the response on.
        wait: Duration,
    },
    /// Bytes that answer no request were written behind a response.
    SurplusWritten {
        /// Time since the response.
        delay: Duration,
        /// Id of the message whose request was in progress on that connection, if there was one.
        crossed: Option<String>,
    },
    /// An endpoint accepted a connection.
    ConnectionAccepted,
    /// A notification was received.
    Notification {
        /// Message id, chosen by the client.
        id: String,
        /// `undeliverable` or `deferred`.
        status: String,
        /// Index in `Platform::discovery` of the address that received it.
        address: usize,
    },
    /// A discovery agent acknowledged a notification.
    NotificationAnswered {
        /// Message id, chosen by the client.
        id: String,
    },
    /// An outage of an endpoint began.
    EndpointFailed {
        /// Index of the endpoint in `Platform::endpoints`.
        endpoint: usize,
    },
    /// An outage of an endpoint ended.
    EndpointReturned {
        /// Index of the endpoint in `Platform::endpoints`.
        endpoint: usize,
    },
    /// A discovery agent wrote the endpoint list to a gateway.
    ListSent {
        /// Index of the address in `Platform::discovery`.
        address: usize,
        /// Indices of the draining endpoints in that list.
        draining: Vec<usize>,
    },
    /// A client wrote the complete command that submits a message.
    Submitted {
        /// Message id, chosen by the client.
        id: String,
        /// Number of the gateway, from 0.
        gateway: usize,
        /// Time from the submission until the deadline of the message.
        time_left: Duration,
    },
    /// A client read the reply that its message is not accepted and may be resubmitted.
    Refused {
        /// Message id, chosen by the client.
        id: String,
    },
    /// A client read bytes that are not a valid reply to its command, or more than the replies to its commands.
    WrongReply {
        /// Message id, chosen by the client.
        id: String,
        /// The line that it read.
        line: String,
    },
    /// A gateway read a command and ended the connection without a reply.
    Unanswered {
        /// Message id, chosen by the client.
        id: String,
    },
    /// A gateway that was not killed reset a connection that it, or the operating system for it, had accepted.
    ConnectionDropped {
        /// Id of the message that was sent on the connection.
        id: String,
    },
    /// A gateway process ended, or was told to end.
    GatewayDown {
        /// Number of the gateway, from 0.
        gateway: usize,
    },
    /// A gateway process was started. It does not know the endpoint lists that an earlier process received.
    GatewayStarted {
        /// Number of the gateway, from 0.
        gateway: usize,
    },
    /// A gateway process replied to a PING.
    GatewayReady {
        /// Number of the gateway, from 0.
        gateway: usize,
    },
    /// A fault began or ended.
    Fault {
        /// Number of the gateway; none if the fault is not of a single gateway.
        gateway: Option<usize>,
        /// The fault in the form in which reports print it.
        description: String,
    },
    /// A gateway requested the endpoint list.
    DiscoveryRequested {
        /// Index of the address in `Platform::discovery`.
        address: usize,
    },
}

/// An event with its time, counted from the start of the platform.
pub type TimedEvent = (Duration, PlatformEvent);
