//! Rate limiting: the request rate of a route, its increases and cuts, and the recovery budget.

use crate::interface::{Settings, Time};
use crate::policy_state::{
    instance_count, shortest_objective_s, update_ewma, warm_up_s, KindStats, RouteFeedback, RouteState,
};
use std::time::Duration;

/// Requests per second if no limit is advertised: more than any instance sends, so only rejections limit it.
pub(super) const UNADVERTISED_RATE: f64 = 1e4;
/// The demand counts towards the recovery budget up to this multiple of the rate served here before.
const MAX_DEMAND_TO_SERVED_RATIO: f64 = 1.5;
/// An instance with fewer messages than this per warm-up time has low traffic. Its served rate is then no
/// estimate; its share is this multiple of its demand, else its messages would expire without an attempt.
const LOW_TRAFFIC_MESSAGES: f64 = 2.0;
const LOW_TRAFFIC_DEMAND_MULTIPLE: f64 = 2.5;
/// This multiple of the demand may be sent in a slow start after a single lost request.
const DEMAND_MULTIPLE_AFTER_LOSS: f64 = 2.5;
/// After a rejection a low-traffic instance waits for a random time of up to this many requests at its rate,
/// as there are many such instances.
const LOW_TRAFFIC_SPREAD_REQUESTS: f64 = 3.0;
/// Fraction of the overload budget to use; the rest covers rejected requests, batches and random variation.
const OVERLOAD_BUDGET_FRACTION: f64 = 0.8;
/// A rejection cuts the rate to this fraction of the recent rate, at most once per `RATE_CUT_INTERVAL`. The
/// third cut without a success in between goes down to the recovery budget: it may be an outage, or all
/// instances may have to slow down.
const RATE_CUT_FACTORS: [f64; 3] = [0.75, 0.5, 0.0];
const RATE_CUT_INTERVAL: Duration = Duration::from_millis(500);
/// Increase of a limiting rate per success, as a fraction of the lower of itself and one request per latency
/// objective.
const RATE_INCREASE: f64 = 0.25;
/// A rejection with less than this fraction of the limit remaining means that the limit is exhausted, so
/// queued messages must wait too.
const LIMIT_EXHAUSTED_THRESHOLD: f64 = 0.05;
/// Weight of the newest sample in the estimate of how often a further rejection finds the limit exhausted
/// too, that is, rejected requests use it up; and the estimate above which a first rejection counts as
/// exhausting.
pub(super) const SATURATION_GAIN: f64 = 0.1;
const MAX_SATURATION: f64 = 0.1;
/// If the remaining part of a limit is advertised, the rate rises towards this use of the limit, assuming
/// that all instances do the same. A use below `MIN_LIMIT_USE` is taken as that, as one response can't tell a
/// lower one. The increase takes up to this many latency objectives, because the value is old and a counted
/// window starts with everything remaining; fewer, down to one, if a fair share is less than one request per
/// objective.
const LIMIT_USE_TARGET: f64 = 0.9;
const MIN_LIMIT_USE: f64 = 0.1;
const MAX_INCREASE_OBJECTIVES: f64 = 3.0;
/// With an advertised limit, queued messages raise the rate after a rejection to this many per objective.
const MAX_BURST_REQUESTS: f64 = 4.0;
/// Time constant, in seconds, of the recent request rate.
pub(super) const RECENT_WINDOW_S: f64 = 1.0;
/// Tokens that can be saved up, in seconds at the current rate; at least one request.
const BURST_WINDOW_S: f64 = 0.4;

impl RouteState {
    /// Whether this instance has too few messages for this route for estimates of its own
    /// (`LOW_TRAFFIC_MESSAGES`).
    pub fn is_low_traffic(&mut self, now: Time, settings: &Settings) -> bool {
        self.demand.rate(now, warm_up_s(settings), 0.0) * warm_up_s(settings) < LOW_TRAFFIC_MESSAGES
    }

    /// Requests per second that this instance may send now.
    pub fn allowed_rate(&mut self, now: Time, settings: &Settings) -> f64 {
        let elapsed = |since: Time| (now - since).as_secs_f64() / warm_up_s(settings);
        let progress = self.recovering_since.map_or(1.0, elapsed);
        if progress >= 1.0 {
            (self.recovering_since, self.recovering_from_loss) = (None, false);
            return self.rate;
        }
        let min_rate = if self.recovering_from_loss { self.min_rate_after_loss(now, settings) } else { 0.0 };
        self.recovery_budget(now, settings, progress).max(min_rate).min(self.rate)
    }

    /// Minimum rate of a slow start after a single lost request: a multiple of the own demand, so that it
    /// limits bursts and not the usual traffic. A burst adds little to the demand of a warm-up time.
    fn min_rate_after_loss(&mut self, now: Time, settings: &Settings) -> f64 {
        self.demand.rate(now, warm_up_s(settings), 0.0) * DEMAND_MULTIPLE_AFTER_LOSS
    }

