//! Collects changes of the health of routes for the operational log.

use super::ids::RouteId;
use super::route::{RouteHealth, RouteState};
use crate::interface::{HealthChange, HealthChangeKind, Time};

/// Maximum number of changes kept until the caller takes them.
const MAX_PENDING_CHANGES: usize = 64;

/// The changes of health that the caller has not taken yet.
#[derive(Default)]
pub struct HealthChanges {
    pending: Vec<HealthChange>,
}

impl HealthChanges {
    /// Records what an event changed in the health of a route.
    pub fn record(&mut self, now: Time, id: RouteId, before: RouteHealth, route: &RouteState) {
        let had_failures = before.in_outage || before.has_unexplained_loss || before.failure_score > 0;
        let kind = if route.outage.is_some() && !before.in_outage {
            HealthChangeKind::OutageOpened
        } else if had_failures && route.last_success > before.last_success {
            let slow_start = route.recovering_since == Some(now);
            HealthChangeKind::Recovered { from_outage: before.in_outage, slow_start }
        } else {
            return;
        };
        if self.pending.len() < MAX_PENDING_CHANGES {
            self.pending.push(HealthChange {
                destination: id.destination,
                endpoint: id.endpoint,
                kind,
                since_last_success: now - before.last_success,
                failure_score: before.failure_score.max(route.failure_score),
                requests_in_flight: route.in_flight.len(),
            });
        }
    }

    /// Takes all changes.
    pub fn take(&mut self) -> Vec<HealthChange> {
        std::mem::take(&mut self.pending)
    }
}
