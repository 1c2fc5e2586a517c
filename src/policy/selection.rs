//! Selection: which message to send next, by which route and to which endpoint.

use super::retry::TIMEOUT_LATENCY_MULTIPLE;
use crate::interface::{DestinationId, Effect, Endpoint, EndpointId, Group, Time, WeightSource};
use crate::policy_state::{
    warm_up_s, Candidate, EndpointRecord, Message, PolicyState, RouteId, SelectedMessage, WakeTime,
};
use std::time::Duration;

/// Round robin is used if an endpoint gets at least this many requests per idle time-out of connections:
/// about one connection in 400 then closes between two requests.
const MIN_ROUND_ROBIN_REQUESTS: f64 = 6.0;

/// Rank of an endpoint, compared field by field in this order; the lowest is chosen.
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

/// Rank of a message, compared field by field in this order; the highest is chosen.
#[derive(PartialEq, PartialOrd)]
struct MessageRank {
    fits_outage: bool,
    recovered_untried: bool,
    priority: f64,
}

impl PolicyState {
    /// The best message of a destination that may be sent now, with its route, its endpoint and its value per
    /// second of slot time. If there is none, `wake` receives the time at which there may be one.
    pub fn candidate_for(
        &mut self,
        now: Time,
        destination: DestinationId,
        wake: &mut WakeTime,
    ) -> Option<Candidate> {
        // Separate routes are compared by the rank of their best endpoint: working ones first, then the one
        // with the fewest requests in flight.
        let mut best: Option<Candidate> = None;
        for route in self.route_ids(destination) {
            let available_at = self.route_available_at(now, route);
            wake.no_later_than(available_at.filter(|at| *at > now));
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

    /// Prefers endpoints without failures, then those with the fewest requests in flight, then those in the
    /// zone of this instance; round robin decides ties.
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

    /// How far one request advances the round-robin position; weighted by the advertised limit if each
    /// endpoint has its own route.
    pub fn round_robin_step(&self, entry: &Endpoint) -> u64 {
        let per_endpoint = self.route_of(entry).endpoint.is_some();
        let weighted = per_endpoint && self.settings.weights != WeightSource::Ignored;
        ((1u64 << 32) as f64 / if weighted { entry.weight.max(0.1) } else { 1.0 }) as u64
    }

    /// Advances the round-robin position of an endpoint that is sent a request. One that was passed over
    /// (failing, remote, without an open connection) is owed one request, not all that it missed: otherwise
    /// all instances would send those to an endpoint that recovers. Whole steps keep its random offset.
    pub fn advance_round_robin(&mut self, now: Time, id: RouteId, to: EndpointId) {
        let front = self.round_robin_front(id.destination);
        let Some(endpoint) = self.endpoints.get_mut(&to) else { return };
        endpoint.advance_round_robin(front);
        let kind = endpoint.entry.kind;
        let pressure = self.has_connection_limit_pressure(kind);
        let Some(route) = self.routes.get_mut(&id) else { return };
        let demand = route.demand_per_endpoint(now, warm_up_s(&self.settings));
        let per_timeout = demand * self.settings.connection_idle_timeout.as_secs_f64();
        route.prefers_open_connection = pressure || per_timeout < MIN_ROUND_ROBIN_REQUESTS;
    }

    /// The waiting message of highest priority that may be sent now; a probe prefers a repeatable one.
    /// Messages that an earlier process accepted and never attempted go first, and only they may exceed the
    /// rate, when their deadline is near.
    pub fn select_message(&self, now: Time, id: RouteId, wake: &mut WakeTime) -> Option<SelectedMessage> {
        let route = self.routes.get(&id)?;
        let timeout = Duration::from_secs_f64(self.latency(id).scaled(TIMEOUT_LATENCY_MULTIPLE));
        let mut best = None;
        for message in self.queued_messages(id.destination) {
            let recovered_untried = message.is_recovered_untried();
            let limited = route.only_rate_limited;
            let earliest = if limited { message.submission.deadline - timeout } else { now };
            let at = self.sendable_at(now, message).filter(|_| recovered_untried || !limited);
            let at =
                at.filter(|_| self.select_endpoint(now, id, message).is_some()).map(|at| at.max(earliest));
            if at.is_none_or(|at| at > now) {
                wake.no_later_than(at);
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

    /// The best endpoint of a route; a retry stays inside its group.
    fn select_endpoint(&self, now: Time, id: RouteId, message: &Message) -> Option<EndpointId> {
        let class = self.class(message);
        let zone = match (class.effect, class.group, message.first_may_have_run) {
            (Effect::Keyed, Group::Zone, Some(first)) => Some(first.zone?),
            _ => None,
        };
        let is_eligible = |endpoint: &&EndpointRecord| {
            let accepts = endpoint.entry.state.accepts_new_requests();
            accepts && zone.is_none_or(|zone| endpoint.entry.zone == zone)
        };
        let endpoints = self.routes.get(&id)?.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        endpoints.filter(is_eligible).min_by_key(|e| self.endpoint_rank(now, e)).map(|e| e.entry.id)
    }
}
