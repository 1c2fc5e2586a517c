//! Admission and shedding: messages accepted, final answers, deadlines and load shedding.

use super::rate_limiting::cold_s;
use crate::interface::{
    Action, DestinationId, Effect, MessageId, RecoveredAttempts, Submission, TenantId, Time,
};
use crate::policy_state::{couriers, routes_of, Message, PolicyState, Route};
use std::time::Duration;

/// Part of a tenant's quota assumed to be this courier's, in even parts; traffic is not even.
pub(super) const QUOTA_PART: f64 = 1.25;
/// Share of the messages that may be held above which the least worth are shed.
pub(super) const SHED_ABOVE: f64 = 0.93;

impl PolicyState {
    pub(super) fn on_accept(&mut self, now: Time, taken: Submission) {
        let Some(class) = self.settings.classes.get(usize::from(taken.class.0)) else { return };
        // Where clients mark what they hand in again, a fresh one with little time left is not an old one.
        let fresh = self.settings.clients_mark_retries && !taken.resubmitted && !taken.from_lost_instance;
        let born = if fresh { now } else { (taken.deadline - class.deadline).min(now) };
        // A keyed message of a courier that died may have run there at any time since it was handed in.
        let may_have_run = taken.from_lost_instance && class.effect == Effect::Keyed;
        if let (true, Some(key)) = (class.ordered, taken.key) {
            self.keys.entry(key).or_default().push(taken.id);
        }
        self.deadlines.insert((taken.deadline, taken.id));
        self.queues.entry(taken.destination).or_default().push(taken.id);
        self.open += 1;
        let part = self.routes_to(taken.destination).recip();
        for (_, route) in self.routes.range_mut(routes_of(taken.destination)) {
            route.demand.rate(now, cold_s(&self.settings), part);
        }
        let mut message = Message::new(taken, born, now);
        message.over_share = self.is_over_share(now, message.taken.tenant);
        message.maybe_ran = may_have_run.then_some((born, None));
        self.messages.insert(message.taken.id, message);
    }

    /// A restart forgives nothing: attempts used stay used, the window runs from the first one that may have
    /// run, and a call that was out then lets its key rest. What can never go again is answered at once.
    pub(super) fn on_recovered(&mut self, now: Time, taken: Submission, past: RecoveredAttempts) {
        let (id, key, settle) = (taken.id, taken.key, self.settings.rules.key_cooldown);
        self.on_accept(now, taken);
        let Some(message) = self.messages.get_mut(&id) else { return };
        (message.born, message.attempts) = (past.submitted_at, past.attempts);
        (message.maybe_ran, message.left_untried) = (past.may_have_run, past.attempts == 0);
        self.rests.extend(key.filter(|_| past.last_attempt_open).map(|key| (key, now + settle)));
        let Some(message) = self.messages.get(&id) else { return };
        self.deadlines.insert((self.last_send(message).max(now).min(message.taken.deadline), id));
    }

    /// Whether a tenant is past its quota for all couriers together: what passes the part assumed to be this
    /// courier's, saved up over a cold return's length (a second's is under one message), counts as beyond.
    pub(super) fn is_over_share(&mut self, now: Time, tenant: TenantId) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant.0 as usize).map(|t| t.quota) else { return false };
        let part = (QUOTA_PART / couriers(&self.settings)).min(1.0);
        let most = quota * part * cold_s(&self.settings);
        let (left, since) = self.shares.entry(tenant).or_insert((most, now));
        *left = (*left + (now - *since).as_secs_f64() * quota * part).min(most);
        *since = now;
        let over = *left < 1.0;
        *left -= f64::from(!over);
        over
    }

    /// The final answer that a message may be given now; none while an attempt may still deliver it.
    pub(super) fn permitted_answer(&self, now: Time, id: MessageId) -> Option<Action> {
        let message = self.messages.get(&id).filter(|m| !m.closed)?;
        let refusable = match self.class(message).effect {
            Effect::Safe => true,
            _ => message.maybe_ran.is_none() && message.out.is_none(),
        };
        let busy =
            Action::Reject { message: id, retry_after: self.stay_away(now, message.taken.destination) };
        Some(if refusable { busy } else { Action::Fail { message: id } })
    }

    /// How long a client had better stay away: until this courier may next call the destination.
    pub(super) fn stay_away(&self, now: Time, to: DestinationId) -> Duration {
        let free = |r: &Route| r.told_wait.max(r.spell.as_ref().map_or(now, |spell| spell.next_trial));
        let soonest = self.routes.range(routes_of(to)).map(|(_, route)| free(route)).min();
        soonest.map_or(Duration::ZERO, |at| at - now).min(self.settings.max_retry_after.unwrap_or_default())
    }

    pub(super) fn answer(&mut self, now: Time, id: MessageId) {
        self.actions.extend(self.permitted_answer(now, id));
        self.close(id);
    }

    /// Every message has a deadline that answers it in time; one that is out is left half of the slack.
    pub(super) fn answer_due(&mut self, now: Time) {
        while let Some(&(due, id)) = self.deadlines.first().filter(|(due, _)| *due <= now) {
            self.deadlines.remove(&(due, id));
            let Some(message) = self.messages.get(&id).filter(|m| !m.closed) else { continue };
            let last_call = message.taken.deadline + self.settings.rules.answer_grace / 2;
            if message.out.is_some() && now < last_call {
                self.deadlines.insert((last_call, id));
            } else {
                self.answer(now, id);
            }
        }
    }

    /// Nearly full: what waits for the sick and the least worth go, before new messages are turned away.
    pub(super) fn shed(&mut self, now: Time) {
        let most = (self.settings.max_queued as f64 * SHED_ABOVE) as usize;
        while self.open > most {
            let sick = |to| self.routes.range(routes_of(to)).all(|(_, route)| route.spell.is_some());
            let free = |m: &&Message| !m.closed && m.out.is_none() && !m.is_left_untried();
            let waiting = self.messages.values().filter(free);
            let ranked = waiting.map(|m| (!sick(m.taken.destination), self.worth(now, m), m.taken.id));
            let least = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(b.2.cmp(&a.2)));
            let Some((.., id)) = least else { return };
            self.answer(now, id);
        }
    }
}
