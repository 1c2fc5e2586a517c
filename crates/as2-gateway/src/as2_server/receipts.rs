//! Receipts for clients: their content, their signature and the HTTP responses that carry them.

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

/// Why a request is rejected. Sending it again unchanged is rejected as well.
pub(crate) struct Rejection {
    pub status: HttpStatus,
    /// Explanation for people, in the receipt or the response body.
    pub reason: String,
    /// AS2 header fields of the rejected message; none if no receipt can be sent, as for an unknown sender.
    pub envelope: Option<Box<Envelope>>,
    /// Modifier of the receipt's disposition `processed/error`.
    pub disposition_modifier: &'static str,
}

impl Rejection {
    /// A rejection whose reason is sent as plain text, without a receipt.
    pub fn without_receipt(status: HttpStatus, reason: String) -> Self {
        Rejection { status, reason, envelope: None, disposition_modifier: UNEXPECTED_PROCESSING_ERROR }
    }

    /// The envelope and its receipt request, if the sender asked for a receipt.
    pub fn receipt_request(&self) -> Option<(Box<Envelope>, ReceiptRequest)> {
        let envelope = self.envelope.as_ref()?;
        Some((envelope.clone(), envelope.receipt.clone()?))
    }
}

/// Starts to sign the receipt of a rejection on a worker thread.
pub(crate) fn sign_rejection(
    context: &mut Context,
    request: RequestId,
    rejection: Rejection,
    envelope: Box<Envelope>,
    receipt: ReceiptRequest,
) {
    let identity = context.directory.own_identity.clone();
    context.crypto_pool.submit(move || {
        let content = ReceiptContent {
            receipt_id: &format!("receipt.{}", envelope.message_id),
            to: &envelope.from,
            original_id: &envelope.message_id,
            disposition: Disposition::Error(rejection.disposition_modifier.to_owned()),
            mic: None,
            text: &rejection.reason,
            final_outcome: None,
        };
        let composed = compose_receipt(&content, &identity, signature_digest(&receipt.signed));
        WorkerResult::RejectionSigned(SignedRejection {
            request,
            status: rejection.status,
            reason: rejection.reason,
            receipt: composed.ok().map(Box::new),
        })
    });
}

/// The HTTP response that rejects a request, with the receipt as its body or else the reason in plain text.
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

/// Starts to sign the receipt with a final outcome on a worker thread; the result is an error if the client asked for
/// no receipt.
pub(crate) fn sign_final_receipt(context: &mut Context, waiter: ReceiptWaiter, outcome: FinalOutcome) {
    let identity = context.directory.own_identity.clone();
    context.crypto_pool.submit(move || {
        let response = client_response(outcome);
        let content = ReceiptContent {
            receipt_id: &format!("receipt.{}", waiter.envelope.message_id),
            to: &waiter.envelope.from,
            original_id: &waiter.envelope.message_id,
            disposition: response.disposition,
            mic: Some(&waiter.mic),
            text: response.text,
            final_outcome: Some(response.outcome),
        };
        let receipt = match waiter.envelope.receipt.as_ref() {
            Some(requested) => {
                compose_receipt(&content, &identity, signature_digest(&requested.signed)).map(Box::new)
            }
            None => Err(As2Error::Missing("Disposition-Notification-To")),
        };
        WorkerResult::FinalReceiptSigned { waiter: Box::new(waiter), outcome, receipt }
    });
}

/// The HTTP response that carries a final outcome, and the receipt if there is one.
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
        // Without a receipt, only the status can tell the client that the message may have taken effect.
        Err(_) if outcome == FinalOutcome::Failed => status = HttpStatus::BAD_GATEWAY,
        Err(_) => {}
    }
    HttpResponse::new(status, headers, body)
}

/// The digest to sign a receipt with: the first requested one that is not SHA-1, or SHA-256 if only SHA-1 was
/// requested; none for an unsigned receipt.
fn signature_digest(requested: &[Digest]) -> Option<Digest> {
    let strong = requested.iter().copied().find(|digest| *digest != Digest::Sha1);
    strong.or((!requested.is_empty()).then_some(Digest::Sha256))
}
