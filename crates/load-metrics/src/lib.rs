//! Metrics of load balance. A [`LoadRecord`] holds the calls from gateway instances to endpoints, recorded by the
//! test doubles over sockets or by the simulator in virtual time. [`measure`] computes the metrics, and
//! [`reassignment::reassign`] computes the two baselines for comparison: the same calls assigned by one central
//! balancer that sees all of them, and by weighted random choice.
//!
//! The crate depends on no gateway, policy or socket code, and no gateway depends on it. It does no I/O and reads
//! neither the clock nor ambient randomness.
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
