//! Other ways to spread messages over tiers, to compare the planner with. Not for service.

use cloverstile::{AttemptOutcome, DestinationId, EndpointId, Time};
use cloverstile_failover::{FailoverPolicy, RequestResult, TierConfig, TierStatus};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The policy that assigns messages to tiers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpilloverPolicy {
    /// The planner in service, with the shares that the scenario states.
    Planner,
    /// All messages for a lost tier go to the next one, and all come back with its first answer.
    SpillAll,
    /// No message ever changes its tier.
    NoSpillover,
    /// Spill by the share of a tier's addresses that are healthy, as common proxies do it.
    HealthyShare,
}

impl SpilloverPolicy {
    /// All of them, the one in service first.
    pub const ALL: [SpilloverPolicy; 4] = [
        SpilloverPolicy::Planner,
        SpilloverPolicy::SpillAll,
        SpilloverPolicy::NoSpillover,
        SpilloverPolicy::HealthyShare,
    ];

    /// The name that command lines and files use.
    pub fn name(self) -> &'static str {
        match self {
            SpilloverPolicy::Planner => "planner",
            SpilloverPolicy::SpillAll => "everything",
            SpilloverPolicy::NoSpillover => "stays",
            SpilloverPolicy::HealthyShare => "healthy-share",
        }
    }

    /// The one of that name.
    pub fn from_name(name: &str) -> Option<SpilloverPolicy> {
        SpilloverPolicy::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// A tier is healthy enough while this many times its healthy share reaches the whole.
const OVERPROVISIONING: f64 = 1.4;
/// Failures in a row that put an address out.
const FAILURES: u32 = 5;

/// Three health checks a second apart must fail to put an address out, and one must succeed to take it back.
const CHECKS_FAIL: Duration = Duration::from_secs(3);
const CHECK_SUCCEEDS: Duration = Duration::from_secs(1);

/// Results of active health checks, as the simulation reports them: whether each address is up, and since when.
#[derive(Clone, Debug, Default)]
pub struct HealthChecks(Arc<Mutex<BTreeMap<EndpointId, (bool, Time)>>>);

impl HealthChecks {
    /// Records that an address went down or came up.
    pub fn record(&self, now: Time, endpoint: EndpointId, up: bool) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(endpoint, (up, now));
    }

    fn of(&self, endpoint: EndpointId) -> Option<(bool, Time)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(&endpoint).copied()
    }
}

#[derive(Default)]
struct Health {
    failures: u32,
    out: bool,
    /// Answers again since then.
    back: Option<Time>,
}

struct Spread {
    tiers: TierConfig,
    /// Addresses of each tier.
    addresses: Vec<Vec<EndpointId>>,
    credit: f64,
}

/// Spill by healthy share: a tier gets `1.4 * healthy / all` of its messages, at most all; an address is out after
/// five failures in a row or three failed health checks, back with its first answer or successful check, and regains
/// its weight evenly over a slow start.
pub struct HealthyShare {
    checks: HealthChecks,
    slow_start: Duration,
    health: BTreeMap<EndpointId, Health>,
    destinations: BTreeMap<DestinationId, Spread>,
}

impl HealthyShare {
    /// For partners with the addresses of each of their tiers.
    pub fn new(
        checks: HealthChecks,
        slow_start: Duration,
        destinations: Vec<(TierConfig, Vec<Vec<EndpointId>>)>,
    ) -> Self {
        let spread = |(tiers, addresses): (TierConfig, Vec<Vec<EndpointId>>)| {
            let name = *tiers.destinations.first()?;
            Some((name, Spread { tiers, addresses, credit: 0.0 }))
        };
        HealthyShare {
            checks,
            slow_start,
            health: BTreeMap::new(),
            destinations: destinations.into_iter().filter_map(spread).collect(),
        }
    }

    fn weight(&self, now: Time, endpoint: EndpointId) -> f64 {
        let warming = |since: Time| {
            let part = (now - since).as_secs_f64() / self.slow_start.as_secs_f64().max(0.001);
            part.min(1.0)
        };
        let by_checks = match self.checks.of(endpoint) {
            Some((false, since)) if now - since >= CHECKS_FAIL => 0.0,
            Some((true, since)) if now - since < CHECK_SUCCEEDS => 0.0,
            Some((true, since)) => warming(since + CHECK_SUCCEEDS),
            _ => 1.0,
        };
        let by_calls = match self.health.get(&endpoint) {
            Some(health) if health.out => 0.0,
            Some(Health { back: Some(since), .. }) => warming(*since),
            _ => 1.0,
        };
        by_checks.min(by_calls)
    }
}

impl FailoverPolicy for HealthyShare {
    fn select_tier(&mut self, now: Time, partner: DestinationId) -> DestinationId {
        let Some(spread) = self.destinations.get(&partner) else { return partner };
        let health = |addresses: &Vec<EndpointId>| {
            let sum: f64 = addresses.iter().map(|endpoint| self.weight(now, *endpoint)).sum();
            (OVERPROVISIONING * sum / addresses.len().max(1) as f64).min(1.0)
        };
        let shares: Vec<f64> = spread.addresses.iter().map(health).collect();
        let Some(spread) = self.destinations.get_mut(&partner) else { return partner };
        // Each tier takes its share of the remaining messages; where all are unhealthy, the first takes all.
        let last = spread.tiers.destinations.len() - 1;
        if shares.iter().sum::<f64>() <= 0.0 {
            return partner;
        }
        for (tier, share) in shares.iter().enumerate().take(last) {
            spread.credit += 1.0 - share;
            if spread.credit < 1.0 {
                return spread.tiers.destinations[tier];
            }
            spread.credit -= 1.0;
        }
        spread.tiers.destinations[last]
    }

    fn on_request_completed(&mut self, now: Time, call: RequestResult) {
        let health = self.health.entry(call.endpoint).or_default();
        match call.outcome {
            AttemptOutcome::Ok => {
                health.failures = 0;
                if std::mem::take(&mut health.out) {
                    health.back = Some(now);
                }
            }
            AttemptOutcome::Rejected(_) | AttemptOutcome::Unsent => {}
            _ => {
                health.failures += 1;
                health.out |= health.failures >= FAILURES;
            }
        }
    }

    fn tier_statuses(&self, _: DestinationId) -> Vec<TierStatus> {
        Vec::new()
    }
}
