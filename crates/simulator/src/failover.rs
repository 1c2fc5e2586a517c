//! Simulation of priority failover: destinations whose sites are ordered in tiers, faults of sites, endpoints and
//! gateway instances, and recovery.

pub mod record;
pub mod scenario;
pub mod simulation;
pub mod spillover_baseline;

/// Built-in failover scenarios, each as its name and HCL text.
pub const FAILOVER_SCENARIOS: [(&str, &str); 2] =
    [("surge", include_str!("../scenarios/surge.hcl")), ("many", include_str!("../scenarios/many.hcl"))];
