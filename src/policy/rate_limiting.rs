//! Rate limiting: the rate at which a route is sent requests, its increase and cuts, and the recovery budget.

use crate::interface::{Settings, Time};
use crate::policy_state::{
    instance_count, shortest_objective_s, update_ewma, warm_up_s, KindStats, RouteFeedback, RouteState,
};
use std::time::Duration;

/// Requests a second where no limit is advertised: above any instance's, so that only rejections limit it.
pub(super) const UNADVERTISED_RATE: f64 = 1e4;
/// Own demand counts towards the recovery budget up to this multiple of what was served here before.
const MAX_DEMAND_OF_SERVED: f64 = 1.5;
/// With fewer messages than this over a warm-up time an instance has low traffic: what was served to it tells
/// nothing, and this multiple of its demand is its share, as its messages would run out untried.
const LOW_TRAFFIC_MESSAGES: f64 = 2.0;
const LOW_TRAFFIC_DEMAND: f64 = 2.5;
/// After a rejection it sends again at a random time within this many requests of its rate: such are many.
const LOW_TRAFFIC_SPREAD: f64 = 3.0;
/// Part of the overload budget that is used: rejected requests, batches and chance need the rest.
const OVERLOAD_BUDGET_USED: f64 = 0.8;
/// On a rejection the rate falls to this part of what was sent recently, at most once in `RATE_CUT_INTERVAL`:
/// twice without a success, then to the recovery budget: it may be an outage, or all may have to slow down.
const RATE_CUT_FACTORS: [f64; 3] = [0.75, 0.5, 0.0];
const RATE_CUT_INTERVAL: Duration = Duration::from_millis(500);
/// Increase of a limiting rate with each success, as a part of itself or of one request an objective.
const RATE_INCREASE: f64 = 0.25;
/// A rejection with less than this share of the limit remaining exhausts it: a burst must wait too.
const LIMIT_EXHAUSTED: f64 = 0.05;
/// Weight of what follows a rejection in the risk that rejected requests use up the limit (the next one finds
/// nothing remaining either), and the risk from which on a first rejection counts as such.
pub(super) const SATURATION_GAIN: f64 = 0.1;
const SATURATED: f64 = 0.1;
/// Increase where the remaining share of a limit is advertised: to this use of it if all do the same, as if
/// `MIN_LIMIT_USE` were used at least (one response does not tell how little), over so many objectives (it is
/// old, and a counted window begins with all remaining; one where a fair share is no request an objective).
const LIMIT_USE_TARGET: f64 = 0.9;
const MIN_LIMIT_USE: f64 = 0.1;
const MAX_INCREASE_OBJECTIVES: f64 = 3.0;
/// With an advertised limit, queued messages raise the rate after a rejection to so many an objective.
const MAX_BURST_REQUESTS: f64 = 4.0;
/// What was sent recently: requests over about so many seconds.
pub(super) const RECENT_S: f64 = 1.0;
/// Tokens that may be saved up, in seconds of the rate; one request at least.
const BURST_S: f64 = 0.4;

impl RouteState {
    /// Whether this instance has too few messages here for figures of its own (`LOW_TRAFFIC_MESSAGES`).
    pub fn is_low_traffic(&mut self, now: Time, settings: &Settings) -> bool {
        self.demand.rate(now, warm_up_s(settings), 0.0) * warm_up_s(settings) < LOW_TRAFFIC_MESSAGES
    }

    /// Requests a second that this instance may send now.
    pub fn allowed_rate(&mut self, now: Time, settings: &Settings) -> f64 {
        let elapsed = |since: Time| (now - since).as_secs_f64() / warm_up_s(settings);
        let warmth = self.recovering_since.map_or(1.0, elapsed);
        if warmth >= 1.0 {
            self.recovering_since = None;
            return self.rate;
        }
        self.recovery_budget(now, settings, warmth).min(self.rate)
    }

    /// This instance's part of what all may send together, a second, so that a destination survives recovery;
    /// `warmth` runs from 0 to 1. It goes by what was served here before, which adds up to the destination's
    /// capacity (demand does not: h1c8921), or by the fair share. Probes, slow starts and rate cuts share it.
    pub fn recovery_budget(&mut self, now: Time, settings: &Settings, warmth: f64) -> f64 {
        let demand = self.demand.rate(now, warm_up_s(settings), 0.0);
        let most = self.served_rate * MAX_DEMAND_OF_SERVED;
        let low_traffic = self.is_low_traffic(now, settings);
        let own = if low_traffic { demand * LOW_TRAFFIC_DEMAND } else { demand.min(most) };
        let part = own.max(self.served_rate).max(self.advertised_limit / instance_count(settings));
        let capacity = settings.rules.warm_up_capacity + (1.0 - settings.rules.warm_up_capacity) * warmth;
        part * capacity * settings.rules.overload_multiple * OVERLOAD_BUDGET_USED
    }

