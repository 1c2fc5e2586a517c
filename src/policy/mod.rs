//! The delivery policy: every decision of a gateway instance. The types of its events and actions are in
//! `interface`, and its in-memory state is in `policy_state`; neither makes decisions.

mod admission;
mod completion;
mod concurrency;
mod discovery;
mod dispatch;
mod health;
mod idle_connections;
mod priority;
mod rate_limiting;
mod retry;
mod selection;
mod stalled_requests;
mod unexplained_loss;

pub use retry::retry_window_end;

use crate::interface::{Action, Event, HealthChange, MessageId, Settings, Time};
use crate::policy_state::{shortest_objective_s, LatencyEstimate, PolicyState, WakeTime};

/// Latency assumed before the first response, as a fraction of the shortest latency objective.
const INITIAL_LATENCY_OBJECTIVES: f64 = 0.2;

/// The delivery policy of one gateway instance. It records events in [`DeliveryPolicy::on_event`] and makes
/// its decisions in [`DeliveryPolicy::next_actions`].
#[derive(Default)]
pub struct DeliveryPolicy {
    state: PolicyState,
}

impl DeliveryPolicy {
    /// Creates a policy that has received no events yet; `seed` is its only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let latency = shortest_objective_s(&settings) * INITIAL_LATENCY_OBJECTIVES;
        let overall_latency = LatencyEstimate { mean: latency, deviation: latency, samples: 0 };
        let rng = fastrand::Rng::with_seed(seed);
        DeliveryPolicy { state: PolicyState { settings, rng, overall_latency, ..PolicyState::default() } }
    }

    /// Records one event. Call [`DeliveryPolicy::next_actions`] after the last event of a batch.
    pub fn on_event(&mut self, now: Time, event: Event) {
        let state = &mut self.state;
        match event {
            Event::EndpointsUpdated(update) => state.on_endpoint_list(now, update),
            Event::Submitted(submission) => state.on_submitted(now, submission),
            Event::Restarted => state.on_restarted(now),
            Event::Recovered(submission, recovered) => state.on_recovered(now, submission, recovered),
            Event::AttemptCompleted(attempt) => state.on_attempt_completed(now, &attempt),
            Event::RetryAfter { endpoint, wait } => state.on_retry_after(now, endpoint, wait),
            Event::Cancelled(id) => state.complete(id),
            Event::TimerFired(token) => state.clear_timer(token),
            Event::FirstByte(_) | Event::ProbeCompleted { .. } | Event::PeerMessageReceived { .. } => {}
        }
    }

    /// Appends the actions that follow from all recorded events, in the order in which to execute them.
    pub fn next_actions(&mut self, now: Time, actions: &mut Vec<Action>) {
        let state = &mut self.state;
        let subscribe = state.subscribe_at.take_if(|at| *at <= now);
        state.actions.extend(subscribe.map(|_| Action::SubscribeEndpoints { active: true }));
        state.expire_due_messages(now);
        state.shed_load(now);
        let mut wake = WakeTime::default();
        state.mark_stalled_requests(now, &mut wake);
        state.dispatch_ready(now, &mut wake);
        state.abandon_stalled_request(now);
        state.close_excess_idle_connections(now);
        state.arm_timer(now, &wake);
        actions.append(&mut state.actions);
    }

    /// Takes the changes of health since the last call, the oldest first. If the caller does not take them,
    /// only the first few are kept.
    pub fn take_health_changes(&mut self) -> Vec<HealthChange> {
        self.state.health_changes.take()
    }

    /// Whether a scheduled request may still be sent: while it waits for its connection, a `Retry-After`, a
    /// drain or an outage may forbid it. Call this as late as possible before the first byte is written. If
    /// it returns false, complete the attempt as [`crate::AttemptOutcome::NotStarted`]; the message is
    /// retried.
    pub fn may_send_now(&self, now: Time, id: MessageId) -> bool {
        let state = &self.state;
        let Some(message) = state.messages.get(&id).filter(|message| !message.completed) else {
            return false;
        };
        let Some(request) = message.in_flight.and_then(|id| state.requests.get(&id)) else { return false };
        let endpoint = state.endpoints.get(&request.endpoint);
        let accepts = endpoint.is_some_and(|endpoint| endpoint.entry.state.accepts_scheduled_requests());
        let route = state.routes.get(&request.route);
        let blocked = route.is_none_or(|route| route.blocked_since(now, request));
        accepts && !blocked && now <= state.last_send_time(message)
    }
}
