//! Messages that the gateway holds, and the clients that wait for their final outcomes.

use crate::identifiers::RequestId;
use cloverstile_as2::{ComposedMessage, Envelope, Mic, Part};
use cloverstile_http::Headers;
use std::sync::Arc;

/// A client that waits for the receipt with the final outcome of a message.
pub(crate) struct ReceiptWaiter {
    /// The request whose response carries the receipt; if none, the receipt is posted to the address that the envelope
    /// names.
    pub request: Option<RequestId>,
    /// AS2 header fields of the submission.
    pub envelope: Envelope,
    /// Message integrity check (MIC) of the submitted content, which the receipt repeats.
    pub mic: Mic,
}

/// A submitted message, from its admission until the engine evicts its result.
pub(crate) struct InFlightMessage {
    /// Index in the partners of the settings.
    pub partner: usize,
    /// Content to deliver; none once composition has begun, which takes it.
    pub payload: Option<Part>,
    /// The message as sent to the partner; none until it is composed.
    pub composed: Option<Arc<ComposedMessage>>,
    /// Whether composition has begun; every attempt sends the message that was composed once.
    pub composing: bool,
    /// Clients to notify of the final outcome.
    pub waiters: Vec<ReceiptWaiter>,
}

impl InFlightMessage {
    /// Frees the content and returns the waiting clients; called when the final outcome is known.
    ///
    /// The composed message keeps only its MIC, with which late receipts are still compared; its headers and body are
    /// freed.
    pub fn complete(&mut self) -> Vec<ReceiptWaiter> {
        self.payload = None;
        if let Some(composed) = self.composed.take() {
            let (headers, body, mic) = (Headers::new(), Vec::new(), composed.mic.clone());
            self.composed = Some(Arc::new(ComposedMessage { headers, body, mic }));
        }
        std::mem::take(&mut self.waiters)
    }
}
