//! The endpoint list that fake service discovery serves to the gateways.

use cloverstile_simulator::SimulatedPartners;
use std::net::SocketAddr;

/// A versioned endpoint list. Every change increments the version, which lets a watch detect that it is outdated.
pub(super) struct EndpointList {
    version: u64,
    addresses: Vec<SocketAddr>,
    /// Indices of draining endpoints.
    draining: Vec<usize>,
}

impl EndpointList {
    /// Creates an empty list of version 1.
    pub fn new() -> EndpointList {
        EndpointList { version: 1, addresses: Vec::new(), draining: Vec::new() }
    }

    /// Appends an endpoint; its index is the number of endpoints added before.
    pub fn add(&mut self, address: SocketAddr) {
        self.addresses.push(address);
        self.version += 1;
    }

    /// Marks an endpoint as draining; it stays in the list.
    pub fn drain(&mut self, endpoint: usize) {
        self.draining.push(endpoint);
        self.version += 1;
    }

    /// Increments the version after a change of weights, which are read from the partner model.
    pub fn on_weights_changed(&mut self) {
        self.version += 1;
    }

    /// The current version, for comparison with the `after` parameter of a watch.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Serializes the whole list as a snapshot (`reset`) in the JSON format of service discovery.
    pub fn to_json(&self, model: &mut SimulatedPartners) -> serde_json::Value {
        let entry = |(endpoint, address): (usize, &SocketAddr)| {
            let partner = model.endpoints[endpoint].partner;
            let limit_per_endpoint = model.partners[partner].spec.limit_per_endpoint;
            serde_json::json!({
                "instanceId": format!("s-{endpoint}"), "hostPort": address.to_string(), "zone": "here",
                "machineType": if limit_per_endpoint { "apart" } else { "shared" }, "cell": partner,
                "lifecycle": if self.draining.contains(&endpoint) { "DRAINING" } else { "SERVING" },
                "weight": model.listed_weight(endpoint), "startedAtMs": 0,
            })
        };
        let instances: Vec<serde_json::Value> = self.addresses.iter().enumerate().map(entry).collect();
        serde_json::json!({ "generation": self.version, "reset": true, "instances": instances })
    }
}

/// Parses a numeric parameter of a query string such as `?after=41&wait_ms=20000`; `None` if it is absent or invalid.
pub(super) fn query_number(target: &str, name: &str) -> Option<u64> {
    target.split(['?', '&']).find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

#[cfg(test)]
mod tests;
