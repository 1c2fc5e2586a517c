//! The engine's state and the operations that involve several of its parts: policy events, ends of attempts and final
//! outcomes.

use crate::command::Command;
use crate::deadlines::DeadlineQueue;
use crate::endpoint_table::EndpointTable;
use crate::message::{Attempt, FinalOutcome, SubmitRequest};
use crate::message_record::MessageRecord;
use crate::message_table::MessageTable;
use crate::migration::{Migration, MigrationResult, TierQueues};
use crate::requests::RequestsInFlight;
use crate::results::{Counters, ResultCache, ResultCacheLimits};
use cloverstile::{
    AttemptCompleted, AttemptOutcome, DeliveryPolicy, EndpointId, EndpointListUpdate, Event, MessageId,
    RateLimitStatus, Settings, Time,
};
use cloverstile_failover::{FailoverPlanner, FailoverPolicy, RequestResult};
use std::time::Duration;

/// Fraction of [`cloverstile::Rules::outcome_grace`] after a message's deadline at which the engine completes the
/// message itself. The policy completes it by half of the grace period, so that this is only a fallback.
const FALLBACK_GRACE_RATIO: f64 = 0.75;

/// The outcome of an attempt and the rate limit status that came with it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptResult {
    pub outcome: AttemptOutcome,
    /// The rate limit status that the partner sent, if any.
    pub rate_limit: Option<RateLimitStatus>,
}

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> Self {
        AttemptResult { outcome, rate_limit: None }
    }
}

/// An attempt that ended, with the details reported to the delivery policy and the failover policy.
pub(crate) struct EndedAttempt {
    pub attempt: Attempt,
    pub endpoint: EndpointId,
    /// Time from sending to the end of the attempt.
    pub latency: Duration,
    pub result: AttemptResult,
}

/// The complete state of an engine, apart from its shutdown deadline.
pub(crate) struct EngineState {
    pub settings: Settings,
    pub policy: DeliveryPolicy,
    pub failover: Box<dyn FailoverPolicy>,
    pub messages: MessageTable,
    pub tier_queues: TierQueues,
    pub requests: RequestsInFlight,
    /// When the engine completes each pending message itself if the policy has not done so.
    pub fallback_completions: DeadlineQueue<MessageId>,
    pub results: ResultCache,
    /// Tokens of the timers that the policy has set, by expiry.
    pub policy_timers: DeadlineQueue<u64>,
    pub endpoints: EndpointTable,
    pub commands: Vec<Command>,
    pub counters: Counters,
    pub sending_paused: bool,
    /// The policy has received an event that it has not acted on yet.
    pub has_policy_events: bool,
}

impl EngineState {
    /// Creates the state of an engine without messages; `seed` is the policy's only source of randomness.
    pub fn new(settings: Settings, cache_limits: ResultCacheLimits, seed: u64) -> Self {
        EngineState {
            policy: DeliveryPolicy::new(settings.clone(), seed),
            settings,
            failover: Box::new(FailoverPlanner::default()),
            messages: MessageTable::default(),
            tier_queues: TierQueues::default(),
            requests: RequestsInFlight::default(),
            fallback_completions: DeadlineQueue::default(),
            results: ResultCache::new(cache_limits),
            policy_timers: DeadlineQueue::default(),
            endpoints: EndpointTable::default(),
            commands: Vec::new(),
            counters: Counters::default(),
            sending_paused: false,
            has_policy_events: false,
        }
    }

    // ---- Events for the policy ----

    pub fn notify_policy(&mut self, now: Time, event: Event) {
        self.has_policy_events = true;
        self.policy.on_event(now, event);
    }

