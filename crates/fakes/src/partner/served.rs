//! State of a running partner: its models, listeners and current faults.

use super::config::{FakePartner, ReceiptFault};
use crate::model::{Fault, PartnerModel};
use cloverstile_http::Headers;
use cloverstile_net::ListenerId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// Listening socket of an endpoint.
pub(super) struct EndpointListener {
    /// `None` while connections are refused.
    pub(super) listener: Option<ListenerId>,
    /// Listening address; kept while connections are refused, to listen on it again afterwards.
    pub(super) address: SocketAddr,
}

/// A running partner.
pub(super) struct ServedPartner {
    pub(super) config: FakePartner,
    /// One model per deduplication group.
    models: Vec<PartnerModel>,
    /// Listeners, by endpoint.
    pub(super) listeners: Vec<EndpointListener>,
    pub(super) receipt_fault: Option<ReceiptFault>,
    /// When the current fault ends; `None` without a fault.
    pub(super) fault_ends_at: Option<Duration>,
    /// Deduplication group that the fault affects; `None` if it affects all.
    pub(super) affected_group: Option<usize>,
}

impl ServedPartner {
    pub(super) fn new(config: FakePartner, listeners: Vec<EndpointListener>, seed: u64) -> Self {
        let groups = config.deduplication_groups.iter().max().map_or(1, |highest| highest + 1);
        let model = |group: usize| {
            PartnerModel::new(config.profile.clone(), ChaCha8Rng::seed_from_u64(seed ^ group as u64))
        };
        ServedPartner {
            models: (0..groups).map(model).collect(),
            config,
            listeners,
            receipt_fault: None,
            fault_ends_at: None,
            affected_group: None,
        }
    }

    /// Model of the deduplication group of an endpoint.
    pub(super) fn model(&mut self, endpoint: usize) -> &mut PartnerModel {
        let group = self.config.group(endpoint);
        &mut self.models[group]
    }

    pub(super) fn has_collapsed(&self) -> bool {
        self.models.iter().any(PartnerModel::has_collapsed)
    }

    /// Begins a fault in one deduplication group, or in all if `group` is `None`.
    pub(super) fn begin_fault(&mut self, fault: Fault, group: Option<usize>, until: Duration) {
        self.affected_group = group;
        self.fault_ends_at = Some(until);
        for (index, model) in self.models.iter_mut().enumerate() {
            if group.is_none_or(|group| group == index) {
                model.begin_fault(fault, until);
            }
        }
    }

    /// Ends the current fault; returns whether it was an outage.
    pub(super) fn end_fault(&mut self, now: Duration) -> bool {
        self.fault_ends_at = None;
        let was_outage = self.models.iter().filter_map(PartnerModel::fault).any(Fault::is_outage);
        for model in &mut self.models {
            model.end_fault(now);
        }
        was_outage
    }

    /// Removes and returns the listeners of a deduplication group's endpoints (all if `None`), for the caller to close.
    pub(super) fn take_listeners(&mut self, group: Option<usize>) -> Vec<ListenerId> {
        let config = &self.config;
        let affected = self.listeners.iter_mut().enumerate();
        affected
            .filter(|(endpoint, _)| config.is_in_group(*endpoint, group))
            .filter_map(|(_, endpoint)| endpoint.listener.take())
            .collect()
    }

    /// Header fields of a response that advertise the state of the rate limit; empty without a rate limit.
    pub(super) fn limit_headers(&self) -> Headers {
        let mut headers = Headers::new();
        if let Some((remaining, limit)) = self.models[0].rate_limit_state() {
            headers.add("RateLimit-Policy", format!("\"calls\";q={};w=1", limit.round()));
            headers.add("RateLimit", format!("\"calls\";r={};t=1", (remaining * limit).floor()));
        }
        headers
    }
}
