//! Changes of the health of destinations, which the policy reports for the operational log.

use super::ids::{DestinationId, EndpointId};
use std::time::Duration;

/// What changed in the health of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChangeKind {
    /// An outage was opened: until a probe succeeds, only probes are sent.
    OutageOpened,
    /// The first success after at least one failure.
    Recovered {
        /// An outage was open.
        from_outage: bool,
        /// The success began a slow start.
        slow_start: bool,
    },
}

/// A change of the health of a destination, or of one endpoint where each endpoint has a limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthChange {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, if limits are per endpoint.
    pub endpoint: Option<EndpointId>,
    /// What changed.
    pub kind: HealthChangeKind,
    /// Time since the last success before the change.
    pub since_last_success: Duration,
    /// Sum of the scores of the failures since the last success; for a recovery, before it.
    pub failure_score: u32,
    /// Requests in flight to it after the change.
    pub requests_in_flight: usize,
}
