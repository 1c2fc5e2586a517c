//! Encodes the request of a submission, and decodes the outcome that its response or deferred receipt reports.

use super::messages::PendingMessage;
use crate::record::ReportedOutcome;
use cloverstile_as2::{
    compose, read_receipt, Certificate, ComposedMessage, Identity, Outcome, OutgoingMessage, Part, Recipient,
    Security,
};
use cloverstile_http::{encode_request, Headers, Message, StartLine};
use std::net::SocketAddr;
use std::time::Duration;

/// Composes a planned message for a gateway, signed and encrypted as `security` says. `None` if that fails.
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

/// Encodes the HTTP request that submits a composed message. `time_left` is the time to the message's deadline.
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

/// Whether a response only accepts the message, so that the outcome will follow in a deferred receipt.
pub(super) fn is_acceptance(response: &Message) -> bool {
    let is_success = matches!(response.start_line, StartLine::Response { status: 200..=299 });
    is_success && response.headers.get("cloverstile-answer").is_none()
}

/// Reads the outcome from a response or a deferred receipt. A receipt counts only if it is signed with `certificate`
/// and matches the submitted content.
pub(super) fn read_outcome(
    message: &PendingMessage,
    response: &Message,
    certificate: &Certificate,
) -> ReportedOutcome {
    let is_multipart =
        response.headers.get("content-type").is_some_and(|content_type| content_type.contains("multipart"));
    if response.body.is_empty() || !is_multipart {
        return match response.start_line {
            StartLine::Response { status: 503 } => ReportedOutcome::NotAccepted,
            _ => ReportedOutcome::Unclear,
        };
    }
    let Some(composed) = &message.composed else { return ReportedOutcome::Unclear };
    let receipt = read_receipt(&response.headers, &response.body, certificate);
    let final_outcome = receipt.and_then(|receipt| {
        receipt.check(&message.planned.id, &composed.mic, true)?;
        Ok(receipt.final_outcome)
    });
    match final_outcome {
        Ok(Some(Outcome::Delivered)) => ReportedOutcome::Delivered,
        Ok(Some(Outcome::Rejected)) => ReportedOutcome::Rejected,
        Ok(Some(Outcome::Failed)) => ReportedOutcome::Failed,
        Ok(None) | Err(_) => ReportedOutcome::Unclear,
    }
}
