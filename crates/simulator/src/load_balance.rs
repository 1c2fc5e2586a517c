//! Many instances and many endpoints on a day of even load: thin and unequal traffic, limits that all share, endpoints of
//! unequal pace, reports that come late. The engine and module of the running instance against published rules for the
//! choice of an endpoint and for shared limits, as a record for the yardstick of `cloverstile-load-metrics`.

mod baseline_client;
mod partners;
mod scenario;
mod simulation;
mod traffic;

pub use baseline_client::{EndpointSelection, Limiter};
pub use partners::{
    EndpointFault, EndpointResponse, LoadReport, SimulatedEndpoint, SimulatedPartner, SimulatedPartners,
};
pub use scenario::{
    read_load_balance_scenario, LoadBalanceFault, LoadBalanceFaultSpec, LoadBalanceScenario, PartnerSpec,
};
pub use simulation::{simulate_load_balance, ClientPolicy, LoadBalanceRun, LoadBalanceViolations};
pub use traffic::{Arrival, Traffic};

/// Scenes that come with the program, by name.
pub const LOAD_BALANCE_SCENARIOS: [(&str, &str); 9] = [
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
