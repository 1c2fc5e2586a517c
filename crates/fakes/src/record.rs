//! Record of what passed on the sockets of fake partners and clients. It is stored with one JSON line per event.

use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The outcome of a message as its client read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedOutcome {
    /// The message was delivered, according to a receipt whose signature and integrity check are valid.
    Delivered,
    /// The message was rejected and never took effect.
    #[serde(rename = "refused")]
    Rejected,
    /// The message failed: it may or may not have taken effect.
    Failed,
    /// The gateway did not accept the message, as it was overloaded or shutting down. The client submits it again.
    #[serde(rename = "not-taken")]
    NotAccepted,
    /// Anything else, such as an invalid receipt or an unknown status.
    Unclear,
}

/// How a request at a partner ended, as the partner saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// A complete receipt with the disposition "processed" was sent.
    Processed,
    /// A receipt with an error disposition was sent.
    Error,
    /// The request was rejected without any effect. Holds the `Retry-After` in milliseconds, if one was sent.
    #[serde(rename = "refused")]
    Rejected(Option<u64>),
    /// The partner reset the connection, or closed it in the middle of the response.
    Broken,
    /// The gateway, which is the HTTP client here, closed the connection before the response.
    #[serde(rename = "left")]
    ClientClosed,
    /// The partner accepted the message with status 202; the receipt follows on a separate connection.
    Deferred,
}

/// An event on a socket, or a step of the scenario that the invariant checks need to know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum ObservedEvent {
    /// A client started to submit a message.
    #[serde(rename = "hand-in")]
    Submitted {
        /// Message-ID of the message.
        id: String,
        /// Index of the gateway in the scenario.
        #[serde(rename = "courier")]
        gateway: usize,
        /// Name of the message's class.
        class: String,
        /// Name of the partner.
        partner: String,
        /// Order key; only for classes that are delivered in order.
        key: Option<String>,
        /// Deadline, in microseconds from the start of the run.
        deadline: u64,
        /// Whether the submission is marked as resubmitted after the loss of a gateway.
        after_loss: bool,
    },
    /// The gateway accepted the message and will send its outcome in a deferred receipt. Not recorded when receipts are
    /// part of the response.
    #[serde(rename = "taken")]
    Accepted {
        /// Message-ID of the message.
        id: String,
        /// Index of the gateway in the scenario.
        #[serde(rename = "courier")]
        gateway: usize,
    },
    /// A client read the outcome of a message from a response or a deferred receipt.
    #[serde(rename = "answer")]
    OutcomeReceived {
        /// Message-ID of the message.
        id: String,
        /// Index of the gateway in the scenario.
        #[serde(rename = "courier")]
        gateway: usize,
        /// The outcome that the client read.
        #[serde(rename = "told")]
        outcome: ReportedOutcome,
    },
    /// The connection to the gateway ended before the response, or the gateway stopped before the deferred receipt.
    #[serde(rename = "lost")]
    ConnectionLost {
        /// Message-ID of the message.
        id: String,
        /// Index of the gateway in the scenario.
        #[serde(rename = "courier")]
        gateway: usize,
    },
    /// A complete request arrived at an endpoint of a partner.
    #[serde(rename = "request")]
    RequestReceived {
        /// Message-ID of the message.
        id: String,
        /// AS2 name of the gateway.
        #[serde(rename = "courier")]
        gateway: String,
        /// Name of the partner.
        partner: String,
        /// Index of the endpoint at the partner.
        endpoint: usize,
        /// Number of the request, unique within the run.
        #[serde(rename = "call")]
        request: u64,
    },
    /// A request ended from the partner's point of view.
    #[serde(rename = "end")]
    RequestEnded {
        /// Number of the request, as in [`ObservedEvent::RequestReceived`].
        #[serde(rename = "call")]
        request: u64,
        /// How the request ended.
        #[serde(rename = "how")]
        end: RequestEnd,
    },
    /// A message took effect at a partner. Recorded for each effect, so that duplicates show.
    #[serde(rename = "effect")]
    EffectApplied {
        /// Message-ID of the message.
        id: String,
        /// Name of the partner.
        partner: String,
    },
    /// An outage of a partner began or ended.
    Outage {
        /// Name of the partner.
        partner: String,
        /// The affected zone; `None` if all zones are affected.
        #[serde(default)]
        zone: Option<usize>,
        /// True at the beginning of the outage, false at its end.
        began: bool,
    },
    /// A partner collapsed under overload while it was warming up.
    #[serde(rename = "fell")]
    Collapsed {
        /// Name of the partner.
        partner: String,
    },
    /// The endpoint list sent to the gateways changed the state of an endpoint.
    #[serde(rename = "listed")]
    EndpointListed {
        /// Name of the partner.
        partner: String,
        /// Index of the endpoint at the partner.
        endpoint: usize,
        /// Whether the endpoint accepts new requests.
        ready: bool,
    },
    /// A gateway process was started, killed or asked to stop.
    #[serde(rename = "courier")]
    GatewayProcess {
        /// Index of the gateway in the scenario.
        #[serde(rename = "courier")]
        gateway: usize,
        /// Whether the process runs from now on.
        running: bool,
        /// Whether the process was killed, without a graceful shutdown.
        killed: bool,
    },
}

/// A line of a record: an event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordLine {
    /// Microseconds from the start of the run.
    pub at: u64,
    /// The event; its fields are on the same level as `at` in JSON.
    #[serde(flatten)]
    pub event: ObservedEvent,
}

/// Collects the events of all fake partners and clients of a run, timed by one clock. Clones share the same record.
#[derive(Clone)]
pub struct Recorder {
    epoch: Instant,
    lines: Arc<Mutex<Vec<RecordLine>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder { epoch: Instant::now(), lines: Arc::default() }
    }
}

impl Recorder {
    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Appends an event with the current time.
    pub fn record(&self, event: ObservedEvent) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read while the lock is held, so that the lines are in chronological order.
        lines.push(RecordLine { at: micros(self.epoch.elapsed()), event });
    }

    /// A copy of all lines recorded so far.
    pub fn lines(&self) -> Vec<RecordLine> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// A duration in whole microseconds, at most `u64::MAX`.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
