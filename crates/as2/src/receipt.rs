//! Receipts: message disposition notifications (RFC 8098) as AS2 profiles them (RFC 4130, section 7).

use crate::message::{choose_boundary, quote_name, signed_part};
use crate::mime::{split_multipart, ContentType, Part};
use crate::{secure, As2Error, Certificate, ComposedMessage, Digest, Identity, Mic};
use cloverstile_http::Headers;

/// The processing result of a message that a receipt reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Processed without errors (`processed`).
    Processed,
    /// Processed with a warning (`processed/warning: ...`).
    Warning(String),
    /// Not processed because of an error (`processed/error: ...`).
    Error(String),
    /// Failed, for example because of an unsupported format (`failed/failure: ...`).
    Failure(String),
}

impl Disposition {
    fn to_field_value(&self) -> String {
        let disposition = match self {
            Disposition::Processed => "processed".to_owned(),
            Disposition::Warning(text) => format!("processed/warning: {text}"),
            Disposition::Error(text) => format!("processed/error: {text}"),
            Disposition::Failure(text) => format!("failed/failure: {text}"),
        };
        format!("automatic-action/MDN-sent-automatically; {disposition}")
    }

    /// Parses the value of `Disposition`, ignoring case and spacing; `None` if the disposition type is unknown.
    fn parse(value: &str) -> Option<Disposition> {
        let disposition = value.split_once(';').map_or(value, |(_, rest)| rest).trim();
        let (disposition_type, modifier) = disposition.split_once('/').unwrap_or((disposition, ""));
        let (modifier, text) = modifier.split_once(':').unwrap_or((modifier, ""));
        let text = text.trim().to_owned();
        match (
            disposition_type.trim().to_ascii_lowercase().as_str(),
            modifier.trim().to_ascii_lowercase().as_str(),
        ) {
            ("processed", "") => Some(Disposition::Processed),
            ("processed", "warning") => Some(Disposition::Warning(text)),
            ("processed", _) => Some(Disposition::Error(text)),
            ("failed", _) => Some(Disposition::Failure(text)),
            _ => None,
        }
    }
}

/// The gateway's final outcome of a message, as the receipt field `X-Cloverstile-Answer` reports it (an extension field
/// by RFC 8098, section 3.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The partner's own receipt confirms the delivery.
    Delivered,
    /// The message never took effect, so resubmitting it is safe. Its field value is `refused`.
    Rejected,
    /// The message was not confirmed and may have taken effect.
    Failed,
}

impl Outcome {
    /// The value of the field.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Delivered => "delivered",
            Outcome::Rejected => "refused",
            Outcome::Failed => "failed",
        }
    }

    /// Parses the value of the field; `None` if it is unknown.
    pub fn parse(value: &str) -> Option<Outcome> {
        [Outcome::Delivered, Outcome::Rejected, Outcome::Failed]
            .into_iter()
            .find(|o| o.name() == value.trim())
    }
}

/// The content of a receipt to be composed.
#[derive(Clone, Debug)]
pub struct ReceiptContent<'a> {
    /// `Message-ID` of the receipt itself, without angle brackets.
    pub receipt_id: &'a str,
    /// AS2 name of the sender of the original message.
    pub to: &'a str,
    /// `Message-ID` of the original message, without angle brackets.
    pub original_id: &'a str,
    /// Processing result of the original message.
    pub disposition: Disposition,
    /// Integrity check of the original message; `None` if it could not be opened.
    pub mic: Option<&'a Mic>,
    /// Text for human readers.
    pub text: &'a str,
    /// The gateway's final outcome; `None` omits the field.
    pub final_outcome: Option<Outcome>,
}

/// Composes a receipt from the identity `from`, signed if `sign` names a digest.
///
/// # Errors
///
/// If the identity can't sign with this digest.
pub fn compose_receipt(
    receipt: &ReceiptContent,
    from: &Identity,
    sign: Option<Digest>,
) -> Result<ComposedMessage, As2Error> {
    let mut fields = Headers::new()
        .with("Reporting-UA", "cloverstile")
        .with("Original-Recipient", format!("rfc822; {}", quote_name(&from.name)))
        .with("Final-Recipient", format!("rfc822; {}", quote_name(&from.name)))
        .with("Original-Message-ID", format!("<{}>", receipt.original_id))
        .with("Disposition", receipt.disposition.to_field_value());
    if let Some(mic) = receipt.mic {
        fields.add("Received-Content-MIC", mic.to_header_value());
    }
    if let Some(outcome) = receipt.final_outcome {
        fields.add("X-Cloverstile-Answer", outcome.name());
    }
    let text = format!("Content-Type: text/plain; charset=us-ascii\r\n\r\n{}\r\n", receipt.text);
    let notification = Part { headers: fields, body: Vec::new() }.to_bytes();
    let boundary = choose_boundary(&[text.as_bytes(), &notification]);
    let mut body = format!("--{boundary}\r\n{text}\r\n--{boundary}\r\n").into_bytes();
    body.extend_from_slice(b"Content-Type: message/disposition-notification\r\n\r\n");
    body.extend_from_slice(&notification);
    body.extend_from_slice(format!("\r\n--{boundary}--\r\n").as_bytes());
    let content_type =
        format!("multipart/report; report-type=disposition-notification; boundary=\"{boundary}\"");
    let report = Part { headers: Headers::new().with("Content-Type", content_type), body };
    let digest = sign.unwrap_or(Digest::Sha256);
    let part = match sign {
        Some(digest) => signed_part(&report.to_bytes(), from, digest)?,
        None => report,
    };
    let mut headers = Headers::new()
        .with("AS2-Version", "1.2")
        .with("AS2-From", quote_name(&from.name))
        .with("AS2-To", quote_name(receipt.to))
        .with("Message-ID", format!("<{}>", receipt.receipt_id))
        .with("MIME-Version", "1.0");
    headers.extend(&part.headers);
    let mic = Mic { value: digest.of(&part.body), digest };
    Ok(ComposedMessage { headers, body: part.body, mic })
}

