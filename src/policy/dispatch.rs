//! Dispatch: assigns the free request slots.

use super::rate_limiting::RECENT_WINDOW_S;
use crate::interface::{EndpointId, MessageId, Time};
use crate::policy_state::{Candidate, InFlightRequest, PolicyState, RouteId, WakeTime};

impl PolicyState {
    /// Assigns each free slot to the waiting destination with the fewest requests in flight; ties go to the
    /// destination whose best message has the highest value per second of slot time. `wake` receives the time
    /// at which to try again.
    pub fn dispatch_ready(&mut self, now: Time, wake: &mut WakeTime) {
        let mut ready: Vec<Candidate> = Vec::new();
        if self.slots_free() > 0 {
            for destination in self.queues.keys().copied().collect::<Vec<_>>() {
                ready.extend(self.candidate_for(now, destination, wake));
            }
        }
        while self.slots_free() > 0 {
            let in_flight = |candidate: &Candidate| self.requests_in_flight_to(candidate.route.destination);
            let order = |a: &Candidate, b: &Candidate| {
                in_flight(a).cmp(&in_flight(b)).then(b.value_rate.total_cmp(&a.value_rate))
            };
            let Some(index) = (0..ready.len()).min_by(|a, b| order(&ready[*a], &ready[*b])) else { break };
            // Slots were taken since the candidate was chosen, so its route may no longer be available.
            let destination = ready.swap_remove(index).route.destination;
            let Some(candidate) = self.candidate_for(now, destination, wake) else { continue };
            self.send_request(now, candidate.route, candidate.endpoint, candidate.message);
            ready.extend(self.candidate_for(now, destination, wake));
        }
    }

    /// Sends one request with the selected message and, up to the batch limit, other messages that wait.
    fn send_request(&mut self, now: Time, id: RouteId, to: EndpointId, first: MessageId) {
        let connection_idle = self.prepare_connection(now, to, first);
        let Some(endpoint) = self.endpoints.get_mut(&to) else { return };
        endpoint.requests_in_flight += 1;
        let zone = endpoint.entry.zone;
        self.advance_round_robin(now, id, to);
        let Some(route) = self.routes.get_mut(&id) else { return };
        route.tokens -= f64::from(!route.only_rate_limited);
        route.sent_recently.rate(now, RECENT_WINDOW_S, 1.0);
        let (mut max_batch, is_probe) = (route.max_batch, route.outage.is_some());
        if let Some(outage) = &mut route.outage {
            outage.probes_sent += 1;
            // Rejected messages can be sent again, so without lost requests a probe may carry a full batch.
            max_batch = if outage.requests_lost { 1 } else { max_batch };
        }
        route.schedule_probe(now, &self.settings, self.rng.f64());
        let request = self.last_request.next();
        self.last_request = request;
        route.in_flight.insert(request);
        let (mut messages, mut next) = (Vec::new(), Some(first));
        while let Some(message) = next {
            let timeout = self.attempt_timeout(now, id, message);
            self.start_attempt(message, request, to, timeout);
            messages.push(message);
            let full = messages.len() == max_batch;
            next = if full {
                None
            } else {
                self.select_message(now, id, &mut WakeTime::default()).map(|m| m.id)
            };
        }
        let sent = InFlightRequest::new(id, to, zone, now, messages);
        self.requests.insert(request, InFlightRequest { connection_idle, is_probe, ..sent });
    }
}
