//! Log lines about the health of destinations: when an outage was opened, and how the destination recovered.

use crate::log_limit::LogLimit;
use cloverstile::{HealthChange, HealthChangeKind, Time};
use cloverstile_engine::Engine;
use tracing::info;

/// Logs each change of the health of a destination, limited in number.
#[derive(Default)]
pub struct HealthLog {
    changes: LogLimit,
}

impl HealthLog {
    /// Logs the changes since the last call.
    pub fn log_new(&mut self, now: Time, engine: &mut Engine) {
        for change in engine.take_health_changes() {
            if self.changes.allows_line(now) {
                self.log(&change);
            }
        }
    }

    fn log(&self, change: &HealthChange) {
        let HealthChange {
            destination, endpoint, since_last_success, failure_score, requests_in_flight, ..
        } = *change;
        let (destination, endpoint) = (destination.0, endpoint.map(|id| id.0));
        let (total, suppressed) = (self.changes.total(), self.changes.suppressed());
        match change.kind {
            HealthChangeKind::OutageOpened => info!(
                destination,
                endpoint,
                ?since_last_success,
                failure_score,
                requests_in_flight,
                total,
                suppressed,
                "destination outage opened"
            ),
            HealthChangeKind::Recovered { from_outage, slow_start } => info!(
                destination,
                endpoint,
                ?since_last_success,
                failure_score,
                requests_in_flight,
                from_outage,
                slow_start,
                total,
                suppressed,
                "destination recovered"
            ),
        }
    }
}
