//! Commands from the engine to the gateway that drives it.

use crate::message::{Attempt, FinalOutcome};
use cloverstile::{EndpointId, MessageId};

/// An operation for the gateway to carry out. Commands are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send one request that carries these attempts, one after another on one connection.
    Send {
        /// The endpoint that receives the request.
        endpoint: EndpointId,
        /// The attempts, in the order in which they are sent.
        attempts: Vec<Attempt>,
    },
    /// Close the connection of an attempt whose response is no longer awaited. The gateway must not report its
    /// completion.
    Abandon {
        /// The attempt to abandon.
        attempt: Attempt,
        /// Whether the attempt was started, as far as the engine knows, and so may have taken effect.
        started: bool,
    },
    /// Report the final outcome of a message. Issued exactly once per message.
    Complete {
        /// The completed message.
        message: MessageId,
        /// Its final outcome.
        outcome: FinalOutcome,
        /// Number of attempts made, including those that were not started.
        attempts: u32,
    },
    /// Record in the audit trail that a partner's receipt arrived after the message's final outcome.
    LateReceipt {
        /// The message that the receipt belongs to.
        message: MessageId,
        /// The message's final outcome, which the receipt does not change.
        outcome: FinalOutcome,
    },
    /// Release everything kept for a message, as the engine no longer holds its record.
    Evicted {
        /// The message that the engine removed.
        message: MessageId,
    },
    /// Close the idle connections to an endpoint.
    CloseIdle {
        /// The endpoint whose idle connections are closed.
        endpoint: EndpointId,
    },
    /// Open a connection, close it again and report the result with [`crate::Engine::on_probe_completed`].
    Probe {
        /// The endpoint to connect to.
        endpoint: EndpointId,
    },
    /// Write a log line for operators.
    Log {
        /// The text of the log line.
        text: String,
    },
}
