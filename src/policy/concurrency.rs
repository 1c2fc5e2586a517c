//! Concurrency: when a route may take one more request, and which stalled request gives up its slot.

use crate::interface::Time;
use crate::policy_state::{InFlightRequest, PolicyState, RouteId};

/// A request with an unsafe message is abandoned after so many stall time-outs: its messages are lost then.
const UNSAFE_STALL_TIMEOUTS: u32 = 2;
/// Requests in flight to a destination in an outage, as a part of the free slots; one at least.
const PROBE_SLOTS: f64 = 0.25;

impl PolicyState {
    /// When a route may take one more request: now, later, or only after some outcome (none).
    pub fn route_available_at(&mut self, now: Time, id: RouteId) -> Option<Time> {
        let stall_timeout = self.stall_timeout(id);
        let slots_free = self.slots_free();
        let route = self.routes.get_mut(&id)?;
        let rate = route.allowed_rate(now, &self.settings);
        route.only_rate_limited = false;
        if route.retry_after_until > now {
            return Some(route.retry_after_until);
        }
        let oldest = route.in_flight.first().and_then(|request| self.requests.get(request));
        route.open_silent_outage(now, oldest.map(|request| request.sent_at), stall_timeout);
        let in_flight = route.in_flight.len();
        if let Some(outage) = &route.outage {
            // Probes that hang must not gather until they pin the slots of the healthy.
            let most = ((slots_free as f64 * PROBE_SLOTS) as usize).max(1);
            return (in_flight < most).then_some(outage.next_probe);
        }
        // Bulkhead: no destination has more requests in flight than slots are left for all others.
        if in_flight > 0 && in_flight >= slots_free.max(1) {
            // Requests that hang at every destination fill all bulkheads while a few slots are free.
            self.slot_wanted |= self.queued(id.destination) > in_flight;
            return None;
        }
        Some(route.next_token_at(now, rate))
    }

    /// All slots taken while messages wait: the oldest stalled request is abandoned, an unsafe one later.
    /// Behind a full bulkhead only one that was overtaken: its route responds, so that it is lost with its
    /// connection; a partner that hangs as a whole may respond yet.
    pub fn abandon_stalled_request(&mut self, now: Time) {
        let slots_full = self.slots_free() == 0;
        let slot_wanted = std::mem::take(&mut self.slot_wanted) || slots_full;
        if !self.settings.can_abandon || !slot_wanted || self.open_messages <= self.requests.len() {
            return;
        }
        let hangs = |request: &InFlightRequest| {
            let mut messages = request.messages.iter().filter_map(|id| self.messages.get(id));
            let repeatable = messages.all(|message| self.is_repeatable(message));
            let factor = if repeatable { 1 } else { UNSAFE_STALL_TIMEOUTS };
            let timeout = self.stall_timeout(request.route) * factor;
            let route = self.routes.get(&request.route);
            let lost = slots_full || route.is_some_and(|route| route.overtook(request, timeout));
            !request.abandoned && lost && now - request.sent_at > timeout
        };
        let oldest = self.requests.iter().find(|(_, request)| hangs(request)).map(|(id, _)| *id);
        let Some(id) = oldest else { return };
        self.abandon(id);
    }
}
