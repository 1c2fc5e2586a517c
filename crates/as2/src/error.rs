//! Errors of messages, receipts and keys.

use thiserror::Error;

/// An error in composing, opening or parsing. Its text names the affected element and contains no secrets.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum As2Error {
    /// A required header field is missing.
    #[error("header field {0} is missing")]
    Missing(&'static str),
    /// A malformed MIME structure; holds the problem.
    #[error("malformed MIME: {0}")]
    Mime(&'static str),
    /// A malformed CMS structure; holds the affected element and the problem.
    #[error("malformed CMS {0}: {1}")]
    Cms(&'static str, String),
    /// A size, count or depth over its limit; holds the limited quantity and the greatest allowed value.
    #[error("{0} is over the bound of {1}")]
    LimitExceeded(&'static str, usize),
    /// An algorithm that is not supported or not permitted; holds its use and its name or object identifier.
    #[error("{0} is not supported or not permitted: {1}")]
    Algorithm(&'static str, String),
    /// Content that can't be decrypted. It carries no detail, since a reason would give an attacker a padding oracle.
    #[error("the content can't be decrypted with this station's key")]
    Decrypt,
    /// A signature that does not verify with the certificate configured for the sender.
    #[error("the signature does not verify with the certificate held for the sender")]
    Signature,
    /// A digest, in a signature or in a receipt's integrity check, that does not match the content.
    #[error("the content is not what was signed")]
    Digest,
    /// Less protection than required; holds the missing one, such as `signed`.
    #[error("the message is not {0}, which the settings ask for")]
    Unprotected(&'static str),
    /// A receipt for another message; holds the `Original-Message-ID` of the receipt.
    #[error("the receipt is for {0}, not for what was sent")]
    ReceiptMismatch(String),
    /// A key or certificate that can't be parsed, generated or used; holds the affected item and the reason.
    #[error("{0}: {1}")]
    Key(&'static str, String),
}

impl As2Error {
    /// The error name that a receipt's `Disposition` field reports (RFC 4130, section 7.5.4).
    pub fn disposition_name(&self) -> &'static str {
        match self {
            As2Error::Decrypt => "decryption-failed",
            As2Error::Signature => "authentication-failed",
            As2Error::Digest => "integrity-check-failed",
            As2Error::Unprotected(_) => "insufficient-message-security",
            _ => "unexpected-processing-error",
        }
    }
}
