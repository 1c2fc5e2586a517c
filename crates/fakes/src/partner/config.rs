//! Configuration of a fake partner, and the commands to a running one.

use crate::model::{Fault, ServerProfile};
use cloverstile_as2::Identity;
use std::sync::Arc;
use std::time::Duration;

/// Configuration of a fake partner.
pub struct FakePartner {
    /// Name of the partner in the records and in the gateways' settings.
    pub name: String,
    /// AS2 name, private key and certificate.
    pub identity: Arc<Identity>,
    /// Capacity, rate limit and recovery of each deduplication group.
    pub profile: ServerProfile,
    /// Number of endpoints to listen on.
    pub endpoints: usize,
    /// Deduplication group of each endpoint, numbered from 0. The endpoints of a group share capacity and recognize
    /// repeats of messages that another one received.
    pub deduplication_groups: Vec<usize>,
}

impl FakePartner {
    /// Deduplication group of an endpoint; 0 if none is configured.
    pub(super) fn group(&self, endpoint: usize) -> usize {
        self.deduplication_groups.get(endpoint).copied().unwrap_or(0)
    }

    /// Whether an endpoint belongs to a group; always true if `group` is `None`.
    pub(super) fn is_in_group(&self, endpoint: usize, group: Option<usize>) -> bool {
        group.is_none_or(|group| self.deduplication_groups.get(endpoint) == Some(&group))
    }
}

/// A fault injected into the receipts of a partner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiptFault {
    /// The integrity check value (MIC) does not match the message.
    WrongMic,
    /// The receipt is signed with another partner's key.
    WrongSigner,
    /// Deferred receipts are sent twice.
    Duplicate,
    /// Deferred receipts are sent this many milliseconds late.
    Delay(u64),
    /// Each response is written a second time, this many milliseconds after the first.
    RepeatedResponse(u64),
}

/// A command to the thread that runs the partners.
pub enum PartnerCommand {
    /// Begins a fault that ends by itself after `duration`.
    Fault {
        /// Index of the partner.
        partner: usize,
        /// The fault to inject.
        fault: Fault,
        /// Affected deduplication group; `None` for all endpoints.
        group: Option<usize>,
        /// Time until the fault ends.
        duration: Duration,
    },
    /// Sets or clears the fault in the receipts of a partner.
    SetReceiptFault {
        /// Index of the partner.
        partner: usize,
        /// The fault from now on; `None` for correct receipts.
        fault: Option<ReceiptFault>,
    },
    /// Stops the thread.
    Stop,
}
