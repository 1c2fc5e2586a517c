//! Runs the policy and turns its actions into commands and changes of the engine's state.

use crate::command::Command;
use crate::message::{Attempt, FinalOutcome};
use crate::requests::{InFlightAttempt, RequestBatch};
use crate::state::{EndedAttempt, EngineState};
use cloverstile::{Action, AttemptOutcome, EndpointId, MessageId, Time};
use std::time::Duration;

/// Runs the policy until it has no events left to act on. An action may cause further events at once, such as a send
/// for which no slot is free.
pub(crate) fn run(state: &mut EngineState, now: Time) {
    while !state.sending_paused {
        state.notify_gate_changes(now);
        if !std::mem::take(&mut state.has_policy_events) {
            return;
        }
        let mut actions = Vec::new();
        state.policy.next_actions(now, &mut actions);
        let mut executor = ActionExecutor { state: &mut *state, now, batch: None };
        for action in actions {
            executor.execute(action);
        }
        executor.flush();
    }
}

/// Executes the actions that one call of the policy returned.
struct ActionExecutor<'a> {
    state: &'a mut EngineState,
    now: Time,
    /// The request that is being filled. Only consecutive sends share a request.
    batch: Option<RequestBatch>,
}

impl ActionExecutor<'_> {
    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { message, endpoint, timeout } => {
                let message = self.state.messages.id_by_policy_id(message);
                self.send(message, endpoint, timeout);
            }
            Action::Reject { message, retry_after } => {
                self.complete(message, FinalOutcome::Rejected(retry_after));
            }
            Action::Fail { message } => self.complete(message, FinalOutcome::Failed),
            Action::AbandonAttempt { message, attempt } => self.abandon(message, attempt),
            Action::SetTimer { after, token } => self.state.policy_timers.insert(self.now + after, token),
            Action::CloseIdle { endpoint } => {
                self.flush();
                self.state.commands.push(Command::CloseIdle { endpoint });
            }
            Action::Probe { endpoint } => self.state.commands.push(Command::Probe { endpoint }),
            Action::Log { text } => self.state.commands.push(Command::Log { text }),
            Action::SubscribeEndpoints { .. } | Action::RefreshEndpoints => {
                self.state.notify_endpoint_snapshot(self.now);
            }
            // Gateway instances do not communicate with each other.
            Action::SendPeerMessage { .. } => {}
        }
    }

    fn complete(&mut self, policy_id: MessageId, outcome: FinalOutcome) {
        let message = self.state.messages.id_by_policy_id(policy_id);
        self.state.complete(self.now, message, outcome);
    }

    fn abandon(&mut self, policy_id: MessageId, policy_attempt: u16) {
        let message = self.state.messages.id_by_policy_id(policy_id);
        let offset = self.state.messages.get(message).map_or(0, |record| record.policy_attempt_offset);
        if self.state.is_in_flight(Attempt { message, number: policy_attempt + offset }) {
            self.flush();
            self.state.abandon_attempt(self.now, message, AttemptOutcome::Abandoned);
        }
    }

    /// Emits the command for the request that is being filled, if there is one.
    fn flush(&mut self) {
        if let Some(RequestBatch { endpoint, attempts, .. }) = self.batch.take() {
            self.state.commands.push(Command::Send { endpoint, attempts });
        }
    }

    /// Adds an attempt to the request that is being filled, or to a new one. An attempt that can't be sent ends at once
    /// as unsent.
    fn send(&mut self, message: MessageId, endpoint: EndpointId, timeout: Duration) {
        let endpoint_accepts = self.state.endpoints.accepts_requests(endpoint, &*self.state.failover);
        self.flush_unless_batchable(endpoint);
        let has_slot =
            self.batch.is_some() || self.state.requests.len() < self.state.settings.concurrency_limit;
        let Some(record) = self.state.messages.get_mut(message) else { return };
        let may_attempt = record.may_attempt(&self.state.settings);
        let attempt = Attempt { message, number: record.attempts };
        record.attempts += 1;
        if endpoint_accepts && has_slot && may_attempt {
            self.add_to_batch(attempt, endpoint, timeout);
        } else {
            let (latency, result) = (Duration::ZERO, AttemptOutcome::Unsent.into());
            let ended = EndedAttempt { attempt, endpoint, latency, result };
            self.state.notify_attempt_ended(self.now, &ended);
        }
    }

    /// Flushes the request that is being filled if it is for another endpoint or has reached the `max_batch` of the
    /// endpoint's kind.
    fn flush_unless_batchable(&mut self, endpoint: EndpointId) {
        let kind = self.state.endpoints.get(endpoint).map(|endpoint| usize::from(endpoint.kind.0));
        let kind = kind.and_then(|kind| self.state.settings.kinds.get(kind));
        let max_batch = kind.map_or(1, |kind| kind.max_batch).max(1);
        let can_join = |batch: &RequestBatch| batch.endpoint == endpoint && batch.attempts.len() < max_batch;
        if !self.batch.as_ref().is_none_or(can_join) {
            self.flush();
        }
    }

    fn add_to_batch(&mut self, attempt: Attempt, endpoint: EndpointId, timeout: Duration) {
        let state = &mut *self.state;
        let is_new_request = self.batch.is_none();
        let batch = self.batch.get_or_insert_with(|| RequestBatch {
            request: state.requests.next_id(),
            endpoint,
            attempts: Vec::new(),
        });
        batch.attempts.push(attempt);
        let in_flight = InFlightAttempt {
            request: batch.request,
            endpoint,
            sent_at: self.now,
            deadline: self.now + timeout,
            started: true,
            held_response: None,
        };
        state.requests.add_attempt(attempt.message, &in_flight);
        if let Some(record) = state.messages.get_mut(attempt.message) {
            record.in_flight = Some(in_flight);
        }
        state.counters.attempts += 1;
        if let Some(endpoint) = state.endpoints.get(endpoint).filter(|_| is_new_request) {
            state.failover.on_request_sent(self.now, endpoint.destination);
        }
    }
}
