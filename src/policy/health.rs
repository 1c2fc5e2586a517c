//! Health: outages, transient failures, slow start and probes.

use super::rate_limiting::{
    cold_s, CLUMP_CALLS, CUT_EVERY, JAMMED, JAM_GAIN, LATE_S, LIGHT_SPREAD, RATE_CUTS, RATE_GROWTH,
    ROOM_LEFT, TOLD_AIMS, TOLD_USE, USED_UP,
};
use super::retry::{growing_gap, shortest_aim};
use crate::interface::{AttemptCompleted, AttemptOutcome, Settings, Time};
use crate::policy_state::{
    couriers, earliest, lean, Address, Call, Latency, PolicyState, Route, RouteId, Spell,
};
use std::time::Duration;

/// Least weight of the newest latency in the running mean; the first few weigh more.
pub(super) const LATENCY_GAIN: f64 = 0.15;
/// A call is stalled after so many latencies, and at least this part of the shortest aim: pauses pass by.
pub(super) const STALL_LATENCIES: f64 = 3.0;
pub(super) const STALL_AIM: f64 = 0.25;
/// First gap between trial calls, as a part of the fall window, and the longest one; both are jittered.
pub(super) const TRIAL_GAPS_OF_FALL: (f64, f64) = (0.1, 0.6);
/// Shortest part of a gap that chance may leave: who failed together must not come back together.
pub(super) const TRIAL_JITTER_FROM: f64 = 0.25;
/// A spell without success shorter than this part of the fall window needs no slow start.
pub(super) const BLIP_OF_FALL: f64 = 0.6;
/// Evidence that opens a spell, and what each outcome adds: a lost call, an error or no connection hints at
/// an outage (two in a row, as a light courier has few), single refusals are everyday life.
pub(super) const SPELL_AFTER: u32 = 6;
pub(super) const EVIDENCE_LOST: u32 = 3;
pub(super) const EVIDENCE_REFUSED: u32 = 1;

impl PolicyState {
    /// Health and pace of a route, from the outcome of one call.
    pub(super) fn learn(&mut self, now: Time, finished: &AttemptCompleted, call: &Call) {
        let patience = self.stall_patience(call.route);
        let (settings, chance) = (&self.settings, self.rng.f64());
        let waiting = self.queues.get(&call.route.0).map_or(0, Vec::len) as f64;
        let waiting = waiting / self.routes_to(call.route.0);
        let Some(route) = self.routes.get_mut(&call.route) else { return };
        let habits = self.habits.entry(route.kind).or_default();
        let told = finished.rate_limit.filter(|a| a.limit > 0.0);
        route.weight = told.map_or(route.weight, |a| a.limit);
        let left = told.map(|a| a.remaining.clamp(0.0, 1.0));
        let an_aim = shortest_aim(settings).recip();
        // A time-out is a sample too: else repeats would meet first calls still running in slow spells. Not
        // of one that was overtaken: it was lost with its connection, and would teach ever longer patience.
        let sample = match finished.outcome {
            AttemptOutcome::Ok => true,
            AttemptOutcome::Timeout | AttemptOutcome::Abandoned => !route.overtook(call, patience),
            _ => false,
        };
        if sample {
            if route.latency.samples == 0 {
                route.latency = Latency { samples: 0, ..self.usual };
            }
            route.latency.learn(finished.latency, LATENCY_GAIN);
        }
        // With a success since it was sent, a lost call says nothing of the route. Nor do errors and resets
        // while an endpoint is left that did not fail; silence does, as a hang mostly takes all.
        let sound = |a: &Address| a.entry.state.accepts_new_requests() && a.failures == 0;
        let alone = call.sent >= route.last_answer;
        let all_sick = alone && !route.endpoints.iter().filter_map(|id| self.addresses.get(id)).any(sound);
        let blip = settings.rules.overload_window.mul_f64(BLIP_OF_FALL);
        match finished.outcome {
            AttemptOutcome::Ok => {
                self.usual.learn(finished.latency, LATENCY_GAIN);
                let served = route.served.rate(now, cold_s(settings), 0.0);
                let sick = route.spell.is_some() || route.returned.is_some();
                route.share = if sick { served.max(route.share) } else { served };
                route.served.count += 1.0;
                // A destination that gave no success for a while may be cold: it gets a slow start. Couriers
                // that saw only the end of an outage are covered by counting from the last success.
                if route.spell.as_ref().is_some_and(|s| s.failed && now - s.began > blip) {
                    route.returned = Some(now);
                    route.tokens = 0.0;
                }
                if route.bound {
                    let growth = RATE_GROWTH * route.rate.min(an_aim);
                    // By the time that passed, not by the answer: what is left comes late, and hundreds that
                    // double with each answer stand far above it at once. Fewer share less than a call each.
                    let aims = ((now - route.last_answer).as_secs_f64() * an_aim).min(1.0);
                    let room = |left: f64| (TOLD_USE.1 / (1.0 - left).max(TOLD_USE.0)).max(1.0);
                    let slow = (TOLD_AIMS * route.weight / an_aim / couriers(settings)).clamp(1.0, TOLD_AIMS);
                    let told_growth = |left| route.rate * (room(left).powf(aims / slow) - 1.0);
                    route.rate += left.map_or(growth, told_growth);
                }
                if route.cuts > 0 {
                    lean(&mut habits.jam, 0.0, JAM_GAIN);
                }
                route.spell = None;
                (route.evidence, route.cuts) = (0, 0);
                route.last_answer = now;
                return;
            }
            // Shut, and told until when: all whom the door refused come back at one moment. So the slow start
            // begins there, by chance inside a call of its pace, with nothing saved behind the door.
            AttemptOutcome::Rejected(Some(wait)) if wait > blip => {
                (route.spell, route.returned) = (None, Some(route.told_wait));
                (route.filled, route.tokens) = (route.told_wait, chance);
                return;
            }
            AttemptOutcome::Rejected(_) => {
                // Refused though there is room inside the limit: it is shut or hangs with its queue full.
                let room = left.is_some_and(|left| left > ROOM_LEFT);
                let used_up = left.is_some_and(|left| left < USED_UP);
                if route.cuts > 0 {
                    lean(&mut habits.jam, f64::from(used_up), JAM_GAIN);
                }
                let used_up = used_up && (route.cuts > 0 || habits.jam > JAMMED);
                // Without any limit a refusal tells of a full queue or an outage: no clump may go on.
                let used_up = used_up || finished.rate_limit.is_some_and(|a| a.limit <= 0.0);
                route.evidence += if room { EVIDENCE_LOST } else { EVIDENCE_REFUSED };
                if now - route.last_cut > CUT_EVERY {
                    let cut = RATE_CUTS[route.cuts.min(RATE_CUTS.len() - 1)];
                    route.cuts += 1;
                    // A clump must not wait at usual pace; where one call carries many, one an aim will do.
                    let late = route.sent.rate(now, LATE_S, 0.0).max(waiting * an_aim);
                    let late = match route.batch {
                        _ if used_up => 0.0,
                        1 => late,
                        _ => route.sent.rate(now, LATE_S, 0.0).min(an_aim),
                    };
                    let own = route.demand.rate(now, cold_s(settings), 0.0);
                    // What waits at all who were refused adds up to many times a limit that many share.
                    let most = told.map_or(f64::MAX, |_| (CLUMP_CALLS * an_aim).max(route.share));
                    let late = late.max(own).min(most).max(route.weight / couriers(settings));
                    let slowest = route.fall_part(now, settings, 0.0);
                    route.rate = (cut * route.rate.min(late)).max(slowest.min(route.rate));
                    route.last_cut = now;
                }
                // By chance, as all that were refused together would come back together.
                let spread = if route.is_light(now, settings) { LIGHT_SPREAD } else { 1.0 };
                route.tokens = route.tokens.min(-chance * spread);
            }
            // A pace set since was meant for what is still to go.
            AttemptOutcome::NotStarted => return route.tokens += f64::from(!route.changed_since(now, call)),
            AttemptOutcome::Error | AttemptOutcome::Reset if all_sick => route.evidence += EVIDENCE_LOST,
            AttemptOutcome::Error | AttemptOutcome::Reset | AttemptOutcome::Unsent => {}
            _ if alone => route.evidence += EVIDENCE_LOST,
            _ => {}
        }
        if route.evidence >= SPELL_AFTER || (route.spell.is_some() && route.evidence >= EVIDENCE_LOST) {
            let spell = route.spell.get_or_insert(Spell { began: route.last_answer, ..Spell::default() });
            spell.failed = true;
            spell.lost |= !matches!(finished.outcome, AttemptOutcome::Rejected(_));
            route.plan_trial(now, settings, chance);
            route.returned = None;
        }
    }

