//! The JSON of a bench day, as far as it is converted. Times are in microseconds.

use serde::Deserialize;

#[derive(Deserialize)]
pub(super) struct BenchDay {
    pub length: f64,
    #[serde(default)]
    pub drain_grace: f64,
    #[serde(default)]
    pub fall_multiple: f64,
    #[serde(default)]
    pub fall_for: f64,
    #[serde(default)]
    pub order_settle: f64,
    pub traffic: Traffic,
    pub classes: Vec<BenchClass>,
    pub tiers: Vec<Tier>,
    pub servers: Vec<Server>,
    pub balancers: Vec<serde_json::Value>,
    pub troubles: Vec<BenchFault>,
    #[serde(rename = "fam")]
    pub family: Family,
}

#[derive(Deserialize)]
pub(super) struct Traffic {
    pub load: f64,
}

#[derive(Deserialize)]
pub(super) struct BenchClass {
    pub name: String,
    pub share: f64,
    pub aim: f64,
    pub deadline: f64,
    pub worth: f64,
    pub effect: String,
    #[serde(default)]
    pub group: String,
    #[serde(default)]
    pub window: f64,
    #[serde(default)]
    pub in_order: bool,
}

#[derive(Deserialize)]
pub(super) struct Tier {
    pub kinds: Vec<ServerKind>,
}

#[derive(Deserialize)]
pub(super) struct ServerKind {
    pub cold_from: f64,
    pub cold: f64,
}

#[derive(Deserialize)]
pub(super) struct Server {
    /// Position of its destination.
    pub cell: usize,
}

#[derive(Deserialize)]
pub(super) struct BenchFault {
    pub kind: String,
    pub at: f64,
    pub len: f64,
    #[serde(default)]
    pub size: f64,
    #[serde(default)]
    pub extra: f64,
    /// Positions of the affected servers.
    #[serde(default)]
    pub on: Vec<usize>,
}

#[derive(Deserialize)]
pub(super) struct Family {
    /// Messages a second of the whole bench.
    pub capacity: f64,
    pub gates: Vec<Gate>,
    pub habits: Vec<Habit>,
    /// Position in `habits`, for each destination.
    pub kind: Vec<usize>,
    /// Share of the traffic, for each destination.
    pub share: Vec<f64>,
}

/// The rate limit and capacity of a destination's route.
#[derive(Deserialize)]
pub(super) struct Gate {
    pub dest: usize,
    pub limit: f64,
    pub room: f64,
}

/// What destinations of one kind do.
#[derive(Deserialize)]
pub(super) struct Habit {
    pub batch: u32,
    pub limit: String,
    pub tells_wait: f64,
}
