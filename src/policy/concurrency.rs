//! Concurrency: when a route may take another request, and which stalled request is abandoned for its slot.

use crate::interface::Time;
use crate::policy_state::{InFlightRequest, PolicyState, RouteId};

/// A request with an unsafe message is abandoned only after this many stall time-outs, because abandoning it
/// loses its messages: they can't be sent again.
const UNSAFE_STALL_TIMEOUTS: u32 = 2;
/// Limit of requests in flight to a destination in an outage, as a fraction of the free slots; at least one.
const PROBE_SLOT_FRACTION: f64 = 0.25;

impl PolicyState {
    /// When a route may take another request: now, at a later time, or only after some outcome (`None`).
    pub fn route_available_at(&mut self, now: Time, id: RouteId) -> Option<Time> {
        let stall_timeout = self.stall_timeout(id);
        let slots_free = self.slots_free();
        let route = self.routes.get_mut(&id)?;
        let rate = route.allowed_rate(now, &self.settings);
        route.only_rate_limited = false;
        if route.retry_after_until > now {
            return Some(route.retry_after_until);
        }
        let before = route.health();
        let oldest = route.in_flight.first().and_then(|request| self.requests.get(request));
        route.open_silent_outage(now, oldest.map(|request| request.sent_at), stall_timeout);
        self.health_changes.record(now, id, before, route);
        let in_flight = route.in_flight.len();
        if let Some(outage) = &route.outage {
            // Otherwise hanging probes would accumulate until they occupy the slots of healthy destinations.
            let max_probes = ((slots_free as f64 * PROBE_SLOT_FRACTION) as usize).max(1);
            return (in_flight < max_probes).then_some(outage.next_probe);
        }
        if route.may_be_in_outage(now, &self.settings) {
            // One request at a time, as a burst would overload a destination that is warming up.
            if in_flight > 0 {
                return None;
            }
            let at = route.next_request_after_loss(now, &self.settings, self.rng.f64());
            if at > now {
                return Some(at);
            }
        }
        // Bulkhead: a destination may not have more requests in flight than slots remain for all others.
        if in_flight > 0 && in_flight >= slots_free.max(1) {
            // If requests hang at every destination, all bulkheads can be full while a few slots are free.
            self.slot_wanted |= self.queued(id.destination) > in_flight;
            return None;
        }
        Some(route.next_token_at(now, rate))
    }

    /// Abandons the oldest stalled request when all slots are taken while messages wait; one with an unsafe
    /// message only after a longer time. If only a bulkhead is full, the request must also be older than a
    /// later success of its route: the route responds, so the request was lost with its connection. A partner
    /// that hangs as a whole may still respond.
    pub fn abandon_stalled_request(&mut self, now: Time) {
        let slots_full = self.slots_free() == 0;
        let slot_wanted = std::mem::take(&mut self.slot_wanted) || slots_full;
        if !self.settings.can_abandon || !slot_wanted || self.open_messages <= self.requests.len() {
            return;
        }
        let is_abandonable = |request: &InFlightRequest| {
            let mut messages = request.messages.iter().filter_map(|id| self.messages.get(id));
            let repeatable = messages.all(|message| self.is_repeatable(message));
            let factor = if repeatable { 1 } else { UNSAFE_STALL_TIMEOUTS };
            let timeout = self.stall_timeout(request.route) * factor;
            let route = self.routes.get(&request.route);
            let lost = slots_full || route.is_some_and(|route| route.has_lost(request, timeout));
            !request.abandoned && lost && now - request.sent_at > timeout
        };
        let oldest = self.requests.iter().find(|(_, request)| is_abandonable(request)).map(|(id, _)| *id);
        let Some(id) = oldest else { return };
        self.abandon(id);
    }
}
