//! Responses of service discovery to a request for the endpoint list, as JSON.

use serde::Deserialize;

/// A response of service discovery: the whole endpoint list, or what changed in it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct EndpointListResponse {
    /// Version of the list after this response.
    #[serde(rename = "generation")]
    pub version: u64,
    /// Whether the list is whole: an endpoint that it does not name is gone.
    #[serde(default, rename = "reset")]
    pub is_snapshot: bool,
    /// The endpoints, or those that changed.
    #[serde(default, rename = "instances")]
    pub entries: Vec<EndpointEntry>,
}

/// An endpoint in a response of service discovery.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint's id, the same for all gateway instances.
    #[serde(rename = "instanceId")]
    pub id: String,
    /// Address and port at which this gateway reaches it.
    #[serde(rename = "hostPort")]
    pub address: String,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// Name of its kind.
    #[serde(default, rename = "machineType")]
    pub kind: String,
    /// The destination that it belongs to.
    #[serde(rename = "cell")]
    pub destination: u16,
    /// `SERVING`, `DRAINING` or, among changes, `DELETED`.
    pub lifecycle: String,
    /// Its weight for load balancing; what it stands for is the setting `WeightSource`.
    #[serde(default)]
    pub weight: f64,
}
