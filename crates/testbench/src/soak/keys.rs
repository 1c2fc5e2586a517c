//! The order keys that all clients of a gateway share.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

/// Keys of a gateway.
const KEYS: u64 = 3;

/// The keys of one gateway: messages of a key are submitted one after another, each behind the reply to the one before, by
/// whichever client is free.
pub struct SharedKeys {
    gateway: usize,
    leased: Mutex<BTreeSet<u64>>,
}

/// One client's turn with a key.
pub struct KeyLease<'a> {
    keys: &'a SharedKeys,
    /// The key.
    pub key: u64,
}

impl Drop for KeyLease<'_> {
    fn drop(&mut self) {
        self.keys.leased.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.key);
    }
}

impl SharedKeys {
    /// The keys of a gateway by its number.
    pub fn new(gateway: usize) -> Self {
        SharedKeys { gateway, leased: Mutex::new(BTreeSet::new()) }
    }

    /// A turn with one of the keys, chosen by `choice`, unless another client has it.
    pub fn lease(&self, choice: u64) -> Option<KeyLease<'_>> {
        let key = (self.gateway as u64) << 8 | (1 + choice % KEYS);
        let is_free = self.leased.lock().unwrap_or_else(PoisonError::into_inner).insert(key);
        is_free.then(|| KeyLease { keys: self, key })
    }
}
