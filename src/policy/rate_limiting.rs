//! Rate limiting: the rate that a route is sent at, its growth, its cuts, and the budget of a recovering one.

use crate::interface::{Settings, Time};
use crate::policy_state::{couriers, Route};
use std::time::Duration;

/// Calls a second where no limit was told: more than any courier sends, so that only a refusal sets a pace.
pub(super) const UNTOLD_RATE: f64 = 1e4;
/// Own demand counts towards the fall budget up to so many times what was served here before.
pub(super) const DEMAND_OF_SERVED: f64 = 1.5;
/// With fewer messages than this over a cold return's length a courier is light: what was served to it tells
/// nothing, and so many times its demand stands for its part, as its messages would run out untried.
pub(super) const LIGHT: f64 = 2.0;
pub(super) const LIGHT_DEMAND: f64 = 2.5;
/// After a refusal its next call comes by chance within so many calls of its pace more, for they are many.
pub(super) const LIGHT_SPREAD: f64 = 3.0;
/// Part of the fall budget that is used: refused calls, batches and chance need the rest.
pub(super) const FALL_BUDGET_USED: f64 = 0.8;
/// On `full` the rate falls to this part of what was sent of late, at most once in `CUT_EVERY`: twice without
/// a success, then to the part of the fall budget, as it may be an outage, or all may have to slow down.
pub(super) const RATE_CUTS: [f64; 3] = [0.75, 0.5, 0.0];
pub(super) const CUT_EVERY: Duration = Duration::from_millis(500);
/// Growth of a rate that binds with each answer, as a part of itself or of one call an aim.
pub(super) const RATE_GROWTH: f64 = 0.25;
/// A refusal with more than this share of the limit left, as told, is not for the limit.
pub(super) const ROOM_LEFT: f64 = 0.3;
/// A refusal with less than this share left is for a limit that is used up: a clump must wait too.
pub(super) const USED_UP: f64 = 0.05;
/// Weight of what follows a refusal in the risk that refused calls use up the limit (the next one finds
/// nothing left either), and the risk from which on a first refusal counts as such.
pub(super) const JAM_GAIN: f64 = 0.1;
pub(super) const JAMMED: f64 = 0.1;
/// Growth where the share of a limit that is left is told: to this use of it, if all do as this courier,
/// in so many aims (what is told is old, and where spans are counted all is left as each begins; one where
/// an even part is no call an aim), as if this share were used at least: one answer does not tell how little.
pub(super) const TOLD_USE: (f64, f64) = (0.1, 0.9);
pub(super) const TOLD_AIMS: f64 = 3.0;
/// Where a limit is told, what waits raises the pace after a refusal to so many calls an aim at most.
pub(super) const CLUMP_CALLS: f64 = 4.0;
/// What was sent of late: calls over about so many seconds.
pub(super) const LATE_S: f64 = 1.0;
/// Tokens that may be saved up, in seconds of the rate; one call at least.
pub(super) const BURST_S: f64 = 0.4;

impl Route {
    /// Whether this courier has too few messages here for a figure of its own (`LIGHT`).
    pub(super) fn is_light(&mut self, now: Time, settings: &Settings) -> bool {
        self.demand.rate(now, cold_s(settings), 0.0) * cold_s(settings) < LIGHT
    }

    /// Calls a second that this courier may send now.
    pub(super) fn pace(&mut self, now: Time, settings: &Settings) -> f64 {
        let warmth = self.returned.map_or(1.0, |since| (now - since).as_secs_f64() / cold_s(settings));
        if warmth >= 1.0 {
            self.returned = None;
            return self.rate;
        }
        self.fall_part(now, settings, warmth).min(self.rate)
    }

    /// This courier's part of what all may send together, a second, so that a destination survives a return;
    /// `warmth` runs from 0 to 1. It goes by what was served here before, which adds up to what the
    /// destination can do (demand does not: h1c8921), or by the even part. Trials, returns and cuts share it.
    pub(super) fn fall_part(&mut self, now: Time, settings: &Settings, warmth: f64) -> f64 {
        let demand = self.demand.rate(now, cold_s(settings), 0.0);
        let most = self.share * DEMAND_OF_SERVED;
        let own = if self.is_light(now, settings) { demand * LIGHT_DEMAND } else { demand.min(most) };
        let part = own.max(self.share).max(self.weight / couriers(settings));
        let share = settings.rules.warm_up_capacity + (1.0 - settings.rules.warm_up_capacity) * warmth;
        part * share * settings.rules.overload_multiple * FALL_BUDGET_USED
    }
}

/// How long a cold return lasts, in seconds.
pub(super) fn cold_s(settings: &Settings) -> f64 {
    settings.rules.warm_up_time.as_secs_f64().max(1.0)
}
