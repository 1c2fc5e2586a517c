//! Health: outages of routes, probes, slow start after an outage, failing endpoints and stalled requests.

use super::rate_limiting::SATURATION_GAIN;
use crate::interface::{AttemptCompleted, AttemptOutcome, EndpointId, Settings, Time};
use crate::policy_state::{
    shortest_objective_s, update_ewma, warm_up_s, Backoff, EndpointRecord, InFlightRequest, KindStats,
    Outage, PolicyState, RouteFeedback, RouteId, RouteState, WakeTime,
};
use std::time::Duration;

/// Least weight of the newest latency in the running mean; the first few weigh more.
const LATENCY_GAIN: f64 = 0.15;
/// A request is stalled after so many latencies, at least this part of the shortest objective; pauses pass.
const STALL_LATENCIES: f64 = 3.0;
const STALL_OBJECTIVES: f64 = 0.25;
/// Gap between probes, in overload windows; jittered.
const PROBE_BACKOFF: Backoff = Backoff { first: 0.1, longest: 0.6 };
/// Shortest part of a gap that chance may leave: those that failed together must not come back together.
const MIN_PROBE_JITTER: f64 = 0.25;
/// A failure that lasted less than this part of the overload window is transient: it needs no slow start.
const TRANSIENT_FAILURE_WINDOWS: f64 = 0.6;
/// Failure score that opens an outage, and what each outcome adds: a lost request, an error or no connection
/// hints at one (two in a row, as a low-traffic instance has few), single rejections are normal.
const OUTAGE_SCORE: u32 = 6;
const LOST_REQUEST_SCORE: u32 = 3;
const REJECTION_SCORE: u32 = 1;
/// A rejection with more than this share of the limit remaining has another cause than the limit.
const CAPACITY_REMAINING: f64 = 0.3;

impl PolicyState {
    /// Updates latency, rate and outage of a route with the outcome of one request.
    pub fn update_route(&mut self, now: Time, done: &AttemptCompleted, request: &InFlightRequest) {
        let stall_timeout = self.stall_timeout(request.route);
        let (settings, chance) = (&self.settings, self.rng.f64());
        let queued = self.queued_per_route(request.route.destination);
        let feedback = RouteFeedback { now, settings, chance, queued, rate_limit: done.rate_limit };
        let Some(route) = self.routes.get_mut(&request.route) else { return };
        let kind = self.kind_stats.entry(route.kind).or_default();
        route.advertised_limit = feedback.advertised().map_or(route.advertised_limit, |status| status.limit);
        // A time-out is a sample too, else retries would meet first attempts that still run. Not one that was
        // overtaken: it was lost with its connection, and would teach ever longer time-outs.
        let timed_out = matches!(done.outcome, AttemptOutcome::Timeout | AttemptOutcome::Abandoned);
        if done.outcome == AttemptOutcome::Ok || (timed_out && !route.overtook(request, stall_timeout)) {
            route.latency.record_with_prior(self.overall_latency, done.latency, LATENCY_GAIN);
        }
        // With a success since it was sent, a lost request says nothing of the route. Nor do errors or resets
        // while an endpoint is left that did not fail; silence does, as a hang mostly takes all.
        let no_success_since = request.sent_at >= route.last_success;
        let mut endpoints = route.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        let accepts = |endpoint: &EndpointRecord| endpoint.entry.state.accepts_new_requests();
        let any_healthy = endpoints.any(|endpoint| accepts(endpoint) && endpoint.consecutive_failures == 0);
        let transient = transient_failure_limit(settings);
        match done.outcome {
            AttemptOutcome::Ok => {
                self.overall_latency.record(done.latency, LATENCY_GAIN);
                return route.on_success(kind, &feedback);
            }
            AttemptOutcome::Rejected(Some(wait)) if wait > transient => {
                return route.reopen_after_wait(chance)
            }
            AttemptOutcome::Rejected(_) => {
                // With capacity remaining inside the limit, it is shut or hangs with its queue full.
                let remains = feedback.remaining().is_some_and(|remaining| remaining > CAPACITY_REMAINING);
                route.failure_score += if remains { LOST_REQUEST_SCORE } else { REJECTION_SCORE };
                route.reduce_rate(kind, &feedback);
            }
            // A rate set since was meant for what is still to be sent.
            AttemptOutcome::NotStarted if route.blocked_since(now, request) => return,
            AttemptOutcome::NotStarted => return route.tokens += 1.0,
            AttemptOutcome::Error | AttemptOutcome::Reset if any_healthy => {}
            AttemptOutcome::Unsent => {}
            _ if no_success_since => route.failure_score += LOST_REQUEST_SCORE,
            _ => {}
        }
        route.open_outage(&feedback, !matches!(done.outcome, AttemptOutcome::Rejected(_)));
    }

