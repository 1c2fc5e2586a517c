//! Test runs of gateways, mostly real processes over loopback sockets, and the checks of the delivery invariants.
//!
//! - [`scenario`] reads fault scenarios (HCL), [`scenario_run`] runs one, and [`invariants`] checks whether a delivery
//!   guarantee was violated, using only what fake partners and clients recorded. [`replay`] converts a day of the users'
//!   test bench into a scenario, and [`recovery_windows`] measures the load of recovering zones.
//! - [`fleet`] runs hundreds of gateway processes under a steady load; [`load_report`] computes the metrics of such a run.
//! - [`simulation_metrics`] computes the metrics of simulator runs, [`experiment`] runs grids of scenarios, policies and
//!   seeds in the simulator and stores the results as [`table`]s, and [`html_report`] plots them.
//! - [`soak`] runs real gateways under randomized faults drawn from a seed: system calls, signals, connection floods,
//!   endpoints and discovery.
//! - [`benchmark`] measures the memory and CPU time of a single gateway.
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
