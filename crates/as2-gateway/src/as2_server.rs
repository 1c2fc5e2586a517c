//! AS2 server: accepts submissions from clients and asynchronous receipts from partners, and sends receipts to
//! clients.

mod connections;
mod partner_receipts;
mod receipt_delivery;
mod receipts;
mod submissions;

use crate::context::Context;
use crate::identifiers::{DeliveryId, RequestId};
use crate::in_flight_message::ReceiptWaiter;
use crate::response_mapping::HttpStatus;
use crate::worker_result::{OpenedSubmission, SignedRejection};
use cloverstile_as2::{As2Error, ComposedMessage, Receipt};
use cloverstile_engine::FinalOutcome;
use cloverstile_http::{Headers, Message, StartLine};
use cloverstile_net::{ConnId, Net};
use connections::{HttpResponse, InboundConnections};
use receipt_delivery::ReceiptDeliveries;
use receipts::Rejection;
use submissions::NextStep;
use tracing::debug;

/// Inbound connections, receipt deliveries and pending jobs of the AS2 server.
#[derive(Default)]
pub(crate) struct As2Server {
    connections: InboundConnections,
    deliveries: ReceiptDeliveries,
    /// Number of jobs on worker threads whose results come back to this server.
    pending_jobs: usize,
}

impl As2Server {
    /// Whether the connection is inbound or delivers a receipt to a client.
    pub fn owns(&self, connection: ConnId) -> bool {
        self.connections.contains(connection) || self.deliveries.contains(connection)
    }

    /// Whether a job on a worker thread or the delivery of a receipt is still pending.
    pub fn is_busy(&self) -> bool {
        self.pending_jobs > 0 || !self.deliveries.is_empty()
    }

    /// Bytes of responses that are buffered and not yet written to their sockets.
    pub fn unsent_bytes(&self, net: &Net) -> usize {
        self.connections.unsent_bytes(net)
    }

    pub fn on_accepted(&mut self, context: &mut Context, connection: ConnId) {
        self.connections.accept(context, connection);
    }

    pub fn on_bytes(&mut self, context: &mut Context, connection: ConnId, bytes: &[u8]) {
        if self.deliveries.contains(connection) {
            return self.deliveries.on_bytes(context, connection, bytes);
        }
        self.connections.feed(context, connection, bytes);
        self.read_requests(context, connection);
    }

    /// Resumes reading requests once the connection's buffered responses have been written.
    pub fn on_flushed(&mut self, context: &mut Context, connection: ConnId) {
        self.read_requests(context, connection);
    }

    pub fn on_request_deadline(&mut self, context: &mut Context, connection: ConnId) {
        self.connections.on_deadline(context, connection);
    }

    /// Drops the connection only. Its message goes on, and the client can resubmit it to get the final outcome.
    pub fn on_closed(&mut self, context: &mut Context, connection: ConnId) {
        self.connections.remove(connection);
        self.on_delivery_failed(context, connection);
    }

    /// Handles a receipt delivery whose connection failed or timed out. Other connections are ignored.
    pub fn on_delivery_failed(&mut self, context: &mut Context, connection: ConnId) {
        self.deliveries.on_failure(context, connection);
    }

    pub fn retry_delivery(&mut self, context: &mut Context, delivery: DeliveryId) {
        self.deliveries.attempt(context, delivery);
    }

    /// Processes the buffered requests of a connection, one at a time.
    ///
    /// This is a loop and not a recursion: a peer may send thousands of pipelined requests at once, and reading each
    /// one while responding to the previous one would overflow the stack and crash the gateway.
    fn read_requests(&mut self, context: &mut Context, connection: ConnId) {
        while let Some((request, message)) = self.connections.next_request(context, connection) {
            self.on_request(context, request, message);
        }
    }

