//! The record of a run: requests, endpoints, shared limits and waiting intervals.

use std::time::Duration;

/// How a call ended, as the endpoint saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered as delivered.
    Served,
    /// Rejected: above a limit, queue full or shut down.
    Rejected,
    /// An error, a broken connection, or never answered.
    Failed,
}

/// A call that reached an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// When its last byte arrived, since the beginning of the run.
    pub at: Duration,
    /// Index of the endpoint in [`LoadRecord::endpoints`].
    pub endpoint: usize,
    /// Number of the gateway instance that sent it.
    pub instance: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// From its arrival to its answer.
    pub response_time: Duration,
}

/// An endpoint and the time in which it was in service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Index of its partner in [`LoadRecord::partners`].
    pub partner: usize,
    /// Expected share of the load, relative to the other endpoints of its partner.
    pub weight: f64,
    /// Beginning of its service, inclusive.
    pub from: Duration,
    /// End of its service, exclusive.
    pub until: Duration,
}

impl Endpoint {
    /// Whether it is in service at this time.
    pub(crate) fn in_service(&self, at: Duration) -> bool {
        self.from <= at && at < self.until
    }
}

/// A partner's shared rate limit over time, in calls a second from all gateway instances together. Empty: no limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Partner {
    /// Beginning of each step and the limit from then on, the earliest first.
    pub limit_steps: Vec<(Duration, f64)>,
}

impl Partner {
    /// The limit in force at this time, if there is one.
    pub fn limit_at(&self, at: Duration) -> Option<f64> {
        self.limit_steps.iter().take_while(|(from, _)| *from <= at).last().map(|(_, limit)| *limit)
    }
}

/// An interval in which a message waited in a gateway for its partner: admitted, not completed, no attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingInterval {
    /// Index of the partner in [`LoadRecord::partners`].
    pub partner: usize,
    /// Beginning.
    pub from: Duration,
    /// End.
    pub until: Duration,
}

/// The load of a whole run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadRecord {
    /// Calls, ordered by time.
    pub calls: Vec<Call>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Partners.
    pub partners: Vec<Partner>,
    /// Intervals in which messages waited.
    pub waiting_intervals: Vec<WaitingInterval>,
    /// Messages submitted.
    pub messages: u64,
    /// Connections opened to endpoints.
    pub connections: u64,
}

impl LoadRecord {
    /// The calls and waiting intervals of one partner; the counts of messages and connections stay those of the whole
    /// run.
    pub fn for_partner(&self, partner: usize) -> LoadRecord {
        let calls = self.calls.iter().filter(|call| self.endpoints[call.endpoint].partner == partner);
        let waiting = self.waiting_intervals.iter().filter(|interval| interval.partner == partner);
        LoadRecord {
            calls: calls.copied().collect(),
            waiting_intervals: waiting.copied().collect(),
            ..self.clone()
        }
    }

    /// Indices of each partner's endpoints.
    pub(crate) fn endpoints_by_partner(&self) -> Vec<Vec<usize>> {
        let mut indices = vec![Vec::new(); self.partners.len()];
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if let Some(of_partner) = indices.get_mut(endpoint.partner) {
                of_partner.push(index);
            }
        }
        indices
    }
}
