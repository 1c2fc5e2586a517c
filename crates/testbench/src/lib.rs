//! Fault-injection runs with real gateway processes over loopback sockets, and the checks of their invariants.
//!
//! - [`scenario`] reads fault scenarios (HCL), [`scenario_run`] runs one, and [`invariants`] checks from the records of
//!   fake partners and clients alone whether a delivery guarantee was violated. [`replay`] converts a day of the users'
//!   bench into a scenario, [`recovery_windows`] measures the load of recovering sites.
//! - [`fleet`] runs hundreds of gateway processes under an even load; [`load_report`] sums such a run up.
//! - [`simulation_metrics`] sums up what the simulator ran, [`experiment`] runs grids of it and keeps them as
//!   [`table`]s, and [`html_report`] draws them.
//! - [`soak`] plays seeds of troubles (faults of the machine, signals, crowds, endpoints, discovery) with real gateways.
//! - [`benchmark`] measures what one gateway costs.
#![forbid(unsafe_code)]

pub mod benchmark;
pub mod experiment;
pub mod fleet;
pub mod html_report;
pub mod invariants;
pub mod load_report;
mod process;
pub mod recovery_windows;
pub mod repeat_rule;
pub mod replay;
pub mod scenario;
pub mod scenario_run;
pub mod simulation_metrics;
pub mod soak;
pub mod table;