    /// Sends the policy the whole endpoint list, with the recovery gates applied.
    pub fn notify_endpoint_snapshot(&mut self, now: Time) {
        let endpoints = self.endpoints.policy_view(&*self.failover);
        self.notify_policy(now, Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints)));
    }

    /// Sends the policy the endpoints whose recovery gate opened, closed or was removed.
    pub fn notify_gate_changes(&mut self, now: Time) {
        let changed = self.failover.update_gates(now);
        if !changed.is_empty() {
            let endpoints = self.endpoints.policy_view_of(&changed, &*self.failover);
            self.notify_policy(now, Event::EndpointsUpdated(EndpointListUpdate::Delta(endpoints)));
        }
    }

    // ---- Messages and their tiers ----

    /// Adds a message to the table and schedules its fallback completion.
    pub fn insert(&mut self, request: &SubmitRequest) -> MessageId {
        let id = self.messages.insert(request);
        self.counters.submitted += 1;
        self.fallback_completions.insert(self.fallback_completion_time(request.deadline), id);
        id
    }

    /// Selects the tier of a new message.
    pub fn assign_tier(&mut self, now: Time, id: MessageId) {
        let result = self.migration(now).assign(id);
        self.apply_migration(now, result);
    }

    /// Selects a tier again for messages that wait for a tier that is down.
    pub fn reassign_waiting(&mut self, now: Time) {
        let result = self.migration(now).reassign_waiting();
        self.apply_migration(now, result);
    }

    fn migration(&mut self, now: Time) -> Migration<'_> {
        Migration::new(now, &self.settings, &mut *self.failover, &mut self.messages, &mut self.tier_queues)
    }

    fn apply_migration(&mut self, now: Time, result: MigrationResult) {
        self.counters.relocated += result.relocated;
        for event in result.policy_events {
            self.notify_policy(now, event);
        }
    }

    // ---- Attempts ----

    /// Whether this attempt was sent and has not ended.
    pub fn is_in_flight(&self, attempt: Attempt) -> bool {
        let record = self.messages.get(attempt.message);
        record.is_some_and(|record| record.in_flight.is_some() && record.attempts == attempt.number + 1)
    }

    /// Ends the attempt in flight of a message and tells the gateway to close its connection. If a response was read, the
    /// attempt ends with that response in place of `outcome`.
    pub fn abandon_attempt(&mut self, now: Time, message: MessageId, outcome: AttemptOutcome) {
        let record = self.messages.get(message);
        let number = record.map_or(0, MessageRecord::last_attempt_number);
        let in_flight = record.and_then(|record| record.in_flight);
        let started = in_flight.is_none_or(|attempt| attempt.started);
        self.commands.push(Command::Abandon { attempt: Attempt { message, number }, started });
        if let Some(held) = in_flight.and_then(|attempt| attempt.held_response) {
            return self.finish_attempt(now, message, held.attempt_outcome().into());
        }
        // An attempt that was not started has had no effect. Reporting it as such keeps a message whose connection was
        // never established from ending as one that may have taken effect.
        let outcome = if started { outcome } else { AttemptOutcome::ConnectFailed };
        self.finish_attempt(now, message, outcome.into());
    }

    /// Abandons the attempts whose time-out has passed.
    pub fn time_out_attempts(&mut self, now: Time) {
        while let Some(message) = self.requests.pop_timed_out(now) {
            self.abandon_attempt(now, message, AttemptOutcome::Timeout);
        }
    }

    /// Records the end of a message's attempt in flight, if there is one, and completes the message if it was
    /// delivered.
    pub fn finish_attempt(&mut self, now: Time, message: MessageId, result: AttemptResult) {
        let Some(record) = self.messages.get_mut(message) else { return };
        let Some(in_flight) = record.in_flight.take() else { return };
        record.may_have_run |= result.outcome.may_have_run();
        let attempt = Attempt { message, number: record.last_attempt_number() };
        self.requests.remove_attempt(message, &in_flight);
        let latency = now - in_flight.sent_at;
        let endpoint = in_flight.endpoint;
        self.notify_attempt_ended(now, &EndedAttempt { attempt, endpoint, latency, result });
        if result.outcome == AttemptOutcome::NotStarted {
            self.exclude_from_attempt_count(message);
        }
        if result.outcome == AttemptOutcome::Ok {
            self.complete(now, message, FinalOutcome::Delivered);
        }
        self.remove_if_evicted(message);
    }

    /// Excludes the latest attempt, which was not started, from the attempt count. The policy gives its number to the
    /// next attempt, so the offset between the two numberings grows by one.
    fn exclude_from_attempt_count(&mut self, message: MessageId) {
        if let Some(record) = self.messages.get_mut(message) {
            record.not_started += 1;
            record.policy_attempt_offset += 1;
        }
    }

    /// Notifies the failover policy and the delivery policy of the end of an attempt.
    pub fn notify_attempt_ended(&mut self, now: Time, ended: &EndedAttempt) {
        let EndedAttempt { attempt: Attempt { message, number }, endpoint, latency, result } = *ended;
        let outcome = result.outcome;
        if let Some(destination) = self.endpoints.get(endpoint).map(|endpoint| endpoint.destination) {
            let request_result = RequestResult { destination, endpoint, outcome, latency };
            self.failover.on_request_completed(now, request_result);
        }
        let offset = self.messages.get(message).map_or(0, |record| record.policy_attempt_offset);
        let completed = AttemptCompleted {
            message: self.messages.policy_id(message),
            endpoint,
            attempt: number.saturating_sub(offset),
            outcome,
            latency,
            message_completed: outcome == AttemptOutcome::Ok || !self.messages.is_pending(message),
            rate_limit: result.rate_limit,
        };
        self.notify_policy(now, Event::AttemptCompleted(completed));
    }

    // ---- Final outcomes ----

    /// Sets the final outcome of a message; an outcome for a message that is already completed is ignored.
    pub fn complete(&mut self, now: Time, message: MessageId, outcome: FinalOutcome) {
        let Some(record) = self.messages.complete(message, outcome) else { return };
        let attempts = u32::from(record.attempts);
        let deadline = record.deadline;
        self.tier_queues.remove(message, record);
        self.results.insert(now, message, deadline);
        self.fallback_completions.remove(self.fallback_completion_time(deadline), message);
        self.counters.count_outcome(outcome);
        self.commands.push(Command::Complete { message, outcome, attempts });
    }

    /// Completes a pending message without the policy, which is notified that the message is cancelled.
    pub fn complete_without_policy(&mut self, now: Time, message: MessageId, outcome: FinalOutcome) {
        if self.messages.is_pending(message) {
            self.notify_policy(now, Event::Cancelled(self.messages.policy_id(message)));
            self.complete(now, message, outcome);
        }
    }

    /// Completes all pending messages with the outcome that is known so far.
    pub fn complete_all(&mut self, now: Time) {
        for id in self.messages.pending_ids() {
            let Some(outcome) = self.messages.get(id).map(MessageRecord::outcome_without_policy) else {
                continue;
            };
            self.complete_without_policy(now, id, outcome);
        }
    }

    /// Completes the messages that the policy has not completed in time, and counts them as forced completions.
    pub fn complete_overdue(&mut self, now: Time) {
        while let Some(id) = self.fallback_completions.pop_due(now) {
            let Some(outcome) = self.messages.get(id).map(MessageRecord::outcome_without_policy) else {
                continue;
            };
            self.counters.forced_completions += 1;
            self.complete_without_policy(now, id, outcome);
        }
    }

    fn fallback_completion_time(&self, deadline: Time) -> Time {
        deadline + self.settings.rules.outcome_grace.mul_f64(FALLBACK_GRACE_RATIO)
    }

    /// Evicts outcomes that have expired or exceed the cache limit. A message with an attempt in flight is removed when
    /// that attempt ends.
    pub fn evict_expired(&mut self, now: Time) {
        while let Some(id) = self.results.pop_expired(now) {
            if let Some(record) = self.messages.get_mut(id) {
                record.evicted = true;
            }
            self.remove_if_evicted(id);
        }
    }

    fn remove_if_evicted(&mut self, id: MessageId) {
        if self.messages.get(id).is_some_and(|record| record.evicted && record.in_flight.is_none()) {
            self.remove(id);
        }
    }

    /// Removes a message from the table and tells the gateway to release what it keeps for it.
    pub fn remove(&mut self, id: MessageId) {
        if self.messages.remove(id) {
            self.commands.push(Command::Evicted { message: id });
        }
    }
}
