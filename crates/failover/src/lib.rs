//! Priority failover between a partner's sites, limited spillover, and recovery without overload. Free of I/O and
//! clocks.
//!
//! A partner may serve from several sites, its tiers, in an order of preference. [`FailoverPlanner`] selects each
//! message's tier when it is submitted: the first one, unless that is down; then a configured share, and no more, spills
//! to the next, and the rest waits where it is. For the messages that already waited when a tier went down, a tier is
//! selected once more, at the rate at which new messages come; the engine decides which of them may still change their
//! tier. The results of requests show whether a tier is down, and when it recovers. While it is down, and while it warms
//! up after that, its recovery gate opens only in this instance's own time slots. The delivery policy decides all else:
//! health and rate of each endpoint, retries, the final outcome.
//!
//! Modules, each of which uses only those above it:
//!
//! - `fleet`, `policy`, `spill`, `zone_outage`: parameters and interface, the spill budget, outages of zones.
//! - `time_slot`, `recovery_gate`: when this instance may send to a tier that recovers.
//! - `tier`: one tier's state.
//! - `planner`: all partners.
#![forbid(unsafe_code)]

mod fleet;
mod planner;
mod policy;
mod recovery_gate;
mod spill;
mod tier;
mod time_slot;
mod zone_outage;

pub use fleet::FleetParameters;
pub use planner::FailoverPlanner;
pub use policy::{FailoverPolicy, GateState, Reassignment, RequestResult, TierConfig, TierStatus};
