//! Couriers and partners by the hundred in one process, on virtual time: the very engine, planner and module of the
//! running courier against the stand-ins' model of a partner. Free of I/O, clock and ambient chance; one scenario,
//! policy and seed give the same run to the byte.
#![forbid(unsafe_code)]

mod baseline;
mod record;
mod scenario;
mod spread;
mod world;

pub use baseline::{Checks, HealthyShare, PolicyKind};
pub use record::{Audit, Handed, Message, Run, Second, Window};
pub use scenario::{
    read, Act, BankSpec, ClassSpec, RuleSpec, Scenario, ScenarioError, SiteSpec, TroubleSpec,
};
pub use spread::{
    play_spread, read_spread, Choice, Drawn, EndpointAt, Limiter, Load, PartnerAt, PartnerSpec, Reached,
    Scene, Sites, SpreadAudit, SpreadRun, StrikeKind, StrikeSpec, Traffic, Who, Wrong, SCENES,
};
pub use world::play;

/// Scenarios that come with the program, by name.
pub const BUILT_IN: [(&str, &str); 2] =
    [("surge", include_str!("../scenarios/surge.hcl")), ("many", include_str!("../scenarios/many.hcl"))];
