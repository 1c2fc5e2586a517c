//! Requests of gateways at the fake endpoints, from their arrival to the response.

use super::endpoints::{encode_response, EndpointRequest};
use super::faults::SLOW_PATH_DELAY;
use super::harness_state::HarnessState;
use super::invariants::FinalOutcome;
use super::timers::Timer;
use cloverstile_fakes::model::Reply;
use cloverstile_http::Message;
use cloverstile_load_metrics::{Call, Outcome};
use cloverstile_net::ConnId;
use std::time::Duration;

impl HarnessState<'_> {
    /// A whole request has reached an endpoint.
    pub(super) fn on_endpoint_request(
        &mut self,
        now: Duration,
        connection: ConnId,
        endpoint: usize,
        http: &Message,
    ) {
        let id = http.headers.get("req-id").and_then(|id| usize::from_str_radix(id, 16).ok());
        let tracked = id.and_then(|id| self.tracker.message(id).map(|message| (id, message.gateway)));
        let Some((message, gateway)) = tracked else {
            // A message that no client submitted.
            self.tracker.audit().repeated_effects += 1;
            return self.net.close(connection);
        };
        let partner = self.sites.endpoints[endpoint].partner;
        self.tracker.on_request(now, message, endpoint, self.has_own_limit(endpoint));
        let reached = self.sites.handle_request(now, endpoint, &message.to_string());
        let (reply, respond_at) = (reached.decision.reply, reached.decision.respond_at);
        let may_have_run = !matches!(reply, Reply::Rejected(_));
        self.tracker.on_processed(now, message, may_have_run, reached.decision.takes_effect);
        let call = Call {
            at: now,
            endpoint,
            instance: gateway as u32,
            outcome: reached.outcome(),
            response_time: respond_at.map_or(Duration::ZERO, |at| at.saturating_sub(now)),
        };
        let recorded = self.tracker.run.record.calls.len();
        self.tracker.run.record.calls.push(call);
        let request = self.requests.len();
        self.requests.push(EndpointRequest {
            connection,
            endpoint,
            message,
            recorded,
            reply,
            advertised_limit: reached.advertised_limit,
            in_service: respond_at.is_some_and(|at| at > now),
            completed: false,
        });
        self.servers.set_request(connection, Some(request));
        let is_first = self.sites.partners[partner].endpoints.first() == Some(&endpoint);
        let delay =
            if is_first && gateway < self.delayed_gateways { SLOW_PATH_DELAY } else { Duration::ZERO };
        match respond_at {
            Some(at) if at + delay > now => self.timers.schedule(at + delay, Timer::Response { request }),
            Some(_) => self.respond(now, request),
            None => {}
        }
    }

    /// Writes the response to a request, unless its connection has closed.
    pub(super) fn respond(&mut self, now: Duration, request: usize) {
        let Some(EndpointRequest { connection, endpoint, message, reply, advertised_limit, .. }) =
            self.complete_request(request)
        else {
            return;
        };
        self.servers.set_request(connection, None);
        self.net.send(connection, &encode_response(reply, advertised_limit));
        self.tracker.on_request_completed(now, message);
        match reply {
            Reply::Processed => self.tracker.on_final_outcome(now, message, FinalOutcome::Delivered),
            Reply::Rejected(Some(wait)) => {
                let own_limit = self.has_own_limit(endpoint);
                self.tracker.on_retry_after(now, message, endpoint, own_limit, wait);
            }
            Reply::Rejected(None) | Reply::Error | Reply::Truncated | Reply::Reset => {}
        }
    }

    /// A gateway abandoned a request: its connection closed before the response.
    pub(super) fn on_request_abandoned(&mut self, now: Duration, request: usize) {
        if let Some(EndpointRequest { message, recorded, .. }) = self.complete_request(request) {
            self.tracker.run.record.calls[recorded].outcome = Outcome::Failed;
            self.tracker.on_request_completed(now, message);
        }
    }

    /// Ends a request and frees its server; none if it had ended before.
    fn complete_request(&mut self, request: usize) -> Option<EndpointRequest> {
        let request = &mut self.requests[request];
        if std::mem::replace(&mut request.completed, true) {
            return None;
        }
        if request.in_service {
            self.sites.on_response_sent(request.endpoint);
        }
        Some(*request)
    }

    /// Whether an endpoint has a limit of its own, in place of a share of its partner's.
    fn has_own_limit(&self, endpoint: usize) -> bool {
        let partner = self.sites.endpoints[endpoint].partner;
        self.sites.partners[partner].spec.limit_per_endpoint
    }
}