    /// Marks the calls that have been silent for too long, and says when the next one will have been.
    pub(super) fn note_stalls(&mut self, now: Time) -> Option<Time> {
        let mut next = None;
        for id in self.calls.iter().filter(|(_, call)| !call.stalled).map(|(id, _)| *id).collect::<Vec<_>>() {
            let at = self.calls[&id].sent + self.stall_patience(self.calls[&id].route);
            if at > now {
                earliest(&mut next, Some(at));
            } else if let Some(call) = self.calls.get_mut(&id) {
                call.stalled = true;
                let idle = call.idle;
                self.learn_of_idle(now, idle, true, false);
            }
        }
        next
    }

    pub(super) fn stall_patience(&self, id: RouteId) -> Duration {
        let usual = self.latency(id).times(STALL_LATENCIES);
        Duration::from_secs_f64(usual.max(shortest_aim(&self.settings) * STALL_AIM))
    }
}

impl Route {
    /// Whether a wait was told, or an outage was seen or ended, since a call was decided on.
    pub(super) fn changed_since(&self, now: Time, call: &Call) -> bool {
        let lost = !call.trial && self.spell.as_ref().is_some_and(|spell| spell.failed);
        lost || self.told_wait > now || self.returned.is_some_and(|at| at > call.sent)
    }

    /// Whether a success came on the route beyond the patience with a call: it answers, and the call is lost.
    pub(super) fn overtook(&self, call: &Call, patience: Duration) -> bool {
        self.last_answer > call.sent + patience
    }

    /// Sets when the next trial call of a spell may go: at growing, jittered gaps, and by this courier's part
    /// of the fall budget; trials that are refused can also use up a small limit by themselves (i2aa64d).
    pub(super) fn plan_trial(&mut self, now: Time, settings: &Settings, chance: f64) {
        // Chance without memory: the trials of light couriers add up to the budget, however they began.
        let jitter = TRIAL_JITTER_FROM + chance * (1.0 - TRIAL_JITTER_FROM);
        let part = self.fall_part(now, settings, 0.0).max(0.001);
        let drawn = if self.is_light(now, settings) { -chance.max(0.01).ln() } else { jitter };
        let own = Duration::from_secs_f64(drawn / part);
        let Some(spell) = &mut self.spell else { return };
        let gap = growing_gap(settings.rules.overload_window, TRIAL_GAPS_OF_FALL, spell.trials);
        // Behind a told wait no gap runs out: who waits together must not come back together.
        spell.next_trial = now.max(self.told_wait) + gap.mul_f64(jitter).max(own);
    }
}
