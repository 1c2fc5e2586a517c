//! Asynchronous receipts from partners, which arrive as separate requests to the AS2 server.

use super::receipts::Rejection;
use super::submissions::unknown_sender;
use crate::context::Context;
use crate::identifiers::RequestId;
use crate::response_mapping::{outcome_of_receipt, HttpStatus};
use crate::worker_result::WorkerResult;
use cloverstile::MessageId;
use cloverstile_as2::{read_receipt, sender, As2Error, ComposedMessage, Receipt};
use cloverstile_http::Message;
use std::sync::Arc;
use tracing::warn;

/// Identifies the partner by `AS2-From` and starts to verify its receipt on a worker thread.
pub(crate) fn start_reading(
    context: &mut Context,
    request: RequestId,
    message: Message,
) -> Result<(), Rejection> {
    let from = sender(&message.headers).unwrap_or_default();
    let partner = context.config.partners.iter().position(|partner| partner.as2_name == from);
    let partner = partner.ok_or_else(|| unknown_sender(&from))?;
    let certificate = context.directory.partners[partner].clone();
    context.crypto_pool.submit(move || {
        let receipt = read_receipt(&message.headers, &message.body, &certificate).map(Box::new);
        WorkerResult::PartnerReceiptRead { request, partner, receipt }
    });
    Ok(())
}

/// Reports the outcome of a valid receipt to the engine. `partner` is the partner's index in the settings.
///
/// A receipt for an unknown message is accepted and ignored, so that the partner does not send it again.
pub(crate) fn accept(
    context: &mut Context,
    partner: usize,
    receipt: Result<Box<Receipt>, As2Error>,
) -> Result<(), Rejection> {
    let partner_name = &context.config.partners[partner].name;
    let receipt = receipt.map_err(|error| {
        warn!(partner = %partner_name, %error, "partner receipt rejected");
        Rejection::without_receipt(HttpStatus::BAD_REQUEST, error.to_string())
    })?;
    let Some((message, composed)) = find_message(context, partner, &receipt) else { return Ok(()) };
    receipt.check(&receipt.original_id, &composed.mic, true).map_err(|error| {
        warn!(message_id = %receipt.original_id, partner = %partner_name, %error, "partner receipt rejected");
        Rejection::without_receipt(HttpStatus::BAD_REQUEST, error.to_string())
    })?;
    context.engine.on_receipt(context.now(), message, outcome_of_receipt(&receipt));
    Ok(())
}

/// The composed message that a receipt is for; none unless the message was sent to this partner.
fn find_message(
    context: &Context,
    partner: usize,
    receipt: &Receipt,
) -> Option<(MessageId, Arc<ComposedMessage>)> {
    let id = context.engine.message_id(&receipt.original_id)?;
    let in_flight = context.messages.get(&id).filter(|in_flight| in_flight.partner == partner)?;
    Some((id, in_flight.composed.clone()?))
}
