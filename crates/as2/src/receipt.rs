//! Receipts: message disposition notifications (RFC 8098) in the profile of AS2 (RFC 4130, section 7).

use crate::message::{boundary, quote_name, signed_part};
use crate::mime::{split_multipart, ContentType, Part};
use crate::{secure, As2Error, Certificate, ComposedMessage, Digest, Identity, Mic};
use cloverstile_http::Headers;

/// The result of a message in a receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Processed.
    Processed,
    /// Processed with a warning.
    Warning(String),
    /// Not processed (`processed/error: ...`).
    Error(String),
    /// Failed (`failed/failure: ...`).
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

    /// Parses the value of `Disposition`, in any case and spacing; none if unknown.
    fn parse(value: &str) -> Option<Disposition> {
        let disposition = value.split_once(';').map_or(value, |(_, rest)| rest).trim();
        let (kind, modifier) = disposition.split_once('/').unwrap_or((disposition, ""));
        let (modifier, text) = modifier.split_once(':').unwrap_or((modifier, ""));
        let text = text.trim().to_owned();
        match (kind.trim().to_ascii_lowercase().as_str(), modifier.trim().to_ascii_lowercase().as_str()) {
            ("processed", "") => Some(Disposition::Processed),
            ("processed", "warning") => Some(Disposition::Warning(text)),
            ("processed", _) => Some(Disposition::Error(text)),
            ("failed", _) => Some(Disposition::Failure(text)),
            _ => None,
        }
    }
}

/// A gateway's final outcome, in a machine-readable field of a receipt (`X-Cloverstile-Answer`, an extension field of
/// RFC 8098, section 3.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered: the partner's own receipt confirms it.
    Delivered,
    /// Rejected: it never took effect, so resubmission is safe.
    Rejected,
    /// Failed: it may have taken effect.
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

    /// Parses the value of the field; none if unknown.
    pub fn parse(word: &str) -> Option<Outcome> {
        [Outcome::Delivered, Outcome::Rejected, Outcome::Failed].into_iter().find(|o| o.name() == word.trim())
    }
}

/// The content of a receipt to compose.
#[derive(Clone, Debug)]
pub struct ReceiptContent<'a> {
    /// `Message-ID` of the receipt itself, without angle brackets.
    pub receipt_id: &'a str,
    /// AS2 name of the sender of the original message.
    pub to: &'a str,
    /// `Message-ID` of the original message, without angle brackets.
    pub original_id: &'a str,
    /// Result of the original message.
    pub disposition: Disposition,
    /// Integrity check of the original message, if it was opened.
    pub mic: Option<&'a Mic>,
    /// Text for human readers.
    pub text: &'a str,
    /// The gateway's final outcome, if it is one.
    pub final_outcome: Option<Outcome>,
}

/// Composes a receipt, signed if `sign` names a digest.
///
/// # Errors
///
/// If the identity can't sign with this digest.
pub fn compose_receipt(
    facts: &ReceiptContent,
    from: &Identity,
    sign: Option<Digest>,
) -> Result<ComposedMessage, As2Error> {
    let mut fields = Headers::new()
        .with("Reporting-UA", "cloverstile")
        .with("Original-Recipient", format!("rfc822; {}", quote_name(&from.name)))
        .with("Final-Recipient", format!("rfc822; {}", quote_name(&from.name)))
        .with("Original-Message-ID", format!("<{}>", facts.original_id))
        .with("Disposition", facts.disposition.to_field_value());
    if let Some(mic) = facts.mic {
        fields.add("Received-Content-MIC", mic.to_header_value());
    }
    if let Some(outcome) = facts.final_outcome {
        fields.add("X-Cloverstile-Answer", outcome.name());
    }
    let text = format!("Content-Type: text/plain; charset=us-ascii\r\n\r\n{}\r\n", facts.text);
    let machine = Part { headers: fields, body: Vec::new() }.to_bytes();
    let boundary = boundary(&[text.as_bytes(), &machine]);
    let mut body = format!("--{boundary}\r\n{text}\r\n--{boundary}\r\n").into_bytes();
    body.extend_from_slice(b"Content-Type: message/disposition-notification\r\n\r\n");
    body.extend_from_slice(&machine);
    body.extend_from_slice(format!("\r\n--{boundary}--\r\n").as_bytes());
    let kind = format!("multipart/report; report-type=disposition-notification; boundary=\"{boundary}\"");
    let report = Part { headers: Headers::new().with("Content-Type", kind), body };
    let digest = sign.unwrap_or(Digest::Sha256);
    let part = match sign {
        Some(digest) => signed_part(&report.to_bytes(), from, digest)?,
        None => report,
    };
    let mut headers = Headers::new()
        .with("AS2-Version", "1.2")
        .with("AS2-From", quote_name(&from.name))
        .with("AS2-To", quote_name(facts.to))
        .with("Message-ID", format!("<{}>", facts.receipt_id))
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
    /// Result of the original message.
    pub disposition: Disposition,
    /// The returned integrity check.
    pub mic: Option<Mic>,
    /// Whether it was signed; the signature is verified with the given certificate.
    pub signed: bool,
    /// The gateway's final outcome, if there is one.
    pub final_outcome: Option<Outcome>,
}

impl Receipt {
    /// Checks that it proves the result of this message: the right message, signed where `signed` requires it, and for a
    /// processed one the integrity check of the bytes that were sent.
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

/// Parses a receipt and verifies its signature with the certificate of its sender.
///
/// # Errors
///
/// If it is malformed or its signature does not verify.
pub fn read_receipt(headers: &Headers, body: &[u8], from: &Certificate) -> Result<Receipt, As2Error> {
    let mut content = Headers::new();
    content.add("Content-Type", headers.get("content-type").ok_or(As2Error::Missing("Content-Type"))?);
    let mut part = Part { headers: content, body: body.to_vec() };
    let mut signed = false;
    let kind = part.content_type();
    if kind.name == "multipart/signed" {
        let parts = split_multipart(&part.body, boundary_of(&kind)?)?;
        let [report, signature] = parts[..] else {
            return Err(As2Error::Mime("multipart/signed needs two parts"));
        };
        let signature = Part::parse(signature)?.decoded()?;
        secure::verify(&signature, Some(report), from)?;
        signed = true;
        part = Part::parse(report)?;
    }
    let kind = part.content_type();
    if kind.name != "multipart/report" {
        return Err(As2Error::Mime("a receipt must be a multipart/report"));
    }
    for piece in split_multipart(&part.body, boundary_of(&kind)?)? {
        let piece = Part::parse(piece)?;
        if piece.content_type().name == "message/disposition-notification" {
            return read_fields(&piece, signed);
        }
    }
    Err(As2Error::Mime("a report without a disposition notification"))
}

fn boundary_of(kind: &ContentType) -> Result<&str, As2Error> {
    kind.parameter("boundary").ok_or(As2Error::Mime("a multipart without a boundary"))
}

fn read_fields(piece: &Part, signed: bool) -> Result<Receipt, As2Error> {
    // Some products leave out the empty line after the last field.
    let mut text = piece.decoded()?;
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
