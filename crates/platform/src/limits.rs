//! Limits set by the platform that more than one module enforces.

/// Maximum size in bytes of an HTTP body or a message body on the platform.
pub const MAX_BODY_BYTES: usize = 64 << 10;
