//! Routes and endpoints.

use super::statistics::{Decaying, Latency};
use crate::interface::{DestinationId, Endpoint, EndpointId, KindId, MessageId, Time};
use std::collections::BTreeSet;

/// What has one limit, pace and outage: a destination, or one endpoint of it where routes are apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteId(pub DestinationId, pub Option<EndpointId>);

/// The routes of a destination.
pub fn routes_of(to: DestinationId) -> std::ops::RangeInclusive<RouteId> {
    RouteId(to, None)..=RouteId(to, Some(EndpointId(u32::MAX)))
}

/// What may be sent next: by which route to which endpoint, which message, at what value.
pub type Candidate = (RouteId, EndpointId, MessageId, f64);

/// Pace and health of a route: one mechanism for limits, outages and cold return.
#[derive(Default)]
pub struct Route {
    /// Calls a second that it takes from all couriers together, as told.
    pub weight: f64,
    pub endpoints: Vec<EndpointId>,
    pub kind: KindId,
    /// Messages that one call may carry.
    pub batch: usize,
    pub rate: f64,
    /// Calls stay where a connection is open, as taking turns would let connections lapse.
    pub stays: bool,
    pub tokens: f64,
    pub filled: Time,
    pub bound: bool,
    /// Its pace alone speaks against one more call.
    pub paced: bool,
    /// Listed for one call at a time.
    pub gentle: bool,
    pub last_cut: Time,
    /// Cuts since the last success.
    pub cuts: usize,
    /// Calls sent of late, and messages taken over about the time that a cold return lasts.
    pub sent: Decaying,
    pub demand: Decaying,
    /// Calls served over about the time that a cold return lasts.
    pub served: Decaying,
    /// Calls served a second, as of the last success and without it; held up through an outage and its return.
    pub share: f64,
    pub told_wait: Time,
    pub latency: Latency,
    pub last_answer: Time,
    pub evidence: u32,
    pub spell: Option<Spell>,
    /// When the slow start began, if one is on.
    pub returned: Option<Time>,
    /// Calls out, the oldest first.
    pub out: BTreeSet<u64>,
}

/// A time without any success on a route, from its last success on: silence alone, until a call fails.
#[derive(Default)]
pub struct Spell {
    pub began: Time,
    pub next_trial: Time,
    pub trials: u32,
    /// Some call failed or was refused; else it is silence alone.
    pub failed: bool,
    /// Calls were lost or are silent, not just refused.
    pub lost: bool,
}

pub struct Address {
    pub entry: Endpoint,
    pub calls_out: usize,
    /// Whose turn it is among endpoints that are else alike: the least. Begins by chance, for this courier only.
    pub turn: u64,
    pub failures: u32,
    pub avoid_until: Time,
    /// When a call last ended there with its connection left open.
    pub used: Option<Time>,
    /// Since when connections fail there, without an answer since.
    pub no_room: Option<Time>,
}

impl Address {
    pub fn new(entry: Endpoint, turn: u64) -> Self {
        let (avoid_until, used, no_room) = (Time::ZERO, None, None);
        Address { entry, calls_out: 0, turn, failures: 0, avoid_until, used, no_room }
    }
}
