//! The record of what passed on the sockets of fake partners and clients, one JSON line for each event.

use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The outcome that a client read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedOutcome {
    /// Delivered, by a receipt that verifies.
    Delivered,
    /// The message never took effect.
    #[serde(rename = "refused")]
    Rejected,
    /// The message may have taken effect.
    Failed,
    /// Not accepted by the gateway (overloaded, shutting down).
    #[serde(rename = "not-taken")]
    NotAccepted,
    /// Anything else: a receipt that does not verify, an unknown status.
    Unclear,
}

/// How a request at a partner ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// A receipt that says processed was sent whole.
    Processed,
    /// A receipt that says error was sent.
    Error,
    /// Rejected unexecuted; with `Retry-After` in milliseconds, or without.
    #[serde(rename = "refused")]
    Rejected(Option<u64>),
    /// The partner broke the connection.
    Broken,
    /// The gateway closed the connection.
    #[serde(rename = "left")]
    ClientClosed,
    /// Accepted; the receipt goes out on a connection of its own.
    Deferred,
}

/// Something that passed on a socket, or a step of the scenario that the checks need.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum ObservedEvent {
    /// A client began to submit a message.
    #[serde(rename = "hand-in")]
    Submitted {
        /// Message-ID.
        id: String,
        /// Index of the gateway.
        #[serde(rename = "courier")]
        gateway: usize,
        /// Class by name.
        class: String,
        /// Partner by name.
        partner: String,
        /// Order key, for classes delivered in order.
        key: Option<String>,
        /// Deadline, in microseconds from the start of the run.
        deadline: u64,
        /// Marked as resubmitted after the loss of a gateway.
        after_loss: bool,
    },
    /// The gateway accepted the message (deferred receipts only).
    #[serde(rename = "taken")]
    Accepted {
        /// Message-ID.
        id: String,
        /// Index of the gateway.
        #[serde(rename = "courier")]
        gateway: usize,
    },
    /// A client read a final outcome.
    #[serde(rename = "answer")]
    OutcomeReceived {
        /// Message-ID.
        id: String,
        /// Index of the gateway.
        #[serde(rename = "courier")]
        gateway: usize,
        /// The outcome.
        #[serde(rename = "told")]
        outcome: ReportedOutcome,
    },
    /// The connection ended before a response came.
    #[serde(rename = "lost")]
    ConnectionLost {
        /// Message-ID.
        id: String,
        /// Index of the gateway.
        #[serde(rename = "courier")]
        gateway: usize,
    },
    /// A whole request arrived at a partner's endpoint.
    #[serde(rename = "request")]
    RequestReceived {
        /// Message-ID.
        id: String,
        /// AS2 name of the gateway.
        #[serde(rename = "courier")]
        gateway: String,
        /// Partner by name.
        partner: String,
        /// Its endpoint.
        endpoint: usize,
        /// Number of the request, unique within the run.
        #[serde(rename = "call")]
        request: u64,
    },
    /// A request ended, as far as the partner can see.
    #[serde(rename = "end")]
    RequestEnded {
        /// Number of the request.
        #[serde(rename = "call")]
        request: u64,
        /// How it ended.
        #[serde(rename = "how")]
        end: RequestEnd,
    },
    /// A message took effect at a partner.
    #[serde(rename = "effect")]
    EffectApplied {
        /// Message-ID.
        id: String,
        /// Partner by name.
        partner: String,
    },
    /// A partner's outage began or ended, as the scenario says.
    Outage {
        /// Partner by name.
        partner: String,
        /// The affected zone; all of them where there is none.
        #[serde(default)]
        zone: Option<usize>,
        /// Whether it began.
        began: bool,
    },
    /// A partner that was warming up collapsed under overload.
    #[serde(rename = "fell")]
    Collapsed {
        /// Partner by name.
        partner: String,
    },
    /// The endpoint list of the gateways changed an endpoint's state.
    #[serde(rename = "listed")]
    EndpointListed {
        /// Partner by name.
        partner: String,
        /// Its endpoint.
        endpoint: usize,
        /// Whether it accepts new requests.
        ready: bool,
    },
    /// A gateway process was started, or was asked to stop.
    #[serde(rename = "courier")]
    GatewayProcess {
        /// Index of the gateway.
        #[serde(rename = "courier")]
        gateway: usize,
        /// Whether it runs from now on.
        running: bool,
        /// Killed outright, without a graceful shutdown.
        killed: bool,
    },
}

/// A line of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordLine {
    /// Microseconds from the start of the run.
    pub at: u64,
    /// The event.
    #[serde(flatten)]
    pub event: ObservedEvent,
}

/// The record of all fake partners and clients of a run, on one clock.
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

    /// Appends an event with the present time.
    pub fn record(&self, event: ObservedEvent) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        // Inside the lock, so that the lines stand in the order of their times.
        lines.push(RecordLine { at: micros(self.epoch.elapsed()), event });
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<RecordLine> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Whole microseconds.
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
