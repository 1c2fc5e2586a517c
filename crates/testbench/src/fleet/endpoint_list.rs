//! The endpoint list that service discovery hands out.

use cloverstile_simulator::SimulatedPartners;
use std::net::SocketAddr;

/// The list, with its version.
pub(super) struct EndpointList {
    version: u64,
    addresses: Vec<SocketAddr>,
    /// Positions of endpoints that drain.
    draining: Vec<usize>,
}

impl EndpointList {
    /// An empty list, of version 1.
    pub fn new() -> EndpointList {
        EndpointList { version: 1, addresses: Vec::new(), draining: Vec::new() }
    }

    /// Adds an endpoint.
    pub fn add(&mut self, address: SocketAddr) {
        self.addresses.push(address);
        self.version += 1;
    }

    /// Marks an endpoint as draining.
    pub fn drain(&mut self, endpoint: usize) {
        self.draining.push(endpoint);
        self.version += 1;
    }

    /// Notes that weights have changed.
    pub fn weights_changed(&mut self) {
        self.version += 1;
    }

    /// The present version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The whole list in discovery's form.
    pub fn to_json(&self, sites: &mut SimulatedPartners) -> serde_json::Value {
        let entry = |(endpoint, address): (usize, &SocketAddr)| {
            let partner = sites.endpoints[endpoint].partner;
            let apart = sites.partners[partner].spec.limit_per_endpoint;
            serde_json::json!({
                "instanceId": format!("s-{endpoint}"), "hostPort": address.to_string(), "zone": "here",
                "machineType": if apart { "apart" } else { "shared" }, "cell": partner,
                "lifecycle": if self.draining.contains(&endpoint) { "DRAINING" } else { "SERVING" },
                "weight": sites.listed_weight(endpoint), "startedAtMs": 0,
            })
        };
        let instances: Vec<serde_json::Value> = self.addresses.iter().enumerate().map(entry).collect();
        serde_json::json!({ "generation": self.version, "reset": true, "instances": instances })
    }
}

/// Reads a number of a query such as `?after=41&wait_ms=20000`.
pub(super) fn query_number(target: &str, name: &str) -> Option<u64> {
    target.split(['?', '&']).find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

#[cfg(test)]
mod tests;
