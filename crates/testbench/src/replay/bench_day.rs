//! The JSON of a bench day, limited to the fields that are converted. Times are in microseconds.

use serde::Deserialize;

#[derive(Deserialize)]
pub(super) struct BenchDay {
    pub length: f64,
    #[serde(default)]
    pub drain_grace: f64,
    #[serde(default, rename = "fall_multiple")]
    pub overload_multiple: f64,
    #[serde(default, rename = "fall_for")]
    pub overload_window: f64,
    #[serde(default)]
    pub order_settle: f64,
    pub traffic: Traffic,
    pub classes: Vec<BenchClass>,
    pub tiers: Vec<Tier>,
    pub servers: Vec<Server>,
    #[serde(rename = "balancers")]
    pub gateways: Vec<serde_json::Value>,
    #[serde(rename = "troubles")]
    pub faults: Vec<BenchFault>,
    #[serde(rename = "fam")]
    pub family: Family,
}

#[derive(Deserialize)]
pub(super) struct Traffic {
    /// Traffic as a share of `Family::capacity`.
    pub load: f64,
}

#[derive(Deserialize)]
pub(super) struct BenchClass {
    pub name: String,
    pub share: f64,
    #[serde(rename = "aim")]
    pub latency_objective: f64,
    pub deadline: f64,
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    pub effect: String,
    #[serde(default)]
    pub group: String,
    #[serde(default, rename = "window")]
    pub retry_window: f64,
    #[serde(default, rename = "in_order")]
    pub ordered: bool,
}

#[derive(Deserialize)]
pub(super) struct Tier {
    #[serde(rename = "kinds")]
    pub server_kinds: Vec<ServerKind>,
}

#[derive(Deserialize)]
pub(super) struct ServerKind {
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    #[serde(rename = "cold")]
    pub warm_up: f64,
}

#[derive(Deserialize)]
pub(super) struct Server {
    /// Position of the destination that the server belongs to.
    #[serde(rename = "cell")]
    pub destination: usize,
}

#[derive(Deserialize)]
pub(super) struct BenchFault {
    pub kind: String,
    pub at: f64,
    #[serde(rename = "len")]
    pub duration: f64,
    /// Severity: a share, a factor or a time, depending on the kind.
    #[serde(default)]
    pub size: f64,
    /// A second parameter of some kinds: seconds from one pause to the next for `pauses`.
    #[serde(default)]
    pub extra: f64,
    /// Positions of the affected servers.
    #[serde(default, rename = "on")]
    pub servers: Vec<usize>,
}

#[derive(Deserialize)]
pub(super) struct Family {
    /// Messages per second that the whole bench can take.
    pub capacity: f64,
    #[serde(rename = "gates")]
    pub routes: Vec<RouteLimits>,
    #[serde(rename = "habits")]
    pub destination_kinds: Vec<DestinationKind>,
    /// Position in `destination_kinds`, for each destination.
    #[serde(rename = "kind")]
    pub kind_of_destination: Vec<usize>,
    /// Share of the traffic, for each destination.
    pub share: Vec<f64>,
}

/// The rate limit and capacity of a route to a destination, in messages per second.
#[derive(Deserialize)]
pub(super) struct RouteLimits {
    #[serde(rename = "dest")]
    pub destination: usize,
    #[serde(rename = "limit")]
    pub rate_limit: f64,
    #[serde(rename = "room")]
    pub capacity: f64,
}

/// The behaviour of the destinations of one kind.
#[derive(Deserialize)]
pub(super) struct DestinationKind {
    pub batch: u32,
    #[serde(rename = "limit")]
    pub rate_limit: String,
    /// Above 0.5, rejections carry `Retry-After`.
    #[serde(rename = "tells_wait")]
    pub sends_retry_after: f64,
}
