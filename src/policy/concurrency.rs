//! Concurrency: when a route may take one more request, and which hanging request gives up its slot.

use super::rate_limiting::BURST_S;
use crate::interface::{Action, Time};
use crate::policy_state::{Call, PolicyState, RouteId, Spell};
use std::time::Duration;

/// An unsafe call gets so many times that patience before it is called off: what it carries is lost then.
pub(super) const UNSAFE_PATIENCE: u32 = 2;
/// Calls out to a destination in a spell, as a part of the free slots; one at least.
pub(super) const TRIAL_SLOTS: f64 = 0.25;

impl PolicyState {
    /// When a route may take one more call: now, later, or only after some outcome (none).
    pub(super) fn route_free_at(&mut self, now: Time, id: RouteId) -> Option<Time> {
        let stall = self.stall_patience(id);
        let slots_free = self.slots_free();
        let route = self.routes.get_mut(&id)?;
        let rate = route.pace(now, &self.settings);
        route.paced = false;
        if route.told_wait > now {
            return Some(route.told_wait);
        }
        // Hung destinations answer nothing: the silence itself opens the spell, long before a time-out would.
        let oldest = route.out.first().and_then(|call| self.calls.get(call)).map(|call| call.sent);
        if let (None, Some(sent)) = (&route.spell, oldest) {
            if now - sent.max(route.last_answer) > stall {
                let (began, next_trial) = (route.last_answer.min(sent), now + stall);
                route.spell = Some(Spell { began, next_trial, lost: true, ..Spell::default() });
            }
        }
        if let Some(spell) = &route.spell {
            // Trials that hang must not gather until they pin the slots of the healthy.
            let room = ((slots_free as f64 * TRIAL_SLOTS) as usize).max(1);
            return (route.out.len() < room).then_some(spell.next_trial);
        }
        // Bulkhead: no destination has more calls out than slots are left for all others.
        if !route.out.is_empty() && route.out.len() >= slots_free.max(1) {
            // Calls that hang at every destination fill all bulkheads while a few slots are free.
            self.pinned |= self.queues.get(&id.0).is_some_and(|queue| queue.len() > route.out.len());
            return None;
        }
        let burst = if route.returned.is_some() || route.gentle { 1.0 } else { (rate * BURST_S).max(1.0) };
        let passed = (now - route.filled).as_secs_f64();
        route.tokens = (route.tokens + passed * rate).min(burst);
        route.filled = now;
        route.bound = route.tokens < 1.0;
        route.paced = route.bound && route.returned.is_none();
        if route.bound {
            return Some(now + Duration::from_secs_f64(((1.0 - route.tokens) / rate).clamp(0.001, 10.0)));
        }
        Some(now)
    }

    /// All slots taken while messages wait: the oldest call that hangs is called off, an unsafe one later.
    /// Behind a full bulkhead only one that was overtaken: its route answers, so that it is lost with its
    /// connection; at a partner that hangs as a whole it may be answered yet.
    pub(super) fn free_pinned_slot(&mut self, now: Time) {
        let any = self.slots_free() == 0;
        let pinned = std::mem::take(&mut self.pinned) || any;
        if !self.settings.can_abandon || !pinned || self.open <= self.calls.len() {
            return;
        }
        let hanging = |call: &Call| {
            let mut carried = call.carried.iter().filter_map(|m| self.messages.get(m));
            let safe = carried.all(|m| self.repeatable(m));
            let patience = self.stall_patience(call.route) * if safe { 1 } else { UNSAFE_PATIENCE };
            let lost =
                any || self.routes.get(&call.route).is_some_and(|route| route.overtook(call, patience));
            !call.called_off && lost && now - call.sent > patience
        };
        let Some(id) = self.calls.iter().find(|(_, call)| hanging(call)).map(|(id, _)| *id) else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.called_off = true;
        for message in &call.carried {
            if let Some(m) = self.messages.get(message).filter(|m| m.out == Some(id)) {
                self.actions
                    .push(Action::AbandonAttempt { message: *message, attempt: (m.attempts - 1) as u16 });
            }
        }
    }
}