    /// An endpoint that fails comes last for a random gap, which grows up to the warm-up time.
    pub fn deprioritize(&mut self, now: Time, endpoint: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&endpoint) else { return };
        endpoint.consecutive_failures += 1;
        let rules = &self.settings.rules;
        let longest = rules.warm_up_time.as_secs_f64() / rules.overload_window.as_secs_f64();
        let backoff = Backoff { longest, ..PROBE_BACKOFF };
        let gap = backoff.gap(rules.overload_window, endpoint.consecutive_failures);
        endpoint.deprioritized_until = now + gap.mul_f64(self.rng.f64());
    }

    /// Marks the requests that have been silent for too long; `wake` is when the next one will have been.
    pub fn mark_stalled_requests(&mut self, now: Time, wake: &mut WakeTime) {
        for id in self.unstalled_requests() {
            let at = self.requests[&id].sent_at + self.stall_timeout(self.requests[&id].route);
            if at > now {
                wake.by(Some(at));
            } else if let Some(request) = self.requests.get_mut(&id) {
                request.stalled = true;
                let idle = request.connection_idle;
                self.record_connection_outcome(now, idle, AttemptOutcome::Abandoned);
            }
        }
    }

    pub fn stall_timeout(&self, route: RouteId) -> Duration {
        let usual = self.latency(route).scaled(STALL_LATENCIES);
        Duration::from_secs_f64(usual.max(shortest_objective_s(&self.settings) * STALL_OBJECTIVES))
    }
}

impl RouteState {
    fn on_success(&mut self, kind: &mut KindStats, feedback: &RouteFeedback) {
        let (now, settings) = (feedback.now, feedback.settings);
        let served = self.served.rate(now, warm_up_s(settings), 0.0);
        let unhealthy = self.outage.is_some() || self.recovering_since.is_some();
        self.served_rate = if unhealthy { served.max(self.served_rate) } else { served };
        self.served.count += 1.0;
        // A destination without success for a while may be warming up: it has a slow start. Counting from its
        // last success covers instances that saw only the end of an outage.
        let limit = transient_failure_limit(settings);
        if self.outage.as_ref().is_some_and(|o| o.failure_seen && now - o.started_at > limit) {
            self.recovering_since = Some(now);
            self.tokens = 0.0;
        }
        if self.rate_limited {
            self.increase_rate(feedback);
        }
        if self.consecutive_cuts > 0 {
            update_ewma(&mut kind.limit_saturation, 0.0, SATURATION_GAIN);
        }
        (self.outage, self.failure_score, self.consecutive_cuts) = (None, 0, 0);
        self.last_success = now;
    }

    /// Shut, and advertised until when: all that were rejected come back at one moment. So the slow start
    /// begins there, at a random time inside a request of its rate, with no tokens saved up before.
    fn reopen_after_wait(&mut self, chance: f64) {
        (self.outage, self.recovering_since) = (None, Some(self.retry_after_until));
        (self.refilled_at, self.tokens) = (self.retry_after_until, chance);
    }

    fn open_outage(&mut self, feedback: &RouteFeedback, request_lost: bool) {
        let enough = if self.outage.is_some() { LOST_REQUEST_SCORE } else { OUTAGE_SCORE };
        if self.failure_score >= enough {
            let outage =
                self.outage.get_or_insert(Outage { started_at: self.last_success, ..Outage::default() });
            outage.failure_seen = true;
            outage.requests_lost |= request_lost;
            self.schedule_probe(feedback.now, feedback.settings, feedback.chance);
            self.recovering_since = None;
        }
    }

    /// Opens an outage on silence alone: hung destinations answer nothing, long before a time-out tells so.
    pub fn open_silent_outage(&mut self, now: Time, oldest_sent: Option<Time>, stall_timeout: Duration) {
        let (None, Some(sent)) = (&self.outage, oldest_sent) else { return };
        if now - sent.max(self.last_success) > stall_timeout {
            let (started_at, next_probe) = (self.last_success.min(sent), now + stall_timeout);
            self.outage = Some(Outage { started_at, next_probe, requests_lost: true, ..Outage::default() });
        }
    }

    /// Whether a `Retry-After` came, or an outage began or ended, since a request was scheduled.
    pub fn blocked_since(&self, now: Time, request: &InFlightRequest) -> bool {
        let failed = !request.is_probe && self.outage.as_ref().is_some_and(|outage| outage.failure_seen);
        let recovering = self.recovering_since.is_some_and(|since| since > request.sent_at);
        failed || self.retry_after_until > now || recovering
    }

    /// Sets when the next probe of an outage may go: at growing, jittered gaps, and by the recovery budget;
    /// probes that are rejected can also use up a small limit by themselves (i2aa64d).
    pub fn schedule_probe(&mut self, now: Time, settings: &Settings, chance: f64) {
        // Memoryless gaps: the probes of low-traffic instances add up to the budget, however they began.
        let jitter = MIN_PROBE_JITTER + chance * (1.0 - MIN_PROBE_JITTER);
        let budget = self.recovery_budget(now, settings, 0.0).max(0.001);
        let drawn = if self.is_low_traffic(now, settings) { -chance.max(0.01).ln() } else { jitter };
        let own = Duration::from_secs_f64(drawn / budget);
        let Some(outage) = &mut self.outage else { return };
        let gap = PROBE_BACKOFF.gap(settings.rules.overload_window, outage.probes_sent);
        // No gap runs out during a `Retry-After`: those that wait together must not come back together.
        outage.next_probe = now.max(self.retry_after_until) + gap.mul_f64(jitter).max(own);
    }
}

fn transient_failure_limit(settings: &Settings) -> Duration {
    settings.rules.overload_window.mul_f64(TRANSIENT_FAILURE_WINDOWS)
}
