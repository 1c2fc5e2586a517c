//! A fleet of real processes on loopback: a scene of even load, played by hundreds of `cloverstile node` against
//! endpoints, discovery and clients of one thread of ours. What passed on those sockets is the record, and the rules are
//! judged from it alone.

mod ground;
mod judge;
mod platform;
mod processes;

pub use ground::play_fleet;
pub use processes::FleetError;
