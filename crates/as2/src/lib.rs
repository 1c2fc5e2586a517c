//! AS2 (RFC 4130): composes and opens messages and receipts. No I/O and no clock; the only outside input is the
//! randomness for content keys and signatures, which the cryptographic library draws itself.
//!
//! [`compose`] and [`open`] are inverse to each other, as are [`compose_receipt`] and [`read_receipt`]. Input is bounded
//! in size and depth; malformed input is an [`As2Error`], never a panic.
//!
//! | module | holds |
//! | --- | --- |
//! | `algorithm` | digests and ciphers |
//! | `ber` | BER to DER, as some peers send CMS structures in BER |
//! | `mime` | MIME parts, content types, transfer encodings |
//! | `keys`, `issue` | certificates and private keys; new self-signed ones |
//! | `secure` | CMS: signing, encryption, compression |
//! | `message`, `receipt` | AS2 messages and receipts (MDN) |
#![forbid(unsafe_code)]

mod algorithm;
mod ber;
mod error;
mod issue;
mod keys;
mod message;
mod mime;
mod receipt;
mod secure;

pub use algorithm::{Cipher, Digest};
pub use error::As2Error;
pub use issue::{generate_identity, NewKey};
pub use keys::{Certificate, Identity};
pub use message::{
    compose, open, sender, unquote_name, ComposedMessage, Envelope, Mic, OpenedMessage, OutgoingMessage,
    ReceiptRequest, Recipient, Security,
};
pub use mime::{Part, LIMITS};
pub use receipt::{compose_receipt, read_receipt, Disposition, Outcome, Receipt, ReceiptContent};
