//! Records of what passed on the sockets of stand-ins and clients.

use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedOutcome {
    /// Delivered, by a receipt that verifies.
    Delivered,
    /// Never took effect.
    #[serde(rename = "refused")]
    Rejected,
    /// May have taken effect.
    Failed,
    /// Turned away before it was taken (full, stopping).
    #[serde(rename = "not-taken")]
    NotAccepted,
    /// Something else: a receipt that does not verify, an unknown status.
    Unclear,
}

/// How a call at a partner ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// A receipt that says processed left the partner whole.
    Processed,
    /// A receipt that says otherwise left.
    Error,
    /// Turned away unseen; told to wait for so many milliseconds, or not.
    #[serde(rename = "refused")]
    Rejected(Option<u64>),
    /// The partner broke the connection.
    Broken,
    /// The courier closed the connection, or nothing more was to be answered on it.
    #[serde(rename = "left")]
    ClientClosed,
    /// Taken; the receipt comes on a connection of its own.
    Deferred,
}

/// One thing seen, with its time in microseconds from the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum ObservedEvent {
    /// A client began to hand a message in.
    #[serde(rename = "hand-in")]
    Submitted {
        /// Message-ID.
        id: String,
        /// Number of the courier.
        #[serde(rename = "courier")]
        gateway: usize,
        /// Class.
        class: String,
        /// Partner.
        partner: String,
        /// What it is about, for classes in order.
        key: Option<String>,
        /// When it is given up.
        deadline: u64,
        /// Marked as coming again after a courier was lost.
        after_loss: bool,
    },
    /// The courier said that it has taken the message (asynchronous receipts only).
    #[serde(rename = "taken")]
    Accepted {
        /// Message-ID.
        id: String,
        /// Number of the courier.
        #[serde(rename = "courier")]
        gateway: usize,
    },
    /// A client has a final answer.
    #[serde(rename = "answer")]
    Answered {
        /// Message-ID.
        id: String,
        /// Number of the courier.
        #[serde(rename = "courier")]
        gateway: usize,
        /// What.
        #[serde(rename = "told")]
        outcome: ReportedOutcome,
    },
    /// The connection ended before an answer came.
    #[serde(rename = "lost")]
    ConnectionLost {
        /// Message-ID.
        id: String,
        /// Number of the courier.
        #[serde(rename = "courier")]
        gateway: usize,
    },
    /// A whole request is at a partner's endpoint.
    #[serde(rename = "request")]
    RequestReceived {
        /// Message-ID.
        id: String,
        /// AS2 name of the courier.
        #[serde(rename = "courier")]
        gateway: String,
        /// Partner.
        partner: String,
        /// Its endpoint.
        endpoint: usize,
        /// Number of the call, unique within the run.
        #[serde(rename = "call")]
        request: u64,
    },
    /// A call ended, as far as the partner can see.
    #[serde(rename = "end")]
    RequestEnded {
        /// Number of the call.
        #[serde(rename = "call")]
        request: u64,
        /// How.
        #[serde(rename = "how")]
        end: RequestEnd,
    },
    /// A message took effect at a partner.
    #[serde(rename = "effect")]
    EffectApplied {
        /// Message-ID.
        id: String,
        /// Partner.
        partner: String,
    },
    /// A partner's outage began or ended, as the script says.
    Outage {
        /// Partner.
        partner: String,
        /// Its zone that is struck; all of them where there is none.
        #[serde(default)]
        zone: Option<usize>,
        /// Began.
        began: bool,
    },
    /// A returning partner was pushed over.
    #[serde(rename = "fell")]
    Collapsed {
        /// Partner.
        partner: String,
    },
    /// The couriers were told of an endpoint's mode.
    #[serde(rename = "listed")]
    EndpointListed {
        /// Partner.
        partner: String,
        /// Its endpoint.
        endpoint: usize,
        /// It may be given new work.
        ready: bool,
    },
    /// A courier process was started, or was told to end.
    #[serde(rename = "courier")]
    GatewayProcess {
        /// Its number.
        #[serde(rename = "courier")]
        gateway: usize,
        /// Running.
        running: bool,
        /// Killed outright, without a chance to answer.
        killed: bool,
    },
}

/// A line of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordLine {
    /// Microseconds from the start of the run.
    pub at: u64,
    /// What was seen.
    #[serde(flatten)]
    pub event: ObservedEvent,
}

/// One record for all stand-ins and clients of a run, on one clock.
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

    /// Notes something seen just now.
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
