//! JSON format of service discovery's responses to a request for the endpoint list.

use serde::{Deserialize, Serialize};

/// Lifecycle of an endpoint that accepts requests.
pub(crate) const SERVING: &str = "SERVING";
/// Lifecycle of an endpoint that accepts no further requests.
pub(crate) const DRAINING: &str = "DRAINING";
/// Lifecycle of an endpoint that was removed.
pub(crate) const DELETED: &str = "DELETED";

/// A response of service discovery: a snapshot of the endpoint list, or changes to it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointListResponse {
    /// Version of the list after this response.
    #[serde(rename = "generation")]
    pub version: u64,
    /// Whether the response is a snapshot: endpoints that it does not contain are removed from the list.
    #[serde(default, rename = "reset")]
    pub is_snapshot: bool,
    /// All endpoints of a snapshot, or the changed ones.
    #[serde(default, rename = "instances")]
    pub entries: Vec<EndpointEntry>,
}

impl EndpointListResponse {
    /// Whether the response leaves the list as it was.
    pub fn changes_nothing(&self) -> bool {
        self.entries.is_empty() && !self.is_snapshot
    }
}

/// An endpoint in a response of service discovery, with its state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointEntry {
    /// The endpoint's id, the same for all gateway instances.
    #[serde(rename = "instanceId")]
    pub id: String,
    /// Address and port at which this gateway reaches the endpoint.
    #[serde(rename = "hostPort")]
    pub address: String,
    /// Name of the endpoint's zone.
    #[serde(default)]
    pub zone: String,
    /// Name of the endpoint's kind.
    #[serde(default, rename = "machineType")]
    pub kind: String,
    /// Number of the destination that the endpoint belongs to.
    #[serde(rename = "cell")]
    pub destination: u16,
    /// `SERVING`, `DRAINING` or, for an endpoint that was removed, `DELETED`.
    pub lifecycle: String,
    /// Weight for load balancing; the setting `WeightSource` defines its meaning.
    #[serde(default)]
    pub weight: f64,
}
