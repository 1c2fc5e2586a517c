//! The engine's state and the steps that all of its parts share: policy events, ends of attempts, final outcomes.

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

/// Part of [`cloverstile::Rules::outcome_grace`] after a message's deadline at which the engine completes it itself; the
/// policy has done so by half of it.
const FALLBACK_GRACE_RATIO: f64 = 0.75;

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub outcome: AttemptOutcome,
    /// What the partner said of its rate limit.
    pub rate_limit: Option<RateLimitStatus>,
}

impl From<AttemptOutcome> for AttemptEnd {
    fn from(outcome: AttemptOutcome) -> Self {
        AttemptEnd { outcome, rate_limit: None }
    }
}

/// An attempt that ended, as both policies are notified of it.
pub(crate) struct EndedAttempt {
    pub attempt: Attempt,
    pub endpoint: EndpointId,
    /// Time since it was sent.
    pub latency: Duration,
    pub end: AttemptEnd,
}

/// All state of an engine.
pub(crate) struct EngineState {
    pub settings: Settings,
    pub policy: DeliveryPolicy,
    pub failover: Box<dyn FailoverPolicy>,
    pub messages: MessageTable,
    pub tier_queues: TierQueues,
    pub requests: RequestsInFlight,
    /// When the engine completes a pending message itself if the policy has not.
    pub fallback_completions: DeadlineQueue<MessageId>,
    pub results: ResultCache,
    /// Timers that the policy asked for, by token.
    pub policy_timers: DeadlineQueue<u64>,
    pub endpoints: EndpointTable,
    pub commands: Vec<Command>,
    pub counters: Counters,
    pub sending_paused: bool,
    /// The policy was notified of an event that it has not acted on.
    pub has_policy_events: bool,
}

impl EngineState {
    /// The state of an engine that holds no message; `seed` is the policy's only source of randomness.
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

