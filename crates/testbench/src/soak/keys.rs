//! The order keys that all clients of a gateway share.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

/// Number of order keys per gateway.
const KEYS_PER_GATEWAY: u64 = 3;

/// The order keys of one gateway. A client leases a key while it submits a message, so that the next message with that key,
/// from whichever client, is submitted only after the reply to this one.
pub struct SharedKeys {
    gateway: usize,
    leased: Mutex<BTreeSet<u64>>,
}

/// Exclusive use of a key by one client; it ends on drop.
pub struct KeyLease<'a> {
    keys: &'a SharedKeys,
    /// The leased order key, unique among all gateways and never zero.
    pub key: u64,
}

impl Drop for KeyLease<'_> {
    fn drop(&mut self) {
        self.keys.leased.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.key);
    }
}

impl SharedKeys {
    /// Creates the keys of the gateway with this number; none is leased.
    pub fn new(gateway: usize) -> Self {
        SharedKeys { gateway, leased: Mutex::new(BTreeSet::new()) }
    }

    /// Leases the key that `choice` selects; none if another client holds it.
    pub fn lease(&self, choice: u64) -> Option<KeyLease<'_>> {
        let key = (self.gateway as u64) << 8 | (1 + choice % KEYS_PER_GATEWAY);
        let is_free = self.leased.lock().unwrap_or_else(PoisonError::into_inner).insert(key);
        is_free.then(|| KeyLease { keys: self, key })
    }
}
