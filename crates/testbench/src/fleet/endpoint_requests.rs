//! Handling of gateway requests at the fake endpoints, from arrival to response.

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
    /// Handles a complete request: tracks and records it, and responds now or schedules the response.
    pub(super) fn on_endpoint_request(
        &mut self,
        now: Duration,
        connection: ConnId,
        endpoint: usize,
        http: &Message,
    ) {
        let id = http.headers.get("req-id").and_then(|id| usize::from_str_radix(id, 16).ok());
        let tracked_message = id.and_then(|id| self.tracker.message(id).map(|message| (id, message.gateway)));
        let Some((message, gateway)) = tracked_message else {
            // No client submitted this message, so the request counts as a repeated effect.
            self.tracker.violations_mut().repeated_effects += 1;
            return self.net.close(connection);
        };
        let partner = self.model.endpoints[endpoint].partner;
        self.tracker.on_request(now, message, endpoint, self.has_own_limit(endpoint));
        let response = self.model.handle_request(now, endpoint, &message.to_string());
        let (reply, respond_at) = (response.decision.reply, response.decision.respond_at);
        let may_have_run = !matches!(reply, Reply::Rejected(_));
        self.tracker.on_processed(now, message, may_have_run, response.decision.takes_effect);
        let call = Call {
            at: now,
            endpoint,
            instance: gateway as u32,
            outcome: response.outcome(),
            response_time: respond_at.map_or(Duration::ZERO, |at| at.saturating_sub(now)),
        };
        let record_index = self.tracker.run.record.calls.len();
        self.tracker.run.record.calls.push(call);
        let request = self.requests.len();
        self.requests.push(EndpointRequest {
            connection,
            endpoint,
            message,
            record_index,
            reply,
            advertised_limit: response.advertised_limit,
            in_service: respond_at.is_some_and(|at| at > now),
            completed: false,
        });
        self.servers.set_request(connection, Some(request));
        let is_first = self.model.partners[partner].endpoints.first() == Some(&endpoint);
        let delay =
            if is_first && gateway < self.delayed_gateways { SLOW_PATH_DELAY } else { Duration::ZERO };
        match respond_at {
            Some(at) if at + delay > now => self.timers.schedule(at + delay, Timer::Response { request }),
            Some(_) => self.respond(now, request),
            None => {}
        }
    }

    /// Sends the response to a request, unless its connection has closed, and tracks the final outcome or `Retry-After`
    /// that the response conveys.
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

    /// Records a request as failed because the gateway closed the connection before the response.
    pub(super) fn on_request_abandoned(&mut self, now: Duration, request: usize) {
        if let Some(EndpointRequest { message, record_index, .. }) = self.complete_request(request) {
            self.tracker.run.record.calls[record_index].outcome = Outcome::Failed;
            self.tracker.on_request_completed(now, message);
        }
    }

    /// Marks a request as completed and frees the server that it occupies; `None` if it was already completed.
    fn complete_request(&mut self, request: usize) -> Option<EndpointRequest> {
        let request = &mut self.requests[request];
        if std::mem::replace(&mut request.completed, true) {
            return None;
        }
        if request.in_service {
            self.model.on_response_sent(request.endpoint);
        }
        Some(*request)
    }

    /// Whether an endpoint has its own limit instead of sharing the limit of its partner.
    fn has_own_limit(&self, endpoint: usize) -> bool {
        let partner = self.model.endpoints[endpoint].partner;
        self.model.partners[partner].spec.limit_per_endpoint
    }
}