    /// Requests per second that this instance may send so that all instances together don't overload a
    /// recovering destination; `progress` of the warm-up runs from 0 to 1. Based on the rate served here
    /// before or the fair share: served rates of all instances add up to the capacity, while their demand can
    /// be many times the limit of a busy partner (incident h1c8921). Probes, slow starts and rate cuts share
    /// this budget.
    pub fn recovery_budget(&mut self, now: Time, settings: &Settings, progress: f64) -> f64 {
        let demand = self.demand.rate(now, warm_up_s(settings), 0.0);
        let max_demand = self.served_rate * MAX_DEMAND_TO_SERVED_RATIO;
        let low_traffic = self.is_low_traffic(now, settings);
        let estimate =
            if low_traffic { demand * LOW_TRAFFIC_DEMAND_MULTIPLE } else { demand.min(max_demand) };
        let share = estimate.max(self.served_rate).max(self.advertised_limit / instance_count(settings));
        let capacity = settings.rules.warm_up_capacity + (1.0 - settings.rules.warm_up_capacity) * progress;
        share * capacity * settings.rules.overload_multiple * OVERLOAD_BUDGET_FRACTION
    }

    /// Refills the tokens and returns when the next one is available.
    pub fn next_token_at(&mut self, now: Time, rate: f64) -> Time {
        let single = self.recovering_since.is_some() || self.one_at_a_time;
        self.refill(now, rate, if single { 1.0 } else { (rate * BURST_WINDOW_S).max(1.0) });
        self.rate_limited = self.tokens < 1.0;
        self.only_rate_limited = self.rate_limited && self.recovering_since.is_none();
        if !self.rate_limited {
            return now;
        }
        now + Duration::from_secs_f64(((1.0 - self.tokens) / rate).clamp(0.001, 10.0))
    }

    /// Raises a limiting rate after a success: towards a use of the advertised limit if that is known, else
    /// by a fixed step.
    pub fn increase_rate(&mut self, feedback: &RouteFeedback) {
        let per_objective = shortest_objective_s(feedback.settings).recip();
        let step = RATE_INCREASE * self.rate.min(per_objective);
        // By elapsed time and not per response: the remaining part is known late, and hundreds of instances
        // that double with each response would far exceed the limit. The increase takes fewer objectives if
        // a fair share is less than one request.
        let since_success = (feedback.now - self.last_success).as_secs_f64();
        let objectives = (since_success * per_objective).min(1.0);
        let headroom = |remaining: f64| (LIMIT_USE_TARGET / (1.0 - remaining).max(MIN_LIMIT_USE)).max(1.0);
        let instances = instance_count(feedback.settings);
        let slowness = MAX_INCREASE_OBJECTIVES * self.advertised_limit / per_objective / instances;
        let slowness = slowness.clamp(1.0, MAX_INCREASE_OBJECTIVES);
        let towards_limit = |remaining| self.rate * (headroom(remaining).powf(objectives / slowness) - 1.0);
        self.rate += feedback.remaining().map_or(step, towards_limit);
    }

    /// Cuts the rate after a rejection.
    pub fn reduce_rate(&mut self, kind: &mut KindStats, feedback: &RouteFeedback) {
        let exhausted = feedback.remaining().is_some_and(|remaining| remaining < LIMIT_EXHAUSTED_THRESHOLD);
        if self.consecutive_cuts > 0 {
            update_ewma(&mut kind.limit_saturation, f64::from(exhausted), SATURATION_GAIN);
        }
        let exhausted = exhausted && (self.consecutive_cuts > 0 || kind.limit_saturation > MAX_SATURATION);
        // A rejection without any limit means a full queue or an outage: queued messages must not be sent.
        let unlimited = feedback.rate_limit.is_some_and(|status| status.limit <= 0.0);
        if feedback.now - self.last_rate_cut > RATE_CUT_INTERVAL {
            self.cut_rate(feedback, exhausted || unlimited);
        }
        // A random delay, as all instances that were rejected together would otherwise return together.
        let low_traffic = self.is_low_traffic(feedback.now, feedback.settings);
        let spread = if low_traffic { LOW_TRAFFIC_SPREAD_REQUESTS } else { 1.0 };
        self.tokens = self.tokens.min(-feedback.random * spread);
    }

    fn cut_rate(&mut self, feedback: &RouteFeedback, exhausted: bool) {
        let (now, settings) = (feedback.now, feedback.settings);
        let per_objective = shortest_objective_s(settings).recip();
        let factor = RATE_CUT_FACTORS[self.consecutive_cuts.min(RATE_CUT_FACTORS.len() - 1)];
        self.consecutive_cuts += 1;
        // Queued messages must not wait at the usual rate; with batches one request per objective is enough.
        let recent = self.sent_recently.rate(now, RECENT_WINDOW_S, 0.0);
        let recent = match self.max_batch {
            _ if exhausted => 0.0,
            1 => recent.max(feedback.queued * per_objective),
            _ => recent.min(per_objective),
        };
        let demand = self.demand.rate(now, warm_up_s(settings), 0.0);
        // The queued messages of all rejected instances add up to many times the limit that they share.
        let burst = (MAX_BURST_REQUESTS * per_objective).max(self.served_rate);
        let max_rate = feedback.advertised().map_or(f64::MAX, |_| burst);
        let recent = recent.max(demand).min(max_rate).max(self.advertised_limit / instance_count(settings));
        let min_rate = self.recovery_budget(now, settings, 0.0);
        self.rate = (factor * self.rate.min(recent)).max(min_rate.min(self.rate));
        self.last_rate_cut = now;
    }
}
