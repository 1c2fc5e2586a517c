//! Admission of a submission: checks its security and its `Cloverstile-...` header fields against the settings.
//! Performs no I/O.
//!
//! The fields name the class, the partner, the order key, the time left and whether the message is resubmitted. Each
//! is read from the headers of the signed part first and then from the HTTP headers, the only ones that many AS2
//! products can set.

use cloverstile::{ClassId, DestinationId, OrderKey, TenantId, Time};
use cloverstile_as2::{OpenedMessage, ReceiptRequest};
use cloverstile_engine::SubmitRequest;
use cloverstile_http::Headers;
use cloverstile_settings::{Client, Config};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Why a message is rejected. Resubmitting it unchanged is rejected as well.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectionReason {
    /// The message is not signed or not encrypted, although the settings require it of this client.
    #[error("the message is not {0}, as the settings ask of this client")]
    InsufficientSecurity(&'static str),
    /// The partner is missing (empty name) or not in the settings.
    #[error("partner '{0}' is not known; name one in Cloverstile-Partner")]
    UnknownPartner(String),
    /// The class is not in the settings, or is missing while there are several.
    #[error("class '{name}' is not known; name one in Cloverstile-Class: {known}")]
    UnknownClass {
        /// The class that the message names; empty if it names none.
        name: String,
        /// All classes of the settings, separated by commas.
        known: String,
    },
    /// The order key is missing in a class with ordered delivery; holds the name of the class.
    #[error("class '{0}' keeps its order: name what the message is about in Cloverstile-Order-Key")]
    MissingOrderKey(String),
    /// `Cloverstile-Time-Left` is not a positive whole number of milliseconds.
    #[error("Cloverstile-Time-Left must be milliseconds, 1 or more; it is '{0}'")]
    InvalidTimeLeft(String),
    /// `Cloverstile-Handed-In` is not one of `first`, `again` and `after-loss`.
    #[error("Cloverstile-Handed-In must be first, again or after-loss; it is '{0}'")]
    InvalidSubmissionKind(String),
    /// The receipt is requested at a URL that the settings do not permit for this client.
    #[error("receipts can't be sent to '{0}': 'receipts' in the settings of this client does not permit it")]
    ReceiptUrlNotAllowed(String),
}

/// Checks a submission against the settings and returns the request for the engine.
///
/// `client` is the sender's index in the settings. The deadline is the time left that the client states, at most that
/// of the class.
///
/// # Errors
/// Returns the first reason found to reject the message.
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
    let destination = config.partners.iter().position(|candidate| candidate.name == partner);
    let destination = destination.ok_or_else(|| RejectionReason::UnknownPartner(partner.to_owned()))?;
    let class = find_class(config, field("cloverstile-class"))?;
    let class_policy = &config.policy.classes[class];
    let key = field("cloverstile-order-key").filter(|key| !key.is_empty());
    if class_policy.ordered && key.is_none() {
        return Err(RejectionReason::MissingOrderKey(config.classes[class].clone()));
    }
    let time_left = match field("cloverstile-time-left") {
        None => class_policy.deadline,
        Some(text) => match text.parse::<u64>() {
            Ok(ms) if ms > 0 => Duration::from_millis(ms).min(class_policy.deadline),
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
    // A repeated idempotency key is a conflict unless content, partner and class are the same.
    let identity = [&opened.payload.body[..], partner.as_bytes(), config.classes[class].as_bytes()].concat();
    fingerprint.copy_from_slice(aws_lc_rs::digest::digest(&aws_lc_rs::digest::SHA256, &identity).as_ref());
    Ok(SubmitRequest {
        client: client as u32,
        idempotency_key: message_id.to_owned(),
        fingerprint,
        class: ClassId(class as u8),
        destination: DestinationId(destination as u16),
        order_key: key.map(|key| OrderKey(hash_order_key(key))),
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
    // Without this check a client could make the gateway connect to any address.
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

/// Hashes an order key. The result is the same in every gateway instance and after every restart.
fn hash_order_key(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
