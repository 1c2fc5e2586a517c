//! Limits of the platform that several modules keep.

/// Largest body that the platform carries, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
