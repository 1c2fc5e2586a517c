//! Seeded runs of real gateway processes under everything that the users' pages name: faults of the machine, signals in
//! series, crowds, endpoints and discovery that misbehave, several at once and on several gateways.
//!
//! A [`FaultPlan`] is drawn from a seed; which kinds there are, how often and for how long stands in `troubles`. [`play_seed`]
//! plays it with a fake platform and with clients that share order keys, send half commands, many at once, or across the end
//! of a resting connection. What passed on sockets is checked by the invariants of `cloverstile_fakes::platform`; nothing is
//! read from the gateways' logs.

mod client;
mod client_kinds;
mod config;
mod crowds;
mod faults;
mod gateways;
mod keys;
mod options;
mod plan;
mod restarts;
mod run;
mod signals;
mod summary;
mod troubles;

pub use options::RunOptions;
pub use plan::{FaultPlan, Profile};
pub use run::{play_seed, SeedResult};
pub use summary::Summary;
