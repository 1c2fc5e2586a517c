//! One exchange with a gateway in bytes: the request of a submission, and the outcome that its response reports.

use super::messages::PendingMessage;
use crate::record::ReportedOutcome;
use cloverstile_as2::{
    compose, read_receipt, Certificate, ComposedMessage, Identity, Outcome, OutgoingMessage, Part, Recipient,
    Security,
};
use cloverstile_http::{encode_request, Headers, Message, StartLine};
use std::net::SocketAddr;
use std::time::Duration;

/// Signs, and encrypts where that is wanted, a planned message for a gateway.
pub(super) fn compose_message(
    message: &PendingMessage,
    sender: &Identity,
    gateway: Recipient<'_>,
    security: &Security,
) -> Option<ComposedMessage> {
    let payload = Part {
        headers: Headers::new().with("Content-Type", "application/octet-stream"),
        body: message.planned.body.clone(),
    };
    let outgoing = OutgoingMessage { message_id: &message.planned.id, payload: &payload, subject: None };
    compose(&outgoing, sender, gateway, security).ok()
}

/// The HTTP request that submits a composed message.
pub(super) fn submission_request(
    message: &PendingMessage,
    composed: &ComposedMessage,
    address: SocketAddr,
    time_left: Duration,
) -> Vec<u8> {
    let mut headers = composed.headers.clone();
    headers
        .add("Host", address.to_string())
        .add("Cloverstile-Partner", message.planned.partner.as_str())
        .add("Cloverstile-Class", message.planned.class.as_str())
        .add("Cloverstile-Time-Left", time_left.as_millis().to_string());
    if let Some(key) = &message.planned.key {
        headers.add("Cloverstile-Order-Key", key.as_str());
    }
    if message.after_loss {
        headers.add("Cloverstile-Handed-In", "after-loss");
    } else if message.rejections > 0 {
        headers.add("Cloverstile-Handed-In", "again");
    }
    encode_request("POST", "/as2", &headers, &composed.body)
}

/// Whether a response says only that the message is accepted, its outcome being deferred.
pub(super) fn is_acceptance(response: &Message) -> bool {
    let is_success = matches!(response.start_line, StartLine::Response { status: 200..=299 });
    is_success && response.headers.get("cloverstile-answer").is_none()
}

/// The outcome that a response or a deferred receipt reports, proven by its signature.
pub(super) fn read_outcome(
    message: &PendingMessage,
    response: &Message,
    certificate: &Certificate,
) -> ReportedOutcome {
    let is_multipart = response.headers.get("content-type").is_some_and(|kind| kind.contains("multipart"));
    if response.body.is_empty() || !is_multipart {
        return match response.start_line {
            StartLine::Response { status: 503 } => ReportedOutcome::NotAccepted,
            _ => ReportedOutcome::Unclear,
        };
    }
    let Some(composed) = &message.composed else { return ReportedOutcome::Unclear };
    let receipt = read_receipt(&response.headers, &response.body, certificate);
    let checked = receipt.and_then(|receipt| {
        receipt.check(&message.planned.id, &composed.mic, true)?;
        Ok(receipt.final_outcome)
    });
    match checked {
        Ok(Some(Outcome::Delivered)) => ReportedOutcome::Delivered,
        Ok(Some(Outcome::Rejected)) => ReportedOutcome::Rejected,
        Ok(Some(Outcome::Failed)) => ReportedOutcome::Failed,
        Ok(None) | Err(_) => ReportedOutcome::Unclear,
    }
}
