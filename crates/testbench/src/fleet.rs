//! A fleet of real gateway processes on loopback.
//!
//! A scenario of even load is played by hundreds of `cloverstile node` processes against endpoints, service discovery
//! and clients that one thread of the testbench serves. What passed on those sockets is the record, and the invariants
//! are checked from it alone.

mod clients;
mod discovery;
mod endpoint_list;
mod endpoint_requests;
mod endpoints;
mod error;
mod faults;
mod gateway_config;
mod harness;
mod harness_state;
mod invariants;
mod submissions;
mod supervisor;
mod timers;

pub use error::FleetError;
pub use harness::run_fleet;
