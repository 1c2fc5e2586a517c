//! Admission of a submission: what it must say of itself, checked against the settings. Free of I/O.
//!
//! Class, partner, order key and time left are read from fields named `Cloverstile-...`: those of the signed part come
//! first, then those of the HTTP message, as many products can set only these.

use cloverstile::{ClassId, DestinationId, OrderKey, TenantId, Time};
use cloverstile_as2::{OpenedMessage, ReceiptRequest};
use cloverstile_engine::SubmitRequest;
use cloverstile_http::Headers;
use cloverstile_settings::{Client, Config};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Why a message is rejected, for good: submitting the same again is rejected as well.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectionReason {
    /// Not signed or encrypted as the settings require.
    #[error("the message is not {0}, as the settings ask of this client")]
    InsufficientSecurity(&'static str),
    /// A partner that is missing or unknown.
    #[error("partner '{0}' is not known; name one in Cloverstile-Partner")]
    UnknownPartner(String),
    /// A class that is missing or unknown.
    #[error("class '{name}' is not known; name one in Cloverstile-Class: {known}")]
    UnknownClass {
        /// The class that the message names; empty if none.
        name: String,
        /// All classes of the settings, separated by commas.
        known: String,
    },
    /// No order key, in a class with ordered delivery.
    #[error("class '{0}' keeps its order: name what the message is about in Cloverstile-Order-Key")]
    MissingOrderKey(String),
    /// A time that is not a positive number of milliseconds.
    #[error("Cloverstile-Time-Left must be milliseconds, 1 or more; it is '{0}'")]
    InvalidTimeLeft(String),
    /// A value of `Cloverstile-Handed-In` that is not known.
    #[error("Cloverstile-Handed-In must be first, again or after-loss; it is '{0}'")]
    InvalidSubmissionKind(String),
    /// Receipts wanted at an address that the settings do not permit for this client.
    #[error("receipts can't be sent to '{0}': 'receipts' in the settings of this client does not permit it")]
    ReceiptUrlNotAllowed(String),
}

/// Reads the fields of a submission and checks them against the settings.
///
/// `client` is the sender's index in the settings.
///
/// # Errors
/// The first reason found to reject the message.
pub fn admit(
    now: Time,
    config: &Config,
    client: usize,
    message_id: &str,
    http: &Headers,
    opened: &OpenedMessage,
    receipt: Option<&ReceiptRequest>,
) -> Result<SubmitRequest, RejectionReason> {
    let sender = &config.clients[client];
    check_security(sender, opened, receipt)?;
    let field = |name: &str| opened.payload.headers.get(name).or_else(|| http.get(name));
    let partner = field("cloverstile-partner").unwrap_or_default();
    let destination = config.partners.iter().position(|known| known.name == partner);
    let destination = destination.ok_or_else(|| RejectionReason::UnknownPartner(partner.to_owned()))?;
    let class = find_class(config, field("cloverstile-class"))?;
    let rules = &config.policy.classes[class];
    let key = field("cloverstile-order-key").filter(|key| !key.is_empty());
    if rules.ordered && key.is_none() {
        return Err(RejectionReason::MissingOrderKey(config.classes[class].clone()));
    }
    let time_left = match field("cloverstile-time-left") {
        None => rules.deadline,
        Some(text) => match text.parse::<u64>() {
            Ok(ms) if ms > 0 => Duration::from_millis(ms).min(rules.deadline),
            _ => return Err(RejectionReason::InvalidTimeLeft(text.to_owned())),
        },
    };
    let (resubmitted, from_lost_instance) = match field("cloverstile-handed-in").unwrap_or("first") {
        "first" => (false, false),
        "again" => (true, false),
        "after-loss" => (true, true),
        other => return Err(RejectionReason::InvalidSubmissionKind(other.to_owned())),
    };
    let mut fingerprint = [0; 32];
    // Content, partner and class: the same idempotency key must stand for the same of these.
    let identity = [&opened.payload.body[..], partner.as_bytes(), config.classes[class].as_bytes()].concat();
    fingerprint.copy_from_slice(aws_lc_rs::digest::digest(&aws_lc_rs::digest::SHA256, &identity).as_ref());
    Ok(SubmitRequest {
        client: client as u32,
        idempotency_key: message_id.to_owned(),
        fingerprint,
        class: ClassId(class as u8),
        destination: DestinationId(destination as u16),
        order_key: key.map(|key| OrderKey(hash_of(key))),
        deadline: now + time_left,
        tenant: TenantId(sender.tenant),
        resubmitted,
        from_lost_instance,
    })
}

fn check_security(
    sender: &Client,
    opened: &OpenedMessage,
    receipt: Option<&ReceiptRequest>,
) -> Result<(), RejectionReason> {
    let signed =
        opened.signed.is_some_and(|digest| sender.accepts_sha1 || digest != cloverstile_as2::Digest::Sha1);
    if sender.requires_signature && !signed {
        return Err(RejectionReason::InsufficientSecurity("signed"));
    }
    if sender.requires_encryption && !opened.encrypted {
        return Err(RejectionReason::InsufficientSecurity("encrypted"));
    }
    // Guards against a message that makes the gateway connect to any address it names.
    match receipt.and_then(|request| request.deliver_to.as_deref()) {
        Some(url) if !sender.receipt_url_prefix.as_deref().is_some_and(|prefix| url.starts_with(prefix)) => {
            Err(RejectionReason::ReceiptUrlNotAllowed(url.to_owned()))
        }
        _ => Ok(()),
    }
}

fn find_class(config: &Config, requested: Option<&str>) -> Result<usize, RejectionReason> {
    match (requested, config.classes.len()) {
        (None, 1) => Ok(0),
        (requested, _) => {
            let name = requested.unwrap_or_default();
            let known = || config.classes.join(", ");
            let found = config.classes.iter().position(|class| class == name);
            found.ok_or_else(|| RejectionReason::UnknownClass { name: name.to_owned(), known: known() })
        }
    }
}

/// Hash of an order key; the same in every gateway instance and run.
fn hash_of(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
