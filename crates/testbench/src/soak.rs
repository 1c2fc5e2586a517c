//! Seeded runs of real gateway processes under faults of the machine: stepped clocks, failing disks and system calls,
//! hold-ups, signals and kills.
//!
//! A [`FaultPlan`] is drawn from a seed. [`play_seed`] plays it with a fake platform and with clients that send half
//! commands, many at once, or across the end of a resting connection. What passed on sockets is checked by the
//! invariants of `cloverstile_fakes::platform`; nothing is read from the gateways' logs.

mod client;
mod client_kinds;
mod config;
mod gateways;
mod plan;
mod run;
mod summary;

pub use plan::FaultPlan;
pub use run::{play_seed, RunOptions, SeedResult};
pub use summary::Summary;
