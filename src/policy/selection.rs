//! Selection: which message goes next, by which route, to which endpoint.

use super::retry::TIMEOUT_LATENCIES;
use crate::interface::{DestinationId, Effect, Endpoint, EndpointId, Group, Time, WeightSource};
use crate::policy_state::{
    warm_up_s, Candidate, EndpointRecord, Message, PolicyState, RouteId, SelectedMessage, WakeTime,
};
use std::time::Duration;

/// Round robin where an endpoint gets so many requests in an idle time-out of connections: one in 400 lapses.
const ROUND_ROBIN_REQUESTS: f64 = 6.0;

/// Rank of an endpoint, by its fields from first to last: the least is chosen.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EndpointRank {
    outage: bool,
    deprioritized: bool,
    requests_in_flight: usize,
    consecutive_failures: u32,
    remote: bool,
    connection_lapsed: bool,
    round_robin_position: u64,
}

/// Rank of a message, by its fields from first to last: the greatest is chosen.
#[derive(PartialEq, PartialOrd)]
struct MessageRank {
    fits_outage: bool,
    recovered_untried: bool,
    priority: f64,
}

impl PolicyState {
    /// The best message of a destination that may be sent now, by which route and endpoint, and its value for
    /// the time that a slot is taken; if none, `wake` is when that may be.
    pub fn candidate_for(&mut self, now: Time, to: DestinationId, wake: &mut WakeTime) -> Option<Candidate> {
        // Of separate routes the least used one that works goes first, as among the endpoints of a route.
        let mut best: Option<Candidate> = None;
        for route in self.route_ids(to) {
            let available_at = self.route_available_at(now, route);
            wake.by(available_at.filter(|at| *at > now));
            let only_rate_limited = self.routes.get(&route).is_some_and(|route| route.only_rate_limited);
            if available_at.is_none_or(|at| at > now) && !only_rate_limited {
                continue;
            }
            let Some(selected) = self.select_message(now, route, wake) else { continue };
            let message = self.messages.get(&selected.id);
            let endpoint = message.and_then(|message| self.select_endpoint(now, route, message));
            let Some(endpoint) = endpoint else { continue };
            let value_rate = selected.priority / self.latency(route).mean.max(0.001);
            let rank = |endpoint| self.endpoint_rank(now, &self.endpoints[&endpoint]);
            if best.as_ref().is_none_or(|best| rank(endpoint) < rank(best.endpoint)) {
                best = Some(Candidate { route, endpoint, message: selected.id, value_rate });
            }
        }
        best
    }

    /// Fewest requests in flight first, failing ones last, near before far; ties by round robin.
    fn endpoint_rank(&self, now: Time, endpoint: &EndpointRecord) -> EndpointRank {
        let route = self.routes.get(&self.route_of(&endpoint.entry));
        let idle_timeout = self.settings.connection_idle_timeout;
        let closed = endpoint.last_used.is_none_or(|used| now - used >= idle_timeout);
        EndpointRank {
            outage: route.is_some_and(|route| route.outage.is_some()),
            deprioritized: endpoint.deprioritized_until > now,
            requests_in_flight: endpoint.requests_in_flight,
            consecutive_failures: endpoint.consecutive_failures,
            remote: endpoint.entry.zone != self.settings.zone,
            connection_lapsed: closed && route.is_none_or(|route| route.prefers_open_connection),
            round_robin_position: endpoint.round_robin_position,
        }
    }

    /// How far one request moves an endpoint's position: that of a separate route by its advertised limit.
    pub fn round_robin_step(&self, entry: &Endpoint) -> u64 {
        let separate = self.route_of(entry).endpoint.is_some();
        let weighted = separate && self.settings.weights != WeightSource::Silent;
        ((1u64 << 32) as f64 / if weighted { entry.weight.max(0.1) } else { 1.0 }) as u64
    }

    /// An endpoint was sent a request. What was left out (failing, far, not open) owes one request, not all:
    /// those of all instances would meet at one that recovered. In whole steps, as its random start stays.
    pub fn advance_round_robin(&mut self, now: Time, id: RouteId, to: EndpointId) {
        let front = self.round_robin_front(id.destination);
        let Some(endpoint) = self.endpoints.get_mut(&to) else { return };
        endpoint.advance_round_robin(front);
        let kind = endpoint.entry.kind;
        let pressure = self.has_connection_limit_pressure(kind);
        let Some(route) = self.routes.get_mut(&id) else { return };
        let demand = route.demand_per_endpoint(now, warm_up_s(&self.settings));
        let per_timeout = demand * self.settings.connection_idle_timeout.as_secs_f64();
        route.prefers_open_connection = pressure || per_timeout < ROUND_ROBIN_REQUESTS;
    }

    /// The waiting message of highest priority that may go now. A probe goes by whether it may be repeated.
    /// What an earlier process left untried goes first, and alone beyond the rate when its time is nearly up.
    pub fn select_message(&self, now: Time, id: RouteId, wake: &mut WakeTime) -> Option<SelectedMessage> {
        let route = self.routes.get(&id)?;
        let usual = Duration::from_secs_f64(self.latency(id).scaled(TIMEOUT_LATENCIES));
        let mut best = None;
        for message in self.queued_messages(id.destination) {
            let recovered_untried = message.is_recovered_untried();
            let limited = route.only_rate_limited;
            let earliest = if limited { message.submission.deadline - usual } else { now };
            let at = self.sendable_at(now, message).filter(|_| recovered_untried || !limited);
            let at =
                at.filter(|_| self.select_endpoint(now, id, message).is_some()).map(|at| at.max(earliest));
            if at.is_none_or(|at| at > now) {
                wake.by(at);
                continue;
            }
            let fits_outage = route.outage.is_none() || self.is_repeatable(message);
            let rank = MessageRank { fits_outage, recovered_untried, priority: self.priority(now, message) };
            if best.as_ref().is_none_or(|(best, _)| rank > *best) {
                best = Some((rank, message.submission.id));
            }
        }
        best.map(|(rank, id)| SelectedMessage { id, priority: rank.priority })
    }

    /// The best endpoint of a route, inside the group of a retry.
    fn select_endpoint(&self, now: Time, id: RouteId, message: &Message) -> Option<EndpointId> {
        let class = self.class(message);
        let zone = match (class.effect, class.group, message.first_may_have_run) {
            (Effect::Keyed, Group::Zone, Some(first)) => Some(first.zone?),
            _ => None,
        };
        let fits = |endpoint: &&EndpointRecord| {
            let accepts = endpoint.entry.state.accepts_new_requests();
            accepts && zone.is_none_or(|zone| endpoint.entry.zone == zone)
        };
        let endpoints = self.routes.get(&id)?.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        endpoints.filter(fits).min_by_key(|e| self.endpoint_rank(now, e)).map(|e| e.entry.id)
    }
}
