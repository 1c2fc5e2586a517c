//! The endpoint list, and the endpoint states reported to the policy while a recovery gate limits a tier.

use cloverstile::{DestinationId, Endpoint, EndpointId, EndpointState};
use cloverstile_failover::{FailoverPolicy, GateState};
use std::collections::BTreeMap;

/// The endpoints of the latest endpoint list, by id.
#[derive(Default)]
pub(crate) struct EndpointTable(BTreeMap<EndpointId, Endpoint>);

impl EndpointTable {
    /// Replaces the whole endpoint list.
    pub fn replace(&mut self, endpoints: Vec<Endpoint>) {
        self.0 = endpoints.into_iter().map(|endpoint| (endpoint.id, endpoint)).collect();
    }

    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.0.get(&id)
    }

    /// Whether an endpoint is ready and the recovery gate of its tier, if there is one, is open.
    pub fn accepts_requests(&self, id: EndpointId, failover: &dyn FailoverPolicy) -> bool {
        self.get(id).is_some_and(|endpoint| {
            endpoint.state == EndpointState::Ready
                && failover.gate(endpoint.destination) != Some(GateState::Closed)
        })
    }

    /// All endpoints, in the states reported to the policy.
    pub fn policy_view(&self, failover: &dyn FailoverPolicy) -> Vec<Endpoint> {
        self.0.values().map(|endpoint| apply_gate(endpoint, failover)).collect()
    }

    /// The ready endpoints of these destinations, in the states reported to the policy.
    pub fn policy_view_of(
        &self,
        destinations: &[DestinationId],
        failover: &dyn FailoverPolicy,
    ) -> Vec<Endpoint> {
        let ready = self.0.values().filter(|endpoint| {
            endpoint.state == EndpointState::Ready && destinations.contains(&endpoint.destination)
        });
        ready.map(|endpoint| apply_gate(endpoint, failover)).collect()
    }
}

/// Returns an endpoint in the state reported to the policy. A closed gate stops new requests. An open gate admits one
/// request at a time, because the gates of many other gateway instances open at almost the same moment.
fn apply_gate(endpoint: &Endpoint, failover: &dyn FailoverPolicy) -> Endpoint {
    let state = match (endpoint.state, failover.gate(endpoint.destination)) {
        (EndpointState::Ready, Some(GateState::Open)) => EndpointState::OneAtATime,
        // Paused rather than draining, because the request for which the gate opened may not have reached a
        // connection yet and must still be sent.
        (EndpointState::Ready, Some(GateState::Closed)) => EndpointState::Paused,
        (state, _) => state,
    };
    Endpoint { state, ..endpoint.clone() }
}
