//! AS2 (RFC 4130): composes and opens messages and receipts. The crate does no I/O and reads no clock; its only
//! non-deterministic input is the randomness that the cryptographic library draws for keys, nonces and signatures.
//!
//! [`compose`] and [`open`] are inverse to each other, as are [`compose_receipt`] and [`read_receipt`]. [`LIMITS`]
//! bounds header size, nesting and decompressed size; malformed input returns an [`As2Error`] and never panics.
//!
//! | module | holds |
//! | --- | --- |
//! | `algorithm` | digest algorithms and content ciphers |
//! | `ber` | conversion of BER to DER; some products encode CMS structures in BER |
//! | `mime` | MIME parts, content types, transfer encodings |
//! | `keys`, `issue` | parsing of certificates and private keys; generation of self-signed ones |
//! | `secure` | CMS: signing, encryption, compression |
//! | `message`, `receipt` | AS2 messages and receipts (message disposition notifications) |
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