/// A parsed receipt; its signature, if any, is verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// `Message-ID` of the original message, without angle brackets.
    pub original_id: String,
    /// Processing result of the original message.
    pub disposition: Disposition,
    /// The integrity check that the peer returned; `None` if it is absent or malformed.
    pub mic: Option<Mic>,
    /// Whether it was signed, with a signature that verified with the certificate of its sender.
    pub signed: bool,
    /// The gateway's final outcome; `None` if the field is absent or unknown.
    pub final_outcome: Option<Outcome>,
}

impl Receipt {
    /// Checks that the receipt proves the result of the message `message_id`: it names this message, is signed if
    /// `signed` requires it, and for a processed message returns the integrity check `mic` of the bytes that were sent.
    /// An absent integrity check is accepted if `signed` is false.
    ///
    /// # Errors
    ///
    /// [`As2Error::ReceiptMismatch`], [`As2Error::Unprotected`], [`As2Error::Digest`] or [`As2Error::Missing`].
    pub fn check(&self, message_id: &str, mic: &Mic, signed: bool) -> Result<(), As2Error> {
        if self.original_id != message_id {
            return Err(As2Error::ReceiptMismatch(self.original_id.clone()));
        }
        if signed && !self.signed {
            return Err(As2Error::Unprotected("signed"));
        }
        match (&self.disposition, &self.mic) {
            (Disposition::Processed | Disposition::Warning(_), Some(returned)) if returned != mic => {
                Err(As2Error::Digest)
            }
            (Disposition::Processed | Disposition::Warning(_), None) if signed => {
                Err(As2Error::Missing("Received-Content-MIC"))
            }
            _ => Ok(()),
        }
    }
}

/// Parses a receipt and verifies its signature, if it has one, with the certificate of its sender.
///
/// # Errors
///
/// If it is malformed or its signature does not verify.
pub fn read_receipt(headers: &Headers, body: &[u8], from: &Certificate) -> Result<Receipt, As2Error> {
    let mut content = Headers::new();
    content.add("Content-Type", headers.get("content-type").ok_or(As2Error::Missing("Content-Type"))?);
    let mut part = Part { headers: content, body: body.to_vec() };
    let mut signed = false;
    let content_type = part.content_type();
    if content_type.media_type == "multipart/signed" {
        let parts = split_multipart(&part.body, boundary_of(&content_type)?)?;
        let [report, signature] = parts[..] else {
            return Err(As2Error::Mime("multipart/signed needs two parts"));
        };
        let signature = Part::parse(signature)?.decoded()?;
        secure::verify(&signature, Some(report), from)?;
        signed = true;
        part = Part::parse(report)?;
    }
    let content_type = part.content_type();
    if content_type.media_type != "multipart/report" {
        return Err(As2Error::Mime("a receipt must be a multipart/report"));
    }
    for entity in split_multipart(&part.body, boundary_of(&content_type)?)? {
        let entity = Part::parse(entity)?;
        if entity.content_type().media_type == "message/disposition-notification" {
            return parse_notification(&entity, signed);
        }
    }
    Err(As2Error::Mime("a report without a disposition notification"))
}

fn boundary_of(content_type: &ContentType) -> Result<&str, As2Error> {
    content_type.parameter("boundary").ok_or(As2Error::Mime("a multipart without a boundary"))
}

fn parse_notification(entity: &Part, signed: bool) -> Result<Receipt, As2Error> {
    // Some products omit the empty line after the last field.
    let mut text = entity.decoded()?;
    text.extend_from_slice(b"\r\n\r\n");
    let fields = Part::parse(&text)?.headers;
    let original = fields.get("original-message-id").ok_or(As2Error::Missing("Original-Message-ID"))?;
    let disposition = fields.get("disposition").ok_or(As2Error::Missing("Disposition"))?;
    Ok(Receipt {
        original_id: original.trim().trim_start_matches('<').trim_end_matches('>').to_owned(),
        disposition: Disposition::parse(disposition)
            .ok_or(As2Error::Mime("a disposition of no known kind"))?,
        mic: fields.get("received-content-mic").and_then(Mic::parse),
        signed,
        final_outcome: fields.get("x-cloverstile-answer").and_then(Outcome::parse),
    })
}
