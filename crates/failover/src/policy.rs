//! The interface between the engine and whoever spreads messages over a partner's tiers.

use cloverstile::{AttemptOutcome, DestinationId, EndpointId, Time, ZoneId};
use std::time::Duration;

/// A partner's tiers and how traffic fails over between them.
#[derive(Clone, Debug)]
pub struct TierConfig {
    /// The destination of each tier, the preferred one first. The first also names the partner.
    pub destinations: Vec<DestinationId>,
    /// The zone of each tier. What fails in one zone at several partners is taken for an outage of the zone.
    pub zones: Vec<ZoneId>,
    /// Requests a second that each tier takes from all instances together when it is warm; zero where unknown.
    pub capacities: Vec<f64>,
    /// Share of the messages for a tier that is down which goes to the next tier, from 0 to 1.
    pub spill_share: f64,
    /// Messages a second of this instance that may spill at most; none: the share alone limits.
    pub spill_rate: Option<f64>,
    /// A tier is down only after this time without a response.
    pub down_after: Duration,
    /// From the first response of a tier that was down until none of its messages spill any more.
    pub recovery_ramp: Duration,
}

/// How a request ended, as far as tiers are concerned.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    /// The tier that it was sent to.
    pub destination: DestinationId,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it was sent.
    pub latency: Duration,
}

/// The status of a tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TierStatus {
    /// It responds.
    Up,
    /// It has not responded since this time.
    Down(Time),
    /// It responds again since this time; fewer of its messages spill as time passes.
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

/// A request to select a tier again for one message that waits for a tier that is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reassignment {
    /// The tier that is down.
    pub tier: DestinationId,
    /// The partner that it belongs to, named by its first destination.
    pub partner: DestinationId,
}

/// Spreads messages over the tiers of partners. [`crate::FailoverPlanner`] is the one in service; others are there to be
/// compared with it.
pub trait FailoverPolicy: Send {
    /// Selects the tier of a message submitted now for a partner, named by its first destination.
    fn select_tier(&mut self, now: Time, partner: DestinationId) -> DestinationId;
    /// A request ended.
    fn on_request_completed(&mut self, now: Time, result: RequestResult);
    /// The status of each of a partner's tiers, the preferred one first; empty where it has only one.
    fn tier_statuses(&self, partner: DestinationId) -> Vec<TierStatus>;
    /// Whether a partner has several tiers.
    fn has_tiers(&self, _: DestinationId) -> bool {
        true
    }
    /// The status of one tier of a partner, where it is known.
    fn tier_status(&self, _partner: DestinationId, _tier: DestinationId) -> Option<TierStatus> {
        None
    }
    /// Brings the recovery gates up to date, and returns the destinations whose gate opened, closed or went.
    fn update_gates(&mut self, _: Time) -> Vec<DestinationId> {
        Vec::new()
    }
    /// The state of a destination's recovery gate. None: it has no gate.
    fn gate(&self, _: DestinationId) -> Option<GateState> {
        None
    }
    /// A request was sent to a destination.
    fn on_request_sent(&mut self, _: Time, _: DestinationId) {}
    /// The next tier that is down for one more of whose waiting messages a tier is to be selected again.
    fn next_reassignment(&mut self, _: Time) -> Option<Reassignment> {
        None
    }
    /// When [`FailoverPolicy::update_gates`] or [`FailoverPolicy::next_reassignment`] must be called next.
    fn next_timeout(&self) -> Option<Time> {
        None
    }
}
