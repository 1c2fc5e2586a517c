//! Routes and endpoints: their rates, latencies, outages and requests in flight.

use super::ids::{RequestId, RouteId};
use super::message::InFlightRequest;
use super::statistics::{DecayingCounter, LatencyEstimate};
use crate::interface::{Endpoint, EndpointId, KindId, MessageId, RateLimitStatus, Settings, Time};
use std::collections::BTreeSet;
use std::time::Duration;

/// What may be sent next.
pub struct Candidate {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub message: MessageId,
    /// Value of the message for the time that a slot is taken, a second.
    pub value_rate: f64,
}

/// An endpoint as listed, and what is known of it.
pub struct EndpointRecord {
    pub entry: Endpoint,
    pub requests_in_flight: usize,
    /// Among endpoints that are else alike the least is next. Begins at random, for this instance only.
    pub round_robin_position: u64,
    /// How far one request moves the position.
    pub round_robin_step: u64,
    pub consecutive_failures: u32,
    pub deprioritized_until: Time,
    /// When a request last ended there with its connection left open.
    pub last_used: Option<Time>,
    /// Since when connections fail there, without a response since.
    pub connect_failing_since: Option<Time>,
}

impl EndpointRecord {
    /// An endpoint just listed.
    pub fn new(entry: Endpoint, round_robin_position: u64, round_robin_step: u64) -> Self {
        EndpointRecord {
            entry,
            requests_in_flight: 0,
            round_robin_position,
            round_robin_step,
            consecutive_failures: 0,
            deprioritized_until: Time::ZERO,
            last_used: None,
            connect_failing_since: None,
        }
    }

    /// The position before its latest request.
    pub fn last_round_robin_position(&self) -> u64 {
        self.round_robin_position.saturating_sub(self.round_robin_step)
    }

    /// Moves the position on by whole steps: by one, and past `front`.
    pub fn advance_round_robin(&mut self, front: u64) {
        let step = self.round_robin_step;
        let behind = front.saturating_sub(self.round_robin_position + step);
        self.round_robin_position += step * (1 + behind.div_ceil(step.max(1)));
    }

    /// A request succeeded there.
    pub fn on_success(&mut self, now: Time) {
        self.connect_failing_since = None;
        self.last_used = Some(now);
        self.consecutive_failures = 0;
    }
}

/// A time without any success on a route, from its last success on: silence alone, until a request fails.
#[derive(Default)]
pub struct Outage {
    pub started_at: Time,
    pub next_probe: Time,
    pub probes_sent: u32,
    /// Some request failed or was rejected; else it is silence alone.
    pub failure_seen: bool,
    /// Requests were lost or are silent, not just rejected.
    pub requests_lost: bool,
}

/// Rate and health of a route: one mechanism for limits, outages and slow start.
#[derive(Default)]
pub struct RouteState {
    /// Requests a second that it takes from all instances together, as advertised.
    pub advertised_limit: f64,
    pub endpoints: Vec<EndpointId>,
    pub kind: KindId,
    /// Messages that one request may carry.
    pub max_batch: usize,
    /// Requests a second that this instance may send.
    pub rate: f64,
    /// Requests stay where a connection is open, as round robin would let connections lapse.
    pub prefers_open_connection: bool,
    pub tokens: f64,
    /// When the tokens were last refilled.
    pub refilled_at: Time,
    /// No token is there.
    pub rate_limited: bool,
    /// The rate alone speaks against one more request.
    pub only_rate_limited: bool,
    /// Listed for one request at a time.
    pub one_at_a_time: bool,
    pub last_rate_cut: Time,
    /// Cuts since the last success.
    pub consecutive_cuts: usize,
    /// Requests sent recently.
    pub sent_recently: DecayingCounter,
    /// Messages accepted over about the warm-up time.
    pub demand: DecayingCounter,
    /// Requests served over about the warm-up time.
    pub served: DecayingCounter,
    /// Requests served a second, as of the last success and without it; kept through outage and recovery.
    pub served_rate: f64,
    /// End of the last `Retry-After`.
    pub retry_after_until: Time,
    pub latency: LatencyEstimate,
    pub last_success: Time,
    /// Score of failures since the last success.
    pub failure_score: u32,
    pub outage: Option<Outage>,
    /// When the slow start began, if one is on.
    pub recovering_since: Option<Time>,
    /// Requests in flight, the oldest first.
    pub in_flight: BTreeSet<RequestId>,
}

impl RouteState {
    /// Whether a success came so long after a request was sent that the route works and it is lost.
    pub fn overtook(&self, request: &InFlightRequest, timeout: Duration) -> bool {
        self.last_success > request.sent_at + timeout
    }

    /// Messages accepted a second for each endpoint of the route, over about `span` seconds.
    pub fn demand_per_endpoint(&mut self, now: Time, span: f64) -> f64 {
        self.demand.rate(now, span, 0.0) / self.endpoints.len() as f64
    }

    /// Adds the tokens of the time that passed, up to `burst`.
    pub fn refill(&mut self, now: Time, rate: f64, burst: f64) {
        let passed = (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(burst);
        self.refilled_at = now;
    }
}

/// What the outcome of a request tells its route.
pub struct RouteFeedback<'a> {
    pub now: Time,
    pub settings: &'a Settings,
    /// Random value, from 0 to 1, drawn for this outcome.
    pub chance: f64,
    /// Messages queued, in even parts of the routes of the destination.
    pub queued: f64,
    /// The rate limit that the response advertised.
    pub rate_limit: Option<RateLimitStatus>,
}

impl RouteFeedback<'_> {
    /// The rate limit, if there is one.
    pub fn advertised(&self) -> Option<RateLimitStatus> {
        self.rate_limit.filter(|status| status.limit > 0.0)
    }

    /// Share of the limit that remains, from 0 to 1.
    pub fn remaining(&self) -> Option<f64> {
        self.advertised().map(|status| status.remaining.clamp(0.0, 1.0))
    }
}
