//! Opens messages on behalf of a partner and composes their receipts, including injected faults.

use super::config::ReceiptFault;
use crate::model::Reply;
use cloverstile_as2::{
    compose_receipt, open, Certificate, ComposedMessage, Digest, Disposition, Envelope, Identity,
    ReceiptContent,
};
use cloverstile_http::{parse_http_url, Message};
use std::net::SocketAddr;

/// Result of opening a message and composing its receipt.
pub(super) struct ComposedReceipt {
    /// Message-ID of the message.
    pub(super) message_id: String,
    /// Whether the message could be decrypted and verified.
    pub(super) opened: bool,
    /// The receipt, or `None` if it can't be composed.
    pub(super) receipt: Option<ComposedMessage>,
}

/// The identity that opens messages and signs receipts, and the fault to apply.
pub(super) struct ReceiptSigner<'a> {
    pub(super) identity: &'a Identity,
    /// Another partner, whose key signs the receipts under [`ReceiptFault::WrongSigner`].
    pub(super) other_identity: Option<&'a Identity>,
    pub(super) fault: Option<ReceiptFault>,
}

/// Opens a message and composes its receipt. Returns `None` if the headers are not valid AS2.
pub(super) fn open_and_compose_receipt(
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
    let requested_digest = envelope.receipt.and_then(|receipt| receipt.signed.first().copied());
    let digest = requested_digest.filter(|digest| *digest != Digest::Sha1);
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
        Some(ReceiptFault::WrongSigner) => signer.other_identity.unwrap_or(signer.identity),
        _ => signer.identity,
    };
    let receipt = compose_receipt(&content, identity, digest).ok();
    Some(ComposedReceipt { message_id: envelope.message_id, opened: is_opened, receipt })
}

/// URL to which a message requests a deferred receipt, unparsed; `None` if it does not request one.
pub(super) fn deferred_url(message: &Message) -> Option<String> {
    Envelope::parse(&message.headers).ok()?.receipt?.deliver_to
}

/// Address and path to which a message requests a deferred receipt.
pub(super) fn deferred_target(message: &Message) -> Option<(SocketAddr, String)> {
    parse_http_url(&deferred_url(message)?)
}
