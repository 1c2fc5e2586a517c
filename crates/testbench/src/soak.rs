//! Seeded soak runs: real gateway processes under every kind of fault that the users' pages name. These are failing system
//! calls, sequences of signals, connection floods, and misbehaving endpoints and discovery agents, several at once and on
//! several gateways.
//!
//! A [`FaultPlan`] is drawn from a seed; the module `troubles` lists the kinds of faults with their probabilities and
//! durations. [`run_seed`] runs the plan against a fake platform, with clients that share order keys, split commands over two
//! writes, pipeline them, or submit while the gateway closes an idle connection. The invariants of
//! `cloverstile_fakes::platform` are checked on the recorded socket traffic alone, never on the gateways' logs.

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
mod traffic;
mod troubles;

pub use options::RunOptions;
pub use plan::{FaultPlan, Profile};
pub use run::{run_seed, SeedResult};
pub use summary::Summary;
pub use traffic::{SurplusCount, Traffic};
