//! What a fake partner is configured with, and the commands to a running one.

use crate::model::{Fault, ServerProfile};
use cloverstile_as2::Identity;
use std::sync::Arc;
use std::time::Duration;

/// A partner to be served.
pub struct FakePartner {
    /// Name in the records and in the gateways' settings.
    pub name: String,
    /// Its AS2 name, key and certificate.
    pub identity: Arc<Identity>,
    /// Its capacity, limit and recovery.
    pub profile: ServerProfile,
    /// Number of endpoints to listen on.
    pub endpoints: usize,
    /// Group of each endpoint, numbered from 0; the endpoints of a group drop repeats of one another and share capacity.
    pub deduplication_groups: Vec<usize>,
}

impl FakePartner {
    pub(super) fn group(&self, endpoint: usize) -> usize {
        self.deduplication_groups.get(endpoint).copied().unwrap_or(0)
    }

    /// Whether an endpoint is in a group; all are where no group is named.
    pub(super) fn is_in_group(&self, endpoint: usize, group: Option<usize>) -> bool {
        group.is_none_or(|group| self.deduplication_groups.get(endpoint) == Some(&group))
    }
}

/// A deliberate fault in receipts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiptFault {
    /// The integrity check value is another message's.
    WrongMic,
    /// Signed by another partner.
    WrongSigner,
    /// A deferred receipt is sent twice.
    Duplicate,
    /// A deferred receipt is sent so many milliseconds late.
    Delay(u64),
}

/// A command to the running thread of partners.
pub enum PartnerCommand {
    /// Begins a fault that ends by itself.
    Fault {
        /// Index of the partner.
        partner: usize,
        /// The fault.
        fault: Fault,
        /// Group of endpoints that is affected; all of them where there is none.
        group: Option<usize>,
        /// How long it lasts.
        duration: Duration,
    },
    /// Sets the fault in all receipts of a partner.
    SetReceiptFault {
        /// Index of the partner.
        partner: usize,
        /// The fault; none ends it.
        fault: Option<ReceiptFault>,
    },
    /// Ends the thread.
    Stop,
}
