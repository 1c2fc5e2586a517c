//! The gateways as their clients know them, and the choice of one for a submission.

use cloverstile_as2::Certificate;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long a gateway that refused a connection or a message is passed over.
const AVOIDANCE: Duration = Duration::from_millis(500);

/// Addresses and identities of the gateways; shared with whoever starts and kills them.
pub struct GatewaySet {
    /// Listening addresses.
    pub addresses: Vec<SocketAddr>,
    /// AS2 names.
    pub names: Vec<String>,
    /// Certificates.
    pub certificates: Vec<Certificate>,
    /// Which of them accept messages, as far as is known.
    pub running: Vec<AtomicBool>,
}

impl GatewaySet {
    pub(super) fn is_running(&self, gateway: usize) -> bool {
        self.running[gateway].load(Ordering::Relaxed)
    }
}

/// One client's view of the gateways: which of them it passes over for the moment.
pub(super) struct GatewaySelector {
    avoided_until: HashMap<usize, Duration>,
    /// Gateways that ran when last looked at.
    was_running: Vec<bool>,
}

impl GatewaySelector {
    pub(super) fn new(gateway_count: usize) -> Self {
        GatewaySelector { avoided_until: HashMap::new(), was_running: vec![true; gateway_count] }
    }

    /// Passes over a gateway that just refused a connection or a message.
    pub(super) fn avoid(&mut self, gateway: usize, now: Duration) {
        self.avoided_until.insert(gateway, now + AVOIDANCE);
    }

    /// A running gateway: the preferred one while it runs, otherwise one by the hash.
    pub(super) fn select(
        &self,
        gateways: &GatewaySet,
        now: Duration,
        preferred: Option<usize>,
        hash: usize,
    ) -> Option<usize> {
        let running = |gateway: &usize| gateways.is_running(*gateway);
        let eligible = |gateway: &usize| self.avoided_until.get(gateway).is_none_or(|until| *until <= now);
        if let Some(gateway) = preferred.filter(running).filter(eligible) {
            return Some(gateway);
        }
        let mut candidates: Vec<usize> = (0..gateways.addresses.len()).filter(running).collect();
        if candidates.iter().any(eligible) {
            candidates.retain(eligible);
        }
        (!candidates.is_empty()).then(|| candidates[hash % candidates.len()])
    }

    /// Gateways that have stopped since the last call.
    pub(super) fn newly_stopped(&mut self, gateways: &GatewaySet) -> Vec<usize> {
        let mut stopped = Vec::new();
        for (gateway, was_running) in self.was_running.iter_mut().enumerate() {
            let runs = gateways.is_running(gateway);
            if std::mem::replace(was_running, runs) && !runs {
                stopped.push(gateway);
            }
        }
        stopped
    }
}

/// Hash by which messages of one key choose the same gateway.
pub(super) fn key_hash(key: &str) -> usize {
    key.bytes().fold(7_usize, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()))
}
