//! A fleet of real processes on loopback: a scene of even load, played by hundreds of `cloverstile node` against
//! endpoints, discovery and clients of one thread of ours. What passed on those sockets is the record, and the rules are
//! judged from it alone.

mod endpoint_list;
mod harness;
mod invariants;
mod supervisor;

pub use harness::play_fleet;
pub use supervisor::FleetError;
