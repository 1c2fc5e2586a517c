//! Priority failover between a partner's sites, limited spillover, and recovery without overload. Performs no I/O and
//! reads no clock.
//!
//! A partner may serve from several sites, its tiers, in order of preference. [`FailoverPlanner`] selects the tier of
//! each message at submission: the first tier, unless it is down. If it is down, at most a configured share of the
//! messages spills to the next tier, and the rest waits for the first. For messages that were already waiting when the
//! tier went down, a tier is selected again, at the rate at which new messages arrive; the engine decides which of them
//! may still change their tier. The results of requests show when a tier is down and when it recovers. While it is
//! down, and while it warms up afterwards, its recovery gate opens only in the time slots of this instance. Endpoint
//! health, rate limits, retries and the final outcome are up to the delivery policy.
//!
//! Modules in order of dependency, each using only those listed before it:
//!
//! - `fleet`, `policy`, `spill`, `zone_outage`: fleet parameters, the public interface, the spill budget, and the
//!   detection of zone outages.
//! - `time_slot`, `recovery_gate`: when this instance may send to a recovering tier.
//! - `tier`: the state of one tier.
//! - `planner`: the tiers of all partners.
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
