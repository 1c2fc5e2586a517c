//! The endpoint list, and the states in which the policy sees it while a recovery gate limits a tier.

use cloverstile::{DestinationId, Endpoint, EndpointId, EndpointState};
use cloverstile_failover::{FailoverPolicy, GateState};
use std::collections::BTreeMap;

/// The endpoints of the latest list.
#[derive(Default)]
pub(crate) struct EndpointTable(BTreeMap<EndpointId, Endpoint>);

impl EndpointTable {
    /// Replaces the whole list.
    pub fn replace(&mut self, endpoints: Vec<Endpoint>) {
        self.0 = endpoints.into_iter().map(|endpoint| (endpoint.id, endpoint)).collect();
    }

    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.0.get(&id)
    }

    /// Whether an endpoint is ready and its tier's recovery gate, if it has one, is open.
    pub fn accepts_requests(&self, id: EndpointId, failover: &dyn FailoverPolicy) -> bool {
        self.get(id).is_some_and(|endpoint| {
            endpoint.state == EndpointState::Ready
                && failover.gate(endpoint.destination) != Some(GateState::Closed)
        })
    }

    /// All endpoints as the policy sees them.
    pub fn gated(&self, failover: &dyn FailoverPolicy) -> Vec<Endpoint> {
        self.0.values().map(|endpoint| apply_gate(endpoint, failover)).collect()
    }

    /// The ready endpoints of these destinations as the policy sees them.
    pub fn gated_of(&self, destinations: &[DestinationId], failover: &dyn FailoverPolicy) -> Vec<Endpoint> {
        let changed = self.0.values().filter(|endpoint| {
            endpoint.state == EndpointState::Ready && destinations.contains(&endpoint.destination)
        });
        changed.map(|endpoint| apply_gate(endpoint, failover)).collect()
    }
}

/// An endpoint as the policy sees it: behind a closed gate it gets nothing new, behind an open one a request at a time,
/// as many other instances have their gates opened just before and after.
fn apply_gate(endpoint: &Endpoint, failover: &dyn FailoverPolicy) -> Endpoint {
    let state = match (endpoint.state, failover.gate(endpoint.destination)) {
        (EndpointState::Ready, Some(GateState::Open)) => EndpointState::OneAtATime,
        // Not draining: the request that its opening was for may still be on its way to a connection.
        (EndpointState::Ready, Some(GateState::Closed)) => EndpointState::Paused,
        (state, _) => state,
    };
    Endpoint { state, ..endpoint.clone() }
}
