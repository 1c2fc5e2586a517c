//! What a message needs before it is taken. No I/O.
//!
//! Class, partner, order key and time left travel in fields named `Cloverstile-...`: in those of the signed part
//! where they are there, else in those of the HTTP message, as many products can set only those.

use cloverstile::{ClassId, DestinationId, OrderKey, TenantId, Time};
use cloverstile_as2::{Opened, ReceiptRequest};
use cloverstile_engine::SubmitRequest;
use cloverstile_http::Headers;
use cloverstile_settings::{Client, Config};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Why a message is not taken, for good: handing the same in again meets the same end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// Not protected as the settings ask for.
    #[error("the message is not {0}, as the settings ask of this client")]
    Unprotected(&'static str),
    /// A partner that is not known, or not told.
    #[error("partner '{0}' is not known; name one in Cloverstile-Partner")]
    Partner(String),
    /// A class that is not known, or not told.
    #[error("class '{0}' is not known; name one in Cloverstile-Class: {1}")]
    Class(String, String),
    /// A class in order, without a key.
    #[error("class '{0}' keeps its order: name what the message is about in Cloverstile-Order-Key")]
    NoKey(String),
    /// A time that can't be read.
    #[error("Cloverstile-Time-Left must be milliseconds, 1 or more; it is '{0}'")]
    TimeLeft(String),
    /// A word that is not known.
    #[error("Cloverstile-Handed-In must be first, again or after-loss; it is '{0}'")]
    HandedIn(String),
    /// Receipts wanted at an address that the settings don't permit for this client.
    #[error("receipts can't be sent to '{0}': 'receipts' in the settings of this client does not permit it")]
    ReceiptUrl(String),
}

/// Reads what a hand-in says of itself, and checks it against the settings.
///
/// `client` is the sender's place in the settings.
pub fn admit(
    now: Time,
    config: &Config,
    client: usize,
    message_id: &str,
    http: &Headers,
    opened: &Opened,
    receipt: Option<&ReceiptRequest>,
) -> Result<SubmitRequest, Rejection> {
    let who = &config.clients[client];
    check_protection(who, opened, receipt)?;
    let field = |name: &str| opened.payload.headers.get(name).or_else(|| http.get(name));
    let partner = field("cloverstile-partner").unwrap_or_default();
    let destination = config.partners.iter().position(|known| known.name == partner);
    let destination = destination.ok_or_else(|| Rejection::Partner(partner.to_owned()))?;
    let class = find_class(config, field("cloverstile-class"))?;
    let rules = &config.module.classes[class];
    let key = field("cloverstile-order-key").filter(|key| !key.is_empty());
    if rules.ordered && key.is_none() {
        return Err(Rejection::NoKey(config.classes[class].clone()));
    }
    let left = match field("cloverstile-time-left") {
        None => rules.deadline,
        Some(text) => match text.parse::<u64>() {
            Ok(ms) if ms > 0 => Duration::from_millis(ms).min(rules.deadline),
            _ => return Err(Rejection::TimeLeft(text.to_owned())),
        },
    };
    let (again, after_loss) = match field("cloverstile-handed-in").unwrap_or("first") {
        "first" => (false, false),
        "again" => (true, false),
        "after-loss" => (true, true),
        other => return Err(Rejection::HandedIn(other.to_owned())),
    };
    let mut fingerprint = [0; 32];
    // What is carried and whom it is for: together the intention that the name stands for.
    let intention = [&opened.payload.body[..], partner.as_bytes(), config.classes[class].as_bytes()].concat();
    fingerprint.copy_from_slice(aws_lc_rs::digest::digest(&aws_lc_rs::digest::SHA256, &intention).as_ref());
    Ok(SubmitRequest {
        client: client as u32,
        idempotency_key: message_id.to_owned(),
        fingerprint,
        class: ClassId(class as u8),
        destination: DestinationId(destination as u16),
        order_key: key.map(|key| OrderKey(hash(key))),
        deadline: now + left,
        tenant: TenantId(who.tenant),
        resubmitted: again,
        from_lost_instance: after_loss,
    })
}

fn check_protection(
    who: &Client,
    opened: &Opened,
    receipt: Option<&ReceiptRequest>,
) -> Result<(), Rejection> {
    let signed = opened.signed.is_some_and(|digest| who.sha1 || digest != cloverstile_as2::Digest::Sha1);
    if who.sign && !signed {
        return Err(Rejection::Unprotected("signed"));
    }
    if who.encrypt && !opened.encrypted {
        return Err(Rejection::Unprotected("encrypted"));
    }
    // Guards against being made to call any address that a message names.
    match receipt.and_then(|request| request.deliver_to.as_deref()) {
        Some(url) if !who.receipts.as_deref().is_some_and(|prefix| url.starts_with(prefix)) => {
            Err(Rejection::ReceiptUrl(url.to_owned()))
        }
        _ => Ok(()),
    }
}

fn find_class(config: &Config, told: Option<&str>) -> Result<usize, Rejection> {
    match (told, config.classes.len()) {
        (None, 1) => Ok(0),
        (told, _) => {
            let name = told.unwrap_or_default();
            let known = || config.classes.join(", ");
            let found = config.classes.iter().position(|class| class == name);
            found.ok_or_else(|| Rejection::Class(name.to_owned(), known()))
        }
    }
}

/// The same for the same text in every courier and run.
fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
