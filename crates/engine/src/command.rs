//! What the engine asks of the gateway that drives it.

use crate::message::{Attempt, FinalOutcome};
use cloverstile::{EndpointId, MessageId};

/// Something for the gateway to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send one request: these attempts, one after another on one connection.
    Send {
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// The attempts, in this order.
        attempts: Vec<Attempt>,
    },
    /// Nobody waits for this attempt any longer: close its connection. Report no end of it.
    Abandon {
        /// The attempt.
        attempt: Attempt,
        /// It was started, as far as the engine knows: it may have run.
        started: bool,
    },
    /// The final outcome of a message. Comes once.
    Complete {
        /// The message.
        message: MessageId,
        /// Its outcome.
        outcome: FinalOutcome,
        /// Attempts made, those that were not started included.
        attempts: u32,
    },
    /// A partner's receipt came for a message that has its final outcome already: for the audit trail.
    LateReceipt {
        /// The message.
        message: MessageId,
        /// The outcome that it has and keeps.
        outcome: FinalOutcome,
    },
    /// A message's outcome is no longer cached: release all that is kept for it.
    Evicted {
        /// The message.
        message: MessageId,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Open a connection, close it and report whether it opened with [`crate::Engine::on_probe_completed`].
    Probe {
        /// The endpoint to connect to.
        endpoint: EndpointId,
    },
    /// A log line for the operators.
    Log {
        /// Its text.
        text: String,
    },
}