    fn on_request(&mut self, context: &mut Context, request: RequestId, message: Message) {
        let StartLine::Request { method, target } = &message.start_line else { return };
        let path = target.split('?').next().unwrap_or_default();
        let resource = path.strip_prefix(context.config.listener.path.as_str());
        let started = match (method.as_str(), resource) {
            ("POST", Some("")) => submissions::start_opening(context, request, message),
            ("POST", Some("/receipts")) => partner_receipts::start_reading(context, request, message),
            (_, Some("" | "/receipts")) => {
                let headers = Headers::new().with("Allow", "POST");
                let body = "AS2 messages are posted\n";
                let response = HttpResponse::new(HttpStatus::METHOD_NOT_ALLOWED, headers, body);
                return self.connections.respond(context, request, response);
            }
            _ => {
                let response = HttpResponse::new(HttpStatus::NOT_FOUND, Headers::new(), "nothing here\n");
                return self.connections.respond(context, request, response);
            }
        };
        match started {
            Ok(()) => self.pending_jobs += 1,
            Err(rejection) => self.reject(context, request, rejection),
        }
    }

    /// Rejects a request, with a signed receipt if the sender is known and asked for one.
    fn reject(&mut self, context: &mut Context, request: RequestId, rejection: Rejection) {
        debug!(status = rejection.status.code, reason = rejection.reason, "message rejected");
        if let Some((envelope, receipt)) = rejection.receipt_request() {
            self.pending_jobs += 1;
            receipts::sign_rejection(context, request, rejection, envelope, receipt);
        } else {
            let response = receipts::rejection_response(rejection.status, &rejection.reason, None);
            self.connections.respond(context, request, response);
        }
    }

    /// Starts to sign the receipt with a message's final outcome; it is sent once it is signed.
    pub fn send_outcome(&mut self, context: &mut Context, waiter: ReceiptWaiter, outcome: FinalOutcome) {
        self.pending_jobs += 1;
        receipts::sign_final_receipt(context, waiter, outcome);
    }

    pub fn on_submission_opened(&mut self, context: &mut Context, submission: OpenedSubmission) {
        self.pending_jobs -= 1;
        let request = submission.request;
        match submissions::submit(context, submission) {
            NextStep::AwaitOutcome => {}
            NextStep::Respond(response) => self.connections.respond(context, request, response),
            NextStep::SendOutcome { waiter, outcome, async_receipt } => {
                self.send_outcome(context, waiter, outcome);
                if async_receipt {
                    let response = HttpResponse::empty(HttpStatus::ACCEPTED);
                    self.connections.respond(context, request, response);
                }
            }
            NextStep::Reject(rejection) => self.reject(context, request, rejection),
        }
        self.read_requests(context, request.connection);
    }

    pub fn on_rejection_signed(&mut self, context: &mut Context, rejection: SignedRejection) {
        self.pending_jobs -= 1;
        let SignedRejection { request, status, reason, receipt } = rejection;
        let response = receipts::rejection_response(status, &reason, receipt);
        self.connections.respond(context, request, response);
        self.read_requests(context, request.connection);
    }

    pub fn on_final_receipt_signed(
        &mut self,
        context: &mut Context,
        waiter: ReceiptWaiter,
        outcome: FinalOutcome,
        receipt: Result<Box<ComposedMessage>, As2Error>,
    ) {
        self.pending_jobs -= 1;
        let response = receipts::final_response(&waiter.envelope, outcome, receipt);
        if let Some(request) = waiter.request {
            self.connections.respond(context, request, response);
            return self.read_requests(context, request.connection);
        }
        let url = waiter.envelope.receipt.and_then(|receipt| receipt.deliver_to).unwrap_or_default();
        self.deliveries.start(context, &url, response.headers, &response.body);
    }

    /// Responds to a partner's asynchronous receipt. `partner` is the partner's index in the settings.
    pub fn on_partner_receipt_read(
        &mut self,
        context: &mut Context,
        request: RequestId,
        partner: usize,
        receipt: Result<Box<Receipt>, As2Error>,
    ) {
        self.pending_jobs -= 1;
        match partner_receipts::accept(context, partner, receipt) {
            Ok(()) => self.connections.respond(context, request, HttpResponse::empty(HttpStatus::OK)),
            Err(rejection) => self.reject(context, request, rejection),
        }
        self.read_requests(context, request.connection);
    }
}
