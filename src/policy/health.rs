//! Health: route outages, probes, slow start after an outage and failing endpoints.

use super::rate_limiting::SATURATION_GAIN;
use super::unexplained_loss::transient_failure_limit;
use crate::interface::{AttemptCompleted, AttemptOutcome, EndpointId, Settings, Time};
use crate::policy_state::{
    update_ewma, warm_up_s, Backoff, EndpointRecord, InFlightRequest, KindStats, Outage, PolicyState,
    RouteFeedback, RouteState,
};
use std::time::Duration;

/// Minimum weight of the newest latency sample in the moving average; the first few samples weigh more.
const LATENCY_GAIN: f64 = 0.15;
/// Delay between probes, in overload windows; jittered.
const PROBE_BACKOFF: Backoff = Backoff { initial: 0.1, max: 0.6 };
/// Minimum fraction of a delay left by jitter: instances that failed together must not return together.
const MIN_PROBE_JITTER: f64 = 0.25;
/// Failure score that opens an outage, and what each outcome adds. Two lost requests, errors or failed
/// connections in a row open one, as a low-traffic instance sees few requests; single rejections are normal.
const OUTAGE_SCORE: u32 = 6;
const LOST_REQUEST_SCORE: u32 = 3;
const REJECTION_SCORE: u32 = 1;
/// A rejection with more than this fraction of the rate limit remaining is not caused by the limit.
const MIN_SPARE_CAPACITY: f64 = 0.3;

impl PolicyState {
    /// Updates the latency, rate and outage of a route with the outcome of one request.
    pub fn update_route(&mut self, now: Time, attempt: &AttemptCompleted, request: &InFlightRequest) {
        let before = self.routes.get(&request.route).map(RouteState::health);
        self.apply_outcome(now, attempt, request);
        if let (Some(before), Some(route)) = (before, self.routes.get(&request.route)) {
            self.health_changes.record(now, request.route, before, route);
        }
    }

    fn apply_outcome(&mut self, now: Time, attempt: &AttemptCompleted, request: &InFlightRequest) {
        let stall_timeout = self.stall_timeout(request.route);
        let (settings, random) = (&self.settings, self.rng.f64());
        let queued = self.queued_per_route(request.route.destination);
        let feedback = RouteFeedback { now, settings, random, queued, rate_limit: attempt.rate_limit };
        let Some(route) = self.routes.get_mut(&request.route) else { return };
        let kind = self.kind_stats.entry(route.kind).or_default();
        route.advertised_limit = feedback.advertised().map_or(route.advertised_limit, |status| status.limit);
        // Time-outs count as samples, else retries would start while first attempts still run. A request that
        // was lost with its connection (the route succeeded later) doesn't: it would only raise the time-out.
        let timed_out = matches!(attempt.outcome, AttemptOutcome::Timeout | AttemptOutcome::Abandoned);
        if attempt.outcome == AttemptOutcome::Ok || (timed_out && !route.has_lost(request, stall_timeout)) {
            route.latency.record_with_prior(self.overall_latency, attempt.latency, LATENCY_GAIN);
        }
        // A lost request says nothing about the route if the route succeeded after it was sent. Errors and
        // resets don't either while some endpoint has not failed; silence does, as a hang mostly affects all.
        let no_success_since = request.sent_at >= route.last_success;
        let mut endpoints = route.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        let accepts = |endpoint: &EndpointRecord| endpoint.entry.state.accepts_new_requests();
        let any_healthy = endpoints.any(|endpoint| accepts(endpoint) && endpoint.consecutive_failures == 0);
        let transient = transient_failure_limit(settings);
        match attempt.outcome {
            AttemptOutcome::Ok => {
                self.overall_latency.record(attempt.latency, LATENCY_GAIN);
                return route.on_success(kind, &feedback);
            }
            AttemptOutcome::Rejected(Some(wait)) if wait > transient => {
                return route.reopen_after_wait(random)
            }
            AttemptOutcome::Rejected(_) => {
                // With capacity left in its limit, the destination is closed or hangs with its queue full.
                let spare = feedback.remaining().is_some_and(|remaining| remaining > MIN_SPARE_CAPACITY);
                route.failure_score += if spare { LOST_REQUEST_SCORE } else { REJECTION_SCORE };
                route.reduce_rate(kind, &feedback);
            }
            // The rate set since then accounts for requests still to be sent: no token is refunded.
            AttemptOutcome::NotStarted if route.blocked_since(now, request) => return,
            AttemptOutcome::NotStarted => return route.tokens += 1.0,
            AttemptOutcome::Error | AttemptOutcome::Reset if any_healthy => route.record_loss(now, request),
            AttemptOutcome::Unsent => {}
            _ if no_success_since => {
                route.failure_score += LOST_REQUEST_SCORE;
                route.record_loss(now, request);
            }
            _ => {}
        }
        route.open_outage(&feedback, !matches!(attempt.outcome, AttemptOutcome::Rejected(_)));
    }

