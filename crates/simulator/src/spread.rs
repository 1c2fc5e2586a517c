//! Many couriers and many endpoints on a day of even load: thin and unequal traffic, limits that all share, endpoints of
//! unequal pace, reports that come late. The engine and module of the running courier against published rules for the
//! choice of an endpoint and for shared limits, as a record for the yardstick of `cloverstile-load-metrics`.

mod plain;
mod scenario;
mod site;
mod traffic;
mod world;

pub use plain::{Choice, Limiter};
pub use scenario::{read_spread, PartnerSpec, Scene, StrikeKind, StrikeSpec};
pub use site::{EndpointAt, Load, PartnerAt, Reached, Sites, Wrong};
pub use traffic::{Drawn, Traffic};
pub use world::{play_spread, SpreadAudit, SpreadRun, Who};

/// Scenes that come with the program, by name.
pub const SCENES: [(&str, &str); 9] = [
    ("calm", include_str!("../scenarios/spread/calm.hcl")),
    ("skew", include_str!("../scenarios/spread/skew.hcl")),
    ("still", include_str!("../scenarios/spread/still.hcl")),
    ("errors", include_str!("../scenarios/spread/errors.hcl")),
    ("replaced", include_str!("../scenarios/spread/replaced.hcl")),
    ("lowered", include_str!("../scenarios/spread/lowered.hcl")),
    ("burst", include_str!("../scenarios/spread/burst.hcl")),
    ("clump", include_str!("../scenarios/spread/clump.hcl")),
    ("wide", include_str!("../scenarios/spread/wide.hcl")),
];
