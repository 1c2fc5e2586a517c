//! Discrete-event simulations of gateway instances and destinations in one process, on virtual time.
//!
//! The gateway's engine, failover planner and delivery policy run against the partner model of the test doubles. The
//! crate does no I/O, reads no clock and takes all randomness from a seed: the same scenario, policy and seed always
//! give the same run.
#![forbid(unsafe_code)]

mod event_queue;
mod failover;
mod load_balance;
mod network;
mod scenario;

pub use failover::record::{
    FailoverRun, FailoverViolations, MessageHistory, RecoveryWindow, SecondTotals, Submission,
};
pub use failover::scenario::{
    read_failover_scenario, DestinationSpec, FailoverFault, FailoverFaultSpec, FailoverScenario, SiteSpec,
};
pub use failover::simulation::simulate_failover;
pub use failover::spillover_baseline::{HealthChecks, HealthyShare, SpilloverPolicy};
pub use failover::FAILOVER_SCENARIOS;
pub use load_balance::{
    read_load_balance_scenario, simulate_load_balance, Arrival, ClientPolicy, EndpointFault,
    EndpointResponse, EndpointSelection, Limiter, LoadBalanceFault, LoadBalanceFaultSpec, LoadBalanceRun,
    LoadBalanceScenario, LoadBalanceViolations, LoadReport, PartnerSpec, SimulatedEndpoint, SimulatedPartner,
    SimulatedPartners, Traffic, LOAD_BALANCE_SCENARIOS,
};
pub use scenario::{ClassSpec, RuleSpec, ScenarioError};
