//! Metrics of load balance. A [`LoadRecord`] holds the requests that passed between gateway instances and endpoints,
//! whoever recorded them: the test doubles on sockets or the simulator on virtual time. [`measure`] computes the
//! metrics, and [`reassignment::reassign`] gives the two baselines that they are compared with: the same requests
//! assigned by one central balancer that sees all of them, and by weighted random choice.
//!
//! Independent of gateways, policy and sockets; no I/O, clock or ambient randomness. No gateway depends on it.
#![forbid(unsafe_code)]

mod balance;
mod idle;
mod limit_use;
pub mod reassignment;
mod record;
mod report;

pub use balance::{window_loads, BalanceMetrics, WindowLoad};
pub use limit_use::{limit_use, LimitUse};
pub use record::{Call, Endpoint, LoadRecord, Outcome, Partner, WaitingInterval};
pub use report::{measure, LoadMetrics};