    /// Refills the tokens, and says when one will be there.
    pub fn next_token_at(&mut self, now: Time, rate: f64) -> Time {
        let single = self.recovering_since.is_some() || self.one_at_a_time;
        self.refill(now, rate, if single { 1.0 } else { (rate * BURST_S).max(1.0) });
        self.rate_limited = self.tokens < 1.0;
        self.only_rate_limited = self.rate_limited && self.recovering_since.is_none();
        if !self.rate_limited {
            return now;
        }
        now + Duration::from_secs_f64(((1.0 - self.tokens) / rate).clamp(0.001, 10.0))
    }

    /// Raises a limiting rate after a success: towards a share of the advertised limit, else step by step.
    pub fn increase_rate(&mut self, feedback: &RouteFeedback) {
        let per_objective = shortest_objective_s(feedback.settings).recip();
        let step = RATE_INCREASE * self.rate.min(per_objective);
        // By the time that passed, not by the response: what remains is known late, and hundreds that double
        // with each response stand far above it at once. Fewer share less than a request each.
        let since_success = (feedback.now - self.last_success).as_secs_f64();
        let objectives = (since_success * per_objective).min(1.0);
        let headroom = |remaining: f64| (LIMIT_USE_TARGET / (1.0 - remaining).max(MIN_LIMIT_USE)).max(1.0);
        let instances = instance_count(feedback.settings);
        let slowness = MAX_INCREASE_OBJECTIVES * self.advertised_limit / per_objective / instances;
        let slowness = slowness.clamp(1.0, MAX_INCREASE_OBJECTIVES);
        let towards_limit = |left| self.rate * (headroom(left).powf(objectives / slowness) - 1.0);
        self.rate += feedback.remaining().map_or(step, towards_limit);
    }

    /// Slows down after a rejection.
    pub fn reduce_rate(&mut self, kind: &mut KindStats, feedback: &RouteFeedback) {
        let exhausted = feedback.remaining().is_some_and(|remaining| remaining < LIMIT_EXHAUSTED);
        if self.consecutive_cuts > 0 {
            update_ewma(&mut kind.limit_saturation, f64::from(exhausted), SATURATION_GAIN);
        }
        let exhausted = exhausted && (self.consecutive_cuts > 0 || kind.limit_saturation > SATURATED);
        // Without any limit a rejection tells of a full queue or an outage: no burst may go on.
        let unlimited = feedback.rate_limit.is_some_and(|status| status.limit <= 0.0);
        if feedback.now - self.last_rate_cut > RATE_CUT_INTERVAL {
            self.cut_rate(feedback, exhausted || unlimited);
        }
        // By chance, as all that were rejected together would come back together.
        let low_traffic = self.is_low_traffic(feedback.now, feedback.settings);
        let spread = if low_traffic { LOW_TRAFFIC_SPREAD } else { 1.0 };
        self.tokens = self.tokens.min(-feedback.chance * spread);
    }

    fn cut_rate(&mut self, feedback: &RouteFeedback, exhausted: bool) {
        let (now, settings) = (feedback.now, feedback.settings);
        let per_objective = shortest_objective_s(settings).recip();
        let factor = RATE_CUT_FACTORS[self.consecutive_cuts.min(RATE_CUT_FACTORS.len() - 1)];
        self.consecutive_cuts += 1;
        // A burst must not wait at the usual rate; where one request carries many, one an objective will do.
        let recent = self.sent_recently.rate(now, RECENT_S, 0.0);
        let recent = match self.max_batch {
            _ if exhausted => 0.0,
            1 => recent.max(feedback.queued * per_objective),
            _ => recent.min(per_objective),
        };
        let demand = self.demand.rate(now, warm_up_s(settings), 0.0);
        // What is queued at all that were rejected adds up to many times a limit that many share.
        let burst = (MAX_BURST_REQUESTS * per_objective).max(self.served_rate);
        let most = feedback.advertised().map_or(f64::MAX, |_| burst);
        let recent = recent.max(demand).min(most).max(self.advertised_limit / instance_count(settings));
        let least = self.recovery_budget(now, settings, 0.0);
        self.rate = (factor * self.rate.min(recent)).max(least.min(self.rate));
        self.last_rate_cut = now;
    }
}
