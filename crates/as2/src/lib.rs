//! AS2 (RFC 4130): composes and opens messages and receipts. Free of I/O and of clocks; the one thing taken
//! from outside is the randomness that content keys and signatures need, which the cryptographic library
//! draws itself.
//!
//! [`compose`] and [`open`] are each other's inverse, as are [`compose_receipt`] and [`read_receipt`]. What
//! comes from outside is bounded in size and depth and ends in an [`As2Error`], never in a panic.
#![forbid(unsafe_code)]

mod ber;
mod error;
mod issue;
mod keys;
mod message;
mod mime;
mod receipt;
mod secure;

pub use error::As2Error;
pub use issue::{new_station, NewKey};
pub use keys::{Certificate, Identity};
pub use message::{
    compose, open, sender, unquote_name, Addressee, Cipher, Composed, Digest, Envelope, Mic, Opened,
    Outgoing, ReceiptRequest, Security,
};
pub use mime::{Part, BOUNDS};
pub use receipt::{compose_receipt, read_receipt, Disposition, Outcome, Receipt, ReceiptFacts};
