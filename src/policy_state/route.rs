//! Routes and endpoints: rates, latencies, outages and requests in flight.

use super::ids::{RequestId, RouteId};
use super::message::InFlightRequest;
use super::statistics::{DecayingCounter, LatencyEstimate};
use crate::interface::{Endpoint, EndpointId, KindId, MessageId, RateLimitStatus, Settings, Time};
use std::collections::BTreeSet;
use std::time::Duration;

/// A request that may be sent next.
pub struct Candidate {
    pub route: RouteId,
    pub endpoint: EndpointId,
    pub message: MessageId,
    /// Value of the message per second of slot time.
    pub value_rate: f64,
}

/// An entry of the endpoint list and the state kept for it.
pub struct EndpointRecord {
    pub entry: Endpoint,
    pub requests_in_flight: usize,
    /// Ties between endpoints go to the lowest position. The initial offset is random for each instance.
    pub round_robin_position: u64,
    /// How far one request advances the position.
    pub round_robin_step: u64,
    pub consecutive_failures: u32,
    pub deprioritized_until: Time,
    /// When a request last ended there and left its connection open.
    pub last_used: Option<Time>,
    /// When connection attempts there began to fail; cleared by a successful response.
    pub connect_failing_since: Option<Time>,
}

impl EndpointRecord {
    /// Creates the record of a newly listed endpoint.
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
    pub fn previous_round_robin_position(&self) -> u64 {
        self.round_robin_position.saturating_sub(self.round_robin_step)
    }

    /// Advances the position by whole steps: by at least one, and to `front` or beyond.
    pub fn advance_round_robin(&mut self, front: u64) {
        let step = self.round_robin_step;
        let behind = front.saturating_sub(self.round_robin_position + step);
        self.round_robin_position += step * (1 + behind.div_ceil(step.max(1)));
    }

    /// Records a successful request: the endpoint no longer counts as failing, and its connection is open.
    pub fn on_success(&mut self, now: Time) {
        self.connect_failing_since = None;
        self.last_used = Some(now);
        self.consecutive_failures = 0;
    }
}

/// A period without success on a route, since its last success; opened by failures or by silence alone.
#[derive(Default)]
pub struct Outage {
    pub started_at: Time,
    pub next_probe: Time,
    pub probes_sent: u32,
    /// A request failed or was rejected; otherwise the outage rests on silence alone.
    pub failure_seen: bool,
    /// Requests were lost or are silent, not just rejected.
    pub requests_lost: bool,
}

/// A lost request that no success has followed yet: the request alone may be lost, or an outage may have begun.
pub struct UnexplainedLoss {
    pub lost_at: Time,
    /// When the next request may tell; set once a message waits for it.
    pub next_request: Option<Time>,
}

/// Rate and health of a route; limits, outages and slow start share one mechanism.
#[derive(Default)]
pub struct RouteState {
    /// Advertised limit in requests per second, for all instances together.
    pub advertised_limit: f64,
    pub endpoints: Vec<EndpointId>,
    pub kind: KindId,
    /// Maximum number of messages per request.
    pub max_batch: usize,
    /// Requests per second that this instance may send.
    pub rate: f64,
    /// Prefer endpoints with an open connection to round robin, under which connections would time out.
    pub prefers_open_connection: bool,
    pub tokens: f64,
    /// When the tokens were last refilled.
    pub refilled_at: Time,
    /// No token is available.
    pub rate_limited: bool,
    /// Nothing but the rate limit prevents another request.
    pub only_rate_limited: bool,
    /// The endpoint list admits one request at a time.
    pub one_at_a_time: bool,
    pub last_rate_cut: Time,
    /// Rate cuts since the last success.
    pub consecutive_cuts: usize,
    /// Requests sent, decaying over `RECENT_WINDOW_S`.
    pub sent_recently: DecayingCounter,
    /// Messages accepted, decaying over the warm-up time.
    pub demand: DecayingCounter,
    /// Requests served, decaying over the warm-up time.
    pub served: DecayingCounter,
    /// Requests served per second, just before the last success; does not fall during an outage and recovery.
    pub served_rate: f64,
    /// No request is sent before this time: the latest end of any `Retry-After`.
    pub retry_after_until: Time,
    pub latency: LatencyEstimate,
    pub last_success: Time,
    /// Sum of the scores of failures since the last success; opens an outage at `OUTAGE_SCORE`.
    pub failure_score: u32,
    /// A request was lost since the last success.
    pub unexplained_loss: Option<UnexplainedLoss>,
    pub outage: Option<Outage>,
    /// Start of the current slow start, if there is one.
    pub recovering_since: Option<Time>,
    /// The slow start follows an unexplained loss, not an outage.
    pub recovering_from_loss: bool,
    /// Requests in flight, oldest first.
    pub in_flight: BTreeSet<RequestId>,
}

impl RouteState {
    /// Whether the route succeeded more than `timeout` after a request was sent: the route works, so the
    /// request is lost.
    pub fn has_lost(&self, request: &InFlightRequest, timeout: Duration) -> bool {
        self.last_success > request.sent_at + timeout
    }

    /// What [`super::HealthChanges`] compares before and after an event.
    pub fn health(&self) -> RouteHealth {
        RouteHealth {
            in_outage: self.outage.is_some(),
            has_unexplained_loss: self.unexplained_loss.is_some(),
            failure_score: self.failure_score,
            last_success: self.last_success,
        }
    }

    /// Messages accepted per second for each endpoint of the route, averaged with this time constant.
    pub fn demand_per_endpoint(&mut self, now: Time, time_constant_s: f64) -> f64 {
        self.demand.rate(now, time_constant_s, 0.0) / self.endpoints.len() as f64
    }

    /// Adds the tokens for the time since the last refill, up to `burst`.
    pub fn refill(&mut self, now: Time, rate: f64, burst: f64) {
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(burst);
        self.refilled_at = now;
    }
}

/// The health of a route at one time.
#[derive(Clone, Copy)]
pub struct RouteHealth {
    pub in_outage: bool,
    pub has_unexplained_loss: bool,
    pub failure_score: u32,
    pub last_success: Time,
}

/// The input for the update of a route after the outcome of one request.
pub struct RouteFeedback<'a> {
    pub now: Time,
    pub settings: &'a Settings,
    /// Random number from 0 to 1, drawn for this outcome.
    pub random: f64,
    /// Messages queued for the destination, per route.
    pub queued: f64,
    /// The rate limit that the response advertised.
    pub rate_limit: Option<RateLimitStatus>,
}

impl RouteFeedback<'_> {
    /// The advertised rate limit, if it is positive.
    pub fn advertised(&self) -> Option<RateLimitStatus> {
        self.rate_limit.filter(|status| status.limit > 0.0)
    }

    /// Remaining fraction of the limit, from 0 to 1.
    pub fn remaining(&self) -> Option<f64> {
        self.advertised().map(|status| status.remaining.clamp(0.0, 1.0))
    }
}
