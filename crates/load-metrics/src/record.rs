//! The load record of a run: calls, endpoints, shared rate limits and waiting intervals.

use std::time::Duration;

/// Outcome of a call, as the endpoint saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint processed it and responded with success.
    Served,
    /// Rejected: above a rate limit, with a full queue or during shutdown.
    Rejected,
    /// An error response, a broken connection or no response.
    Failed,
}

/// A request that reached an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Arrival of its last byte, since the beginning of the run.
    pub at: Duration,
    /// Index of the endpoint in [`LoadRecord::endpoints`].
    pub endpoint: usize,
    /// Number of the gateway instance that sent it.
    pub instance: u32,
    /// Outcome as the endpoint saw it.
    pub outcome: Outcome,
    /// Time from its arrival to its response; zero if there was no response.
    pub response_time: Duration,
}

/// An endpoint and its time in service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Index of its partner in [`LoadRecord::partners`].
    pub partner: usize,
    /// Expected share of the load, relative to the other endpoints of its partner.
    pub weight: f64,
    /// Start of its time in service, inclusive.
    pub from: Duration,
    /// End of its time in service, exclusive.
    pub until: Duration,
}

impl Endpoint {
    /// Whether it is in service at this time since the beginning of the run.
    pub(crate) fn in_service(&self, at: Duration) -> bool {
        self.from <= at && at < self.until
    }
}

/// A partner and its shared rate limit over time, in calls per second from all gateway instances together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Partner {
    /// Start of each step and the limit from then on, the earliest first. Empty without a limit.
    pub limit_steps: Vec<(Duration, f64)>,
}

impl Partner {
    /// The limit in force at this time; `None` before the first step.
    pub fn limit_at(&self, at: Duration) -> Option<f64> {
        self.limit_steps.iter().take_while(|(from, _)| *from <= at).last().map(|(_, limit)| *limit)
    }
}

/// An interval in which an admitted message without a final outcome waited in a gateway, with no attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingInterval {
    /// Index of the partner in [`LoadRecord::partners`].
    pub partner: usize,
    /// Start, since the beginning of the run.
    pub from: Duration,
    /// End, since the beginning of the run.
    pub until: Duration,
}

/// All load of a run: the input of the metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadRecord {
    /// Calls, ordered by arrival.
    pub calls: Vec<Call>,
    /// All endpoints that were in service at any time. Calls refer to them by index.
    pub endpoints: Vec<Endpoint>,
    /// All partners. Endpoints and waiting intervals refer to them by index.
    pub partners: Vec<Partner>,
    /// Intervals in which messages waited; one message may have several.
    pub waiting_intervals: Vec<WaitingInterval>,
    /// Number of messages submitted.
    pub messages: u64,
    /// Number of connections opened to endpoints.
    pub connections: u64,
}

impl LoadRecord {
    /// A record with only the calls and waiting intervals of one partner. The numbers of messages and connections
    /// remain those of the whole run, as do the indices of partners and endpoints.
    pub fn for_partner(&self, partner: usize) -> LoadRecord {
        let calls = self.calls.iter().filter(|call| self.endpoints[call.endpoint].partner == partner);
        let waiting = self.waiting_intervals.iter().filter(|interval| interval.partner == partner);
        LoadRecord {
            calls: calls.copied().collect(),
            waiting_intervals: waiting.copied().collect(),
            ..self.clone()
        }
    }

    /// Indices of the endpoints of each partner, in the order of the partners.
    pub(crate) fn endpoints_by_partner(&self) -> Vec<Vec<usize>> {
        let mut indices = vec![Vec::new(); self.partners.len()];
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if let Some(partner_endpoints) = indices.get_mut(endpoint.partner) {
                partner_endpoints.push(index);
            }
        }
        indices
    }
}
