//! Receipts for clients: what they say, how they are signed, and the HTTP responses that carry them.

use super::connections::HttpResponse;
use crate::context::Context;
use crate::identifiers::RequestId;
use crate::in_flight_message::ReceiptWaiter;
use crate::response_mapping::{client_response, HttpStatus};
use crate::worker_result::{SignedRejection, WorkerResult};
use cloverstile_as2::{
    compose_receipt, As2Error, ComposedMessage, Digest, Disposition, Envelope, ReceiptContent, ReceiptRequest,
};
use cloverstile_engine::FinalOutcome;
use cloverstile_http::Headers;
use tracing::warn;

/// Disposition modifier where no more specific one applies (RFC 4130, section 7.5).
pub(crate) const UNEXPECTED_PROCESSING_ERROR: &str = "unexpected-processing-error";
/// Disposition modifier of a message that is not signed or encrypted as required.
pub(crate) const INSUFFICIENT_SECURITY: &str = "insufficient-message-security";

/// Why a request is rejected, for good.
pub(crate) struct Rejection {
    pub status: HttpStatus,
    /// Explanation for people.
    pub reason: String,
    /// Fields of the rejected message; none where its sender is not known: no receipt is sent then.
    pub envelope: Option<Box<Envelope>>,
    /// Disposition modifier of the receipt.
    pub disposition: &'static str,
}

impl Rejection {
    /// A rejection without a receipt.
    pub fn without_receipt(status: HttpStatus, reason: String) -> Self {
        Rejection { status, reason, envelope: None, disposition: UNEXPECTED_PROCESSING_ERROR }
    }

    /// The envelope and the receipt that its sender asked for, if it did.
    pub fn receipt_request(&self) -> Option<(Box<Envelope>, ReceiptRequest)> {
        let envelope = self.envelope.as_ref()?;
        Some((envelope.clone(), envelope.receipt.clone()?))
    }
}

/// Signs the receipt of a rejection on a worker thread.
pub(crate) fn sign_rejection(
    context: &mut Context,
    request: RequestId,
    rejection: Rejection,
    envelope: Box<Envelope>,
    receipt: ReceiptRequest,
) {
    let identity = context.directory.own_identity.clone();
    context.crypto_pool.submit(move || {
        let facts = ReceiptContent {
            receipt_id: &format!("receipt.{}", envelope.message_id),
            to: &envelope.from,
            original_id: &envelope.message_id,
            disposition: Disposition::Error(rejection.disposition.to_owned()),
            mic: None,
            text: &rejection.reason,
            final_outcome: None,
        };
        let composed = compose_receipt(&facts, &identity, signature_digest(&receipt.signed));
        WorkerResult::RejectionSigned(SignedRejection {
            request,
            status: rejection.status,
            reason: rejection.reason,
            receipt: composed.ok().map(Box::new),
        })
    });
}

/// The response that rejects a request: with a receipt, or the reason in plain text.
pub(crate) fn rejection_response(
    status: HttpStatus,
    reason: &str,
    receipt: Option<Box<ComposedMessage>>,
) -> HttpResponse {
    let mut headers = Headers::new().with("Cloverstile-Answer", "rejected");
    if let Some(receipt) = receipt {
        headers.extend(&receipt.headers);
        return HttpResponse::new(status, headers, receipt.body);
    }
    headers.add("Content-Type", "text/plain");
    HttpResponse::new(status, headers, format!("{reason}\n"))
}

/// Signs the receipt with a final outcome on a worker thread, where the client asked for a receipt.
pub(crate) fn sign_final_receipt(context: &mut Context, waiter: ReceiptWaiter, outcome: FinalOutcome) {
    let identity = context.directory.own_identity.clone();
    context.crypto_pool.submit(move || {
        let response = client_response(outcome);
        let facts = ReceiptContent {
            receipt_id: &format!("receipt.{}", waiter.envelope.message_id),
            to: &waiter.envelope.from,
            original_id: &waiter.envelope.message_id,
            disposition: response.disposition,
            mic: Some(&waiter.mic),
            text: response.text,
            final_outcome: Some(response.outcome),
        };
        let receipt = match waiter.envelope.receipt.as_ref() {
            Some(wanted) => {
                compose_receipt(&facts, &identity, signature_digest(&wanted.signed)).map(Box::new)
            }
            None => Err(As2Error::Missing("Disposition-Notification-To")),
        };
        WorkerResult::FinalReceiptSigned { waiter: Box::new(waiter), outcome, receipt }
    });
}

/// The response that carries a final outcome.
pub(crate) fn final_response(
    envelope: &Envelope,
    outcome: FinalOutcome,
    receipt: Result<Box<ComposedMessage>, As2Error>,
) -> HttpResponse {
    let response = client_response(outcome);
    let mut headers = Headers::new().with("Cloverstile-Answer", response.outcome.name());
    if let Some(seconds) = response.retry_after {
        headers.add("Retry-After", seconds.to_string());
    }
    let (mut status, mut body) = (response.status, Vec::new());
    match receipt {
        Ok(receipt) => {
            headers.extend(&receipt.headers);
            body = receipt.body;
        }
        Err(error) if envelope.receipt.is_some() => warn!(%error, "receipt could not be signed"),
        // Without a receipt only the status can say that the message may have taken effect.
        Err(_) if outcome == FinalOutcome::Failed => status = HttpStatus::BAD_GATEWAY,
        Err(_) => {}
    }
    HttpResponse::new(status, headers, body)
}

/// The digest to sign a receipt with: the first one wanted that is not SHA-1; none for an unsigned receipt.
fn signature_digest(wanted: &[Digest]) -> Option<Digest> {
    let strong = wanted.iter().copied().find(|digest| *digest != Digest::Sha1);
    strong.or((!wanted.is_empty()).then_some(Digest::Sha256))
}
