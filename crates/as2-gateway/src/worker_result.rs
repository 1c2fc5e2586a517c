//! Results of the cryptographic jobs that run on worker threads.

use crate::identifiers::{BatchId, RequestId};
use crate::in_flight_message::ReceiptWaiter;
use crate::response_mapping::HttpStatus;
use cloverstile::MessageId;
use cloverstile_as2::{As2Error, ComposedMessage, Envelope, OpenedMessage, Receipt};
use cloverstile_engine::{Attempt, FinalOutcome, TransportOutcome};
use cloverstile_http::Headers;

/// A submission whose signature and encryption were processed.
pub(crate) struct OpenedSubmission {
    pub request: RequestId,
    /// Index of the sender in the clients of the settings.
    pub client: usize,
    pub envelope: Box<Envelope>,
    /// Fields of the HTTP message.
    pub http_headers: Headers,
    pub opened: Result<Box<OpenedMessage>, As2Error>,
}

/// The verified meaning of a partner's response to an attempt.
pub(crate) struct VerifiedResponse {
    pub batch: BatchId,
    pub attempt: Attempt,
    pub outcome: TransportOutcome,
    /// Why the receipt in the response was not accepted.
    pub error: Option<As2Error>,
}

/// A receipt that rejects a submission.
pub(crate) struct SignedRejection {
    pub request: RequestId,
    pub status: HttpStatus,
    /// Explanation for people.
    pub reason: String,
    /// None where it could not be composed.
    pub receipt: Option<Box<ComposedMessage>>,
}

/// What a job on a worker thread returns.
pub(crate) enum WorkerResult {
    /// A client's submission was opened, or could not be.
    SubmissionOpened(OpenedSubmission),
    /// A message for a partner was composed.
    MessageComposed { message: MessageId, composed: Result<Box<ComposedMessage>, As2Error> },
    /// The receipt in a partner's response was verified.
    ResponseVerified(VerifiedResponse),
    /// A partner's asynchronous receipt was read; `partner` is its index in the settings.
    PartnerReceiptRead { request: RequestId, partner: usize, receipt: Result<Box<Receipt>, As2Error> },
    /// The receipt with a message's final outcome was signed for a client.
    FinalReceiptSigned {
        waiter: Box<ReceiptWaiter>,
        outcome: FinalOutcome,
        receipt: Result<Box<ComposedMessage>, As2Error>,
    },
    /// A receipt that rejects a submission was signed.
    RejectionSigned(SignedRejection),
}
