//! Simulation of how the load of many gateway instances spreads over endpoints: low and unequal traffic, shared rate
//! limits, endpoints of unequal capacity, delayed load reports. Compares the engine and delivery policy of the gateway
//! with published algorithms for endpoint selection and rate limiting. A run yields a record for
//! `cloverstile-load-metrics`.

mod baseline_client;
mod partners;
mod scenario;
mod selection;
mod simulation;
mod traffic;

pub use baseline_client::Limiter;
pub use partners::{
    EndpointFault, EndpointResponse, LoadReport, SimulatedEndpoint, SimulatedPartner, SimulatedPartners,
};
pub use scenario::{
    read_load_balance_scenario, LoadBalanceFault, LoadBalanceFaultSpec, LoadBalanceScenario, PartnerSpec,
};
pub use selection::EndpointSelection;
pub use simulation::{simulate_load_balance, ClientPolicy, LoadBalanceRun, LoadBalanceViolations};
pub use traffic::{Arrival, Traffic};

/// Built-in load balance scenarios: name and HCL text.
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
