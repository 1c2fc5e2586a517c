//! Results of the cryptographic jobs that run on worker threads.

use crate::identifiers::{BatchId, RequestId};
use crate::in_flight_message::ReceiptWaiter;
use crate::response_mapping::HttpStatus;
use cloverstile::MessageId;
use cloverstile_as2::{As2Error, ComposedMessage, Envelope, OpenedMessage, Receipt};
use cloverstile_engine::{Attempt, FinalOutcome, TransportOutcome};
use cloverstile_http::Headers;

/// A submission that was decrypted and its signature verified, or the reason why that failed.
pub(crate) struct OpenedSubmission {
    pub request: RequestId,
    /// Index of the sender in the clients of the settings.
    pub client: usize,
    pub envelope: Box<Envelope>,
    /// Header fields of the HTTP request.
    pub http_headers: Headers,
    pub opened: Result<Box<OpenedMessage>, As2Error>,
}

/// The outcome of an attempt, by the verified receipt in the partner's response.
pub(crate) struct VerifiedResponse {
    pub batch: BatchId,
    pub attempt: Attempt,
    pub outcome: TransportOutcome,
    /// Why the receipt in the response was not accepted; none if it was.
    pub error: Option<As2Error>,
}

/// A receipt that rejects a submission.
pub(crate) struct SignedRejection {
    pub request: RequestId,
    pub status: HttpStatus,
    /// Explanation for the people who read the receipt.
    pub reason: String,
    /// None if it could not be composed.
    pub receipt: Option<Box<ComposedMessage>>,
}

/// What a job on a worker thread returns.
pub(crate) enum WorkerResult {
    /// A client's submission was decrypted and verified, or failed that.
    SubmissionOpened(OpenedSubmission),
    /// A message for a partner was signed, encrypted and encoded.
    MessageComposed { message: MessageId, composed: Result<Box<ComposedMessage>, As2Error> },
    /// The receipt in a partner's response was verified.
    ResponseVerified(VerifiedResponse),
    /// A partner's asynchronous receipt was decoded and its signature, if any, verified; `partner` is the partner's
    /// index in the settings.
    PartnerReceiptRead { request: RequestId, partner: usize, receipt: Result<Box<Receipt>, As2Error> },
    /// The receipt that reports a message's final outcome to a client was signed.
    FinalReceiptSigned {
        waiter: Box<ReceiptWaiter>,
        outcome: FinalOutcome,
        receipt: Result<Box<ComposedMessage>, As2Error>,
    },
    /// A receipt that rejects a submission was signed.
    RejectionSigned(SignedRejection),
}