    /// Deprioritizes a failing endpoint for a random delay, growing with each failure to the warm-up time.
    pub fn deprioritize(&mut self, now: Time, endpoint: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&endpoint) else { return };
        endpoint.consecutive_failures += 1;
        let rules = &self.settings.rules;
        let max = rules.warm_up_time.as_secs_f64() / rules.overload_window.as_secs_f64();
        let backoff = Backoff { max, ..PROBE_BACKOFF };
        let delay = backoff.delay(rules.overload_window, endpoint.consecutive_failures);
        endpoint.deprioritized_until = now + delay.mul_f64(self.rng.f64());
    }
}

impl RouteState {
    fn on_success(&mut self, kind: &mut KindStats, feedback: &RouteFeedback) {
        let (now, settings) = (feedback.now, feedback.settings);
        let served = self.served.rate(now, warm_up_s(settings), 0.0);
        let unhealthy = self.outage.is_some() || self.recovering_since.is_some();
        self.served_rate = if unhealthy { served.max(self.served_rate) } else { served };
        self.served.count += 1.0;
        // A destination may be warming up after an outage, so a slow start begins unless it was transient;
        // measured from the last success, so that it includes instances that saw only the outage's end.
        let limit = transient_failure_limit(settings);
        if self.outage.as_ref().is_some_and(|outage| outage.failure_seen && now - outage.started_at > limit) {
            (self.recovering_since, self.recovering_from_loss) = (Some(now), false);
            self.tokens = 0.0;
        } else if self.may_be_in_outage(now, settings) {
            // A slow start after an outage has the lower rate and stays one.
            self.recovering_from_loss |= self.recovering_since.is_none();
            self.recovering_since = Some(now);
            self.tokens = self.tokens.min(1.0);
        }
        if self.rate_limited {
            self.increase_rate(feedback);
        }
        if self.consecutive_cuts > 0 {
            update_ewma(&mut kind.limit_saturation, 0.0, SATURATION_GAIN);
        }
        (self.outage, self.failure_score, self.consecutive_cuts) = (None, 0, 0);
        self.unexplained_loss = None;
        self.last_success = now;
    }

    /// All rejected instances would return at the advertised time, so the slow start begins there, with no
    /// tokens saved up before and a random delay of up to one request at its rate.
    fn reopen_after_wait(&mut self, random: f64) {
        (self.outage, self.recovering_since) = (None, Some(self.retry_after_until));
        self.recovering_from_loss = false;
        (self.refilled_at, self.tokens) = (self.retry_after_until, random);
    }

    fn open_outage(&mut self, feedback: &RouteFeedback, request_lost: bool) {
        let threshold = if self.outage.is_some() { LOST_REQUEST_SCORE } else { OUTAGE_SCORE };
        if self.failure_score >= threshold {
            let outage =
                self.outage.get_or_insert(Outage { started_at: self.last_success, ..Outage::default() });
            outage.failure_seen = true;
            outage.requests_lost |= request_lost;
            self.schedule_probe(feedback.now, feedback.settings, feedback.random);
            self.recovering_since = None;
        }
    }

    /// Opens an outage on silence alone: a hung destination sends no response, and time-outs come much later.
    pub fn open_silent_outage(&mut self, now: Time, oldest_sent: Option<Time>, stall_timeout: Duration) {
        let (None, Some(sent)) = (&self.outage, oldest_sent) else { return };
        if now - sent.max(self.last_success) > stall_timeout {
            let (started_at, next_probe) = (self.last_success.min(sent), now + stall_timeout);
            self.outage = Some(Outage { started_at, next_probe, requests_lost: true, ..Outage::default() });
        }
    }

    /// Whether a `Retry-After` arrived, or an outage began or ended, since a request was scheduled.
    pub fn blocked_since(&self, now: Time, request: &InFlightRequest) -> bool {
        let failed = !request.is_probe && self.outage.as_ref().is_some_and(|outage| outage.failure_seen);
        let recovering = self.recovering_since.is_some_and(|since| since > request.sent_at);
        failed || self.retry_after_until > now || recovering
    }

    /// Schedules the next probe of an outage, with growing, jittered delays and within the recovery budget:
    /// rejected probes can use up a small rate limit by themselves (incident i2aa64d).
    pub fn schedule_probe(&mut self, now: Time, settings: &Settings, random: f64) {
        // Exponential delays make the probes of low-traffic instances add up to the budget, however begun.
        let jitter = MIN_PROBE_JITTER + random * (1.0 - MIN_PROBE_JITTER);
        let budget = self.recovery_budget(now, settings, 0.0).max(0.001);
        let spread = if self.is_low_traffic(now, settings) { -random.max(0.01).ln() } else { jitter };
        let budget_delay = Duration::from_secs_f64(spread / budget);
        let Some(outage) = &mut self.outage else { return };
        let delay = PROBE_BACKOFF.delay(settings.rules.overload_window, outage.probes_sent);
        // Counts from the end of the `Retry-After`, so that instances waiting for it don't return together.
        outage.next_probe = now.max(self.retry_after_until) + delay.mul_f64(jitter).max(budget_delay);
    }
}
