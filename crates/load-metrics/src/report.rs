//! All metrics of a run, together with those of the two baselines.

use crate::balance::{balance, BalanceMetrics};
use crate::limit_use::{limit_use, LimitUse};
use crate::reassignment::{reassign, Balancer};
use crate::record::{LoadRecord, Outcome};
use serde::Serialize;
use std::time::Duration;

/// All metrics of a record. Fields named `per_message` are per submitted message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LoadMetrics {
    /// Balance of the calls as recorded.
    #[serde(rename = "own")]
    pub observed: BalanceMetrics,
    /// Balance of the same calls assigned by one central balancer.
    pub central: BalanceMetrics,
    /// Balance of the same calls assigned by weighted random choice.
    pub random: BalanceMetrics,
    /// Observed [`BalanceMetrics::collision_share`] over that of the random assignment. Values above 1 indicate a
    /// thundering herd.
    #[serde(rename = "herds")]
    pub herding_ratio: f64,
    /// Utilization of the shared rate limits while messages wait, from 0 to 1; see [`LimitUse::share`].
    pub limit_use_while_waiting: f64,
    /// Connections opened per message.
    #[serde(rename = "new_connections_a_message")]
    pub new_connections_per_message: f64,
    /// Calls rejected by endpoints per message.
    #[serde(rename = "refusals_a_message")]
    pub rejections_per_message: f64,
    /// Calls per message.
    #[serde(rename = "calls_a_message")]
    pub calls_per_message: f64,
}

/// Computes all metrics of a record. `window` is the length of the windows in which balance is measured, `seed` the
/// seed of the random baseline.
pub fn measure(record: &LoadRecord, window: Duration, seed: u64) -> LoadMetrics {
    let observed = balance(record, window);
    let central = balance(&reassign(record, Balancer::Central), window);
    let random = balance(&reassign(record, Balancer::Random { seed }), window);
    let total_use = limit_use(record).into_values().fold(LimitUse::default(), |sum, next| LimitUse {
        served: sum.served + next.served,
        possible: sum.possible + next.possible,
    });
    let messages = record.messages.max(1) as f64;
    let rejected = record.calls.iter().filter(|call| call.outcome == Outcome::Rejected).count();
    LoadMetrics {
        observed,
        central,
        random,
        herding_ratio: observed.collision_share / random.collision_share.max(1e-9),
        limit_use_while_waiting: total_use.share(),
        new_connections_per_message: record.connections as f64 / messages,
        rejections_per_message: rejected as f64 / messages,
        calls_per_message: record.calls.len() as f64 / messages,
    }
}
