//! Selection: which message goes next, and to which endpoint of its destination.

use super::idle_connections::CROWDED;
use super::rate_limiting::cold_s;
use super::retry::TIMEOUT_LATENCIES;
use crate::interface::{DestinationId, Effect, Endpoint, EndpointId, Group, MessageId, Time, WeightSource};
use crate::policy_state::{earliest, routes_of, Address, Candidate, Message, PolicyState, RouteId};
use std::time::Duration;

/// Endpoints take turns where each is called so often while an idle connection lasts: one in 400 lapses.
pub(super) const TURN_CALLS: f64 = 6.0;

impl PolicyState {
    /// The best message of a destination that may be sent now, by which route and endpoint, and its worth for
    /// the time that a slot is taken; if none, `next` tells when that may be.
    pub(super) fn candidate(
        &mut self,
        now: Time,
        to: DestinationId,
        next: &mut Option<Time>,
    ) -> Option<Candidate> {
        // Of routes apart the least used one that works goes first, as among the endpoints of a route.
        let mut best: Option<Candidate> = None;
        for route in self.routes.range(routes_of(to)).map(|(id, _)| *id).collect::<Vec<_>>() {
            let free = self.route_free_at(now, route);
            earliest(next, free.filter(|at| *at > now));
            let paced = self.routes.get(&route).is_some_and(|route| route.paced);
            if free.is_none_or(|at| at > now) && !paced {
                continue;
            }
            let Some((message, worth)) = self.pick(now, route, next) else { continue };
            let chosen = self.messages.get(&message).and_then(|m| self.address_for(now, route, m));
            let Some(endpoint) = chosen else { continue };
            let takes = self.latency(route).mean.max(0.001);
            let order = |endpoint| self.order_of(now, &self.addresses[&endpoint]);
            if best.is_none_or(|(_, least, ..)| order(endpoint) < order(least)) {
                best = Some((route, endpoint, message, worth / takes));
            }
        }
        best
    }

    /// Fewest calls out first, sick ones last, near before far; ties in turn, from a start of its own.
    pub(super) fn order_of(&self, now: Time, a: &Address) -> (bool, bool, usize, u32, bool, bool, u64) {
        let route = self.routes.get(&self.route_of(&a.entry));
        let spell = route.is_some_and(|route| route.spell.is_some());
        let far = a.entry.zone != self.settings.zone;
        let closed = |idle| a.used.is_none_or(|used| now - used >= idle);
        let lapsed = route.is_none_or(|route| route.stays) && closed(self.settings.connection_idle_timeout);
        (spell, a.avoid_until > now, a.calls_out, a.failures, far, lapsed, a.turn)
    }

    /// How far one call moves an endpoint's turn on: routes apart have turns by their told limits.
    pub(super) fn turn_of(&self, entry: &Endpoint) -> u64 {
        let apart = self.route_of(entry).1.is_some() && self.settings.weights != WeightSource::Silent;
        ((1u64 << 32) as f64 / if apart { entry.weight.max(0.1) } else { 1.0 }) as u64
    }

    /// How far the turns at a destination are: where its latest call went. What is new begins there.
    pub(super) fn turns_taken(&self, to: DestinationId) -> u64 {
        let of = self.routes.range(routes_of(to)).flat_map(|(_, route)| &route.endpoints);
        let taken = |a: &Address| a.turn.saturating_sub(self.turn_of(&a.entry));
        of.filter_map(|endpoint| self.addresses.get(endpoint)).map(taken).max().unwrap_or(0)
    }

    /// An endpoint had its turn. What was left out (sick, far, not open) owes one call, not all: everybody's
    /// next calls would meet at one that came back. In whole turns, as its own start stays.
    pub(super) fn take_turn(&mut self, now: Time, id: RouteId, to: EndpointId) {
        let taken = self.turns_taken(id.0);
        let Some(entry) = self.addresses.get(&to).map(|a| a.entry.clone()) else { return };
        let turn = self.turn_of(&entry);
        let crowded = self.habits.get(&entry.kind).is_some_and(|h| h.crowding > CROWDED);
        let (Some(address), Some(route)) = (self.addresses.get_mut(&to), self.routes.get_mut(&id)) else {
            return;
        };
        address.turn += turn * (1 + taken.saturating_sub(address.turn + turn).div_ceil(turn.max(1)));
        let calls = route.demand.rate(now, cold_s(&self.settings), 0.0) / route.endpoints.len() as f64;
        route.stays = crowded || calls * self.settings.connection_idle_timeout.as_secs_f64() < TURN_CALLS;
    }

    /// The waiting message of most worth that may go now. A trial goes by whether it may be repeated. What an
    /// earlier process left untried goes first, and it alone past the pace, when its time is nearly up.
    pub(super) fn pick(&self, now: Time, id: RouteId, next: &mut Option<Time>) -> Option<(MessageId, f64)> {
        let route = self.routes.get(&id)?;
        let usual = Duration::from_secs_f64(self.latency(id).times(TIMEOUT_LATENCIES));
        let mut best: Option<((bool, bool, f64), MessageId)> = None;
        for message in self.queues.get(&id.0).into_iter().flatten().filter_map(|m| self.messages.get(m)) {
            let untried = message.is_left_untried();
            let last = if route.paced { message.taken.deadline - usual } else { now };
            let at = self.sendable_at(now, message).filter(|_| untried || !route.paced);
            let at = at.filter(|_| self.address_for(now, id, message).is_some()).map(|at| at.max(last));
            if at.is_none_or(|at| at > now) {
                earliest(next, at);
                continue;
            }
            let fit = route.spell.is_none() || self.repeatable(message);
            let order = (fit, untried, self.worth(now, message));
            if best.is_none_or(|(best, _)| order > best) {
                best = Some((order, message.taken.id));
            }
        }
        best.map(|((.., worth), id)| (id, worth))
    }

    /// The best address of a route, inside the group of a repeat.
    pub(super) fn address_for(&self, now: Time, id: RouteId, message: &Message) -> Option<EndpointId> {
        let class = self.class(message);
        let zone = match (class.effect, class.group, message.maybe_ran) {
            (Effect::Keyed, Group::Zone, Some((_, zone))) => Some(zone?),
            _ => None,
        };
        let of = self.routes.get(&id)?.endpoints.iter().filter_map(|endpoint| self.addresses.get(endpoint));
        let fit =
            |a: &&Address| a.entry.state.accepts_new_requests() && zone.is_none_or(|z| a.entry.zone == z);
        of.filter(fit).min_by_key(|a| self.order_of(now, a)).map(|a| a.entry.id)
    }
}
