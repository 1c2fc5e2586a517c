//! What discovery tells, and when each courier hears of a change.

use cloverstile_simulator::Sites;
use std::net::SocketAddr;

/// The list, with its version.
pub(super) struct List {
    generation: u64,
    addresses: Vec<SocketAddr>,
    /// Endpoints that go.
    draining: Vec<usize>,
}

impl List {
    pub fn new(addresses: Vec<SocketAddr>) -> List {
        List { generation: 1, addresses, draining: Vec::new() }
    }

    /// One more endpoint.
    pub fn add(&mut self, address: SocketAddr) {
        self.addresses.push(address);
        self.generation += 1;
    }

    /// An endpoint goes.
    pub fn drain(&mut self, endpoint: usize) {
        self.draining.push(endpoint);
        self.generation += 1;
    }

    /// Weights are others now.
    pub fn changed(&mut self) {
        self.generation += 1;
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The whole list in discovery's form.
    pub fn json(&self, sites: &mut Sites) -> serde_json::Value {
        let entry = |(place, address): (usize, &SocketAddr)| {
            let partner = sites.endpoints[place].partner;
            let apart = sites.partners[partner].spec.apart;
            serde_json::json!({
                "instanceId": format!("s-{place}"), "hostPort": address.to_string(), "zone": "here",
                "machineType": if apart { "apart" } else { "shared" }, "cell": partner,
                "lifecycle": if self.draining.contains(&place) { "DRAINING" } else { "SERVING" },
                "weight": sites.told_weight(place), "startedAtMs": 0,
            })
        };
        let instances: Vec<serde_json::Value> = self.addresses.iter().enumerate().map(entry).collect();
        serde_json::json!({ "generation": self.generation, "reset": true, "instances": instances })
    }
}

/// A number in a query such as `?after=41&wait_ms=20000`.
pub(super) fn query(target: &str, name: &str) -> Option<u64> {
    target.split(['?', '&']).find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

#[cfg(test)]
mod tests {
    use super::query;

    #[test]
    fn a_query_s_numbers_are_read_by_name() {
        let target = "/registry/instances?after=41&wait_ms=20000";
        assert_eq!([query(target, "after"), query(target, "wait_ms")], [Some(41), Some(20000)]);
        assert_eq!([query(target, "wait"), query("/registry/instances", "after")], [None, None]);
    }
}
