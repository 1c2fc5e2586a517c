//! Spillover policies to compare the failover planner with; for simulation only.

use cloverstile::{AttemptOutcome, DestinationId, EndpointId, Time};
use cloverstile_failover::{FailoverPolicy, RequestResult, TierConfig, TierStatus};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Policy that assigns messages to the tiers of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpilloverPolicy {
    /// The gateway's planner, with the spill shares of the scenario.
    Planner,
    /// All messages for a tier that is down go to the next one, and all return with its first response.
    SpillAll,
    /// Messages never leave the preferred tier.
    NoSpillover,
    /// Spills by the share of a tier's endpoints that are healthy, as common proxies do; see [`HealthyShare`].
    HealthyShare,
}

impl SpilloverPolicy {
    /// All policies, the gateway's own first.
    pub const ALL: [SpilloverPolicy; 4] = [
        SpilloverPolicy::Planner,
        SpilloverPolicy::SpillAll,
        SpilloverPolicy::NoSpillover,
        SpilloverPolicy::HealthyShare,
    ];

    /// Name of the policy in command lines and files.
    pub fn name(self) -> &'static str {
        match self {
            SpilloverPolicy::Planner => "planner",
            SpilloverPolicy::SpillAll => "everything",
            SpilloverPolicy::NoSpillover => "stays",
            SpilloverPolicy::HealthyShare => "healthy-share",
        }
    }

    /// Returns the policy with this name, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<SpilloverPolicy> {
        SpilloverPolicy::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Overprovisioning factor: a tier gets all its messages while its healthy share times this factor is at least 1.
const OVERPROVISIONING: f64 = 1.4;
/// Consecutive request failures after which an endpoint is ejected.
const CONSECUTIVE_FAILURES: u32 = 5;

/// Time after which an endpoint that is down is ejected: three failed health checks, one per second.
const FAILED_CHECKS_DELAY: Duration = Duration::from_secs(3);
/// Time after which an endpoint that is up again is readmitted: one successful health check.
const SUCCESSFUL_CHECK_DELAY: Duration = Duration::from_secs(1);

/// Ground truth for active health checks, set by the simulation: whether each endpoint is up, and since when.
///
/// Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct HealthChecks(Arc<Mutex<BTreeMap<EndpointId, (bool, Time)>>>);

impl HealthChecks {
    /// Records that an endpoint went down or came up at `now`.
    pub fn record(&self, now: Time, endpoint: EndpointId, up: bool) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(endpoint, (up, now));
    }

    fn status(&self, endpoint: EndpointId) -> Option<(bool, Time)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(&endpoint).copied()
    }
}

/// Health of an endpoint according to the results of requests.
#[derive(Default)]
struct EndpointHealth {
    consecutive_failures: u32,
    ejected: bool,
    /// Time of the first successful response after an ejection.
    recovered_at: Option<Time>,
}

/// Tiers of a destination and the state of the distribution over them.
struct DestinationTiers {
    config: TierConfig,
    /// Endpoints of each tier.
    endpoints: Vec<Vec<EndpointId>>,
    /// Accumulated fraction of a message to pass on to the next tier; at 1, a message is passed on.
    credit: f64,
}

/// Spillover by healthy share: a tier gets `1.4 * healthy / all` of its messages, at most all of them.
///
/// An endpoint is ejected after five consecutive failures or three failed health checks and readmitted with its first
/// successful response or check; its weight then grows linearly over a slow start.
pub struct HealthyShare {
    checks: HealthChecks,
    slow_start: Duration,
    health: BTreeMap<EndpointId, EndpointHealth>,
    destinations: BTreeMap<DestinationId, DestinationTiers>,
}

impl HealthyShare {
    /// Creates the policy from the tier configuration of each destination and the endpoints of each of its tiers.
    pub fn new(
        checks: HealthChecks,
        slow_start: Duration,
        destinations: Vec<(TierConfig, Vec<Vec<EndpointId>>)>,
    ) -> Self {
        let with_preferred_tier = |(config, endpoints): (TierConfig, Vec<Vec<EndpointId>>)| {
            let preferred = *config.destinations.first()?;
            Some((preferred, DestinationTiers { config, endpoints, credit: 0.0 }))
        };
        HealthyShare {
            checks,
            slow_start,
            health: BTreeMap::new(),
            destinations: destinations.into_iter().filter_map(with_preferred_tier).collect(),
        }
    }

    fn weight(&self, now: Time, endpoint: EndpointId) -> f64 {
        let slow_start_share = |since: Time| {
            let share = (now - since).as_secs_f64() / self.slow_start.as_secs_f64().max(0.001);
            share.min(1.0)
        };
        let by_checks = match self.checks.status(endpoint) {
            Some((false, since)) if now - since >= FAILED_CHECKS_DELAY => 0.0,
            Some((true, since)) if now - since < SUCCESSFUL_CHECK_DELAY => 0.0,
            Some((true, since)) => slow_start_share(since + SUCCESSFUL_CHECK_DELAY),
            _ => 1.0,
        };
        let by_requests = match self.health.get(&endpoint) {
            Some(health) if health.ejected => 0.0,
            Some(EndpointHealth { recovered_at: Some(since), .. }) => slow_start_share(*since),
            _ => 1.0,
        };
        by_checks.min(by_requests)
    }
}

impl FailoverPolicy for HealthyShare {
    fn select_tier(&mut self, now: Time, destination: DestinationId) -> DestinationId {
        let Some(tiers) = self.destinations.get(&destination) else { return destination };
        let health = |endpoints: &Vec<EndpointId>| {
            let sum: f64 = endpoints.iter().map(|endpoint| self.weight(now, *endpoint)).sum();
            (OVERPROVISIONING * sum / endpoints.len().max(1) as f64).min(1.0)
        };
        let shares: Vec<f64> = tiers.endpoints.iter().map(health).collect();
        let Some(tiers) = self.destinations.get_mut(&destination) else { return destination };
        // Each tier takes its share of the remaining messages; if no tier has a healthy endpoint, the first takes all.
        let last = tiers.config.destinations.len() - 1;
        if shares.iter().sum::<f64>() <= 0.0 {
            return destination;
        }
        for (index, share) in shares.iter().enumerate().take(last) {
            tiers.credit += 1.0 - share;
            if tiers.credit < 1.0 {
                return tiers.config.destinations[index];
            }
            tiers.credit -= 1.0;
        }
        tiers.config.destinations[last]
    }

    fn on_request_completed(&mut self, now: Time, result: RequestResult) {
        let health = self.health.entry(result.endpoint).or_default();
        match result.outcome {
            AttemptOutcome::Ok => {
                health.consecutive_failures = 0;
                if std::mem::take(&mut health.ejected) {
                    health.recovered_at = Some(now);
                }
            }
            AttemptOutcome::Rejected(_) | AttemptOutcome::Unsent => {}
            _ => {
                health.consecutive_failures += 1;
                health.ejected |= health.consecutive_failures >= CONSECUTIVE_FAILURES;
            }
        }
    }

    fn tier_statuses(&self, _: DestinationId) -> Vec<TierStatus> {
        Vec::new()
    }
}
