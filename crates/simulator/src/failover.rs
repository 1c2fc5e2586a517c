//! Simulation of priority failover: destinations with sites in tiers, faults of whole sites, and their recovery.

pub mod record;
pub mod scenario;
pub mod simulation;
pub mod spillover_baseline;

/// Built-in failover scenarios: name and text.
pub const FAILOVER_SCENARIOS: [(&str, &str); 2] =
    [("surge", include_str!("../scenarios/surge.hcl")), ("many", include_str!("../scenarios/many.hcl"))];
