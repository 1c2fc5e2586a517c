//! What can be wrong with a message, a receipt or a key.

use thiserror::Error;

/// Why something could not be opened, composed or read. Says what and where; holds no secret.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum As2Error {
    /// A required header field is missing.
    #[error("header field {0} is missing")]
    Missing(&'static str),
    /// A MIME structure that is not to the letter.
    #[error("malformed MIME: {0}")]
    Mime(&'static str),
    /// A CMS structure that can't be read.
    #[error("malformed CMS {0}: {1}")]
    Cms(&'static str, String),
    /// Over a bound; the figure is what is allowed.
    #[error("{0} is over the bound of {1}")]
    Bound(&'static str, usize),
    /// An algorithm that is not supported, or that the settings don't permit.
    #[error("{0} is not supported or not permitted: {1}")]
    Algorithm(&'static str, String),
    /// Encrypted for someone else, or with a key that does not fit. No detail: it would help an attacker.
    #[error("the content can't be decrypted with this station's key")]
    Decrypt,
    /// A signature that does not verify with the certificate held for the sender.
    #[error("the signature does not verify with the certificate held for the sender")]
    Signature,
    /// The signed digest is not that of the content.
    #[error("the content is not what was signed")]
    Digest,
    /// Less protected than the settings ask for.
    #[error("the message is not {0}, which the settings ask for")]
    Unprotected(&'static str),
    /// A receipt for something else.
    #[error("the receipt is for {0}, not for what was sent")]
    OtherReceipt(String),
    /// A key or certificate that can't be used.
    #[error("{0}: {1}")]
    Key(&'static str, String),
}

impl As2Error {
    /// The name that RFC 4130, section 7.5.4, has for it in a disposition.
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
