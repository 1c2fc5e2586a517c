//! Errors of messages, receipts and keys.

use thiserror::Error;

/// An error in opening, composing or parsing. Says what and where; contains no secret.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum As2Error {
    /// A required header field is missing.
    #[error("header field {0} is missing")]
    Missing(&'static str),
    /// A malformed MIME structure.
    #[error("malformed MIME: {0}")]
    Mime(&'static str),
    /// A malformed CMS structure.
    #[error("malformed CMS {0}: {1}")]
    Cms(&'static str, String),
    /// Over a bound; holds what is bounded and the greatest allowed value.
    #[error("{0} is over the bound of {1}")]
    LimitExceeded(&'static str, usize),
    /// An algorithm that is not supported or not permitted by the settings.
    #[error("{0} is not supported or not permitted: {1}")]
    Algorithm(&'static str, String),
    /// Content that can't be decrypted. Without detail: guards against padding oracles.
    #[error("the content can't be decrypted with this station's key")]
    Decrypt,
    /// A signature that does not verify with the certificate held for the sender.
    #[error("the signature does not verify with the certificate held for the sender")]
    Signature,
    /// The signed digest does not match the content.
    #[error("the content is not what was signed")]
    Digest,
    /// Less protection than the settings require.
    #[error("the message is not {0}, which the settings ask for")]
    Unprotected(&'static str),
    /// A receipt for another message.
    #[error("the receipt is for {0}, not for what was sent")]
    ReceiptMismatch(String),
    /// A key or certificate that can't be used.
    #[error("{0}: {1}")]
    Key(&'static str, String),
}

impl As2Error {
    /// The error name in a disposition (RFC 4130, section 7.5.4).
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