    /// Sends the policy the whole endpoint list, as the recovery gates leave it.
    pub fn notify_endpoint_snapshot(&mut self, now: Time) {
        let endpoints = self.endpoints.gated(&*self.failover);
        self.notify_policy(now, Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints)));
    }

    /// Sends the policy the endpoints whose recovery gate opened, closed or went.
    pub fn notify_gate_changes(&mut self, now: Time) {
        let changed = self.failover.update_gates(now);
        if !changed.is_empty() {
            let endpoints = self.endpoints.gated_of(&changed, &*self.failover);
            self.notify_policy(now, Event::EndpointsUpdated(EndpointListUpdate::Delta(endpoints)));
        }
    }

    // ---- Messages and their tiers ----

    /// Adds a message to the table.
    pub fn insert(&mut self, request: &SubmitRequest) -> MessageId {
        let id = self.messages.insert(request);
        self.counters.submitted += 1;
        self.fallback_completions.insert(self.fallback_at(request.deadline), id);
        id
    }

    /// Chooses the tier of a new message.
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

    /// Stops waiting for the attempt in flight of a message.
    pub fn abandon_attempt(&mut self, now: Time, message: MessageId, outcome: AttemptOutcome) {
        let record = self.messages.get(message);
        let number = record.map_or(0, MessageRecord::last_attempt);
        let in_flight = record.and_then(|record| record.in_flight);
        let started = in_flight.is_none_or(|attempt| attempt.started);
        self.commands.push(Command::Abandon { attempt: Attempt { message, number }, started });
        // Guards against a message that ends as "may have taken effect" though its connection never came up.
        let outcome = if started { outcome } else { AttemptOutcome::ConnectFailed };
        self.finish_attempt(now, message, outcome.into());
    }

    /// Stops waiting for the attempts whose time is over.
    pub fn time_out_attempts(&mut self, now: Time) {
        while let Some(message) = self.requests.pop_timed_out(now) {
            self.abandon_attempt(now, message, AttemptOutcome::Timeout);
        }
    }

    /// Ends the attempt in flight of a message, if there is one.
    pub fn finish_attempt(&mut self, now: Time, message: MessageId, end: AttemptEnd) {
        let Some(record) = self.messages.get_mut(message) else { return };
        let Some(in_flight) = record.in_flight.take() else { return };
        record.may_have_run |= end.outcome.may_have_run();
        let attempt = Attempt { message, number: record.last_attempt() };
        self.requests.finish(message, &in_flight);
        let latency = now - in_flight.sent_at;
        let endpoint = in_flight.endpoint;
        self.notify_attempt_ended(now, &EndedAttempt { attempt, endpoint, latency, end });
        if end.outcome == AttemptOutcome::NotStarted {
            self.discount_attempt(message);
        }
        if end.outcome == AttemptOutcome::Ok {
            self.complete(now, message, FinalOutcome::Delivered);
        }
        self.remove_if_evicted(message);
    }

    /// The latest attempt was not started: the policy does not count it, so that its numbers begin one later.
    fn discount_attempt(&mut self, message: MessageId) {
        if let Some(record) = self.messages.get_mut(message) {
            record.not_started += 1;
            record.policy_attempt_offset += 1;
        }
    }

    /// Notifies both policies of the end of an attempt.
    pub fn notify_attempt_ended(&mut self, now: Time, ended: &EndedAttempt) {
        let EndedAttempt { attempt: Attempt { message, number }, endpoint, latency, end } = *ended;
        let outcome = end.outcome;
        if let Some(destination) = self.endpoints.get(endpoint).map(|endpoint| endpoint.destination) {
            let result = RequestResult { destination, endpoint, outcome, latency };
            self.failover.on_request_completed(now, result);
        }
        let offset = self.messages.get(message).map_or(0, |record| record.policy_attempt_offset);
        let completed = AttemptCompleted {
            message: self.messages.policy_id(message),
            endpoint,
            attempt: number.saturating_sub(offset),
            outcome,
            latency,
            message_completed: outcome == AttemptOutcome::Ok || !self.messages.is_pending(message),
            rate_limit: end.rate_limit,
        };
        self.notify_policy(now, Event::AttemptCompleted(completed));
    }

    // ---- Final outcomes ----

    /// Gives a message its final outcome; a later one is dropped.
    pub fn complete(&mut self, now: Time, message: MessageId, outcome: FinalOutcome) {
        let Some(record) = self.messages.complete(message, outcome) else { return };
        let attempts = u32::from(record.attempts);
        let deadline = record.deadline;
        self.tier_queues.remove(message, record);
        self.results.insert(now, message, deadline);
        self.fallback_completions.remove(self.fallback_at(deadline), message);
        self.counters.record(outcome);
        self.commands.push(Command::Complete { message, outcome, attempts });
    }

    /// Completes a pending message without the policy, which is notified that it is cancelled.
    pub fn complete_without_policy(&mut self, now: Time, message: MessageId, outcome: FinalOutcome) {
        if self.messages.is_pending(message) {
            self.notify_policy(now, Event::Cancelled(self.messages.policy_id(message)));
            self.complete(now, message, outcome);
        }
    }

    /// Completes all pending messages, as far as their outcome is known.
    pub fn complete_all(&mut self, now: Time) {
        for id in self.messages.pending_ids() {
            let Some(outcome) = self.messages.get(id).map(MessageRecord::outcome_without_policy) else {
                continue;
            };
            self.complete_without_policy(now, id, outcome);
        }
    }

    /// Guards against a message that the policy never completes: the engine does so, and counts it.
    pub fn complete_overdue(&mut self, now: Time) {
        while let Some(id) = self.fallback_completions.pop_due(now) {
            let Some(outcome) = self.messages.get(id).map(MessageRecord::outcome_without_policy) else {
                continue;
            };
            self.counters.forced_completions += 1;
            self.complete_without_policy(now, id, outcome);
        }
    }

    fn fallback_at(&self, deadline: Time) -> Time {
        deadline + self.settings.rules.outcome_grace.mul_f64(FALLBACK_GRACE_RATIO)
    }

    /// Drops the oldest outcomes, by age and by number; one whose attempt is in flight when that has ended.
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

    /// Removes a message from the table.
    pub fn remove(&mut self, id: MessageId) {
        if self.messages.remove(id) {
            self.commands.push(Command::Evicted { message: id });
        }
    }
}
