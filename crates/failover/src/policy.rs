//! The interface between the engine and the policy that distributes messages over a partner's tiers.

use cloverstile::{AttemptOutcome, DestinationId, EndpointId, Time, ZoneId};
use std::time::Duration;

/// A partner's tiers and how traffic fails over between them.
#[derive(Clone, Debug)]
pub struct TierConfig {
    /// The destination of each tier, the preferred one first. The first also identifies the partner.
    pub destinations: Vec<DestinationId>,
    /// The zone of each tier. Failures at several partners in one zone are treated as an outage of the zone.
    pub zones: Vec<ZoneId>,
    /// Requests per second that each warm tier can serve for all gateway instances together; zero if unknown, and then
    /// the tier gets no recovery gate.
    pub capacities: Vec<f64>,
    /// Share of the messages for a tier that is down which spills to the next tier, from 0 to 1.
    pub spill_share: f64,
    /// Most messages per second of this instance that may spill; `None` if only the share limits them.
    pub spill_rate: Option<f64>,
    /// Minimum time without a response before a tier counts as down.
    pub down_after: Duration,
    /// Time from the first response of a tier that was down until its messages no longer spill. Longer after the tier
    /// goes down again during its recovery.
    pub recovery_ramp: Duration,
}

/// The result of a request, as far as failover depends on it.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    /// The tier that the request was sent to.
    pub destination: DestinationId,
    /// The endpoint that the request was sent to.
    pub endpoint: EndpointId,
    /// Whether the tier responded, rejected the request or could not be reached.
    pub outcome: AttemptOutcome,
    /// Time from sending the request until its result.
    pub latency: Duration,
}

/// The status of a tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TierStatus {
    /// The tier takes all of its messages; none spill.
    Up,
    /// The tier was found to be down at this time.
    Down(Time),
    /// The tier has responded again since this time; the share of its messages that spills decreases to zero.
    Recovering(Time),
}

/// The state of a recovery gate, which limits what is sent to a tier that is down or recovering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateState {
    /// One request at a time may be sent.
    Open,
    /// Nothing may be sent.
    Closed,
}

/// Tells the engine to select a tier again for one message that waits for a tier that is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reassignment {
    /// The tier that is down and that the message waits for.
    pub tier: DestinationId,
    /// The partner of the tier, identified by its first destination.
    pub partner: DestinationId,
}

/// Distributes messages over the tiers of partners. [`crate::FailoverPlanner`] is the implementation used in
/// production; others serve as baselines to compare it with.
pub trait FailoverPolicy: Send {
    /// Selects the tier of a message submitted now for a partner, which is identified by its first destination.
    fn select_tier(&mut self, now: Time, partner: DestinationId) -> DestinationId;
    /// Records the result of a request.
    fn on_request_completed(&mut self, now: Time, result: RequestResult);
    /// The status of each of a partner's tiers, the preferred one first; empty if the partner has a single tier.
    fn tier_statuses(&self, partner: DestinationId) -> Vec<TierStatus>;
    /// Whether the policy has tiers to select from for a partner.
    fn has_tiers(&self, _: DestinationId) -> bool {
        true
    }
    /// The status of one tier of a partner; `None` if it is unknown.
    fn tier_status(&self, _partner: DestinationId, _tier: DestinationId) -> Option<TierStatus> {
        None
    }
    /// Updates the recovery gates and returns the destinations whose gate opened, closed or was removed.
    fn update_gates(&mut self, _: Time) -> Vec<DestinationId> {
        Vec::new()
    }
    /// The state of a destination's recovery gate; `None` if it has no gate.
    fn gate(&self, _: DestinationId) -> Option<GateState> {
        None
    }
    /// Records a request sent to a destination, which uses up part of the time slot of its recovery gate.
    fn on_request_sent(&mut self, _: Time, _: DestinationId) {}
    /// Returns a tier that is down and has reached the time at which one more of its waiting messages may be
    /// reassigned. To be called until it returns `None`.
    fn next_reassignment(&mut self, _: Time) -> Option<Reassignment> {
        None
    }
    /// When [`FailoverPolicy::update_gates`] or [`FailoverPolicy::next_reassignment`] must be called next; `None` if
    /// nothing is pending.
    fn next_timeout(&self) -> Option<Time> {
        None
    }
}
