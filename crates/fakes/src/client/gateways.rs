//! The gateways from the point of view of their clients, and the selection of one for a submission.

use cloverstile_as2::Certificate;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long a gateway that refused a connection or did not accept a message is avoided.
const AVOIDANCE_TIME: Duration = Duration::from_millis(500);

/// Addresses and identities of the gateways, each by index. Shared with the code that starts and stops them, which
/// updates `running`.
pub struct GatewaySet {
    /// Addresses on which the gateways listen for submissions.
    pub addresses: Vec<SocketAddr>,
    /// AS2 names of the gateways.
    pub names: Vec<String>,
    /// Certificates for encryption to the gateways and for verification of their receipts.
    pub certificates: Vec<Certificate>,
    /// Whether each gateway is believed to be running and to accept messages.
    pub running: Vec<AtomicBool>,
}

impl GatewaySet {
    pub(super) fn is_running(&self, gateway: usize) -> bool {
        self.running[gateway].load(Ordering::Relaxed)
    }
}

/// Selects gateways for a client, and remembers which of them it avoids at the moment.
pub(super) struct GatewaySelector {
    /// Time until which a gateway is avoided.
    avoided_until: HashMap<usize, Duration>,
    /// Whether each gateway was running at the last call of [`Self::newly_stopped`].
    was_running: Vec<bool>,
}

impl GatewaySelector {
    pub(super) fn new(gateway_count: usize) -> Self {
        GatewaySelector { avoided_until: HashMap::new(), was_running: vec![true; gateway_count] }
    }

    /// Avoids a gateway that just refused a connection or did not accept a message, for [`AVOIDANCE_TIME`].
    pub(super) fn avoid(&mut self, gateway: usize, now: Duration) {
        self.avoided_until.insert(gateway, now + AVOIDANCE_TIME);
    }

    /// Selects a running gateway: the preferred one, or one by `hash` if that is stopped or avoided. Avoided gateways
    /// are selected only if all running ones are avoided.
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

    /// Gateways that stopped since the last call.
    pub(super) fn newly_stopped(&mut self, gateways: &GatewaySet) -> Vec<usize> {
        let mut stopped = Vec::new();
        for (gateway, was_running) in self.was_running.iter_mut().enumerate() {
            let is_running = gateways.is_running(gateway);
            if std::mem::replace(was_running, is_running) && !is_running {
                stopped.push(gateway);
            }
        }
        stopped
    }
}

/// Hash of an order key, so that messages with the same key select the same gateway.
pub(super) fn key_hash(key: &str) -> usize {
    key.bytes().fold(7_usize, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()))
}
