//! Messages that the gateway holds, and the clients that wait for their final outcome.

use crate::identifiers::RequestId;
use cloverstile_as2::{ComposedMessage, Envelope, Mic, Part};
use cloverstile_http::Headers;
use std::sync::Arc;

/// A client that waits for the final outcome of a message.
pub(crate) struct ReceiptWaiter {
    /// The request to respond to; none: the receipt is posted to the address named in the envelope.
    pub request: Option<RequestId>,
    /// AS2 header fields of the submission.
    pub envelope: Envelope,
    /// Integrity check over the submitted content.
    pub mic: Mic,
}

/// A submitted message, from its admission until the engine evicts its result.
pub(crate) struct InFlightMessage {
    /// Index in the partners of the settings.
    pub partner: usize,
    /// Content to be delivered; none once its composition has begun.
    pub payload: Option<Part>,
    /// The message as it is sent to the partner; none until it is composed.
    pub composed: Option<Arc<ComposedMessage>>,
    /// Whether composition has begun.
    pub composing: bool,
    /// Clients to notify of the final outcome.
    pub waiters: Vec<ReceiptWaiter>,
}

impl InFlightMessage {
    /// Drops the content and takes the waiting clients, once the final outcome is known.
    ///
    /// Late receipts are still compared with the integrity check of the composed message, so that is kept without
    /// headers and body.
    pub fn complete(&mut self) -> Vec<ReceiptWaiter> {
        self.payload = None;
        if let Some(composed) = self.composed.take() {
            let (headers, body, mic) = (Headers::new(), Vec::new(), composed.mic.clone());
            self.composed = Some(Arc::new(ComposedMessage { headers, body, mic }));
        }
        std::mem::take(&mut self.waiters)
    }
}
