//! Runs a load balance scenario with a fleet of real gateway processes on loopback.
//!
//! Hundreds of `cloverstile node` processes exchange messages with fake endpoints, fake service discovery and clients,
//! all of which run in a single thread of the testbench. The load record and the invariant checks use only the traffic
//! observed on these sockets, never the state of a gateway.

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
