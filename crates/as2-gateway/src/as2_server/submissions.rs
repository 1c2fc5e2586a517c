//! Submissions from clients: the sender is identified, the message is decrypted and verified on a worker thread, and
//! then submitted to the engine.

use super::connections::HttpResponse;
use super::receipts::{Rejection, INSUFFICIENT_SECURITY, UNEXPECTED_PROCESSING_ERROR};
use crate::admission::{admit, RejectionReason};
use crate::context::Context;
use crate::identifiers::RequestId;
use crate::in_flight_message::{InFlightMessage, ReceiptWaiter};
use crate::response_mapping::HttpStatus;
use crate::worker_result::{OpenedSubmission, WorkerResult};
use cloverstile::MessageId;
use cloverstile_as2::{open, Envelope, OpenedMessage};
use cloverstile_engine::{Admission, FinalOutcome, SubmitRequest};
use cloverstile_http::{Headers, Message};

/// Text in the receipt of a message whose `Message-ID` belongs to a different message.
const CONFLICT_REASON: &str =
    "this Message-ID was used for another message: with other content, of another class, \
                               for another partner or by another client";

/// What the server does next with a submission.
pub(crate) enum NextStep {
    /// Wait for the final outcome, which is sent as the response.
    AwaitOutcome,
    /// Send a response at once.
    Respond(HttpResponse),
    /// Sign and send the receipt: the final outcome is already known.
    SendOutcome {
        waiter: ReceiptWaiter,
        outcome: FinalOutcome,
        /// Whether the receipt is asynchronous. If so, the submission itself is acknowledged at once.
        async_receipt: bool,
    },
    /// Reject the message, with a receipt if the client asked for one.
    Reject(Rejection),
}

/// Identifies the sender by `AS2-From` and starts to decrypt and verify the message on a worker thread.
pub(crate) fn start_opening(
    context: &mut Context,
    request: RequestId,
    message: Message,
) -> Result<(), Rejection> {
    let envelope = Envelope::parse(&message.headers)
        .map_err(|error| Rejection::without_receipt(HttpStatus::BAD_REQUEST, error.to_string()))?;
    let client = context.config.clients.iter().position(|client| client.as2_name == envelope.from);
    let client = client.ok_or_else(|| unknown_sender(&envelope.from))?;
    let identity = context.directory.own_identity.clone();
    if envelope.to != identity.name {
        let reason = format!("AS2-To '{}' is not this station", envelope.to);
        return Err(Rejection {
            status: HttpStatus::UNPROCESSABLE_CONTENT,
            reason,
            envelope: Some(Box::new(envelope)),
            disposition_modifier: UNEXPECTED_PROCESSING_ERROR,
        });
    }
    let certificate = context.directory.clients[client].clone();
    context.crypto_pool.submit(move || {
        let receipt = envelope.receipt.as_ref();
        let opened = open(&message.headers, &message.body, &identity, &certificate, receipt).map(Box::new);
        let (envelope, http_headers) = (Box::new(envelope), message.headers);
        WorkerResult::SubmissionOpened(OpenedSubmission { request, client, envelope, http_headers, opened })
    });
    Ok(())
}

/// The rejection of a request whose sender is not in the settings.
pub(crate) fn unknown_sender(name: &str) -> Rejection {
    let reason = format!("AS2-From '{name}' is not known here");
    Rejection::without_receipt(HttpStatus::FORBIDDEN, reason)
}

/// Checks a decrypted and verified submission against the settings and submits it to the engine.
pub(crate) fn submit(context: &mut Context, submission: OpenedSubmission) -> NextStep {
    let OpenedSubmission { request, client, envelope, http_headers, opened } = submission;
    let opened = match opened {
        Ok(opened) => *opened,
        Err(error) => {
            return NextStep::Reject(Rejection {
                status: HttpStatus::BAD_REQUEST,
                reason: error.to_string(),
                envelope: Some(envelope),
                disposition_modifier: error.disposition_name(),
            })
        }
    };
    let now = context.now();
    let (id, receipt) = (&envelope.message_id, envelope.receipt.as_ref());
    match admit(now, &context.config, client, id, &http_headers, &opened, receipt) {
        Ok(submit_request) => submit_admitted(context, request, *envelope, opened, submit_request),
        Err(reason) => NextStep::Reject(Rejection {
            status: HttpStatus::UNPROCESSABLE_CONTENT,
            reason: reason.to_string(),
            envelope: Some(envelope),
            disposition_modifier: disposition_modifier(&reason),
        }),
    }
}

fn disposition_modifier(reason: &RejectionReason) -> &'static str {
    match reason {
        RejectionReason::InsufficientSecurity(_) => INSUFFICIENT_SECURITY,
        _ => UNEXPECTED_PROCESSING_ERROR,
    }
}

fn submit_admitted(
    context: &mut Context,
    request: RequestId,
    envelope: Envelope,
    opened: OpenedMessage,
    submit_request: SubmitRequest,
) -> NextStep {
    let partner = usize::from(submit_request.destination.0);
    let admission = context.engine.submit(context.now(), submit_request);
    let async_receipt = envelope.receipt.as_ref().is_some_and(|receipt| receipt.deliver_to.is_some());
    let waiter = ReceiptWaiter { request: (!async_receipt).then_some(request), envelope, mic: opened.mic };
    match admission {
        Admission::New(message) => {
            let in_flight = InFlightMessage {
                partner,
                payload: Some(opened.payload),
                composed: None,
                composing: false,
                waiters: vec![waiter],
            };
            context.messages.insert(message, in_flight);
            acknowledge(async_receipt)
        }
        Admission::InFlight(message) => {
            add_waiter(context, message, waiter);
            acknowledge(async_receipt)
        }
        Admission::Completed(_, outcome) => NextStep::SendOutcome { waiter, outcome, async_receipt },
        Admission::Conflict => NextStep::Reject(Rejection {
            status: HttpStatus::CONFLICT,
            reason: CONFLICT_REASON.to_owned(),
            envelope: Some(Box::new(waiter.envelope)),
            disposition_modifier: UNEXPECTED_PROCESSING_ERROR,
        }),
        Admission::Overloaded => not_admitted("as much is held as may be\n"),
        Admission::ShuttingDown => not_admitted("stopping\n"),
    }
}

fn add_waiter(context: &mut Context, message: MessageId, waiter: ReceiptWaiter) {
    if let Some(in_flight) = context.messages.get_mut(&message) {
        in_flight.waiters.push(waiter);
    }
}

/// Acknowledges a submission with an asynchronous receipt at once; any other waits for its final outcome.
fn acknowledge(async_receipt: bool) -> NextStep {
    if async_receipt {
        NextStep::Respond(HttpResponse::empty(HttpStatus::ACCEPTED))
    } else {
        NextStep::AwaitOutcome
    }
}

fn not_admitted(text: &str) -> NextStep {
    let headers = Headers::new().with("Retry-After", "1").with("Cloverstile-Answer", "not-taken");
    NextStep::Respond(HttpResponse::new(HttpStatus::SERVICE_UNAVAILABLE, headers, text))
}
