//! Opens messages as a partner and composes their receipts, with the faults that were asked for.

use super::config::ReceiptFault;
use crate::model::Reply;
use cloverstile_as2::{
    compose_receipt, open, Certificate, ComposedMessage, Digest, Disposition, Envelope, Identity,
    ReceiptContent,
};
use cloverstile_http::{parse_http_url, Message};
use std::net::SocketAddr;

/// A composed receipt and whether its message could be opened.
pub(super) struct ComposedReceipt {
    pub(super) message_id: String,
    pub(super) opened: bool,
    /// The receipt; none if it can't be composed.
    pub(super) receipt: Option<ComposedMessage>,
}

/// A partner's side of a receipt.
pub(super) struct ReceiptSigner<'a> {
    pub(super) identity: &'a Identity,
    /// Any other partner, for receipts that are signed wrongly.
    pub(super) other: Option<&'a Identity>,
    pub(super) fault: Option<ReceiptFault>,
}

/// Opens a message and composes its receipt; none if its headers are not AS2.
pub(super) fn compose_for(
    message: &Message,
    sender: &Certificate,
    reply: Reply,
    signer: &ReceiptSigner<'_>,
) -> Option<ComposedReceipt> {
    let envelope = Envelope::parse(&message.headers).ok()?;
    let opened = open(&message.headers, &message.body, signer.identity, sender, envelope.receipt.as_ref());
    let is_opened = opened.is_ok();
    let (disposition, mut mic) = match (opened, reply) {
        (_, Reply::Error) => (Disposition::Error("unexpected-processing-error".into()), None),
        (Ok(opened), _) => (Disposition::Processed, Some(opened.mic)),
        (Err(error), _) => (Disposition::Error(error.disposition_name().into()), None),
    };
    if let (Some(ReceiptFault::WrongMic), Some(mic)) = (signer.fault, &mut mic) {
        mic.value.reverse();
    }
    let requested = envelope.receipt.and_then(|receipt| receipt.signed.first().copied());
    let digest = requested.filter(|digest| *digest != Digest::Sha1);
    let receipt_id = format!("receipt.{}", envelope.message_id);
    let content = ReceiptContent {
        receipt_id: &receipt_id,
        to: &envelope.from,
        original_id: &envelope.message_id,
        disposition,
        mic: mic.as_ref(),
        text: "The message has been received.",
        final_outcome: None,
    };
    let identity = match signer.fault {
        Some(ReceiptFault::WrongSigner) => signer.other.unwrap_or(signer.identity),
        _ => signer.identity,
    };
    let receipt = compose_receipt(&content, identity, digest).ok();
    Some(ComposedReceipt { message_id: envelope.message_id, opened: is_opened, receipt })
}

/// Where a message wants its receipt on a connection of its own: the URL as it stands.
pub(super) fn deferred_url(message: &Message) -> Option<String> {
    Envelope::parse(&message.headers).ok()?.receipt?.deliver_to
}

/// Address and path of a deferred receipt.
pub(super) fn deferred_target(message: &Message) -> Option<(SocketAddr, String)> {
    parse_http_url(&deferred_url(message)?)
}
